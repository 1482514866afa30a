"""A small deployment: forwarders as separate processes, all else in this process."""

import asyncio
import gc
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

from review import clients2, hosts2, store2

ROOT = pathlib.Path(__file__).resolve().parents[1]
SETTINGS_PATH = "/etc/pistachioshed/local.toml"
HEARTBEAT_S = 1.2
IDLE_TIMEOUT_MS = 15_000
RUN_MAX_S = 105.0
METRICS_PORT = 9464  # As in the settings template.
# `run.sh` makes 1 of `BROKEN`: Python itself exits with 1 after an error.
HELD, BROKEN, CANNOT_RUN = 0, 10, 2
LOGGED_EVENTS = ("flow reset",)


class CannotRun(Exception):
    """The case could not be run."""


class Route(typing.NamedTuple):
    """A route of the configuration."""

    name: str
    target: tuple[str, int]
    service: str
    kind: str
    timeout_ms: int


def find_port() -> int:
    """Return a port that is free on all addresses, for TCP and UDP."""
    for _ in range(100):
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
            tcp.bind(("0.0.0.0", 0))
            port = tcp.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind(("0.0.0.0", port))
                except OSError:
                    continue
        return port
    raise CannotRun("no free port")


def reserve_block() -> tuple[str, socket.socket]:
    """Return the start of a block of loopback addresses, and a socket that holds it.

    The port of the metrics is fixed, so two runs must not share addresses.
    """
    for _ in range(100):
        block = f"127.{random.SystemRandom().randrange(16, 240)}"
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            lock.bind((f"{block}.0.254", METRICS_PORT))
        except OSError:
            lock.close()
            continue
        return block, lock
    raise CannotRun("no free addresses")


def render(template: str, fields: dict[str, typing.Any]) -> str:
    """Fill in a settings template in the way of the deploy page."""

    def find(name: str) -> typing.Any:
        value: typing.Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def expand(match: re.Match[str]) -> str:
        return match[2] if find(match[1]) not in (None, False) else ""

    text = re.sub(
        r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", expand, template, flags=re.S
    )

    def replace(match: re.Match[str]) -> str:
        value = find(match[1])
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, text)


