"""Named faults, alone or overlapping in pairs, and the rules that hold under them."""

import enum
import itertools
import random
import typing
from collections import abc

from pistachioshed.core import events, memberrecords, tables, wire
from pistachioshed.lab import deployments, experiment, fleet, history

FIRST_AT_S: typing.Final = 9.0
OVERLAP_S: typing.Final = 3.0
LOAD_FROM_S: typing.Final = 3.0
LOAD_UNTIL_S: typing.Final = 24.0
# Beyond the callers' patience, so that every flow has ended.
END_S: typing.Final = 40.0
FROZEN_S: typing.Final = 4.0
CUT_S: typing.Final = 7.0
HOST_FAULT_S: typing.Final = 6.0
NETWORK_FAULT_S: typing.Final = 6.0
RAPID_EDITS: typing.Final = 6
RAPID_INTERVAL_S: typing.Final = 0.15
NOISE_INTERVAL_S: typing.Final = 0.2
LEFT: typing.Final = memberrecords.STATES.index("left")


class Kind(enum.Enum):
    """What a fault leaves of the guarantees.

    Under PLANNED and HARMLESS faults no flow may break. A DEATH on its own moves no
    flow, nor does it together with HARMLESS or HOST faults. Under a HOST fault
    requests may fail but flows stay. Under PATH faults, which separate nodes or lose
    what they tell each other, flows may move.
    """

    PLANNED = "planned"
    HARMLESS = "harmless"
    DEATH = "death"
    HOST = "host"
    PATH = "path"


class Drill:
    """One run: a small deployment under load and the faults injected so far."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        build: fleet.BuildNode,
        seed: int,
    ) -> None:
        self.lab = experiment.World(shrink_deployment(deployment), build, seed)
        self.random = random.Random(f"faults-{seed}")
        self.numbers = itertools.count(1)
        self.log: list[tuple[float, str]] = []

    def note(self, text: str) -> None:
        """Keep what a fault did, for traces."""
        self.log.append((self.lab.clock.now, text))

    def after(self, delay_s: float, task: abc.Callable[[], object]) -> None:
        """Run a task after a delay."""

        def run() -> None:
            task()

        self.lab.clock.schedule(delay_s, run)

    def choose_node(self) -> str:
        """Return a running balancer."""
        return self.random.choice(sorted(self.lab.fleet.nodes))

    def choose_service(self) -> str:
        """Return a service."""
        return self.random.choice(sorted(self.lab.tables))

    def choose_host(self, service: str) -> str:
        """Return an active row's host that is up, honest and not draining."""
        hosts = self.lab.fleet.hosts
        return self.random.choice(
            [
                row.upstream
                for row in self.lab.tables[service].rows
                if row.state == "active"
                and hosts[service, row.upstream].up
                and not hosts[service, row.upstream].draining
                and (service, row.upstream) not in self.lab.lying
            ]
        )


class Fault(typing.NamedTuple):
    """A named fault; `inject` starts it now."""

    name: str
    kind: Kind
    inject: abc.Callable[[Drill], None]


def shrink_deployment(deployment: deployments.Deployment) -> deployments.Deployment:
    """Return a deployment with five balancers and a load that runs in a second."""
    services = tuple(
        service._replace(
            hosts=min(service.hosts, 4),
            load=service.load._replace(flows_per_s=12.0, think_s=1.5),
        )
        for service in deployment.services
    )
    return deployment._replace(balancers=5, services=services)


def kill_balancer(drill: Drill) -> None:
    """Kill a balancer."""
    name = drill.choose_node()
    drill.note(f"kill {name}")
    drill.lab.fleet.remove_node(name)


def freeze_balancer(drill: Drill) -> None:
    """Pause a balancer for longer than its peers wait before they replace it."""
    name = drill.choose_node()
    drill.note(f"freeze {name}")
    drill.lab.fleet.freeze_node(name, FROZEN_S)
    drill.after(FROZEN_S, lambda: drill.note(f"wake {name}"))


def add_balancer(drill: Drill) -> None:
    """Start a balancer on a new VM."""
    zone = drill.random.choice(drill.lab.deployment.zones)
    number = 100 + next(drill.numbers)
    vm = events.Vm(f"{zone}-{number}", zone, f"127.0.1.{number}:7000", 1.0)
    drill.note(f"start {vm.name}")
    drill.lab.add_node(vm)


