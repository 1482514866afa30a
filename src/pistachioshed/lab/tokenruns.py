"""Compare selection policies of balancers without flow state under load patterns."""

import math
import random
import statistics
import typing
from collections import abc

from pistachioshed.core import selection
from pistachioshed.lab import tokenfleet

LOAD_END_S: typing.Final = 20.0
EVENT_AT_S: typing.Final = 8.0
COMPLETION_TIME_S: typing.Final = 6.0  # Longer than any deadline in the users' system.
WINDOW_S: typing.Final = 2.0

Pattern = abc.Callable[[tokenfleet.TokenFleet], None]


class Outcome(typing.NamedTuple):
    """Measures of one run.

    `in_time`, `late` and `failed` are shares of the requests sent; `worst_window` is
    the lowest share served in time of the requests sent within two seconds. `shed`
    counts the requests rejected by a host whose queue was full.
    """

    pattern: str
    policy: str
    in_time: float
    late: float
    failed: float
    worst_window: float
    shed: float
    p99_ms: float
    control_bytes_per_balancer_s: float


def prepare_calm(token_fleet: tokenfleet.TokenFleet) -> None:
    """Change nothing."""


def prepare_burst(token_fleet: tokenfleet.TokenFleet) -> None:
    """Send requests at 1.7 times the rate for three seconds."""
    _schedule_rate_change(token_fleet, 1.7, 3.0)


def prepare_recovery(token_fleet: tokenfleet.TokenFleet) -> None:
    """Kill all balancers, so that their callers retry at about the same time."""
    for balancer in token_fleet.balancers:
        down_s = 1.2 + 0.5 * token_fleet.rng.random()
        _schedule_kill(token_fleet, balancer, down_s)


def prepare_herd(token_fleet: tokenfleet.TokenFleet) -> None:
    """Kill half of the balancers."""
    for balancer in token_fleet.balancers[::2]:
        _schedule_kill(token_fleet, balancer, 2.0)


def prepare_stragglers(token_fleet: tokenfleet.TokenFleet) -> None:
    """Reduce a fifth of the hosts to a fifth of their speed."""
    affected_hosts = list(token_fleet.hosts.values())[::5]

    def slow_down() -> None:
        for host in affected_hosts:
            host.speed /= 5

    token_fleet.clock.schedule(EVENT_AT_S, slow_down)


def prepare_silent_hosts(token_fleet: tokenfleet.TokenFleet) -> None:
    """Make a fifth of the hosts unresponsive at the start of a load burst.

    The burst has 1.5 times the rate for three seconds.
    """
    affected_hosts = list(token_fleet.hosts.values())[::5]

    def silence() -> None:
        for host in affected_hosts:
            host.up = False

    token_fleet.clock.schedule(EVENT_AT_S, silence)
    _schedule_rate_change(token_fleet, 1.5, 3.0)


PATTERNS: typing.Final[dict[str, Pattern]] = {
    "calm": prepare_calm,
    "burst": prepare_burst,
    "recovery": prepare_recovery,
    "herd": prepare_herd,
    "stragglers": prepare_stragglers,
    "silent hosts": prepare_silent_hosts,
}


def choose_at_random(
    candidates: abc.Sequence[selection.Candidate], zone: str, rng: random.Random
) -> selection.Candidate | None:
    """Return a random candidate of the lowest tier."""
    best = _find_lowest_tier(candidates)
    return rng.choice(best) if best else None


def choose_better_of_two(
    candidates: abc.Sequence[selection.Candidate], zone: str, rng: random.Random
) -> selection.Candidate | None:
    """Return the better of two random candidates of the lowest tier."""
    best = _find_lowest_tier(candidates)
    two_candidates = rng.sample(best, min(2, len(best)))
    return selection.choose_upstream(two_candidates, zone, rng)


POLICIES: typing.Final[dict[str, selection.Select]] = {
    "core": selection.choose_upstream,
    "two candidates": choose_better_of_two,
    "random": choose_at_random,
}


