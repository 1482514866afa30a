"""Commands that change service tables."""

import pathlib
import typing
from collections import abc

import typer

from pistachioshed.apps import arguments, console, rendering
from pistachioshed.core import tables
from pistachioshed.operations import edits, rowedits, sheetimports, sheets


def run_change(
    context: typer.Context,
    service: str,
    edit_id: str,
    force: bool,
    as_json: bool,
    make_build: abc.Callable[[str], edits.BuildEdit],
) -> None:
    """Apply an edit to the current table, print its result and exit."""

    async def command(environment: console.Environment) -> console.ExitCode:
        chosen_id = edit_id or environment.make_id()
        result = await edits.change_table(
            environment.store,
            service,
            chosen_id,
            make_build(chosen_id),
            environment.make_author(),
            force,
            repeated=bool(edit_id),
        )
        rendering.show_result(result, as_json)
        return console.ExitCode.DONE

    console.run_command(context, command, as_json)


def read_sheet(file: pathlib.Path) -> sheets.Sheet:
    """Read and parse a CSV sheet."""
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as cause:
        error = sheets.SheetError(str(file), 1, "*", f"can not be read: {cause}")
        raise ExceptionGroup(f"{file}: the sheet can not be read", [error]) from cause
    return sheets.parse_sheet(str(file), text)


def apply(
    context: typer.Context,
    service: arguments.Service,
    file: typing.Annotated[
        pathlib.Path,
        typer.Argument(
            help="CSV file, as `export` writes it.", exists=True, dir_okay=False
        ),
    ],
    edit_id: arguments.EditId = "",
    force: arguments.Force = False,
    as_json: arguments.Json = False,
) -> None:
    """Apply the rows that you changed in an exported CSV file.

    Rows that you did not change are left alone, even if others changed them since the
    export. A row that you removed from the file is removed. If others changed one of
    your rows, the whole edit is refused: export and edit again.
    """

    async def command(environment: console.Environment) -> console.ExitCode:
        result = await sheetimports.apply_sheet(
            environment.store,
            service,
            read_sheet(file),
            edit_id or environment.make_id(),
            environment.make_author(),
            force,
        )
        rendering.show_result(result, as_json)
        return console.ExitCode.DONE

    console.run_command(context, command, as_json)


def set_row(
    context: typer.Context,
    service: arguments.Service,
    upstream: arguments.Upstream,
    address: arguments.Address = None,
    zone: arguments.Zone = None,
    weight: arguments.Weight = None,
    connections: arguments.Connections = None,
    slots: arguments.Slots = None,
    state: arguments.State = None,
    edit_id: arguments.EditId = "",
    force: arguments.Force = False,
    as_json: arguments.Json = False,
) -> None:
    """Change columns of one row; omitted columns keep their values."""
    columns = rowedits.Columns(address, zone, weight, connections, slots, state)
    if columns == rowedits.Columns():
        raise typer.BadParameter("name at least one column to change")
    run_change(
        context,
        service,
        edit_id,
        force,
        as_json,
        lambda chosen_id: rowedits.set_columns(upstream, columns, chosen_id),
    )


def add(
    context: typer.Context,
    service: arguments.Service,
    upstream: arguments.Upstream,
    address: typing.Annotated[str, typer.Option(help="ip:port of the host.")],
    zone: typing.Annotated[str, typer.Option(help="Availability zone of the host.")],
    weight: arguments.Weight = None,
    connections: arguments.Connections = None,
    slots: arguments.Slots = None,
    state: arguments.State = None,
    edit_id: arguments.EditId = "",
    as_json: arguments.Json = False,
) -> None:
    """Add an upstream; omitted columns get the default values.

    The defaults are weight 1, 2000 connections, 2 slots and state active.
    """
    columns = rowedits.Columns(None, None, weight, connections, slots, state)
    row = rowedits.replace_columns(tables.Row(upstream, address, zone), columns)
    run_change(
        context,
        service,
        edit_id,
        True,
        as_json,
        lambda chosen_id: rowedits.add_row(row, chosen_id),
    )


def remove(
    context: typer.Context,
    service: arguments.Service,
    upstream: arguments.Upstream,
    edit_id: arguments.EditId = "",
    force: arguments.Force = False,
    as_json: arguments.Json = False,
) -> None:
    """Remove an upstream.

    It gets no new flows; its established flows stay until they end.
    """
    run_change(
        context,
        service,
        edit_id,
        force,
        as_json,
        lambda chosen_id: rowedits.remove_row(upstream, chosen_id),
    )


def drain(
    context: typer.Context,
    service: arguments.Service,
    upstream: arguments.Upstream,
    edit_id: arguments.EditId = "",
    force: arguments.Force = False,
    as_json: arguments.Json = False,
) -> None:
    """Stop sending new flows to an upstream; its established flows stay."""
    columns = rowedits.Columns(state="drain")
    run_change(
        context,
        service,
        edit_id,
        force,
        as_json,
        lambda chosen_id: rowedits.set_columns(upstream, columns, chosen_id),
    )


def undrain(
    context: typer.Context,
    service: arguments.Service,
    upstream: arguments.Upstream,
    edit_id: arguments.EditId = "",
    as_json: arguments.Json = False,
) -> None:
    """Resume sending new flows to an upstream."""
    columns = rowedits.Columns(state="active")
    run_change(
        context,
        service,
        edit_id,
        True,
        as_json,
        lambda chosen_id: rowedits.set_columns(upstream, columns, chosen_id),
    )


def create(
    context: typer.Context,
    service: arguments.Service,
    file: typing.Annotated[
        pathlib.Path | None,
        typer.Argument(
            help="CSV file with the first rows, as `export` writes it for another "
            "service, with this service's name and version 0 on the first line.",
            exists=True,
            dir_okay=False,
        ),
    ] = None,
    edit_id: arguments.EditId = "",
    as_json: arguments.Json = False,
) -> None:
    """Create a service, without rows or with those of a CSV file."""

    async def command(environment: console.Environment) -> console.ExitCode:
        chosen_id = edit_id or environment.make_id()
        edit = tables.Edit(chosen_id)
        if file is not None:
            sheet = read_sheet(file)
            sheetimports.check_service(service, sheet)
            edit = tables.Edit(chosen_id, sheet.rows)
        result = await edits.create_table(
            environment.store, service, edit, environment.make_author()
        )
        rendering.show_result(result, as_json)
        return console.ExitCode.DONE

    console.run_command(context, command, as_json)
