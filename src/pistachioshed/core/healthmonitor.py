"""What is known of all upstreams from the packets that pass, probes and peers."""

import typing
from collections import abc

from pistachioshed.core import directory, passivehealth, peertable, segments

# A peer's suspicion says nothing of an upstream heard of more recently than that.
PEER_SUSPICION_AGE_S: typing.Final = 0.1
# One connection may be lost; with two in a row and silent flows the host is gone.
PROBES_SILENT: typing.Final = 2
PROBE_INTERVAL_S: typing.Final = 0.5  # The interval at which the users' fabric probes.

Incarnation = tuple[str, int]
"""Name and start of an upstream: a restarted one knows nothing of before."""


class HealthMonitor:
    """The passivehealth of each registered upstream.

    `silent_zones` are those of which no balancer answers, `partitioned_zones` those of
    which no upstream does either.

    Parameters
    ----------
    zone : str
        The availability zone of this balancer.
    known : Directory
        The registered upstreams.
    peers : PeerTable
        The suspicions of the other balancers.
    record : callable
        Takes changes of state for the log.
    """

    def __init__(
        self,
        zone: str,
        known: directory.Directory,
        peers: peertable.PeerTable,
        record: segments.Record,
    ) -> None:
        self.zone = zone
        self.silent_zones: set[str] = set()
        self.partitioned_zones: set[str] = set()
        self.directory = known
        self.peers = peers
        self.record = record
        self.health: dict[Incarnation, passivehealth.PassiveHealth] = {}

    def find(self, upstream: directory.Upstream) -> passivehealth.PassiveHealth:
        """Return what is known of an upstream since its last start."""
        incarnation = (upstream.name, upstream.start_ms)
        health = self.health.get(incarnation)
        if health is None:
            health = self.health[incarnation] = passivehealth.PassiveHealth()
        return health

    def list_suspected(self) -> frozenset[int]:
        """Return the tokens of the upstreams that this balancer itself suspects."""
        return frozenset(
            upstream.token
            for incarnation, health in self.health.items()
            if health.suspected_at is not None
            and (upstream := self._find_current(incarnation)) is not None
        )

    def note_silence(
        self, upstream: directory.Upstream, since: float, cause: str, now: float
    ) -> None:
        """Doubt an upstream for one silent flow, suspect it for a second."""
        health = self.find(upstream)
        if health.record_failure(since, now):
            self.suspect(upstream, health, cause, now)

    def note_life(
        self,
        upstream: directory.Upstream,
        health: passivehealth.PassiveHealth,
        now: float,
    ) -> None:
        """Note a sign of life, which ends a suspicion."""
        since = health.suspected_at
        if health.record_life(now):
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
        """Suspect an upstream for what was seen."""
        if health.suspect(now):
            self.record(
                "upstream suspected",
                upstream=upstream.name,
                cause=cause,
                silent_s=round(min(now - health.heard_at, 999.0), 3),
                failures=health.failures,
                upstreams=self.directory.revision,
            )

    def is_suspected(self, upstream: directory.Upstream) -> bool:
        """Tell whether this balancer or one of its zone holds an upstream for silent.

        What this balancer has heard of the upstream since outweighs its peers.
        """
        return self.holds_suspected(upstream, self.find(upstream))

    def holds_suspected(
        self, upstream: directory.Upstream, health: passivehealth.PassiveHealth
    ) -> bool:
        """Do the same as `is_suspected` with what `find` has returned."""
        if health.suspected_at is not None:
            return True
        since = self.peers.find_suspected_since(upstream.token)
        return since is not None and health.heard_at < since - PEER_SUSPICION_AGE_S

    def review_peers(self, now: float) -> None:
        """Forget silent peers; find the zones that are partitioned from this one."""
        before = self.peers.list_suspected()
        for name in self.peers.expire(now):
            self.record("peer forgotten", peer=name)
        self._record_suspicions(before, "a peer that fell silent")
        self.silent_zones = self.peers.find_silent_zones(now)
        zones = self._find_partitioned_zones(now - peertable.SILENT_AFTER_S)
        if zones != self.partitioned_zones:
            self.partitioned_zones = zones
            self.record("zones partitioned", zones=sorted(zones))

    def hear_peer(self, report: peertable.Report, now: float) -> bool:
        """Take a peer's report; return False if it is an old one."""
        before = self.peers.list_suspected()
        if not self.peers.record(report, now):
            return False
        self._record_suspicions(before, report.name)
        for token in report.suspected:
            upstream = self.directory.by_token.get(token)
            if upstream is None:
                continue
            health = self.find(upstream)
            is_due = now - health.probe_requested_at > PROBE_INTERVAL_S
            # Only flows that wait there are worth a probe of each balancer's own.
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
        """Take the result of a health check.

        Returns
        -------
        str or None
            Why the upstream is known to have ended, if it is.
        """
        health = self.find(upstream)
        since = health.suspected_at
        health.probing = False
        if outcome not in ("silent", "refused"):
            health.answered_at = now
        if health.record_probe(outcome == "passed", outcome == "silent", now):
            self.record(
                "upstream trusted",
                upstream=upstream.name,
                cause="probe",
                outcome=detail,
                suspected_s=round(now - (since or now), 3),
            )
        heard = health.heard_at >= health.probe_requested_at
        if heard or outcome in ("passed", "busy"):
            return None
        self.suspect(upstream, health, detail, now)
        if outcome == "refused":
            return "its upstream has ended"
        is_reachable = upstream.zone not in self.partitioned_zones
        if outcome == "silent" and is_reachable:
            if health.silent_probes >= PROBES_SILENT:
                return "its upstream is silent"
        return None

    def find_unserved(self, services: abc.Iterable[str]) -> list[str]:
        """Return the routed services of which every upstream is silent."""
        unserved = []
        for service in services:
            upstreams = self.directory.list_service(service)
            if upstreams and all(self.is_suspected(upstream) for upstream in upstreams):
                unserved.append(service)
        return unserved

    def list_probes(
        self, services: abc.Container[str], now: float
    ) -> list[directory.Upstream]:
        """Return the upstreams to probe now."""
        due = []
        for incarnation, health in self.health.items():
            waited = now - health.probed_at >= PROBE_INTERVAL_S
            if health.probing or not (
                health.probe_requested_at > health.probed_at
                or health.silent_probes == 1
                or (health.suspected_at is not None and waited)
            ):
                continue
            upstream = self._find_current(incarnation)
            if upstream is None or upstream.draining:
                continue
            if upstream.zone in self.partitioned_zones:
                continue
            if upstream.service in services:
                self._start_probe(upstream, now)
                due.append(upstream)
        return due + self._list_zone_probes(services, now)

    def forget(self) -> None:
        """Forget the upstreams that are no longer registered."""
        for incarnation in list(self.health):
            if self._find_current(incarnation) is None:
                del self.health[incarnation]

    def _record_suspicions(self, before: frozenset[int], peer: str) -> None:
        """Log which upstreams the peers began or ceased to suspect."""
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
        """Return the silent zones of which no upstream was heard of since a time.

        Balancers of a silent zone may have died while its upstreams live on.
        """
        heard = {
            upstream.zone
            for incarnation, health in self.health.items()
            if health.answered_at >= since
            and (upstream := self._find_current(incarnation)) is not None
        }
        return self.silent_zones - heard

    def _list_zone_probes(
        self, services: abc.Container[str], now: float
    ) -> list[directory.Upstream]:
        """Return an upstream of each silent zone to probe, if it is time for one.

        Their balancers are silent; the probe shows whether the zone is cut off.
        """
        due = []
        for zone in self.silent_zones:
            members = [
                (self.find(upstream).probed_at, upstream)
                for upstream in self.directory.upstreams.values()
                if upstream.zone == zone and upstream.service in services
            ]
            if members and now - max(members)[0] >= PROBE_INTERVAL_S:
                _, upstream = min(members)
                self._start_probe(upstream, now)
                due.append(upstream)
        return due

    def _start_probe(self, upstream: directory.Upstream, now: float) -> None:
        health = self.find(upstream)
        health.probing = True
        health.probed_at = now

    def _find_current(self, incarnation: Incarnation) -> directory.Upstream | None:
        """Return the registered upstream, unless it has started anew since."""
        upstream = self.directory.upstreams.get(incarnation[0])
        if upstream is None or upstream.start_ms != incarnation[1]:
            return None
        return upstream
