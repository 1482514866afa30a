"""Fit lines to measurements, extrapolate them and format them as a Markdown table."""

import gc
import statistics
import time
import tracemalloc
import typing
from collections import abc

RUNS_PER_SIZE: typing.Final = 5
LOOKUPS_PER_RUN: typing.Final = 200_000


class Sample(typing.NamedTuple):
    """Hold the values of one or several runs at one size."""

    size: float
    values: tuple[float, ...]


class Series(typing.NamedTuple):
    """Describe a quantity measured at several sizes.

    `target` is the size to extrapolate to, `budget` the highest value allowed
    there, or None if there is no limit. `timed` values are in microseconds and
    depend on the machine.
    """

    name: str
    size_unit: str
    unit: str
    samples: tuple[Sample, ...]
    target: float
    budget: float | None = None
    timed: bool = False


class Line(typing.NamedTuple):
    """Describe a least-squares line.

    `residual` is the largest distance of a sample's median from the line.
    """

    slope: float
    intercept: float
    residual: float


def fit_line(samples: abc.Sequence[Sample]) -> Line:
    """Fit a least-squares line to the medians of the samples."""
    sizes = [sample.size for sample in samples]
    medians = [statistics.median(sample.values) for sample in samples]
    slope, intercept = statistics.linear_regression(sizes, medians)
    residual = max(
        abs(median - slope * size - intercept)
        for size, median in zip(sizes, medians, strict=True)
    )
    return Line(slope, intercept, residual)


def extrapolate(series: Series) -> float:
    """Return the value of the fitted line at the target size."""
    line = fit_line(series.samples)
    return line.slope * series.target + line.intercept


def check_budget(value: float, budget: float | None) -> str:
    """Return "pass" if a value is within its budget, "miss" if not, "-" without one."""
    if budget is None:
        return "-"
    return "pass" if value <= budget else "miss"


def format_header() -> str:
    """Return the header row of the Markdown table and the separator below it."""
    columns = (
        "quantity",
        "measured (size: median [range])",
        "slope",
        "intercept",
        "residual",
        "at size",
        "extrapolation",
        "budget",
        "result",
        "x baseline",
    )
    return f"| {' | '.join(columns)} |\n|{'---|' * len(columns)}"


def format_series(series: Series, baseline_us: float) -> str:
    """Return the row of the Markdown table for a series."""
    line = fit_line(series.samples)
    value = extrapolate(series)
    budget = "-" if series.budget is None else f"{series.budget:,.5g}"
    ratio = f"{value / baseline_us:,.0f}" if series.timed else "-"
    cells = (
        f"{series.name} ({series.unit})",
        ", ".join(map(format_sample, series.samples)),
        f"{line.slope:.4g}",
        f"{line.intercept:.4g}",
        f"{line.residual:.3g}",
        f"{series.target:,.6g} {series.size_unit}",
        f"{value:,.5g}",
        budget,
        check_budget(value, series.budget),
        ratio,
    )
    return f"| {' | '.join(cells)} |"


def format_sample(sample: Sample) -> str:
    """Return the median of a sample as text, with the range of several runs."""
    text = f"{sample.size:g}: {statistics.median(sample.values):.4g}"
    if len(sample.values) > 1:
        text += f" [{min(sample.values):.3g}, {max(sample.values):.3g}]"
    return text


def measure_cpu_us(
    run: abc.Callable[[], object], steps: int, runs: int = RUNS_PER_SIZE
) -> tuple[float, ...]:
    """Return the processor time per step, in microseconds, of each run.

    Each call of `run` makes `steps` steps.
    """
    step_times_us = []
    for _ in range(runs):
        gc.collect()
        started_s = time.process_time()
        run()
        step_times_us.append((time.process_time() - started_s) / steps * 1e6)
    return tuple(step_times_us)


def measure_allocated_bytes(build: abc.Callable[[], object]) -> tuple[float]:
    """Return the bytes that stay allocated after a call while its result is kept."""
    gc.collect()
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    del result
    return (float(allocated_bytes),)


def measure_baseline() -> tuple[float, ...]:
    """Return the processor time of one dict look-up in a bare loop, of each run."""
    table = {number: number for number in range(1_000)}

    def run() -> None:
        for number in range(LOOKUPS_PER_RUN):
            table[number % 1_000]

    return measure_cpu_us(run, LOOKUPS_PER_RUN)
