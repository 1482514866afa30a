"""Measure store calls and values, boots of whole zones, and memory of processes."""

import functools
import subprocess
import sys
import typing
from collections import abc

from pistachioshed.core import tables
from pistachioshed.operations import commits, documents, edits
from tests import controlfleet, storefakes
from tools import slopes_control, slopes_fit, slopes_scale

NODE_COUNTS: typing.Final = (8, 50, 200)
OUTAGES_S: typing.Final = (30.0, 60.0, 120.0)
SERVICES: typing.Final = 2
BOOT_LIMIT_S: typing.Final = 60.0
# Read VmHWM, the peak of the process itself: the peak that `getrusage` returns starts
# at that of the parent process.
PRINT_PEAK_MEMORY: typing.Final = """
import importlib, pathlib, sys
importlib.import_module(sys.argv[1])
status = pathlib.Path("/proc/self/status").read_text()
print(status.split("VmHWM:")[1].split()[0])
"""


class ZoneBoot(typing.NamedTuple):
    """Hold the result of booting a whole zone at once, beside a running zone.

    `bytes` is the traffic of the busiest node that boots.
    """

    seconds: float
    bytes: float
    calls: float


def count_operator_calls(adds_row: bool) -> float:
    """Return the store calls that the operators' command makes for one edit."""
    fixture = storefakes.StoreFixture()
    author = commits.Author("operator", "")
    rows = slopes_control.build_table(0, 10).rows
    first = tables.Edit("first", rows[:9])
    fixture.run(edits.create_table(fixture.store, "service-0000", first, author))
    calls_before = sum(fixture.store_standin.calls.values())
    changed_row = rows[9] if adds_row else rows[0]._replace(weight=2.0)
    second = tables.Edit("second", (changed_row,))
    fixture.run(edits.apply_edit(fixture.store, "service-0000", second, 1, author))
    return float(sum(fixture.store_standin.calls.values()) - calls_before)


def count_watch_calls(outage_s: float) -> float:
    """Return how many requests one open watch makes during and after an outage."""
    fixture = storefakes.StoreFixture()
    watch = fixture.store.watch(documents.TABLES_PREFIX, 1, lambda batch: None)
    fixture.advance(1.0)
    requests_before = len(fixture.agent.requested_addresses)
    fixture.agent.refused_addresses.add("127.0.0.1:1")
    fixture.set_faults(silence_watches=True)
    fixture.advance(outage_s)
    fixture.agent.refused_addresses.clear()
    fixture.advance(3.0)
    watch.stop()
    return float(len(fixture.agent.requested_addresses) - requests_before)


def measure_table_bytes(rows: int) -> float:
    """Return the bytes of a table's encoded value in the store."""
    return float(len(documents.encode_table(slopes_control.build_table(0, rows))))


@functools.cache
def measure_zone_boot(nodes: int, store_down: bool) -> ZoneBoot:
    """Measure the boot of a whole zone at once, beside a running zone of 8 nodes."""
    fleet = controlfleet.Fleet(1, {"old": 8, "zone": nodes})
    for number in range(SERVICES):
        table = slopes_control.build_table(number, slopes_scale.ROWS_PER_SERVICE)
        fleet.write(table)
    booting = [name for name, zone in fleet.zones.items() if zone == "zone"]
    fleet.boot(*(name for name, zone in fleet.zones.items() if zone == "old"))
    fleet.run(slopes_control.SETTLE_S)
    fleet.store.down = store_down
    fleet.bytes.clear()
    calls_before = slopes_control.count_calls(fleet.store)
    fleet.boot(*booting)
    seconds = fleet.run_until(
        lambda: fleet.is_in_force(1, "service-0000"), BOOT_LIMIT_S
    )
    calls = slopes_control.count_calls(fleet.store) - calls_before
    return ZoneBoot(seconds, max(fleet.bytes[name] for name in booting), calls)


def measure_process_bytes(module: str) -> int:
    """Return the peak resident memory of a process that imports a module."""
    completed = subprocess.run(
        [sys.executable, "-c", PRINT_PEAK_MEMORY, module],
        capture_output=True,
        check=True,
        text=True,
    )
    return int(completed.stdout) * 1_024


def list_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of the store and of zones that restart as a whole."""
    scale, series = slopes_scale, slopes_fit.Series
    zone_size = scale.NODES_PER_ZONE

    def collect_samples(
        sizes: abc.Iterable[float], measure: abc.Callable[[typing.Any], float]
    ) -> tuple[slopes_fit.Sample, ...]:
        return tuple(slopes_fit.Sample(size, (measure(size),)) for size in sizes)

    samples = collect_samples((10, 100, 1_000), measure_table_bytes)
    yield series("value of a table", "rows", "B", samples, tables.ROWS_MAX, 1e6)
    yield series("values of all tables, one read", "rows", "B", samples, scale.HOSTS)
    samples = collect_samples(OUTAGES_S, count_watch_calls)
    yield series("calls of one open watch in an outage", "s", "calls", samples, 3_600)
    for name, store_down in (("", False), (", store down", True)):
        for index, (field, unit) in enumerate(
            (("in force", "s"), ("bytes of its busiest node", "B"), ("calls", "calls"))
        ):
            samples = collect_samples(
                NODE_COUNTS,
                functools.partial(get_zone_boot, index=index, store_down=store_down),
            )
            title = f"zone boots at once{name}: {field}"
            yield series(title, "nodes of a zone", unit, samples, zone_size)


def get_zone_boot(nodes: int, index: int, store_down: bool) -> float:
    """Return one field of a zone's boot, selected by its index."""
    return float(measure_zone_boot(nodes, store_down)[index])


def describe_counts() -> abc.Iterator[str]:
    """Yield sentences about counts that don't depend on a size."""
    changing, adding = count_operator_calls(False), count_operator_calls(True)
    yield (
        f"Store calls of an edit by the operators' command: {changing:g} to change a "
        f"row, {adding:g} to add one."
    )
    for module in ("pistachioshed.apps.balancer", "pistachioshed.apps.control"):
        size = measure_process_bytes(module) / 2**20
        yield f"Peak resident memory after the import of {module}: {size:.1f} MiB."
