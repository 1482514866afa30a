"""Limit the openings that a forwarder places on cold upstreams."""

import collections
import math
import typing
from collections import abc

from pistachioshed.core import (
    coldpermits,
    directory,
    membermemory,
    peertable,
    routing,
)

# More than the upstreams that are cold at the same time in the largest expected fleet.
TAKEN_MAX: typing.Final = 4_096

Permits = dict[str, float | None]
"""The limited cold upstreams by name: the start of a time slot that permits an opening,
or None."""


class OwnedSlots(typing.NamedTuple):
    """The starts of the valid time slots of a forwarder at an upstream.

    `key` holds the schedule and the number of the newest time slot that they are for.
    """

    key: tuple[coldpermits.Schedule, int]
    starts: tuple[float, ...]


class ColdLimiter:
    """Find and consume the permits of one forwarder.

    Parameters
    ----------
    bounds : Bounds
        Limit for the whole fleet.
    address : tuple of str and int
        Address at which the peers know this forwarder.
    upstream_directory : Directory
        Knows which upstreams are cold.
    peers : PeerTable
        The seeds, and the members that were heard of.
    read_time : callable
        Returns the time of day in seconds.
    count : callable
        Increments a counter, given its name and labels.
    started_at : float
        Time of the start of this forwarder, on the clock of `now`.

    Attributes
    ----------
    taken_s : dict
        Start of the last used time slot by name and start of the upstream.
    owned : dict
        The own valid time slots in the same way, until the next one starts: without
        it an opening took 1.5 ms with 60 cold upstreams.
    """

    def __init__(
        self,
        bounds: coldpermits.Bounds,
        address: membermemory.Address,
        upstream_directory: directory.Directory,
        peers: peertable.PeerTable,
        read_time: abc.Callable[[], float],
        count: abc.Callable[..., None],
        started_at: float,
    ) -> None:
        self.bounds = bounds
        self.address = address
        self.directory = upstream_directory
        self.peers = peers
        self.read_time = read_time
        self.count = count
        self.started_at = started_at
        self.taken_s: collections.OrderedDict[tuple[str, int], float] = (
            collections.OrderedDict()
        )
        self.owned: dict[tuple[str, int], OwnedSlots] = {}

    def find_permits(
        self,
        upstreams: abc.Iterable[directory.Upstream],
        limits: routing.ServiceLimits | None,
        now: float,
    ) -> Permits:
        """Return the limited upstreams of a service with their permits, if any.

        Nothing is consumed.
        """
        if limits is None or not limits.cold_per_s or not any(self.bounds):
            return {}
        limited = [
            upstream
            for upstream in upstreams
            if not upstream.draining and self.directory.is_cold(upstream, now)
        ]
        if not limited:
            return {}
        time_s = self.read_time()
        schedule = coldpermits.derive_schedule(limits.cold_per_s, self.bounds)
        if not coldpermits.knows_fleet(self.describe_knowledge(now)):
            schedule = None
        return {
            upstream.name: schedule and self._find_slot(upstream, schedule, time_s)
            for upstream in limited
            if not coldpermits.is_old_report(upstream, time_s)
        }

    def record_choice(
        self, permits: Permits, chosen: directory.Upstream | None
    ) -> None:
        """Consume the permit of the chosen upstream and count the outcome."""
        slot_s = None if chosen is None else permits.get(chosen.name)
        if chosen is not None and slot_s is not None:
            self.taken_s[chosen.name, chosen.start_ms] = slot_s
            if len(self.taken_s) > TAKEN_MAX:
                self.taken_s.popitem(last=False)
            self.count("cold_openings", outcome="permitted")
        elif None in permits.values():
            self.count("cold_openings", outcome="withheld")

    def count_limited(
        self, services: dict[str, routing.ServiceLimits], now: float
    ) -> int:
        """Return the number of cold upstreams whose openings are limited."""
        return sum(
            len(self.find_permits(self.directory.list_service(name), limits, now))
            for name, limits in services.items()
        )

    def describe_knowledge(self, now: float) -> coldpermits.Knowledge:
        """Return what this forwarder knows of the fleet."""
        members = self.peers.members
        return coldpermits.Knowledge(
            now - self.started_at,
            len(members.heard_at),
            members.count_new(now),
            members.has_peer(now),
            bool(self.peers.seeds),
            members.is_complete(now),
        )

    def _find_slot(
        self,
        upstream: directory.Upstream,
        schedule: coldpermits.Schedule,
        time_s: float,
    ) -> float | None:
        incarnation = (upstream.name, upstream.start_ms)
        key = (schedule, coldpermits.find_newest_slot(schedule, time_s))
        owned = self.owned.get(incarnation)
        if owned is None or owned.key != key:
            # Seeds count before they are heard of.
            members = [*self.peers.members.heard_at, *self.peers.seeds]
            starts = coldpermits.list_owned_slots(self.address, members, upstream, *key)
            owned = OwnedSlots(key, starts)
            if len(self.owned) >= TAKEN_MAX:
                self.owned.clear()
            self.owned[incarnation] = owned
        taken_s = self.taken_s.get(incarnation, -math.inf)
        return coldpermits.choose_slot(owned.starts, schedule, taken_s)
