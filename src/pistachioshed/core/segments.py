"""Shared types for the packets of callers and the actions taken for them."""

import typing
from collections import abc

from pistachioshed.core import directory, routing

# Ranges of the numbers that address an upstream and stand for it in packets.
NUMBER_RANGE: typing.Final = 2**64
TOKEN_RANGE: typing.Final = 2**32

FlowKey = tuple[int, int, int, int]
"""IPv4 address and port of the caller, followed by those of the flow's target."""

Record = abc.Callable[..., None]
"""Log an event; called with the event's name, and its fields as keywords."""

ObserveLatency = abc.Callable[[str, float], None]
"""Record the latency of a response; called with a route's name and seconds."""


class Segment(typing.NamedTuple):
    """The header fields of a caller's packet that determine its destination.

    `copy` counts how often the caller has retransmitted an opening; `acknowledged` is
    the sequence number of the next byte it expects; `token` identifies the flow's
    upstream.
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


def get_flow_key(segment: Segment) -> FlowKey:
    """Return the key of a packet's flow: the addresses and ports of both ends."""
    return (*segment.caller, *segment.target)


class Forward(typing.NamedTuple):
    """Send the packet to an upstream, with the upstream's token if `write_token`."""

    upstream: directory.Upstream
    write_token: bool


class Refuse(typing.NamedTuple):
    """Reset the flow.

    Before the flow is open, a reset guarantees that its request has not run. On an open
    flow, the request may or may not have run. `details` are fields for the log.
    """

    reason: str
    details: tuple[tuple[str, typing.Any], ...] = ()


class Drop(typing.NamedTuple):
    """Discard the packet."""

    reason: str


Action = Forward | Refuse | Drop


class QueuedAction(typing.NamedTuple):
    """A packet to forward or a flow to reset.

    Timeouts and failed probes queue such actions without a received packet. `packet` is
    the datagram to forward; it is not used for a reset.
    """

    action: Forward | Refuse
    segment: Segment
    packet: bytes


ProbeOutcome = typing.Literal["passed", "failed", "busy", "reset", "refused", "silent"]
"""Result of a health check.

"passed": healthy; "failed": any other response; "busy": connected, but did not answer
in time or rejected the check because it is full; "reset": reset while connecting, by a
full host or on the way; "refused": nothing listens on that port of the machine;
"silent": did not connect in time.
"""
