"""Fakes of membership, lifecycle and replication for tests of the data path."""

import typing

from pistachioshed.core import events


class Member(typing.NamedTuple):
    """An active owner."""

    name: str
    zone: str = "riga-a"
    capacity: float = 1.0


class View(typing.NamedTuple):
    """The active owners."""

    number: int
    members: tuple[Member, ...]


class FakeParts:
    """All parts in one; tests set the view and received exceptions directly."""

    def __init__(self, *names: str) -> None:
        self.membership = self.replicator = self.lifecycle = self
        self.changed_at = -100.0
        self.state = "active"
        self.finished = False
        self.sent: dict[bytes, str] = {}
        self.received: dict[bytes, str] = {}
        self.complete: dict[str, int] = {}
        self.closed: list[int] = []
        self.view = View(0, ())
        self.set_members(*names)

    def set_members(self, *names: str) -> None:
        """Replace the view."""
        self.view = View(self.view.number + 1, tuple(map(Member, sorted(names))))

    def knows(self, peer: str) -> bool:
        """Tell whether a peer is listed."""
        return peer.startswith("balancer-")

    def update_vms(self, vms: tuple[events.Vm, ...], now: float) -> None:
        """Ignore the list."""

    def set_view(self, view: View, now: float) -> None:
        """Ignore the view."""

    def request_stop(self, now: float) -> None:
        """Leave at once."""
        self.state = "leaving"

    def put(self, service: str, flow: bytes, upstream: str) -> None:
        """Keep an exception."""
        self.sent[flow] = upstream

    def remove(self, service: str, flow: bytes) -> None:
        """Drop an exception."""
        del self.sent[flow]

    def find(self, service: str, flow: bytes) -> str | None:
        """Return a received exception."""
        return self.received.get(flow)

    def complete_through(self, service: str, owner: str) -> int:
        """Return a received mark."""
        return self.complete.get(owner, 0)

    def close_generation(self, service: str, version: int) -> None:
        """Keep the mark."""
        self.closed.append(version)

    def pending(self) -> int:
        """Return that nothing waits."""
        return 0
