"""Flows of one service: bindings, port slots and recent openings."""

import collections
import typing
from collections import abc

from pistachioshed.core import health, load

PORT_QUARANTINE_S: typing.Final = 3.0
REMEMBERED_OPENINGS_MAX: typing.Final = 100_000


class Upstream:
    """One upstream host and its port slots.

    `ports[port]` is the flow bound to a port slot, or None. `released_ports` lists
    the freed slots with the time of their release, oldest first.
    """

    __slots__ = ("address", "health", "load", "name", "ports", "released_ports")

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.load = load.Load()
        self.health = health.Health()
        self.ports: list[Flow | None] = []
        self.released_ports: collections.deque[tuple[float, int]] = collections.deque()


class Flow:
    """A caller's flow, bound to an upstream and one of its port slots.

    `seen_at` is the time of the last tick before the flow's last packet, so that flows
    share one float object. `requested_at` is when the flow started to wait for a
    response, None if it does not wait. `has_override` is set if the flow has an
    override, because it is bound elsewhere than at its home.
    """

    __slots__ = (
        "has_override",
        "key",
        "opening_id",
        "port",
        "requested_at",
        "seen_at",
        "upstream",
    )

    def __init__(
        self, key: bytes, upstream: Upstream, port: int, opening_id: int, seen_at: float
    ) -> None:
        self.key = key
        self.upstream = upstream
        self.port = port
        self.opening_id = opening_id
        self.seen_at = seen_at
        self.requested_at: float | None = None
        self.has_override = False


class RememberedOpening(typing.NamedTuple):
    """An opening that must not be placed again before the time `until`."""

    opening_id: int
    until: float
    reason: str


class OpeningHistory:
    """Openings kept for the same duration each, at most one per flow."""

    def __init__(self) -> None:
        self.openings: dict[bytes, RememberedOpening] = {}

    def add(self, key: bytes, opening_id: int, reason: str, until: float) -> None:
        """Add an opening; drop the oldest one if the limit is exceeded."""
        self.openings.pop(key, None)
        self.openings[key] = RememberedOpening(opening_id, until, reason)
        if len(self.openings) > REMEMBERED_OPENINGS_MAX:
            del self.openings[next(iter(self.openings))]

    def find(self, key: bytes, opening_id: int, now: float) -> str | None:
        """Return the reason recorded for an opening, None if it is not present."""
        found = self.openings.get(key)
        if found is None or found.until <= now or found.opening_id != opening_id:
            return None
        return found.reason

    def contains(self, key: bytes, now: float) -> bool:
        """Return whether any unexpired opening of a flow is present."""
        found = self.openings.get(key)
        return found is not None and found.until > now

    def expire(self, now: float) -> None:
        """Remove expired openings; entries are ordered by expiry."""
        while self.openings:
            key = next(iter(self.openings))
            if self.openings[key].until > now:
                return
            del self.openings[key]


class FlowTable:
    """The bound flows of one service and the openings that it must not place.

    Parameters
    ----------
    port_numbers : sequence of int
        The numbers of each upstream's port slots; all flows share these objects to
        save memory.
    """

    def __init__(self, port_numbers: abc.Sequence[int]) -> None:
        self.port_numbers = port_numbers
        self.flows: dict[bytes, Flow] = {}
        self.refused = OpeningHistory()
        self.superseded = OpeningHistory()

    def bind(
        self, key: bytes, upstream: Upstream, opening_id: int, seen_at: float
    ) -> Flow:
        """Bind an unbound flow to an upstream that has a free port.

        Unused ports are taken first, then released ones in order of their release. A
        late response then arrives at a free port instead of reaching another caller.
        """
        if len(upstream.ports) < len(self.port_numbers):
            port = self.port_numbers[len(upstream.ports)]
            upstream.ports.append(None)
        else:
            port = upstream.released_ports.popleft()[1]
        flow = Flow(key, upstream, port, opening_id, seen_at)
        upstream.ports[port] = flow
        upstream.load.open_flows += 1
        self.flows[key] = flow
        return flow

    def unbind(self, flow: Flow, now: float) -> None:
        """Remove a bound flow and release its port."""
        upstream = flow.upstream
        upstream.ports[flow.port] = None
        upstream.released_ports.append((now, flow.port))
        upstream.load.open_flows -= 1
        end_wait(flow)
        del self.flows[flow.key]


def end_wait(flow: Flow) -> None:
    """Stop counting a flow as waiting for a response."""
    if flow.requested_at is not None:
        flow.requested_at = None
        flow.upstream.load.waiting -= 1


def has_free_port(upstream: Upstream, ports: int, now: float) -> bool:
    """Return whether an upstream with `ports` port slots can take another flow."""
    if len(upstream.ports) < ports:
        return True
    released = upstream.released_ports
    return bool(released) and released[0][0] + PORT_QUARANTINE_S <= now


def walk_flows(upstreams: abc.Iterable[Upstream]) -> abc.Iterator[Flow | None]:
    """Yield the content of all port slots, which may change between steps."""
    for upstream in upstreams:
        for port in range(len(upstream.ports)):
            yield upstream.ports[port]
