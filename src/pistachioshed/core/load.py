"""Load of upstreams as measured by this balancer, and its share of their limits."""

import math
import typing
from collections import abc

# With 0.2, the averages of equal hosts differ by a factor of 1.25 most of the time.
LATENCY_GAIN: typing.Final = 0.1
# Open flows include those that ended within the idle timeout, whereas recent requests
# reflect the flows in use.
RECENT_DECAY_S: typing.Final = 5.0
LATENCY_STALE_S: typing.Final = 10.0
LATENCY_MIN_S: typing.Final = 0.001


class Load:
    """The load of one upstream as known to this balancer.

    `open_flows` counts the flows that are bound to the upstream; new ones are admitted
    below `limit`. `weight` is that of the upstream's row. `waiting` counts the flows
    whose last request has no response yet. `recent` is an exponentially decayed count
    of requests as of `recent_at`. `heard_at` is when the upstream last sent a packet,
    `unanswered` counts the flows that started to wait since then, and
    `unanswered_since` is when the first of them did. `probed` is the load that the
    upstream last reported to a probe, limited by `pool.PROBED_LOAD_MAX`.
    """

    __slots__ = (
        "heard_at",
        "latency_at",
        "latency_s",
        "limit",
        "open_flows",
        "probed",
        "recent",
        "recent_at",
        "unanswered",
        "unanswered_since",
        "waiting",
        "weight",
    )

    def __init__(self) -> None:
        self.weight = 1.0
        self.limit = 0
        self.open_flows = 0
        self.waiting = 0
        self.unanswered = 0
        self.unanswered_since = 0.0
        self.heard_at = -math.inf
        self.latency_s = 0.0
        self.latency_at: float | None = None
        self.probed = 0.0
        self.recent = 0.0
        self.recent_at = 0.0

    def record_request(self, now: float) -> None:
        """Count a flow that starts to wait for a response."""
        if not self.unanswered:
            self.unanswered_since = now
        self.unanswered += 1
        self.waiting += 1
        self.recent = self.count_recent(now) + 1
        self.recent_at = now

    def record_response(self, latency_s: float, now: float) -> None:
        """Count a response to a waiting flow and add its latency to the average."""
        self.waiting -= 1
        if self.latency_at is None or now - self.latency_at > LATENCY_STALE_S:
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_GAIN * (latency_s - self.latency_s)
        self.latency_at = now

    def count_recent(self, now: float) -> float:
        """Return the decayed count of recent requests."""
        return self.recent * math.exp((self.recent_at - now) / RECENT_DECAY_S)

    def has_recent_latency(self, now: float) -> bool:
        """Return whether the average latency is recent enough to be used.

        An upstream that gets no flows yields no new samples, so an old high latency
        would keep flows away even after the upstream has recovered.
        """
        return self.latency_at is not None and now - self.latency_at <= LATENCY_STALE_S


def compute_typical_latency(loads: abc.Iterable[Load], now: float) -> float:
    """Return the mean recent latency, the default for upstreams without their own."""
    measured = [load.latency_s for load in loads if load.has_recent_latency(now)]
    if not measured:
        return LATENCY_MIN_S
    return max(LATENCY_MIN_S, sum(measured) / len(measured))


def score_load(load: Load, typical_latency_s: float, now: float) -> float:
    """Return the expected wait of one more request per unit of weight."""
    latency_s = load.latency_s if load.has_recent_latency(now) else typical_latency_s
    return (load.waiting + 1) * max(latency_s, LATENCY_MIN_S) / load.weight


def compute_limit_share(
    connections: int, name: str, capacities: abc.Mapping[str, float]
) -> int:
    """Return one balancer's share of a row's connection limit.

    The shares of all balancers with the same view add up to exactly the limit: each
    balancer gets the integers in its interval of the cumulative capacities, scaled to
    the limit.

    Parameters
    ----------
    connections : int
        The limit for the whole fleet.
    name : str
        The name of the balancer, a key of `capacities`.
    capacities : mapping of str to float
        The capacity of each balancer.
    """
    total = sum(capacities.values())
    below = sum(capacities[other] for other in sorted(capacities) if other < name)
    upto = below + capacities[name]
    # Adding half a connection rounds to the nearest integer instead of down.
    return int(connections * upto / total + 0.5) - int(
        connections * below / total + 0.5
    )
