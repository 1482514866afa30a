"""Tests of simulated deployments under load with faults, alone and in pairs."""

import pytest

from pistachioshed.core import events
from pistachioshed.lab import deployments, faultruns, faults, fleet, history, policies

KRASOTAVA = deployments.KRASOTAVA
ZILINA = deployments.ZILINA
PAIRS = (
    ("kill", "edit-half"),
    ("kill", "join"),
    ("kill", "leave"),
    ("kill", "host-slow"),
    ("kill", "doubled"),
    ("kill", "kill"),
    ("freeze", "drain-health"),
    ("freeze", "lost"),
    ("join", "drain-row"),
    ("join", "edit-half"),
    ("join", "edit-rapid"),
    ("leave", "drain-health"),
    ("leave", "edit-half"),
    ("leave", "edit-rapid"),
    ("leave", "leave"),
    ("restart", "limit"),
    ("restart", "edit-rapid"),
    ("restart", "reordered"),
    ("drain-row", "edit-rapid"),
    ("edit-half", "noise"),
    ("host-shedding", "limit"),
    ("host-lying", "restart"),
    ("host-restart", "drain-row"),
    ("zone-cut", "edit-rapid"),
    ("zone-cut", "drain-row"),
    ("zone-cut", "zone-cut"),
    ("late", "leave"),
)


def describe(result: faultruns.Result) -> str:
    """Return the violations and the trace of the first one."""
    broken = [f"{found.rule}: {found.detail}" for found in result.violations]
    return "\n".join([*broken, *result.trace])


@pytest.mark.parametrize("name", faults.FAULTS)
def test_rules_hold_under_a_fault(name: str) -> None:
    """Guard against a guarantee that does not hold under a single fault."""
    result = faultruns.run_faults((name,), 1, policies.build_core, ZILINA)
    assert result.opened > 300
    assert not result.violations, describe(result)


@pytest.mark.parametrize("names", PAIRS, ids="+".join)
def test_rules_hold_under_two_faults(names: tuple[str, ...]) -> None:
    """Guard against guarantees that hold under each fault but not under both."""
    result = faultruns.run_faults(names, 1, policies.build_core, KRASOTAVA)
    assert not result.violations, describe(result)


@pytest.mark.parametrize(
    ("names", "policy", "rule"),
    [
        (("drain-row",), "modulo", "flow survives"),
        (("edit-half", "join"), "consistent", "no request cut"),
        (("kill",), "round robin", "flow survives"),
    ],
    ids=str,
)
def test_baseline_policies_break_rules(
    names: tuple[str, ...], policy: str, rule: str
) -> None:
    """Guard against faults too weak to break the rules with baseline policies."""
    result = faultruns.run_faults(names, 1, policies.POLICIES[policy], KRASOTAVA)
    assert rule in {found.rule for found in result.violations}
    assert result.trace


def test_late_tables_are_reported() -> None:
    """Guard against late tables that go unnoticed because records are missing.

    The rule needs each balancer's versions in force and live intervals.
    """
    context = faults.FaultContext(KRASOTAVA, policies.build_core, 1)
    context.experiment.clock.run_until(5.0)
    faults.change_weight(context, "sheets", lambda name: 6.0)
    context.experiment.clock.run_until(15.0)
    context.experiment.fleet.end_live_intervals()
    found = history.check_history(context.experiment.fleet.records, history.Bounds())
    assert {violation.rule for violation in found} == {"edit in force"}
    assert len(found) == len(context.experiment.fleet.nodes)


def test_isolated_zones_do_not_reach_each_other() -> None:
    """Guard against two isolated zones that can still reach each other."""
    clock = fleet.Clock()
    network = fleet.Fleet(clock, 1, fleet.Delays())
    network.isolated_zones = {"riga-a", "riga-b"}
    assert network.can_reach("riga-a", "riga-a")
    assert not network.can_reach("riga-a", "riga-b")
    assert not network.can_reach("riga-a", "riga-c")


def test_invalid_events_are_dropped_and_change_nothing() -> None:
    """Guard against forged, corrupted or misdirected packets that take effect."""
    context = faults.FaultContext(KRASOTAVA, policies.build_core, 1)
    context.experiment.clock.run_until(8.0)
    nodes = context.experiment.fleet.nodes
    for name in sorted(nodes):
        for _ in range(20):
            for event in faults.build_invalid_events(context, name):
                actions = nodes[name].handle(event, context.experiment.clock.now)
                assert all(isinstance(a, events.DropPacket) for a in actions), event
    context.experiment.clock.run_until(20.0)
    assert {
        len(notice.fields["owners"])  # type: ignore[arg-type]
        for at_s, _, notice in context.experiment.fleet.notices
        if notice.name == "view changed" and at_s > 8.0
    } <= {len(nodes)}
