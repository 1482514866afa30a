"""Format and parse tables as CSV sheets for editing in a spreadsheet."""

import csv
import io
import typing
from collections import abc

from pistachioshed.core import tables

COLUMNS: typing.Final = tables.Row._fields
HEADING_LABELS: typing.Final = ("service", "version")
NUMBER_COLUMNS: typing.Final[dict[str, tuple[type, str]]] = {
    "weight": (float, "a number from 0 to 1000, such as 0.5"),
    "connections": (int, "a whole number from 0 to 1000000"),
    "slots": (int, "a whole number from 1 to 10000"),
}


class Sheet(typing.NamedTuple):
    """A sheet's rows and the table version that it was exported from."""

    service: str
    version: int
    rows: tuple[tables.Row, ...]


class SheetError(ValueError):
    """An error in a sheet, with its location and the values allowed there."""

    def __init__(self, file: str, line: int, column: str, allowed: str) -> None:
        self.file = file
        self.line = line
        self.column = column
        self.allowed = allowed
        super().__init__(f"{file}: line {line}: {column}: {allowed}")


class _SheetLine(typing.NamedTuple):
    line: int
    cells: list[str]


def format_sheet(table: tables.Table) -> str:
    """Return a table as CSV.

    The first line holds the service and the version, so that an edited sheet is
    compared with that version and not with a later one.
    """
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(("service", table.service, "version", table.version))
    writer.writerow(COLUMNS)
    for row in table.rows:
        writer.writerow(row._replace(weight=_format_number(row.weight)))
    return text.getvalue()


def _format_number(value: float) -> typing.Any:
    return int(value) if value == int(value) else value


def parse_sheet(file: str, text: str) -> Sheet:
    """Parse a sheet.

    Parameters
    ----------
    file : str
        The name of the file, for error messages.
    text : str
        CSV separated by commas or by semicolons, which spreadsheets write in locales
        with a decimal comma.

    Returns
    -------
    Sheet
        The sheet; all its rows are valid.

    Raises
    ------
    ExceptionGroup
        With one `SheetError` for each error in the file.
    """
    text = text.removeprefix("\ufeff")
    delimiter = ";" if ";" in text.partition("\n")[0] else ","
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    lines: list[_SheetLine] = []
    errors: list[SheetError] = []
    try:
        for cells in reader:
            cells = [cell.strip() for cell in cells]
            if any(cells):
                lines.append(_SheetLine(reader.line_num, cells))
    except csv.Error as cause:
        errors.append(SheetError(file, reader.line_num, "*", f"not CSV: {cause}"))
    lines += [
        _SheetLine(len(lines) + number, []) for number in range(1, 3 - len(lines))
    ]
    service, version = _read_heading(file, lines[0], errors)
    column_names = [name for name in lines[1].cells if name]
    if sorted(column_names) != sorted(COLUMNS):
        allowed = "the column names " + ",".join(COLUMNS)
        errors.append(SheetError(file, lines[1].line, "*", allowed))
        raise ExceptionGroup(f"{file}: the sheet is not valid", errors)
    rows = tuple(_read_rows(file, service, column_names, lines[2:], errors))
    if errors:
        raise ExceptionGroup(f"{file}: the sheet is not valid", errors)
    return Sheet(service, version, rows)


def _read_heading(
    file: str, heading: _SheetLine, errors: list[SheetError]
) -> tuple[str, int]:
    cells = [*heading.cells, "", "", "", ""]
    if (cells[0], cells[2]) != HEADING_LABELS or not cells[1] or any(cells[4:]):
        allowed = "service,NAME,version,NUMBER, as the export command writes it"
        errors.append(SheetError(file, heading.line, "*", allowed))
        return "", 0
    if not (cells[3].isascii() and cells[3].isdigit()):
        allowed = f"{cells[3]!r} is not allowed: the number of the exported version"
        errors.append(SheetError(file, heading.line, "version", allowed))
        return cells[1], 0
    return cells[1], int(cells[3])


def _read_rows(
    file: str,
    service: str,
    column_names: list[str],
    lines: list[_SheetLine],
    errors: list[SheetError],
) -> abc.Iterator[tables.Row]:
    first_lines: dict[tuple[str, str], int] = {}
    for line, cells in lines:
        if any(cells[len(column_names) :]):
            allowed = f"{len(column_names)} cells, found {len(cells)}"
            errors.append(SheetError(file, line, "*", allowed))
            continue
        padded = cells + [""] * (len(column_names) - len(cells))
        values = dict(zip(column_names, padded))
        column_errors = _find_number_errors(values)
        row = _make_row({**values, **dict.fromkeys(column_errors, "1")})
        for error in tables.find_row_errors(tables.Table(service, 0, (row,))):
            value = values.get(error.column, "")
            column_errors.setdefault(
                error.column, f"{value!r} is not allowed: {error.allowed}"
            )
        for column in ("upstream", "address"):
            first = first_lines.setdefault((column, values[column]), line)
            if first != line:
                allowed = (
                    f"{values[column]!r} must be unique, it is also on line {first}"
                )
                column_errors.setdefault(column, allowed)
        errors += [
            SheetError(file, line, name, column_errors[name]) for name in column_errors
        ]
        yield row


def _find_number_errors(values: dict[str, str]) -> dict[str, str]:
    column_errors: dict[str, str] = {}
    for column, (parse, allowed) in NUMBER_COLUMNS.items():
        try:
            parse(values[column])
        except ValueError:
            column_errors[column] = f"{values[column]!r} is not allowed: {allowed}"
    return column_errors


def _make_row(values: dict[str, str]) -> tables.Row:
    return tables.Row(
        values["upstream"],
        values["address"],
        values["zone"],
        float(values["weight"]),
        int(values["connections"]),
        int(values["slots"]),
        typing.cast(tables.RowState, values["state"]),
    )


def make_edit(base: tables.Table, sheet: Sheet, edit_id: str) -> tables.Edit:
    """Return the edit from the exported version of a table to a sheet.

    Rows that the sheet does not change are not part of the edit, so it does not revert
    changes that others made to them since the export.
    """
    base_rows = {row.upstream: row for row in base.rows}
    upserts = tuple(row for row in sheet.rows if base_rows.get(row.upstream) != row)
    sheet_names = {row.upstream for row in sheet.rows}
    removals = tuple(name for name in base_rows if name not in sheet_names)
    return tables.Edit(edit_id, upserts, removals)
