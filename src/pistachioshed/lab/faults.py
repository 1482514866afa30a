"""Named faults, alone or in overlapping pairs, and the guarantees under them."""

import enum
import itertools
import random
import typing
from collections import abc

from pistachioshed.core import events, memberrecords, tables, wire
from pistachioshed.lab import deployments, experiment, fleet, history

FIRST_FAULT_AT_S: typing.Final = 9.0
MAX_FAULT_OFFSET_S: typing.Final = 3.0
LOAD_FROM_S: typing.Final = 3.0
LOAD_UNTIL_S: typing.Final = 24.0
# Later than the callers' response timeout, so that every flow has ended.
END_S: typing.Final = 40.0
FREEZE_DURATION_S: typing.Final = 4.0
ISOLATION_DURATION_S: typing.Final = 7.0
HOST_FAULT_DURATION_S: typing.Final = 6.0
NETWORK_FAULT_DURATION_S: typing.Final = 6.0
RAPID_EDIT_COUNT: typing.Final = 6
RAPID_EDIT_INTERVAL_S: typing.Final = 0.15
INVALID_EVENTS_INTERVAL_S: typing.Final = 0.2
LEFT_STATE: typing.Final = memberrecords.STATES.index("left")


class Kind(enum.Enum):
    """The guarantees that hold under a fault.

    Under PLANNED and HARMLESS faults no flow may break. A DEATH moves no flow, neither
    alone nor together with HARMLESS or HOST faults. Under a HOST fault requests may
    fail but flows stay at their upstream. Under PATH faults, which separate nodes or
    lose the messages between them, flows may move.
    """

    PLANNED = "planned"
    HARMLESS = "harmless"
    DEATH = "death"
    HOST = "host"
    PATH = "path"


class FaultContext:
    """A run: a small deployment under load and a log of the injected faults."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        build: fleet.BuildNode,
        seed: int,
    ) -> None:
        self.experiment = experiment.Experiment(
            shrink_deployment(deployment), build, seed
        )
        self.random = random.Random(f"faults-{seed}")
        self.vm_numbers = itertools.count(1)
        self.steps: list[tuple[float, str]] = []

    def record_step(self, text: str) -> None:
        """Record an action of a fault for the trace of the run."""
        self.steps.append((self.experiment.clock.now, text))

    def schedule(self, delay_s: float, task: abc.Callable[[], object]) -> None:
        """Schedule a task to run after a delay; its result is ignored."""

        def run() -> None:
            task()

        self.experiment.clock.schedule(delay_s, run)

    def choose_node(self) -> str:
        """Return the name of a random running balancer."""
        return self.random.choice(sorted(self.experiment.fleet.nodes))

    def choose_service(self) -> str:
        """Return the name of a random service."""
        return self.random.choice(sorted(self.experiment.tables))

    def choose_host(self, service: str) -> str:
        """Return a random active host that is up, not draining and not misreporting."""
        hosts = self.experiment.fleet.hosts
        return self.random.choice(
            [
                row.upstream
                for row in self.experiment.tables[service].rows
                if row.state == "active"
                and hosts[service, row.upstream].up
                and not hosts[service, row.upstream].draining
                and (service, row.upstream) not in self.experiment.misreporting_hosts
            ]
        )


class Fault(typing.NamedTuple):
    """A named fault; `inject` starts it at the current time."""

    name: str
    kind: Kind
    inject: abc.Callable[[FaultContext], None]


def shrink_deployment(deployment: deployments.Deployment) -> deployments.Deployment:
    """Return a copy with five balancers and a load small enough to run in a second."""
    services = tuple(
        service._replace(
            hosts=min(service.hosts, 4),
            load=service.load._replace(flows_per_s=12.0, think_s=1.5),
        )
        for service in deployment.services
    )
    return deployment._replace(balancers=5, services=services)


def kill_balancer(context: FaultContext) -> None:
    """Kill a balancer."""
    name = context.choose_node()
    context.record_step(f"kill {name}")
    context.experiment.fleet.remove_node(name)


def freeze_balancer(context: FaultContext) -> None:
    """Pause a balancer for longer than its peers wait before they replace it."""
    name = context.choose_node()
    context.record_step(f"freeze {name}")
    context.experiment.fleet.freeze_node(name, FREEZE_DURATION_S)
    context.schedule(FREEZE_DURATION_S, lambda: context.record_step(f"resume {name}"))


def add_balancer(context: FaultContext) -> None:
    """Start a balancer on a new VM."""
    zone = context.random.choice(context.experiment.deployment.zones)
    number = 100 + next(context.vm_numbers)
    vm = events.Vm(f"{zone}-{number}", zone, f"127.0.1.{number}:7000", 1.0)
    context.record_step(f"start {vm.name}")
    context.experiment.add_node(vm)


def stop_balancer(context: FaultContext) -> None:
    """Stop a balancer gracefully."""
    name = context.choose_node()
    context.record_step(f"stop {name}")
    context.experiment.fleet.stop_node(name)


def restart_balancer(context: FaultContext) -> None:
    """Stop a balancer gracefully and start it again."""
    name = context.choose_node()
    context.record_step(f"restart {name}")
    context.experiment.restart_node(name, 1.0)


def drain_by_row(context: FaultContext) -> None:
    """Set a host's row to drain."""
    service = context.choose_service()
    host = context.choose_host(service)
    context.record_step(f"drain row {host}")
    context.experiment.drain_row(service, host)


