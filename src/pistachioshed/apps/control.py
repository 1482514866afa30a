"""The control daemon of a VM: tables, VM list, upstream probes and status."""

import functools
import logging
import random
import signal
import time
import typing

import typer
from twisted.internet import defer
from twisted.python import log as twisted_log

from pistachioshed.adapters import (
    bus,
    countedstore,
    etcd,
    etcdgateway,
    httpprober,
    jsonlog,
    loggers,
    metrics,
    metricserver,
    reactors,
    vmlist,
)
from pistachioshed.adapters import link as link_adapter
from pistachioshed.apps import controldriver, controloptions, startup
from pistachioshed.ports import peers

HTTP_DEADLINE_S: typing.Final = 2.0
STOP_TIMEOUT_S: typing.Final = 3.0


class Daemon:
    """Run one control process: the driver with its network adapters."""

    def __init__(
        self, settings: controloptions.ControlSettings, reactor: typing.Any
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.metrics = metrics.Metrics("pistachioshed_control")
        self.link = link_adapter.Link(self.receive_report)
        self.stopping = False
        self.bus: bus.Bus | None = None
        self.driver = controldriver.Driver(
            settings.policy,
            random.SystemRandom().getrandbits(64),
            settings.seeds,
            self.make_ports,
            reactor,
            time.monotonic,
            self.metrics,
        )

    def make_ports(self, deliver: peers.Deliver) -> controldriver.Ports:
        """Create the adapters; events are passed to `deliver`."""
        settings = self.settings
        http = etcdgateway.make_client(self.reactor, HTTP_DEADLINE_S)
        client = etcd.EtcdStore(
            settings.store_addresses, http, self.reactor, random.Random()
        )
        self.bus = bus.Bus(
            settings.policy.name,
            settings.key,
            deliver,
            self.metrics.count,
            settings.policy.silence_s,
        )
        return controldriver.Ports(
            self.bus,
            countedstore.CountedStore(client, self.metrics.count),
            vmlist.HttpVmList(settings.vm_list_url, http, self.reactor),
            httpprober.HttpProber(http, settings.probe_port_offset, self.reactor),
            self.send_update,
        )

    def send_update(self, payload: bytes) -> None:
        """Send an encoded update to the local balancer."""
        self.metrics.count("link_bytes_out", len(payload))
        self.link.send(payload)

    def receive_report(self, payload: bytes) -> None:
        """Process an encoded report from the local balancer."""
        self.metrics.count("link_bytes_in", len(payload))
        self.driver.receive_report(payload)

    def start(self) -> None:
        """Open the listening sockets and start the driver."""
        metricserver.serve_metrics(
            self.metrics, self.reactor, self.settings.metrics_address
        )
        if self.bus is not None:
            self.bus.listen(self.settings.policy.bus)
        self.link.listen(self.settings.balancer_link)
        self.driver.start(self.settings.vm_list_interval_s)
        jsonlog.log_event("started", bus=self.settings.policy.bus)

    def request_stop(self) -> None:
        """Start a graceful stop; repeated requests have no effect."""
        if self.stopping:
            return
        self.stopping = True
        jsonlog.log_event("stop requested")
        stopped = defer.Deferred.fromCoroutine(self.driver.stop())
        stopped.addTimeout(STOP_TIMEOUT_S, self.reactor)
        stopped.addBoth(self.end)

    def end(self, result: object) -> None:
        """Close the link and stop the reactor, which ends the process."""
        jsonlog.log_event("stopped")
        self.link.close()
        # The cancelled tasks that use the sockets finish in the next iteration of the
        # event loop, so the reactor must keep running until then.
        self.reactor.callLater(0.05, self.reactor.stop)


def run_daemon(settings: controloptions.ControlSettings) -> None:
    """Run a control process until it stops."""
    loop, reactor = reactors.install_reactor()
    policy = settings.policy
    loggers.start_logging(
        {"program": "control", "node": policy.name, "zone": policy.zone},
    )
    twisted_log.PythonLoggingObserver().start()
    # Below WARNING, Twisted logs the start and stop of every HTTP request's connection.
    logging.getLogger("twisted").setLevel(logging.WARNING)
    daemon = Daemon(settings, reactor)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.request_stop)
    reactor.callWhenRunning(functools.partial(start_daemon, daemon))
    reactor.run(installSignalHandlers=False)


def start_daemon(daemon: Daemon) -> None:
    """Start a daemon; if that fails, log the error and stop the reactor."""
    try:
        daemon.start()
    except Exception as error:
        jsonlog.log_failure("start", error=f"{type(error).__name__}: {error}")
        daemon.reactor.stop()


def run(
    settings: startup.SettingsOption = None,
    list_settings: startup.ListOption = False,
) -> None:
    """Run the control process of a VM until SIGTERM."""
    checked = startup.read_or_exit(
        settings,
        list_settings,
        controloptions.list_options,
        controloptions.read_control_settings,
    )
    run_daemon(checked)


def main() -> None:
    """Run the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
