"""Run a forwarder: a balancer without flow state that reads the platform's store."""

import os
import signal
import socket
import sys
import time
import typing
from collections import abc

from pistachioshed.adapters import (
    eventloop,
    forwarding,
    http1,
    jsonlog,
    metrics,
    packetsocket,
    reportsocket,
)
from pistachioshed.apps import forwarderoptions, statesync
from pistachioshed.core import (
    admission,
    changetiming,
    directory,
    dispatch,
    peertable,
    reportbuilder,
    reportpacer,
    segments,
    servingstate,
)
from pistachioshed.platform import packets, records

# While openings wait for their handshake: a third of the time that it may take.
TICK_S: typing.Final = 0.02
# Otherwise: half of the gap after which the dispatcher assumes that this process was
# paused.
IDLE_TICK_S: typing.Final = 0.05
PROBE_TIMEOUT_S: typing.Final = 0.4  # Below the interval between probes.
PROBE_CONNECT_S: typing.Final = 0.15  # More than ten round trips to another zone.
# The fabric takes a balancer out of rotation after 2 failed checks, 0.5 s apart.
ROTATION_EXIT_S: typing.Final = 1.3
QUIET_PERIOD_S: typing.Final = 0.8
STOP_MARGIN_S: typing.Final = 0.7
SETTINGS_POLL_S: typing.Final = 2.0

Address = tuple[str, int]