def drain_by_health_report(context: FaultContext) -> None:
    """Make a host's health endpoint report that the host is draining."""
    service = context.choose_service()
    host = context.choose_host(service)
    context.record_step(f"drain host {host}")
    context.experiment.fleet.hosts[service, host].draining = True
    now = context.experiment.clock.now
    context.experiment.fleet.records.append(history.UpstreamLeaving(service, host, now))


def restart_host(context: FaultContext) -> None:
    """Take a host down for two seconds; it loses its connections."""
    service = context.choose_service()
    host = context.experiment.fleet.hosts[service, context.choose_host(service)]
    context.record_step(f"restart host {host.name}")
    host.up = False
    host.restart()
    context.schedule(2.0, lambda: setattr(host, "up", True))


def slow_host(context: FaultContext) -> None:
    """Run a host at a tenth of its speed for `HOST_FAULT_DURATION_S`."""
    service = context.choose_service()
    host = context.experiment.fleet.hosts[service, context.choose_host(service)]
    context.record_step(f"slow host {host.name}")
    host.speed = 0.1
    context.schedule(HOST_FAULT_DURATION_S, lambda: setattr(host, "speed", 1.0))


def misreport_host_health(context: FaultContext) -> None:
    """Slow down a host to a tenth and make its probes report it as idle and healthy.

    The speed returns after `HOST_FAULT_DURATION_S`; the false reports continue.
    """
    service = context.choose_service()
    host = context.experiment.fleet.hosts[service, context.choose_host(service)]
    context.record_step(f"misreporting host {host.name}")
    host.speed = 0.1
    context.experiment.misreporting_hosts.add((service, host.name))
    context.schedule(HOST_FAULT_DURATION_S, lambda: setattr(host, "speed", 1.0))


def shed_new_connections(context: FaultContext) -> None:
    """Make a host refuse new connections for `HOST_FAULT_DURATION_S`."""
    service = context.choose_service()
    host = context.experiment.fleet.hosts[service, context.choose_host(service)]
    context.record_step(f"shedding host {host.name}")
    host.shedding = True
    context.schedule(HOST_FAULT_DURATION_S, lambda: setattr(host, "shedding", False))


def lower_connection_limits(context: FaultContext) -> None:
    """Lower a service's connection limits below its load, then restore them."""
    service = context.choose_service()
    limits = {
        row.upstream: row.connections for row in context.experiment.tables[service].rows
    }
    context.record_step(f"limit connections of {service}")

    def set_limits(choose: abc.Callable[[str], int]) -> None:
        table = context.experiment.tables[service]
        rows = tuple(
            row._replace(connections=choose(row.upstream)) for row in table.rows
        )
        context.experiment.edit_table(
            service, tables.Edit(f"limit-{table.version}", rows)
        )

    set_limits(lambda name: 10)
    context.schedule(HOST_FAULT_DURATION_S, lambda: set_limits(limits.__getitem__))


