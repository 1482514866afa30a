"""Choice of the upstream for a new flow by outstanding work and learned speed."""

import random
import typing
from collections import abc

from pistachioshed.core import directory

# Shares of a request's typical latency. A request in another zone is worth two hops
# of about 1 ms; less than a fifth of the shortest job of the users' tables.
OTHER_ZONE_COST: typing.Final = 0.1
# Reports of peers are some ms old: balancers must not agree on one "best" upstream.
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

    refused: int
    silent: bool
    zone_silent: bool
    lapsed: bool


class Candidate(typing.NamedTuple):
    """An upstream that may take a new flow, with what is known of its load.

    `outstanding` is the sum over all balancers; `slowness` the ratio of its latency to
    the typical one of its service.
    """

    upstream: directory.Upstream
    outstanding: int
    slowness: float
    cold: bool
    tier: Tier


def estimate_cost(candidate: Candidate, zone: str) -> float:
    """Return the expected latency of one more request, in typical latencies."""
    slots = max(1, candidate.upstream.slots)
    slowness = candidate.slowness * (COLD_FACTOR if candidate.cold else 1.0)
    ahead = max(0, candidate.outstanding + 1 - slots)
    cost = slowness * (1.0 + ahead / slots)
    cost += BUSY_SLOT_COST * slowness * min(candidate.outstanding, slots - 1) / slots
    if candidate.upstream.zone != zone:
        cost += OTHER_ZONE_COST
    return cost


def choose_upstream(
    candidates: abc.Iterable[Candidate], zone: str, draw: random.Random
) -> Candidate | None:
    """Return the candidate with the least doubt, and of those the least cost."""
    best: Candidate | None = None
    best_rank: tuple[Tier, float] | None = None
    for candidate in candidates:
        cost = estimate_cost(candidate, zone) * (1.0 + JITTER * draw.random())
        rank = (candidate.tier, cost)
        if best_rank is None or rank < best_rank:
            best, best_rank = candidate, rank
    return best
