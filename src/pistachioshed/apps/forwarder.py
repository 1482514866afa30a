"""Run a forwarder: a balancer without flow state that reads the platform's store."""

import math
import os
import signal
import socket
import time
import typing

from pistachioshed.adapters import (
    eventloop,
    forwarding,
    http1,
    jsonlog,
    metrics,
)
from pistachioshed.apps import (
    explaining,
    forwarderoptions,
    gauges,
    healthcheck,
    pauses,
    peerlink,
    settingswatch,
    statesync,
)
from pistachioshed.core import (
    admission,
    changetiming,
    coldlimiter,
    coldpermits,
    directory,
    dispatch,
    peertable,
    reportbuilder,
    segments,
    servingstate,
)
from pistachioshed.platform import packets

# While openings wait for their handshake: a third of the time that it may take.
TICK_S: typing.Final = 0.02
# Otherwise: half of the gap after which the dispatcher assumes that this process was
# paused.
IDLE_TICK_S: typing.Final = 0.05
# The fabric takes a balancer out of rotation after 2 failed checks, 0.5 s apart.
ROTATION_EXIT_S: typing.Final = 1.3
QUIET_PERIOD_S: typing.Final = 0.8
STOP_MARGIN_S: typing.Final = 0.7


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
        self.metrics = metrics.Metrics("pistachioshed_forwarder")
        self.serving: servingstate.State = "starting"
        self.loop = eventloop.EventLoop(self.handle_error)
        self.clock = self.loop.clock
        self.stop_requested_at = 0.0
        self.unserved_services: list[str] = []
        self.is_stopped = False
        self.pauses = pauses.PauseDetector()
        self.held_until = -math.inf
        self.servers: list[http1.Server] = []
        self.peers = peertable.PeerTable(
            settings.name,
            settings.zone,
            settingswatch.list_seeds(settings),
            settings.capacity,
        )
        self.dispatcher = dispatch.Dispatcher(
            settings.zone, self.peers, self.record, self.observe, os.getpid()
        )
        # An evacuation takes the upstreams of a zone while the load stays.
        self.dispatcher.upstream_selector.ranks_requests = (
            settings.evacuation_ms is not None
        )
        bounds = coldpermits.Bounds(settings.cold_overshoot, settings.cold_slack)
        if any(bounds):
            self.dispatcher.upstream_selector.cold_limiter = coldlimiter.ColdLimiter(
                bounds,
                settings.peers,
                self.dispatcher.directory,
                self.peers,
                time.time,
                self.metrics.count,
                self.clock(),
            )
        self.dispatcher.hedger.enable(
            settings.hedging_share, self.count_hedge, self.schedule_hedging
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
            changetiming.derive_timing(forwarderoptions.get_change_bound_s(settings)),
            self.dispatcher,
            self.handle_state_change,
            self.metrics.count,
        )
        self.peer_link = peerlink.PeerLink(
            reportbuilder.Identity(
                settings.name,
                settings.zone,
                settings.peers,
                time.time_ns() // 1_000_000,
                settings.capacity,
            ),
            self.dispatcher,
            self.get_status,
            self.metrics.count,
            self.clock,
        )
        self.settings_watch = settingswatch.SettingsWatch(
            self.loop, settings, settings_path, self.peers
        )

    def record(self, event: str, **fields: typing.Any) -> None:
        """Log and count a decision or a change of state."""
        segment = fields.pop("segment", None)
        if segment is not None:
            fields = {"flow": format_flow(segment), **fields}
        self.metrics.count("decisions", event=event)
        if event == "refused" and "service" in fields:
            self.metrics.count(
                "service_refused",
                service=fields["service"],
                priority=str(fields["priority"]),
                reason=fields["kind"],
            )
        jsonlog.log_event(event, **fields)

    def observe(self, route: str, latency_s: float) -> None:
        """Add the latency of a response to its route's histogram."""
        self.metrics.observe("response", latency_s, route=route)

    def count_hedge(self, service: str, outcome: str) -> None:
        """Count an opening that was offered twice, by the upstream that opened it."""
        self.metrics.count("hedged_openings", service=service, outcome=outcome)

    def schedule_hedging(self, due_at: float) -> None:
        """Handle late openings at a time; ticks are too far apart for it."""
        self.loop.call_at(due_at, self.hedge_openings)

    def hedge_openings(self) -> None:
        """Offer late openings to a second upstream."""
        if not self.dispatcher.flow_tracker.pending:
            return
        # Their handshakes may have arrived already.
        self.receive_packets()
        self.dispatcher.hedge_openings(self.clock())
        self.packet_socket.perform_queued_actions()

    def start(self, bound_s: float = 0.0) -> None:
        """Start all tasks and servers on the event loop.

        `bound_s` is for how long the packet socket has been bound, in seconds.
        """
        jsonlog.log_event(
            "started",
            settings=self.settings._asdict(),
            bound_s=round(bound_s, 3),
        )
        self.loop.add_callback(
            self.packet_socket.sock, eventloop.READABLE, self.receive_packets
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
        self.loop.start_service(self.settings_watch.run, "watch settings")
        self.loop.start_service(self.run_tick_loop, "tick")

    def close(self) -> None:
        """Cancel all tasks and close all sockets."""
        for server in self.servers:
            server.close()
        self.loop.remove_callback(self.packet_socket.sock, eventloop.READABLE)
        self.loop.close()
        self.packet_socket.close()
        self.peer_link.close()
        jsonlog.log_event("stopped", dropped_lines=self.count_dropped_lines())

    def handle_signal(self, number: int, _frame: typing.Any) -> None:
        """Handle a signal in the next round of the event loop."""
        if number == signal.SIGHUP:
            self.loop.call_soon(lambda: self.settings_watch.reload("signal"))
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
        if self.serving == "serving":
            # After a pause: what is known serves better than nothing.
            if now >= self.held_until:
                self.packet_socket.release_held_packets()
            return
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
        """Update the gauges and return all metrics, or explain a route."""
        if request.target.partition("?")[0] == explaining.PATH:
            return explaining.answer_request(self.dispatcher, request, self.clock())
        gauges.update_gauges(self.metrics, self.dispatcher, self.clock())
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
                self.peer_link.receive()
                # Packets from a short pause are handled before its timeouts.
                self.receive_packets()
                self.tick(self.clock())
            except Exception as error:
                # Packets are forwarded even without ticks; the next tick runs as usual.
                self.handle_error("tick", error)

    def receive_packets(self) -> None:
        """Handle the packets that have arrived.

        After a pause of the process this is called before any timer.
        """
        self.handle_pause(self.pauses.measure_pause())
        self.packet_socket.receive()

    def handle_pause(self, pause_s: float) -> None:
        """Discard what waited during a pause, and refresh the state if it is old.

        A request that is forwarded long after its caller has given up would still run.
        """
        if pause_s <= admission.PAUSE_MAX_S:
            return
        discarded = self.packet_socket.discard_waiting_packets()
        is_outdated = pause_s > forwarderoptions.get_change_bound_s(self.settings)
        jsonlog.log_event(
            "resumed after a pause",
            pause_s=round(pause_s, 3),
            discarded=discarded,
            refreshes=is_outdated,
        )
        if is_outdated and self.serving == "serving":
            self.packet_socket.hold_packets()
            self.held_until = self.clock() + admission.PACKET_HOLD_MIN_S
            self.state_sync.refresh()

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
        if not self.peer_link.has_settled and self.state_sync.is_settled(now):
            self.peer_link.settle(now)
        self.peer_link.report(now)
        if self.packet_socket.held_packets is not None:
            self.update_packet_hold(now)
        if self.serving == "leaving":
            self.check_stop(now)

    async def probe(self, upstream: directory.Upstream, health_path: str) -> None:
        """Check the health of an upstream and record the outcome."""
        result = await healthcheck.check_health(self.loop, upstream, health_path)
        self.metrics.count("probes", outcome=result.outcome)
        self.dispatcher.record_probe(
            upstream, result.outcome, result.detail, self.clock()
        )
        self.packet_socket.perform_queued_actions()

    def get_status(self, now: float) -> reportbuilder.Status:
        """Return the state that reports contain beside that of the dispatcher."""
        return reportbuilder.Status(
            self.state_sync.watch_task is not None,
            self.state_sync.is_store_lost(now),
            self.state_sync.store_versions,
            self.serving == "leaving",
        )

    def request_stop(self) -> None:
        """Start a graceful stop.

        The fabric takes this forwarder out of rotation; packets are forwarded until
        they no longer arrive.
        """
        if self.serving in ("leaving", "stopped"):
            return
        self.stop_requested_at = self.clock()
        self.serving = servingstate.apply_signal(self.serving, "stop requested")
        jsonlog.log_event("stop requested", stop_s=self.settings_watch.settings.stop_s)
        # Without state, held openings are refused, so that their callers try elsewhere.
        self.packet_socket.release_held_packets()

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
        if is_quiet or waited_s > self.settings_watch.settings.stop_s - STOP_MARGIN_S:
            self.serving = servingstate.apply_signal(self.serving, "finished")
            self.is_stopped = True


def format_flow(segment: segments.Segment) -> str:
    """Return caller and target of a flow as "ip:port>ip:port"."""
    caller, caller_port = segment.caller
    target, target_port = segment.target
    return (
        f"{packets.format_ip(caller)}:{caller_port}"
        f">{packets.format_ip(target)}:{target_port}"
    )
