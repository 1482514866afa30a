"""Liveness, ranking and subscriptions among control processes."""

import functools
import itertools
import math
import typing
from collections import abc

from pistachioshed.core import controlevents, events, hashing

WATCHERS_PER_ZONE: typing.Final = 2
# In a zone of up to this size all members subscribe to each other. In a larger zone
# the first ranked members are hubs: every other member subscribes to two of them, and
# the same two subscribe to it. This bounds the digests that a node sends and receives;
# in a full mesh of 200 nodes each would receive 200 digests a second.
# The number of hubs grows with the square root of the zone's size, which balances a
# hub's links to other hubs with its links to other members.
HUBS_PER_ZONE_MIN: typing.Final = 8
HUBS_PER_MEMBER: typing.Final = 2
SILENT_LISTED_MAX: typing.Final = 16


class ControlMembers:
    """Track the listed control processes, their ranks and when each was last heard.

    `last_heard_at` holds the time of each peer's last digest, `subscribed_since` the
    start of each subscription, and `reported_silent` the time of each peer's last
    digest with the names that it reports as silent.
    """

    def __init__(self, settings: controlevents.Settings) -> None:
        self.settings = settings
        self.by_name: dict[str, controlevents.Member] = {}
        self.zones: dict[str, list[str]] = {}
        self.last_heard_at: dict[str, float] = {}
        self.subscribed_since: dict[str, float] = {}
        self.reported_silent: dict[str, tuple[float, frozenset[str]]] = {}
        self.ranks: dict[tuple[str, str], list[str]] = {}
        self.set_members((), 0.0)

    def set_members(
        self, members: tuple[controlevents.Member, ...], now: float
    ) -> None:
        """Replace the member list; this process itself is always a member."""
        settings = self.settings
        own = controlevents.Member(
            events.Vm(settings.name, settings.zone, ""), settings.bus
        )
        self.by_name = {settings.name: own} | {
            member.vm.name: member for member in members
        }
        self.zones = {}
        for member in self.by_name.values():
            if not member.vm.leaving:
                self.zones.setdefault(member.vm.zone, []).append(member.vm.name)
        self.ranks.clear()
        for per_name in (
            self.last_heard_at,
            self.subscribed_since,
            self.reported_silent,
        ):
            for name in per_name.keys() - self.by_name.keys():
                del per_name[name]

    def record_digest(self, name: str, silent: tuple[str, ...], now: float) -> None:
        """Record the time of a peer's digest and the names it reports as silent."""
        if name in self.by_name:
            self.last_heard_at[name] = now
            self.reported_silent[name] = (now, frozenset(silent))

    def is_silent(self, name: str, now: float) -> bool:
        """Return whether a subscribed peer sent no digest for `silence_s`."""
        since = self.subscribed_since.get(name)
        if since is None or name == self.settings.name:
            return False
        return (
            now - max(since, self.last_heard_at.get(name, since))
            > self.settings.silence_s
        )

    def list_silent(self, now: float) -> tuple[str, ...]:
        """Return the names of silent peers, at most `SILENT_LISTED_MAX`."""
        silent = (name for name in self.subscribed_since if self.is_silent(name, now))
        return tuple(sorted(silent))[:SILENT_LISTED_MAX]

    def rank_names(self, zone: str, key: str) -> list[str]:
        """Return the members of a zone that are not leaving, ranked for a key."""
        ranked = self.ranks.get((zone, key))
        if ranked is None:
            choices = [hashing.Choice(name, 1.0) for name in self.zones.get(zone, ())]
            ranked = hashing.rank_choices(key.encode(), choices)
            self.ranks[zone, key] = ranked
        return ranked

    def rank_live(self, zone: str, now: float) -> list[str]:
        """Return the members of a zone that are not silent, by rank."""
        ranked = self.rank_names(zone, zone)
        silent = {name for name in self.subscribed_since if self.is_silent(name, now)}
        return [name for name in ranked if name not in silent] if silent else ranked

    def is_first_ranked(self, now: float) -> bool:
        """Return whether this process is the first ranked of its zone."""
        return self.rank_live(self.settings.zone, now)[:1] == [self.settings.name]

    def has_non_watchers(self, now: float) -> bool:
        """Return whether this zone has members that do not watch the store."""
        return len(self.rank_live(self.settings.zone, now)) > WATCHERS_PER_ZONE

    def is_watcher(self, now: float) -> bool:
        """Return whether this process should watch the store."""
        ranked = self.rank_live(self.settings.zone, now)
        return self.settings.name in ranked[:WATCHERS_PER_ZONE]

    def list_hubs(self, now: float) -> list[str]:
        """Return the hubs of this process's zone."""
        ranked = self.rank_live(self.settings.zone, now)
        return ranked[: count_hubs(len(ranked))]

    def relays_reports_of(self, name: str, now: float) -> bool:
        """Return whether this process relays the reports of a member that is no hub.

        Of the hubs that subscribe to a member, only the first ranked relays its
        reports, to save traffic.
        """
        hubs = tuple(self.list_hubs(now))
        return name not in hubs and choose_hubs(name, hubs)[0] == self.settings.name

    def is_relaying_hub(self, now: float) -> bool:
        """Return whether this process is a hub of a zone that has non-hub members."""
        ranked = self.rank_live(self.settings.zone, now)
        hubs = count_hubs(len(ranked))
        return hubs < len(ranked) and self.settings.name in ranked[:hubs]

    def list_subscriptions(self, now: float) -> frozenset[str]:
        """Return the names of the peers to subscribe to.

        Silent peers stay subscribed, so that their return is detected.
        """
        own = self.settings.name
        ranked = self.rank_live(self.settings.zone, now)
        hubs = tuple(ranked[: count_hubs(len(ranked))])
        chosen = set(self.list_silent(now))
        if own in hubs:
            chosen.update(hubs)
            chosen.update(
                name for name in ranked[len(hubs) :] if own in choose_hubs(name, hubs)
            )
        else:
            chosen.update(choose_hubs(own, hubs))
        if self.is_watcher(now):
            for zone in self.zones.keys() - {self.settings.zone}:
                chosen.update(self.rank_live(zone, now)[:WATCHERS_PER_ZONE])
        chosen.discard(own)
        return frozenset(name for name in chosen if name in self.by_name)

    def update_subscriptions(self, now: float) -> bool:
        """Recompute the subscriptions and return whether they changed."""
        chosen = self.list_subscriptions(now)
        if chosen == self.subscribed_since.keys():
            return False
        self.subscribed_since = {
            name: self.subscribed_since.get(name, now) for name in chosen
        }
        return True

    def list_dead(self, now: float) -> frozenset[str]:
        """Return the names that this process or a peer of it finds silent.

        Reports of peers count because few processes subscribe to a member that is
        no hub. They are ignored for a member whose digests this process
        itself receives.
        """
        dead = {name for name in self.subscribed_since if self.is_silent(name, now)}
        for time, silent in self.reported_silent.values():
            if now - time <= self.settings.silence_s:
                dead.update(
                    name
                    for name in silent
                    if now - self.last_heard_at.get(name, -1e9)
                    > self.settings.silence_s
                )
        return frozenset(dead - {self.settings.name})

    def list_probers(self, key: str, count: int, dead: abc.Set[str]) -> list[str]:
        """Return the members of this zone that probe an upstream."""
        ranked = self.rank_names(self.settings.zone, key)
        return list(
            itertools.islice((name for name in ranked if name not in dead), count)
        )


def count_hubs(size: int) -> int:
    """Return the number of hubs in a zone of a given size."""
    return max(HUBS_PER_ZONE_MIN, math.isqrt(size))


@functools.lru_cache(maxsize=4_096)
def choose_hubs(name: str, hubs: tuple[str, ...]) -> list[str]:
    """Return the hubs that a member subscribes to and that subscribe to it."""
    choices = [hashing.Choice(hub, 1.0) for hub in hubs]
    return hashing.rank_choices(name.encode(), choices)[:HUBS_PER_MEMBER]
