"""Log the start and the end of evacuations, and when an evacuated zone is empty."""

import collections

from pistachioshed.core import directory, flowtracker, segments


class EvacuationLog:
    """Compare the evacuated zones with those logged before.

    The zone is logged as `evacuated_zone`, because each line has a field `zone` for the
    zone of this balancer.

    Parameters
    ----------
    upstream_directory : Directory
        Holds the zones to evacuate.
    flow_tracker : FlowTracker
        The flows that this balancer tracks.
    record : callable
        Logs the events.

    Attributes
    ----------
    zones : dict
        The evacuated zones that were logged, with the revision of each request.
    occupied_zones : set
        Those of them that have not been logged as empty.
    ended_zones : set
        The zones whose evacuation has ended since the start of this process.
    """

    def __init__(
        self,
        upstream_directory: directory.Directory,
        flow_tracker: flowtracker.FlowTracker,
        record: segments.Record,
    ) -> None:
        self.directory = upstream_directory
        self.flow_tracker = flow_tracker
        self.record = record
        self.zones: dict[str, int] = {}
        self.occupied_zones: set[str] = set()
        self.ended_zones: set[str] = set()

    def record_changes(self) -> None:
        """Log the requests that are new and those that are no longer present."""
        known, self.zones = self.zones, dict(self.directory.evacuated_zones)
        if self.zones == known:
            return
        for zone, revision in self.zones.items():
            if known.get(zone) != revision:
                self.occupied_zones.add(zone)
                self.ended_zones.discard(zone)
                self._record("zone evacuated", zone, revision)
        for zone in known.keys() - self.zones.keys():
            self.occupied_zones.discard(zone)
            self.ended_zones.add(zone)
            self._record("evacuation ended", zone, self.directory.revision)

    def record_empty_zones(self) -> None:
        """Log once for each request that no tracked flow is left in its zone."""
        if not self.occupied_zones:
            return
        flows = self.count_flows()
        for zone in sorted(self.occupied_zones):
            if not flows[zone]:
                self.occupied_zones.discard(zone)
                self.record(
                    "evacuated zone is empty",
                    evacuated_zone=zone,
                    revision=self.zones[zone],
                )

    def count_flows(self) -> collections.Counter[str]:
        """Return the number of tracked flows by zone of their upstream."""
        return collections.Counter(
            flow.upstream.zone for flow in self.flow_tracker.flows.values()
        )

    def _record(self, event: str, zone: str, revision: int) -> None:
        open_flows = sum(
            flow.opened and flow.upstream.zone == zone
            for flow in self.flow_tracker.flows.values()
        )
        self.record(
            event, evacuated_zone=zone, revision=revision, open_flows=open_flows
        )
