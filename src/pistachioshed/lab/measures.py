"""Run an experiment and calculate its measures."""

import typing
from collections import abc

from hdrh import histogram

from pistachioshed.lab import (
    callers,
    deployments,
    experiment,
    fleet,
    history,
    scenarios,
)

WARM_UP_S: typing.Final = 10.0
# Flows last about 15 s, so nearly all flows open after this time were placed after the
# change.
IMBALANCE_FROM_S: typing.Final = 40.0
SAMPLE_INTERVAL_S: typing.Final = 1.0
MAX_LATENCY_US: typing.Final = 60_000_000


class ServiceMeasures(typing.NamedTuple):
    """Measures of one service.

    `imbalance` is the maximum over the mean of open connections per weight. It is
    sampled once a second after most flows placed before the change have ended, and
    averaged. `opened_imbalance` is the same ratio of the flows opened in that time.
    Latencies are in milliseconds. `worst_load` is the highest share of a host's
    slot-seconds that was in use.
    """

    service: str
    flows: callers.CallerCounts
    requests: int
    imbalance: float
    opened_imbalance: float
    p50_ms: float
    p99_ms: float
    worst_load: float


class Measures(typing.NamedTuple):
    """Measures of one experiment."""

    scenario: str
    policy: str
    services: tuple[ServiceMeasures, ...]
    violations: tuple[history.Violation, ...]
    control_bytes_per_node_s: float
    relayed_share: float
    drops: dict[str, int]


def run_experiment(
    deployment: deployments.Deployment,
    scenario: scenarios.Scenario,
    policy: str,
    build: fleet.BuildNode,
    seed: int,
    duration_s: float = 60.0,
) -> Measures:
    """Run a scenario on a deployment with balancers of one policy.

    Parameters
    ----------
    deployment : Deployment
        Zones, balancers, services and load.
    scenario : Scenario
        The changes made during the run.
    policy : str
        Name of the policy, for the report.
    build : callable
        Returns a new balancer.
    seed : int
        Seed of all random numbers of the run.
    duration_s : float
        Virtual seconds of load; the run lasts 15 s longer so that flows can end.

    Returns
    -------
    Measures
        The measures of the run.
    """
    lab = experiment.Experiment(deployment, build, seed)
    scenario.prepare(lab)
    samples: dict[str, list[float]] = {
        service.name: [] for service in deployment.services
    }
    lab.clock.schedule(
        min(IMBALANCE_FROM_S, duration_s / 2),
        lambda: _start_sampling(lab, samples, duration_s),
    )
    lab.clock.schedule(3.0, lambda: lab.start_load(duration_s))
    lab.clock.run_until(duration_s + 15.0)
    lab.fleet.end_live_intervals()
    bounds = history.Bounds(planned_only=scenario.planned)
    violations = history.check_history(lab.fleet.records, bounds)
    packets = sum(isinstance(record, history.Delivery) for record in lab.fleet.records)
    node_seconds = lab.clock.now * max(len(lab.fleet.nodes), 1)
    return Measures(
        scenario.name,
        policy,
        tuple(
            _measure_service(lab, service.name, samples[service.name], duration_s)
            for service in deployment.services
        ),
        tuple(violations),
        sum(lab.fleet.control_bytes.values()) / node_seconds,
        lab.fleet.relay_count / max(packets, 1),
        dict(lab.fleet.drops),
    )


def _start_sampling(
    lab: experiment.Experiment, samples: dict[str, list[float]], end_s: float
) -> None:
    for host in lab.fleet.hosts.values():
        host.accepted_connections = 0
    _take_sample(lab, samples, end_s)


def _take_sample(
    lab: experiment.Experiment, samples: dict[str, list[float]], end_s: float
) -> None:
    for service, values in samples.items():
        imbalance = _calculate_imbalance(
            lab, service, lambda host: float(len(host.connections))
        )
        if imbalance is not None:
            values.append(imbalance)
    if lab.clock.now < end_s:
        lab.clock.schedule(SAMPLE_INTERVAL_S, lambda: _take_sample(lab, samples, end_s))


def _calculate_imbalance(
    lab: experiment.Experiment, service: str, measure: abc.Callable[[typing.Any], float]
) -> float | None:
    values = [
        measure(lab.fleet.hosts[service, row.upstream]) / row.weight
        for row in lab.tables[service].rows
        if row.state == "active" and row.weight > 0
    ]
    mean = sum(values) / len(values)
    return max(values) / mean if mean else None


def _measure_service(
    lab: experiment.Experiment, service: str, samples: list[float], duration_s: float
) -> ServiceMeasures:
    source = lab.sources[service]
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for invoked_s, latency_s in source.latencies_s:
        if invoked_s >= WARM_UP_S:
            latencies.record_value(max(1, int(latency_s * 1_000_000)))
    opened_imbalance = _calculate_imbalance(
        lab, service, lambda host: float(host.accepted_connections)
    )
    hosts = [host for host in lab.fleet.hosts.values() if host.service == service]
    return ServiceMeasures(
        service,
        source.get_counts(),
        len(source.latencies_s),
        sum(samples) / len(samples) if samples else 0.0,
        opened_imbalance or 0.0,
        latencies.get_value_at_percentile(50) / 1_000,
        latencies.get_value_at_percentile(99) / 1_000,
        max(host.busy_s / (duration_s * host.slots) for host in hosts),
    )
