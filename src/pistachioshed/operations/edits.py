"""Apply edits to service tables by compare-and-swap."""

import contextlib
import typing
from collections import abc

from pistachioshed.core import tables, tableversions
from pistachioshed.operations import (
    audit,
    commits,
    documents,
    editrules,
    histories,
)
from pistachioshed.ports import store as store_port

# Extra records to read, for edits committed between reading the table and its records.
SPARE_RECORDS: typing.Final = 16

BuildEdit = abc.Callable[[tables.Table], tables.Edit]


class Snapshot(typing.NamedTuple):
    """A table, the store revision of its last change and the store it was read from."""

    table: tables.Table
    mod_revision: int
    cluster_id: str


async def read_table(store: store_port.Store, service: str) -> tables.Table:
    """Read the table of a service.

    Raises
    ------
    ServiceUnknown
        If the service has no table.
    """
    return (await read_snapshot(store, service)).table


async def read_snapshot(store: store_port.Store, service: str) -> Snapshot:
    """Read the table of a service with its revision and its store.

    Raises
    ------
    ServiceUnknown
        If the service has no table.
    """
    response = await store.get(documents.make_table_key(service))
    if response.pair is None:
        raise editrules.ServiceUnknown(service)
    table = documents.decode_table(response.pair.key, response.pair.value)
    return Snapshot(table, response.pair.mod_revision, response.cluster_id)


async def create_table(
    store: store_port.Store, service: str, edit: tables.Edit, author: commits.Author
) -> commits.Result:
    """Create a service with the rows of an edit, possibly none.

    Raises
    ------
    EditRefused, ExceptionGroup
        If the service exists, another service uses an address or a row is invalid.
    OutcomeUnknown
        If a response was lost and the outcome could not be determined.
    """
    key = documents.make_table_key(service)
    empty = tables.Table(service, 0, ())

    async def prepare() -> commits.Prepared:
        table = tables.apply_edit(empty, edit)
        history = await histories.read_history(store, service, author.when)
        response = await store.get(key)
        if response.pair is not None:
            found = await _find_created_edit(store, service, edit.edit_id)
            current = await read_snapshot(store, service)
            return _confirm(current, history, found, author)
        history = histories.check_reported(history, 0)
        table = table._replace(version=tableversions.get_next(0, history.floor))
        absent = store_port.Compare(key, "create", 0)
        address_compares = await _check_addresses(store, service, edit.upserts)
        record = audit.make_record(empty, table, 0, *author, "created")
        compares = (absent, *address_compares)
        return commits.EditTransaction(compares, table, record, history)

    names = tables.list_edited_rows(edit)
    async with record_refusals(store, service, edit.edit_id, 0, author, names):
        return await commits.commit_edit(store, service, edit.edit_id, prepare)


async def _find_created_edit(
    store: store_port.Store, service: str, edit_id: str
) -> commits.Result:
    for record in await audit.read_records(store, service):
        if record.edit_id == edit_id:
            return commits.make_result("replayed", record)
    raise editrules.EditRefused(service, (), "the service exists already")


async def change_table(
    store: store_port.Store,
    service: str,
    edit_id: str,
    build: BuildEdit,
    author: commits.Author,
    force: bool = False,
    repeated: bool = False,
) -> commits.Result:
    """Build an edit from the current table and apply it.

    Parameters
    ----------
    store : Store
        The key-value store.
    service : str
        The service.
    edit_id : str
        The id of the edit.
    build : callable
        Called with the current version of the table; returns the edit.
    author : Author
        The operator and the time, for the audit trail.
    force : bool
        Whether the edit may leave the service without an active row.
    repeated : bool
        Whether an earlier call may have applied the edit. The edit is then looked up
        in the audit trail first, since its rows may have changed again since.

    Returns
    -------
    Result
        The result, with outcome "replayed" if the edit had already been applied.

    Raises
    ------
    EditConflict, EditRefused, ExceptionGroup
        If the edit conflicts with another one or violates a rule.
    OutcomeUnknown
        If a response was lost and the outcome could not be determined.
    """
    table, _, cluster_id = await read_snapshot(store, service)
    if repeated:
        for record in await audit.read_records(store, service):
            if record.edit_id == edit_id:
                found = commits.make_result("replayed", record)
                return await confirm_result(store, found, cluster_id, author)
    async with record_refusals(store, service, edit_id, table.version, author):
        edit = build(table)
    return await apply_edit(store, service, edit, table.version, author, force)


async def apply_edit(
    store: store_port.Store,
    service: str,
    edit: tables.Edit,
    base_version: int,
    author: commits.Author,
    force: bool = False,
) -> commits.Result:
    """Apply an edit that is based on the current or an earlier version of a table.

    Parameters
    ----------
    store : Store
        The key-value store.
    service : str
        The service.
    edit : Edit
        The rows to change; its id must be unique.
    base_version : int
        The version that the edit was made from.
    author : Author
        The operator and the time, for the audit trail.
    force : bool
        Whether the edit may leave the service without an active row.

    Returns
    -------
    Result
        The result, with the version that contains the edit.

    Raises
    ------
    EditConflict, EditRefused, ExceptionGroup
        If the edit conflicts with another one or violates a rule; the refusal is
        recorded.
    OutcomeUnknown
        If a response was lost and the outcome could not be determined.
    """

    async def prepare() -> commits.Prepared:
        history = await histories.read_history(store, service, author.when)
        current = await read_snapshot(store, service)
        newer = await read_newer_records(store, current.table, base_version)
        for record in newer:
            if record.edit_id == edit.edit_id:
                found = commits.make_result("replayed", record)
                return _confirm(current, history, found, author)
        edited = editrules.merge_edit(current.table, edit, newer, force)
        if edited.rows == current.table.rows:
            version = current.table.version
            found = commits.Result("unchanged", service, version, edit.edit_id)
            return _confirm(current, history, found, author)
        history = histories.check_reported(history, current.table.version)
        version = tableversions.get_next(current.table.version, history.floor)
        edited = edited._replace(version=version)
        key = documents.make_table_key(service)
        unchanged = store_port.Compare(key, "mod", current.mod_revision)
        added = editrules.list_added_rows(current.table, edit)
        address_compares = await _check_addresses(store, service, added)
        result: audit.RecordResult = "merged" if newer else "applied"
        record = audit.make_record(current.table, edited, base_version, *author, result)
        compares = (unchanged, *address_compares)
        return commits.EditTransaction(compares, edited, record, history)

    names = tables.list_edited_rows(edit)
    async with record_refusals(
        store, service, edit.edit_id, base_version, author, names
    ):
        return await commits.commit_edit(store, service, edit.edit_id, prepare)


