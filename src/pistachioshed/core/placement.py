"""Placement policies: the choice of the upstream for an opening."""

import typing
from collections import abc

from pistachioshed.core import flows, load, settings

# Replicating an override takes one entry to add it and one to remove it. Half of the
# replication budget is reserved for flows that have to move and for table changes.
OVERRIDE_BYTES: typing.Final = 32
OVERRIDE_BUDGET_SHARE: typing.Final = 0.5
OVERRIDE_BURST_S: typing.Final = 10.0
# Between equal hosts, recent requests vary less than latencies, so a smaller factor
# than for latencies is enough.
RECENT_HYSTERESIS: typing.Final = 1.05


class Candidate(typing.NamedTuple):
    """An upstream that can admit the flow; `cold` if slow start excludes the flow."""

    upstream: flows.Upstream
    cold: bool


Policy = abc.Callable[
    [str | None, abc.Sequence[Candidate], float, float], flows.Upstream | None
]
"""Choose an upstream from the name of the flow's home, the candidates in rendezvous
order, the typical latency in seconds and the current time; None refuses the opening."""


class OverrideBudget:
    """Token bucket that limits new overrides to the rate that replication can carry.

    Parameters
    ----------
    config : Settings
        Provides the byte budget of replication.
    count_pending : callable
        Returns how many overrides wait to be sent. No token is granted while more than
        one second's worth of them are pending.
    """

    def __init__(
        self, config: settings.Settings, count_pending: abc.Callable[[], int]
    ) -> None:
        self.tokens_per_s = (
            config.replication_bytes_per_s * OVERRIDE_BUDGET_SHARE / OVERRIDE_BYTES
        )
        self.burst = self.tokens_per_s * OVERRIDE_BURST_S
        self.tokens = self.burst
        self.refilled_at = 0.0
        self.count_pending = count_pending

    def take_token(self, now: float) -> bool:
        """Take one token if available and return whether it was."""
        gained = (now - self.refilled_at) * self.tokens_per_s
        self.tokens = min(self.burst, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1 or self.count_pending() > self.burst:
            return False
        self.tokens -= 1
        return True


def choose_first(
    home: str | None,
    candidates: abc.Sequence[Candidate],
    typical_latency_s: float,
    now: float,
) -> flows.Upstream | None:
    """Choose the home or the next upstream that can admit the flow, by weight only."""
    return candidates[0].upstream if candidates else None


def choose_home(
    home: str | None,
    candidates: abc.Sequence[Candidate],
    typical_latency_s: float,
    now: float,
) -> flows.Upstream | None:
    """Choose the home or refuse the opening; for openings that carry requests."""
    if candidates and candidates[0].upstream.name == home:
        return candidates[0].upstream
    return None


def build_two_candidates(hysteresis: float, budget: OverrideBudget) -> Policy:
    """Return a policy that chooses the less loaded of the first two candidates.

    Parameters
    ----------
    hysteresis : float
        The factor by which the score of the first candidate must exceed that of the
        second for the flow to move.
    budget : OverrideBudget
        Limits the flows that are moved from a home that can admit them.
    """

    def choose(
        home: str | None,
        candidates: abc.Sequence[Candidate],
        typical_latency_s: float,
        now: float,
    ) -> flows.Upstream | None:
        if not candidates:
            return None
        first = candidates[0]
        warm = [candidate.upstream for candidate in candidates if not candidate.cold]
        if not warm:
            return first.upstream
        if first.cold:
            chosen = warm[0]
        elif len(warm) > 1 and _is_more_loaded(
            warm[0], warm[1], typical_latency_s, now, hysteresis
        ):
            chosen = warm[1]
        else:
            return first.upstream
        # A flow whose home cannot admit it needs an override on any upstream.
        if first.upstream.name == home and not budget.take_token(now):
            return first.upstream
        return chosen

    return choose


def build_policy(
    config: settings.Settings, count_pending: abc.Callable[[], int]
) -> Policy:
    """Return the policy that the settings select."""
    if config.openings_carry_requests:
        return choose_home
    return build_two_candidates(
        config.hysteresis, OverrideBudget(config, count_pending)
    )


def _is_more_loaded(
    first: flows.Upstream,
    second: flows.Upstream,
    typical_latency_s: float,
    now: float,
    hysteresis: float,
) -> bool:
    first_score = load.score_load(first.load, typical_latency_s, now)
    second_score = load.score_load(second.load, typical_latency_s, now)
    if first_score > second_score * hysteresis:
        return True
    if second_score > first_score * hysteresis:
        return False
    # One more request on the second upstream must not make it the more loaded one. The
    # probed load is below one request, so it only breaks ties between equal counts.
    first_score = (first.load.count_recent(now) + first.load.probed) / first.load.weight
    second_score = (second.load.count_recent(now) + 1 + second.load.probed) / (
        second.load.weight
    )
    return first_score > RECENT_HYSTERESIS * second_score
