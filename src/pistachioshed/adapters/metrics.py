"""Metrics of a process, by `aioprometheus`."""

import typing

from aioprometheus import collectors, renderer

CONTENT_TYPE: typing.Final = "text/plain; version=0.0.4"
# From a fifth of the shortest job of the users' tables to their longest deadline.
LATENCY_BUCKETS_S: typing.Final = [
    0.003, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0,
]  # fmt: skip


class Metrics:
    """Counters, gauges and histograms of one process, made on first use."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.registry = collectors.Registry()
        self.counters: dict[str, collectors.Counter] = {}
        self.gauges: dict[str, collectors.Gauge] = {}
        self.histograms: dict[str, collectors.Histogram] = {}

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

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = collectors.Histogram(
                f"{self.prefix}_{name}_seconds",
                name.replace("_", " "),
                registry=self.registry,
                buckets=LATENCY_BUCKETS_S,
            )
            self.histograms[name] = histogram
        histogram.observe(labels, seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = renderer.render(self.registry, ["text/plain"])
        return content
