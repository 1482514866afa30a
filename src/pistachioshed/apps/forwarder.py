"""The forwarder: a balancer that keeps no flow state and reads the platform's store."""

import asyncio
import os
import pathlib
import signal
import sys
import time
import typing
from collections import abc

from pistachioshed.adapters import (
    feed,
    forwarding,
    http1,
    jsonlog,
    metrics,
    reporting,
)
from pistachioshed.apps import forwarderoptions
from pistachioshed.core import directory, neighbours, presence, steering
from pistachioshed.platform import packets, records, storeclient
from pistachioshed.ports import store

TICK_S: typing.Final = 0.02  # A third of the time in which an opening is acknowledged.
REPORT_IDLE_S: typing.Final = 0.25
# Reports in a burst of new flows; with more peers they are sent more seldom, so that a
# balancer spends about the same on them in any fleet.
REPORT_MIN_S: typing.Final = 0.01
REPORT_PEER_S: typing.Final = 0.001
PROBE_TIMEOUT_S: typing.Final = 0.4  # Below the interval of probes.
# The fabric takes a balancer out after 2 misses, 0.5 s apart.
ROTATION_S: typing.Final = 1.3
QUIET_S: typing.Final = 0.8
STOP_MARGIN_S: typing.Final = 0.7
SETTINGS_POLL_S: typing.Final = 2.0
STATUS_S: typing.Final = 10.0

Address = tuple[str, int]


