"""Assesses the upstreams of a route and chooses one for a new flow."""

import math
import random
import typing
from collections import abc

from pistachioshed.core import (
    directory,
    healthmonitor,
    peertable,
    routing,
    segments,
    selection,
)

# Twenty responses outweigh what was known; a route has about ten a second.
LATENCY_GAIN: typing.Final = 0.05
LATENCY_MIN_S: typing.Final = 0.001  # Below the round trip of any flow.


class UpstreamSelector:
    """Knows own loads, health and the typical latency of each route.

    Parameters
    ----------
    zone : str
        The availability zone of this balancer.
    known : Directory
        The registered upstreams.
    peers : PeerTable
        The other balancers, with which the limits of upstreams are shared.
    health : HealthMonitor
        What was learned about each upstream.
    seed : int
        Makes the random part of the choices repeatable.

    `select` chooses among the assessed candidates; experiments replace it.
    """

    def __init__(
        self,
        zone: str,
        upstream_directory: directory.Directory,
        peers: peertable.PeerTable,
        monitor: healthmonitor.HealthMonitor,
        seed: int,
    ) -> None:
        self.zone = zone
        self.directory = upstream_directory
        self.peers = peers
        self.monitor = monitor
        self.rng = random.Random(seed)
        self.select: selection.Select = selection.choose_upstream
        self.typical_latency_s: dict[str, float] = {}

    def choose(
        self,
        configuration: routing.Configuration,
        route: routing.Route,
        segment: segments.Segment,
        tried_upstreams: abc.Sequence[str],
        now: float,
    ) -> selection.Candidate | segments.Refuse:
        """Return the upstream for a flow that others did not answer, or a refusal."""
        flow_key = repr(segments.get_flow_key(segment)).encode()
        service = routing.choose_service(route, flow_key)
        if service is None:
            return segments.Refuse("route without weights")
        limits = configuration.services.get(service)
        # Each balancer may use its share of an upstream's connections.
        balancer_count = 1 + len(self.peers.peers)
        connections_max = (
            math.inf if limits is None else max(1, limits.connections // balancer_count)
        )
        candidates = [
            candidate
            for upstream in self.directory.list_service(service)
            if not upstream.draining
            and (
                candidate := self._build_candidate(upstream, tried_upstreams, now)
            ).outstanding
            < connections_max
        ]
        chosen = self.select(candidates, self.zone, self.rng)
        if chosen is None:
            return segments.Refuse(f"no upstream of {service}")
        expected_latency_s = selection.estimate_cost(
            chosen, self.zone
        ) * self.typical_latency_s.get(route.name, 0.0)
        if expected_latency_s > route.timeout_s:
            return segments.Refuse(f"{service} is overloaded")
        return chosen

    def _build_candidate(
        self,
        upstream: directory.Upstream,
        tried_upstreams: abc.Sequence[str],
        now: float,
    ) -> selection.Candidate:
        health = self.monitor.find(upstream)
        is_suspected = self.monitor.has_suspicion(upstream, health)
        tier_values = (
            tried_upstreams.count(upstream.name) if tried_upstreams else 0,
            is_suspected and not health.may_receive_trial(now),
            upstream.zone in self.monitor.partitioned_zones,
            upstream.name in self.directory.lapsed_at,
        )
        return selection.Candidate(
            upstream,
            health.outstanding,
            health.slowness,
            self.directory.is_cold(upstream, now),
            selection.Tier(*tier_values)
            if any(tier_values)
            else selection.PREFERRED_TIER,
        )

    def learn_latency(
        self, route: routing.Route, upstream: directory.Upstream, latency_s: float
    ) -> None:
        """Take the latency of a response into what is typical of route and upstream."""
        typical_s = self.typical_latency_s.get(route.name)
        if typical_s is None:
            self.typical_latency_s[route.name] = latency_s
            return
        correction_s = LATENCY_GAIN * (latency_s - typical_s)
        self.typical_latency_s[route.name] = typical_s + correction_s
        health = self.monitor.find(upstream)
        if health.outstanding < upstream.slots:
            # With more in progress the latency is that of the queue.
            health.record_latency(latency_s / max(typical_s, LATENCY_MIN_S))

    def get_typical_latency(self, route: routing.Route) -> float:
        """Return the typical latency of a route in seconds, 0 before its first."""
        return self.typical_latency_s.get(route.name, 0.0)