def delay_edit_for_half(context: FaultContext) -> None:
    """Edit a weight; half of the balancers get the table after 2.0 to 3.5 s."""
    service = context.choose_service()
    names = sorted(context.experiment.fleet.nodes)
    late_nodes = set(context.random.sample(names, len(names) // 2))
    context.record_step(f"edit {service}, delayed at {', '.join(sorted(late_nodes))}")

    def choose_delay(name: str) -> float:
        return context.random.uniform(2.0, 3.5) if name in late_nodes else 0.1

    change_weight(context, service, choose_delay)


def edit_rapidly(context: FaultContext) -> None:
    """Make edits in rapid succession; nodes skip versions but all get the last one."""
    service = context.choose_service()
    context.record_step(f"rapid edits of {service}")

    def edit(remaining: int) -> None:
        def choose_delay(name: str) -> float | None:
            if remaining and context.random.random() < 0.5:
                return None
            return context.random.uniform(0.0, 1.0)

        change_weight(context, service, choose_delay)
        if remaining:
            context.schedule(RAPID_EDIT_INTERVAL_S, lambda: edit(remaining - 1))

    edit(RAPID_EDIT_COUNT - 1)


def change_weight(
    context: FaultContext,
    service: str,
    choose_delay: abc.Callable[[str], float | None],
) -> None:
    """Change the weight of a random row."""
    table = context.experiment.tables[service]
    row = context.random.choice(table.rows)
    weight = context.random.choice(
        [value for value in (0.2, 1.0, 3.0) if value != row.weight]
    )
    edit = tables.Edit(f"edit-{table.version + 1}", (row._replace(weight=weight),))
    context.experiment.edit_table(service, edit, choose_delay=choose_delay)


def isolate_zone(context: FaultContext) -> None:
    """Isolate a zone from the others and from the platform, then reconnect it."""
    zones = [
        z
        for z in context.experiment.deployment.zones
        if z not in context.experiment.fleet.isolated_zones
    ]
    zone = context.random.choice(zones)
    context.record_step(f"isolate {zone}")
    context.experiment.fleet.isolate_zone(zone, ISOLATION_DURATION_S)
    context.schedule(
        ISOLATION_DURATION_S, lambda: context.record_step(f"reconnect {zone}")
    )


def disturb_network(name: str, value: float) -> abc.Callable[[FaultContext], None]:
    """Return a fault that disturbs the network for `NETWORK_FAULT_DURATION_S`.

    `name` is the attribute of the fleet that is set to `value` and then to 0.
    """

    def inject(context: FaultContext) -> None:
        context.record_step(f"{name} {value}")
        setattr(context.experiment.fleet, name, value)
        context.schedule(
            NETWORK_FAULT_DURATION_S,
            lambda: setattr(context.experiment.fleet, name, 0.0),
        )

    return inject


def send_invalid_events(context: FaultContext) -> None:
    """Send malformed or forged control packets and packets of no service or port."""
    context.record_step("noise")
    end_s = context.experiment.clock.now + NETWORK_FAULT_DURATION_S

    def send() -> None:
        for name in sorted(context.experiment.fleet.nodes):
            for event in build_invalid_events(context, name):
                return_packet = fleet.ReturnPacket("answer", "no flow", "no request")
                context.experiment.fleet.deliver_event(name, event, return_packet)
        if context.experiment.clock.now < end_s:
            context.schedule(INVALID_EVENTS_INTERVAL_S, send)

    send()


def build_invalid_events(context: FaultContext, target: str) -> list[events.Event]:
    """Return invalid events, all of which a balancer must drop.

    They are malformed, corrupted, truncated or forged control messages and packets and
    probe results of unknown services, upstreams or ports.
    """
    peer = context.choose_node()
    left_claim = wire.Claim(1_000, LEFT_STATE, 0, 1_000)
    ping = wire.Ping(1, 0, left_claim, (wire.Update(target, left_claim),))
    valid_message = wire.encode("stranger", ping, fleet.CONTROL_KEY)
    corrupted_message = bytearray(wire.encode(peer, ping, fleet.CONTROL_KEY))
    corrupted_message[context.random.randrange(len(corrupted_message))] ^= (
        1 + context.random.randrange(255)
    )
    service = context.choose_service()
    upstream = context.random.choice(context.experiment.tables[service].rows).upstream
    flow = context.random.randbytes(6)
    data = events.PacketKind.DATA
    return [
        events.PeerMessage(
            peer, context.random.randbytes(context.random.randrange(200))
        ),
        events.PeerMessage(peer, wire.encode(peer, ping, b"wrong key")),
        events.PeerMessage("stranger", valid_message),
        events.PeerMessage(peer, bytes(corrupted_message)),
        events.PeerMessage(peer, valid_message[: len(valid_message) // 2]),
        events.CallerPacket("no service", flow, data),
        events.RelayedPacket(peer, "no service", flow, data),
        events.UpstreamPacket("no service", upstream, 0),
        events.UpstreamPacket(service, "no upstream", 0),
        events.UpstreamPacket(service, upstream, -1),
        events.UpstreamPacket(service, upstream, 1_000_000),
        events.ProbeReported("no service", upstream, False),
        events.ProbeReported(service, "no upstream", False),
    ]


FAULTS: typing.Final = {
    fault.name: fault
    for fault in (
        Fault("kill", Kind.DEATH, kill_balancer),
        Fault("freeze", Kind.DEATH, freeze_balancer),
        Fault("join", Kind.PLANNED, add_balancer),
        Fault("leave", Kind.PLANNED, stop_balancer),
        Fault("restart", Kind.PLANNED, restart_balancer),
        Fault("drain-row", Kind.PLANNED, drain_by_row),
        Fault("drain-health", Kind.PLANNED, drain_by_health_report),
        Fault("limit", Kind.PLANNED, lower_connection_limits),
        Fault("edit-half", Kind.PLANNED, delay_edit_for_half),
        Fault("edit-rapid", Kind.PLANNED, edit_rapidly),
        Fault("host-restart", Kind.HOST, restart_host),
        Fault("host-slow", Kind.HOST, slow_host),
        Fault("host-lying", Kind.HOST, misreport_host_health),
        Fault("host-shedding", Kind.HOST, shed_new_connections),
        Fault("zone-cut", Kind.PATH, isolate_zone),
        Fault("lost", Kind.PATH, disturb_network("loss", 0.1)),
        Fault("doubled", Kind.HARMLESS, disturb_network("duplication", 0.3)),
        Fault("late", Kind.PATH, disturb_network("jitter_s", 0.5)),
        Fault("reordered", Kind.HARMLESS, disturb_network("jitter_s", 0.02)),
        Fault("noise", Kind.HARMLESS, send_invalid_events),
    )
}
