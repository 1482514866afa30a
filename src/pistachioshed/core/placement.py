"""Choice of the upstream for an opening."""

import typing
from collections import abc

from pistachioshed.core import flows, load, settings

# A moved flow costs one entry to add the exception and one to remove it. Half of the
# budget is left for flows that have to move and for table changes.
OVERRIDE_BYTES: typing.Final = 32
OVERRIDE_BUDGET_SHARE: typing.Final = 0.5
OVERRIDE_BURST_S: typing.Final = 10.0
# Recent requests differ less between equal hosts than latencies do.
RECENT_HYSTERESIS: typing.Final = 1.05


class Candidate(typing.NamedTuple):
    """A row that can admit the flow; `cold` if slow start asks to spare it."""

    upstream: flows.Upstream
    cold: bool


Policy = abc.Callable[
    [str | None, abc.Sequence[Candidate], float, float], flows.Upstream | None
]
"""Choose from the home's name, the candidates in rendezvous order, the typical
latency and the time; None refuses the opening."""


class OverrideBudget:
    """Tokens for moving flows, refilled at the rate that replication can carry.

    Parameters
    ----------
    config : Settings
        Holds the byte budget of replication.
    count_pending : callable
        Returns how many exceptions wait to be sent; with more than one second's
        worth of them there are no tokens.
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
        """Take one token, if there is one."""
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
    """Choose the home, or the next row that can admit the flow: weights only."""
    return candidates[0].upstream if candidates else None


def choose_home(
    home: str | None,
    candidates: abc.Sequence[Candidate],
    typical_latency_s: float,
    now: float,
) -> flows.Upstream | None:
    """Choose the home or nothing, for openings that carry requests."""
    if candidates and candidates[0].upstream.name == home:
        return candidates[0].upstream
    return None


def build_two_candidates(hysteresis: float, budget: OverrideBudget) -> Policy:
    """Return a policy that chooses the less loaded of the first two rows.

    Parameters
    ----------
    hysteresis : float
        The factor by which the home must be worse for the flow to move.
    budget : Budget
        Limits the flows that move away from a home that can admit them.
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
        # A flow whose home can not admit it is an exception wherever it goes.
        if first.upstream.name == home and not budget.take_token(now):
            return first.upstream
        return chosen

    return choose


def build_policy(
    config: settings.Settings, count_pending: abc.Callable[[], int]
) -> Policy:
    """Return the policy that the settings ask for."""
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
    # One more request on the second must not make it the worse one. The probed load is
    # below one request, so that it decides only between equal numbers.
    first_score = (first.load.count_recent(now) + first.load.probed) / first.load.weight
    second_score = (second.load.count_recent(now) + 1 + second.load.probed) / (
        second.load.weight
    )
    return first_score > RECENT_HYSTERESIS * second_score
