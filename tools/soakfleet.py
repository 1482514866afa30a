"""Run the forwarder processes and stand-ins of one soak test."""

import asyncio
import collections
import contextlib
import math
import pathlib
import random
import subprocess
import sys
import typing

from standins import http1, loopbackproxy, metadatastore, operatorrecords, packetflows
from tests import forwarderfleet

FORWARDERS: typing.Final = 4
HOSTS: typing.Final = {"booking": 3, "sheets": 2}
CALLERS: typing.Final = 6
HOST_PORT: typing.Final = 8080
# Networks of 127.0.0.0/8 from 127.20 on, and blocks of three subnets in each.
NETWORKS: typing.Final = 200
BLOCKS: typing.Final = 80
TARGETS: typing.Final = {
    "booking": ("198.18.0.1", 443),
    "sheets": ("198.18.0.2", 443),
}
# The hosts of each service are in both zones, an odd one in the first. All forwarders
# are in the second, whose hosts they prefer, and which is evacuated.
ZONES: typing.Final = ("riga-b", "riga-a")
# The target of a route to booking that configuration versions add and remove.
CHANGING_TARGET: typing.Final = ("198.18.0.3", 443)


class Span(typing.NamedTuple):
    """A period from `start` to `end`, in seconds of the event loop's clock."""

    start: float
    end: float


