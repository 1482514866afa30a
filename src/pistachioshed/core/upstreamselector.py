"""Select an upstream of a route for a new flow."""

import math
import random
import typing
from collections import abc

from pistachioshed.core import (
    coldlimiter,
    directory,
    healthmonitor,
    loadtable,
    passivehealth,
    peertable,
    routing,
    segments,
    selection,
    slotadmission,
)

# Weight of a new sample: after twenty responses, the new samples outweigh the earlier
# average. A route has about ten responses a second.
LATENCY_GAIN: typing.Final = 0.05
LATENCY_MIN_S: typing.Final = 0.001  # Less than the round trip time of any flow.
# A request that ran took longer than this part of the typical latency in 99.9% of cases
# with the log-normal work of the users' expected traffic (sigma 0.5). A full upstream
# answers within a millisecond.
REJECTION_FACTOR: typing.Final = 0.2
# Weight of a rejection in the typical latency. It corrects a typical latency that was
# learnt ten times too high within 170 answers; with nine rejections in ten answers the
# rejections are still detected.
REJECTION_GAIN: typing.Final = LATENCY_GAIN / 10

FindHealth = abc.Callable[[directory.Upstream], passivehealth.PassiveHealth]
"""Return the health of an upstream's incarnation."""


class UpstreamSelector:
    """Select upstreams by load, health and the typical latency of each route.

    Parameters
    ----------
    zone : str
        The availability zone of this balancer.
    upstream_directory : Directory
        The registered upstreams.
    peers : PeerTable
        The other balancers, which share the connection limits of upstreams.
    monitor : HealthMonitor
        The load and health of each upstream.
    seed : int
        Seed of the random part of the selection.

    Attributes
    ----------
    select : callable
        Chooses one of the candidates; experiments replace it.
    typical_latency_s : dict
        Moving average of the response latency by name of route.
    cold_limiter : ColdLimiter or None
        Limits the openings at cold upstreams, if set.
    free_latency_s : dict
        The same of responses during which slots were free. It does not grow under load,
        so that normal answers after a burst are not taken for rejections.
    configuration : Configuration
        The configuration in force at the last choice.
    ranks_requests : bool
        Whether priorities decide who is refused when slots are short.
    shares_upstreams : bool
        Whether requests of several kinds compete for the slots of a service of it.
    load_table : LoadTable
        The load of each service here and at the peers.
    slot_admission : SlotAdmission
        Refuses openings to services without free slots.
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
        self.cold_limiter: coldlimiter.ColdLimiter | None = None
        self.free_latency_s: dict[str, float] = {}
        self.configuration = routing.EMPTY_CONFIGURATION
        self.ranks_requests = False
        self.shares_upstreams = False
        self.load_table = loadtable.LoadTable(peers)
        self.slot_admission = slotadmission.SlotAdmission(
            self.load_table, self.free_latency_s
        )

    def choose(
        self,
        configuration: routing.Configuration,
        route: routing.Route,
        segment: segments.Segment,
        tried_upstreams: abc.Sequence[str],
        now: float,
    ) -> selection.Candidate | segments.Refuse:
        """Return the best candidate for a flow, or a refusal.

        `tried_upstreams` names the upstreams that did not answer this flow's opening.
        """
        if configuration is not self.configuration:
            self.configuration = configuration
            self.shares_upstreams = routing.shares_upstreams(
                configuration, self.ranks_requests
            )
            self.load_table.configure(configuration, self.ranks_requests)
            self.slot_admission.configure(configuration, self.ranks_requests)
        service = find_service(route, segment)
        if service is None:
            return segments.Refuse("route without weights")
        refusal = self.find_evacuation_refusal(service)
        if refusal is not None:
            return refusal
        limits = configuration.services.get(service)
        permits: coldlimiter.Permits = {}
        if self.cold_limiter is not None:
            permits = self.cold_limiter.find_permits(
                self.list_admissible(service), limits, now
            )
        candidates = self.list_candidates(
            configuration,
            service,
            tried_upstreams,
            now,
            self.monitor.find,
            permits,
        )
        refusal = find_cold_refusal(service, candidates, permits)
        if refusal is not None:
            self._record_choice(permits, None)
            return refusal
        if self.shares_upstreams and not tried_upstreams:
            refusal = self._admit(self.slot_admission, route, service, candidates, now)
            if refusal is not None:
                return refusal
        chosen = self.pick(candidates, route, service, self.rng)
        if not isinstance(chosen, segments.Refuse):
            self._record_choice(permits, chosen.upstream)
        return chosen

    def preview_admission(
        self,
        route: routing.Route,
        service: str,
        candidates: abc.Sequence[selection.Candidate],
        now: float,
    ) -> segments.Refuse | None:
        """Return the refusal that an opening would get for want of slots, or None."""
        if not self.shares_upstreams:
            return None
        slot_admission = self.slot_admission.copy_state()
        return self._admit(slot_admission, route, service, candidates, now)

    def _admit(
        self,
        slot_admission: slotadmission.SlotAdmission,
        route: routing.Route,
        service: str,
        candidates: abc.Sequence[selection.Candidate],
        now: float,
    ) -> segments.Refuse | None:
        """Count an opening and return its refusal, or None if slots are free for it."""
        load_table = slot_admission.load_table
        load_table.count_opening(service, now)
        load_table.update_slots(service, candidates, now)
        shortage = slot_admission.admit(route, service, now)
        if shortage is None:
            return None
        return self._build_refusal(route, service, shortage)

    def find_evacuation_refusal(self, service: str) -> segments.Refuse | None:
        """Return a refusal if the upstreams of a service are all evacuated.

        It applies also if they are healthy and no other upstream is: the operators
        asked for it.
        """
        if not self.directory.evacuated_zones or self.list_admissible(service):
            return None
        upstreams = self.directory.list_service(service)
        if all(upstream.draining for upstream in upstreams):
            return None
        return segments.Refuse(f"all upstreams of {service} are evacuated")

    def list_admissible(self, service: str) -> list[directory.Upstream]:
        """Return the upstreams of a service that neither drain nor are evacuated."""
        return [
            upstream
            for upstream in self.directory.list_service(service)
            if not upstream.draining and not self.directory.is_evacuated(upstream)
        ]

    def list_candidates(
        self,
        configuration: routing.Configuration,
        service: str,
        tried_upstreams: abc.Sequence[str],
        now: float,
        find_health: FindHealth,
        permits: coldlimiter.Permits | None = None,
    ) -> list[selection.Candidate]:
        """Return the upstreams of a service that may receive a new flow.

        `find_health` is `HealthMonitor.find`, or a function that stores nothing.
        Upstreams whose entry in `permits` is None are left out.
        """
        connections_max = self.find_connection_limit(configuration, service)
        return [
            candidate
            for upstream in self.directory.list_service(service)
            if self.find_exclusion(upstream) is None
            and not (permits and permits.get(upstream.name, 0.0) is None)
            and (
                candidate := self.build_candidate(
                    upstream, find_health(upstream), tried_upstreams, now
                )
            ).outstanding
            < connections_max
        ]

    def find_connection_limit(
        self, configuration: routing.Configuration, service: str
    ) -> float:
        """Return how many flows this balancer may have at one upstream of a service.

        The connection limit of an upstream is divided equally among the balancers.
        """
        limits = configuration.services.get(service)
        if limits is None:
            return math.inf
        return max(1, limits.connections // (1 + len(self.peers.peers)))

    def find_exclusion(self, upstream: directory.Upstream) -> str | None:
        """Return why an upstream may not receive a flow with any load, else None."""
        if upstream.draining:
            return "draining"
        return "evacuated" if self.directory.is_evacuated(upstream) else None

    def may_repeat(
        self,
        configuration: routing.Configuration,
        upstream: directory.Upstream,
        now: float,
    ) -> bool:
        """Return whether an opening may be sent again; consume a permit if needed.

        Each copy that reaches a cold upstream counts as an opening.
        """
        limits = configuration.services.get(upstream.service)
        if self.cold_limiter is None:
            return True
        permits = self.cold_limiter.find_permits([upstream], limits, now)
        self._record_choice(permits, upstream)
        return None not in permits.values()

    def _record_choice(
        self, permits: coldlimiter.Permits, chosen: directory.Upstream | None
    ) -> None:
        if self.cold_limiter is not None:
            self.cold_limiter.record_choice(permits, chosen)

    def build_candidate(
        self,
        upstream: directory.Upstream,
        health: passivehealth.PassiveHealth,
        tried_upstreams: abc.Sequence[str],
        now: float,
    ) -> selection.Candidate:
        """Return what the choice of an upstream depends on; no state is changed."""
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
            health.get_rejection_cost(now),
        )

    def pick(
        self,
        candidates: abc.Sequence[selection.Candidate],
        route: routing.Route,
        service: str,
        rng: random.Random,
    ) -> selection.Candidate | segments.Refuse:
        """Return one of the candidates, or a refusal; only `rng` changes its state."""
        chosen = self.select(candidates, self.zone, rng)
        if chosen is None:
            return segments.Refuse(f"no upstream of {service}")
        expected_latency_s = selection.estimate_cost(
            chosen, self.zone
        ) * self.typical_latency_s.get(route.name, 0.0)
        if expected_latency_s > route.timeout_s:
            return segments.Refuse(f"{service} is overloaded")
        return chosen

    def learn_latency(
        self, route: routing.Route, upstream: directory.Upstream, latency_s: float
    ) -> None:
        """Update the typical latency of the route and the slowness of the upstream.

        An answer that came too fast is a rejection and does not count as speed. The
        activity of the upstream has been recorded, so the answer came at `heard_at`.
        """
        health = self.monitor.find(upstream)
        if self.shares_upstreams:
            free_s = self.free_latency_s.get(route.name, latency_s)
            is_rejected = latency_s < REJECTION_FACTOR * free_s
            has_free_slot = health.outstanding < upstream.slots
            if has_free_slot and not self.load_table.is_loaded(upstream.service):
                gain = REJECTION_GAIN if is_rejected else LATENCY_GAIN
                self.free_latency_s[route.name] = free_s + gain * (latency_s - free_s)
            if is_rejected:
                health.record_rejection(health.heard_at)
                self.slot_admission.record_rejection(upstream.service, health.heard_at)
                return
        typical_s = self.typical_latency_s.get(route.name)
        if typical_s is None:
            self.typical_latency_s[route.name] = latency_s
            return
        correction_s = LATENCY_GAIN * (latency_s - typical_s)
        self.typical_latency_s[route.name] = typical_s + correction_s
        if health.outstanding < upstream.slots:
            # With all slots in use, the latency would include time in the queue.
            health.record_latency(latency_s / max(typical_s, LATENCY_MIN_S))

    def is_loaded(self, service: str) -> bool:
        """Return whether a service is loaded, so that no work may be added to it."""
        return self.load_table.is_loaded(service)

    def _build_refusal(
        self, route: routing.Route, service: str, refusal: slotadmission.Refusal
    ) -> segments.Refuse:
        return segments.Refuse(
            f"{service} has no free slot",
            (
                ("service", service),
                ("priority", route.priority),
                ("kind", refusal.kind),
                ("load", round(refusal.load, 2)),
                ("limit", round(refusal.limit, 2)),
                ("load_age_s", round(refusal.age_s, 2)),
            ),
        )

    def get_typical_latency(self, route: routing.Route) -> float:
        """Return the typical latency of a route in seconds, 0 without a response."""
        return self.typical_latency_s.get(route.name, 0.0)


def find_service(route: routing.Route, segment: segments.Segment) -> str | None:
    """Return the service of a route for the flow of a packet."""
    return routing.choose_service(route, repr(segments.get_flow_key(segment)).encode())


def find_cold_refusal(
    service: str,
    candidates: abc.Sequence[selection.Candidate],
    permits: coldlimiter.Permits,
) -> segments.Refuse | None:
    """Return a refusal if nothing but cold upstreams without a permit is left."""
    if candidates or None not in permits.values():
        return None
    return segments.Refuse(f"upstreams of {service} are cold")
