"""Routes of the configuration in force: which services may take a new flow."""

import typing

import xxhash

RequestKind = typing.Literal["safe", "unsafe", "download"]

Target = tuple[int, int]
"""IPv4 address as a number, and port, to which a caller opens a flow."""


class Share(typing.NamedTuple):
    """A service and its relative share of a route's new flows."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where new flows to one target go, and what their requests expect.

    `timeout_s` is how long a request may take at most; `target_latency_s` how soon
    its caller wants the response.
    """

    name: str
    target: Target
    shares: tuple[Share, ...]
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    priority: int


class ServiceLimits(typing.NamedTuple):
    """What holds for all upstreams of one service."""

    health_path: str
    connections: int


class Configuration(typing.NamedTuple):
    """One version of the operators' configuration.

    `flow_idle_s` is the time after which an idle flow may be forgotten.
    """

    version: int
    routes: dict[Target, Route]
    services: dict[str, ServiceLimits]
    flow_idle_s: float


EMPTY_CONFIGURATION: typing.Final = Configuration(0, {}, {}, 15.0)


def choose_service(route: Route, flow_key: bytes) -> str | None:
    """Return the service for a flow: each gets its weight's share of the flows.

    The choice depends on the flow only, so that copies of an opening agree on it
    whichever balancer they arrive at. None if no share has a weight.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh3_64_intdigest(flow_key) / 2.0**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return None
