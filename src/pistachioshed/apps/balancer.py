"""The balancer daemon: packet path, membership, and the link to the control process."""

import signal
import time
import typing

import typer
from twisted.internet import error, task
from twisted.python import log as twisted_log

from pistachioshed.adapters import (
    datagrams,
    jsonlog,
    loggers,
    metrics,
    metricserver,
    reactors,
)
from pistachioshed.adapters import link as link_adapter
from pistachioshed.apps import balanceroptions, startup
from pistachioshed.core import events, node
from pistachioshed.core import link as messages

TICK_S: typing.Final = 0.1
REPORT_INTERVAL_S: typing.Final = 1.0
# The core normally completes a graceful stop within `leave_timeout_s`. If it does not,
# the process exits this long after that timeout.
STOP_MARGIN_S: typing.Final = 5.0
LABEL_NAMES: typing.Final = {
    "dropped": "reason",
    "refused": "reason",
    "control_bytes": "direction",
}


class Daemon:
    """Run one balancer process: the core, its sockets and its timers."""

    def __init__(
        self,
        settings: balanceroptions.BalancerSettings,
        reactor: typing.Any,
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        seed = time.time_ns() & 0xFFFFFFFF
        self.node = node.Node(settings.core, seed)
        self.packet_path = datagrams.Datagrams(
            self.node,
            settings.core.key,
            settings.peer_address[0],
            reactor,
            time.monotonic,
            self.stop,
        )
        self.link = link_adapter.Link(self.receive_update)
        self.metrics = metrics.Metrics("pistachioshed_balancer")
        self.published_counts: dict[tuple[str, str], int] = {}
        self.last_tick_s = time.monotonic()
        self.loop_lag_s = 0.0
        self.stopping = False
        self.exit_status = 0

    def start_or_fail(self) -> None:
        """Start, or stop with exit status 1 if an address cannot be bound."""
        try:
            self.start()
        except error.CannotListenError as fault:
            jsonlog.log_failure("listen", error=str(fault))
            self.exit_status = 1
            self.stop()

    def start(self) -> None:
        """Open the sockets and start the periodic tasks."""
        metricserver.serve_metrics(
            self.metrics,
            self.reactor,
            self.settings.metrics_address,
        )
        self.packet_path.add_peers(self.settings.seeds)
        self.packet_path.open_peer_port(self.settings.peer_address)
        for service, address in self.settings.services.items():
            self.packet_path.open_listener(service, address)
        self.link.dial(self.settings.control_address)
        task.LoopingCall(self.run_step, "tick", self.tick).start(TICK_S)
        task.LoopingCall(self.run_step, "report", self.report).start(REPORT_INTERVAL_S)
        jsonlog.log_event("started", services=sorted(self.settings.services))

    def run_step(self, step: str, function: typing.Any) -> None:
        """Run one iteration of a periodic step; log and count an exception.

        An exception that propagates would stop the step's `LoopingCall`.
        """
        try:
            function()
        except Exception as error:
            jsonlog.log_exception("periodic step failed", error, step=step)
            self.metrics.count("failures", step=step)

    def tick(self) -> None:
        """Pass a tick to the core and record how late it is."""
        now = time.monotonic()
        self.loop_lag_s = max(self.loop_lag_s, now - self.last_tick_s - TICK_S)
        self.last_tick_s = now
        self.packet_path.handle(events.Tick())

    def report(self) -> None:
        """Send a report to the control process and publish the metrics."""
        self.link.send(messages.encode_message(self.build_report()))
        for (metric, label), total in self.packet_path.counts.items():
            amount = total - self.published_counts.get((metric, label), 0)
            labels = {LABEL_NAMES[metric]: label} if metric in LABEL_NAMES else {}
            self.metrics.count(metric, amount, **labels)
            self.published_counts[metric, label] = total
        for service in self.settings.services:
            flows = self.node.count_flows(service)
            self.metrics.set_gauge("open_flows", flows, service=service)
            settled = self.node.is_settled(service, time.monotonic())
            self.metrics.set_gauge("settled", int(settled), service=service)
        members = len(self.node.active_members)
        self.metrics.set_gauge("active_members", members)
        self.metrics.set_gauge("loop_lag_seconds", self.loop_lag_s)
        self.loop_lag_s = 0.0

    def build_report(self) -> messages.Report:
        """Return the report for the control process."""
        core = self.settings.core
        return messages.Report(
            core.name,
            core.zone,
            self.node.state,
            self.node.versions,
            self.node.active_members,
        )

    def receive_update(self, payload: bytes) -> None:
        """Apply an update from the control process."""
        try:
            update = messages.decode_update(payload)
        except messages.LinkError as fault:
            peer = self.settings.control_address
            jsonlog.log_failure("receive update", peer=peer, error=str(fault))
            return
        if update.vms:
            self.packet_path.add_peers({vm.name: vm.address for vm in update.vms})
            self.packet_path.handle(events.VmsReceived(update.vms))
        for table in update.tables:
            self.packet_path.handle(events.TableReceived(table))
        for probe in update.probes:
            self.packet_path.handle(probe)
        for service, version in self.node.versions.items():
            self.metrics.set_gauge("table_version", version, service=service)

    def request_stop(self) -> None:
        """Start a graceful stop; repeated requests have no effect."""
        if self.stopping:
            return
        self.stopping = True
        jsonlog.log_event("stop requested")
        limit_s = self.settings.core.leave_timeout_s + STOP_MARGIN_S
        self.reactor.callLater(limit_s, self.stop)
        self.packet_path.handle(events.StopRequested())

    def stop(self) -> None:
        """Close the link and stop the reactor, which ends the process."""
        if self.reactor.running:
            jsonlog.log_event("stopped")
            self.link.close()
            self.reactor.stop()


def run_daemon(settings: balanceroptions.BalancerSettings) -> int:
    """Run a balancer until it stops, and return the exit status."""
    loop, reactor = reactors.install_reactor()

    core = settings.core
    loggers.start_logging(
        {"program": "balancer", "node": core.name, "zone": core.zone},
    )
    twisted_log.PythonLoggingObserver().start()
    daemon = Daemon(settings, reactor)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.request_stop)
    reactor.callWhenRunning(daemon.start_or_fail)
    reactor.run(installSignalHandlers=False)
    return daemon.exit_status


def run(
    settings: startup.SettingsOption = None,
    list_settings: startup.ListOption = False,
) -> None:
    """Run a balancer of the fleet until SIGTERM, which stops it gracefully."""
    checked = startup.read_or_exit(
        settings,
        list_settings,
        balanceroptions.list_options,
        balanceroptions.read_balancer_settings,
    )
    raise typer.Exit(run_daemon(checked))


def main() -> None:
    """Run the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