def stop_balancer(drill: Drill) -> None:
    """Stop a balancer gracefully."""
    name = drill.choose_node()
    drill.note(f"stop {name}")
    drill.lab.fleet.stop_node(name)


def restart_balancer(drill: Drill) -> None:
    """Stop a balancer gracefully and start it again."""
    name = drill.choose_node()
    drill.note(f"restart {name}")
    drill.lab.restart_node(name, 1.0)


def drain_by_row(drill: Drill) -> None:
    """Drain a host by its row."""
    service = drill.choose_service()
    host = drill.choose_host(service)
    drill.note(f"drain row {host}")
    drill.lab.drain_row(service, host)


def drain_by_health(drill: Drill) -> None:
    """Let a host's health endpoint report that it drains."""
    service = drill.choose_service()
    host = drill.choose_host(service)
    drill.note(f"drain host {host}")
    drill.lab.fleet.hosts[service, host].draining = True
    now = drill.lab.clock.now
    drill.lab.fleet.records.append(history.UpstreamLeaving(service, host, now))


def restart_host(drill: Drill) -> None:
    """Take a host down for two seconds; it forgets its connections."""
    service = drill.choose_service()
    host = drill.lab.fleet.hosts[service, drill.choose_host(service)]
    drill.note(f"restart host {host.name}")
    host.up = False
    host.restart()
    drill.after(2.0, lambda: setattr(host, "up", True))


def slow_host(drill: Drill) -> None:
    """Run a host at a tenth of its speed for some seconds."""
    service = drill.choose_service()
    host = drill.lab.fleet.hosts[service, drill.choose_host(service)]
    drill.note(f"slow host {host.name}")
    host.speed = 0.1
    drill.after(HOST_FAULT_S, lambda: setattr(host, "speed", 1.0))


def lying_host(drill: Drill) -> None:
    """Let a slow host report that it is idle and well."""
    service = drill.choose_service()
    host = drill.lab.fleet.hosts[service, drill.choose_host(service)]
    drill.note(f"lying host {host.name}")
    host.speed = 0.1
    drill.lab.lying.add((service, host.name))
    drill.after(HOST_FAULT_S, lambda: setattr(host, "speed", 1.0))


def shedding_host(drill: Drill) -> None:
    """Let a host refuse new connections for some seconds."""
    service = drill.choose_service()
    host = drill.lab.fleet.hosts[service, drill.choose_host(service)]
    drill.note(f"shedding host {host.name}")
    host.shedding = True
    drill.after(HOST_FAULT_S, lambda: setattr(host, "shedding", False))


def limit_service(drill: Drill) -> None:
    """Lower the connection limits of a service below its load, then raise them."""
    service = drill.choose_service()
    limits = {row.upstream: row.connections for row in drill.lab.tables[service].rows}
    drill.note(f"limit {service}")

    def set_limits(choose: abc.Callable[[str], int]) -> None:
        table = drill.lab.tables[service]
        rows = tuple(
            row._replace(connections=choose(row.upstream)) for row in table.rows
        )
        drill.lab.edit_table(service, tables.Edit(f"limit-{table.version}", rows))

    set_limits(lambda name: 10)
    drill.after(HOST_FAULT_S, lambda: set_limits(limits.__getitem__))