class Forwarder:
    """Own the state, sockets and tasks of a forwarder process.

    Parameters
    ----------
    settings : ForwarderSettings
        The settings at the start.
    settings_path : str
        Their file, which is read again when it changes.
    log_stream : BoundedStream
        Counts the dropped log lines.
    packet_socket : socket
        UDP socket bound to the address at which callers' packets arrive.
    """

    def __init__(
        self,
        settings: forwarderoptions.ForwarderSettings,
        settings_path: str,
        log_stream: jsonlog.BoundedStream,
        packet_socket: socket.socket,
    ) -> None:
        self.settings = settings
        self.log_stream = log_stream
        self.settings_path = settings_path
        self.metrics = metrics.Metrics("pistachioshed_forwarder")
        self.serving: servingstate.State = "starting"
        self.loop = eventloop.EventLoop(self.handle_error)
        self.clock = self.loop.clock
        self.stop_requested_at = 0.0
        self.unserved_services: list[str] = []
        self.is_stopped = False
        self.has_settled = False
        self.servers: list[http1.Server] = []
        self.peers = peertable.PeerTable(
            settings.name,
            settings.zone,
            self.list_seeds(settings),
            settings.capacity,
        )
        self.dispatcher = dispatch.Dispatcher(
            settings.zone, self.peers, self.record, self.observe, os.getpid()
        )
        self.report_builder = reportbuilder.ReportBuilder(
            reportbuilder.Identity(
                settings.name,
                settings.zone,
                settings.peers,
                time.time_ns() // 1_000_000,
                settings.capacity,
            ),
            self.dispatcher,
            reportpacer.ReportPacer(),
        )
        self.packet_socket = forwarding.PacketSocket(
            packet_socket,
            self.dispatcher,
            forwarding.Codec(
                packets.decode_packet,
                packets.encode_forward,
                packets.encode_reset,
                packets.format_ip,
            ),
            self.clock,
            self.metrics.count,
        )
        self.state_sync = statesync.StateSync(
            self.loop,
            settings.name,
            settings.store,
            changetiming.derive_timing(
                min(settings.configuration_ms, settings.drain_ms) / 1000
            ),
            self.dispatcher,
            self.handle_state_change,
            self.metrics.count,
        )
        self.report_socket = reportsocket.ReportSocket(
            settings.peers, self.receive_report, self.metrics.count
        )

    def list_seeds(
        self, settings: forwarderoptions.ForwarderSettings
    ) -> abc.Iterator[Address]:
        """Yield the addresses of the seeds; all forwarders use the same ports."""
        for host in settings.seeds:
            if host != settings.peers[0]:
                yield host, settings.peers[1]

    def record(self, event: str, **fields: typing.Any) -> None:
        """Log and count a decision or a change of state."""
        segment = fields.pop("segment", None)
        if segment is not None:
            fields = {"flow": format_flow(segment), **fields}
        self.metrics.count("decisions", event=event)
        jsonlog.log_event(event, **fields)

    def observe(self, route: str, latency_s: float) -> None:
        """Add the latency of a response to its route's histogram."""
        self.metrics.observe("response", latency_s, route=route)

    def start(self) -> None:
        """Start all tasks and servers on the event loop."""
        jsonlog.log_event(
            "started",
            settings=self.settings._asdict(),
            cpu_s=round(time.process_time(), 3),
        )
        self.loop.add_callback(
            self.packet_socket.sock, eventloop.READABLE, self.packet_socket.receive
        )
        self.state_sync.start()
        self.servers = [
            http1.Server(self.loop, address, handler)
            for address, handler in (
                (self.settings.ready, self.handle_ready_request),
                (self.settings.peers, self.state_sync.handle_state_request),
                (self.settings.metrics, self.handle_metrics_request),
            )
        ]
        self.loop.start_task(self.poll_settings(), "poll settings")
        self.loop.start_task(self.run_tick_loop(), "tick")

    def close(self) -> None:
        """Cancel all tasks and close all sockets."""
        for server in self.servers:
            server.close()
        self.loop.remove_callback(self.packet_socket.sock, eventloop.READABLE)
        self.loop.close()
        self.packet_socket.close()
        self.report_socket.close()
        jsonlog.log_event("stopped", dropped_lines=self.count_dropped_lines())

    def handle_signal(self, number: int, _frame: typing.Any) -> None:
        """Handle a signal in the next round of the event loop."""
        if number == signal.SIGHUP:
            self.loop.call_soon(lambda: self.reload("signal"))
        else:
            self.loop.call_soon(self.request_stop)

    def handle_error(self, name: str, error: Exception) -> None:
        """Log and count the failure of a task or callback; the others go on."""
        jsonlog.log_exception("task failed", error, task=name)
        self.metrics.count("task_failures")

    def handle_state_change(self) -> None:
        """Perform queued actions; serve once configuration and upstreams are known."""
        self.packet_socket.perform_queued_actions()
        if self.dispatcher.has_state():
            previous = self.serving
            self.serving = servingstate.apply_signal(previous, "state known")
            if self.serving != previous:
                jsonlog.log_event("serving")
                self.packet_socket.release_held_packets()

    def update_packet_hold(self, now: float) -> None:
        """Stop holding packets once waiting no longer helps their callers."""
        zone_peers = [
            peer for peer in self.peers.list_live(now) if peer.zone == self.peers.zone
        ]
        serving = sum(peer.configuration_version > 0 for peer in zone_peers)
        waited_s = now - self.state_sync.started_at
        if not admission.should_hold_packets(waited_s, serving, len(zone_peers)):
            jsonlog.log_event(
                "refuses openings",
                waited_s=round(waited_s, 2),
                peers=len(zone_peers),
                serving=serving,
            )
            self.packet_socket.release_held_packets()

    async def handle_ready_request(self, request: http1.Request) -> http1.Response:
        """Return status 200 to the fabric if this forwarder takes flows, else 503."""
        ready = self.serving == "serving" and not self.unserved_services
        return http1.Response(200 if ready else 503, {}, b"")

    async def handle_metrics_request(self, request: http1.Request) -> http1.Response:
        """Update the gauges and return all metrics."""
        self.metrics.set_gauge("flows", len(self.dispatcher.flow_tracker.flows))
        self.metrics.set_gauge("peers", len(self.peers.list_live(self.clock())))
        self.metrics.set_gauge(
            "configuration_version", self.dispatcher.configuration.version
        )
        self.metrics.set_gauge("upstreams_revision", self.dispatcher.directory.revision)
        self.metrics.set_gauge("log_lines_dropped", self.count_dropped_lines())
        headers = {"Content-Type": metrics.CONTENT_TYPE}
        return http1.Response(200, headers, self.metrics.render())

    def count_dropped_lines(self) -> int:
        """Return the number of dropped log lines."""
        return self.log_stream.dropped

    async def run_tick_loop(self) -> None:
        """Receive reports and packets and run `tick` until the process stops."""
        while True:
            is_waiting = bool(self.dispatcher.flow_tracker.pending)
            await self.loop.sleep(TICK_S if is_waiting else IDLE_TICK_S)
            try:
                # Reports are read on ticks; a wake-up for each costs more than the
                # report.
                self.report_socket.receive()
                # Packets from a pause of this process are handled before its timeouts.
                self.packet_socket.receive()
                self.tick(self.clock())
            except Exception as error:
                # Packets are forwarded even without ticks; the next tick runs as usual.
                self.handle_error("tick", error)

    def tick(self, now: float) -> None:
        """Check timeouts, start probes, report to peers and end a graceful stop."""
        services = self.dispatcher.configuration.services
        for upstream in self.dispatcher.tick(now):
            health_path = services[upstream.service].health_path
            self.loop.start_task(self.probe(upstream, health_path), "probe")
        self.packet_socket.perform_queued_actions()
        unserved_services = self.dispatcher.find_unserved()
        if unserved_services != self.unserved_services:
            self.unserved_services = unserved_services
            jsonlog.log_event("unserved services", services=unserved_services)
        if not self.has_settled and self.state_sync.is_settled(now):
            self.has_settled = True
            self.log_peers(now)
        self.report(now)
        if self.packet_socket.held_packets is not None:
            self.update_packet_hold(now)
        if self.serving == "leaving":
            self.check_stop(now)

    def get_status(self, now: float) -> reportbuilder.Status:
        """Return the state that reports contain beside that of the dispatcher."""
        return reportbuilder.Status(
            self.state_sync.watch_task is not None,
            self.state_sync.is_store_lost(now),
            self.state_sync.store_versions,
            self.serving == "leaving",
        )

    def report(self, now: float) -> None:
        """Send the due report, if any, to peers."""
        outgoing = self.report_builder.build_due_report(self.get_status(now), now)
        if outgoing is not None:
            self.send_report(outgoing, now)

    def send_report(self, outgoing: reportbuilder.OutgoingReport, now: float) -> None:
        """Send a report and charge it to the byte budget."""
        size = self.report_socket.send(outgoing.message, outgoing.recipients)
        self.report_builder.record_sent(outgoing, size, now)

    def receive_report(
        self, message: reportbuilder.Message, address: tuple[str, int]
    ) -> None:
        """Handle a heartbeat or report of a peer."""
        now = self.clock()
        if isinstance(message, peertable.Heartbeat):
            self.peers.record_heartbeat(address, message, now)
            return
        is_known = message.name in self.peers.peers or message.name == self.peers.name
        if not self.dispatcher.monitor.handle_peer_report(message, now) or is_known:
            return
        if self.has_settled:
            jsonlog.log_event("peer found", peer=message.name, peer_zone=message.zone)
        greeting = self.report_builder.build_greeting(
            self.get_status(now), message.address, now
        )
        if greeting is not None:
            self.send_report(greeting, now)

    def log_peers(self, now: float) -> None:
        """Log in one line how many peers were found in each zone since the start."""
        zones: dict[str, int] = {}
        for peer in self.peers.list_live(now):
            zones[peer.zone] = zones.get(peer.zone, 0) + 1
        jsonlog.log_event("peers found", zones=zones)

    async def probe(self, upstream: directory.Upstream, health_path: str) -> None:
        """Check the health of an upstream over HTTP and record the outcome."""
        connection = http1.Connection(self.loop, upstream.address, PROBE_CONNECT_S)
        outcome: segments.ProbeOutcome
        try:
            response = await connection.request("GET", health_path, PROBE_TIMEOUT_S)
        except http1.HttpError as error:
            detail = str(error)
            outcome = "busy" if error.connected else "silent"
            if error.refused:
                outcome = "refused"
        else:
            instance_id = response.headers.get(records.INSTANCE_HEADER)
            passed = response.status == 200 and instance_id == upstream.name
            outcome = "passed" if passed else "failed"
            detail = f"status {response.status} of {instance_id}"
        finally:
            connection.close()
        self.metrics.count("probes", outcome=outcome)
        self.dispatcher.record_probe(upstream, outcome, detail, self.clock())
        self.packet_socket.perform_queued_actions()

    def request_stop(self) -> None:
        """Start a graceful stop.

        The fabric takes this forwarder out of rotation; packets are forwarded until
        they no longer arrive.
        """
        if self.serving in ("leaving", "stopped"):
            return
        self.stop_requested_at = self.clock()
        self.serving = servingstate.apply_signal(self.serving, "stop requested")
        jsonlog.log_event("stop requested", stop_s=self.settings.stop_s)

    def check_stop(self, now: float) -> None:
        """End a graceful stop.

        It ends when the fabric has had time to take this forwarder out of rotation and
        no packets arrive, or shortly before `stop_s` has passed.
        """
        waited_s = now - self.stop_requested_at
        is_quiet = (
            waited_s > ROTATION_EXIT_S
            and now - self.packet_socket.received_at > QUIET_PERIOD_S
        )
        if is_quiet or waited_s > self.settings.stop_s - STOP_MARGIN_S:
            self.serving = servingstate.apply_signal(self.serving, "finished")
            self.is_stopped = True

    async def poll_settings(self) -> None:
        """Reload the settings when their file changes, without a signal."""
        content = b""
        while True:
            await self.loop.sleep(SETTINGS_POLL_S)
            try:
                with open(self.settings_path, "rb") as file:
                    new_content = file.read()
            except OSError as error:
                jsonlog.log_failure("settings not read", cause=str(error))
                continue
            if new_content != content:
                content = new_content
                self.reload("file")

    def reload(self, cause: typing.Literal["file", "signal"]) -> None:
        """Apply `seeds` and `stop_s` of the settings file; the rest needs a restart."""
        try:
            settings = forwarderoptions.read_forwarder_settings(self.settings_path)
        except ExceptionGroup as group:
            faults = [str(fault) for fault in group.exceptions]
            jsonlog.log_failure("reload refused", cause=cause, faults=faults)
            return
        self.peers.add_seeds(self.list_seeds(settings))
        changed = [
            field
            for field, old, new in zip(
                settings._fields, self.settings, settings, strict=True
            )
            if old != new
        ]
        if changed or cause == "signal":
            jsonlog.log_event("reloaded", cause=cause, changed=changed)
        self.settings = self.settings._replace(
            seeds=settings.seeds, stop_s=settings.stop_s
        )


