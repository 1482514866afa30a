"""The registered upstreams at a store revision, and their recent changes."""

import collections
import typing
from collections import abc

from pistachioshed.core import evacuations, revisions

# After a store outage, a host that still runs is registered again within about two
# seconds of the store's return. The value is below the drain bound of 3 s.
LAPSED_RETENTION_S: typing.Final = 2.2
# The longest expected duration of a flow: packets of open flows are still forwarded to
# a removed upstream.
REMOVED_RETENTION_S: typing.Final = 60.0
REMOVED_MAX: typing.Final = 4_096  # About 2 MB together with the retained changes.
# Covers a release of all upstreams in the largest expected tables.
CHANGES_MAX: typing.Final = 1_024


class Upstream(typing.NamedTuple):
    """One registered upstream.

    `number` addresses this incarnation of the upstream on the wire and `token`
    identifies it in the packets of its flows. `start_ms` distinguishes two starts under
    the same name. `cold_s` is how long the upstream is slow after this report.
    `sequence` counts the reports of the upstream since its start.
    """

    name: str
    number: int
    token: int
    service: str
    address: tuple[str, int]
    zone: str
    slots: int
    draining: bool
    cold_s: float
    start_ms: int
    sequence: int


class Change(typing.NamedTuple):
    """A registry change; `upstream` is None if the entry is deleted or unusable."""

    name: str
    upstream: Upstream | None
    revision: int


class RemovedUpstream(typing.NamedTuple):
    """An upstream that was removed from the registry, and the time of its removal."""

    upstream: Upstream
    removed_at: float


class Update(typing.NamedTuple):
    """The outcome of a registry change for the upstream `name`."""

    name: str
    outcome: typing.Literal[
        "added", "changed", "restarted", "lapsed", "removed", "conflict", "outdated"
    ]
    revision: int


