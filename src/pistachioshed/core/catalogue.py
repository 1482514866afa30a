"""Tables held by a control process, and what its peers offer."""

import random
import typing
from collections import abc

import msgspec

from pistachioshed.core import controlevents, digests, events, tables


class Held(typing.NamedTuple):
    """A table, its content hash and its encoded size."""

    table: tables.Table
    content: int
    size_bytes: int


class Offer(typing.NamedTuple):
    """A peer's latest digest and when it came."""

    digest: digests.Digest
    time: float


class Accepted(typing.NamedTuple):
    """What became of a table; `changed` tells whether it is now held."""

    changed: bool
    notices: tuple[events.Notice, ...] = ()


class Catalogue:
    """The newest known table of each service, the offers and the open conflicts.

    Versions never fall: a table replaces another only with a higher version, or with
    the same version when the store says that the content held is wrong.
    """

    def __init__(self, settings: controlevents.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.held: dict[str, Held] = {}
        self.offers: dict[str, Offer] = {}
        self.rejected: set[tuple[str, int, int]] = set()
        self.conflicts: dict[str, float] = {}
        self.settled: dict[str, tuple[int, int]] = {}
        self.revisions: dict[str, int] = {}

    def get_version(self, service: str) -> int:
        """Return the version held of a service, 0 for none."""
        held = self.held.get(service)
        return held.table.version if held is not None else 0

    def list_versions(self) -> dict[str, int]:
        """Return the version held of each service."""
        return {service: held.table.version for service, held in self.held.items()}

    def accept_stored(self, table: tables.Table, revision: int) -> Accepted:
        """Take a table from the store, which also settles a conflict."""
        known = self.revisions.get(table.service, 0)
        self.revisions[table.service] = max(known, revision)
        held = self.held.get(table.service)
        if held is None or table.version != held.table.version:
            return self._accept_higher(table, "store")
        self.conflicts.pop(table.service, None)
        content = digests.hash_table(table)
        if content == held.content:
            self.settled[table.service] = (table.version, content)
            return Accepted(False)
        if revision < known:
            return Accepted(False, (make_notice("table_stale", table, "store"),))
        accepted = self._replace(table, "store")
        if not accepted.changed:
            return accepted
        self.settled[table.service] = (table.version, content)
        return Accepted(True, (make_notice("table_settled", table, "store"),))

    def accept_gossip(self, table: tables.Table, peer: str, now: float) -> Accepted:
        """Take a table from a peer if its version is higher."""
        held = self.held.get(table.service)
        if held is None or table.version != held.table.version:
            return self._accept_higher(table, peer)
        content = digests.hash_table(table)
        return Accepted(False, self._note_conflict(held, content, peer, now))

    def _accept_higher(self, table: tables.Table, source: str) -> Accepted:
        if table.version < self.get_version(table.service):
            return Accepted(False, (make_notice("table_stale", table, source),))
        return self._replace(table, source)

    def _replace(self, table: tables.Table, source: str) -> Accepted:
        content = digests.hash_table(table)
        if table.version < 1 or not table.service:
            return Accepted(False, (make_notice("table_refused", table, source),))
        try:
            tables.validate_table(table)
        except ExceptionGroup as errors:
            self.rejected.add((table.service, table.version, content))
            notice = make_notice("table_refused", table, source)
            notice.fields["errors"] = [str(error) for error in errors.exceptions[:5]]
            return Accepted(False, (notice,))
        size_bytes = len(msgspec.msgpack.encode(table))
        self.held[table.service] = Held(table, content, size_bytes)
        self.conflicts.pop(table.service, None)
        # Only refusals of newer versions are of use.
        self.rejected = {
            refused
            for refused in self.rejected
            if refused[0] != table.service or refused[1] > table.version
        }
        return Accepted(True, (make_notice("table_accepted", table, source),))

    def note_offer(
        self, digest: digests.Digest, now: float
    ) -> tuple[events.Notice, ...]:
        """Record a peer's digest and detect tables that contradict those held."""
        self.offers[digest.node] = Offer(digest, now)
        notices: list[events.Notice] = []
        for entry in digest.entries:
            held = self.held.get(entry.service)
            if held is not None and entry.version == held.table.version:
                notices += self._note_conflict(held, entry.content, digest.node, now)
        return tuple(notices)

    def _note_conflict(
        self, held: Held, content: int, peer: str, now: float
    ) -> tuple[events.Notice, ...]:
        service = held.table.service
        settled = self.settled.get(service) == (held.table.version, held.content)
        if content == held.content or settled or service in self.conflicts:
            return ()
        # The delay spreads the reads of all controls that see the conflict.
        self.conflicts[service] = now + self.rng.random()
        return (make_notice("table_conflict", held.table, peer),)

    def list_conflict_reads(self, now: float) -> list[controlevents.Action]:
        """Return the reads of the store that settle conflicts, each every 10 s."""
        due = [service for service, time in self.conflicts.items() if time <= now]
        for service in due:
            self.conflicts[service] = now + self.settings.conflict_interval_s
        return [controlevents.ReadTable(service) for service in due]

    def list_sources(self, now: float, avoid: abc.Container[str]) -> list[str]:
        """Return the peers that offer the newest tables, those of this zone first.

        Peers that were silent for 3 s, and tables that were refused, do not count.
        """
        best: dict[str, int] = {}
        sources: list[tuple[str, str, digests.Entry]] = []
        for peer, offer in self.offers.items():
            if peer in avoid or now - offer.time > self.settings.silence_s:
                continue
            for entry in offer.digest.entries:
                if not self._wants(entry):
                    continue
                best[entry.service] = max(best.get(entry.service, 0), entry.version)
                sources.append((peer, offer.digest.zone, entry))
        newest = [
            (peer, zone)
            for peer, zone, entry in sources
            if entry.version == best[entry.service]
        ]
        near = {peer for peer, zone in newest if zone == self.settings.zone}
        return sorted(near or {peer for peer, _ in newest})

    def _wants(self, entry: digests.Entry) -> bool:
        refused = (entry.service, entry.version, entry.content) in self.rejected
        return entry.version > self.get_version(entry.service) and not refused

    def list_newer(self, have: dict[str, int]) -> tuple[tables.Table, ...]:
        """Return the tables newer than those a peer holds, within the size bound.

        The rest is fetched on the peer's next request.
        """
        found: list[tables.Table] = []
        budget = self.settings.max_fetched_bytes
        for service in sorted(self.held):
            held = self.held[service]
            if held.table.version <= have.get(service, 0):
                continue
            budget -= held.size_bytes
            if budget < 0 and found:
                break
            found.append(held.table)
        return tuple(found)


def make_notice(name: str, table: tables.Table, source: str) -> events.Notice:
    """Return a notice about a table and where it came from."""
    fields: dict[str, object] = {
        "service": table.service,
        "version": table.version,
        "edit_id": table.edit_id,
        "peer": source,
    }
    return events.Notice(name, fields)
