"""List the series of the control process: what to measure and the target sizes."""

import functools
import typing
from collections import abc

from tools import slopes_control, slopes_fit, slopes_scale

FIELDS: typing.Final = (
    ("mean node", "mean_bytes_per_s"),
    ("busiest node", "max_bytes_per_s"),
)

Measure = abc.Callable[[typing.Any], float]


def collect_samples(
    sizes: abc.Iterable[float], measure: Measure
) -> tuple[slopes_fit.Sample, ...]:
    """Return a sample of one value at each size."""
    return tuple(slopes_fit.Sample(size, (measure(size),)) for size in sizes)


def list_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of the control process, those with exact values first."""
    yield from list_byte_series()
    yield from list_call_series()
    yield from list_timed_series()


def list_byte_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of traffic and memory."""
    control, scale, series = slopes_control, slopes_scale, slopes_fit.Series
    budget = scale.CONTROL_BUDGET_BYTES_PER_S
    node_counts, service_counts = control.NODE_COUNTS, control.SERVICE_COUNTS
    zone_size, group_size = scale.NODES_PER_ZONE, scale.GROUP_NODES_PER_ZONE
    for name, field in (
        ("mean node", "mean_bytes_per_s"),
        ("busiest node", "max_bytes_per_s"),
    ):
        samples = collect_samples(
            node_counts, functools.partial(control.get_rate_by_nodes, 2, field)
        )
        yield series(
            f"bus bytes, {name}, 2 services",
            "nodes of a zone",
            "B/s",
            samples,
            zone_size,
            budget,
        )
    for name, field in (
        ("mean node", "mean_bytes_per_s"),
        ("busiest node", "max_bytes_per_s"),
    ):
        samples = collect_samples(
            service_counts, functools.partial(control.get_rate_by_services, 8, field)
        )
        for target in (scale.SERVICES_PER_GROUP, scale.SERVICES):
            yield series(
                f"bus bytes, {name} of 8", "services", "B/s", samples, target, budget
            )
    samples = collect_samples(
        service_counts, lambda n: control.measure_idle(group_size, n)[1]
    )
    yield series(
        f"bus bytes, busiest node of {group_size}",
        "services",
        "B/s",
        samples,
        scale.SERVICES_PER_GROUP,
        budget,
    )
    samples = collect_samples(
        control.EDIT_RATES_PER_S, lambda n: control.measure_edit_traffic(n)[1]
    )
    yield series(
        "bus bytes, busiest node of 8, 2 services",
        "edits/s",
        "B/s",
        samples,
        scale.EDITS_PER_S,
        budget,
    )
    samples = collect_samples(
        (200, 800, 3_200), lambda n: len(control.encode_vm_list(n)) / 2
    )
    for target in (scale.NODES_PER_GROUP, scale.NODES):
        yield series("VM list, read each 2 s", "VMs", "B/s", samples, target, budget)
    samples = collect_samples((200, 800, 3_200), control.measure_link_vm_list_bytes)
    yield series(
        "VM list on the local link, each second", "VMs", "B/s", samples, scale.NODES
    )
    samples = collect_samples(service_counts, lambda n: control.measure_boot(n).bytes)
    for target in (scale.SERVICES_PER_GROUP, scale.SERVICES):
        yield series("bytes of a boot", "services", "B", samples, target)
    samples = collect_samples(
        (8, 64, 256), lambda n: control.measure_status_bytes(zone_size, n)
    )
    for target in (scale.SERVICES_PER_GROUP, scale.SERVICES):
        yield series(
            f"status value of {zone_size} nodes", "services", "B", samples, target, 1e6
        )
    samples = tuple(
        slopes_fit.Sample(n, control.measure_policy_memory(n)) for n in service_counts
    )
    for target in (scale.SERVICES_PER_GROUP, scale.SERVICES):
        yield series(
            "memory of the control policy",
            "services",
            "B",
            samples,
            target,
            scale.MEMORY_BUDGET_BYTES,
        )