def edit_half(drill: Drill) -> None:
    """Edit a weight; half of the fleet gets the table seconds later."""
    service = drill.choose_service()
    names = sorted(drill.lab.fleet.nodes)
    late = set(drill.random.sample(names, len(names) // 2))
    drill.note(f"edit {service}, late at {', '.join(sorted(late))}")

    def choose_delay(name: str) -> float:
        return drill.random.uniform(2.0, 3.5) if name in late else 0.1

    change_weight(drill, service, choose_delay)


def edit_rapidly(drill: Drill) -> None:
    """Make edits so fast that nodes skip versions; all get the last one."""
    service = drill.choose_service()
    drill.note(f"rapid edits of {service}")

    def edit(left: int) -> None:
        def choose_delay(name: str) -> float | None:
            if left and drill.random.random() < 0.5:
                return None
            return drill.random.uniform(0.0, 1.0)

        change_weight(drill, service, choose_delay)
        if left:
            drill.after(RAPID_INTERVAL_S, lambda: edit(left - 1))

    edit(RAPID_EDITS - 1)


def change_weight(
    drill: Drill,
    service: str,
    choose_delay: abc.Callable[[str], float | None],
) -> None:
    """Give a random row another weight."""
    table = drill.lab.tables[service]
    row = drill.random.choice(table.rows)
    weight = drill.random.choice(
        [value for value in (0.2, 1.0, 3.0) if value != row.weight]
    )
    edit = tables.Edit(f"edit-{table.version + 1}", (row._replace(weight=weight),))
    drill.lab.edit_table(service, edit, choose_delay=choose_delay)


def cut_zone(drill: Drill) -> None:
    """Cut a zone from the others and from the platform, and heal it."""
    zones = [z for z in drill.lab.deployment.zones if z not in drill.lab.fleet.isolated]
    zone = drill.random.choice(zones)
    drill.note(f"cut {zone}")
    drill.lab.fleet.isolate_zone(zone, CUT_S)
    drill.after(CUT_S, lambda: drill.note(f"heal {zone}"))


def disturb_network(name: str, value: float) -> abc.Callable[[Drill], None]:
    """Return a fault that sets one of the network's disturbances for some seconds."""

    def inject(drill: Drill) -> None:
        drill.note(f"{name} {value}")
        setattr(drill.lab.fleet, name, value)
        drill.after(NETWORK_FAULT_S, lambda: setattr(drill.lab.fleet, name, 0.0))

    return inject


def send_noise(drill: Drill) -> None:
    """Send malformed and forged control packets and packets of no service or port."""
    drill.note("noise")
    end_s = drill.lab.clock.now + NETWORK_FAULT_S

    def send() -> None:
        for name in sorted(drill.lab.fleet.nodes):
            for event in build_noise(drill, name):
                answer = fleet.Answer("answer", "no flow", "no request")
                drill.lab.fleet.deliver_event(name, event, answer)
        if drill.lab.clock.now < end_s:
            drill.after(NOISE_INTERVAL_S, send)

    send()


def build_noise(drill: Drill, target: str) -> list[events.Event]:
    """Return events that a balancer has to ignore."""
    peer = drill.choose_node()
    left = wire.Claim(1_000, LEFT, 0, 1_000)
    claim = wire.Ping(1, 0, left, (wire.Update(target, left),))
    genuine = wire.encode("stranger", claim, fleet.CONTROL_KEY)
    damaged = bytearray(wire.encode(peer, claim, fleet.CONTROL_KEY))
    damaged[drill.random.randrange(len(damaged))] ^= 1 + drill.random.randrange(255)
    service = drill.choose_service()
    row = drill.random.choice(drill.lab.tables[service].rows).upstream
    flow = drill.random.randbytes(6)
    data = events.PacketKind.DATA
    return [
        events.PeerMessage(peer, drill.random.randbytes(drill.random.randrange(200))),
        events.PeerMessage(peer, wire.encode(peer, claim, b"wrong key")),
        events.PeerMessage("stranger", genuine),
        events.PeerMessage(peer, bytes(damaged)),
        events.PeerMessage(peer, genuine[: len(genuine) // 2]),
        events.CallerPacket("no service", flow, data),
        events.RelayedPacket(peer, "no service", flow, data),
        events.UpstreamPacket("no service", row, 0),
        events.UpstreamPacket(service, "no upstream", 0),
        events.UpstreamPacket(service, row, -1),
        events.UpstreamPacket(service, row, 1_000_000),
        events.ProbeReported("no service", row, False),
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
        Fault("drain-health", Kind.PLANNED, drain_by_health),
        Fault("limit", Kind.PLANNED, limit_service),
        Fault("edit-half", Kind.PLANNED, edit_half),
        Fault("edit-rapid", Kind.PLANNED, edit_rapidly),
        Fault("host-restart", Kind.HOST, restart_host),
        Fault("host-slow", Kind.HOST, slow_host),
        Fault("host-lying", Kind.HOST, lying_host),
        Fault("host-shedding", Kind.HOST, shedding_host),
        Fault("zone-cut", Kind.PATH, cut_zone),
        Fault("lost", Kind.PATH, disturb_network("loss", 0.1)),
        Fault("doubled", Kind.HARMLESS, disturb_network("duplication", 0.3)),
        Fault("late", Kind.PATH, disturb_network("jitter_s", 0.5)),
        Fault("reordered", Kind.HARMLESS, disturb_network("jitter_s", 0.02)),
        Fault("noise", Kind.HARMLESS, send_noise),
    )
}
