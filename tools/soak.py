"""A seeded soak of real forwarder processes under faults from outside.

It starts forwarders, harms them by signals and their store by a proxy, changes the
configuration and the hosts, and checks the promises from what callers and hosts see.
"""

import argparse
import asyncio
import collections
import contextlib
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import typing
from collections import abc

from pistachioshed.adapters import http1
from pistachioshed.platform import packets
from standins import loopbackproxy, metadatastore, packetflows
from tests import forwarderfleet

FORWARDERS: typing.Final = 4
HOSTS: typing.Final = {"booking": 3, "sheets": 2}
CALLERS: typing.Final = 6
FAULTS_S: typing.Final = 12.0
# The users' bounds: a change is in force after 3 s, and is judged only where machines
# and store were calm for 4 s.
HOST_PORT: typing.Final = 8080
IN_FORCE_S: typing.Final = 3.0
CALM_S: typing.Final = 4.0
RECOVERY_S: typing.Final = 12.0
CALM_REQUESTS: typing.Final = 40
REQUEST_PAUSE_S: typing.Final = 0.05
LONG_FLOW_S: typing.Final = 1.5
LONG_FLOW_SHARE: typing.Final = 0.1
RESTART_S: typing.Final = 0.3
TARGETS: typing.Final = {
    "booking": (packets.parse_ip("198.18.0.1"), 443),
    "sheets": (packets.parse_ip("198.18.0.2"), 443),
}

FRESH_SEEDS: typing.Final = 1_000_000_000


class Change(typing.NamedTuple):
    """When a host became unusable for new flows, or a machine was last harmed."""

    name: str
    at: float