def run_pattern(
    pattern: str, policy: str, seed: int, site: tokenfleet.Site = tokenfleet.BOOKING
) -> Outcome:
    """Run a load pattern with a policy and return its measures."""
    token_fleet = tokenfleet.TokenFleet(site, POLICIES[policy], seed)
    PATTERNS[pattern](token_fleet)
    # Before the load begins, the balancers discover each other by reports.
    token_fleet.clock.schedule(2.0, lambda: token_fleet.start_load(LOAD_END_S))
    token_fleet.clock.run_until(LOAD_END_S + COMPLETION_TIME_S)
    return _measure(token_fleet, pattern, policy)


def run_seeds(pattern: str, policy: str, seeds: abc.Iterable[int]) -> Outcome:
    """Run a pattern with several seeds and return the median of each measure."""
    runs = [run_pattern(pattern, policy, seed) for seed in seeds]
    medians = [
        statistics.median(values)
        for values in zip(*(run[2:] for run in runs), strict=True)
    ]
    return Outcome._make((pattern, policy, *medians))


def format_outcomes(outcomes: abc.Iterable[Outcome]) -> str:
    """Return a Markdown table with a row per outcome."""
    lines = [
        "| pattern | policy | in time | late | failed | worst window | shed | p99 ms"
        " | control B/s |",
        "|" + "---|" * 9,
    ]
    lines += [
        f"| {row.pattern} | {row.policy} | {row.in_time:.4f} | {row.late:.4f}"
        f" | {row.failed:.4f} | {row.worst_window:.2f} | {row.shed:.0f}"
        f" | {row.p99_ms:.0f} | {row.control_bytes_per_balancer_s:.0f} |"
        for row in outcomes
    ]
    return "\n".join(lines)


def _measure(token_fleet: tokenfleet.TokenFleet, pattern: str, policy: str) -> Outcome:
    total = len(token_fleet.results)
    served = [result for result in token_fleet.results if result.outcome == "served"]
    in_time = [
        result
        for result in served
        if result.latency_s <= token_fleet.site.target_latency_s
    ]
    sent_counts: dict[int, int] = {}
    in_time_counts: dict[int, int] = {}
    for result in token_fleet.results:
        window = int(result.request.started_s / WINDOW_S)
        sent_counts[window] = sent_counts.get(window, 0) + 1
    for result in in_time:
        window = int(result.request.started_s / WINDOW_S)
        in_time_counts[window] = in_time_counts.get(window, 0) + 1
    latencies = sorted(result.latency_s for result in served)
    balancer_seconds = token_fleet.clock.now * token_fleet.site.balancers
    return Outcome(
        pattern,
        policy,
        len(in_time) / total,
        (len(served) - len(in_time)) / total,
        1 - len(served) / total,
        min(
            in_time_counts.get(window, 0) / count
            for window, count in sent_counts.items()
        ),
        token_fleet.shed,
        latencies[math.ceil(0.99 * len(latencies)) - 1] * 1000,
        token_fleet.sent_bytes / balancer_seconds,
    )


def _find_lowest_tier(
    candidates: abc.Sequence[selection.Candidate],
) -> list[selection.Candidate]:
    tier = min((candidate.tier for candidate in candidates), default=None)
    return [candidate for candidate in candidates if candidate.tier == tier]


def _schedule_kill(
    token_fleet: tokenfleet.TokenFleet, balancer: tokenfleet.Balancer, down_s: float
) -> None:
    token_fleet.clock.schedule(
        EVENT_AT_S, lambda: token_fleet.kill_balancer(balancer, down_s)
    )


def _schedule_rate_change(
    token_fleet: tokenfleet.TokenFleet, factor: float, duration_s: float
) -> None:
    def set_rate_factor(value: float) -> None:
        token_fleet.rate_factor = value

    token_fleet.clock.schedule(EVENT_AT_S, lambda: set_rate_factor(factor))
    token_fleet.clock.schedule(EVENT_AT_S + duration_s, lambda: set_rate_factor(1.0))
