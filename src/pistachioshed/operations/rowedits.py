"""Builders for edits of a single row, applied to the current table."""

import typing

from pistachioshed.core import tables
from pistachioshed.operations import editrules, edits


class Columns(typing.NamedTuple):
    """New column values of a row; None keeps the current value."""

    address: str | None = None
    zone: str | None = None
    weight: float | None = None
    connections: int | None = None
    slots: int | None = None
    state: tables.RowState | None = None


def set_columns(upstream: str, columns: Columns, edit_id: str) -> edits.BuildEdit:
    """Return a function that builds an edit of a row's columns."""

    def build(table: tables.Table) -> tables.Edit:
        row = find_row(table, upstream)
        return tables.Edit(edit_id, (replace_columns(row, columns),))

    return build


def replace_columns(row: tables.Row, columns: Columns) -> tables.Row:
    """Return a row with the columns that are not None replaced."""
    given = {name: v for name, v in columns._asdict().items() if v is not None}
    return row._replace(**given)


def add_row(row: tables.Row, edit_id: str) -> edits.BuildEdit:
    """Return a function that builds an edit that adds a row with a new name."""

    def build(table: tables.Table) -> tables.Edit:
        if any(other.upstream == row.upstream for other in table.rows):
            reason = f"{row.upstream}: the row exists, change it by set"
            raise editrules.EditRefused(table.service, (row.upstream,), reason)
        return tables.Edit(edit_id, (row,))

    return build


def remove_row(upstream: str, edit_id: str) -> edits.BuildEdit:
    """Return a function that builds an edit that removes a row."""

    def build(table: tables.Table) -> tables.Edit:
        find_row(table, upstream)
        return tables.Edit(edit_id, removals=(upstream,))

    return build


def find_row(table: tables.Table, upstream: str) -> tables.Row:
    """Return the row of an upstream.

    Raises
    ------
    EditRefused
        If there is no such row; the reason lists the existing rows.
    """
    for row in table.rows:
        if row.upstream == upstream:
            return row
    names = ", ".join(row.upstream for row in table.rows) or "none"
    reason = f"there is no row {upstream!r}; rows: {names}"
    raise editrules.EditRefused(table.service, (upstream,), reason)