class Forwarder:
    """One forwarder process: its beliefs, sockets and tasks."""

    def __init__(
        self, settings: forwarderoptions.ForwarderSettings, path: pathlib.Path
    ) -> None:
        self.settings = settings
        self.path = path
        self.metrics = metrics.Metrics("pistachioshed_forwarder")
        self.presence = presence.Presence()
        self.clock = time.monotonic
        self.start_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.last_loads: tuple[neighbours.UpstreamLoad, ...] = ()
        self.reported_at = 0.0
        self.stop_requested_at = 0.0
        self.unserved: list[str] = []
        self.stopped = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.peers = neighbours.Neighbours(
            settings.name, settings.zone, self.list_seeds(settings)
        )
        self.decisions = steering.Steering(
            settings.zone, self.peers, self.record, os.getpid()
        )
        self.plane = forwarding.PacketPlane(
            settings.packets,
            self.decisions,
            forwarding.Codec(
                packets.decode_packet,
                packets.encode_forward,
                packets.encode_reset,
                packets.format_ip,
            ),
            self.clock,
            self.metrics.count,
        )
        self.reports = reporting.ReportSocket(
            settings.peers, self.receive_report, self.metrics.count
        )

    def list_seeds(
        self, settings: forwarderoptions.ForwarderSettings
    ) -> abc.Iterator[Address]:
        """Yield the addresses of the seeds; all balancers use the same ports."""
        for host in settings.seeds:
            if host != settings.peers[0]:
                yield host, settings.peers[1]

    def record(self, event: str, **fields: typing.Any) -> None:
        """Log a decision or a change of belief, and count it."""
        segment = fields.pop("segment", None)
        if segment is not None:
            fields = {"flow": format_flow(segment), **fields}
        latency_s = fields.get("latency_s")
        if latency_s is not None:
            self.metrics.observe("response", latency_s, route=fields["route"])
        self.metrics.count("decisions", event=event)
        jsonlog.log_event(event, **fields)

    async def run(self) -> None:
        """Run until a graceful stop has ended."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_reader(self.plane.sock, self.plane.receive)
        loop.add_reader(self.reports.sock, self.reports.receive)
        jsonlog.log_event("started", settings=self.settings._asdict())
        self.start_task(self.follow("configuration", records.CONFIGURATION_KEY))
        self.start_task(self.follow("upstreams", records.UPSTREAMS_PREFIX))
        self.start_task(self.poll_settings())
        servers = [
            await http1.start_server(self.settings.ready, self.answer_ready),
            await http1.start_server(self.settings.metrics, self.answer_metrics),
        ]
        self.start_task(self.keep_ticking())
        await self.stopped.wait()
        for task in self.tasks:
            task.cancel()
        for server in servers:
            server.close()
        jsonlog.log_event("stopped", dropped_lines=self.count_dropped())

    def start_task(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a task until the process ends; its failure ends the process."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.end_task)

    def end_task(self, task: asyncio.Task[None]) -> None:
        """Forget a finished task; log what it failed with."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            jsonlog.log_failure("task failed", task=task.get_name(), cause=repr(error))
            self.metrics.count("task_failures")

    async def follow(self, name: str, prefix: str) -> None:
        """Follow one prefix of the store."""
        deliver = {
            "configuration": self.take_configuration,
            "upstreams": self.take_upstreams,
        }[name]
        client = storeclient.StoreClient(self.settings.store)
        follower = feed.Feed(
            name,
            prefix,
            client,
            deliver,
            lambda call: self.metrics.count("store_calls", call=call),
        )
        await follower.run()

    def take_configuration(self, batch: store.WatchBatch) -> None:
        """Put the newest configuration of a batch in force."""
        for event in batch.events:
            if event.key != records.CONFIGURATION_KEY or event.deleted:
                continue
            try:
                configuration = records.decode_configuration(event.value)
            except records.RecordError as error:
                jsonlog.log_failure(
                    "configuration ignored",
                    revision=event.mod_revision,
                    cause=str(error),
                )
                continue
            self.decisions.configure(configuration, self.clock())
        self.note_beliefs()

    def take_upstreams(self, batch: store.WatchBatch) -> None:
        """Take the changes of the registered upstreams."""
        changes = []
        for event in batch.events:
            name = event.key.removeprefix(records.UPSTREAMS_PREFIX)
            upstream: directory.Upstream | None = None
            if not event.deleted:
                try:
                    upstream = records.decode_upstream(name, event.value)
                except records.RecordError as error:
                    jsonlog.log_failure(
                        "upstream ignored",
                        revision=event.mod_revision,
                        cause=str(error),
                    )
            changes.append(directory.Change(name, upstream, event.mod_revision))
        self.decisions.update_directory(
            changes, batch.revision, batch.snapshot, self.clock()
        )
        self.note_beliefs()

    def note_beliefs(self) -> None:
        """Start to serve once configuration and upstreams are known."""
        if self.decisions.configuration.version and self.decisions.directory.revision:
            before = self.presence.state
            self.presence.signals.note_beliefs()
            if self.presence.state != before:
                jsonlog.log_event("serving")

    async def answer_ready(self, request: http1.Request) -> http1.Response:
        """Tell the fabric whether this balancer takes flows."""
        ready = self.presence.state == "serving" and not self.unserved
        return http1.Response(200 if ready else 503, {}, b"")

    async def answer_metrics(self, request: http1.Request) -> http1.Response:
        """Return the metrics."""
        self.metrics.set_gauge("flows", len(self.decisions.flows))
        self.metrics.set_gauge("peers", len(self.peers.list_live(self.clock())))
        self.metrics.set_gauge(
            "configuration_version", self.decisions.configuration.version
        )
        self.metrics.set_gauge("upstreams_revision", self.decisions.directory.revision)
        self.metrics.set_gauge("log_lines_dropped", self.count_dropped())
        headers = {"Content-Type": metrics.CONTENT_TYPE}
        return http1.Response(200, headers, self.metrics.render())

    def count_dropped(self) -> int:
        """Return how many log lines were dropped."""
        return LOG_STREAM.dropped

    async def keep_ticking(self) -> None:
        """Let the decisions know that time passes."""
        while not self.stopped.is_set():
            await asyncio.sleep(TICK_S)
            # Packets that waited while this process did not run go first.
            self.plane.receive()
            self.tick(self.clock())

    def tick(self, now: float) -> None:
        """Judge silence, start probes, report to the peers, end a stop."""
        for upstream in self.decisions.tick(now):
            self.start_task(self.probe(upstream))
        unserved = self.decisions.find_unserved()
        if unserved != self.unserved:
            self.unserved = unserved
            jsonlog.log_event("unserved services", services=unserved)
        self.report(now)
        if self.presence.state == "leaving":
            self.check_stop(now)

    def report(self, now: float) -> None:
        """Send a report when the loads have changed, and from time to time."""
        waited_s = now - self.reported_at
        if waited_s < REPORT_MIN_S + REPORT_PEER_S * len(self.peers.addresses):
            return
        loads = self.decisions.list_loads()
        if loads == self.last_loads and waited_s < REPORT_IDLE_S:
            return
        self.last_loads = loads
        self.reported_at = now
        self.sequence += 1
        known = [peer.address for peer in self.peers.list_live(now)]
        report = neighbours.Report(
            self.settings.name,
            self.settings.zone,
            self.settings.peers,
            self.start_ms,
            self.sequence,
            True,
            self.presence.state == "leaving",
            self.decisions.directory.revision,
            self.decisions.configuration.version,
            loads,
            # Each report passes on a few peers, so that all learn of all.
            tuple(known[self.sequence % len(known) :][:3]) if known else (),
        )
        self.reports.send(report, list(self.peers.addresses))

    def receive_report(self, report: neighbours.Report) -> None:
        """Take a peer's report."""
        if report.name not in self.peers.peers and report.name != self.settings.name:
            jsonlog.log_event("peer found", peer=report.name, peer_zone=report.zone)
        self.decisions.hear_peer(report, self.clock())

    async def probe(self, upstream: directory.Upstream) -> None:
        """Ask a suspected upstream for its health."""
        limits = self.decisions.configuration.services.get(upstream.service)
        if limits is None:
            return
        connection = http1.Connection(upstream.address)
        try:
            response = await connection.request(
                "GET", limits.health_path, PROBE_TIMEOUT_S
            )
        except http1.HttpError as error:
            passed, outcome = False, str(error)
        else:
            found = response.headers.get(records.INSTANCE_HEADER)
            passed = response.status == 200 and found == upstream.name
            outcome = f"status {response.status} of {found}"
        finally:
            connection.close()
        self.metrics.count("probes", outcome="passed" if passed else "failed")
        self.decisions.record_probe(upstream, passed, outcome, self.clock())

    def request_stop(self) -> None:
        """Leave the rotation; packets are forwarded until they no longer arrive."""
        if self.presence.state in ("leaving", "stopped"):
            return
        self.stop_requested_at = self.clock()
        self.presence.signals.request_stop()
        jsonlog.log_event("stop requested", stop_s=self.settings.stop_s)

    def check_stop(self, now: float) -> None:
        """End the process once it is out of rotation and quiet, or time is up."""
        waited_s = now - self.stop_requested_at
        quiet = waited_s > ROTATION_S and now - self.plane.received_at > QUIET_S
        if quiet or waited_s > self.settings.stop_s - STOP_MARGIN_S:
            self.presence.signals.finish()
            self.stopped.set()

    async def poll_settings(self) -> None:
        """Read the settings again when their file has changed without a signal."""
        content = self.path.read_bytes()
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            newest = self.path.read_bytes()
            if newest != content:
                content = newest
                self.reload()

    def reload(self) -> None:
        """Take the seeds from the settings file; the rest needs a new process."""
        try:
            settings = forwarderoptions.read_forwarder_settings(self.path)
        except ExceptionGroup as group:
            faults = [str(fault) for fault in group.exceptions]
            jsonlog.log_failure("reload refused", faults=faults)
            return
        self.peers.add_addresses(self.list_seeds(settings), self.clock())
        changed = [
            field
            for field, old, new in zip(
                settings._fields, self.settings, settings, strict=True
            )
            if old != new
        ]
        jsonlog.log_event("reloaded", changed=changed)
        self.settings = self.settings._replace(
            seeds=settings.seeds, stop_s=settings.stop_s
        )


