"""A small deployment on loopback addresses: forwarders as processes, stand-ins here."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import zlib

import flows
import settings
import store as store_module

START_LIMIT_S = 20.0
CHECK_INTERVAL_S = 0.5
MISSES = 2


class CannotRun(Exception):
    """The case could not run."""


def find_ports(count):
    """Return free ports below the range of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(11_000, 30_000)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def dump(value):
    """Return a value as text for the record."""
    return json.dumps(value, separators=(",", ":"), default=str)


class Fleet:
    """Forwarders, a store, hosts and clients of one run.

    `machines` lists the pairs of name and zone of the forwarders.
    """

    def __init__(self, folder, machines, bounds=None):
        self.folder = pathlib.Path(folder)
        self.record_file = (self.folder / "record.txt").open("w")
        self.started = time.monotonic()
        self.machines = machines
        self.bounds = {**settings.BOUNDS, **(bounds or {})}
        self.zones = sorted({zone for _, zone in machines})
        self.net = f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}"
        packets, ready, control, peers = find_ports(4)
        self.ports = {
            "packets": packets,
            "ready": ready,
            "control": control,
            "peers": peers,
        }
        self.store = store_module.Store()
        self.store_address = None
        self.processes = {}
        self.temporary = tempfile.TemporaryDirectory()
        self.work = pathlib.Path(self.temporary.name)
        self.logs = {}
        self.hosts = {}
        self.clients = []
        self.events = []
        self.version = 6
        self.checks = None
        self.missed = {}
        self.command, self.template = settings.read_role()

    def now(self):
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started

    def record(self, event, **fields):
        """Write a line to record.txt and keep it."""
        line = {"t": round(self.now(), 3), "event": event, **fields}
        self.events.append(line)
        self.record_file.write(dump(line) + "\n")

    def ip(self, name):
        """Return the IP address of a forwarder's machine."""
        return f"{self.net}.{1 + [found for found, _ in self.machines].index(name)}"

    async def start_store(self):
        """Start the store."""
        self.store_address = await self.store.start(f"{self.net}.250")

    def start_forwarder(self, name):
        """Start a forwarder with the command and the template of the deploy file."""
        ip, zone = self.ip(name), dict(self.machines)[name]
        seeds = [self.ip(other) for other, _ in self.machines[:3]]
        fields = settings.make_fields(
            name,
            zone,
            ip,
            self.ports,
            self.store_address,
            seeds,
            self.bounds,
            self.zones,
        )
        path = self.work / f"{name}.conf"
        path.write_text(settings.render(self.template, fields))
        command = [
            str(path) if word == "/etc/pistachioshed/local.toml" else word
            for word in self.command
        ]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(settings.ROOT / "target/deps"),
            "PISTACHIOSHED_NODE_FILE": str(path),
        }
        log = (self.work / f"{name}.log").open("ab")
        self.logs[name] = self.work / f"{name}.log"
        self.processes[name] = subprocess.Popen(
            command,
            cwd=settings.ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record("forwarder starts", name=name, pid=self.processes[name].pid)

    def signal(self, name, number):
        """Send a signal to a forwarder."""
        self.record("signal", name=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    async def wait_end(self, name, limit_s=10.0):
        """Wait for the end of a forwarder's process and return its status."""
        until = time.monotonic() + limit_s
        while self.processes[name].poll() is None:
            if time.monotonic() > until:
                raise CannotRun(f"{name} does not end")
            await asyncio.sleep(0.01)
        self.record("forwarder ends", name=name, status=self.processes[name].returncode)
        return self.processes[name].returncode

    async def is_ready(self, name):
        """Return whether a forwarder answers the platform's check with 200."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip(name), self.ports["ready"]), 0.4
            )
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, names=None, limit_s=START_LIMIT_S):
        """Wait until forwarders are ready."""
        until = time.monotonic() + limit_s
        for name in names or [name for name, _ in self.machines]:
            while not await self.is_ready(name):
                if time.monotonic() > until or self.processes[name].poll() is not None:
                    raise CannotRun(f"{name} is not ready: {self.tail(name)}")
                await asyncio.sleep(0.05)
            self.record("forwarder is ready", name=name)

    async def run_checks(self):
        """Check twice a second which forwarders are in rotation."""
        while True:
            for name, _ in self.machines:
                ready = await self.is_ready(name)
                self.missed[name] = 0 if ready else self.missed.get(name, 0) + 1
            await asyncio.sleep(CHECK_INTERVAL_S)

    def start_checks(self):
        """Start the routers' checks."""
        self.checks = asyncio.create_task(self.run_checks())

    def route(self, zone):
        """Return how the routers choose a forwarder for the clients of a zone."""

        def choose(key):
            if isinstance(key, str):
                return self.ip(key), self.ports["packets"]
            names = [name for name, found in self.machines if found == zone]
            ready = [name for name in names if self.missed.get(name, 0) < MISSES]
            if not ready:
                ready = [
                    name for name, _ in self.machines if self.missed.get(name, 0) < 2
                ]
            elif 2 * len(ready) < len(names):
                ready = names
            if not ready:
                return None
            seed = repr(key).encode()
            best = max(ready, key=lambda name: zlib.crc32(seed + name.encode()))
            return self.ip(best), self.ports["packets"]

        return choose

    async def add_client(self, zone):
        """Start a client's machine in a zone."""
        ip = f"{self.net}.{200 + len(self.clients)}"
        client = flows.Client(ip, self.ports["packets"], self.route(zone), self.record)
        await client.start()
        self.clients.append(client)
        return client

    async def add_host(self, number, service, zone, work_s, slots=2):
        """Start a host and register it."""
        name = f"i-{number:08x}"
        ip = f"{self.net}.{50 + len(self.hosts)}"
        host = flows.Host(
            name, service, self.ports["packets"], self.record, work_s, slots
        )
        address = (ip, self.ports["control"] + 1)
        await host.start(address)
        host.address, host.zone, host.sequence = address, zone, 0
        host.born = int(time.time() * 1000)
        self.hosts[name] = host
        self.register(host)
        return host

    def register(self, host, state="ready"):
        """Write the entry of a host."""
        host.sequence += 1
        entry = {
            "service": host.service,
            "address": f"{host.address[0]}:{host.address[1]}",
            "zone": host.zone,
            "version": "v1",
            "slots": 2,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": host.sequence,
            "born": host.born,
        }
        self.store.put(f"servers/{host.name}", json.dumps(entry).encode())
        self.record("entry", host=host.name, state=state)

    def configure(self, routes, services, note=""):
        """Write the next version of the configuration."""
        self.version += random.choice((1, 2, 3))
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health-path": "/health",
                    "connection-limit": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "header-bytes": 16384,
                "body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }
        value = json.dumps(document, separators=(",", ":")).encode()
        self.store.put("op/config", value)
        self.record(
            "configuration acknowledged",
            version=self.version,
            routes=len(routes),
            bytes=len(value),
            note=note,
        )
        return self.version

    def tail(self, name):
        """Return the end of a forwarder's log."""
        return self.logs[name].read_text(errors="replace")[-600:]

    def read_log(self, name):
        """Return the lines of a forwarder's log."""
        lines = []
        for line in self.logs[name].read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"event": "text", "text": line})
        return lines

    def copy_logs(self, events):
        """Write the log lines of some events to the record."""
        for name, path in self.logs.items():
            if path.exists():
                for line in self.read_log(name):
                    if line.get("event") in events:
                        kept = {k: v for k, v in line.items() if k not in ("zone",)}
                        self.record_file.write(f"log {name} {dump(kept)[:400]}\n")

    async def stop(self):
        """End all processes that this run started, and close the sockets."""
        if self.checks is not None:
            self.checks.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for client in self.clients:
            client.close()
        for host in self.hosts.values():
            host.close()
        self.store.close()
        self.record_file.flush()


