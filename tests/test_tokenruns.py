"""Tests of selection policies under load patterns, in virtual time."""

import pytest
import typer.testing

from pistachioshed.apps import lab
from pistachioshed.lab import tokenfleet, tokenruns

# The users' targets: at least 0.90 of the requests served in time in the worst two
# seconds, and at most one request in a thousand not served.
MIN_WINDOW_SHARE = 0.90
MAX_FAILED_SHARE = 0.001


@pytest.mark.parametrize("pattern", ["calm", "burst", "stragglers", "silent hosts"])
def test_requests_are_served_in_time_under_load(pattern: str) -> None:
    """Guard against placement that lets requests queue while hosts are idle.

    The patterns are steady load, 1.7 times the load for three seconds, a fifth of the
    hosts five times slower, and a fifth of the hosts silent during a burst.
    """
    outcome = tokenruns.run_pattern(pattern, "core", 1)
    assert outcome.worst_window >= MIN_WINDOW_SHARE
    assert outcome.failed <= MAX_FAILED_SHARE


@pytest.mark.parametrize("pattern", ["recovery", "stragglers"])
def test_core_policy_beats_random_choice(pattern: str) -> None:
    """Guard against a core policy that is no better than a random choice.

    The core policy uses the known loads and speeds of the hosts.
    """
    core = tokenruns.run_pattern(pattern, "core", 2)
    random_choice = tokenruns.run_pattern(pattern, "random", 2)
    assert core.in_time > random_choice.in_time
    assert core.shed < random_choice.shed


def test_control_traffic_of_a_large_fleet_is_bounded() -> None:
    """Guard against report traffic that grows with the square of the fleet size."""
    site = tokenfleet.BOOKING._replace(balancers=80, hosts=60)
    outcome = tokenruns.run_pattern("silent hosts", "core", 1, site)
    assert outcome.control_bytes_per_balancer_s <= 9_000


def test_runs_repeat_with_their_seed() -> None:
    """Guard against runs that give different measures for the same seed."""
    first = tokenruns.run_pattern("herd", "core", 3)
    assert tokenruns.run_pattern("herd", "core", 3) == first


def test_the_command_prints_a_row_per_pattern_and_policy() -> None:
    """Guard against a command line that no longer matches the experiments."""
    runner = typer.testing.CliRunner()
    arguments = ["tokens", "--pattern", "calm", "--policy", "random", "--seeds", "1"]
    result = runner.invoke(lab.app, arguments)
    assert result.exit_code == 0
    assert "| calm | random |" in result.stdout
    assert runner.invoke(lab.app, ["tokens", "--policy", "no such"]).exit_code == 2
