"""Track the health of all upstreams from traffic, probes and the reports of peers."""

import typing
from collections import abc

from pistachioshed.core import (
    directory,
    passivehealth,
    peertable,
    segments,
    tokenbucket,
)

# A peer's suspicion is ignored if the upstream showed activity here after the suspicion
# began, or less than this time before.
PEER_SUSPICION_AGE_S: typing.Final = 0.1
# The packets of a single probe may be lost. After two silent probes in a row, with
# silent flows as well, the host is considered gone.
SILENT_PROBES_MIN: typing.Final = 2
PROBE_INTERVAL_S: typing.Final = 0.5  # The fabric's probe interval.
# Budget of each service for probes by one forwarder. A probe takes a slot of the host:
# without a limit, 62 forwarders spent 2,000 probes a second on a full service.
PROBES_PER_S: typing.Final = 4.0
PROBES_BURST: typing.Final = 8.0
# Rate while most of a service is suspected: more probes would take slots that its
# requests need.
WIDESPREAD_PROBES_PER_S: typing.Final = 1.0
# Hosts fail one by one or with their zone. If more of a service falls silent, load or
# this forwarder is the more likely cause.
WIDESPREAD_SHARE: typing.Final = 0.5

Incarnation = tuple[str, int]
"""Name and start time of an upstream; a restart loses all state from before."""


