"""Replication of a balancer's overrides to the next owners of their flows.

An override is the record that a flow is bound to an upstream other than its home. It is
sent to the first-ranked member other than this node, which is the flow's backup while
this node owns the flow, and its new owner afterwards.

Flows are identified by their fingerprint, except in the methods that take a raw flow
key: `Replicator.put`, `Replicator.remove` and `Replicator.find`.
"""

import typing
from collections import abc

from pistachioshed.core import (
    adoption,
    channel,
    handovers,
    hashing,
    membership,
    receivedoverrides,
    sender,
    settings,
    wire,
)

# The overrides to compare with the view in one tick. With a view of 8 members a
# comparison takes about 14 microseconds: one slice delays packets by 7 ms, and 25,000
# overrides are compared within the default `join_timeout_s`.
SCAN_SLICE: typing.Final = 500


class Replicator:
    """Replicate this owner's overrides and keep those received from other owners.

    Parameters
    ----------
    settings : settings.Settings
        `replication_bytes_per_s` limits the bytes sent, except for a planned join or
        leave.
    """

    def __init__(self, settings: settings.Settings) -> None:
        self.settings = settings
        self.overrides: sender.Overrides = {}
        self.sender = sender.Sender(settings, self.overrides, self._uses_burst_budget)
        self.received_overrides = receivedoverrides.ReceivedOverrides(
            settings.flow_idle_s
        )
        self.handover_sessions = handovers.HandoverSessions(settings)
        self.choices: list[hashing.Choice] = []
        self.other_owners: list[hashing.Choice] = []
        self.completed: dict[str, int] = {}
        self.first_completed: dict[str, int] = {}
        self.lost_peers: set[str] = set()
        self.scan: abc.Iterator[channel.Key] | None = None
        self.adoption = adoption.Adoption(settings.flow_idle_s)
        self.has_unqueued = False
        self.queue_full_count = 0
        self.flush_until: float | None = None

    @property
    def overflow(self) -> int:
        """The number of overrides that found a queue or the received ones full."""
        return self.queue_full_count + self.received_overrides.refused

    def put(self, service: str, flow: bytes, upstream: str) -> None:
        """Add or update the override of a flow that this node owns."""
        fingerprint = hashing.fingerprint_flow(service, flow)
        self.adoption.forget(service, fingerprint)
        self._put(service, fingerprint, upstream, bulk=False)

    def _put(self, service: str, flow: bytes, upstream: str, bulk: bool) -> None:
        flows = self.overrides.setdefault(service, {})
        override = flows.get(flow)
        if override is not None and override.upstream == upstream:
            return
        if override is None:
            override = flows[flow] = sender.Override(upstream)
            override.target = self._choose_target(flow)
        override.upstream = upstream
        if override.target:
            self._queue(override, service, flow, bulk)
        for name in self.handover_sessions.find_owners(service, flow, self.choices):
            self.sender.get_channel(name).add(service, flow)

    def remove(self, service: str, flow: bytes) -> None:
        """Withdraw the override of a flow that ended or is at its home again."""
        fingerprint = hashing.fingerprint_flow(service, flow)
        self.adoption.forget(service, fingerprint)
        self._remove(service, fingerprint)

    def _remove(self, service: str, flow: bytes) -> None:
        override = self.overrides.get(service, {}).pop(flow, None)
        if override is None:
            return
        self._withdraw(override, service, flow)
        for name in self.handover_sessions.forget_flow(service, flow):
            self._queue_removal(name, service, flow)

    def find(self, service: str, flow: bytes) -> str | None:
        """Return the upstream of an override that another owner sent, or None."""
        return self.received_overrides.find(
            service, hashing.fingerprint_flow(service, flow)
        )

    def complete_through(self, service: str, owner: str) -> int:
        """Return the newest version that an owner marked complete here, or 0."""
        return self.received_overrides.complete_through(service, owner)

    def mark_complete(self, service: str, version: int) -> None:
        """Mark a version complete at each peer after the overrides put so far."""
        self.completed[service] = max(version, self.completed.get(service, 0))
        self.first_completed.setdefault(service, version)
        if self.scan is None and not self.has_unqueued:
            self._queue_completions()

    def set_view(self, view: membership.View, now: float) -> None:
        """Apply a new view and queue the overrides whose backup changed."""
        self.choices = [
            hashing.Choice(member.name, member.capacity) for member in view.members
        ]
        self.other_owners = [c for c in self.choices if c.name != self.settings.name]
        names = {choice.name for choice in self.other_owners}
        self.handover_sessions.set_owners(names)
        for name in list(self.sender.channels):
            if name not in names and name not in self.handover_sessions.sessions:
                del self.sender.channels[name]
                self.lost_peers.add(name)
        self.received_overrides.set_owners(names, now)
        self.adoption.start(self.received_overrides.list_orphans())
        self._start_scan()

    def pending(self) -> int:
        """Return the number of items that the peers have not acknowledged.

        Items are overrides, removals, completed versions and the first batch of a
        channel.
        """
        return sum(peer.pending for peer in self.sender.channels.values())

    def begin_flush(self, now: float) -> None:
        """Start sending pending items at the burst rate, before a planned leave."""
        self.flush_until = now + self.settings.join_timeout_s

    def is_flushed(self) -> bool:
        """Return whether the successors have acknowledged every override."""
        return self._is_fully_queued() and self.pending() == 0

    def begin_handover(self, now: float) -> None:
        """Start requesting the overrides of the flows that this node will own."""
        self.handover_sessions.begin(now)

    def is_handed_over(self) -> bool:
        """Return whether every active owner has completed its handover."""
        return self.handover_sessions.is_done(
            {choice.name for choice in self.other_owners}
        )

    def end_handover(self) -> None:
        """Stop requesting handovers, once this node is active."""
        self.handover_sessions.end()

    def handle(
        self, peer: str, message: wire.Message, now: float
    ) -> list[wire.Outgoing]:
        """Handle a replication message of a known peer; return the messages to send."""
        self.sender.refill(now)
        match message:
            case wire.Batch():
                self.received_overrides.apply(peer, message, now)
                ack = wire.BatchAck(message.session, message.number)
                return [self.sender.charge(peer, ack, now)]
            case wire.BatchAck():
                out = self.sender.handle_ack(peer, message, now)
                return out + self._finish_handover(peer, now, repeat=False)
            case wire.HandoverRequest():
                if self.handover_sessions.handle_request(peer, message, now):
                    self.sender.channels.pop(peer, None)
                    self._start_scan()
                return self._finish_handover(peer, now, repeat=True)
            case wire.HandoverDone():
                if self.handover_sessions.is_current(message):
                    self.received_overrides.record_completed(
                        peer, message.sender_session, message.complete, now
                    )
                    if self._covers(message.complete):
                        self.handover_sessions.record_done(peer)
        return []

    def send_overrides(self, now: float) -> list[wire.Outgoing]:
        """Return the batches that are due, without waiting for the next tick."""
        self.sender.refill(now)
        return self.sender.send_due(now)

    def tick(self, now: float) -> list[wire.Outgoing]:
        """Do the periodic work and return the messages that are due."""
        self.sender.refill(now)
        self.received_overrides.expire(now)
        self._adopt_orphans(now)
        self._advance_scan()
        out: list[wire.Outgoing] = []
        for name in self.handover_sessions.expire(now):
            self.sender.channels.pop(name, None)
        out += self.sender.send_due(now)
        for name in list(self.handover_sessions.sessions):
            out += self._finish_handover(name, now, repeat=False)
        out += self.handover_sessions.request(
            {choice.name for choice in self.other_owners}, now
        )
        return out

    def _covers(self, complete: abc.Mapping[str, int]) -> bool:
        """Return whether an owner is complete under the tables that this node has.

        A joining node does not have the tables before its first one and cannot place
        flows by them. It repeats its request until the owner has the newer table.
        """
        return all(
            complete.get(service, 0) >= version
            for service, version in self.first_completed.items()
        )

    def _is_fully_queued(self) -> bool:
        """Return whether every override is queued for the peers that need it."""
        return self.scan is None and self.adoption.is_done and not self.has_unqueued

    def _adopt_orphans(self, now: float) -> None:
        """Adopt the overrides of former owners whose flows this node owns now."""
        for orphan in self.adoption.take(SCAN_SLICE):
            service, flow, upstream = orphan
            is_known = flow in self.overrides.get(service, {})
            if not is_known and self._owns(flow):
                self._put(service, flow, upstream, bulk=True)
                self.adoption.record_adopted(service, flow, now)
        for service, flow in self.adoption.expire(now):
            self._remove(service, flow)

    def _owns(self, flow: bytes) -> bool:
        return hashing.find_best(flow, self.choices) == self.settings.name

    def _choose_target(self, flow: bytes) -> str:
        ranked = hashing.rank_choices(flow, self.other_owners)
        return ranked[0] if ranked else ""

    def _queue(
        self, override: sender.Override, service: str, flow: bytes, bulk: bool
    ) -> None:
        peer = self.sender.get_channel(override.target)
        if peer.queued >= channel.QUEUED_MAX:
            self.queue_full_count += not bulk
            self.has_unqueued = True
            override.target = ""
            return
        add = peer.add_bulk if bulk else peer.add
        # If `add` cancelled a removal, the peer still has an earlier override of the
        # flow, which must be withdrawn even if this one is never sent.
        override.sent |= add(service, flow)

    def _withdraw(self, override: sender.Override, service: str, flow: bytes) -> None:
        peer = self.sender.channels.get(override.target)
        if peer is not None:
            peer.discard(service, flow)
            if override.sent:
                self._queue_removal(override.target, service, flow)

    def _queue_removal(self, name: str, service: str, flow: bytes) -> None:
        peer = self.sender.channels.get(name)
        if peer is not None:
            peer.discard(service, flow)
            peer.removals[service, flow] = None

    def _queue_completions(self) -> None:
        """Queue the completed versions that peers lack; open missing channels."""
        for choice in self.other_owners:
            peer = self.sender.get_channel(choice.name)
            for service, version in self.completed.items():
                if peer.queued_completions.get(service, 0) < version:
                    peer.queue_completion(service, version)

    def _start_scan(self) -> None:
        keys = [
            (service, flow)
            for service, flows in self.overrides.items()
            for flow in flows
        ]
        self.scan = iter(keys)
        self.has_unqueued = False

    def _advance_scan(self) -> None:
        """Queue a slice of the overrides that a new backup or a joining node needs."""
        if self.scan is None:
            if not self.has_unqueued or self.pending() > channel.QUEUED_MAX // 2:
                return
            self._start_scan()
        left = SCAN_SLICE
        for service, flow in self.scan or ():
            self._rescan(service, flow)
            left -= 1
            if not left:
                return
        self.scan = None
        self.lost_peers.clear()
        self.handover_sessions.end_joined()
        if not self.has_unqueued:
            self._queue_completions()

    def _rescan(self, service: str, flow: bytes) -> None:
        override = self.overrides[service].get(flow)
        if override is None:
            return
        for name in self.handover_sessions.find_new_owners(service, flow, self.choices):
            self.sender.get_channel(name).add_bulk(service, flow)
        target = self._choose_target(flow)
        for name in self.handover_sessions.release_flow(service, flow, target):
            self._queue_removal(name, service, flow)
        if target == override.target and target not in self.lost_peers:
            return
        self._withdraw(override, service, flow)
        override.target = target
        override.sent = self.handover_sessions.was_queued(target, service, flow)
        if target and not override.sent:
            self._queue(override, service, flow, bulk=True)

    def _finish_handover(
        self, name: str, now: float, repeat: bool
    ) -> list[wire.Outgoing]:
        if not self._is_fully_queued() or self.sender.count_pending(name):
            return []
        session = self.handover_sessions.finish(name, repeat)
        if not session:
            return []
        own_session = self.sender.open_session(name)
        done = wire.HandoverDone(session, own_session, dict(self.completed))
        return [self.sender.charge(name, done, now)]

    def _uses_burst_budget(self, name: str, now: float) -> bool:
        is_flushing = self.flush_until is not None and now <= self.flush_until
        return is_flushing or self.handover_sessions.is_due(name, now)
