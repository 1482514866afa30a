"""List the series of the decision core: what to measure and the target sizes."""

import typing
from collections import abc

from tools import slopes_balancer, slopes_fit, slopes_scale

ITEM_COUNTS: typing.Final = (1_000, 4_000, 16_000)
ROW_COUNTS: typing.Final = (90, 300, 900)
OVERRIDE_COUNTS: typing.Final = (200, 1_000, 4_000)
VM_COUNTS: typing.Final = (200, 800, 3_200)
# The largest number of received overrides that a node keeps.
MAX_RECEIVED_OVERRIDES: typing.Final = 100_000

Measure = abc.Callable[[int], tuple[float, ...]]


def collect_samples(
    sizes: abc.Iterable[int], measure: Measure
) -> tuple[slopes_fit.Sample, ...]:
    """Return a sample of the measurement at each size."""
    return tuple(slopes_fit.Sample(size, measure(size)) for size in sizes)


def list_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of a balancer, those with exact values first."""
    balancer, scale = slopes_balancer, slopes_scale
    row_targets = (scale.ROWS_PER_GROUP, scale.HOSTS)
    for name, unit, sizes, measure, targets in (
        (
            "held flows",
            "flows",
            ITEM_COUNTS,
            balancer.measure_flow_memory,
            (scale.FLOWS_PER_NODE,),
        ),
        (
            "rows in force, 8 generations",
            "rows",
            ROW_COUNTS,
            balancer.measure_row_memory,
            row_targets,
        ),
        (
            "peers",
            "peers",
            balancer.PEER_COUNTS,
            balancer.measure_peer_memory,
            (scale.NODES_PER_GROUP, scale.NODES_PER_REGION),
        ),
        (
            "received exceptions",
            "exceptions",
            ITEM_COUNTS,
            balancer.measure_received_override_memory,
            (scale.OVERRIDES_PER_NODE, MAX_RECEIVED_OVERRIDES),
        ),
    ):
        samples = collect_samples(sizes, measure)
        for target in targets:
            yield slopes_fit.Series(
                f"memory of {name}",
                unit,
                "B",
                samples,
                target,
                scale.MEMORY_BUDGET_BYTES,
            )
    samples = collect_samples(
        OVERRIDE_COUNTS, lambda count: (balancer.replicate(count)[1],)
    )
    yield slopes_fit.Series(
        "bytes replicated", "exceptions", "B", samples, scale.OVERRIDES_PER_NODE
    )
    yield from list_timed_series()


def list_timed_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of a balancer's processor time."""
    balancer, scale = slopes_balancer, slopes_scale
    rows_per_service = (scale.ROWS_PER_SERVICE,)
    second_budget_us = scale.CORE_SHARE_BUDGET * 1e6
    tick_budget_us = second_budget_us / 10
    peer_targets = (scale.NODES_PER_GROUP, scale.NODES_PER_REGION)
    row_targets = (scale.ROWS_PER_GROUP, scale.HOSTS)
    for name, unit, sizes, measure, targets, budget in (
        (
            "known packet",
            "flows",
            ITEM_COUNTS,
            balancer.measure_known_flow_us,
            (scale.FLOWS_PER_NODE,),
            None,
        ),
        (
            "new flow",
            "rows of its table",
            (5, 20, 80),
            balancer.measure_new_flow_us,
            rows_per_service,
            None,
        ),
        (
            "packet to relay",
            "peers",
            balancer.PEER_COUNTS,
            balancer.measure_relay_us,
            peer_targets,
            None,
        ),
        (
            "membership message",
            "peers",
            balancer.PEER_COUNTS,
            balancer.measure_message_us,
            peer_targets,
            None,
        ),
        (
            "replication, both ends",
            "exceptions",
            OVERRIDE_COUNTS,
            balancer.measure_replication_us,
            (scale.OVERRIDES_PER_NODE,),
            None,
        ),
        (
            "table in force",
            "rows",
            (10, 30, 100),
            balancer.measure_table_us,
            rows_per_service,
            None,
        ),
        (
            "probe result",
            "rows of its table",
            (10, 30, 100),
            balancer.measure_probe_us,
            rows_per_service,
            None,
        ),
        (
            "tick",
            "flows",
            ITEM_COUNTS,
            lambda n: balancer.measure_tick_us(n, 9),
            (scale.FLOWS_PER_NODE,),
            tick_budget_us,
        ),
        (
            "tick",
            "rows",
            ROW_COUNTS,
            lambda n: balancer.measure_tick_us(0, n),
            row_targets,
            tick_budget_us,
        ),
        (
            "VM list taken, each second",
            "VMs",
            VM_COUNTS,
            balancer.measure_vm_list_us,
            (scale.NODES_PER_GROUP, scale.NODES),
            second_budget_us,
        ),
    ):
        samples = collect_samples(sizes, measure)
        for target in targets:
            yield slopes_fit.Series(name, unit, "us", samples, target, budget, True)
