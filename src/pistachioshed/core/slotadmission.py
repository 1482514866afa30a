"""Decide whether an opening is admitted to a service with few free slots.

An opening that is refused before its flow is open has certainly not run, and its caller
learns it at once. Without a refusal it would wait in the queue of an upstream until its
caller has given up, or be rejected there.
"""

import math
import typing
from collections import abc

from pistachioshed.core import loadtable, routing

# The lowest priority waits for this part of its target latency at most, so that it is
# still answered in time if its work takes half of it.
LOWEST_WAIT_SHARE: typing.Final = 0.25
# The typical latency as a part of the target latency while it is not known. In the
# users' expected traffic the mean work is a quarter of the target.
UNKNOWN_LATENCY_SHARE: typing.Final = 0.25
LATENCY_MIN_S: typing.Final = 0.001  # Less than the round trip time of any flow.
# Part of the slots that the lower priorities of a service keep together.
RESERVED_SHARE: typing.Final = 0.1
# A permit is needed for one opening; more would admit bursts.
PERMITS_MAX: typing.Final = 2.0
# The queues of upstreams may be shorter than callers would wait. Each rejection lowers
# the part of a limit above 1 by this factor. In the fleet of tests/loadfleet at eight
# times the load, 1,829 requests were rejected in 5 s, and 6,220 without it.
REJECTION_FACTOR: typing.Final = 0.8
# Lowest factor: above one request per slot no slot stays unused between two reports.
QUEUE_FACTOR_MIN: typing.Final = 0.1
# The same for the highest priority, which keeps its place above the others.
QUEUE_FACTOR_MIN_HIGHEST: typing.Final = 0.4
# A single rejection may be a fast answer. Limits are lowered from the second one within
# this time.
REJECTION_PAIR_S: typing.Final = 0.5
# The fleet's load is averaged over this time: a peak between two reports is absorbed by
# the queues of the upstreams.
LOAD_AVERAGE_S: typing.Final = 0.3
# Time in which two thirds of the reduction are taken back.
QUEUE_RECOVERY_S: typing.Final = 2.0
# The typical latencies change by a twentieth per answer at most.
LIMITS_INTERVAL_S: typing.Final = 1.0


class Refusal(typing.NamedTuple):
    """The load of a full service and the limit that it exceeds, in requests per slot.

    `kind` is "late" if the request could no longer be answered within its route's time
    limit, "full" otherwise.
    """

    kind: typing.Literal["full", "late"]
    load: float
    limit: float
    age_s: float


class Limit(typing.NamedTuple):
    """The load of a service up to which a route is admitted.

    `reserved_per_s` is how many openings per second and slot are admitted above it.
    """

    load: float
    kind: typing.Literal["full", "late"]
    reserved_per_s: float


class Need(typing.NamedTuple):
    """A route of a service, and its typical latency when slots are free."""

    route: routing.Route
    typical_s: float


def decide(limit: Limit, service_load: loadtable.ServiceLoad) -> Refusal | None:
    """Return why an opening is refused, or None if it is admitted.

    It is refused if the fleet is over the limit and this forwarder is over its own
    share of it: the reports of peers are up to a second old, and the own requests show
    at once when slots become free.
    """
    if service_load.load <= limit.load or service_load.own_load <= limit.load:
        return None
    return Refusal(limit.kind, service_load.load, limit.load, service_load.age_s)


def compute_limits(needs: abc.Sequence[Need]) -> dict[str, Limit]:
    """Return the limits of the routes of a service by name.

    A limit is 1 plus the wait that the route allows for a slot, in multiples of its
    typical latency. A route of higher priority has at least the limit of lower ones.
    """
    if not needs:
        return {}
    priorities = [need.route.priority for need in needs]
    highest, lowest = min(priorities), max(priorities)
    lower = sum(priority > highest for priority in priorities)
    limits: dict[str, Limit] = {}
    floor = 0.0
    for priority in sorted(set(priorities), reverse=True):
        rank = (priority - highest) / (lowest - highest) if lowest > highest else 0.0
        group = [need for need in needs if need.route.priority == priority]
        for need in group:
            load = max(floor, 1.0 + _find_wait(need, rank) / need.typical_s)
            last = need.route.timeout_s / need.typical_s
            reserved = 0.0
            if rank > 0:
                reserved = RESERVED_SHARE / lower / need.typical_s
            limits[need.route.name] = Limit(
                min(load, last), "late" if last < load else "full", reserved
            )
        floor = max(limits[need.route.name].load for need in group)
    return limits


def _find_wait(need: Need, rank: float) -> float:
    """Return the allowed wait in seconds; `rank` is 0 for the highest priority."""
    target_s = need.route.target_latency_s
    longest_s = max(0.0, target_s - need.typical_s)
    shortest_s = min(LOWEST_WAIT_SHARE * target_s, longest_s)
    return longest_s + rank * (shortest_s - longest_s)


class Permits:
    """Permits of a route above its limit, earned at a rate; one admits one opening."""

    __slots__ = ("permits", "updated_at")

    def __init__(self, permits: float = 0.0, updated_at: float | None = None) -> None:
        self.permits = permits
        self.updated_at = updated_at

    def earn(self, permits_per_s: float, now: float) -> None:
        """Add the permits for the time since the last call."""
        if self.updated_at is not None:
            earned = max(0.0, now - self.updated_at) * permits_per_s
            self.permits = min(PERMITS_MAX, self.permits + earned)
        self.updated_at = now

    def take(self) -> bool:
        """Take one permit; return False if there is none."""
        if self.permits < 1.0:
            return False
        self.permits -= 1.0
        return True