def format_flow(segment: segments.Segment) -> str:
    """Return caller and target of a flow as "ip:port>ip:port"."""
    caller, caller_port = segment.caller
    target, target_port = segment.target
    return (
        f"{packets.format_ip(caller)}:{caller_port}"
        f">{packets.format_ip(target)}:{target_port}"
    )


def main(
    arguments: abc.Sequence[str] = tuple(sys.argv[1:]),
    packet_socket: socket.socket | None = None,
) -> int:
    """Run a forwarder with the settings file named by the first argument.

    `packet_socket` is already bound, if it is given.
    """
    if list(arguments) == ["--list-settings"]:
        print("\n".join(forwarderoptions.list_options()))
        return 0
    if len(arguments) != 1:
        print(
            "usage: pistachioshed-forwarder SETTINGS|--list-settings", file=sys.stderr
        )
        return 2
    try:
        settings = forwarderoptions.read_forwarder_settings(arguments[0])
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(fault, file=sys.stderr)
        return 2
    identity = {"program": "forwarder", "node": settings.name, "zone": settings.zone}
    stream = jsonlog.BoundedStream(sys.stdout.fileno())
    jsonlog.set_sink(jsonlog.make_sink(identity, stream))
    forwarder = Forwarder(
        settings,
        arguments[0],
        stream,
        packet_socket
        or socket.socket(fileno=packetsocket.bind_descriptor(settings.packets)),
    )
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, forwarder.handle_signal)
    forwarder.start()
    forwarder.loop.run_until(lambda: forwarder.is_stopped)
    forwarder.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