def list_call_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of store calls, probes and delays."""
    control, scale, series = slopes_control, slopes_scale, slopes_fit.Series
    node_counts, service_counts = control.NODE_COUNTS, control.SERVICE_COUNTS
    zone_size, group_size = scale.NODES_PER_ZONE, scale.GROUP_NODES_PER_ZONE
    samples = collect_samples(node_counts, lambda n: control.measure_idle(n, 2)[2] * n)
    yield series(
        "store calls of a zone per hour, idle",
        "nodes of a zone",
        "calls",
        samples,
        zone_size,
    )
    samples = tuple(
        slopes_fit.Sample(1 / n, (control.measure_idle(n, 2)[2],)) for n in node_counts
    )
    yield series(
        "store calls per node-hour, idle",
        "1/(nodes of a zone)",
        "calls",
        samples,
        1 / zone_size,
    )
    samples = collect_samples(node_counts, lambda n: control.measure_one_edit(n)[1])
    yield series(
        "store calls of controls for an edit",
        "nodes of a zone",
        "calls",
        samples,
        zone_size,
    )
    samples = collect_samples(node_counts, control.measure_outage)
    yield series(
        f"store calls of a zone, outage of {control.OUTAGE_S:g} s",
        "nodes of a zone",
        "calls",
        samples,
        zone_size,
    )
    samples = collect_samples(node_counts, lambda n: control.measure_one_edit(n)[0])
    yield series(
        "edit in force in a zone",
        "nodes of a zone",
        "s",
        samples,
        zone_size,
        scale.EDIT_LIMIT_S,
    )
    samples = collect_samples(service_counts, lambda n: control.measure_boot(n).seconds)
    yield series(
        "boot until tables in force", "services", "s", samples, scale.SERVICES_PER_GROUP
    )
    samples = collect_samples(
        service_counts, lambda n: control.measure_idle(8, n)[3] * 8 / group_size
    )
    yield series(
        f"probes of a node, by {group_size} nodes",
        "services",
        "1/s",
        samples,
        scale.SERVICES_PER_GROUP,
    )
    samples = collect_samples(
        service_counts, lambda n: control.measure_idle(8, n)[3] * 8 / zone_size
    )
    yield series(
        f"probes of a node, by {zone_size} nodes",
        "services",
        "1/s",
        samples,
        scale.SERVICES,
    )


def list_timed_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of the control process's processor time."""
    control, scale = slopes_control, slopes_scale
    second_budget_us = scale.CORE_SHARE_BUDGET * 1e6
    services_per_group, service_counts = (
        scale.SERVICES_PER_GROUP,
        control.SERVICE_COUNTS,
    )
    group_size = scale.GROUP_NODES_PER_ZONE
    for name, unit, sizes, measure, targets, budget in (
        (
            "digest taken",
            "services",
            service_counts,
            control.measure_digest_us,
            (services_per_group, scale.SERVICES),
            None,
        ),
        (
            "table taken and delivered",
            "rows",
            (10, 30, 100),
            control.measure_table_us,
            (scale.ROWS_PER_SERVICE,),
            None,
        ),
        (
            "a second of ticks",
            "services",
            (2, 8, 32),
            lambda n: control.measure_ticks_us(n, group_size),
            (services_per_group, scale.SERVICES),
            second_budget_us,
        ),
        (
            "a second of ticks, 2 services",
            "nodes of a zone",
            control.NODE_COUNTS,
            lambda n: control.measure_ticks_us(2, n),
            (scale.NODES_PER_ZONE,),
            second_budget_us,
        ),
        (
            "VM list decoded and delivered",
            "VMs",
            (200, 800, 3_200),
            control.measure_vm_list_us,
            (scale.NODES_PER_GROUP, scale.NODES),
            second_budget_us * 2,
        ),
    ):
        samples = tuple(slopes_fit.Sample(size, measure(size)) for size in sizes)
        for target in targets:
            yield slopes_fit.Series(name, unit, "us", samples, target, budget, True)
