"""Measure the control processes of one deployment on loopback, in one process.

Runs 8 control processes in 3 zones with stand-ins for the store, the VM list and the
balancers. Prints the bytes per second of a node, the store calls per node-hour and the
time from a write to the store until the table is in force on all nodes.
"""

import argparse
import pathlib
import re
import statistics
import sys
import tempfile
import time
import typing

import msgspec
from twisted.internet import defer, task
from twisted.web import server

from pistachioshed.adapters import link as link_adapter
from pistachioshed.adapters import loggers, reactors
from pistachioshed.core import link, tables
from pistachioshed.operations import documents

NODES: typing.Final = 8
ZONES: typing.Final = ("riga-a", "riga-b", "riga-c")
SERVICES: typing.Final = {"booking": 7, "sheets": 3}
SETTINGS: typing.Final = """
[node]
name = {name}
zone = {zone}
[bus]
address = 127.0.0.1:{bus}
key = 000102030405060708090a0b0c0d0e0f
[store]
addresses = 127.0.0.1:{store}
[vms]
url = http://127.0.0.1:{vms}/vms
[balancer]
link = 127.0.0.1:{link}
[metrics]
address = 127.0.0.1:{metrics}
"""


class FakeBalancer:
    """A stand-in for a balancer on the local link; puts every newer table in force."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.versions: dict[str, int] = {}
        self.link = link_adapter.Link(self.receive)

    def receive(self, payload: bytes) -> None:
        """Put the newer tables of an update in force."""
        for table in link.decode_update(payload).tables:
            if table.version > self.versions.get(table.service, 0):
                self.versions[table.service] = table.version

    def report(self) -> None:
        """Send a report to the control process."""
        report = link.Report(self.name, self.zone, "active", self.versions, ())
        self.link.send(link.encode_message(report))


class Bench:
    """Run the control processes of a deployment with their stand-ins."""

    def __init__(self, base_port: int, reactor: typing.Any) -> None:
        # Imported here because they import the reactor, which is installed first.
        from pistachioshed.apps import control, controloptions
        from standins import store, vmlist

        self.base_port = base_port
        self.reactor = reactor
        self.store = store.Store(reactor)
        self.vms = vmlist.VmList(reactor, 0.0)
        self.balancers: list[FakeBalancer] = []
        self.daemons: list[control.Daemon] = []
        for number in range(NODES):
            self.daemons.append(
                control.Daemon(
                    self.read_settings(number, controloptions.read_control_settings),
                    reactor,
                )
            )
            name, zone = f"vm-{number + 1}", ZONES[number % len(ZONES)]
            self.balancers.append(FakeBalancer(name, zone))
        listed_vms = [
            vmlist.ListedVm(
                f"vm-{number + 1}",
                ZONES[number % len(ZONES)],
                f"127.0.0.1:{7000 + number}",
                f"127.0.0.1:{base_port + 10 * number + 10}",
            )
            for number in range(NODES)
        ]
        self.vms.change(vmlist.Change(vms=listed_vms))

    def read_settings(self, number: int, read: typing.Any) -> typing.Any:
        """Write the settings file of one control process and return its settings."""
        port = self.base_port + 10 * number + 10
        text = SETTINGS.format(
            name=f"vm-{number + 1}",
            zone=ZONES[number % len(ZONES)],
            bus=port,
            link=port + 2,
            metrics=port + 3,
            store=self.base_port,
            vms=self.base_port + 1,
        )
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write(text)
            file.flush()
            return read(pathlib.Path(file.name))

    def start(self) -> None:
        """Start the stand-ins and the control processes."""
        for offset, app in enumerate((self.store.app, self.vms.app)):
            site = server.Site(app.resource())
            port = self.base_port + offset
            self.reactor.listenTCP(port, site, interface="127.0.0.1")
        for number, (daemon, balancer) in enumerate(
            zip(self.daemons, self.balancers, strict=True)
        ):
            daemon.start()
            balancer.link.dial(f"127.0.0.1:{self.base_port + 10 * number + 12}")
            task.LoopingCall(balancer.report).start(1.0)

    async def edit(self, version: int) -> float:
        """Write one table and return the seconds until it is in force on all nodes."""
        service = "booking"
        client = self.daemons[0].driver.ports.store
        value = documents.encode_table(build_table(service, version))
        from pistachioshed.ports import store

        started = time.monotonic()
        put = store.Put(documents.make_table_key(service), value)
        await client.transact([], [put])
        while any(b.versions.get(service) != version for b in self.balancers):
            await self.pause(0.005)
            if time.monotonic() - started > 30:
                raise TimeoutError(f"version {version} is not in force on all nodes")
        return time.monotonic() - started

    def count_bytes(self) -> list[int]:
        """Return the bytes that each node has sent and received on the bus so far."""
        pattern = re.compile(r"bus_bytes_\w+_total\{[^}]*\} (\d+)")
        return [
            sum(int(n) for n in pattern.findall(daemon.metrics.render().decode()))
            for daemon in self.daemons
        ]

    def pause(self, seconds: float) -> defer.Deferred[None]:
        """Return a deferred that fires after a delay."""
        return task.deferLater(self.reactor, seconds, lambda: None)

    async def measure_bytes(self, seconds: float) -> dict[str, float]:
        """Return mean and maximum bytes per second of a node, in and out together."""
        before, started = self.count_bytes(), time.monotonic()
        await self.pause(seconds)
        elapsed = time.monotonic() - started
        rates = [
            (after - earlier) / elapsed
            for after, earlier in zip(self.count_bytes(), before, strict=True)
        ]
        return {"mean": round(statistics.mean(rates)), "max": round(max(rates))}


def build_table(service: str, version: int) -> tables.Table:
    """Return a version of a service's table."""
    rows = tuple(
        tables.Row(f"{service}-{n}", f"127.0.0.1:{20_000 + n}", ZONES[n % 3])
        for n in range(1, SERVICES[service] + 1)
    )
    return tables.Table(service, version, rows, f"edit-{version}")


