"""The experiment tool tells good balancers from bad ones."""

import pytest

from pistachioshed.lab import deployments, measures, policies, scenarios


def measure(scenario: str, policy: str) -> measures.Measures:
    """Run a short experiment."""
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
    """Guards against an experiment that finds nothing broken whatever is run."""
    result = measure(scenario, policy)
    assert sum(service.flows.broken for service in result.services) > 0
    assert result.violations


def test_runs_repeat_exactly() -> None:
    """Guards against randomness that does not come from the seed."""
    assert measure("steady", "consistent") == measure("steady", "consistent")
