"""Catch-up of a control process: fetches from peers, also at boot."""

import random
import typing

from pistachioshed.core import catalogue, controlevents, controlmembers

# How long to avoid a peer that did not answer or had no newer table.
AVOID_PEER_S: typing.Final = 2.0


class Catchup:
    """Track the fetch in flight and the sources that the boot waits for.

    `fetch_in_flight` holds the peer and the deadline. `pending_boot_sources` is None
    until the boot starts.
    """

    def __init__(
        self,
        settings: controlevents.Settings,
        members: controlmembers.ControlMembers,
        table_catalogue: catalogue.Catalogue,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.members = members
        self.catalogue = table_catalogue
        self.rng = rng
        self.fetch_due_at: float | None = None
        self.fetch_in_flight: tuple[str, float] | None = None
        self.avoided_until: dict[str, float] = {}
        self.pending_boot_sources: set[str] | None = None
        self.boot_ends_at = 0.0
        self.booted = False

    def schedule(self, now: float) -> None:
        """Schedule a fetch if a peer has a newer table."""
        if self.fetch_due_at is not None or self.fetch_in_flight is not None:
            return
        if self._list_sources(now):
            # The jitter spreads the requests of all processes that received the same
            # digest; the delay lets a published table arrive first.
            jitter = self.rng.random() * self.settings.fetch_jitter_s
            self.fetch_due_at = now + self.settings.fetch_delay_s + jitter

    def step(self, now: float) -> list[controlevents.Action]:
        """Return the fetch that is due, if any; at most one is in flight."""
        if self.fetch_in_flight is not None and now >= self.fetch_in_flight[1]:
            self.record_failure(self.fetch_in_flight[0], now)
        self.avoided_until = {
            peer: until for peer, until in self.avoided_until.items() if until > now
        }
        self.schedule(now)
        if self.fetch_due_at is None or now < self.fetch_due_at:
            return []
        self.fetch_due_at = None
        sources = self._list_sources(now)
        if not sources:
            return []
        peer = self.rng.choice(sources)
        self.fetch_in_flight = (peer, now + self.settings.fetch_timeout_s)
        return [self._make_fetch(peer)]

    def _list_sources(self, now: float) -> list[str]:
        sources = self.catalogue.list_sources(now, self.avoided_until)
        return [peer for peer in sources if peer in self.members.by_name]

    def _make_fetch(self, peer: str) -> controlevents.FetchTables:
        bus = self.members.by_name[peer].bus
        return controlevents.FetchTables(peer, bus, self.catalogue.list_versions())

    def record_answer(self, peer: str, empty: bool, now: float) -> None:
        """Record an answer; after an empty one the peer is avoided for a while."""
        if empty:
            self.avoided_until[peer] = now + AVOID_PEER_S
        if self.fetch_in_flight is not None and self.fetch_in_flight[0] == peer:
            self.fetch_in_flight = None

    def record_failure(self, peer: str, now: float) -> None:
        """Record that a peer did not answer a fetch."""
        self.record_answer(peer, True, now)

    def start_boot(self, now: float) -> list[controlevents.Action]:
        """Request the tables of a few random peers, those of this zone first."""
        own = self.settings.name
        peers = [
            member for member in self.members.by_name.values() if member.vm.name != own
        ]
        self.rng.shuffle(peers)
        peers.sort(key=lambda peer: peer.vm.zone != self.settings.zone)
        requested = [peer.vm.name for peer in peers[: self.settings.boot_peers]]
        self.pending_boot_sources = set(requested)
        self.boot_ends_at = now + self.settings.boot_timeout_s
        return [self._make_fetch(peer) for peer in requested]

    def add_boot_source(self, source: str) -> None:
        """Add a source that the boot waits for."""
        if self.pending_boot_sources is not None and not self.booted:
            self.pending_boot_sources.add(source)

    def finish_boot_source(self, source: str, now: float) -> list[str] | None:
        """Record that a source answered or failed during the boot.

        Returns
        -------
        list of str or None
            If this ends the boot, the sources that did not answer in time.
        """
        if self.booted or self.pending_boot_sources is None:
            return None
        self.pending_boot_sources.discard(source)
        if self.pending_boot_sources and now < self.boot_ends_at:
            return None
        self.booted = True
        return sorted(self.pending_boot_sources)
