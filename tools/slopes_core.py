"""The series of the decision core: what is measured and the sizes it is for."""

import typing
from collections import abc

from tools import slopes_balancer, slopes_fit, slopes_scale

COUNTS: typing.Final = (1_000, 4_000, 16_000)
ROWS: typing.Final = (90, 300, 900)
BATCHES: typing.Final = (200, 1_000, 4_000)
VMS: typing.Final = (200, 800, 3_200)
# The most received exceptions that a node keeps.
MAX_RECEIVED: typing.Final = 100_000

Measure = abc.Callable[[int], tuple[float, ...]]


def sample(sizes: abc.Iterable[int], measure: Measure) -> tuple[slopes_fit.Sample, ...]:
    """Measure at each size."""
    return tuple(slopes_fit.Sample(size, measure(size)) for size in sizes)


def list_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of a balancer, exact ones first."""
    core, scale = slopes_balancer, slopes_scale
    rows = (scale.ROWS_PER_GROUP, scale.HOSTS)
    for name, unit, sizes, measure, targets in (
        (
            "held flows",
            "flows",
            COUNTS,
            core.measure_flow_memory,
            (scale.FLOWS_PER_NODE,),
        ),
        ("rows in force, 8 generations", "rows", ROWS, core.measure_row_memory, rows),
        (
            "peers",
            "peers",
            core.PEERS,
            core.measure_peer_memory,
            (scale.GROUP, scale.REGION_NODES),
        ),
        (
            "received exceptions",
            "exceptions",
            COUNTS,
            core.measure_received_memory,
            (scale.OVERRIDES, MAX_RECEIVED),
        ),
    ):
        found = sample(sizes, measure)
        for target in targets:
            yield slopes_fit.Series(
                f"memory of {name}", unit, "B", found, target, scale.MEMORY_BYTES
            )
    found = sample(BATCHES, lambda count: (core.replicate(count)[1],))
    yield slopes_fit.Series(
        "bytes replicated", "exceptions", "B", found, scale.OVERRIDES
    )
    yield from list_timed_series()


def list_timed_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of processor time."""
    core, scale = slopes_balancer, slopes_scale
    usual = (scale.ROWS_PER_SERVICE,)
    second_us = scale.CORE_SHARE * 1e6
    tick_us = second_us / 10
    peers = (scale.GROUP, scale.REGION_NODES)
    rows = (scale.ROWS_PER_GROUP, scale.HOSTS)
    for name, unit, sizes, measure, targets, budget in (
        (
            "known packet",
            "flows",
            COUNTS,
            core.measure_known_us,
            (scale.FLOWS_PER_NODE,),
            None,
        ),
        (
            "new flow",
            "rows of its table",
            (5, 20, 80),
            core.measure_new_us,
            usual,
            None,
        ),
        ("packet to relay", "peers", core.PEERS, core.measure_owner_us, peers, None),
        (
            "membership message",
            "peers",
            core.PEERS,
            core.measure_message_us,
            peers,
            None,
        ),
        (
            "replication, both ends",
            "exceptions",
            BATCHES,
            core.measure_exception_us,
            (scale.OVERRIDES,),
            None,
        ),
        ("table in force", "rows", (10, 30, 100), core.measure_table_us, usual, None),
        (
            "probe result",
            "rows of its table",
            (10, 30, 100),
            core.measure_probe_us,
            usual,
            None,
        ),
        (
            "tick",
            "flows",
            COUNTS,
            lambda n: core.measure_tick_us(n, 9),
            (scale.FLOWS_PER_NODE,),
            tick_us,
        ),
        ("tick", "rows", ROWS, lambda n: core.measure_tick_us(0, n), rows, tick_us),
        (
            "VM list taken, each second",
            "VMs",
            VMS,
            core.measure_vms_us,
            (scale.GROUP, scale.NODES),
            second_us,
        ),
    ):
        found = sample(sizes, measure)
        for target in targets:
            yield slopes_fit.Series(name, unit, "us", found, target, budget, True)
