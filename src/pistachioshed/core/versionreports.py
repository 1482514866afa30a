"""Versions in force per node: collected from digests and relayed by hubs."""

import typing
from collections import abc

from pistachioshed.core import catalogue, controlevents, controlmembers, digests

REPORT_AGE_MAX_S: typing.Final = 30.0
# A digest can be lost, so a changed report is relayed in two digests.
RELAY_REPEATS: typing.Final = 2
CHANGED_RELAYED_MAX: typing.Final = 16
# Unchanged reports relayed per digest, in rotation; a hub of 14 members takes 7 s.
ROTATED_REPORTS: typing.Final = 2

Versions = dict[str, int]


class VersionReports:
    """Track the versions in force per node and build this process's digests.

    `reports` holds the time and the versions of each node's last report,
    `relays_left` how often a changed report is still to be relayed, and
    `relayed_nodes` the members whose reports this hub relays, in rotation order.
    """

    def __init__(self, settings: controlevents.Settings) -> None:
        self.settings = settings
        self.reports: dict[str, tuple[float, Versions]] = {}
        self.relays_left: dict[str, int] = {}
        self.relayed_nodes: list[str] = []

    def record_balancer_report(self, versions: Versions, now: float) -> None:
        """Record the local balancer's report."""
        self.reports[self.settings.name] = (now, versions)

    def record_digest(
        self, digest: digests.Digest, members: controlmembers.ControlMembers, now: float
    ) -> None:
        """Record the versions in force of a peer and of the nodes that it relays."""
        if digest.zone != self.settings.zone:
            return
        services = [entry.service for entry in digest.entries]
        own = [entry.in_force for entry in digest.entries]
        changed = self._record(digest.node, now, services, own)
        if members.relays_reports_of(digest.node, now):
            if digest.node not in self.relayed_nodes:
                self.relayed_nodes.append(digest.node)
            if changed:
                self.relays_left[digest.node] = RELAY_REPEATS
        for report in digest.reports:
            time = now - report.age_ds / 10
            self._record(report.node, time, services, report.in_force)

    def _record(
        self,
        node: str,
        time: float,
        services: abc.Sequence[str],
        in_force: abc.Sequence[int],
    ) -> bool:
        known = self.reports.get(node)
        if node == self.settings.name or (known is not None and known[0] >= time):
            return False
        # Skips version 0: a node may hold a table not yet in force on its balancer.
        versions = {
            service: version
            for service, version in zip(services, in_force, strict=False)
            if version
        }
        self.reports[node] = (time, versions)
        return known is None or known[1] != versions

    def list_status(
        self, members: controlmembers.ControlMembers, now: float
    ) -> dict[str, Versions]:
        """Return the versions recently reported by each member of this zone."""
        zone = members.zones.get(self.settings.zone, ())
        return {
            node: versions
            for node, (time, versions) in sorted(self.reports.items())
            if node in zone and now - time <= REPORT_AGE_MAX_S
        }

    def make_digest(
        self, held: dict[str, catalogue.HeldTable], silent: tuple[str, ...], now: float
    ) -> digests.Digest:
        """Build the digest to publish."""
        services = sorted(held)
        _, own = self.reports.get(self.settings.name, (now, {}))
        entries = tuple(
            digests.Entry(
                service,
                held[service].table.version,
                held[service].content_hash,
                own.get(service, 0),
            )
            for service in services
        )
        reports = tuple(self._list_relayed(services, now))
        return digests.Digest(
            self.settings.name, self.settings.zone, entries, reports, silent
        )

    def _list_relayed(
        self, services: list[str], now: float
    ) -> abc.Iterator[digests.NodeReport]:
        chosen = list(self.relays_left)[:CHANGED_RELAYED_MAX]
        for node in chosen:
            self.relays_left[node] -= 1
            if not self.relays_left[node]:
                del self.relays_left[node]
        rotated = self.relayed_nodes[:ROTATED_REPORTS]
        self.relayed_nodes = self.relayed_nodes[ROTATED_REPORTS:] + rotated
        for node in dict.fromkeys([*chosen, *rotated]):
            time, versions = self.reports.get(node, (-REPORT_AGE_MAX_S, {}))
            age_s = now - time
            if age_s > REPORT_AGE_MAX_S:
                self.relayed_nodes = [
                    name for name in self.relayed_nodes if name != node
                ]
                continue
            in_force = tuple(versions.get(service, 0) for service in services)
            yield digests.NodeReport(node, round(age_s * 10), in_force)
