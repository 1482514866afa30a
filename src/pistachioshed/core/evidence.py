"""What is known of all upstreams from the packets that pass, probes and peers."""

import typing
from collections import abc

from pistachioshed.core import directory, neighbours, outlook, segments

PROBE_INTERVAL_S: typing.Final = 0.5  # The interval at which the users' fabric probes.

Incarnation = tuple[str, int]
"""Name and start of an upstream: a restarted one knows nothing of before."""


class Evidence:
    """The outlook of each registered upstream.

    Parameters
    ----------
    known : Directory
        The registered upstreams.
    peers : Neighbours
        Tells a peer's suspicion from this balancer's own known.
    record : callable
        Takes changes of belief for the log.
    """

    def __init__(
        self,
        known: directory.Directory,
        peers: neighbours.Neighbours,
        record: segments.Record,
    ) -> None:
        self.directory = known
        self.peers = peers
        self.record = record
        self.outlooks: dict[Incarnation, outlook.Outlook] = {}

    def find(self, upstream: directory.Upstream) -> outlook.Outlook:
        """Return what is known of an upstream since its last start."""
        incarnation = (upstream.name, upstream.born_ms)
        known = self.outlooks.get(incarnation)
        if known is None:
            known = self.outlooks[incarnation] = outlook.Outlook()
        return known

    def list_loads(self) -> tuple[neighbours.UpstreamLoad, ...]:
        """Return this balancer's own outstanding requests and suspicions."""
        loads = []
        for incarnation, known in self.outlooks.items():
            upstream = self._find_current(incarnation)
            suspected = known.suspected_at is not None and known.own
            if upstream is not None and (known.outstanding or suspected):
                loads.append(
                    neighbours.UpstreamLoad(
                        upstream.token, known.outstanding, suspected
                    )
                )
        return tuple(loads)

    def note_silence(
        self, upstream: directory.Upstream, since: float, cause: str, now: float
    ) -> None:
        """Doubt an upstream for one silent flow, suspect it for a second."""
        known = self.find(upstream)
        if known.record_strike(since, now):
            self.suspect(upstream, known, cause, now)

    def note_life(
        self, upstream: directory.Upstream, known: outlook.Outlook, now: float
    ) -> None:
        """Note a sign of life, which ends a suspicion."""
        since = known.suspected_at
        if known.record_life(now):
            self.record(
                "upstream trusted",
                upstream=upstream.name,
                evidence="flow",
                suspected_s=round(now - (since or now), 3),
            )

    def suspect(
        self,
        upstream: directory.Upstream,
        known: outlook.Outlook,
        cause: str,
        now: float,
    ) -> None:
        """Suspect an upstream; `cause` is a peer or what was seen."""
        if known.suspect(cause not in self.peers.peers, now):
            self.record(
                "upstream suspected",
                upstream=upstream.name,
                evidence=cause,
                silent_s=round(min(now - known.heard_at, 999.0), 3),
                strikes=known.strikes,
                upstreams=self.directory.revision,
            )

    def find_cut_zones(self, silent_zones: abc.Iterable[str], since: float) -> set[str]:
        """Return the silent zones of which no upstream was heard of since a time."""
        heard = {
            upstream.zone
            for incarnation, known in self.outlooks.items()
            if known.answered_at >= since
            and (upstream := self._find_current(incarnation)) is not None
        }
        return set(silent_zones) - heard

    def list_zone_probes(
        self, silent_zones: abc.Iterable[str], services: abc.Container[str], now: float
    ) -> list[directory.Upstream]:
        """Return an upstream of each silent zone to probe, if it is time for one.

        Their balancers are silent; the probe shows whether the zone is cut off.
        """
        due = []
        for zone in silent_zones:
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

    def list_probes(
        self, cut_zones: abc.Container[str], services: abc.Container[str], now: float
    ) -> list[directory.Upstream]:
        """Return the upstreams to probe now, outside of zones that are cut off."""
        due = []
        for incarnation, known in self.outlooks.items():
            upstream = self._find_current(incarnation)
            if upstream is None or upstream.draining:
                continue
            if upstream.zone in cut_zones:
                continue
            if upstream.service not in services:
                continue
            doubted = known.doubted_at > known.probed_at
            waited = now - known.probed_at >= PROBE_INTERVAL_S
            again = known.silent_probes == 1
            if not known.probing and (
                doubted or again or (known.suspected_at is not None and waited)
            ):
                self._start_probe(upstream, now)
                due.append(upstream)
        return due

    def forget(self) -> None:
        """Forget the upstreams that are no longer registered."""
        for incarnation in list(self.outlooks):
            if self._find_current(incarnation) is None:
                del self.outlooks[incarnation]

    def _start_probe(self, upstream: directory.Upstream, now: float) -> None:
        known = self.find(upstream)
        known.probing = True
        known.probed_at = now

    def _find_current(self, incarnation: Incarnation) -> directory.Upstream | None:
        """Return the registered upstream, unless it has started anew since."""
        upstream = self.directory.upstreams.get(incarnation[0])
        if upstream is None or upstream.born_ms != incarnation[1]:
            return None
        return upstream
