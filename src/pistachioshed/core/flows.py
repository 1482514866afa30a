"""Flows of one service: bindings, port slots, idle expiry and refusals."""

import collections
import typing
from collections import abc

from pistachioshed.core import load

PORT_QUARANTINE_S: typing.Final = 3.0
MAX_REFUSALS: typing.Final = 100_000


class Upstream:
    """One upstream host with its port slots; `ports[port]` is the flow on a slot."""

    __slots__ = ("address", "load", "name", "ports", "released")

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.load = load.Load()
        self.ports: list[Flow | None] = []
        self.released: collections.deque[tuple[float, int]] = collections.deque()


class Flow:
    """A caller's flow that is bound to an upstream and one of its port slots.

    `seen` is the time of the last tick before its last packet, so that flows share
    one float; `asked_at` is when it began to wait for a response; `moved` tells
    whether it is an exception, that is bound elsewhere than at its home.
    """

    __slots__ = ("asked_at", "key", "moved", "opening_id", "port", "seen", "upstream")

    def __init__(
        self, key: bytes, upstream: Upstream, port: int, opening_id: int, seen: float
    ) -> None:
        self.key = key
        self.upstream = upstream
        self.port = port
        self.opening_id = opening_id
        self.seen = seen
        self.asked_at: float | None = None
        self.moved = False


class Refusal(typing.NamedTuple):
    """A refused opening, to be refused again until a time."""

    opening_id: int
    until: float
    reason: str


class FlowTable:
    """The flows, upstreams and remembered refusals of one service.

    Parameters
    ----------
    port_numbers : sequence of int
        The port slots of each upstream, shared by all flows to save memory.
    """

    def __init__(self, port_numbers: abc.Sequence[int]) -> None:
        self.port_numbers = port_numbers
        self.flows: dict[bytes, Flow] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.refusals: dict[bytes, Refusal] = {}

    def has_free_port(self, upstream: Upstream, now: float) -> bool:
        """Tell whether an upstream can take one more flow."""
        if len(upstream.ports) < len(self.port_numbers):
            return True
        released = upstream.released
        return bool(released) and released[0][0] + PORT_QUARANTINE_S <= now

    def bind(
        self, key: bytes, upstream: Upstream, opening_id: int, seen: float
    ) -> Flow:
        """Bind an unbound flow to an upstream that has a free port.

        Ports never used come first and released ones in order of release, so that a
        late response finds its port empty rather than given to another caller.
        """
        if len(upstream.ports) < len(self.port_numbers):
            port = self.port_numbers[len(upstream.ports)]
            upstream.ports.append(None)
        else:
            port = upstream.released.popleft()[1]
        flow = Flow(key, upstream, port, opening_id, seen)
        upstream.ports[port] = flow
        upstream.load.open += 1
        self.flows[key] = flow
        return flow

    def unbind(self, flow: Flow, now: float) -> None:
        """Remove a bound flow and release its port."""
        upstream = flow.upstream
        upstream.ports[flow.port] = None
        upstream.released.append((now, flow.port))
        upstream.load.open -= 1
        if flow.asked_at is not None:
            upstream.load.waiting -= 1
        del self.flows[flow.key]

    def walk_flows(self) -> abc.Iterator[Flow | None]:
        """Walk over all port slots; the table may change between steps."""
        for upstream in list(self.upstreams.values()):
            for port in range(len(upstream.ports)):
                yield upstream.ports[port]

    def remember_refusal(self, key: bytes, refusal: Refusal) -> None:
        """Remember a refused opening, and forget the oldest one when full."""
        self.refusals.pop(key, None)
        self.refusals[key] = refusal
        if len(self.refusals) > MAX_REFUSALS:
            del self.refusals[next(iter(self.refusals))]

    def find_refusal(self, key: bytes, opening_id: int, now: float) -> Refusal | None:
        """Return the refusal of this opening, if it is still remembered."""
        refusal = self.refusals.get(key)
        if refusal is None or refusal.until <= now or refusal.opening_id != opening_id:
            return None
        return refusal

    def forget_refusals(self, now: float) -> None:
        """Forget expired refusals; they are in order of expiry."""
        while self.refusals:
            key = next(iter(self.refusals))
            if self.refusals[key].until > now:
                return
            del self.refusals[key]
