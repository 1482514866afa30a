"""The audit trail of a service: applied edits by version, and the last refused ones."""

import typing

import msgspec
from absl import logging

from pistachioshed.core import tables
from pistachioshed.operations import documents
from pistachioshed.ports import store as store_port

AUDIT_PREFIX: typing.Final = "/pistachioshed/audit/"
REFUSALS_PREFIX: typing.Final = "/pistachioshed/refusals/"
KEPT_RECORDS: typing.Final = 500
KEPT_REFUSALS: typing.Final = 50
MAX_REASON_LENGTH: typing.Final = 500
MAX_REFUSED_UPSTREAMS: typing.Final = 20
REFUSAL_ATTEMPTS: typing.Final = 3

RecordResult = typing.Literal["created", "applied", "merged"]


class Record(typing.NamedTuple):
    """One applied edit; `version` is the one that it created.

    `before` and `after` hold only the rows that the edit changed. They are stored as
    arrays: as objects, an edit of all rows of the largest table exceeds the store's
    value size.
    """

    service: str
    version: int
    from_version: int
    edit_id: str
    who: str
    when: str
    result: RecordResult
    before: tuple[tables.Row, ...]
    after: tuple[tables.Row, ...]


class Refusal(typing.NamedTuple):
    """One refused edit; `version` is the one that it was made for."""

    service: str
    version: int
    edit_id: str
    who: str
    when: str
    upstreams: tuple[str, ...]
    reason: str


def make_audit_key(service: str, version: int) -> str:
    """Return a record's key; the padding orders keys by version."""
    return f"{AUDIT_PREFIX}{service}/{version:010d}"


def make_record(
    old: tables.Table,
    new: tables.Table,
    from_version: int,
    who: str,
    when: str,
    result: RecordResult,
) -> Record:
    """Return the record of an edit that turned one table into another."""
    changed = set(tables.diff_tables(old, new))
    before = tuple(row for row in old.rows if row.upstream in changed)
    after = tuple(row for row in new.rows if row.upstream in changed)
    return Record(
        new.service,
        new.version,
        from_version,
        new.edit_id,
        who,
        when,
        result,
        before,
        after,
    )


def make_writes(record: Record) -> list[store_port.Write]:
    """Return the writes that store a record and delete the one out of bounds."""
    value = msgspec.json.encode(record._asdict())
    key = make_audit_key(record.service, record.version)
    writes: list[store_port.Write] = [store_port.Put(key, value)]
    if record.version > KEPT_RECORDS:
        expired_key = make_audit_key(record.service, record.version - KEPT_RECORDS)
        writes.append(store_port.Delete(expired_key))
    return writes


def list_changed_rows(record: Record) -> frozenset[str]:
    """Return the names of the rows that an applied edit changed."""
    return frozenset(row.upstream for row in (*record.before, *record.after))


def revert_edits(table: tables.Table, records: tuple[Record, ...]) -> tables.Table:
    """Undo a table's newest edits.

    Parameters
    ----------
    table : Table
        The newest version.
    records : tuple of Record
        The edits to undo, newest first, without a gap.

    Returns
    -------
    Table
        The version before the last of the records.
    """
    rows = {row.upstream: row for row in table.rows}
    for record in records:
        for name in list_changed_rows(record):
            rows.pop(name, None)
        rows.update({row.upstream: row for row in record.before})
    ordered = tuple(rows[name] for name in sorted(rows))
    return tables.Table(table.service, table.version - len(records), ordered)


async def read_records(
    store: store_port.Store, service: str, limit: int = KEPT_RECORDS
) -> tuple[Record, ...]:
    """Read a service's newest records.

    Parameters
    ----------
    store : Store
        The platform's store.
    service : str
        The service.
    limit : int
        The most records to read, at most `KEPT_RECORDS`.

    Returns
    -------
    tuple of Record
        Newest first.
    """
    response = await store.get_prefix(
        f"{AUDIT_PREFIX}{service}/", min(limit, KEPT_RECORDS), descending=True
    )
    return tuple(_decode_record(pair) for pair in response.pairs)


def _decode_record(pair: store_port.Pair) -> Record:
    try:
        fields = msgspec.json.decode(pair.value, type=dict[str, msgspec.Raw])
        return Record(
            **{
                name: msgspec.json.decode(fields[name], type=kind)
                for name, kind in Record.__annotations__.items()
            }
        )
    except (msgspec.DecodeError, KeyError) as cause:
        raise documents.DocumentError(pair.key, str(cause)) from cause


async def read_refusals(store: store_port.Store, service: str) -> tuple[Refusal, ...]:
    """Read a service's last refused edits, newest first."""
    refusals, _ = await _read_refusals(store, service)
    return refusals


async def _read_refusals(
    store: store_port.Store, service: str
) -> tuple[tuple[Refusal, ...], int]:
    response = await store.get(REFUSALS_PREFIX + service)
    if response.pair is None:
        return (), 0
    try:
        refusals = msgspec.json.decode(response.pair.value, type=tuple[Refusal, ...])
    except msgspec.DecodeError as cause:
        raise documents.DocumentError(response.pair.key, str(cause)) from cause
    return refusals, response.pair.mod_revision


async def record_refusal(store: store_port.Store, refusal: Refusal) -> bool:
    """Store a refused edit in front of the earlier ones.

    The refusal itself matters more to the operator than its record, so a failure to
    record it is logged and not raised.

    Returns
    -------
    bool
        Whether the refusal was recorded.
    """
    truncated = refusal._replace(
        upstreams=refusal.upstreams[:MAX_REFUSED_UPSTREAMS],
        reason=refusal.reason[:MAX_REASON_LENGTH],
    )
    key = REFUSALS_PREFIX + refusal.service
    try:
        for _ in range(REFUSAL_ATTEMPTS):
            earlier, mod_revision = await _read_refusals(store, refusal.service)
            kept = (truncated, *earlier)[:KEPT_REFUSALS]
            unchanged = store_port.Compare(key, "mod", mod_revision)
            put = store_port.Put(key, msgspec.json.encode(kept))
            if (await store.transact([unchanged], [put])).succeeded:
                return True
        cause = "other refusals were recorded at the same time"
    except (store_port.StoreError, documents.DocumentError) as error:
        cause = str(error)
    logging.warning({"event": "refusal not recorded", "key": key, "cause": cause})
    return False
