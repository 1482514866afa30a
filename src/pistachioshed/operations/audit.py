"""Audit trail of a service: applied edits by version and the latest refused edits."""

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

# "reissued": no row changed; the table got a version above those that the store lost.
RecordResult = typing.Literal["created", "applied", "merged", "reissued"]


class Record(typing.NamedTuple):
    """An applied edit; `version` is the table version that it created.

    `from_version` is the version that the edit was made from. `before` and `after` hold
    only the rows that the edit changed. Rows are encoded as arrays: encoded as objects,
    an edit of all rows of the largest table would exceed the store's value size limit.
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
    """A refused edit; `version` is the table version that it was made from."""

    service: str
    version: int
    edit_id: str
    who: str
    when: str
    upstreams: tuple[str, ...]
    reason: str


def make_audit_key(service: str, version: int) -> str:
    """Return the key of a record, zero-padded so that keys sort by version.

    Versions of a restored store have 16 digits (`core/tableversions`) and sort last.
    """
    return f"{AUDIT_PREFIX}{service}/{version:010d}"


def make_record(
    old: tables.Table,
    new: tables.Table,
    from_version: int,
    who: str,
    when: str,
    result: RecordResult,
) -> Record:
    """Return the audit record of an edit that changed table `old` to `new`."""
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
    """Return the writes that store a record and delete the record it displaces.

    Only the newest `KEPT_RECORDS` versions of a service are kept, and as many from
    before each restoration of the store.
    """
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
    """Return an earlier version of a table by reverting its newest edits.

    Parameters
    ----------
    table : Table
        The newest version.
    records : tuple of Record
        The edits to revert, newest first, without gaps in their versions.

    Returns
    -------
    Table
        The rows before the oldest of the records. The version is lower by one for each
        record, which is not the earlier one if the store was restored in between.
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
    """Read the newest audit records of a service.

    Parameters
    ----------
    store : Store
        The key-value store.
    service : str
        The service.
    limit : int
        The maximum number of records to read, capped at `KEPT_RECORDS`.

    Returns
    -------
    tuple of Record
        The records, newest first.
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
    """Read the latest refused edits of a service, newest first."""
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
    """Add a refused edit to the stored refusals of its service.

    A failure to store it is logged and not raised, so that it does not replace the
    refusal itself as the error that the operator sees.

    Returns
    -------
    bool
        Whether the refusal was stored.
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
