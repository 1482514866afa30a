"""Metrics of a process, collected with `aioprometheus`.

The library is imported on the first scrape or after the first `PENDING_CALLS_MAX`
calls. Importing it earlier would lengthen the start of the process, when the metrics
are not needed yet.
"""

import importlib
import typing

CONTENT_TYPE: typing.Final = "text/plain; version=0.0.4"
# From a fifth of the duration of the shortest job in the users' tables to the longest
# deadline in them.
LATENCY_BUCKETS_S: typing.Final = [
    0.003, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0,
]  # fmt: skip

# The calls of a few seconds in a busy process; they occupy about 0.4 MB.
PENDING_CALLS_MAX: typing.Final = 2_000

Kind = typing.Literal["Counter", "Gauge", "Histogram"]
"""Name of a collector class of the library."""


class CollectorCall(typing.NamedTuple):
    """A call of a collector, queued until the library is imported."""

    kind: Kind
    name: str
    labels: dict[str, str]
    value: float


class Metrics:
    """Counters, gauges and histograms of one process, created on first use."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.library: typing.Any = None
        self.registry: typing.Any = None
        self.collectors: dict[str, typing.Any] = {}
        self.pending_calls: list[CollectorCall] = []

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter."""
        self._perform_or_queue(
            CollectorCall("Counter", f"{name}_total", labels, amount)
        )

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._perform_or_queue(CollectorCall("Gauge", name, labels, value))

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        self._perform_or_queue(
            CollectorCall("Histogram", f"{name}_seconds", labels, seconds)
        )

    def load_library(self) -> None:
        """Import the library and perform the pending calls."""
        self.library = importlib.import_module("aioprometheus")
        self.registry = self.library.Registry()
        pending_calls, self.pending_calls = self.pending_calls, []
        for call in pending_calls:
            self._perform(call)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if self.library is None:
            self.load_library()
        content, _ = self.library.render(self.registry, ["text/plain"])
        return typing.cast(bytes, content)

    def _perform_or_queue(self, call: CollectorCall) -> None:
        if self.library is not None:
            self._perform(call)
            return
        self.pending_calls.append(call)
        if len(self.pending_calls) >= PENDING_CALLS_MAX:
            self.load_library()

    def _perform(self, call: CollectorCall) -> None:
        collector = self.collectors.get(call.name)
        if collector is None:
            collector = self._make_collector(call.kind, call.name)
            self.collectors[call.name] = collector
        if call.kind == "Counter":
            collector.add(call.labels, call.value)
        elif call.kind == "Gauge":
            collector.set(call.labels, call.value)
        else:
            collector.observe(call.labels, call.value)

    def _make_collector(self, kind: Kind, name: str) -> typing.Any:
        options = {"buckets": LATENCY_BUCKETS_S} if kind == "Histogram" else {}
        return getattr(self.library, kind)(
            f"{self.prefix}_{name}",
            name.replace("_", " "),
            registry=self.registry,
            **options,
        )
