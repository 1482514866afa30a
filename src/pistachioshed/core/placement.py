"""Choice of the upstream for an opening."""

import typing
from collections import abc

from pistachioshed.core import flows, load, settings

# A moved flow costs one entry to add the exception and one to remove it. Half of the
# budget is left for flows that have to move and for table changes.
DEFLECTION_BYTES: typing.Final = 64
DEFLECTION_SHARE: typing.Final = 0.5
DEFLECTION_BURST_S: typing.Final = 10.0
# Open flows differ less between equal hosts than latencies do.
OPEN_FLOWS_HYSTERESIS: typing.Final = 1.05

Policy = abc.Callable[
    [str | None, abc.Sequence[flows.Upstream], float, float], flows.Upstream | None
]
"""Choose from the home's name, the rows that can admit the flow in rendezvous order,
the typical latency and the time; None refuses the opening."""


class Budget:
    """Tokens for deflections, refilled at a constant rate."""

    def __init__(self, per_s: float, burst_s: float) -> None:
        self.per_s = per_s
        self.most = per_s * burst_s
        self.tokens = self.most
        self.filled_at = 0.0

    def take(self, now: float) -> bool:
        """Take one token, if there is one."""
        self.tokens = min(self.most, self.tokens + (now - self.filled_at) * self.per_s)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def build_budget(config: settings.Settings) -> Budget:
    """Return the budget of deflections that replication can carry."""
    per_s = config.replication_bytes_per_s * DEFLECTION_SHARE / DEFLECTION_BYTES
    return Budget(per_s, DEFLECTION_BURST_S)


def choose_first(
    home: str | None,
    admitted: abc.Sequence[flows.Upstream],
    typical_s: float,
    now: float,
) -> flows.Upstream | None:
    """Choose the home, or the next row that can admit the flow: weights only."""
    return admitted[0] if admitted else None


def choose_home(
    home: str | None,
    admitted: abc.Sequence[flows.Upstream],
    typical_s: float,
    now: float,
) -> flows.Upstream | None:
    """Choose the home or nothing, for openings that carry requests."""
    return admitted[0] if admitted and admitted[0].name == home else None


def build_two_candidates(config: settings.Settings, budget: Budget) -> Policy:
    """Return a policy that chooses the less loaded of the first two rows.

    Parameters
    ----------
    config : Settings
        Holds the hysteresis: the factor by which the home must be worse.
    budget : Budget
        Limits the flows moved away from an admitting home.
    """

    def choose(
        home: str | None,
        admitted: abc.Sequence[flows.Upstream],
        typical_s: float,
        now: float,
    ) -> flows.Upstream | None:
        if len(admitted) < 2:
            return admitted[0] if admitted else None
        first, second = admitted[0], admitted[1]
        if not _is_worse(first.load, second.load, typical_s, now, config.hysteresis):
            return first
        # A flow whose home can not admit it is an exception wherever it goes.
        if first.name == home and not budget.take(now):
            return first
        return second

    return choose


def build_policy(config: settings.Settings) -> Policy:
    """Return the policy that the settings ask for."""
    if config.openings_carry_requests:
        return choose_home
    return build_two_candidates(config, build_budget(config))


def _is_worse(
    first: load.Load,
    second: load.Load,
    typical_s: float,
    now: float,
    hysteresis: float,
) -> bool:
    ours = load.score_load(first, typical_s, now)
    theirs = load.score_load(second, typical_s, now)
    if ours > theirs * hysteresis:
        return True
    if theirs > ours * hysteresis:
        return False
    # One more flow on the second must not make it the worse one.
    return (
        first.open / first.weight
        > OPEN_FLOWS_HYSTERESIS * (second.open + 1) / second.weight
    )
