"""The upstreams of one service: rows, limits, health and the cap on ejections."""

import functools
import typing
from collections import abc

from pistachioshed.core import (
    events,
    flows,
    generations,
    health,
    load,
    placement,
    settings,
    tables,
)

PROBED_LOAD_MAX: typing.Final = 0.9


class Pool:
    """Upstreams that are in the newest table or still have flows.

    `retired` lists the upstreams that the newest table lacks or has at another
    address. They are removed once their last flow has ended.

    Parameters
    ----------
    services_by_address : dict of str to str
        The service that uses each upstream address; shared by all services.
    """

    def __init__(
        self,
        service: str,
        config: settings.Settings,
        services_by_address: dict[str, str],
    ) -> None:
        self.service = service
        self.config = config
        self.services_by_address = services_by_address
        self.upstreams: dict[str, flows.Upstream] = {}
        self.retired: list[flows.Upstream] = []
        self.newest = generations.Generation(0, {}, ())

    def apply_table(self, newest: generations.Generation) -> None:
        """Add the upstreams of the table in force and retire those that it lacks."""
        self.newest = newest
        for row in newest.rows.values():
            self._add_row(row)
        for upstream in self.upstreams.values():
            if upstream.name not in newest.rows and upstream not in self.retired:
                self.retired.append(upstream)

    def find_conflict(self, table: tables.Table) -> str | None:
        """Return why a table's addresses cannot be used, or None if they can."""
        for row in table.rows:
            used_by = self.services_by_address.get(row.address, self.service)
            if used_by != self.service:
                return f"{row.upstream}: {row.address} is used by service {used_by}"
            known = self.upstreams.get(row.upstream)
            other = self._find_by_address(row.address)
            if known and other and known.ports is not other.ports:
                return f"{row.upstream}: {row.address} has flows of {other.name}"
        return None

    def divide_limits(self, capacities: dict[str, float]) -> None:
        """Divide the rows' connection limits among the balancers by capacity."""
        shares = {self.config.name: self.config.capacity} | capacities
        for row in self.newest.rows.values():
            upstream_load = self.upstreams[row.upstream].load
            upstream_load.weight = row.weight
            upstream_load.limit = load.compute_limit_share(
                row.connections, self.config.name, shares
            )

    def find_established(
        self, name: str, kept: abc.Iterable[generations.Generation], now: float
    ) -> flows.Upstream | None:
        """Return the upstream of an established flow, even if it has left the table.

        Parameters
        ----------
        name : str
            The name of the upstream.
        kept : iterable of Generation
            The generations to search for the row of a removed upstream, oldest first.
        now : float
            The current time.
        """
        upstream = self.upstreams.get(name)
        if upstream is None:
            rows = [found.rows[name] for found in kept if name in found.rows]
            if not rows:
                return None
            if (
                self.services_by_address.get(rows[-1].address, self.service)
                != self.service
            ):
                return None
            upstream = self._add_row(rows[-1])
            self.retired.append(upstream)
        return upstream if self._has_port(upstream, now) else None

    def list_candidates(
        self, key: bytes, ranked: abc.Sequence[str], now: float
    ) -> list[placement.Candidate]:
        """Return the upstreams that can admit a new flow, in the order of `ranked`."""
        return [
            placement.Candidate(upstream, self._is_cold(upstream, key, now))
            for upstream in self._list_serving(ranked)
            if upstream.load.open_flows < upstream.load.limit
            and self._has_port(upstream, now)
        ]

    def accepts_openings(self, upstream: flows.Upstream) -> bool:
        """Return whether an upstream may get new flows, regardless of its limits."""
        row = self.newest.rows.get(upstream.name)
        return (
            row is not None
            and row.address == upstream.address
            and row.state == "active"
            and row.weight > 0
            and not upstream.health.draining
            and upstream.health.state != "ejected"
        )

    def record_probe(
        self, probe: events.ProbeReported, now: float
    ) -> list[events.Action]:
        """Update the health and load of an upstream from a probe result."""
        upstream = self.upstreams.get(probe.upstream)
        if upstream is None:
            return []
        if probe.load is not None and probe.load >= 0:
            upstream.load.probed = min(probe.load, PROBED_LOAD_MAX)
        before = upstream.health.state
        may_eject = functools.partial(self._may_eject, upstream)
        upstream.health.record_probe(probe, upstream.load, may_eject, now)
        return self._report_health(upstream, before)

    def evaluate(self, now: float) -> list[events.Action]:
        """Evaluate the health of all upstreams and remove unused ones."""
        for upstream in tuple(self.retired):
            self._remove_unused(upstream, now)
        notices: list[events.Action] = []
        for upstream in self.upstreams.values():
            before = upstream.health.state
            may_eject = functools.partial(self._may_eject, upstream)
            upstream.health.evaluate(upstream.load, self.config, may_eject, now)
            notices += self._report_health(upstream, before)
        return notices

    def _list_serving(self, ranked: abc.Iterable[str]) -> list[flows.Upstream]:
        not_draining = [
            upstream
            for upstream in map(self.upstreams.__getitem__, ranked)
            if not upstream.health.draining
        ]
        serving = [
            upstream for upstream in not_draining if upstream.health.state != "ejected"
        ]
        # If all upstreams but the draining ones are ejected, do not trust the evidence.
        return serving or not_draining

    def _has_port(self, upstream: flows.Upstream, now: float) -> bool:
        return flows.has_free_port(upstream, self.config.ports_per_upstream, now)

    def _is_cold(self, upstream: flows.Upstream, key: bytes, now: float) -> bool:
        return not upstream.health.is_warm(
            upstream.name, key, self.config.slow_start_s, now
        )

    def _may_eject(self, upstream: flows.Upstream) -> bool:
        """Return whether the pool keeps enough weight if an upstream is ejected.

        By default, at most half of the weight may be ejected.
        """
        total = ejected = 0.0
        for choice in self.newest.choices:
            other = self.upstreams[choice.name]
            if not other.health.draining:
                total += choice.weight
                if other is upstream or other.health.state == "ejected":
                    ejected += choice.weight
        return ejected <= self.config.max_ejected_weight * total

    def _report_health(
        self, upstream: flows.Upstream, before: health.State
    ) -> list[events.Action]:
        if upstream.health.state == before:
            return []
        if upstream.health.state == "recovering":
            # Requests from before the recovery are lost and do not indicate load.
            for flow in upstream.ports:
                if flow is not None:
                    flows.end_wait(flow)
        fields: dict[str, object] = {
            "service": self.service,
            "upstream": upstream.name,
            "before": before,
            "state": upstream.health.state,
        }
        return [events.Notice("upstream health changed", fields)]

    def _add_row(self, row: tables.Row) -> flows.Upstream:
        known = self.upstreams.get(row.upstream)
        if known is not None and known.address == row.address:
            if known in self.retired:
                self.retired.remove(known)
            return known
        upstream = flows.Upstream(row.upstream, row.address)
        # Responses are distinguished by address and port and looked up by name and
        # port, so upstreams that share either must not use one port for two flows.
        port_source = known or self._find_by_address(row.address)
        if port_source is not None:
            upstream.ports = port_source.ports
            upstream.released_ports = port_source.released_ports
        if known is not None and known not in self.retired:
            self.retired.append(known)
        self.upstreams[row.upstream] = upstream
        self.services_by_address[row.address] = self.service
        return upstream

    def _remove_unused(self, upstream: flows.Upstream, now: float) -> None:
        """Remove a retired upstream without flows once no late response is expected."""
        released = upstream.released_ports
        if upstream.load.open_flows or (
            released and released[-1][0] + flows.PORT_QUARANTINE_S > now
        ):
            return
        self.retired.remove(upstream)
        if self.upstreams.get(upstream.name) is upstream:
            del self.upstreams[upstream.name]
        if self._find_by_address(upstream.address) is None:
            self.services_by_address.pop(upstream.address, None)

    def _find_by_address(self, address: str) -> flows.Upstream | None:
        for upstream in (*self.upstreams.values(), *self.retired):
            if upstream.address == address:
                return upstream
        return None
