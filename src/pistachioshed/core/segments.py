"""Packets, decisions and flows of the forwarder: the types that its parts share."""

import typing
from collections import abc

from pistachioshed.core import directory, routing

FlowKey = tuple[int, int, int, int]
"""IPv4 address and port of a caller, then of the target it opened the flow to."""

Record = abc.Callable[..., None]
"""Takes the name of a decision or belief and its inputs as keywords."""

Observe = abc.Callable[[str, float], None]
"""Takes the name of a route and the latency of a response in seconds."""


class Segment(typing.NamedTuple):
    """The header fields of a caller's packet that decide where it goes.

    `copy` counts how often the caller has repeated an opening; `acknowledged` is the
    next byte it expects, `token` names the flow's upstream.
    """

    caller: tuple[int, int]
    target: routing.Target
    sequence: int
    acknowledged: int
    copy: int
    token: int
    length: int
    opening: bool
    closing: bool
    reset: bool


class Forward(typing.NamedTuple):
    """Send the packet to an upstream; mark it with the upstream's token if `mark`."""

    upstream: directory.Upstream
    mark: bool


class Refuse(typing.NamedTuple):
    """Reset the flow.

    Before the flow is open this means that its request has not run; on an open flow it
    says nothing about the request.
    """

    reason: str


class Drop(typing.NamedTuple):
    """Do nothing with the packet."""

    reason: str


Action = Forward | Refuse | Drop


class Order(typing.NamedTuple):
    """Something to send without a packet that asks for it right now."""

    action: Forward | Refuse
    segment: Segment
    packet: bytes


ProbeOutcome = typing.Literal["passed", "failed", "busy", "refused", "silent"]
"""Healthy; answered otherwise; connected but did not answer in time; its machine has no
such port; did not connect in time."""


class Flow:
    """A flow that this balancer placed.

    `placed_at` is when it was given to its upstream, `asked_at` when its request was
    sent on. `counted` tells whether it is among its upstream's outstanding requests.
    `segment` and `packet` are its opening; `repeated` if that was sent twice.
    """

    __slots__ = (
        "acknowledged",
        "asked_at",
        "counted",
        "key",
        "opened",
        "overdue",
        "packet",
        "placed_at",
        "repeated",
        "route",
        "seen_at",
        "segment",
        "sent_through",
        "sequence",
        "tried",
        "upstream",
    )

    def __init__(
        self,
        key: FlowKey,
        route: routing.Route,
        upstream: directory.Upstream,
        segment: Segment,
        packet: bytes,
        now: float,
    ) -> None:
        self.key = key
        self.overdue = False
        self.route = route
        self.upstream = upstream
        self.segment = segment
        self.packet = packet
        self.sequence = segment.sequence
        self.placed_at = now
        self.seen_at = now
        self.asked_at = now
        self.counted = False
        self.opened = False
        self.repeated = False
        self.acknowledged = 0
        self.sent_through = segment.sequence
        self.tried: list[str] = []
