"""Simulated balancers and the network between them, the callers and the hosts."""

import heapq
import itertools
import random
import typing
from collections import abc

from pistachioshed.core import events, settings, tables
from pistachioshed.lab import history, hosts

TICK_INTERVAL_S: typing.Final = 0.1
VM_LIST_LAG_S: typing.Final = 20.0
# A frozen process later reads what its socket buffers held; further packets are lost.
MAX_FROZEN_BACKLOG_EVENTS: typing.Final = 500
CONTROL_KEY: typing.Final = b"experiment"
# These arrive over the local link to the control process, which loses nothing while
# the balancer is frozen.
LOCAL_EVENTS: typing.Final = (
    events.TableReceived,
    events.VmsReceived,
    events.ProbeReported,
    events.StopRequested,
)

Task = abc.Callable[[], None]


class NodeLike(typing.Protocol):
    """The interface that an experiment needs from a balancer."""

    @property
    def versions(self) -> dict[str, int]:
        """The table version in force for each service."""

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Process an event and return the actions to perform."""


BuildNode = abc.Callable[[settings.Settings, int], NodeLike]


class Packet(typing.NamedTuple):
    """A datagram from a caller; `request` is None if it carries no request.

    Only `server`, the host that completed the handshake, can decrypt a data packet.
    """

    service: str
    key: bytes
    flow: str
    kind: events.PacketKind
    opening_id: int
    request: str | None = None
    work_s: float = 0.0
    server: str = ""


class ReturnPacket(typing.NamedTuple):
    """A datagram to a caller: an accepted or refused opening, an answer or a reset.

    `server` names the host that accepted an opening, and `certain` means that a
    refused opening was not run anywhere.
    """

    kind: typing.Literal["accepted", "answer", "reset", "refused"]
    flow: str
    request: str | None = None
    certain: bool = False
    server: str = ""


class ReturnPath(typing.NamedTuple):
    """The balancer and port slot that a host sends its packets back to."""

    node: str
    service: str
    upstream: str
    port: int


class Clock:
    """Virtual clock: runs tasks by due time, equal times in order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, Task]] = []
        self.sequence_numbers = itertools.count()

    def schedule(self, delay_s: float, task: Task) -> None:
        """Schedule a task to run after a delay."""
        heapq.heappush(
            self.queue, (self.now + delay_s, next(self.sequence_numbers), task)
        )

    def run_until(self, end_s: float) -> None:
        """Run every task due up to a time and advance the clock to it."""
        while self.queue and self.queue[0][0] <= end_s:
            self.now, _, task = heapq.heappop(self.queue)
            task()
        self.now = end_s


class Delays(typing.NamedTuple):
    """One-way delays in seconds."""

    between_zones_s: float = 0.001
    to_callers_s: float = 0.001


