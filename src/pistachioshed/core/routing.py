"""Routes of the configuration in force: the services for new flows to a target."""

import typing

import xxhash

RequestKind = typing.Literal["safe", "unsafe", "download"]
REQUEST_KINDS: typing.Final[tuple[RequestKind, ...]] = ("safe", "unsafe", "download")

Target = tuple[int, int]
"""Destination of a caller's flow: IPv4 address as a number, and port."""


class Share(typing.NamedTuple):
    """A service and its relative weight among the services of a route."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Services for new flows to one target, and the requirements of their requests.

    `timeout_s` is the longest time that a request may take; `target_latency_s` is the
    latency within which callers want the response.
    """

    name: str
    target: Target
    shares: tuple[Share, ...]
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    priority: int


class ServiceLimits(typing.NamedTuple):
    """Settings of each upstream of a service: health check path, connection limit.

    `cold_per_s` is the number of requests per second that an upstream can serve while
    it is cold; 0 is no limit.
    """

    health_path: str
    connections: int
    cold_per_s: float = 0.0


class Configuration(typing.NamedTuple):
    """One version of the operators' configuration.

    `flow_idle_s` is the time after which an idle flow is no longer tracked.
    """

    version: int
    routes: dict[Target, Route]
    services: dict[str, ServiceLimits]
    flow_idle_s: float


def shares_upstreams(configuration: Configuration, ranks_requests: bool) -> bool:
    """Return whether requests of several kinds compete for the slots of a service.

    They do if a route splits its traffic over several services. If the deployment ranks
    requests, they also do if routes to one service have different priorities.
    """
    priorities: dict[str, set[int]] = {}
    for route in configuration.routes.values():
        if len(route.shares) > 1:
            return True
        for share in route.shares:
            priorities.setdefault(share.service, set()).add(route.priority)
    return ranks_requests and any(len(found) > 1 for found in priorities.values())


EMPTY_CONFIGURATION: typing.Final = Configuration(0, {}, {}, 15.0)


def choose_service(route: Route, flow_key: bytes) -> str | None:
    """Return the service for a flow, in proportion to the weights.

    The choice depends on the flow only, so that every copy of an opening gets the same
    service on any balancer. Return None if no share has a weight.
    """
    shares = [share for share in route.shares if share.weight > 0]
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    point = xxhash.xxh3_64_intdigest(flow_key) / 2.0**64 * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    # Rounding may leave a remainder after the last share.
    return shares[-1].service if shares else None