async def run(bench: Bench, idle_s: float, edits: int) -> None:
    """Run the measurements and print one JSON object."""
    from pistachioshed.ports import store

    bench.start()
    client = bench.daemons[0].driver.ports.store
    for service in SERVICES:
        value = documents.encode_table(build_table(service, 1))
        await client.transact([], [store.Put(documents.make_table_key(service), value)])
    await bench.pause(6.0)
    calls, started = sum(bench.store.calls.values()), time.monotonic()
    idle = await bench.measure_bytes(idle_s)
    per_hour = (sum(bench.store.calls.values()) - calls) / (time.monotonic() - started)
    editing = defer.ensureDeferred(bench.measure_bytes(max(edits * 2.0, 1.0)))
    seconds = []
    for number in range(edits):
        before = time.monotonic()
        seconds.append(await bench.edit(number + 2))
        await bench.pause(max(0.0, 2.0 - (time.monotonic() - before)))
    result = {
        "bus_bytes_per_s_idle": idle,
        "bus_bytes_per_s_one_edit_each_2_s": await editing,
        "store_calls_per_node_hour_idle": round(per_hour * 3600 / NODES),
        "store_calls": dict(bench.store.calls),
        "edit_in_force_s": {
            "median": round(statistics.median(seconds), 3),
            "max": round(max(seconds), 3),
        },
    }
    print(msgspec.json.format(msgspec.json.encode(result)).decode())


def main() -> int:
    """Parse the command line and run the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base-port", type=int, default=27_000)
    parser.add_argument("--idle", type=float, default=20.0, help="seconds")
    parser.add_argument("--edits", type=int, default=10)
    arguments = parser.parse_args()
    _, reactor = reactors.install_reactor()
    loggers.start_logging({"program": "controlbench"})
    failures: list[object] = []

    def start() -> None:
        bench = Bench(arguments.base_port, reactor)
        done = defer.ensureDeferred(run(bench, arguments.idle, arguments.edits))
        done.addErrback(lambda reason: failures.append(reason.getTraceback()))
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    print("\n".join(str(failure) for failure in failures), file=sys.stderr)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