class Directory:
    """Index the upstreams by name, token and service.

    An entry that is deleted before it was marked as draining is lapsed: the host may
    have crashed, or the store was unavailable. A lapsed entry is retained for
    `LAPSED_RETENTION_S` and then removed.

    The first snapshot after a restoration of the store contains entries of an older
    copy. Those that are older than the last known report of their upstream are ignored.

    `evacuated_zones` maps each zone that operators evacuate to the revision of the
    request.

    `revision` is the store revision that this state corresponds to, and
    `changed_revision` that of the last change. `changes` holds the latest changes for
    peers; it is complete after `changes_after_revision`. `revisions` holds the revision
    of the last change of each upstream, also of those in `removed`. `cold_until` is the
    time until which each upstream is cold.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.changed_revision = 0
        self.changes: collections.deque[Change] = collections.deque()
        self.changes_after_revision = 0
        self.evacuated_zones: dict[str, int] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.revisions: dict[str, int] = {}
        self.cold_until: dict[str, float] = {}
        self.lapsed_at: dict[str, float] = {}
        self.by_token: dict[int, Upstream] = {}
        self.by_service: dict[str, list[Upstream]] = {}
        self.removed_by_token: dict[int, Upstream] = {}
        self.removed: collections.OrderedDict[str, RemovedUpstream] = (
            collections.OrderedDict()
        )

    def apply(
        self,
        changes: abc.Iterable[Change],
        revision: int,
        snapshot: bool,
        now: float,
        evacuation: evacuations.Received = evacuations.UNCHANGED,
    ) -> list[Update]:
        """Apply changes up to a revision, or all present entries if a snapshot.

        `evacuation` holds what was received of operators' requests with the changes. A
        batch that is older than the current revision is ignored.
        """
        if revision < self.revision:
            return []
        updates = []
        present = set()
        is_restored = revisions.get_era(revision) != revisions.get_era(self.revision)
        if snapshot:
            self.changes.clear()
            self.changes_after_revision = revision
        for change in changes:
            if not snapshot:
                self._append_change(change)
            present.add(change.name)
            if is_restored and self._is_outdated(change):
                # Later snapshots of this era may contain the entry as well.
                self.revisions[change.name] = revision
                updates.append(Update(change.name, "outdated", change.revision))
                continue
            update = self._apply_change(change, now)
            if update is not None:
                updates.append(update)
        zone_was_omitted = self._apply_evacuation(
            evacuation._replace(complete=evacuation.complete or snapshot), revision
        )
        if snapshot:
            for name in [name for name in self.upstreams if name not in present]:
                update = self._handle_deletion(name, revision, now)
                if update is not None:
                    updates.append(update)
            if updates or is_restored or zone_was_omitted:
                # Entries missing from a snapshot were removed at an unknown revision.
                # Peers must learn of a restoration even if it changed no entry.
                self.changed_revision = max(self.changed_revision, revision)
        # The later pages of a snapshot may contain newer entries, while changes of the
        # earlier pages are not known: peers that know them must still appear newer.
        self.changed_revision = min(self.changed_revision, revision)
        self.revision = revision
        if updates:
            self._rebuild_indexes()
        return updates

    def list_changes(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes after a revision, or None if they are incomplete."""
        if revision < self.changes_after_revision:
            return None
        return tuple(change for change in self.changes if change.revision > revision)

    def list_snapshot(self) -> tuple[Change, ...]:
        """Return the registered entries, without lapsed ones."""
        return tuple(
            Change(name, upstream, self.revisions[name])
            for name, upstream in self.upstreams.items()
            if name not in self.lapsed_at
        )

    def reduce_cold_times(
        self, changes: abc.Iterable[Change], now: float
    ) -> tuple[Change, ...]:
        """Return changes for a peer, with what is left of the cold times.

        An entry does not show when it was written, so its reader would otherwise
        consider the upstream cold from then on.
        """
        reduced = []
        for change in changes:
            upstream = change.upstream
            if upstream is not None and self.upstreams.get(change.name) == upstream:
                left_s = max(0.0, self.cold_until[change.name] - now)
                cold_s = min(upstream.cold_s, round(left_s, 3))
                upstream = upstream._replace(cold_s=cold_s)
            reduced.append(change._replace(upstream=upstream))
        return tuple(reduced)

    def expire(self, now: float) -> list[Update]:
        """Remove lapsed entries whose retention time has passed."""
        updates = []
        for name, since in list(self.lapsed_at.items()):
            if now - since >= LAPSED_RETENTION_S:
                self._remove(name, now)
                updates.append(Update(name, "removed", self.revision))
        while self.removed:
            name, oldest = next(iter(self.removed.items()))
            too_many = len(self.removed) > REMOVED_MAX
            if not too_many and now - oldest.removed_at < REMOVED_RETENTION_S:
                break
            self._forget(name)
            self.revisions.pop(name, None)
        if updates:
            self._rebuild_indexes()
        return updates

    def find_by_token(self, token: int) -> Upstream | None:
        """Return the upstream with a flow's token, even if it was removed recently."""
        return self.by_token.get(token) or self.removed_by_token.get(token)

    def list_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service, including draining and lapsed ones."""
        return self.by_service.get(service, [])

    def is_cold(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream is still slow, by its last changed report."""
        return now < self.cold_until.get(upstream.name, now)

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Return whether operators have requested that no flow opens in its zone."""
        return upstream.zone in self.evacuated_zones

    def _apply_evacuation(self, received: evacuations.Received, revision: int) -> bool:
        """Update the evacuated zones; return whether a complete list omits a known one.

        Also requests that were removed in the same batch raise `changed_revision`: a
        peer may know of the request and not of its removal.
        """
        known = self.evacuated_zones
        self.evacuated_zones = evacuations.combine_requests(known, received, revision)
        for request in received.requests:
            self.changed_revision = max(self.changed_revision, request.revision)
        return received.complete and bool(known.keys() - self.evacuated_zones.keys())

    def _append_change(self, change: Change) -> None:
        if len(self.changes) >= CHANGES_MAX:
            self.changes_after_revision = self.changes.popleft().revision
        self.changes.append(change)

    def _apply_change(self, change: Change, now: float) -> Update | None:
        if change.revision < self.revisions.get(change.name, 0):
            return None
        self.changed_revision = max(self.changed_revision, change.revision)
        upstream = change.upstream
        if upstream is None:
            return self._handle_deletion(change.name, change.revision, now)
        if self._is_known(change, upstream):
            cold_until = now + upstream.cold_s
            if cold_until < self.cold_until[change.name]:
                self.cold_until[change.name] = cold_until
            self.revisions[change.name] = change.revision
            if self.lapsed_at.pop(change.name, None) is None:
                return None
            return Update(change.name, "changed", change.revision)
        holder = self.by_token.get(upstream.token)
        if holder is not None and holder.name != upstream.name:
            # A second upstream with this token would receive packets of the first one.
            self._handle_deletion(change.name, change.revision, now)
            return Update(change.name, "conflict", change.revision)
        self._remove_predecessor(upstream, now)
        current = self.upstreams.get(change.name)
        outcome: typing.Literal["added", "changed", "restarted"] = "changed"
        if current is None:
            outcome = "added"
        elif current.start_ms != upstream.start_ms:
            outcome = "restarted"
        # An upstream that is cold again may report the same time as at its start.
        self.cold_until[change.name] = now + upstream.cold_s
        self.upstreams[change.name] = upstream
        self.by_token[upstream.token] = upstream
        self.revisions[change.name] = change.revision
        self.lapsed_at.pop(change.name, None)
        if change.name in self.removed:
            self._forget(change.name)
        return Update(change.name, outcome, change.revision)

    def _is_known(self, change: Change, upstream: Upstream) -> bool:
        """Return whether a change repeats the known report of its upstream.

        Peers pass on what is left of a report's `cold_s`. Only another write to the
        store can make the upstream cold again.
        """
        known = self.upstreams.get(change.name)
        if known is None or known == upstream:
            return known is not None
        known_revision = self.revisions[change.name]
        is_written_again = change.revision > known_revision and revisions.get_era(
            change.revision
        ) == revisions.get_era(known_revision)
        same = known._replace(cold_s=upstream.cold_s) == upstream
        return same and not is_written_again

    def _is_outdated(self, change: Change) -> bool:
        """Return whether a later report of the same upstream is known."""
        known = self.upstreams.get(change.name)
        if known is None and change.name in self.removed:
            known = self.removed[change.name].upstream
        if known is None or change.upstream is None:
            return False
        received = (change.upstream.start_ms, change.upstream.sequence)
        return received < (known.start_ms, known.sequence)

    def _remove_predecessor(self, upstream: Upstream, now: float) -> None:
        """Remove a lapsed entry at a new one's address: its upstream has ended."""
        for name in list(self.lapsed_at):
            lapsed = self.upstreams[name]
            if name != upstream.name and lapsed.address == upstream.address:
                self._remove(name, now)

    def _handle_deletion(self, name: str, revision: int, now: float) -> Update | None:
        current = self.upstreams.get(name)
        if current is None or name in self.lapsed_at:
            return None
        self.revisions[name] = revision
        if not current.draining:
            self.lapsed_at[name] = now
            return Update(name, "lapsed", revision)
        self._remove(name, now)
        return Update(name, "removed", revision)

    def _remove(self, name: str, now: float) -> None:
        upstream = self.upstreams.pop(name)
        self.lapsed_at.pop(name, None)
        self.cold_until.pop(name, None)
        self.removed[name] = RemovedUpstream(upstream, now)
        self.removed_by_token[upstream.token] = upstream

    def _forget(self, name: str) -> None:
        upstream = self.removed.pop(name).upstream
        if self.removed_by_token.get(upstream.token) == upstream:
            del self.removed_by_token[upstream.token]

    def _rebuild_indexes(self) -> None:
        self.by_token = {}
        self.by_service = {}
        for upstream in self.upstreams.values():
            self.by_token[upstream.token] = upstream
            self.by_service.setdefault(upstream.service, []).append(upstream)
