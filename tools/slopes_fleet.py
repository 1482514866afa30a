"""The series of the control process: what is measured and the sizes it is for."""

import functools
import typing
from collections import abc

from tools import slopes_control, slopes_fit, slopes_scale

FIELDS: typing.Final = (
    ("mean node", "mean_bytes_per_s"),
    ("busiest node", "max_bytes_per_s"),
)

Measure = abc.Callable[[typing.Any], float]


def sample(
    sizes: abc.Iterable[float], measure: Measure
) -> tuple[slopes_fit.Sample, ...]:
    """Count at each size."""
    return tuple(slopes_fit.Sample(size, (measure(size),)) for size in sizes)


def list_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of the control process, exact ones first."""
    yield from list_byte_series()
    yield from list_call_series()
    yield from list_timed_series()


def list_byte_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of bytes."""
    control, scale, series = slopes_control, slopes_scale, slopes_fit.Series
    budget = scale.CONTROL_BYTES_PER_S
    nodes, services = control.NODES, control.SERVICES
    zone, group = scale.ZONE_NODES, scale.GROUP_NODES_PER_ZONE
    for name, field in (
        ("mean node", "mean_bytes_per_s"),
        ("busiest node", "max_bytes_per_s"),
    ):
        found = sample(nodes, functools.partial(control.measure_idle_bytes, 2, field))
        yield series(
            f"bus bytes, {name}, 2 services",
            "nodes of a zone",
            "B/s",
            found,
            zone,
            budget,
        )
    for name, field in (
        ("mean node", "mean_bytes_per_s"),
        ("busiest node", "max_bytes_per_s"),
    ):
        found = sample(
            services, functools.partial(control.measure_service_bytes, 8, field)
        )
        for target in (scale.SERVICES_PER_GROUP, scale.SERVICES):
            yield series(
                f"bus bytes, {name} of 8", "services", "B/s", found, target, budget
            )
    found = sample(services, lambda n: control.measure_idle(group, n)[1])
    yield series(
        f"bus bytes, busiest node of {group}",
        "services",
        "B/s",
        found,
        scale.SERVICES_PER_GROUP,
        budget,
    )
    found = sample(control.RATES, lambda n: control.measure_edits(n)[1])
    yield series(
        "bus bytes, busiest node of 8, 2 services",
        "edits/s",
        "B/s",
        found,
        scale.EDITS_PER_S,
        budget,
    )
    found = sample((200, 800, 3_200), lambda n: len(control.encode_vms(n)) / 2)
    for target in (scale.GROUP, scale.NODES):
        yield series("VM list, read each 2 s", "VMs", "B/s", found, target, budget)
    found = sample((200, 800, 3_200), control.encode_link_vms)
    yield series(
        "VM list on the local link, each second", "VMs", "B/s", found, scale.NODES
    )
    found = sample(services, lambda n: control.measure_boot(n).bytes)
    for target in (scale.SERVICES_PER_GROUP, scale.SERVICES):
        yield series("bytes of a boot", "services", "B", found, target)
    found = sample((8, 64, 256), lambda n: control.measure_status_bytes(zone, n))
    for target in (scale.SERVICES_PER_GROUP, scale.SERVICES):
        yield series(
            f"status value of {zone} nodes", "services", "B", found, target, 1e6
        )
    found = tuple(
        slopes_fit.Sample(n, control.measure_policy_memory(n)) for n in services
    )
    for target in (scale.SERVICES_PER_GROUP, scale.SERVICES):
        yield series(
            "memory of the control policy",
            "services",
            "B",
            found,
            target,
            scale.MEMORY_BYTES,
        )


def list_call_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of calls, probes and delays."""
    control, scale, series = slopes_control, slopes_scale, slopes_fit.Series
    nodes, services = control.NODES, control.SERVICES
    zone, group = scale.ZONE_NODES, scale.GROUP_NODES_PER_ZONE
    found = sample(nodes, lambda n: control.measure_idle(n, 2)[2] * n)
    yield series(
        "store calls of a zone per hour, idle", "nodes of a zone", "calls", found, zone
    )
    found = tuple(
        slopes_fit.Sample(1 / n, (control.measure_idle(n, 2)[2],)) for n in nodes
    )
    yield series(
        "store calls per node-hour, idle",
        "1/(nodes of a zone)",
        "calls",
        found,
        1 / zone,
    )
    found = sample(nodes, lambda n: control.measure_edit(n)[1])
    yield series(
        "store calls of controls for an edit", "nodes of a zone", "calls", found, zone
    )
    found = sample(nodes, control.measure_outage)
    yield series(
        f"store calls of a zone, outage of {control.OUTAGE_S:g} s",
        "nodes of a zone",
        "calls",
        found,
        zone,
    )
    found = sample(nodes, lambda n: control.measure_edit(n)[0])
    yield series(
        "edit in force in a zone",
        "nodes of a zone",
        "s",
        found,
        zone,
        scale.EDIT_LIMIT_S,
    )
    found = sample(services, lambda n: control.measure_boot(n).seconds)
    yield series(
        "boot until tables in force", "services", "s", found, scale.SERVICES_PER_GROUP
    )
    found = sample(services, lambda n: control.measure_idle(8, n)[3] * 8 / group)
    yield series(
        f"probes of a node, by {group} nodes",
        "services",
        "1/s",
        found,
        scale.SERVICES_PER_GROUP,
    )
    found = sample(services, lambda n: control.measure_idle(8, n)[3] * 8 / zone)
    yield series(
        f"probes of a node, by {zone} nodes", "services", "1/s", found, scale.SERVICES
    )


def list_timed_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of processor time."""
    control, scale = slopes_control, slopes_scale
    core_us = scale.CORE_SHARE * 1e6
    group, services = scale.SERVICES_PER_GROUP, control.SERVICES
    nodes = scale.GROUP_NODES_PER_ZONE
    for name, unit, sizes, measure, targets, budget in (
        (
            "digest taken",
            "services",
            services,
            control.measure_digest_us,
            (group, scale.SERVICES),
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
            lambda n: control.measure_second_us(n, nodes),
            (group, scale.SERVICES),
            core_us,
        ),
        (
            "a second of ticks, 2 services",
            "nodes of a zone",
            control.NODES,
            lambda n: control.measure_second_us(2, n),
            (scale.ZONE_NODES,),
            core_us,
        ),
        (
            "VM list decoded and delivered",
            "VMs",
            (200, 800, 3_200),
            control.measure_vms_us,
            (scale.GROUP, scale.NODES),
            core_us * 2,
        ),
    ):
        found = tuple(slopes_fit.Sample(size, measure(size)) for size in sizes)
        for target in targets:
            yield slopes_fit.Series(name, unit, "us", found, target, budget, True)