class Soak:
    """One run: the stand-ins, the processes, and what was seen."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.draw = random.Random(seed)
        self.folder = folder
        # Runs at the same time use addresses of their own.
        self.net = f"127.{20 + seed % 200}"
        self.packet_port = forwarderfleet.find_port()
        self.peers_port = forwarderfleet.find_port()
        self.ready_port = forwarderfleet.find_port()
        self.metrics_port = forwarderfleet.find_port()
        self.store = metadatastore.MetadataStore()
        self.proxies: dict[str, loopbackproxy.LoopbackProxy] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.log_starts: dict[str, int] = {}
        self.stopping: set[str] = set()
        self.hosts: dict[str, packetflows.Host] = {}
        self.checks: dict[str, asyncio.Server] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.ended: list[Change] = []
        self.harmed: dict[str, float] = {}
        self.store_harmed_at = 0.0
        self.born = 0
        self.next_host = 1
        self.version = 0
        self.runs: collections.Counter[bytes] = collections.Counter()
        self.arrivals: list[packetflows.Arrival] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.log: list[str] = []
        ready = {
            self.ip_of(number): (self.ip_of(number), self.ready_port)
            for number in range(1, FORWARDERS + 1)
        }
        self.routers = packetflows.Routers(ready, self.packet_port)
        self.callers: list[packetflows.Caller] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.stack = contextlib.ExitStack()

    def ip_of(self, number: int) -> str:
        """Return the address of a forwarder's machine."""
        return f"{self.net}.1.{number}"

    def now(self) -> float:
        """Return the time of the run."""
        return asyncio.get_running_loop().time()

    def note(self, text: str) -> None:
        """Keep a line on a fault, for the report of a failure."""
        self.log.append(f"{self.now():.2f} {text}")

    async def run(self) -> None:
        """Play the run and end everything that it started."""
        try:
            await self.start()
            await asyncio.sleep(1.0)
            faults = asyncio.create_task(self.play_faults())
            await self.drive_until(faults)
            await self.check_recovery()
            self.check_arrivals()
            self.check_runs()
        finally:
            await self.stop()

    async def start(self) -> None:
        """Start store, hosts, forwarders, routers and callers."""
        store_address = await self.store.start()
        self.configure()
        for service, count in HOSTS.items():
            for _ in range(count):
                await self.start_host(service)
        for number in range(1, FORWARDERS + 1):
            ip = self.ip_of(number)
            proxy = loopbackproxy.LoopbackProxy(store_address)
            self.proxies[ip] = proxy
            self.write_settings(number, await proxy.start(ip))
            self.start_forwarder(ip)
        self.tasks.append(asyncio.create_task(self.routers.keep_checking()))
        for number in range(CALLERS):
            ip = f"{self.net}.2.{number + 1}"
            caller = packetflows.Caller(ip, self.routers, self.draw)
            await packetflows.open_socket(caller, (ip, self.packet_port))
            self.callers.append(caller)

    def write_settings(self, number: int, store: tuple[str, int]) -> None:
        """Write a forwarder's settings file."""
        ip = self.ip_of(number)
        (self.folder / f"{ip}.ini").write_text(
            f"[balancer]\nname = front-{number}\nzone = riga-a\nstop_s = 6\n"
            f"[listen]\npackets = {ip}:{self.packet_port}\n"
            f"ready = {ip}:{self.ready_port}\npeers = {ip}:{self.peers_port}\n"
            f"metrics = {ip}:{self.metrics_port}\n"
            f"[store]\naddress = {store[0]}:{store[1]}\n"
            f"[peers]\nseeds = {self.ip_of(1)}:1,{self.ip_of(2)}:1\n"
        )

    def start_forwarder(self, ip: str) -> None:
        """Start a forwarder process; its log is kept in the folder."""
        output = self.stack.enter_context((self.folder / f"{ip}.log").open("ab"))
        self.log_starts[ip] = (self.folder / f"{ip}.log").stat().st_size
        self.processes[ip] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "pistachioshed.apps.forwarder",
                str(self.folder / f"{ip}.ini"),
            ],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        self.harmed[ip] = self.now()

    def has_served(self, ip: str) -> bool:
        """Tell whether the forwarder's process took flows since its last start."""
        log = (self.folder / f"{ip}.log").read_bytes()[self.log_starts[ip] :]
        return b'"event":"serving"' in log

    async def start_host(self, service: str) -> None:
        """Start a host and register it."""
        name = f"i-{self.next_host:08x}"
        ip = f"{self.net}.3.{self.next_host}"
        self.next_host += 1
        host = packetflows.Host(
            name, service, self.packet_port, self.runs, self.arrivals
        )
        await packetflows.open_socket(host, (ip, HOST_PORT))
        self.checks[name] = await http1.start_server((ip, HOST_PORT), host.answer_check)
        self.hosts[name] = host
        self.addresses[name] = (ip, HOST_PORT)
        self.register(name, "ready")

    def register(self, name: str, state: str) -> None:
        """Write a host's entry."""
        self.born += 1
        entry = forwarderfleet.encode_entry(
            self.addresses[name], service=self.hosts[name].service, state=state
        )
        self.store.put(f"servers/{name}", entry)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += self.draw.randint(1, 4)
        routes = [
            forwarderfleet.build_route_fields(name, service, target)
            for name, (service, target) in zip(
                ("r-1", "r-2"), TARGETS.items(), strict=True
            )
        ]
        value = forwarderfleet.encode_routes(self.version, routes, tuple(HOSTS))
        self.store.put("op/config", value)

    async def drive_until(self, faults: "asyncio.Task[None]") -> None:
        """Send requests from all callers until the faults have been played."""
        drivers = [
            asyncio.create_task(self.drive(caller, faults)) for caller in self.callers
        ]
        await asyncio.gather(faults, *drivers)

    async def drive(
        self, caller: packetflows.Caller, faults: "asyncio.Task[None]"
    ) -> None:
        """Send one request after the other."""
        while not faults.done():
            hold_s = LONG_FLOW_S if self.draw.random() < LONG_FLOW_SHARE else 0.0
            await self.request(caller, hold_s)
            await asyncio.sleep(self.draw.uniform(0, 2 * REQUEST_PAUSE_S))

    async def request(
        self, caller: packetflows.Caller, hold_s: float = 0.0
    ) -> packetflows.Outcome:
        """Send one request and check its response."""
        service = self.draw.choice(list(TARGETS))
        body = f"request-{self.draw.getrandbits(64):016x}".encode()
        outcome, response = await caller.request(TARGETS[service], body, hold_s)
        self.outcomes[outcome] += 1
        if outcome == "served" and response != body + b"@" + service.encode():
            self.violations.append(f"{body!r} for {service} got {response!r}")
        return outcome

    async def play_faults(self) -> None:
        """Play faults at random times; they overlap."""
        kinds = [
            self.kill,
            self.kill,
            self.pause,
            self.end,
            self.harm_store,
            self.harm_store_of_one,
            self.drain_host,
            self.crash_host,
            self.silence_host,
            self.change_configuration,
            self.lapse_host,
            self.lose_history,
        ]
        playing = []
        end = self.now() + FAULTS_S
        while self.now() < end:
            kind = self.draw.choice(kinds)
            self.note(kind.__name__)
            playing.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.draw.uniform(0.1, 1.2))
        await asyncio.gather(*playing)

    def pick_forwarder(self) -> str | None:
        """Return a running forwarder that is not being stopped, but never the last."""
        running = [ip for ip in self.processes if ip not in self.stopping]
        return self.draw.choice(running) if len(running) > 1 else None

    async def kill(self) -> None:
        """Kill a forwarder and start it again."""
        ip = self.pick_forwarder()
        if ip is None:
            return
        self.stopping.add(ip)
        self.processes[ip].kill()
        self.processes[ip].wait()
        await asyncio.sleep(self.draw.uniform(RESTART_S, 3.0))
        self.start_forwarder(ip)
        self.stopping.discard(ip)

    async def pause(self) -> None:
        """Stop a forwarder for a while and let it go on."""
        ip = self.pick_forwarder()
        if ip is None:
            return
        self.stopping.add(ip)
        self.processes[ip].send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.draw.uniform(0.2, 3.0))
        self.processes[ip].send_signal(signal.SIGCONT)
        self.harmed[ip] = self.now()
        self.stopping.discard(ip)

    async def end(self) -> None:
        """Ask a forwarder to stop, and start it again when it has."""
        ip = self.pick_forwarder()
        if ip is None:
            return
        self.stopping.add(ip)
        process = self.processes[ip]
        process.terminate()
        status = await asyncio.to_thread(process.wait)
        # Before it serves, no flow can be cut, and Python ends by the signal itself.
        if status != 0 and self.has_served(ip):
            self.violations.append(f"forwarder {ip} ended with status {status}")
        self.start_forwarder(ip)
        self.stopping.discard(ip)

    async def harm_store(self) -> None:
        """Let the store fail for all."""
        self.store.failure = self.draw.choice(("busy", "many", "silent"))
        self.store.changed.set()
        await asyncio.sleep(self.draw.uniform(0.3, 4.0))
        self.store.failure = "none"
        self.store_harmed_at = self.now()

    async def harm_store_of_one(self) -> None:
        """Harm one forwarder's connections to the store."""
        ip = self.draw.choice(list(self.proxies))
        harms: tuple[loopbackproxy.Harm, ...] = (
            "delay",
            "silent",
            "silent back",
            "reset",
            "refuse",
        )
        self.proxies[ip].set_harm(self.draw.choice(harms))
        await asyncio.sleep(self.draw.uniform(0.3, 4.0))
        self.proxies[ip].set_harm("none")
        self.harmed[ip] = self.now()

    def pick_host(self) -> str | None:
        """Return a host, but never the last one of its service."""
        counts = collections.Counter(host.service for host in self.hosts.values())
        spare = [
            name
            for name, host in self.hosts.items()
            if counts[host.service] > 1 and f"servers/{name}" in self.store.items
        ]
        return self.draw.choice(spare) if spare else None

    async def drain_host(self) -> None:
        """Replace a host: the new one starts first, the old one announces its end."""
        name = self.pick_host()
        if name is None:
            return
        host = self.hosts.pop(name)
        await self.start_host(host.service)
        entry = forwarderfleet.encode_entry(
            self.addresses[name], service=host.service, state="draining"
        )
        self.store.put(f"servers/{name}", entry)
        self.ended.append(Change(name, self.now()))
        await asyncio.sleep(IN_FORCE_S + LONG_FLOW_S + 2.0)
        self.store.remove(f"servers/{name}")
        self.checks[name].close()
        if host.transport is not None:
            host.transport.close()

    async def crash_host(self) -> None:
        """Crash a host; it starts again with nothing of before."""
        name = self.pick_host()
        if name is not None:
            self.hosts[name].flows.clear()

    async def silence_host(self) -> None:
        """Cut a host off for a while."""
        name = self.pick_host()
        if name is None:
            return
        host = self.hosts[name]
        host.silent = True
        await asyncio.sleep(self.draw.uniform(0.2, 3.0))
        host.silent = False

    async def lapse_host(self) -> None:
        """Let an entry lapse and come back, as after an outage of the store."""
        name = self.pick_host()
        if name is None:
            return
        self.store.remove(f"servers/{name}")
        await asyncio.sleep(self.draw.uniform(0.1, 1.5))
        if name in self.hosts:
            self.register(name, "ready")

    async def change_configuration(self) -> None:
        """Write a new version."""
        self.configure()

    async def lose_history(self) -> None:
        """Let the store forget its history."""
        self.store.forget_history()

    async def check_recovery(self) -> None:
        """Check that soon after the last fault every request is served."""
        deadline = self.now() + RECOVERY_S
        row = 0
        while row < CALM_REQUESTS:
            outcome = await self.request(self.draw.choice(self.callers))
            row = row + 1 if outcome == "served" else 0
            if self.now() > deadline:
                self.violations.append("not served after the recovery time")
                return

    def check_arrivals(self) -> None:
        """Check the service of each flow, and that hosts that leave get none."""
        ended = dict(self.ended)
        for arrival in self.arrivals:
            if TARGETS[arrival.service] != arrival.target:
                self.violations.append(f"wrong service: {arrival}")
            since = ended.get(arrival.host)
            if since is None or arrival.at - since <= IN_FORCE_S:
                continue
            calm_at = max(self.store_harmed_at, self.harmed[arrival.forwarder])
            busy = arrival.forwarder in self.stopping
            if not busy and arrival.at - calm_at > CALM_S:
                late_s = arrival.at - since
                self.violations.append(f"{late_s:.2f} s after its end: {arrival}")

    def check_runs(self) -> None:
        """Check that no request ran twice: callers here never repeat one."""
        for body, count in self.runs.items():
            if count > 1:
                self.violations.append(f"{body!r} ran {count} times")

    async def stop(self) -> None:
        """End the processes and sockets of this run."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            process.kill()
            process.wait()
        for caller in self.callers:
            if caller.transport is not None:
                caller.transport.close()
        for host in self.hosts.values():
            if host.transport is not None:
                host.transport.close()
        for check in self.checks.values():
            check.close()
        for proxy in self.proxies.values():
            if proxy.server is not None:
                proxy.server.close()
        if self.store.server is not None:
            self.store.server.close()
        self.stack.close()


async def play(seed: int, folder: pathlib.Path) -> Soak:
    """Play one seed."""
    soak = Soak(seed, folder)
    await soak.run()
    return soak


def report(seed: int, soak: Soak, folder: pathlib.Path) -> bool:
    """Print the result of a seed; return whether it kept the promises."""
    counts = " ".join(
        f"{name} {count}" for name, count in sorted(soak.outcomes.items())
    )
    verdict = "failed" if soak.violations else "kept"
    print(f"seed {seed}: {verdict}; {counts}", flush=True)
    for violation in soak.violations[:5]:
        print(f"  {violation}")
    if soak.violations:
        print(f"  logs in {folder}; faults: {'; '.join(soak.log)}")
    return not soak.violations


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Play seeds one after the other; exit with 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument(
        "--fresh", action="store_true", help="draw the first seed from the clock"
    )
    parser.add_argument("--logs", type=pathlib.Path, help="where logs are kept")
    options = parser.parse_args(arguments)
    root = options.logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    kept = True
    first = (
        time.time_ns() // 1_000_000 % FRESH_SEEDS if options.fresh else options.first
    )
    for seed in range(first, first + options.count):
        folder = root / f"seed-{seed}"
        os.makedirs(folder, exist_ok=True)
        kept = report(seed, asyncio.run(play(seed, folder)), folder) and kept
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
