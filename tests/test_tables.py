"""Tests of table validation and edits."""

import typing

import pytest

from pistachioshed.core import tables
from tests import builders


def test_edit_raises_the_version_and_keeps_other_rows() -> None:
    """Guards against an edit that changes rows it does not name."""
    table = builders.build_table("booking", 3)
    row = table.rows[1]._replace(weight=0.5)
    edited = tables.apply_edit(table, tables.Edit("e1", (row,)))
    assert edited.version == table.version + 1
    assert tables.diff_tables(table, edited) == (row.upstream,)


@pytest.mark.parametrize(
    ("column", "value"),
    [
        ("address", "somewhere"),
        ("address", "127.0.0.1:0"),
        ("weight", float("nan")),
        ("weight", -1.0),
        ("connections", -1),
        ("slots", 0),
        ("state", "gone"),
        ("zone", ""),
    ],
)
def test_invalid_column_is_named(column: str, value: typing.Any) -> None:
    """Guards against an invalid column that is accepted and reaches the fleet."""
    table = builders.build_table("booking", 2)
    row = table.rows[0]._replace(**{column: value})
    with pytest.raises(ExceptionGroup) as caught:
        tables.validate_table(table._replace(rows=(row, table.rows[1])))
    error = caught.value.exceptions[0]
    assert isinstance(error, tables.RowError)
    assert error.column == column


def test_address_of_a_row_cannot_change() -> None:
    """Guards against established flows that are sent to another address."""
    table = builders.build_table("booking", 2)
    row = table.rows[0]._replace(address="127.0.0.9:9")
    with pytest.raises(ExceptionGroup):
        tables.apply_edit(table, tables.Edit("e1", (row,)))
