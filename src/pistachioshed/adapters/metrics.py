"""Metrics of a process, rendered with `aioprometheus`.

The process adds its values up itself and imports the library on the first scrape: the
import takes as long as the start of the process, and forwarding would stop meanwhile.
"""

import bisect
import importlib
import itertools
import typing

CONTENT_TYPE: typing.Final = "text/plain; version=0.0.4"
# From a fifth of the duration of the shortest job in the users' tables to the longest
# deadline in them.
LATENCY_BUCKETS_S: typing.Final = [
    0.003, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0,
]  # fmt: skip

Labels = tuple[tuple[str, str], ...]
Series = tuple[str, Labels]
"""Name and labels of a metric."""


class Distribution:
    """Sum of durations and their number in each bucket, the last without a limit."""

    __slots__ = ("counts", "sum_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.sum_s = 0.0


class Metrics:
    """Counters, gauges and histograms of one process, created on first use."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.counters: dict[Series, float] = {}
        self.gauges: dict[Series, float] = {}
        self.histograms: dict[Series, Distribution] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter."""
        series = (name, tuple(labels.items()))
        self.counters[series] = self.counters.get(series, 0) + amount

    def get_count(self, name: str, **labels: str) -> float:
        """Return the value of a counter, 0 before its first increase."""
        return self.counters.get((name, tuple(labels.items())), 0)

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges[name, tuple(labels.items())] = value

    def remove_gauge(self, name: str, **labels: str) -> None:
        """Stop exporting a gauge, if it is set."""
        self.gauges.pop((name, tuple(labels.items())), None)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        series = (name, tuple(labels.items()))
        distribution = self.histograms.get(series)
        if distribution is None:
            distribution = self.histograms[series] = Distribution()
        distribution.counts[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        distribution.sum_s += seconds

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        library = importlib.import_module("aioprometheus")
        registry = library.Registry()
        collectors: dict[str, typing.Any] = {}

        def find_collector(kind: str, name: str) -> typing.Any:
            if name not in collectors:
                full_name = f"{self.prefix}_{name}"
                collectors[name] = getattr(library, kind)(
                    full_name, name.replace("_", " "), registry=registry
                )
            return collectors[name]

        for (name, labels), value in self.counters.items():
            find_collector("Counter", f"{name}_total").set(dict(labels), value)
        for (name, labels), value in self.gauges.items():
            find_collector("Gauge", name).set(dict(labels), value)
        for (name, labels), distribution in self.histograms.items():
            values = library.collectors.histogram.Histogram(*LATENCY_BUCKETS_S)
            cumulative = itertools.accumulate(distribution.counts)
            values.buckets.update(zip(values.buckets, cumulative, strict=True))
            values.observations = sum(distribution.counts)
            values.sum = distribution.sum_s
            collector = find_collector("Histogram", f"{name}_seconds")
            collector.set_value(dict(labels), values)
        content, _ = library.render(registry, ["text/plain"])
        return typing.cast(bytes, content)
