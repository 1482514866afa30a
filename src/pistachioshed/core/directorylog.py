"""Log what is received for the directory of upstreams, and what it changes."""

import typing
from collections import abc

from pistachioshed.core import directory, revisions, segments

# Written out, so that a search for an event finds it.
UPDATE_EVENTS: typing.Final = {
    "added": "upstream added",
    "changed": "upstream changed",
    "restarted": "upstream restarted",
    "lapsed": "upstream lapsed",
    "removed": "upstream removed",
    "conflict": "upstream conflict",
    "outdated": "upstream outdated",
}


def record_batch(
    record: segments.Record,
    registry: directory.Directory,
    revision: int,
    snapshot: bool,
) -> None:
    """Log a batch, before it is applied, if it is outdated or of a restored store."""
    known = registry.revision
    if revision < known:
        record(
            "upstreams outdated", received=revision, snapshot=snapshot, upstreams=known
        )
    era, known_era = revisions.get_era(revision), revisions.get_era(known)
    if known and era > known_era:
        record(
            "store restored",
            era=era,
            previous_era=known_era,
            received=revision,
            upstreams=known,
        )


def record_snapshot(
    record: segments.Record,
    registry: directory.Directory,
    updates: abc.Iterable[directory.Update],
    revision: int,
) -> None:
    """Log a snapshot in one line, whatever the number of its upstreams."""
    services = {
        service: len(upstreams) for service, upstreams in registry.by_service.items()
    }
    added = sum(update.outcome == "added" for update in updates)
    record("upstreams read", upstreams=revision, added=added, services=services)


def record_update(
    record: segments.Record, registry: directory.Directory, update: directory.Update
) -> None:
    """Log the change of one upstream."""
    upstream = registry.upstreams.get(update.name)
    record(
        UPDATE_EVENTS[update.outcome],
        upstream=update.name,
        service=upstream.service if upstream else None,
        draining=upstream.draining if upstream else None,
        started_ms=upstream.start_ms if upstream else None,
        sequence=upstream.sequence if upstream else None,
        upstreams=update.revision,
    )
