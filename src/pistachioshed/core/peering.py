"""Flow ownership and control messages between balancers."""

import collections
import typing
from collections import abc

from pistachioshed.core import (
    events,
    hashing,
    lifecycle,
    membership,
    replication,
    settings,
    wire,
)

PAST_VIEWS_MAX: typing.Final = 4


class Peering:
    """Combine membership, lifecycle and replication, and hold the view in force.

    `owners` are the candidates for the owner of a flow. `has_handed_over` is set once
    this balancer is leaving, owns no flows, and its successors have its overrides.

    Parameters
    ----------
    config : Settings
        The settings.
    seed : int
        Seeds the random choice of peers to probe.
    """

    def __init__(self, config: settings.Settings, seed: int) -> None:
        self.config = config
        self.membership = membership.Membership(config, seed)
        self.replicator = replication.Replicator(config)
        self.lifecycle = lifecycle.Lifecycle(config, self.membership, self.replicator)
        self.owners: tuple[hashing.Choice, ...] = ()
        self.past_owners: collections.deque[tuple[hashing.Choice, ...]] = (
            collections.deque(maxlen=PAST_VIEWS_MAX)
        )
        self.view_number = 0
        self.has_handed_over = False
        self.finished = False

    def handle_message(
        self, payload: bytes, now: float
    ) -> list[events.Action] | events.DropPacket:
        """Handle a control message; drop it if it is forged or its sender unknown."""
        try:
            received = wire.decode(payload, self.config.key)
        except wire.WireError:
            return events.DropPacket("invalid control message")
        if not self.membership.knows(received.sender):
            return events.DropPacket("unknown peer")
        if wire.is_membership(received.message):
            component: membership.Membership | replication.Replicator = self.membership
        else:
            component = self.replicator
        return self._encode(component.handle(received.sender, received.message, now))

    def tick(
        self, now: float, table_known: bool, count_open: abc.Callable[[], int]
    ) -> list[events.Action]:
        """Send due messages and perform due lifecycle transitions.

        Parameters
        ----------
        now : float
            The current time in seconds.
        table_known : bool
            Whether a table is in force.
        count_open : callable
            Returns how many flows still need this balancer; called while it leaves.
        """
        actions = self._encode(self.membership.tick(now))
        actions += self._encode(self.replicator.tick(now))
        before = self.lifecycle.state
        open_flows = count_open() if before == "leaving" else 0
        self.lifecycle.tick(now, table_known, open_flows)
        if self.lifecycle.state != before:
            fields: dict[str, object] = {
                "before": before,
                "state": self.lifecycle.state,
            }
            actions.append(events.Notice("lifecycle changed", fields))
        self.has_handed_over = (
            self.lifecycle.state in ("leaving", "left")
            and self.config.name not in self.list_owners()
            and self.replicator.is_flushed()
        )
        if self.lifecycle.finished and not self.finished:
            self.finished = True
            actions.append(events.Finished())
        return actions

    def send_overrides(self, now: float) -> list[events.Action]:
        """Send overrides without waiting for the tick, within the byte budget."""
        return self._encode(self.replicator.send_overrides(now))

    def apply_view(self, now: float) -> bool:
        """Apply the membership's view and return whether it changed."""
        view = self.membership.view
        if view.number == self.view_number:
            return False
        self.view_number = view.number
        if self.owners:
            self.past_owners.append(self.owners)
        self.owners = tuple(
            hashing.Choice(member.name, member.capacity) for member in view.members
        )
        self.replicator.set_view(view, now)
        return True

    def list_owners(self) -> tuple[str, ...]:
        """Return the names of the balancers that own flows."""
        return tuple(owner.name for owner in self.owners)

    def find_owner(self, service: str, flow: bytes) -> str | None:
        """Return the balancer that owns a flow, or None if there is no owner."""
        fingerprint = hashing.fingerprint_flow(service, flow)
        return hashing.find_best(fingerprint, self.owners)

    def find_previous_owner(self, service: str, flow: bytes) -> str | None:
        """Return the most recent other owner of a flow in the past views."""
        fingerprint = hashing.fingerprint_flow(service, flow)
        for owners in reversed(self.past_owners):
            owner = hashing.find_best(fingerprint, owners)
            if owner != self.config.name:
                return owner
        return None

    def _encode(self, outgoing: abc.Iterable[wire.Outgoing]) -> list[events.Action]:
        name, key = self.config.name, self.config.key
        return [
            events.SendPeer(peer, wire.encode(name, message, key))
            for peer, message in outgoing
        ]