class HealthMonitor:
    """Track the health of each registered upstream.

    `unheard_zones` are the zones from which this balancer receives no reports,
    `silent_zones` those of them from which its zone receives none, `partitioned_zones`
    those of these in which no upstream answers either. `evacuated_at` holds when each
    zone was last known to be evacuated.

    Parameters
    ----------
    zone : str
        The availability zone of this balancer.
    upstream_directory : Directory
        The registered upstreams.
    peers : PeerTable
        The reports of the other balancers, with the upstreams they suspect.
    record : callable
        Logs changes of state.
    """

    def __init__(
        self,
        zone: str,
        upstream_directory: directory.Directory,
        peers: peertable.PeerTable,
        record: segments.Record,
    ) -> None:
        self.zone = zone
        self.unheard_zones: set[str] = set()
        self.silent_zones: set[str] = set()
        self.partitioned_zones: set[str] = set()
        self.evacuated_at: dict[str, float] = {}
        self.directory = upstream_directory
        self.peers = peers
        self.record = record
        self.health: dict[Incarnation, passivehealth.PassiveHealth] = {}
        self.probe_budgets: dict[str, tokenbucket.TokenBucket] = {}

    def find(self, upstream: directory.Upstream) -> passivehealth.PassiveHealth:
        """Return the health of an upstream's incarnation, created at first use."""
        incarnation = (upstream.name, upstream.start_ms)
        health = self.health.get(incarnation)
        if health is None:
            health = self.health[incarnation] = passivehealth.PassiveHealth()
        return health

    def list_unheard_zones(self) -> tuple[str, ...]:
        """Return the zones from which this balancer has recently heard no other."""
        return tuple(sorted(self.unheard_zones))

    def list_suspected(self) -> frozenset[int]:
        """Return the tokens of the upstreams that this balancer suspects by itself."""
        return frozenset(
            upstream.token
            for incarnation, health in self.health.items()
            if health.suspected_at is not None
            and (upstream := self._find_current(incarnation)) is not None
        )

    def record_silence(
        self, upstream: directory.Upstream, since: float, cause: str, now: float
    ) -> None:
        """Record a silent flow and request a probe; a second one raises a suspicion.

        The silence is ignored if the upstream showed activity at or after `since`.
        """
        health = self.find(upstream)
        if health.record_silent_flow(since, now):
            self.suspect(upstream, health, cause, now)

    def record_activity(
        self,
        upstream: directory.Upstream,
        health: passivehealth.PassiveHealth,
        now: float,
    ) -> None:
        """Record activity of an upstream, which ends a suspicion."""
        since = health.suspected_at
        if health.record_activity(now):
            self.record(
                "upstream trusted",
                upstream=upstream.name,
                cause="flow",
                suspected_s=round(now - (since or now), 3),
            )

    def suspect(
        self,
        upstream: directory.Upstream,
        health: passivehealth.PassiveHealth,
        cause: str,
        now: float,
    ) -> None:
        """Mark an upstream as suspected, and log the cause if it was trusted before."""
        if health.suspect(now):
            self.record(
                "upstream suspected",
                upstream=upstream.name,
                cause=cause,
                silent_s=round(min(now - health.heard_at, 999.0), 3),
                failures=health.silent_flows,
                upstreams=self.directory.revision,
            )

    def is_suspected(self, upstream: directory.Upstream) -> bool:
        """Return whether this balancer or a peer in its zone suspects an upstream.

        Later activity of the upstream at this balancer overrides the peers.
        """
        return self.has_suspicion(upstream, self.find(upstream))

    def has_suspicion(
        self, upstream: directory.Upstream, health: passivehealth.PassiveHealth
    ) -> bool:
        """Return the same as `is_suspected`, given the health returned by `find`."""
        if health.suspected_at is not None:
            return True
        since = self.peers.find_suspected_since(upstream.token)
        return since is not None and health.heard_at < since - PEER_SUSPICION_AGE_S

    def review_peers(self, now: float) -> None:
        """Expire silent peers; update the zones partitioned from this one."""
        self.evacuated_at.update(dict.fromkeys(self.directory.evacuated_zones, now))
        before = self.peers.list_suspected()
        for name in self.peers.expire(now):
            self.record("peer forgotten", peer=name)
        self._record_suspicions(before, "a peer that fell silent")
        self.unheard_zones = self.peers.find_unheard_zones(now)
        self.silent_zones = self.peers.find_silent_zones(now)
        zones = self._find_partitioned_zones(now - peertable.SILENT_AFTER_S)
        if zones != self.partitioned_zones:
            self.partitioned_zones = zones
            self.record("zones partitioned", zones=sorted(zones))

    def handle_peer_report(self, report: peertable.Report, now: float) -> bool:
        """Apply a peer's report; return False if it is outdated."""
        before = self.peers.list_suspected()
        if not self.peers.record_report(report, now):
            return False
        self._record_suspicions(before, report.name)
        for token in report.suspected:
            upstream = self.directory.by_token.get(token)
            if upstream is None:
                continue
            health = self.find(upstream)
            is_due = now - health.probe_requested_at > PROBE_INTERVAL_S
            # Probe only if flows of this balancer wait for the upstream: probes from
            # every balancer would flood a suspected host.
            if (
                health.outstanding
                and is_due
                and health.heard_at < now - PEER_SUSPICION_AGE_S
            ):
                health.request_probe(now)
        return True

    def record_probe(
        self,
        upstream: directory.Upstream,
        outcome: segments.ProbeOutcome,
        detail: str,
        now: float,
    ) -> str | None:
        """Record the result of a health check.

        Returns
        -------
        str or None
            The reason to end the upstream's flows, or None if they continue.
        """
        health = self.find(upstream)
        since = health.suspected_at
        health.probing = False
        if outcome not in ("silent", "reset", "refused"):
            health.answered_at = now
        if health.record_probe(outcome == "passed", outcome == "silent", now):
            self.record(
                "upstream trusted",
                upstream=upstream.name,
                cause="probe",
                outcome=detail,
                suspected_s=round(now - (since or now), 3),
            )
        had_activity = health.heard_at >= health.probe_requested_at
        if had_activity or outcome in ("passed", "busy", "reset"):
            return None
        self.suspect(upstream, health, detail, now)
        if outcome == "refused":
            return "its upstream has ended"
        is_reachable = upstream.zone not in self.partitioned_zones
        if outcome == "silent" and is_reachable:
            if health.silent_probes < SILENT_PROBES_MIN:
                return None
            # A reset of a flow whose host is only overloaded would break the flow.
            if not self.is_suspicion_widespread(upstream.service):
                return "its upstream is silent"
        return None

    def is_suspicion_widespread(self, service: str) -> bool:
        """Return whether most of the reachable upstreams of a service are suspected.

        A single upstream is no majority: its failure alone ends its flows.
        """
        reachable = [
            upstream
            for upstream in self.directory.list_service(service)
            if upstream.zone not in self.partitioned_zones
        ]
        suspected = sum(map(self.is_suspected, reachable))
        return suspected > max(1, WIDESPREAD_SHARE * len(reachable))

    def find_unserved(self, services: abc.Iterable[str]) -> list[str]:
        """Return the given services whose upstreams are all suspected."""
        unserved = []
        for service in services:
            upstreams = self.directory.list_service(service)
            if upstreams and all(self.is_suspected(upstream) for upstream in upstreams):
                unserved.append(service)
        return unserved

    def list_probes(
        self, services: abc.Container[str], now: float
    ) -> list[directory.Upstream]:
        """Return the upstreams to probe now, and mark their probes as started."""
        wanted = []
        for incarnation, health in self.health.items():
            interval_elapsed = now - health.probed_at >= PROBE_INTERVAL_S
            if health.probing or not (
                health.probe_requested_at > health.probed_at
                or health.silent_probes == 1
                or (health.suspected_at is not None and interval_elapsed)
            ):
                continue
            upstream = self._find_current(incarnation)
            if upstream is None or upstream.draining:
                continue
            if upstream.zone in self.partitioned_zones:
                continue
            if self.directory.is_evacuated(upstream):
                continue
            if upstream.service in services:
                wanted.append((health.probed_at, upstream))
        due = []
        # If the budget does not cover all, those not probed for longest come first.
        for _, upstream in sorted(wanted):
            if self._take_probe(upstream.service, now):
                self._start_probe(upstream, now)
                due.append(upstream)
        return due + self._list_zone_probes(services, now)

    def forget(self) -> None:
        """Drop the health of incarnations that are no longer registered."""
        for incarnation in list(self.health):
            if self._find_current(incarnation) is None:
                del self.health[incarnation]

    def _record_suspicions(self, before: frozenset[int], peer: str) -> None:
        """Log the upstreams that peers began or stopped suspecting."""
        after = self.peers.list_suspected()
        for event, tokens in (
            ("peer suspects upstream", after - before),
            ("peers trust upstream", before - after),
        ):
            for token in tokens:
                upstream = self.directory.by_token.get(token)
                if upstream is not None:
                    self.record(event, upstream=upstream.name, peer=peer)

    def _find_partitioned_zones(self, since: float) -> set[str]:
        """Return the silent zones in which no upstream has answered since a time.

        All balancers of a zone may have failed while its upstreams still run. An
        evacuated zone is not counted, as no health checks are sent to it: its open
        flows would be reset although their upstreams are alive.
        """
        answering_zones = {
            upstream.zone
            for incarnation, health in self.health.items()
            if health.answered_at >= since
            and (upstream := self._find_current(incarnation)) is not None
        }
        unchecked_zones = {
            zone for zone, at in self.evacuated_at.items() if at >= since
        }
        return self.silent_zones - answering_zones - unchecked_zones

    def _list_zone_probes(
        self, services: abc.Container[str], now: float
    ) -> list[directory.Upstream]:
        """Return one upstream to probe of each silent zone where a probe is due.

        The probe shows whether the zone is partitioned or only its balancers failed.
        """
        due = []
        for zone in self.silent_zones - self.directory.evacuated_zones.keys():
            upstreams_by_probe_time = [
                (self.find(upstream).probed_at, upstream)
                for upstream in self.directory.upstreams.values()
                if upstream.zone == zone and upstream.service in services
            ]
            if any(
                self.find(upstream).probing for _, upstream in upstreams_by_probe_time
            ):
                continue
            if (
                upstreams_by_probe_time
                and now - max(upstreams_by_probe_time)[0] >= PROBE_INTERVAL_S
            ):
                _, upstream = min(upstreams_by_probe_time)
                self._start_probe(upstream, now)
                due.append(upstream)
        return due

    def _take_probe(self, service: str, now: float) -> bool:
        """Return whether the budget of a service allows a probe, and charge it."""
        budget = self.probe_budgets.get(service)
        if budget is None:
            budget = self.probe_budgets[service] = tokenbucket.TokenBucket(
                PROBES_PER_S, PROBES_BURST
            )
        budget.refill(now)
        if budget.tokens < 1:
            return False
        budget.rate = (
            WIDESPREAD_PROBES_PER_S
            if self.is_suspicion_widespread(service)
            else PROBES_PER_S
        )
        budget.spend(1)
        return True

    def _start_probe(self, upstream: directory.Upstream, now: float) -> None:
        health = self.find(upstream)
        health.probing = True
        health.probed_at = now

    def _find_current(self, incarnation: Incarnation) -> directory.Upstream | None:
        """Return the registered upstream of an incarnation, None after a restart."""
        upstream = self.directory.upstreams.get(incarnation[0])
        if upstream is None or upstream.start_ms != incarnation[1]:
            return None
        return upstream