def make_route(name, target, service, kind="safe", timeout_ms=1500, priority=2):
    """Return one route of a configuration."""
    return {
        "name": name,
        "host": target[0],
        "prefix": f"/{target[1]}/",
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": 150,
        "priority": priority,
        "service": service,
        "attempts": 2,
    }


def stop_on_signal(number, _frame):
    """End the run, and with it all processes that it started."""
    raise SystemExit(2)


def run(folder, case, machines, bounds=None):
    """Run a case and return the exit status: 1 only if the rule was broken.

    `case` is a coroutine function that gets the fleet and returns the breaks of the
    rule, as a list of texts.
    """
    signal.signal(signal.SIGTERM, stop_on_signal)
    try:
        fleet = Fleet(folder, machines, bounds)
    except Exception as error:
        print("the case could not run:", repr(error))
        return 2
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet.record("run", trouble=trouble, case=pathlib.Path(folder).name)

    async def play():
        try:
            await fleet.start_store()
            return await asyncio.wait_for(case(fleet, trouble), 110)
        finally:
            await fleet.stop()

    status = 2
    try:
        breaks = asyncio.run(play())
        status = 1 if breaks else 0
        for text in breaks:
            fleet.record_file.write(f"BREAK {text}\n")
            print("BREAK", text)
        print("the rule was broken" if breaks else "the rule held")
    except Exception as error:
        # An error of the script says nothing about the rule.
        print("the case could not run:", repr(error))
        fleet.record_file.write(f"could not run: {error!r}\n")
    finally:
        fleet.record_file.write(f"exit {status}\n")
        fleet.record_file.close()
        fleet.temporary.cleanup()
    return status
