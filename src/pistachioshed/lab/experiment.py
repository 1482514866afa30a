"""A simulated deployment under load and the changes that scenarios make to it."""

import typing
from collections import abc

from pistachioshed.core import events, tables
from pistachioshed.lab import callers, deployments, fleet, history, hosts

PROBE_INTERVAL_S: typing.Final = 1.0
PROBE_LAG_S: typing.Final = 0.5
REDELIVERY_DELAY_S: typing.Final = 1.0


class Experiment:
    """A deployment with balancers, hosts and callers in virtual time.

    `misreporting_hosts` always report that they are up, idle and not draining.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        build: fleet.BuildNode,
        seed: int,
    ) -> None:
        self.deployment = deployment
        self.build = build
        self.seed = seed
        self.clock = fleet.Clock()
        self.fleet = fleet.Fleet(self.clock, seed, deployment.delays)
        self.tables: dict[str, tables.Table] = {}
        self.sources: dict[str, callers.Source] = {}
        self.misreporting_hosts: set[tuple[str, str]] = set()
        self.started_node_count = 0
        for index, service in enumerate(deployment.services):
            self._add_service(service, index)
        for vm in deployments.build_vms(deployment):
            self.add_node(vm)
        self.clock.schedule(PROBE_INTERVAL_S, self._probe_hosts)

    def add_node(self, vm: events.Vm) -> None:
        """Start a balancer."""
        self.started_node_count += 1
        self.fleet.add_node(
            vm,
            self.build,
            self.seed * 1_000 + self.started_node_count,
            self.tables.values(),
        )

    def restart_node(self, name: str, pause_s: float) -> None:
        """Stop a balancer gracefully and start it again after it has finished."""
        vm = self.fleet.vms[name]
        self.fleet.stop_node(name)
        self._restart_when_finished(vm, pause_s)

    def edit_table(
        self,
        service: str,
        edit: tables.Edit,
        spread_s: float = 1.0,
        choose_delay: abc.Callable[[str], float | None] | None = None,
    ) -> tables.Table:
        """Apply an edit; each balancer gets the table after a random delay.

        Parameters
        ----------
        service : str
            The service whose table is edited.
        edit : Edit
            The edit to apply.
        spread_s : float
            Upper bound of the random delays, in seconds.
        choose_delay : callable, optional
            Returns the delay for a balancer instead, or None to skip the version.

        Returns
        -------
        Table
            The new table.
        """
        table = tables.apply_edit(self.tables[service], edit)
        self.tables[service] = table
        now = self.clock.now
        self.fleet.records.append(history.EditAccepted(service, table.version, now))
        for name in list(self.fleet.nodes):
            delay_s: float | None = self.fleet.random.random() * spread_s
            if choose_delay is not None:
                delay_s = choose_delay(name)
            if delay_s is not None:
                self.clock.schedule(delay_s, self._make_table_delivery(name, table))
        return table

    def set_weight(self, service: str, upstream: str, weight: float) -> None:
        """Change a row's weight with an edit."""
        self._edit_row(service, upstream, weight=weight)

    def drain_row(self, service: str, upstream: str) -> None:
        """Set a row's state to drain with an edit and record its host as leaving."""
        self._edit_row(service, upstream, state="drain")
        self.fleet.records.append(
            history.UpstreamLeaving(service, upstream, self.clock.now)
        )

    def get_host(self, service: str, number: int) -> hosts.Host:
        """Return a host by its number, counted from 1."""
        return self.fleet.hosts[service, f"{service}-{number}"]

    def start_load(self, end_s: float) -> None:
        """Start flows of every service until a time."""
        for source in self.sources.values():
            source.run_until(end_s)

    def _edit_row(self, service: str, upstream: str, **columns: typing.Any) -> None:
        rows = {row.upstream: row for row in self.tables[service].rows}
        edit_id = f"edit-{self.tables[service].version + 1}"
        row = rows[upstream]._replace(**columns)
        self.edit_table(service, tables.Edit(edit_id, (row,)))

    def _add_service(self, service: deployments.Service, index: int) -> None:
        table = deployments.build_table(self.deployment, service, index)
        self.tables[service.name] = table
        for row in table.rows:
            self.fleet.hosts[service.name, row.upstream] = hosts.Host(
                service.name,
                row.upstream,
                row.zone,
                row.slots,
                1.0,
                self.clock.schedule,
                self.fleet.send_response,
                self._make_execution_recorder(service.name, row.upstream),
            )
        self.sources[service.name] = callers.Source(
            self.clock, self.fleet, service.load, self.seed
        )

    def _make_execution_recorder(
        self, service: str, upstream: str
    ) -> abc.Callable[[hosts.Request], None]:
        def record(request: hosts.Request) -> None:
            self.fleet.records.append(
                history.Execution(service, upstream, request.request, self.clock.now)
            )

        return record

    def _make_table_delivery(self, name: str, table: tables.Table) -> fleet.Task:
        def deliver() -> None:
            if name not in self.fleet.nodes:
                return
            if self.fleet.is_isolated(name):
                self.clock.schedule(REDELIVERY_DELAY_S, deliver)
                return
            self.fleet.deliver_event(name, events.TableReceived(table))

        return deliver

    def _restart_when_finished(self, vm: events.Vm, pause_s: float) -> None:
        if vm.name in self.fleet.nodes:
            self.clock.schedule(0.1, lambda: self._restart_when_finished(vm, pause_s))
            return
        self.clock.schedule(pause_s, lambda: self.add_node(vm))

    def _probe_hosts(self) -> None:
        for host in self.fleet.hosts.values():
            is_accurate = (host.service, host.name) not in self.misreporting_hosts
            event = events.ProbeReported(
                host.service,
                host.name,
                host.up or not is_accurate,
                host.draining and is_accurate,
                min(host.measure_load(), 1.0) if is_accurate else 0.0,
                0.001,
            )
            self.clock.schedule(PROBE_LAG_S, self._make_probe_delivery(event))
        self.clock.schedule(PROBE_INTERVAL_S, self._probe_hosts)

    def _make_probe_delivery(self, event: events.ProbeReported) -> fleet.Task:
        zone = self.fleet.hosts[event.service, event.upstream].zone

        def deliver() -> None:
            for name in list(self.fleet.nodes):
                received = event
                if not self.fleet.can_reach(self.fleet.vms[name].zone, zone):
                    received = event._replace(ok=False)
                self.fleet.deliver_event(name, received)

        return deliver
