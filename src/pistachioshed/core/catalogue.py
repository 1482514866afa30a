"""Tables held by a control process and the digests of its peers."""

import random
import typing
from collections import abc

import msgspec

from pistachioshed.core import controlevents, digests, events, tables


class HeldTable(typing.NamedTuple):
    """A held table, its content hash and its encoded size."""

    table: tables.Table
    content_hash: int
    size_bytes: int


class PeerDigest(typing.NamedTuple):
    """A peer's latest digest and the time of its arrival."""

    digest: digests.Digest
    received_at: float


class AcceptResult(typing.NamedTuple):
    """The outcome for a received table; `changed` is set if it is now held."""

    changed: bool
    notices: tuple[events.Notice, ...] = ()


class Catalogue:
    """Track the newest table of each service, peer digests and open conflicts.

    Versions never decrease: a table replaces another only if its version is higher,
    or if the version is the same and the store has different content.

    `rejected` holds invalid tables by (service, version, content hash), `conflicts`
    the time of the next store read of a service, `settled` the (version, content
    hash) that the store confirmed, and `revisions` the highest store revision seen.
    """

    def __init__(self, settings: controlevents.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.held: dict[str, HeldTable] = {}
        self.peer_digests: dict[str, PeerDigest] = {}
        self.rejected: set[tuple[str, int, int]] = set()
        self.conflicts: dict[str, float] = {}
        self.settled: dict[str, tuple[int, int]] = {}
        self.revisions: dict[str, int] = {}

    def get_version(self, service: str) -> int:
        """Return the held version of a service, or 0 if none is held."""
        held = self.held.get(service)
        return held.table.version if held is not None else 0

    def list_versions(self) -> dict[str, int]:
        """Return the held version of each service."""
        return {service: held.table.version for service, held in self.held.items()}

    def accept_stored(self, table: tables.Table, revision: int) -> AcceptResult:
        """Accept a newer table from the store, or settle a conflict by its content."""
        known_revision = self.revisions.get(table.service, 0)
        self.revisions[table.service] = max(known_revision, revision)
        held = self.held.get(table.service)
        if held is None or table.version != held.table.version:
            return self._accept_higher(table, "store")
        self.conflicts.pop(table.service, None)
        content_hash = digests.hash_table(table)
        if content_hash == held.content_hash:
            self.settled[table.service] = (table.version, content_hash)
            return AcceptResult(False)
        if revision < known_revision:
            return AcceptResult(False, (make_notice("table_stale", table, "store"),))
        result = self._replace(table, "store")
        if not result.changed:
            return result
        self.settled[table.service] = (table.version, content_hash)
        return AcceptResult(True, (make_notice("table_settled", table, "store"),))

    def accept_from_peer(
        self, table: tables.Table, peer: str, now: float
    ) -> AcceptResult:
        """Accept a table from a peer if its version is higher."""
        held = self.held.get(table.service)
        if held is None or table.version != held.table.version:
            return self._accept_higher(table, peer)
        content_hash = digests.hash_table(table)
        return AcceptResult(False, self._record_conflict(held, content_hash, peer, now))

    def _accept_higher(self, table: tables.Table, source: str) -> AcceptResult:
        if table.version < self.get_version(table.service):
            return AcceptResult(False, (make_notice("table_stale", table, source),))
        return self._replace(table, source)

    def _replace(self, table: tables.Table, source: str) -> AcceptResult:
        content_hash = digests.hash_table(table)
        if table.version < 1 or not table.service:
            return AcceptResult(False, (make_notice("table_refused", table, source),))
        try:
            tables.validate_table(table)
        except ExceptionGroup as errors:
            self.rejected.add((table.service, table.version, content_hash))
            notice = make_notice("table_refused", table, source)
            notice.fields["errors"] = [str(error) for error in errors.exceptions[:5]]
            return AcceptResult(False, (notice,))
        size_bytes = len(msgspec.msgpack.encode(table))
        self.held[table.service] = HeldTable(table, content_hash, size_bytes)
        self.conflicts.pop(table.service, None)
        # Rejections of this version and older ones are no longer needed.
        self.rejected = {
            refused
            for refused in self.rejected
            if refused[0] != table.service or refused[1] > table.version
        }
        return AcceptResult(True, (make_notice("table_accepted", table, source),))

    def record_digest(
        self, digest: digests.Digest, now: float
    ) -> tuple[events.Notice, ...]:
        """Record a peer's digest and detect conflicts with the held tables."""
        self.peer_digests[digest.node] = PeerDigest(digest, now)
        notices: list[events.Notice] = []
        for entry in digest.entries:
            held = self.held.get(entry.service)
            if held is not None and entry.version == held.table.version:
                notices += self._record_conflict(
                    held, entry.content_hash, digest.node, now
                )
        return tuple(notices)

    def _record_conflict(
        self, held: HeldTable, content_hash: int, peer: str, now: float
    ) -> tuple[events.Notice, ...]:
        service = held.table.service
        settled = self.settled.get(service) == (held.table.version, held.content_hash)
        if content_hash == held.content_hash or settled or service in self.conflicts:
            return ()
        # A random delay spreads the store reads of all processes that see the conflict.
        self.conflicts[service] = now + self.rng.random()
        return (make_notice("table_conflict", held.table, peer),)

    def list_conflict_reads(self, now: float) -> list[controlevents.Action]:
        """Return the store reads that are due to settle conflicts, each every 10 s."""
        due = [service for service, time in self.conflicts.items() if time <= now]
        for service in due:
            self.conflicts[service] = now + self.settings.conflict_interval_s
        return [controlevents.ReadTable(service) for service in due]

    def list_sources(self, now: float, avoid: abc.Container[str]) -> list[str]:
        """Return the peers that hold the newest tables, only this zone's if any does.

        Peers that were silent for 3 s and tables that were rejected are ignored.
        """
        best: dict[str, int] = {}
        sources: list[tuple[str, str, digests.Entry]] = []
        for peer, peer_digest in self.peer_digests.items():
            if peer in avoid or now - peer_digest.received_at > self.settings.silence_s:
                continue
            for entry in peer_digest.digest.entries:
                if not self._is_fetchable(entry):
                    continue
                best[entry.service] = max(best.get(entry.service, 0), entry.version)
                sources.append((peer, peer_digest.digest.zone, entry))
        newest = [
            (peer, zone)
            for peer, zone, entry in sources
            if entry.version == best[entry.service]
        ]
        same_zone = {peer for peer, zone in newest if zone == self.settings.zone}
        return sorted(same_zone or {peer for peer, _ in newest})

    def _is_fetchable(self, entry: digests.Entry) -> bool:
        refused = (entry.service, entry.version, entry.content_hash) in self.rejected
        return entry.version > self.get_version(entry.service) and not refused

    def list_newer(self, held_versions: dict[str, int]) -> tuple[tables.Table, ...]:
        """Return the tables newer than a peer's versions, up to the size limit.

        The peer's next request fetches the rest.
        """
        found: list[tables.Table] = []
        remaining_bytes = self.settings.max_fetched_bytes
        for service in sorted(self.held):
            held = self.held[service]
            if held.table.version <= held_versions.get(service, 0):
                continue
            remaining_bytes -= held.size_bytes
            if remaining_bytes < 0 and found:
                break
            found.append(held.table)
        return tuple(found)


def make_notice(name: str, table: tables.Table, source: str) -> events.Notice:
    """Return a notice about a table and its source."""
    fields: dict[str, object] = {
        "service": table.service,
        "version": table.version,
        "edit_id": table.edit_id,
        "peer": source,
    }
    return events.Notice(name, fields)