class Rig:
    """All processes and stand-ins of a run.

    Parameters
    ----------
    record_path : path
        File for what is sent, answered and run.
    forwarders : dict
        Number of forwarders by zone.
    services : dict
        Number of hosts by service and zone.
    routes : list of Route
        The routes of the configuration.
    backlog : int, optional
        Length of the queue of new connections of a host that accepts one only when a
        slot is free; None if the hosts accept all at once.
    connection_limit : int
        Number of flows that each host holds.
    """

    def __init__(
        self,
        record_path: pathlib.Path,
        forwarders: dict[str, int],
        services: dict[str, dict[str, int]],
        routes: list[Route],
        backlog: int | None = None,
        connection_limit: int = 2000,
    ) -> None:
        self.connection_limit = connection_limit
        self.started_at = time.monotonic()
        self.lines = record_path.open("w", encoding="utf-8")
        self.events: list[dict[str, typing.Any]] = []
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.block, self.block_lock = reserve_block()
        self.packet_port, self.ready_port, self.peer_port = (
            find_port() for _ in range(3)
        )
        self.host_port, self.store_port = find_port(), find_port()
        self.zones = list(forwarders)
        self.forwarders = {
            f"{self.block}.1.{1 + index}": zone
            for index, zone in enumerate(
                zone for zone, count in forwarders.items() for _ in range(count)
            )
        }
        self.routes = routes
        self.processes: dict[str, subprocess.Popen] = {}
        self.store = store2.Store()
        self.store_ip = f"{self.block}.0.1"
        self.hosts: list[hosts2.Host] = []
        identifiers = random.Random(7)
        for service, places in services.items():
            for zone, count in places.items():
                for _ in range(count):
                    address = (f"{self.block}.2.{len(self.hosts) + 1}", self.host_port)
                    self.hosts.append(
                        hosts2.Host(
                            f"i-{identifiers.randrange(2**28, 2**32):08x}",
                            service,
                            zone,
                            address,
                            self.packet_port,
                            self.record,
                            backlog=backlog,
                            connection_limit=connection_limit,
                        )
                    )
        self.routers = clients2.Routers(
            self.forwarders, self.ready_port, self.packet_port
        )
        self.clients: list[clients2.Client] = []
        self.tasks: list[asyncio.Task] = []

    def record(self, event: str, **fields: typing.Any) -> None:
        """Write a line of the record."""
        at = round(time.monotonic() - self.started_at, 4)
        line = {"at": at, "event": event, **fields}
        self.events.append(line)
        self.lines.write(json.dumps(line) + "\n")

    def find_events(self, event: str) -> list[dict[str, typing.Any]]:
        """Return the recorded events of a kind."""
        return [line for line in self.events if line["event"] == event]

    def describe_settings(self, ip: str) -> dict[str, typing.Any]:
        """Return the fields of a forwarder's settings file."""
        return {
            "node-name": f"front-{ip.rpartition('.')[2]}",
            "zone": self.forwarders[ip],
            "ip-address": ip,
            "internal-port-range": [self.peer_port, self.peer_port + 15],
            "seeds": [f"{seed}:1" for seed in list(self.forwarders)[:3]],
            "listen-addresses": {
                "packet-address": f"{ip}:{self.packet_port}",
                "ready": f"{ip}:{self.ready_port}",
            },
            "limits": {"link-mbps": 1000.0},
            "bounds": {
                "drain-ms": 3000,
                "grace-s": 6,
                "config-propagation-ms": 3000,
            },
            "platform": {"address": f"{self.store_ip}:{self.store_port}"},
        }

    def write_settings(self, ip: str) -> pathlib.Path:
        """Write a forwarder's settings file in one step, and return its path."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        template = (ROOT / deploy["roles"]["forwarder"]["template"]).read_text()
        path = self.directory / f"{ip}.ini"
        new_path = path.with_suffix(".new")
        new_path.write_text(render(template, self.describe_settings(ip)))
        new_path.replace(path)
        return path

    def start_forwarder(self, ip: str) -> None:
        """Start a forwarder with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["forwarder"]
        path = self.write_settings(ip)
        words = role["run"].replace(SETTINGS_PATH, str(path)).split()
        dependencies = ROOT / "target/deps"
        if not dependencies.is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(dependencies),
            "PISTACHIOSHED_NODE_FILE": str(path),
        }
        with (self.directory / f"{ip}.log").open("ab") as log:
            self.processes[ip] = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record("started", forwarder=ip, zone=self.forwarders[ip])

    def put_configuration(self, version: int) -> None:
        """Write the configuration as the operator does."""
        services = sorted({host.service for host in self.hosts})
        configuration = {
            "version": version,
            "routes": [
                {
                    "name": route.name,
                    "host": route.target[0],
                    "prefix": f"/{route.target[1]}/",
                    "kind": route.kind,
                    "timeout-ms": route.timeout_ms,
                    "target-latency-ms": 200,
                    "priority": 2,
                    "service": route.service,
                    "attempts": 2,
                }
                for route in self.routes
            ],
            "services": [
                {
                    "name": name,
                    "health-path": "/health",
                    "connection-limit": self.connection_limit,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "header-bytes": 16384,
                "body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": IDLE_TIMEOUT_MS,
            },
        }
        self.store.put("op/config", json.dumps(configuration).encode())
        self.record("configuration", version=version)

    async def start(self) -> None:
        """Start everything and wait until all forwarders are in rotation."""
        await self.store.start((self.store_ip, self.store_port))
        self.put_configuration(7)
        for host in self.hosts:
            await host.start()
            self.start_task(host.run_heartbeat(self.store, HEARTBEAT_S))
        for ip in self.forwarders:
            self.start_forwarder(ip)
        self.start_task(self.routers.run())
        for _ in range(200):
            await asyncio.sleep(0.1)
            if len(self.routers.list_ready()) == len(self.forwarders):
                return
        raise CannotRun("the forwarders did not become ready")

    async def add_client(self, zone: str) -> clients2.Client:
        """Start a client in a zone."""
        number = len(self.clients) + 1
        ip = f"{self.block}.3.{number}"
        client = clients2.Client(ip, zone, self.routers, self.record, number)
        await client.start()
        self.clients.append(client)
        return client

    def start_task(self, coroutine: typing.Coroutine) -> asyncio.Task:
        """Run a coroutine until the end of the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def check_tasks(self) -> None:
        """Raise the error of a task that has failed."""
        for task in self.tasks:
            if task.done() and not task.cancelled() and task.exception():
                raise CannotRun(f"a stand-in failed: {task.exception()!r}")

    def copy_logs(self) -> None:
        """Add what the forwarders logged about resets to the record."""
        for ip in self.forwarders:
            path = self.directory / f"{ip}.log"
            if not path.exists():
                continue
            for line in path.read_text(errors="replace").splitlines():
                if any(f'"event":"{event}"' in line for event in LOGGED_EVENTS):
                    self.record("forwarder log", forwarder=ip, line=json.loads(line))

    def close(self) -> None:
        """End all processes and close all sockets."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.copy_logs()
        for client in self.clients:
            client.close()
        for host in self.hosts:
            host.close()
        if self.store.server is not None:
            self.store.server.close()
        self.lines.close()
        self.block_lock.close()
        shutil.rmtree(self.directory)


def run_case(play: typing.Coroutine[None, None, bool]) -> int:
    """Run a case; return `BROKEN`, `HELD` or `CANNOT_RUN`.

    `play` returns whether the rule held.
    """

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(RUN_MAX_S):
                return await play
        finally:
            # Cancelled tasks end, and their connections close, while the loop runs.
            await asyncio.sleep(0.1)
            gc.collect()

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        return CANNOT_RUN
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
