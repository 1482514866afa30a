"""Choose the upstream for a new flow by outstanding requests and measured latency."""

import random
import typing
from collections import abc

from pistachioshed.core import directory

# Costs are fractions of a request's typical latency. A request to another zone costs
# two hops of about 1 ms, less than a fifth of the shortest expected request.
OTHER_ZONE_COST: typing.Final = 0.1
# Random part of the cost, so that balancers with the same known state do not all choose
# the same upstream.
JITTER: typing.Final = 0.1
# An upstream that has just started is expected to take 1.6 times as long.
COLD_FACTOR: typing.Final = 1.6
# Cost of each busy slot while another one is free. It spreads requests over idle
# upstreams and is lower than the cost of waiting for a slot.
BUSY_SLOT_COST: typing.Final = 0.25


class Tier(typing.NamedTuple):
    """Rank of a candidate; candidates with lower tuples are chosen first.

    `failed_offers` counts how often the upstream left this flow's opening unanswered.
    `suspected` is set if the upstream is suspected and no trial flow is due,
    `zone_partitioned` if its zone is unreachable, `lapsed` if its registration lapsed.
    """

    failed_offers: int
    suspected: bool
    zone_partitioned: bool
    lapsed: bool


PREFERRED_TIER: typing.Final = Tier(
    0, suspected=False, zone_partitioned=False, lapsed=False
)


class Candidate(typing.NamedTuple):
    """An upstream that may receive a new flow, with its known load.

    `outstanding` counts the unanswered requests of this balancer; `slowness` is the
    average ratio of the upstream's latency to the typical latency of the route; `cold`
    is set while the upstream is still slow after its start. `rejection_cost` is the
    cost of its recent rejections.
    """

    upstream: directory.Upstream
    outstanding: int
    slowness: float
    cold: bool
    tier: Tier
    rejection_cost: float = 0.0


Select = abc.Callable[[abc.Sequence[Candidate], str, random.Random], Candidate | None]
"""Return one of the candidates for a balancer in a zone, or None without candidates."""


def estimate_cost(candidate: Candidate, zone: str) -> float:
    """Return the expected latency of a new request as a ratio to the typical one."""
    slots = max(1, candidate.upstream.slots)
    outstanding = candidate.outstanding
    cost = candidate.slowness * (COLD_FACTOR if candidate.cold else 1.0)
    if outstanding:
        ahead = max(0, outstanding + 1 - slots)
        busy = min(outstanding, slots - 1)
        cost *= 1.0 + (ahead + BUSY_SLOT_COST * busy) / slots
    if candidate.upstream.zone != zone:
        cost += OTHER_ZONE_COST
    return cost


def choose_upstream(
    candidates: abc.Sequence[Candidate], zone: str, rng: random.Random
) -> Candidate | None:
    """Return the candidate of the lowest tier with the lowest randomized cost."""
    best: Candidate | None = None
    best_cost = 0.0
    for candidate in candidates:
        # Rejections do not belong to the expected latency: they are answered at once.
        cost = estimate_cost(candidate, zone) + candidate.rejection_cost
        cost *= 1.0 + JITTER * rng.random()
        if best is None or (candidate.tier, cost) < (best.tier, best_cost):
            best, best_cost = candidate, cost
    return best
