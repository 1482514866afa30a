"""Metrics of a process, by `aioprometheus`."""

import typing
from collections import abc

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
        self.collectors: dict[str, typing.Any] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self._find(collectors.Counter, f"{name}_total").add(labels, amount)

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._find(collectors.Gauge, name).set(labels, value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        histogram = self._find(
            collectors.Histogram, f"{name}_seconds", buckets=LATENCY_BUCKETS_S
        )
        histogram.observe(labels, seconds)

    def _find(
        self,
        make: abc.Callable[..., typing.Any],
        name: str,
        **options: typing.Any,
    ) -> typing.Any:
        collector = self.collectors.get(name)
        if collector is None:
            collector = make(
                f"{self.prefix}_{name}",
                name.replace("_", " "),
                registry=self.registry,
                **options,
            )
            self.collectors[name] = collector
        return collector

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = renderer.render(self.registry, ["text/plain"])
        return content
