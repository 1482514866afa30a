"""Handovers of overrides to joining members, and to this node when it joins."""

import typing
from collections import abc

from pistachioshed.core import channel, hashing, settings, wire

REQUEST_INTERVAL_S: typing.Final = 0.5


class Session:
    """A handover to one joining member.

    `flows` holds the overrides that were queued for the member, so that they are not
    sent again once it is active. `has_joined` is set while the member is active and the
    overrides are still being compared with the new view.
    """

    __slots__ = (
        "choice",
        "flows",
        "has_joined",
        "is_done",
        "number",
        "requested_at",
        "started_at",
    )

    def __init__(self, number: int, choice: hashing.Choice, now: float) -> None:
        self.number = number
        self.choice = choice
        self.started_at = now
        self.requested_at = now
        self.flows: set[channel.Key] = set()
        self.is_done = False
        self.has_joined = False


class HandoverSessions:
    """Track the handovers to joining members and those to this node.

    Parameters
    ----------
    settings : settings.Settings
        `join_timeout_s` limits a handover, `capacity` is sent with each request.
    """

    def __init__(self, settings: settings.Settings) -> None:
        self.settings = settings
        self.sessions: dict[str, Session] = {}
        self.owners: frozenset[str] = frozenset()
        self.own_number = 0
        self.done: set[str] = set()
        self.next_request_at = 0.0

    def handle_request(
        self, sender: str, request: wire.HandoverRequest, now: float
    ) -> bool:
        """Handle a request and return whether it starts a handover.

        A request from an active owner is ignored. Either the member has joined in the
        meantime, or it has restarted and the membership has not detected that yet; in
        the second case the member repeats its request.
        """
        if sender in self.owners:
            return False
        session = self.sessions.get(sender)
        if session is not None and session.number == request.session:
            session.requested_at = now
            return False
        choice = hashing.Choice(sender, request.capacity / 1_000)
        self.sessions[sender] = Session(request.session, choice, now)
        return True

    def find_owners(
        self, service: str, flow: bytes, choices: abc.Sequence[hashing.Choice]
    ) -> list[str]:
        """Return the joining members that will own a flow, and record it for them."""
        found = []
        for name, session in self.sessions.items():
            if hashing.rank_choices(flow, [*choices, session.choice])[0] == name:
                session.flows.add((service, flow))
                found.append(name)
        return found

    def find_new_owners(
        self, service: str, flow: bytes, choices: abc.Sequence[hashing.Choice]
    ) -> list[str]:
        """Return `find_owners` without the members that the flow was queued for."""
        key = (service, flow)
        known = {
            name for name, session in self.sessions.items() if key in session.flows
        }
        found = self.find_owners(service, flow, choices)
        return [name for name in found if name not in known]

    def forget_flow(self, service: str, flow: bytes) -> list[str]:
        """Remove a flow; return the joining members that it was queued for."""
        key = (service, flow)
        names = [
            name for name, session in self.sessions.items() if key in session.flows
        ]
        for name in names:
            self.sessions[name].flows.discard(key)
        return names

    def was_queued(self, name: str, service: str, flow: bytes) -> bool:
        """Return whether a flow was queued for a member before it became active."""
        session = self.sessions.get(name)
        return session is not None and (service, flow) in session.flows

    def release_flow(self, service: str, flow: bytes, target: str) -> list[str]:
        """Remove a flow from the members that joined but are not its target.

        There are such members if several join at the same time. Return their names.
        """
        key = (service, flow)
        names = [
            name
            for name, session in self.sessions.items()
            if session.has_joined and name != target and key in session.flows
        ]
        for name in names:
            self.sessions[name].flows.discard(key)
        return names

    def end_joined(self) -> None:
        """End the sessions of the members that have joined."""
        joined = [name for name, session in self.sessions.items() if session.has_joined]
        for name in joined:
            del self.sessions[name]

    def is_due(self, name: str, now: float) -> bool:
        """Return whether a handover to a peer is in progress and within the timeout."""
        session = self.sessions.get(name)
        return (
            session is not None
            and not session.has_joined
            and now <= session.started_at + self.settings.join_timeout_s
        )

    def finish(self, name: str, repeat: bool) -> int:
        """Mark a handover done; return the session number to confirm, or 0."""
        session = self.sessions.get(name)
        if session is None or session.has_joined or (session.is_done and not repeat):
            return 0
        session.is_done = True
        return session.number

    def set_owners(self, owners: abc.Iterable[str]) -> None:
        """Update the active owners and the sessions that depend on them."""
        self.owners = frozenset(owners)
        for name, session in list(self.sessions.items()):
            if name in self.owners:
                session.has_joined = True
            elif session.has_joined:
                del self.sessions[name]

    def expire(self, now: float) -> list[str]:
        """Drop the sessions of inactive members that no longer send requests."""
        limit = now - 2 * self.settings.join_timeout_s
        expired = [
            name
            for name, session in self.sessions.items()
            if session.requested_at < limit and not session.has_joined
        ]
        for name in expired:
            del self.sessions[name]
        return expired

    def begin(self, now: float) -> None:
        """Start requesting handovers to this node."""
        self.own_number = int(now * 1_000) % 2**32 + 1
        self.done.clear()

    def end(self) -> None:
        """Stop requesting handovers."""
        self.own_number = 0

    def request(self, owners: abc.Iterable[str], now: float) -> list[wire.Outgoing]:
        """Return the requests that are due, to owners that have not finished."""
        if not self.own_number or now < self.next_request_at:
            return []
        self.next_request_at = now + REQUEST_INTERVAL_S
        capacity = max(1, round(self.settings.capacity * 1_000))
        message = wire.HandoverRequest(self.own_number, capacity)
        return [
            wire.Outgoing(name, message) for name in sorted(set(owners) - self.done)
        ]

    def is_current(self, message: wire.HandoverDone) -> bool:
        """Return whether a message ends a handover that this node has requested."""
        return bool(self.own_number) and message.session == self.own_number

    def record_done(self, sender: str) -> None:
        """Record that an owner has handed over all that this node needs."""
        self.done.add(sender)

    def is_done(self, owners: abc.Set[str]) -> bool:
        """Return whether all owners have finished."""
        return bool(self.own_number) and owners <= self.done
