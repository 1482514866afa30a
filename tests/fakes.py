"""In-memory network and peers for tests of the core."""

import collections
import heapq
import random
import typing
from collections import abc

from pistachioshed.core import (
    events,
    lifecycle,
    membership,
    replication,
    settings,
    wire,
)

KEY: typing.Final = b"fleet key"
TICK_S: typing.Final = 0.1


class Peer:
    """Membership, replication and lifecycle of one balancer."""

    def __init__(self, own: settings.Settings, seed: int) -> None:
        self.name = own.name
        self.membership = membership.Membership(own, seed)
        self.replicator = replication.Replicator(own)
        self.lifecycle = lifecycle.Lifecycle(own, self.membership, self.replicator)
        self.view = self.membership.view
        self.open_flows = 0
        self.table_known = True
        self.is_frozen = False

    @property
    def owners(self) -> tuple[str, ...]:
        """The names of the owners in this peer's view."""
        return tuple(member.name for member in self.membership.view.members)

    def handle(self, payload: bytes, now: float) -> list[wire.Outgoing]:
        """Decode and dispatch a message in the same way as `Node`."""
        sender, message = wire.decode(payload, KEY)
        if wire.is_membership(message):
            out = self.membership.handle(sender, message, now)
        elif self.membership.knows(sender):
            out = self.replicator.handle(sender, message, now)
        else:
            out = []
        self.apply_view(now)
        return out

    def tick(self, now: float) -> list[wire.Outgoing]:
        """Do the periodic work of all components."""
        self.lifecycle.tick(now, self.table_known, self.open_flows)
        out = self.membership.tick(now)
        self.apply_view(now)
        return out + self.replicator.tick(now)

    @property
    def incarnation(self) -> int:
        """The number of times that this peer changed its state or refuted a claim."""
        return self.membership.member_table.own_claim.incarnation

    def apply_view(self, now: float) -> None:
        """Pass a new view on to the replicator."""
        if self.membership.view is not self.view:
            self.view = self.membership.view
            self.replicator.set_view(self.view, now)


class Network:
    """Deliver messages between peers with delay, loss and cut links, from a seed."""

    def __init__(self, seed: int, count: int, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.delay_s = 0.001
        self.cut: set[tuple[str, str]] = set()
        self.vms = [
            events.Vm(f"entry-{n:03}", f"zone-{n % 3}", "") for n in range(count)
        ]
        self.peers: dict[str, Peer] = {}
        self.due: list[tuple[float, int, str, bytes]] = []
        self.sequence = 0
        self.sent_bytes: collections.Counter[tuple[str, str]] = collections.Counter()

    def start(self, name: str, **fields: typing.Any) -> Peer:
        """Start a peer, or restart it without its state."""
        zone = next(vm.zone for vm in self.vms if vm.name == name)
        own = settings.Settings(name, zone, key=KEY, **fields)
        peer = self.peers[name] = Peer(own, self.rng.getrandbits(32))
        peer.membership.update_vms(self.vms, self.now)
        return peer

    def start_all(self, settle_s: float = 5.0, **fields: typing.Any) -> list[Peer]:
        """Start every listed peer and run until the membership has settled."""
        peers = [self.start(vm.name, **fields) for vm in self.vms]
        self.run(settle_s)
        return peers

    def cut_between(self, left: abc.Iterable[str], right: abc.Iterable[str]) -> None:
        """Cut all links between two groups of peers."""
        right = list(right)
        for one in left:
            for other in right:
                self.cut |= {(one, other), (other, one)}

    def run(
        self, duration_s: float, until: abc.Callable[[], bool] = lambda: False
    ) -> float:
        """Advance the time until a condition holds; return the seconds that it took."""
        start = self.now
        # Each peer ticks at its own phase, as separate processes do.
        while self.now < start + duration_s and not until():
            phases = [(self.rng.random() * TICK_S, name) for name in self.peers]
            end = self.now + TICK_S
            for phase, name in sorted(phases):
                self._deliver(self.now + phase)
                peer = self.peers.get(name)
                if peer is not None and not peer.is_frozen:
                    self._send(name, peer.tick(self.now + phase), self.now + phase)
            self._deliver(end)
            self.now = end
        return self.now - start

    def agree(self, names: abc.Iterable[str], owners: abc.Iterable[str]) -> bool:
        """Return whether the views of the named peers have exactly these owners."""
        expected = tuple(sorted(owners))
        return all(self.peers[name].owners == expected for name in names)

    def _deliver(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            at, order, name, payload = heapq.heappop(self.due)
            peer = self.peers.get(name)
            if peer is None:
                continue
            if peer.is_frozen:
                # The socket buffer keeps datagrams until the process resumes.
                heapq.heappush(self.due, (until + TICK_S, order, name, payload))
                continue
            self._send(name, peer.handle(payload, at), at)

    def _send(self, name: str, outgoing: list[wire.Outgoing], at: float) -> None:
        for peer, message in outgoing:
            payload = wire.encode(name, message, KEY)
            kind = "membership" if wire.is_membership(message) else "replication"
            self.sent_bytes[name, kind] += len(payload)
            if (name, peer) in self.cut or self.rng.random() < self.loss:
                continue
            self.sequence += 1
            delay = self.delay_s * (0.5 + self.rng.random())
            heapq.heappush(self.due, (at + delay, self.sequence, peer, payload))