async def confirm_result(
    store: store_port.Store,
    found: commits.Result,
    cluster_id: str,
    author: commits.Author,
) -> commits.Result:
    """Return the result of an edit that the table of a store already contains.

    If the store was restored since the table was written, nodes may have a lost version
    with other rows in force. The table then gets a new version first.

    Raises
    ------
    EditConflict
        If other edits prevented the new version, or the store was restored since the
        result was found: the edit may be lost.
    OutcomeUnknown
        If a response was lost and the outcome could not be determined.
    """

    async def prepare() -> commits.Prepared:
        history = await histories.read_history(store, found.service, author.when)
        if history.cluster_id != cluster_id:
            reason = "the edit may be lost, repeat it"
            cause = "a restoration of the store"
            raise editrules.EditConflict(found.service, (), cause, reason)
        current = await read_snapshot(store, found.service)
        return _confirm(current, history, found, author)

    return await commits.commit_edit(store, found.service, found.edit_id, prepare)


def _confirm(
    current: Snapshot,
    history: histories.History,
    found: commits.Result,
    author: commits.Author,
) -> commits.Prepared:
    table = current.table
    if current.cluster_id != history.cluster_id:
        return None
    history = histories.check_reported(history, table.version)
    if table.version > history.floor:
        return found
    reissued = table._replace(
        version=tableversions.get_next(table.version, history.floor),
        edit_id=found.edit_id,
    )
    key = documents.make_table_key(table.service)
    unchanged = store_port.Compare(key, "mod", current.mod_revision)
    record = audit.make_record(table, reissued, table.version, *author, "reissued")
    return commits.EditTransaction((unchanged,), reissued, record, history)


@contextlib.asynccontextmanager
async def record_refusals(
    store: store_port.Store,
    service: str,
    edit_id: str,
    base_version: int,
    author: commits.Author,
    upstreams: abc.Iterable[str] = (),
) -> abc.AsyncIterator[None]:
    """Record a refusal if the code in the context refuses the edit."""
    try:
        yield
    except (editrules.EditConflict, editrules.EditRefused, ExceptionGroup) as error:
        errors = error.exceptions if isinstance(error, ExceptionGroup) else (error,)
        reason = "; ".join(str(item) for item in errors)
        names = tuple(sorted(upstreams))
        refusal = audit.Refusal(service, base_version, edit_id, *author, names, reason)
        await audit.record_refusal(store, refusal)
        raise


async def read_newer_records(
    store: store_port.Store, table: tables.Table, base_version: int
) -> tuple[audit.Record, ...]:
    """Read the edits applied to a table since a base version, newest first.

    Raises
    ------
    EditConflict
        If the audit trail no longer contains all of these edits, or the store has lost
        the base version.
    EditRefused
        If the base version is newer than the table.
    """
    count = table.version - base_version
    if count < 0:
        reason = f"made from version {base_version}, the newest is {table.version}"
        raise editrules.EditRefused(table.service, (), reason)
    if count == 0:
        return ()
    records = await audit.read_records(store, table.service, count + SPARE_RECORDS)
    newer = tuple(r for r in records if base_version < r.version <= table.version)
    if not _is_complete(records, newer, base_version):
        reason = f"the audit trail no longer reaches back to version {base_version}"
        conflicting_edits = f"{count} later edits"
        if newer and tableversions.is_first(newer[-1].version):
            reason = f"the store was restored and has lost version {base_version}"
            conflicting_edits = editrules.describe_edit(newer[-1])
        raise editrules.EditConflict(table.service, (), conflicting_edits, reason)
    return newer


def _is_complete(
    records: tuple[audit.Record, ...],
    newer: tuple[audit.Record, ...],
    base_version: int,
) -> bool:
    """Return whether records, newest first, connect a table with a base version."""
    base_found = any(record.version == base_version for record in records)
    earlier_versions = [*(record.version for record in newer[1:]), base_version]
    return bool(newer) and all(
        record.version == earlier + 1
        or (tableversions.is_first(record.version) and base_found)
        for record, earlier in zip(newer, earlier_versions)
    )


async def _check_addresses(
    store: store_port.Store,
    service: str,
    added: abc.Sequence[tables.Row],
) -> tuple[store_port.Compare, ...]:
    """Check that the addresses of added rows are not in use by another service.

    The returned conditions fail the transaction if any table changes after the check.
    """
    if not added:
        return ()
    response = await store.get_prefix(documents.TABLES_PREFIX)
    others = [documents.decode_table(pair.key, pair.value) for pair in response.pairs]
    editrules.check_addresses(service, added, others)
    prefix = documents.TABLES_PREFIX
    return (
        store_port.Compare(prefix, "mod", response.revision + 1, "less", prefix=True),
    )
