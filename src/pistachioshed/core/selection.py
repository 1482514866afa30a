"""Choice of the upstream for a new flow by outstanding work and learned speed."""

import random
import typing
from collections import abc

from pistachioshed.core import directory

# Shares of a request's typical latency. A request in another zone is worth two hops
# of about 1 ms; less than a fifth of the shortest job of the users' tables.
OTHER_ZONE_COST: typing.Final = 0.1
# Balancers with the same view must not agree on one "best" upstream.
JITTER: typing.Final = 0.1
# The users' tables: an upstream that has just started takes 1.6 times as long.
COLD_FACTOR: typing.Final = 1.6
# Share of a request's latency that a busy slot costs while another one is free: spreads
# requests over idle upstreams, and stays below the cost of waiting.
BUSY_SLOT_COST: typing.Final = 0.25


class Tier(typing.NamedTuple):
    """How doubtful a candidate is; lower tuples are offered a flow first.

    `refused` counts how often this very flow was already offered to it.
    """

    failed_offers: int
    suspected: bool
    zone_partitioned: bool
    lapsed: bool


PREFERRED_TIER: typing.Final = Tier(
    0, suspected=False, zone_partitioned=False, lapsed=False
)


class Candidate(typing.NamedTuple):
    """An upstream that may take a new flow, with what is known of its load.

    `outstanding` counts the requests of this balancer; `slowness` is the ratio of its
    latency to the typical one of its service.
    """

    upstream: directory.Upstream
    outstanding: int
    slowness: float
    cold: bool
    tier: Tier


Select = abc.Callable[[abc.Sequence[Candidate], str, random.Random], Candidate | None]
"""Chooses for a balancer of a zone; None if there is no candidate."""


def estimate_cost(candidate: Candidate, zone: str) -> float:
    """Return the expected latency of one more request, in typical latencies."""
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
    """Return the candidate with the least doubt, and of those the least cost."""
    best: Candidate | None = None
    best_cost = 0.0
    for candidate in candidates:
        cost = estimate_cost(candidate, zone) * (1.0 + JITTER * rng.random())
        if best is None or (candidate.tier, cost) < (best.tier, best_cost):
            best, best_cost = candidate, cost
    return best
