"""Tests of CSV sheets."""

import pytest

from pistachioshed.operations import sheets
from tests import builders

HEADER_LINES = (
    "service,booking,version,7\nupstream,address,zone,weight,connections,slots,state\n"
)


def test_exported_sheet_is_read_back() -> None:
    """Guard against rows changed by an export or by saving it in a spreadsheet."""
    table = builders.build_table("booking", 2, version=7)
    row = table.rows[0]._replace(weight=0.123456789, zone='hall "a", left')
    table = table._replace(rows=(row, table.rows[1]))
    text = sheets.format_sheet(table)
    sheet = sheets.parse_sheet("b.csv", text)
    assert sheet == sheets.Sheet("booking", 7, table.rows)
    assert sheets.make_edit(table, sheet, "a").upserts == ()
    plain = HEADER_LINES + "a,127.0.0.1:1,z,1,2000,2,active\n"
    lines = [line + ",," for line in plain.splitlines()]
    saved = "\ufeff" + "\r\n".join(lines).replace(",", ";")
    assert sheets.parse_sheet("b.csv", saved) == sheets.parse_sheet("b.csv", plain)


def test_every_fault_of_a_sheet_is_reported_at_once() -> None:
    """Guard against reporting only the first of several errors in a sheet."""
    text = HEADER_LINES + (
        "a,127.0.0.1:1,z,1,2000,2,active\n"
        "a,127.0.0.1:0,,heavy,2.5,0,gone\n"
        "\n"
        "b,127.0.0.1:1,z,-1,2000,2,active,extra\n"
        "c,127.0.0.1:1,z,nan,2000\n"
    )
    with pytest.raises(ExceptionGroup) as caught:
        sheets.parse_sheet("b.csv", text)
    positions = set()
    for error in caught.value.exceptions:
        assert isinstance(error, sheets.SheetError)
        assert error.allowed
        positions.add((error.line, error.column))
    columns = ("upstream", "address", "zone", "weight", "connections", "slots", "state")
    expected = {(4, column) for column in columns} | {(6, "*")}
    expected |= {(7, column) for column in ("address", "weight", "slots", "state")}
    assert positions == expected


@pytest.mark.parametrize(
    ("text", "line", "column"),
    [
        ("", 1, "*"),
        (HEADER_LINES.replace("version,7", ""), 1, "*"),
        (HEADER_LINES.replace(",7", ",seven"), 1, "version"),
        (HEADER_LINES.replace("slots", "slot"), 2, "*"),
        (HEADER_LINES + 'a,"127.0.0.1:1', 3, "*"),
    ],
)
def test_malformed_header_of_a_sheet_is_refused(
    text: str, line: int, column: str
) -> None:
    """Guard against a sheet without a version being applied to the newest one."""
    with pytest.raises(ExceptionGroup) as caught:
        sheets.parse_sheet("b.csv", text)
    error = caught.value.exceptions[0]
    assert isinstance(error, sheets.SheetError)
    assert (error.line, error.column) == (line, column)
