"""Service tables: rows, validation, edits and differences between versions."""

import math
import typing
from collections import abc

from pistachioshed.core import addresses

ROWS_MAX = 4_000
NAME_MAX_LENGTH = 63

RowState = typing.Literal["active", "drain"]
ROW_STATES: typing.Final = ("active", "drain")


class Row(typing.NamedTuple):
    """One upstream of a service.

    `address` is "ip:port", `weight` the relative share of new flows, `connections`
    the limit of open flows across the whole fleet, `slots` the number of requests
    that the upstream processes concurrently.
    """

    upstream: str
    address: str
    zone: str
    weight: float = 1.0
    connections: int = 2_000
    slots: int = 2
    state: RowState = "active"


class Table(typing.NamedTuple):
    """All rows of a service at one version, ordered by upstream name."""

    service: str
    version: int
    rows: tuple[Row, ...]
    edit_id: str = ""


class Edit(typing.NamedTuple):
    """Rows to add or replace and names of rows to remove."""

    edit_id: str
    upserts: tuple[Row, ...] = ()
    removals: tuple[str, ...] = ()


class RowError(ValueError):
    """An invalid row, identified by service, upstream and column."""

    def __init__(self, service: str, upstream: str, column: str, allowed: str) -> None:
        self.service = service
        self.upstream = upstream
        self.column = column
        self.allowed = allowed
        super().__init__(f"{service}: row {upstream!r}: {column}: {allowed}")


def find_row_errors(table: Table) -> abc.Iterator[RowError]:
    """Yield an error for every invalid column of a table's rows."""
    seen_names: set[str] = set()
    seen_addresses: set[str] = set()
    if len(table.rows) > ROWS_MAX:
        yield RowError(table.service, "*", "rows", f"at most {ROWS_MAX}")
    for row in table.rows:
        for column, allowed in _find_column_faults(row):
            yield RowError(table.service, row.upstream, column, allowed)
        if row.upstream in seen_names:
            yield RowError(table.service, row.upstream, "upstream", "must be unique")
        if row.address in seen_addresses:
            yield RowError(table.service, row.upstream, "address", "must be unique")
        seen_names.add(row.upstream)
        seen_addresses.add(row.address)


def _find_column_faults(row: Row) -> abc.Iterator[tuple[str, str]]:
    if not 0 < len(row.upstream) <= NAME_MAX_LENGTH or not row.upstream.isprintable():
        yield "upstream", f"1 to {NAME_MAX_LENGTH} printable characters"
    try:
        addresses.parse_address(row.address)
    except ValueError:
        yield "address", "ip:port, with a port from 1 to 65535"
    if not 0 < len(row.zone) <= NAME_MAX_LENGTH:
        yield "zone", f"1 to {NAME_MAX_LENGTH} characters"
    if not (math.isfinite(row.weight) and 0 <= row.weight <= 1_000):
        yield "weight", "a number from 0 to 1000"
    if not 0 <= row.connections <= 1_000_000:
        yield "connections", "a whole number from 0 to 1000000"
    if not 1 <= row.slots <= 10_000:
        yield "slots", "a whole number from 1 to 10000"
    if row.state not in ROW_STATES:
        yield "state", "one of " + ", ".join(ROW_STATES)


def validate_table(table: Table) -> None:
    """Check that a table is valid.

    Raises
    ------
    ExceptionGroup
        With one `RowError` per invalid column.
    """
    errors = list(find_row_errors(table))
    if errors:
        raise ExceptionGroup(f"{table.service}: the table is not valid", errors)


def apply_edit(table: Table, edit: Edit) -> Table:
    """Return the next version of a table, with an edit applied.

    Parameters
    ----------
    table : Table
        The version that the edit is based on.
    edit : Edit
        The rows to change.

    Returns
    -------
    Table
        Version `table.version + 1`, with rows ordered by upstream name.

    Raises
    ------
    ExceptionGroup
        With a `RowError` for each invalid row, each removal of an unknown row and
        each changed address. A row's address is fixed because established flows are
        bound to it.
    """
    rows = {row.upstream: row for row in table.rows}
    errors = [
        RowError(table.service, name, "upstream", "to remove a row, it must exist")
        for name in edit.removals
        if name not in rows
    ]
    errors += [
        RowError(table.service, row.upstream, "address", "can not change; add a row")
        for row in edit.upserts
        if row.upstream in rows and rows[row.upstream].address != row.address
    ]
    for name in edit.removals:
        rows.pop(name, None)
    for row in edit.upserts:
        rows[row.upstream] = row
    ordered = tuple(rows[name] for name in sorted(rows))
    edited = Table(table.service, table.version + 1, ordered, edit.edit_id)
    errors += find_row_errors(edited)
    if errors:
        raise ExceptionGroup(f"{table.service}: the edit is not valid", errors)
    return edited


def diff_tables(old: Table, new: Table) -> tuple[str, ...]:
    """Return the sorted names of the rows that differ between two tables."""
    before = {row.upstream: row for row in old.rows}
    after = {row.upstream: row for row in new.rows}
    names = sorted(before.keys() | after.keys())
    return tuple(name for name in names if before.get(name) != after.get(name))


def list_edited_rows(edit: Edit) -> frozenset[str]:
    """Return the names of the rows that an edit replaces, adds or removes."""
    return frozenset(edit.removals) | {row.upstream for row in edit.upserts}


def count_active_rows(table: Table) -> int:
    """Count the rows that are eligible for new flows."""
    return sum(row.state == "active" and row.weight > 0 for row in table.rows)