class Fleet:
    """Balancers, hosts and the network; callers register to receive packets."""

    def __init__(self, clock: Clock, seed: int, delays: Delays) -> None:
        self.clock = clock
        self.random = random.Random(seed)
        self.delays = delays
        self.nodes: dict[str, NodeLike] = {}
        self.vms: dict[str, events.Vm] = {}
        self.fabric: list[str] = []
        self.hosts: dict[tuple[str, str], hosts.Host] = {}
        self.receivers: dict[bytes, abc.Callable[[ReturnPacket], None]] = {}
        self.records: list[history.Record] = []
        self.control_bytes: dict[str, int] = {}
        self.control_messages = 0
        self.relay_count = 0
        self.drops: dict[str, int] = {}
        self.finished_nodes: set[str] = set()
        self.isolated_zones: set[str] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.jitter_s = 0.0
        self.backlogs: dict[
            str, list[tuple[events.Event, Packet | ReturnPacket | None]]
        ] = {}
        self.live_since: dict[str, float] = {}
        self.notices: list[tuple[float, str, events.Notice]] = []

    def add_node(
        self,
        vm: events.Vm,
        build: BuildNode,
        seed: int,
        current: abc.Iterable[tables.Table],
    ) -> None:
        """Start a balancer with the current tables and the VM list."""
        node_settings = settings.Settings(
            vm.name, vm.zone, vm.address, vm.capacity, CONTROL_KEY
        )
        self.nodes[vm.name] = build(node_settings, seed)
        self.vms[vm.name] = vm
        self.control_bytes.setdefault(vm.name, 0)
        self.finished_nodes.discard(vm.name)
        self.send_vm_list()
        for table in current:
            self.deliver_event(vm.name, events.TableReceived(table))
        self.fabric.append(vm.name)
        self._start_live_interval(vm.name)
        node = self.nodes[vm.name]
        offset = self.random.random() * TICK_INTERVAL_S
        self.clock.schedule(offset, lambda: self._tick(vm.name, node))

    def remove_node(self, name: str) -> None:
        """Stop a balancer at once, as a crash does.

        The VM list drops it only after `VM_LIST_LAG_S`.
        """
        self._end_live_interval(name)
        self.nodes.pop(name, None)
        self.backlogs.pop(name, None)
        if name in self.fabric:
            self.fabric.remove(name)
        vm = self.vms[name]
        self.clock.schedule(VM_LIST_LAG_S, lambda: self._remove_vm(vm))

    def stop_node(self, name: str) -> None:
        """Ask a balancer to stop gracefully; the fabric removes it after 0.5 s."""
        self.deliver_event(name, events.StopRequested())
        self.clock.schedule(0.5, lambda: self._remove_from_fabric(name))

    def send_vm_list(self) -> None:
        """Send the current VM list to every balancer."""
        event = events.VmsReceived(tuple(self.vms.values()))
        for name in list(self.nodes):
            self.deliver_event(name, event)

    def send_packet(self, packet: Packet) -> None:
        """Send a caller's packet to a random balancer of the fabric."""
        if not self.fabric:
            return
        name = self.random.choice(self.fabric)
        event = events.CallerPacket(
            packet.service, packet.key, packet.kind, packet.opening_id
        )
        self._transmit(
            self.delays.to_callers_s, lambda: self.deliver_event(name, event, packet)
        )

    def deliver_event(
        self,
        name: str,
        event: events.Event,
        packet: Packet | ReturnPacket | None = None,
    ) -> None:
        """Deliver an event to a balancer and perform the resulting actions.

        Events for a frozen balancer are queued, except ticks. Beyond
        `MAX_FROZEN_BACKLOG_EVENTS` only local events are still queued.
        """
        node = self.nodes.get(name)
        if node is None:
            return
        backlog = self.backlogs.get(name)
        if backlog is not None:
            is_local = isinstance(event, LOCAL_EVENTS)
            if is_local or len(backlog) < MAX_FROZEN_BACKLOG_EVENTS:
                if not isinstance(event, events.Tick):
                    backlog.append((event, packet))
            return
        for action in node.handle(event, self.clock.now):
            self._perform(name, action, packet)
        if isinstance(event, events.TableReceived):
            self._record_version(name, node, event.table.service)

    def _record_version(self, name: str, node: NodeLike, service: str) -> None:
        version = node.versions.get(service, 0)
        self.records.append(
            history.VersionInForce(name, service, version, self.clock.now)
        )

    def freeze_node(self, name: str, duration_s: float) -> None:
        """Pause a balancer, as SIGSTOP does, and resume it after a time."""
        if name in self.nodes and name not in self.backlogs:
            self._end_live_interval(name)
            self.backlogs[name] = []
            self.clock.schedule(duration_s, lambda: self._resume_node(name))

    def isolate_zone(self, zone: str, duration_s: float) -> None:
        """Partition a zone from all other zones and from the platform for a time."""
        self.isolated_zones.add(zone)
        for name in list(self.nodes):
            if self.is_isolated(name):
                self._end_live_interval(name)
        self.clock.schedule(duration_s, lambda: self._reconnect_zone(zone))

    def is_isolated(self, name: str) -> bool:
        """Return whether a balancer's zone is isolated."""
        return self.vms[name].zone in self.isolated_zones

    def can_reach(self, zone: str, other: str) -> bool:
        """Return whether packets pass between two zones."""
        return zone == other or not {zone, other} & self.isolated_zones

    def end_live_intervals(self) -> None:
        """Record the open live interval of each balancer, at the end of a run."""
        for name in list(self.live_since):
            self._end_live_interval(name)

    def _reconnect_zone(self, zone: str) -> None:
        self.isolated_zones.discard(zone)
        for name in list(self.nodes):
            if self._find_zone(name) == zone:
                self._start_live_interval(name)

    def _start_live_interval(self, name: str) -> None:
        if name in self.nodes and name not in self.backlogs:
            if not self.is_isolated(name):
                self.live_since.setdefault(name, self.clock.now)

    def _end_live_interval(self, name: str) -> None:
        since = self.live_since.pop(name, None)
        if since is not None:
            self.records.append(history.NodeLive(name, since, self.clock.now))

    def send_response(self, request: hosts.Request) -> None:
        """Send a host's answer back on the path that the request arrived on."""
        self._send_return_packet(
            request.path, ReturnPacket("answer", request.flow, request.request)
        )

    def _perform(
        self, name: str, action: events.Action, packet: Packet | ReturnPacket | None
    ) -> None:
        if isinstance(action, events.SendUpstream) and isinstance(packet, Packet):
            path = ReturnPath(name, action.service, action.upstream, action.port)
            zone = self.hosts[action.service, action.upstream].zone
            self._send_to_zone(name, zone, lambda: self._deliver_to_host(path, packet))
        elif isinstance(action, events.SendOwner) and isinstance(packet, Packet):
            self.relay_count += 1
            event = events.RelayedPacket(
                name, packet.service, packet.key, packet.kind, packet.opening_id
            )
            peer = action.peer
            zone = self._find_zone(peer)
            self._send_to_zone(
                name, zone, lambda: self.deliver_event(peer, event, packet)
            )
        elif isinstance(action, events.SendCaller) and isinstance(packet, ReturnPacket):
            self._send_to_caller(action.flow, packet)
        elif isinstance(action, events.RefuseOpening) and isinstance(packet, Packet):
            refusal = ReturnPacket("refused", packet.flow, certain=action.not_run)
            self.records.append(
                history.OpeningRefused(
                    packet.service, packet.flow, name, self.clock.now
                )
            )
            self._send_to_caller(packet.key, refusal)
        elif isinstance(action, events.SendPeer):
            self.control_bytes[name] += len(action.payload)
            self.control_messages += 1
            message = events.PeerMessage(name, action.payload)
            target = action.peer
            zone = self._find_zone(target)
            self._send_to_zone(name, zone, lambda: self.deliver_event(target, message))
        elif isinstance(action, events.DropPacket):
            self.drops[action.reason] = self.drops.get(action.reason, 0) + 1
        elif isinstance(action, events.Notice):
            self.notices.append((self.clock.now, name, action))
        elif isinstance(action, events.Finished):
            self.finished_nodes.add(name)

    def _find_zone(self, name: str) -> str:
        return self.vms[name].zone if name in self.vms else ""

    def _send_to_zone(self, node: str, zone: str, task: Task) -> None:
        """Send between a balancer and a zone unless a partition separates them."""
        if not self.can_reach(self._find_zone(node), zone):
            return
        self._transmit(self.delays.between_zones_s, task)

    def _transmit(self, delay_s: float, task: Task) -> None:
        copies = (
            2 if self.duplication and self.random.random() < self.duplication else 1
        )
        for _ in range(copies):
            if self.loss and self.random.random() < self.loss:
                continue
            jitter_s = self.random.random() * self.jitter_s if self.jitter_s else 0.0
            self.clock.schedule(delay_s + jitter_s, task)

    def _deliver_to_host(self, path: ReturnPath, packet: Packet) -> None:
        host = self.hosts[path.service, path.upstream]
        opening = packet.kind is events.PacketKind.OPENING
        self.records.append(
            history.Delivery(
                packet.service,
                packet.flow,
                path.upstream,
                host.service,
                opening,
                self.clock.now,
                path.node,
            )
        )
        if not host.up:
            return
        if opening and host.shedding and packet.flow not in host.connections:
            self._send_return_packet(
                path, ReturnPacket("refused", packet.flow, certain=True)
            )
        elif opening:
            host.open_connection(packet.flow, path)
            accepted = ReturnPacket("accepted", packet.flow, server=host.name)
            self._send_return_packet(path, accepted)
        elif packet.flow not in host.connections:
            self._send_return_packet(path, ReturnPacket("reset", packet.flow))
        elif packet.server != host.name:
            # Two hosts got a copy of the opening; this one lacks the flow's keys.
            return
        elif packet.request is None:
            host.close_connection(packet.flow)
        else:
            host.receive_request(
                hosts.Request(packet.flow, packet.request, packet.work_s, path)
            )

    def _send_return_packet(self, path: ReturnPath, packet: ReturnPacket) -> None:
        event = events.UpstreamPacket(path.service, path.upstream, path.port)
        name = path.node
        zone = self.hosts[path.service, path.upstream].zone
        self._send_to_zone(name, zone, lambda: self.deliver_event(name, event, packet))

    def _send_to_caller(self, key: bytes, packet: ReturnPacket) -> None:
        receive = self.receivers.get(key)
        if receive is not None:
            self._transmit(self.delays.to_callers_s, lambda: receive(packet))

    def _resume_node(self, name: str) -> None:
        backlog = self.backlogs.pop(name, [])
        self._start_live_interval(name)
        for event, packet in backlog:
            self.deliver_event(name, event, packet)

    def _tick(self, name: str, node: NodeLike) -> None:
        if self.nodes.get(name) is not node:
            return
        self.deliver_event(name, events.Tick())
        if name in self.finished_nodes:
            self.remove_node(name)
            return
        self.clock.schedule(TICK_INTERVAL_S, lambda: self._tick(name, node))

    def _remove_from_fabric(self, name: str) -> None:
        if name in self.fabric:
            self.fabric.remove(name)

    def _remove_vm(self, vm: events.Vm) -> None:
        if vm.name not in self.nodes and self.vms.get(vm.name) is vm:
            del self.vms[vm.name]
            self.send_vm_list()
