"""Catch-up of a control process: fetches from peers, and the boot."""

import random
import typing

from pistachioshed.core import catalogue, controlevents, controlmembers

# How long a failed peer is not asked again.
AVOID_S: typing.Final = 2.0


class Catchup:
    """The fetch in flight, and what a booting control still waits for."""

    def __init__(
        self,
        settings: controlevents.Settings,
        members: controlmembers.Roster,
        known: catalogue.Catalogue,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.members = members
        self.catalogue = known
        self.rng = rng
        self.due: float | None = None
        self.fetching: tuple[str, float] | None = None
        self.avoid: dict[str, float] = {}
        self.boot_waiting: set[str] | None = None
        self.boot_ends_at = 0.0
        self.booted = False

    def schedule(self, now: float) -> None:
        """Plan a fetch when a peer offers a newer table."""
        if self.due is not None or self.fetching is not None:
            return
        if self._list_sources(now):
            # The jitter spreads the requests of all controls that saw one digest;
            # the delay lets a published table arrive first.
            jitter = self.rng.random() * self.settings.fetch_jitter_s
            self.due = now + self.settings.fetch_delay_s + jitter

    def step(self, now: float) -> list[controlevents.Action]:
        """Return the fetch that is due; at most one is in flight."""
        if self.fetching is not None and now >= self.fetching[1]:
            self.note_failure(self.fetching[0], now)
        self.avoid = {peer: until for peer, until in self.avoid.items() if until > now}
        self.schedule(now)
        if self.due is None or now < self.due:
            return []
        self.due = None
        sources = self._list_sources(now)
        if not sources:
            return []
        peer = self.rng.choice(sources)
        self.fetching = (peer, now + self.settings.fetch_timeout_s)
        return [self._make_fetch(peer)]

    def _list_sources(self, now: float) -> list[str]:
        sources = self.catalogue.list_sources(now, self.avoid)
        return [peer for peer in sources if peer in self.members.members]

    def _make_fetch(self, peer: str) -> controlevents.FetchTables:
        bus = self.members.members[peer].bus
        return controlevents.FetchTables(peer, bus, self.catalogue.list_versions())

    def note_answer(self, peer: str, empty: bool, now: float) -> None:
        """Record an answer; a peer that had nothing is not asked again at once."""
        if empty:
            self.avoid[peer] = now + AVOID_S
        if self.fetching is not None and self.fetching[0] == peer:
            self.fetching = None

    def note_failure(self, peer: str, now: float) -> None:
        """Record that a peer did not answer."""
        self.note_answer(peer, True, now)

    def start_boot(self, now: float) -> list[controlevents.Action]:
        """Ask a few peers, those of this zone first, for their tables."""
        own = self.settings.name
        peers = [
            member for member in self.members.members.values() if member.vm.name != own
        ]
        self.rng.shuffle(peers)
        peers.sort(key=lambda peer: peer.vm.zone != self.settings.zone)
        asked = [peer.vm.name for peer in peers[: self.settings.boot_peers]]
        self.boot_waiting = set(asked)
        self.boot_ends_at = now + self.settings.boot_timeout_s
        return [self._make_fetch(peer) for peer in asked]

    def wait_for(self, source: str) -> None:
        """Let the boot wait for another source."""
        if self.boot_waiting is not None and not self.booted:
            self.boot_waiting.add(source)

    def end_wait(self, source: str, now: float) -> list[str] | None:
        """Record that a source answered or failed.

        Returns
        -------
        list of str or None
            When the boot ends by this, the sources that did not answer in time.
        """
        if self.booted or self.boot_waiting is None:
            return None
        self.boot_waiting.discard(source)
        if self.boot_waiting and now < self.boot_ends_at:
            return None
        self.booted = True
        return sorted(self.boot_waiting)