LOG_STREAM: typing.Final = jsonlog.BoundedStream(sys.stdout.fileno())


def format_flow(segment: steering.Segment) -> str:
    """Return the two ends of a flow as "ip:port>ip:port"."""
    caller, caller_port = segment.caller
    target, target_port = segment.target
    return (
        f"{packets.format_ip(caller)}:{caller_port}"
        f">{packets.format_ip(target)}:{target_port}"
    )


def main(arguments: abc.Sequence[str] = tuple(sys.argv[1:])) -> int:
    """Run a forwarder with the settings file that the first argument names."""
    if list(arguments) == ["--list-settings"]:
        print("\n".join(forwarderoptions.list_options()))
        return 0
    if len(arguments) != 1:
        print(
            "usage: pistachioshed-forwarder SETTINGS|--list-settings", file=sys.stderr
        )
        return 2
    path = pathlib.Path(arguments[0])
    try:
        settings = forwarderoptions.read_forwarder_settings(path)
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(fault, file=sys.stderr)
        return 2
    identity = {"program": "forwarder", "node": settings.name, "zone": settings.zone}
    jsonlog.start_logging(identity, LOG_STREAM)
    asyncio.run(run_forwarder(settings, path))
    return 0


async def run_forwarder(
    settings: forwarderoptions.ForwarderSettings, path: pathlib.Path
) -> None:
    """Run one forwarder on the running event loop."""
    await Forwarder(settings, path).run()


if __name__ == "__main__":
    sys.exit(main())
