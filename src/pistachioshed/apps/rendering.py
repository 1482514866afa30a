"""Render the output of the operators' commands as text or JSON."""

import typing
from collections import abc

import msgspec
import typer

from pistachioshed.core import tables, tableversions
from pistachioshed.operations import audit, commits, documents, status

OUTCOME_TEXTS: typing.Final[dict[commits.Outcome, str]] = {
    "created": "created",
    "applied": "applied",
    "merged": "merged with edits made since",
    "reissued": "written again, because the store was restored from a backup",
    "replayed": "was applied before, nothing changed now",
    "unchanged": "nothing to change",
}
LOST_EDITS_TEXT: typing.Final = (
    "the store was restored from a backup: edits that are missing from the audit trail "
    "are lost, repeat them"
)
LOST_VERSIONS_TEXT: typing.Final = (
    "the store has lost the version in force on {} nodes: it was restored from a "
    "backup, repeat the edits that are missing from the audit trail"
)


def print_json(value: object) -> None:
    """Print a value as one line of JSON."""
    typer.echo(msgspec.json.encode(value).decode())


def print_columns(heading: abc.Sequence[str], rows: abc.Iterable[typing.Any]) -> None:
    """Print rows as aligned columns."""
    lines = [heading, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(heading))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths))
        typer.echo("  ".join(cells).rstrip())


def show_table(table: tables.Table, as_json: bool) -> None:
    """Print a table."""
    if as_json:
        print_json(documents.make_table_document(table))
        return
    active = tables.count_active_rows(table)
    typer.echo(
        f"{table.service}: version {table.version}, "
        f"{len(table.rows)} rows, {active} active"
    )
    rows = (
        row._replace(weight=typing.cast(float, f"{row.weight:g}")) for row in table.rows
    )
    print_columns(tables.Row._fields, rows)


def show_result(result: commits.Result, as_json: bool) -> None:
    """Print the result of an edit."""
    if as_json:
        document = result._asdict()
        if tableversions.is_first(result.version):
            document["warning"] = LOST_EDITS_TEXT
        print_json(document)
        return
    text = OUTCOME_TEXTS[result.outcome]
    typer.echo(f"{result.service}: version {result.version}: {text}")
    if tableversions.is_first(result.version):
        typer.echo(LOST_EDITS_TEXT)
    if result.upstreams:
        typer.echo(f"rows: {', '.join(result.upstreams)}")
    typer.echo(f"edit id: {result.edit_id}")


def show_versions(
    service: str,
    newest: int,
    versions: tuple[status.NodeVersion, ...],
    lost: tuple[status.NodeVersion, ...],
    as_json: bool,
) -> None:
    """Print the version in force on each node; the store has lost those of `lost`."""
    behind = sum(node.version < newest for node in versions)
    if as_json:
        nodes = [node._asdict() for node in versions]
        document: dict[str, object] = {
            "service": service,
            "version": newest,
            "behind": behind,
        }
        if lost:
            document["warning"] = LOST_VERSIONS_TEXT.format(len(lost))
        print_json({**document, "nodes": nodes})
        return
    if lost:
        typer.echo(LOST_VERSIONS_TEXT.format(len(lost)))
    typer.echo(
        f"{service}: newest version {newest}, "
        f"in force on {len(versions) - behind} of {len(versions)} nodes"
    )
    print_columns(status.NodeVersion._fields, versions)


def show_audit(
    records: tuple[audit.Record, ...],
    refusals: tuple[audit.Refusal, ...],
    as_json: bool,
) -> None:
    """Print the applied edits, newest first, followed by the refused ones."""
    if as_json:
        applied = [_make_record_document(record) for record in records]
        refused = [refusal._asdict() for refusal in refusals]
        print_json({"applied": applied, "refused": refused})
        return
    for record in records:
        typer.echo(
            f"version {record.version} from {record.from_version}: {record.result} "
            f"by {record.who} at {record.when}, edit {record.edit_id}"
        )
        for line in list_differences(record):
            typer.echo(f"  {line}")
    for refusal in refusals:
        typer.echo(
            f"refused, made for version {refusal.version}: "
            f"by {refusal.who} at {refusal.when}, edit {refusal.edit_id}"
        )
        typer.echo(f"  {refusal.reason}")


def _make_record_document(record: audit.Record) -> dict[str, object]:
    before = [row._asdict() for row in record.before]
    after = [row._asdict() for row in record.after]
    return {**record._asdict(), "before": before, "after": after}


def _format_cell(value: object) -> str:
    return f"{value:g}" if isinstance(value, float) else str(value)


def list_differences(record: audit.Record) -> abc.Iterator[str]:
    """Yield one line for each row that an edit changed."""
    before = {row.upstream: row for row in record.before}
    after = {row.upstream: row for row in record.after}
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield f"{name}: added at {after[name].address}"
        elif name not in after:
            yield f"{name}: removed from {before[name].address}"
        else:
            changes = (
                f"{column} {_format_cell(old)} -> {_format_cell(new)}"
                for column, old, new in zip(
                    tables.Row._fields, before[name], after[name]
                )
                if old != new
            )
            yield f"{name}: {', '.join(changes)}"
