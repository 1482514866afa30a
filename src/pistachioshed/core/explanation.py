"""Explain where the next opening of a route would go, without a change of state.

The candidates, their costs and the choice come from the functions that place openings.
"""

import math
import random
import typing
from collections import abc

from pistachioshed.core import (
    coldlimiter,
    directory,
    dispatch,
    passivehealth,
    routing,
    segments,
    selection,
    upstreamselector,
)

Suspicion = typing.Literal["none", "here", "peers"]
"""Who suspects an upstream; "peers" are other balancers of the zone."""


class UpstreamExplanation(typing.TypedDict):
    """What the choice knows of one upstream.

    `exclusion` is why it is no candidate, None for a candidate. `tier` names what makes
    it a later choice. `cost` is without the random part of up to a tenth. `heard_s` is
    the time since its last activity on a flow of this balancer, None before the first.
    """

    upstream: str
    zone: str
    exclusion: str | None
    outstanding: int
    slots: int
    slowness: float
    cold: bool
    suspicion: Suspicion
    trial_due: bool
    heard_s: float | None
    tier: list[str]
    cost: float


class ServiceExplanation(typing.TypedDict):
    """The upstreams of one service, and the choice or the reason of a refusal."""

    service: str
    weight: float
    upstreams: list[UpstreamExplanation]
    choice: str | None
    refusal: str | None


class RouteExplanation(typing.TypedDict):
    """What happens to the next opening of a route.

    `refusal` is set if no service is asked. The service of a flow depends on its ends,
    in proportion to the weights. Ages are in seconds, None without a known state.
    """

    route: str
    kind: str | None
    priority: int | None
    typical_latency_s: float | None
    configuration: int
    configuration_age_s: float | None
    upstreams_revision: int
    upstreams_age_s: float | None
    refusal: str | None
    services: list[ServiceExplanation]


def explain_route(
    dispatcher: dispatch.Dispatcher, name: str, now: float
) -> RouteExplanation:
    """Return what would happen to an opening of the route with a name."""
    configuration = dispatcher.configuration
    routes = [route for route in configuration.routes.values() if route.name == name]
    route = routes[0] if routes else None
    services = [] if route is None else explain_services(dispatcher, route, now)
    refusal = None
    if route is None:
        refusal = "no route" if configuration.version else "no configuration"
    elif not services:
        refusal = "route without weights"
    selector = dispatcher.upstream_selector
    return RouteExplanation(
        route=name,
        kind=route.kind if route else None,
        priority=route.priority if route else None,
        typical_latency_s=selector.typical_latency_s.get(name),
        configuration=configuration.version,
        configuration_age_s=find_age(dispatcher.configured_at, now),
        upstreams_revision=dispatcher.directory.revision,
        upstreams_age_s=find_age(dispatcher.directory_updated_at, now),
        refusal=refusal,
        services=services,
    )


def explain_services(
    dispatcher: dispatch.Dispatcher, route: routing.Route, now: float
) -> list[ServiceExplanation]:
    """Return the explanation of each service of a route that has a weight."""
    return [
        explain_service(dispatcher, route, share, now)
        for share in route.shares
        if share.weight > 0
    ]


def explain_service(
    dispatcher: dispatch.Dispatcher,
    route: routing.Route,
    share: routing.Share,
    now: float,
) -> ServiceExplanation:
    """Return the candidates of a service and the choice among them."""
    selector = dispatcher.upstream_selector
    find_health = make_find_health(dispatcher)
    rng = random.Random()
    rng.setstate(selector.rng.getstate())
    permits = find_permits(dispatcher, share.service, now)
    candidates = selector.list_candidates(
        dispatcher.configuration, share.service, (), now, find_health, permits
    )
    by_name = {candidate.upstream.name: candidate for candidate in candidates}
    chosen: selection.Candidate | segments.Refuse = (
        selector.find_evacuation_refusal(share.service)
        or upstreamselector.find_cold_refusal(share.service, candidates, permits)
        or selector.preview_admission(route, share.service, candidates, now)
        or selector.pick(candidates, route, share.service, rng)
    )
    return ServiceExplanation(
        service=share.service,
        weight=share.weight,
        upstreams=[
            explain_upstream(dispatcher, upstream, find_health, by_name, permits, now)
            for upstream in dispatcher.directory.list_service(share.service)
        ],
        choice=None if isinstance(chosen, segments.Refuse) else chosen.upstream.name,
        refusal=chosen.reason if isinstance(chosen, segments.Refuse) else None,
    )


def explain_upstream(
    dispatcher: dispatch.Dispatcher,
    upstream: directory.Upstream,
    find_health: upstreamselector.FindHealth,
    candidates: abc.Mapping[str, selection.Candidate],
    permits: coldlimiter.Permits,
    now: float,
) -> UpstreamExplanation:
    """Return what the choice knows of an upstream, which may be no candidate.

    `candidates` are those of its service, by name, `permits` those of cold upstreams.
    """
    selector = dispatcher.upstream_selector
    health = find_health(upstream)
    candidate = candidates.get(upstream.name)
    exclusion = None
    if candidate is None:
        candidate = selector.build_candidate(upstream, health, (), now)
        exclusion = selector.find_exclusion(upstream) or "connection limit"
        if permits.get(upstream.name, 0.0) is None:
            exclusion = "cold without a permit"
    suspicion: Suspicion = "none"
    if dispatcher.monitor.has_suspicion(upstream, health):
        suspicion = "peers" if health.suspected_at is None else "here"
    return UpstreamExplanation(
        upstream=upstream.name,
        zone=upstream.zone,
        exclusion=exclusion,
        outstanding=candidate.outstanding,
        slots=upstream.slots,
        slowness=round(candidate.slowness, 3),
        cold=candidate.cold,
        suspicion=suspicion,
        trial_due=health.may_receive_trial(now),
        heard_s=None
        if math.isinf(health.heard_at)
        else round(now - health.heard_at, 3),
        tier=[name for name, is_set in candidate.tier._asdict().items() if is_set],
        cost=round(selection.estimate_cost(candidate, dispatcher.zone), 3),
    )


def find_permits(
    dispatcher: dispatch.Dispatcher, service: str, now: float
) -> coldlimiter.Permits:
    """Return the permits of the limited cold upstreams of a service."""
    selector = dispatcher.upstream_selector
    if selector.cold_limiter is None:
        return {}
    return selector.cold_limiter.find_permits(
        selector.list_admissible(service),
        dispatcher.configuration.services.get(service),
        now,
    )


def make_find_health(
    dispatcher: dispatch.Dispatcher,
) -> upstreamselector.FindHealth:
    """Return a function like `HealthMonitor.find` that stores nothing."""

    def find_health(upstream: directory.Upstream) -> passivehealth.PassiveHealth:
        known = dispatcher.monitor.health.get((upstream.name, upstream.start_ms))
        return known or passivehealth.PassiveHealth()

    return find_health


def find_age(since: float | None, now: float) -> float | None:
    """Return the seconds since a time, None without one."""
    return None if since is None else round(max(0.0, now - since), 1)