class SlotAdmission:
    """Admit openings to the services of the configuration in force.

    Parameters
    ----------
    load_table : LoadTable
        The load of each service.
    free_latency_s : dict
        Typical latency by name of route when slots are free.
    """

    def __init__(
        self, load_table: loadtable.LoadTable, free_latency_s: dict[str, float]
    ) -> None:
        self.load_table = load_table
        self.free_latency_s = free_latency_s
        self.routes: dict[str, list[routing.Route]] = {}
        self.limits: dict[str, dict[str, Limit]] = {}
        self.limits_set_at: dict[str, float] = {}
        self.permits: dict[tuple[str, str], Permits] = {}
        self.queue_factors: dict[str, tuple[float, float]] = {}
        self.rejected_at: dict[str, float] = {}
        self.averages: dict[str, tuple[float, float]] = {}

    def record_rejection(self, service: str, now: float) -> None:
        """Lower the limits of a service whose upstreams reject requests."""
        previous_at = self.rejected_at.get(service, -math.inf)
        self.rejected_at[service] = now
        if now - previous_at > REJECTION_PAIR_S:
            return
        factor = self.find_queue_factor(service, now) * REJECTION_FACTOR
        self.queue_factors[service] = (max(factor, QUEUE_FACTOR_MIN), now)

    def find_queue_factor(self, service: str, now: float) -> float:
        """Return the factor of limits above 1, which is 1 without rejections."""
        factor, at = self.queue_factors.get(service, (1.0, now))
        return 1.0 - (1.0 - factor) * math.exp(-max(0.0, now - at) / QUEUE_RECOVERY_S)

    def configure(
        self, configuration: routing.Configuration, ranks_requests: bool = False
    ) -> None:
        """Use the routes of a configuration."""
        self.routes = {}
        self.limits.clear()
        self.limits_set_at.clear()
        self.permits.clear()
        if routing.shares_upstreams(configuration, ranks_requests):
            for route in configuration.routes.values():
                for share in route.shares:
                    if share.weight > 0:
                        self.routes.setdefault(share.service, []).append(route)

    def admit(self, route: routing.Route, service: str, now: float) -> Refusal | None:
        """Return why an opening is refused, or None if it is admitted."""
        routes = self.routes.get(service)
        if routes is None:
            return None
        is_due = now - self.limits_set_at.get(service, -math.inf) >= LIMITS_INTERVAL_S
        if is_due or route.name not in self.limits[service]:
            self.limits_set_at[service] = now
            self.limits[service] = compute_limits(
                [
                    Need(used, self.find_typical(used))
                    for used in self._list_used(routes, route)
                ]
            )
        limit = self.limits[service].get(route.name)
        if limit is None:
            return None
        if service in self.queue_factors and limit.load > 1.0:
            factor = self.find_queue_factor(service, now)
            if not limit.reserved_per_s:
                factor = max(factor, QUEUE_FACTOR_MIN_HIGHEST)
            limit = limit._replace(load=1.0 + (limit.load - 1.0) * factor)
        service_load = self._average_load(service, now)
        refusal = decide(limit, service_load)
        if not limit.reserved_per_s:
            return refusal
        permits = self.permits.setdefault((service, route.name), Permits())
        slots = service_load.slots * service_load.share
        permits.earn(limit.reserved_per_s * slots, now)
        # Openings below the limit use permits too: the reserve is a minimum.
        has_permit = permits.take()
        return None if has_permit else refusal

    def copy_state(self) -> "SlotAdmission":
        """Return a copy whose decisions change nothing here."""
        twin = SlotAdmission(self.load_table.copy_state(), self.free_latency_s)
        twin.routes = self.routes
        twin.limits = dict(self.limits)
        twin.limits_set_at = dict(self.limits_set_at)
        for key, permits in self.permits.items():
            twin.permits[key] = Permits(permits.permits, permits.updated_at)
        twin.queue_factors = dict(self.queue_factors)
        twin.rejected_at = dict(self.rejected_at)
        twin.averages = dict(self.averages)
        return twin

    def _list_used(
        self, routes: abc.Iterable[routing.Route], opened: routing.Route
    ) -> list[routing.Route]:
        """Return the routes that have had answers, and the one that is being opened.

        Unused routes must not shift the ranks of the priorities in use. Before the
        first answers all routes count.
        """
        used = [
            route
            for route in routes
            if route.name in self.free_latency_s or route.name == opened.name
        ]
        return used if len(used) > 1 else list(routes)

    def _average_load(self, service: str, now: float) -> loadtable.ServiceLoad:
        measured = self.load_table.measure(service, now)
        average, at = self.averages.get(service, (measured.load, now))
        weight = 1.0 - math.exp(-max(0.0, now - at) / LOAD_AVERAGE_S)
        average += weight * (measured.load - average)
        self.averages[service] = (average, now)
        return measured._replace(load=average)

    def find_typical(self, route: routing.Route) -> float:
        """Return the typical latency of a route when slots are free, in seconds."""
        unknown_s = UNKNOWN_LATENCY_SHARE * route.target_latency_s
        typical_s = self.free_latency_s.get(route.name, unknown_s)
        return max(LATENCY_MIN_S, typical_s)
