"""Runs of named faults, the bounds that hold under them and traces of violations."""

import itertools
import typing
from collections import abc

from pistachioshed.core import hashing
from pistachioshed.lab import deployments, faults, fleet, history


class Result(typing.NamedTuple):
    """The outcome of one run; `trace` explains the first violation."""

    names: tuple[str, ...]
    seed: int
    bounds: history.Bounds
    violations: tuple[history.Violation, ...]
    opened: int
    broken: int
    trace: tuple[str, ...]


def choose_bounds(chosen: abc.Iterable[faults.Fault]) -> history.Bounds:
    """Return the bounds of a run with some faults, besides the general rules."""
    kinds = [fault.kind for fault in chosen]
    kinds_without_failures = {faults.Kind.PLANNED, faults.Kind.HARMLESS}
    if set(kinds) <= kinds_without_failures:
        return history.Bounds(planned_only=True)
    if faults.Kind.PATH in kinds or kinds.count(faults.Kind.DEATH) > 1:
        return history.Bounds()
    if faults.Kind.DEATH in kinds and faults.Kind.PLANNED in kinds:
        return history.Bounds()
    return history.Bounds(flows_stay=True)


def list_fault_combinations() -> list[tuple[str, ...]]:
    """Return every fault alone and every pair, including each fault with itself."""
    pairs = itertools.combinations_with_replacement(faults.FAULTS, 2)
    return [(name,) for name in faults.FAULTS] + list(pairs)


def run_faults(
    names: abc.Sequence[str],
    seed: int,
    build: fleet.BuildNode,
    deployment: deployments.Deployment = deployments.KRASOTAVA,
) -> Result:
    """Inject faults with overlapping durations into a deployment under load.

    Parameters
    ----------
    names : sequence of str
        The faults, keys of `faults.FAULTS`.
    seed : int
        Seed of all randomness, including the times of the faults.
    build : callable
        Builds one balancer.
    deployment : Deployment
        The deployment to run; it is reduced in size before use.

    Returns
    -------
    Result
        The violations, with a trace of the first one.
    """
    context = faults.FaultContext(deployment, build, seed)
    experiment = context.experiment
    experiment.clock.schedule(
        faults.LOAD_FROM_S, lambda: experiment.start_load(faults.LOAD_UNTIL_S)
    )
    chosen = [faults.FAULTS[name] for name in names]
    for index, fault in enumerate(chosen):
        offset_s = (
            context.random.uniform(0.0, faults.MAX_FAULT_OFFSET_S) if index else 0.0
        )
        context.schedule(
            faults.FIRST_FAULT_AT_S + offset_s, _make_injection(fault, context)
        )
    experiment.clock.run_until(faults.END_S)
    experiment.fleet.end_live_intervals()
    bounds = choose_bounds(chosen)
    violations = history.check_history(experiment.fleet.records, bounds)
    counts = [source.get_counts() for source in experiment.sources.values()]
    return Result(
        tuple(names),
        seed,
        bounds,
        tuple(violations),
        sum(item.opened for item in counts),
        sum(item.broken for item in counts),
        tuple(trace_violation(context, violations[0])) if violations else (),
    )


def _make_injection(
    fault: faults.Fault, context: faults.FaultContext
) -> abc.Callable[[], None]:
    return lambda: fault.inject(context)


def trace_violation(
    context: faults.FaultContext, violation: history.Violation
) -> list[str]:
    """Return the faults, notices and records that concern a violation, by time."""
    records = context.experiment.fleet.records
    subject = violation.detail.split()[0]
    flow = subject.rsplit("-r", 1)[0]
    lines = [(at_s, text) for at_s, text in context.steps]
    for at_s, name, notice in context.experiment.fleet.notices:
        if at_s >= faults.FIRST_FAULT_AT_S:
            fields = " ".join(f"{key}={value}" for key, value in notice.fields.items())
            lines.append((at_s, f"{name}: {notice.name} {fields}"))
    last = ""
    for record in records:
        if isinstance(record, history.Delivery) and record.flow == flow:
            text = f"{flow} forwarded by {record.node} to {record.upstream}"
            if text != last:
                kind = "opening" if record.opening else "data"
                lines.append((record.at_s, f"{text} ({kind})"))
            last = text
        elif isinstance(record, history.OpeningRefused) and record.flow == flow:
            lines.append((record.at_s, f"{flow} refused by {record.node}"))
        elif isinstance(record, history.Operation) and record.caller == flow:
            if record.outcome != "ran":
                lines.append((record.invoked_s, f"{record.request} {record.outcome}"))
    key = find_flow_key(context, flow)
    if key is not None:
        service = flow.rpartition("-f")[0]
        lines += _trace_owners(context, hashing.fingerprint_flow(service, key))
    return [f"{at_s:7.3f} {text}" for at_s, text in sorted(lines)]


def find_flow_key(context: faults.FaultContext, flow: str) -> bytes | None:
    """Return the flow key for a caller's flow name, None if there is none."""
    service, found, number = flow.rpartition("-f")
    if not found or service not in context.experiment.sources or not number.isdigit():
        return None
    return int(number).to_bytes(6, "big")


def _trace_owners(
    context: faults.FaultContext, fingerprint: bytes
) -> abc.Iterator[tuple[float, str]]:
    for at_s, name, notice in context.experiment.fleet.notices:
        owners = notice.fields.get("owners")
        if notice.name == "view changed" and isinstance(owners, list):
            vms = context.experiment.fleet.vms
            choices = [
                hashing.Choice(owner, vms[owner].capacity)
                for owner in owners
                if owner in vms
            ]
            if at_s >= faults.FIRST_FAULT_AT_S:
                yield at_s, f"{name}: owner {hashing.find_best(fingerprint, choices)}"
