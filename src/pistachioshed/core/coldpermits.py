"""Permits for openings at cold upstreams, without agreement between forwarders.

Time of day is divided into time slots per upstream. Each time slot permits one opening
of one forwarder, found by rendezvous hashing over the known members.
"""

import math
import typing
from collections import abc

import xxhash

from pistachioshed.core import directory, membermemory

WINDOW_S: typing.Final = 1.0
# Time slots of two forwarders differ by up to 50 ms because of their clocks. Up to
# 50 ms more pass between a decision and the arrival of the opening at the upstream.
TIME_TOLERANCE_S: typing.Final = 0.1
# Groups of forwarders that never heard of each other, as two parts of a fleet that
# started while they were cut off. Each of them uses all time slots.
GROUPS_MAX: typing.Final = 2
# With several time slots valid at once each is valid for longer, so that its owner is
# more likely to get an opening in it. More than four could fill the slots and the queue
# of an upstream at one moment.
SLOTS_AT_ONCE_MAX: typing.Final = 4
# A third: validity costs permits, because all valid time slots may be used at once.
PERMITS_PER_SLOT_AT_ONCE: typing.Final = 3
# In a trial in which 195 forwarders started at once, each time slot had four owners
# after a wait of 2 s, and less than one after 5 s.
START_WAIT_S: typing.Final = 5.0
# While more of the members than this are new, further ones are likely unknown.
NEW_MEMBERS_SHARE: typing.Final = 0.1
# The longest expected time between the start of an upstream and its first report.
FIRST_REPORT_DELAY_MAX_S: typing.Final = 30.0
FIRST_SEQUENCE: typing.Final = 1


class Bounds(typing.NamedTuple):
    """Limit of the openings per second at a cold upstream, for the whole fleet.

    The limit is the upstream's own rate times `overshoot`, plus `slack`. Nothing is
    limited if both are 0.
    """

    overshoot: float
    slack: float


class Schedule(typing.NamedTuple):
    """Time slots of a cold upstream.

    A time slot starts every `spacing_s`, and `slots_at_once` are valid at any time.
    """

    spacing_s: float
    slots_at_once: int


class Knowledge(typing.NamedTuple):
    """What a forwarder knows of the fleet, and for how long it has been running."""

    age_s: float
    members: int
    new_members: int
    has_peer: bool
    has_seeds: bool
    is_complete: bool


def derive_schedule(cold_per_s: float, bounds: Bounds) -> Schedule | None:
    """Return the time slots for a rate, None if the bounds allow no opening.

    With k permits per window and group, m time slots valid at once and a spacing of
    window / (k - m), at most k time slots are valid at some time of any window.
    """
    permits = int((cold_per_s * bounds.overshoot + bounds.slack) / GROUPS_MAX)
    if permits < 2:
        # Any window can contain parts of two time slots.
        return None
    slots_at_once = min(SLOTS_AT_ONCE_MAX, max(1, permits // PERMITS_PER_SLOT_AT_ONCE))
    return Schedule(
        (WINDOW_S + TIME_TOLERANCE_S) / (permits - slots_at_once), slots_at_once
    )


def knows_fleet(knowledge: Knowledge) -> bool:
    """Return whether a forwarder knows enough members to take permits."""
    if not knowledge.is_complete or knowledge.age_s < START_WAIT_S:
        return False
    if knowledge.has_seeds and not knowledge.has_peer:
        return False
    return knowledge.new_members <= max(1, NEW_MEMBERS_SHARE * knowledge.members)


def find_newest_slot(schedule: Schedule, time_s: float) -> int:
    """Return the number of the last time slot that has started at a time of day."""
    return math.floor(time_s / schedule.spacing_s)


def list_owned_slots(
    own_address: membermemory.Address,
    members: abc.Collection[membermemory.Address],
    upstream: directory.Upstream,
    schedule: Schedule,
    newest: int,
) -> tuple[float, ...]:
    """Return the starts of the valid time slots that belong to a forwarder.

    `newest` is the number of the last time slot that has started.
    """
    return tuple(
        slot * schedule.spacing_s
        for slot in range(newest - schedule.slots_at_once + 1, newest + 1)
        if is_owner(own_address, members, upstream, slot)
    )


def choose_slot(
    owned: abc.Iterable[float], schedule: Schedule, taken_s: float
) -> float | None:
    """Return the first owned time slot after the last used one, or None.

    Earlier ones are not used again, also if the time of day is set back.
    """
    # Half a slot allows for rounding.
    used_until_s = taken_s + schedule.spacing_s / 2
    return next((start_s for start_s in owned if start_s > used_until_s), None)


def is_owner(
    own_address: membermemory.Address,
    members: abc.Iterable[membermemory.Address],
    upstream: directory.Upstream,
    slot: int,
) -> bool:
    """Return whether no member has a higher hash for a time slot than this forwarder.

    On average only the logarithm of the number of members is hashed.
    """
    seed = xxhash.xxh3_64_intdigest(
        f"{upstream.name}/{upstream.start_ms}/{slot}".encode()
    )
    own_hash = _hash_member(own_address, seed)
    return all(_hash_member(member, seed) <= own_hash for member in members)


def is_old_report(upstream: directory.Upstream, time_s: float) -> bool:
    """Return whether the cold time in an entry has certainly passed.

    The entry of an upstream that has reported once is never rewritten, so a forwarder
    that starts later reads it as if the upstream had just started.
    """
    if upstream.sequence != FIRST_SEQUENCE or not upstream.start_ms:
        return False
    age_s = time_s - upstream.start_ms / 1000
    return age_s > upstream.cold_s + FIRST_REPORT_DELAY_MAX_S


def _hash_member(member: membermemory.Address, seed: int) -> int:
    host, port = member
    return xxhash.xxh3_64_intdigest(f"{host}:{port}".encode(), seed)
