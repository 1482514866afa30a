"""Tests that the experiment tool detects the faults of simple policies."""

import pytest

from pistachioshed.lab import deployments, measures, policies, scenarios


def measure(scenario: str, policy: str) -> measures.Measures:
    """Run a short experiment and return its measures."""
    return measures.run_experiment(
        deployments.KRASOTAVA,
        scenarios.SCENARIOS[scenario],
        policy,
        policies.POLICIES[policy],
        seed=1,
        duration_s=25.0,
    )


@pytest.mark.parametrize(
    ("scenario", "policy"),
    [("steady", "round robin"), ("drain", "modulo"), ("drain", "consistent")],
)
def test_broken_flows_are_counted(scenario: str, policy: str) -> None:
    """Guard against an experiment that reports no broken flows for any policy."""
    result = measure(scenario, policy)
    assert sum(service.flows.broken for service in result.services) > 0
    assert result.violations


def test_runs_repeat_exactly() -> None:
    """Guard against random numbers that do not depend on the seed."""
    assert measure("steady", "consistent") == measure("steady", "consistent")
