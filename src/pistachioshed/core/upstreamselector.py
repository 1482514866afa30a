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


class Chooser:
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
        known: directory.Directory,
        peers: peertable.PeerTable,
        health: healthmonitor.HealthMonitor,
        seed: int,
    ) -> None:
        self.zone = zone
        self.directory = known
        self.peers = peers
        self.monitor = health
        self.draw = random.Random(seed)
        self.select: selection.Select = selection.choose_upstream
        self.latency_s: dict[str, float] = {}

    def choose(
        self,
        configuration: routing.Configuration,
        route: routing.Route,
        segment: segments.Segment,
        tried: abc.Sequence[str],
        now: float,
    ) -> selection.Candidate | segments.Refuse:
        """Return the upstream for a flow that others did not answer, or a refusal."""
        ends = repr(segments.get_flow_key(segment)).encode()
        service = routing.choose_service(route, ends)
        if service is None:
            return segments.Refuse("route without weights")
        limits = configuration.services.get(service)
        # Each balancer may use its share of an upstream's connections.
        sharers = 1 + len(self.peers.peers)
        most = math.inf if limits is None else max(1, limits.connections // sharers)
        candidates = [
            candidate
            for upstream in self.directory.list_service(service)
            if not upstream.draining
            and (candidate := self._assess(upstream, tried, now)).outstanding < most
        ]
        chosen = self.select(candidates, self.zone, self.draw)
        if chosen is None:
            return segments.Refuse(f"no upstream of {service}")
        wait_s = selection.estimate_cost(chosen, self.zone) * self.latency_s.get(
            route.name, 0.0
        )
        if wait_s > route.timeout_s:
            return segments.Refuse(f"{service} is overloaded")
        return chosen

    def _assess(
        self, upstream: directory.Upstream, tried: abc.Sequence[str], now: float
    ) -> selection.Candidate:
        health = self.monitor.find(upstream)
        is_suspected = self.monitor.holds_suspected(upstream, health)
        doubts = (
            tried.count(upstream.name) if tried else 0,
            is_suspected and not health.may_try(now),
            upstream.zone in self.monitor.partitioned_zones,
            upstream.name in self.directory.lapsed_at,
        )
        return selection.Candidate(
            upstream,
            health.outstanding,
            health.slowness,
            self.directory.is_cold(upstream, now),
            selection.Tier(*doubts) if any(doubts) else selection.NO_DOUBT,
        )

    def learn_latency(
        self, route: routing.Route, upstream: directory.Upstream, latency_s: float
    ) -> None:
        """Take the latency of a response into what is typical of route and upstream."""
        typical_s = self.latency_s.get(route.name)
        if typical_s is None:
            self.latency_s[route.name] = latency_s
            return
        gained_s = LATENCY_GAIN * (latency_s - typical_s)
        self.latency_s[route.name] = typical_s + gained_s
        health = self.monitor.find(upstream)
        if health.outstanding < upstream.slots:
            # With more in progress the latency is that of the queue.
            health.record_latency(latency_s / max(typical_s, LATENCY_MIN_S))

    def get_typical_latency(self, route: routing.Route) -> float:
        """Return the typical latency of a route in seconds, 0 before its first."""
        return self.latency_s.get(route.name, 0.0)