class SoakFleet:
    """Run forwarders, hosts and callers on addresses of one loopback network.

    Forwarders, callers and hosts are in a subnet each, in this order.
    `disturbances` and `store_disturbances` hold the periods in which a forwarder or the
    store was disturbed; `route_changes` holds when the changing target was added (True)
    or removed; `announced_ends` holds when a host announced its end. `entries` and
    `configuration` hold what hosts and operator wrote last, `zones` the zone of each
    host. `evacuations` holds when a zone was evacuated; the end is infinite until the
    request is removed.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.seed = seed
        self.draw = random.Random(seed)
        self.folder = folder
        # Concurrent runs use different addresses unless their seeds are equal modulo
        # the product of networks and blocks.
        network = 20 + seed % NETWORKS
        first = 1 + 3 * (seed // NETWORKS % BLOCKS)
        self.forwarder_subnet, self.caller_subnet, self.host_subnet = (
            f"127.{network}.{number}" for number in range(first, first + 3)
        )
        self.packet_port, self.peers_port, self.ready_port, self.metrics_port = (
            forwarderfleet.find_ports(4)
        )
        self.store = metadatastore.MetadataStore()
        self.proxies: dict[str, loopbackproxy.LoopbackProxy] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.log_starts: dict[str, int] = {}
        self.hosts: dict[str, packetflows.Host] = {}
        self.health_check_servers: dict[str, asyncio.Server] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.next_host_number = 1
        self.version = 0
        self.configuration = b""
        self.entries: dict[str, bytes] = {}
        self.report_counts: collections.Counter[str] = collections.Counter()
        self.disturbances: dict[str, list[Span]] = {}
        self.store_disturbances: list[Span] = []
        self.route_changes: list[tuple[float, bool]] = []
        self.announced_ends: dict[str, float] = {}
        self.zones: dict[str, str] = {}
        self.evacuations: dict[str, list[Span]] = {zone: [] for zone in ZONES}
        self.execution_counts: collections.Counter[bytes] = collections.Counter()
        self.arrivals: list[packetflows.Arrival] = []
        self.refusals: list[packetflows.Refusal] = []
        ready = {
            self.get_forwarder_ip(number): (
                self.get_forwarder_ip(number),
                self.ready_port,
            )
            for number in range(1, FORWARDERS + 1)
        }
        self.routers = packetflows.Routers(ready, self.packet_port)
        self.callers: list[packetflows.Caller] = []
        self.health_check_task: asyncio.Task[None] | None = None
        self.exit_stack = contextlib.ExitStack()

    def get_forwarder_ip(self, number: int) -> str:
        """Return the IP address of a forwarder's machine."""
        return f"{self.forwarder_subnet}.{number}"

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start store, hosts, forwarders, routers and callers."""
        store_address = await self.store.start()
        self.write_configuration()
        for service, count in HOSTS.items():
            for _ in range(count):
                await self.start_host(service)
        for number in range(1, FORWARDERS + 1):
            ip = self.get_forwarder_ip(number)
            proxy = loopbackproxy.LoopbackProxy(store_address)
            self.proxies[ip] = proxy
            self.disturbances[ip] = []
            self.write_settings(number, await proxy.start(ip))
            self.start_forwarder(ip)
        self.health_check_task = asyncio.create_task(self.routers.run_checks())
        for number in range(CALLERS):
            ip = f"{self.caller_subnet}.{number + 1}"
            caller = packetflows.Caller(ip, self.routers, self.refusals, self.draw)
            await packetflows.open_socket(caller, (ip, self.packet_port))
            self.callers.append(caller)

    def write_settings(self, number: int, store: tuple[str, int]) -> None:
        """Write a forwarder's settings file."""
        ip = self.get_forwarder_ip(number)
        (self.folder / f"{ip}.ini").write_text(
            f"[balancer]\nname = front-{number}\nzone = {ZONES[-1]}\nstop_s = 6\n"
            f"[listen]\npackets = {ip}:{self.packet_port}\n"
            f"ready = {ip}:{self.ready_port}\npeers = {ip}:{self.peers_port}\n"
            f"metrics = {ip}:{self.metrics_port}\n"
            f"[store]\naddress = {store[0]}:{store[1]}\n"
            f"[peers]\nseeds = {self.get_forwarder_ip(1)}:1,"
            f"{self.get_forwarder_ip(2)}:1\n"
        )

    def start_forwarder(self, ip: str) -> None:
        """Start a forwarder process and append its output to its log file."""
        output = self.exit_stack.enter_context((self.folder / f"{ip}.log").open("ab"))
        self.log_starts[ip] = (self.folder / f"{ip}.log").stat().st_size
        self.processes[ip] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "pistachioshed.apps.forwarderstart",
                str(self.folder / f"{ip}.ini"),
            ],
            stdout=output,
            stderr=subprocess.STDOUT,
        )

    def has_served(self, ip: str) -> bool:
        """Return whether a forwarder has served flows since its last start."""
        log = (self.folder / f"{ip}.log").read_bytes()[self.log_starts[ip] :]
        return b'"event":"serving"' in log

    async def start_host(self, service: str) -> None:
        """Start a host and its health check, and register it."""
        name = f"i-{self.next_host_number:08x}"
        address = (f"{self.host_subnet}.{self.next_host_number}", HOST_PORT)
        self.next_host_number += 1
        host = packetflows.Host(
            name, service, self.packet_port, self.execution_counts, self.arrivals
        )
        await packetflows.open_socket(host, address)
        self.health_check_servers[name] = await http1.start_server(
            address, host.handle_health_check
        )
        self.zones[name] = self.choose_zone(service)
        self.hosts[name] = host
        self.addresses[name] = address
        self.register(name, service, "ready")

    def choose_zone(self, service: str) -> str:
        """Return the zone with the fewest hosts of a service."""
        counts = collections.Counter(
            self.zones[host.name]
            for host in self.hosts.values()
            if host.service == service
        )
        return min(ZONES, key=counts.__getitem__)

    def evacuate(self, zone: str) -> None:
        """Write the request to evacuate a zone."""
        self.evacuations[zone].append(Span(self.now(), math.inf))
        self.rewrite_evacuations()

    def end_evacuation(self, zone: str) -> None:
        """Remove the request to evacuate a zone, unless a restoration has."""
        span = self.evacuations[zone].pop()
        self.evacuations[zone].append(span._replace(end=self.now()))
        self.rewrite_evacuations()

    def rewrite_evacuations(self) -> None:
        """Write and remove what the store lacks of the requests to evacuate zones."""
        for zone, spans in self.evacuations.items():
            key = operatorrecords.get_evacuation_key(zone)
            is_requested = bool(spans) and spans[-1].end == math.inf
            if is_requested and key not in self.store.items:
                self.store.put(key, b"{}")
            elif not is_requested and key in self.store.items:
                self.store.remove(key)

    def register(self, name: str, service: str, state: str) -> None:
        """Write a host's entry to the store."""
        self.report_counts[name] += 1
        self.entries[name] = operatorrecords.encode_entry(
            self.addresses[name],
            service=service,
            zone=self.zones[name],
            state=state,
            sequence=self.report_counts[name],
        )
        self.store.put(operatorrecords.get_entry_key(name), self.entries[name])

    def remove_entry(self, name: str) -> None:
        """Remove a host's entry from the store, unless a restoration has."""
        self.entries.pop(name, None)
        if self.has_entry(name):
            self.store.remove(operatorrecords.get_entry_key(name))

    def rewrite_entries(self) -> None:
        """Write and remove what a restored store lacks of the hosts' last entries."""
        for name in self.addresses:
            key = operatorrecords.get_entry_key(name)
            if name not in self.entries:
                self.remove_entry(name)
            elif self.store.get(key) != self.entries[name]:
                self.store.put(key, self.entries[name])

    def has_entry(self, name: str) -> bool:
        """Return whether a host is registered."""
        return operatorrecords.get_entry_key(name) in self.store.items

    def write_configuration(self) -> None:
        """Write the next version; whether it has the changing target is random."""
        self.version += self.draw.randint(1, 4)
        targets = {target: service for service, target in TARGETS.items()}
        is_routed = self.draw.random() < 0.5
        if is_routed:
            targets[CHANGING_TARGET] = "booking"
        self.configuration = operatorrecords.encode_configuration(self.version, targets)
        self.rewrite_configuration()
        self.route_changes.append((self.now(), is_routed))

    def rewrite_configuration(self) -> None:
        """Write the newest configuration to the store."""
        self.store.put(operatorrecords.CONFIGURATION_KEY, self.configuration)

    async def stop(self) -> None:
        """Stop the processes and close the sockets of this run."""
        if self.health_check_task is not None:
            self.health_check_task.cancel()
        for process in self.processes.values():
            process.kill()
            process.wait()
        transports = [caller.transport for caller in self.callers]
        transports += [host.transport for host in self.hosts.values()]
        for transport in transports:
            if transport is not None:
                transport.close()
        servers = [*self.health_check_servers.values(), self.store.server]
        servers += [proxy.server for proxy in self.proxies.values()]
        for server in servers:
            if server is not None:
                server.close()
        self.exit_stack.close()
