"""Metrics of a process, by `aioprometheus`, served over HTTP."""

import typing

import klein
from aioprometheus import collectors, renderer
from twisted.internet import interfaces
from twisted.web import http, server


class Metrics:
    """Counters and gauges of one process, made on first use."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.registry = collectors.Registry()
        self.counters: dict[str, collectors.Counter] = {}
        self.gauges: dict[str, collectors.Gauge] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        counter = self.counters.get(name)
        if counter is None:
            counter = collectors.Counter(
                f"{self.prefix}_{name}_total",
                name.replace("_", " "),
                registry=self.registry,
            )
            self.counters[name] = counter
        counter.add(labels, amount)

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = collectors.Gauge(
                f"{self.prefix}_{name}",
                name.replace("_", " "),
                registry=self.registry,
            )
            self.gauges[name] = gauge
        gauge.set(labels, value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = renderer.render(self.registry, ["text/plain"])
        return content


def serve_metrics(
    metrics: Metrics,
    reactor: typing.Any,
    address: tuple[str, int],
) -> interfaces.IListeningPort:
    """Serve `/metrics` at an address.

    Returns
    -------
    interfaces.IListeningPort
        The listening port, to be stopped by its owner.
    """
    app = klein.Klein()

    @app.route("/metrics")
    def show_metrics(request: http.Request) -> bytes:
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return metrics.render()

    host, port = address
    site = server.Site(app.resource())
    listening: interfaces.IListeningPort = reactor.listenTCP(port, site, interface=host)
    return listening
