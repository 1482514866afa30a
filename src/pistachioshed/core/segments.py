"""Packets of callers, and what the forwarder does with them: shared types."""

import typing
from collections import abc

from pistachioshed.core import directory, routing

FlowKey = tuple[int, int, int, int]
"""IPv4 address and port of a caller, then of the target it opened the flow to."""

Record = abc.Callable[..., None]
"""Takes the name of a decision or change and its inputs as keywords."""

ObserveLatency = abc.Callable[[str, float], None]
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


def get_flow_key(segment: Segment) -> FlowKey:
    """Return the ends of a packet's flow."""
    return (*segment.caller, *segment.target)


class Forward(typing.NamedTuple):
    """Send the packet to an upstream; mark it with the upstream's token if `mark`."""

    upstream: directory.Upstream
    write_token: bool


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


class QueuedAction(typing.NamedTuple):
    """Something to send without a packet that asks for it right now."""

    action: Forward | Refuse
    segment: Segment
    packet: bytes


ProbeOutcome = typing.Literal["passed", "failed", "busy", "refused", "silent"]
"""Healthy; answered otherwise; connected but did not answer in time; its machine has no
such port; did not connect in time."""
