"""Compute measures and broken promises from the records of a demonstration."""

import collections
import statistics
import typing
import urllib.request
from collections import abc

from pistachioshed.lab import history
from tools import fleet, layouts

JSON = dict[str, typing.Any]
METRIC_PREFIX: typing.Final = "pistachioshed_balancer"


class Measures(typing.NamedTuple):
    """The measures of one deployment's run."""

    answered: int
    flows: int
    broken: int
    imbalance: float
    not_run: int
    unknown: int
    edit_s: float
    repeated: int
    violations: tuple[history.Violation, ...]


def read_records(process_fleet: fleet.Fleet) -> list[history.Record]:
    """Return the history records that callers and upstreams wrote."""
    operations = [
        history.Operation(
            caller=line["caller"],
            service=line["service"],
            request=line["request"],
            idempotent=line["idempotent"],
            invoked_s=line["invoked"],
            returned_s=line["returned"],
            outcome=line["outcome"],
            answer=line.get("answer"),
            whole=line.get("whole", True),
        )
        for line in fleet.read_lines(process_fleet.history_file)
        if "operation" in line
    ]
    return [*operations, *read_upstream_records(process_fleet)]


def read_upstream_records(process_fleet: fleet.Fleet) -> abc.Iterator[history.Record]:
    """Yield an execution for each request, and a delivery for each opening."""
    for line in fleet.read_lines(process_fleet.executions_file):
        service, host, at_s = line["service"], line["host"], line["time"]
        if "request" in line:
            yield history.Execution(service, host, line["request"], at_s)
        else:
            flow = line["flow"]
            yield history.Delivery(service, flow, host, service, True, at_s)


def measure_run(
    process_fleet: fleet.Fleet,
    change_records: abc.Sequence[history.Record],
    bounds: history.Bounds,
    samples: abc.Sequence[dict[str, int]],
    edit_s: float,
) -> Measures:
    """Compute the measures of a run and check its history against the bounds.

    Parameters
    ----------
    process_fleet : fleet.Fleet
        The fleet whose records are read.
    change_records : sequence of Record
        Changes that the demonstration made, such as draining an upstream.
    bounds : Bounds
        The bounds that the run has to keep.
    samples : sequence of dict of str to int
        Open connections per host, sampled while all hosts were active.
    edit_s : float
        Seconds until the edit was in force everywhere.
    """
    records = [*read_records(process_fleet), *change_records]
    lines = fleet.read_lines(process_fleet.history_file)
    flows = [line for line in lines if "flow" in line]
    outcomes = collections.Counter(
        record.outcome for record in records if isinstance(record, history.Operation)
    )
    repeated = len(list(history.find_repeated_executions(records, bounds)))
    return Measures(
        answered=outcomes["ran"],
        flows=len(flows),
        broken=sum(bool(line["broken"]) for line in flows),
        imbalance=measure_imbalance(process_fleet.layout, samples),
        not_run=outcomes["not run"],
        unknown=outcomes["unknown"],
        edit_s=edit_s,
        repeated=repeated,
        violations=tuple(history.check_history(records, bounds)),
    )


def measure_imbalance(
    layout: layouts.Layout,
    samples: abc.Sequence[dict[str, int]],
) -> float:
    """Return the largest imbalance of any service.

    The imbalance is the maximum over the mean of the hosts' average open connections.
    """
    ratios = [1.0]
    for service in layout.services:
        hosts = [name for name in samples[0] if name.startswith(f"{service.name}-")]
        means = [statistics.fmean(sample[name] for sample in samples) for name in hosts]
        if any(means):
            ratios.append(max(means) / statistics.fmean(means))
    return max(ratios)


def sample_connections(layout: layouts.Layout) -> dict[str, int]:
    """Return the number of open connections of each host."""
    sample: dict[str, int] = {}
    for service_index in range(len(layout.services)):
        for row in layout.build_table(service_index).rows:
            state = fleet.get_json(f"http://{row.address}/admin")
            sample[row.upstream] = state["connections"]
    return sample


def read_version(address: str, service: str) -> int:
    """Return the table version in force on a balancer, 0 without one."""
    return read_gauge(address, "table_version", service)


def read_gauge(address: str, name: str, service: str = "") -> int:
    """Return a balancer's gauge, 0 if it is missing or the balancer is unreachable."""
    try:
        with urllib.request.urlopen(f"http://{address}/metrics", timeout=1) as response:
            lines = response.read().decode().splitlines()
    except OSError:
        return 0
    labels = f'{{service="{service}"}}' if service else ""
    prefix = f"{METRIC_PREFIX}_{name}{labels} "
    values = [line[len(prefix) :] for line in lines if line.startswith(prefix)]
    return int(float(values[0])) if values else 0


def format_table(layout: layouts.Layout, measures: Measures) -> str:
    """Return one deployment's measures as a text table."""
    rows = (
        ("requests answered", f"{measures.answered}"),
        ("flows", f"{measures.flows}"),
        ("broken flows", f"{measures.broken}"),
        ("imbalance (max/mean connections)", f"{measures.imbalance:.2f}"),
        ("not run", f"{measures.not_run}"),
        ("unknown", f"{measures.unknown}"),
        ("seconds until the edit is in force", f"{measures.edit_s:.2f}"),
        ("executions more than once", f"{measures.repeated}"),
        ("broken promises", f"{len(measures.violations)}"),
    )
    lines = [layout.title, *(f"  {label:<36}{value:>10}" for label, value in rows)]
    lines += [
        f"  {violation.rule}: {violation.detail}" for violation in measures.violations
    ]
    return "\n".join(lines)
