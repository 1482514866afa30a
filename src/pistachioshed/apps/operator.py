"""Command line for operators to show and edit service tables."""

import pathlib
import typing

import typer
from twisted.internet import task

from pistachioshed.adapters import loggers
from pistachioshed.apps import arguments, console, editing, rendering
from pistachioshed.operations import audit as audit_trail
from pistachioshed.operations import edits, sheets, status

POLL_SECONDS: typing.Final = 0.5

HELP: typing.Final = """Show and edit the service tables of the balancers.

An edit is checked, written to the store and then in force on all balancers within
seconds; `versions SERVICE --wait` waits for that. Two operators may edit one table at
the same time: edits of different rows are merged; if both edit the same row, the
second edit is refused.

Exit codes: 0 done; 1 refused, in conflict with another edit, or not in force in time;
2 wrong usage or settings; 3 the outcome is unknown, repeat the command with the edit
id in its message; 4 the store can not be reached and nothing was changed.
"""

app = typer.Typer(
    help=HELP,
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@app.callback()
def set_options(
    context: typer.Context,
    settings: typing.Annotated[
        pathlib.Path,
        typer.Option(
            envvar="PISTACHIOSHED_SETTINGS",
            help="INI file with the store's addresses, [store] addresses, and your "
            "name for the audit trail, [operator] name.",
        ),
    ] = pathlib.Path("pistachioshed.ini"),
) -> None:
    """Store the options given before the command."""
    run = context.obj or console.run_in_reactor
    context.obj = console.Options(settings, run)


@app.command()
def show(
    context: typer.Context,
    service: arguments.Service,
    as_json: arguments.Json = False,
) -> None:
    """Show the newest table of a service."""

    async def command(environment: console.Environment) -> console.ExitCode:
        table = await edits.read_table(environment.store, service)
        rendering.show_table(table, as_json)
        return console.ExitCode.DONE

    console.run_command(context, command, as_json)


@app.command()
def export(
    context: typer.Context,
    service: arguments.Service,
    file: typing.Annotated[
        pathlib.Path | None,
        typer.Argument(help="CSV file to write; standard output if omitted."),
    ] = None,
    as_json: arguments.Json = False,
) -> None:
    """Write a service's table as CSV, to be edited and then applied.

    The first line holds the version. Keep it: `apply` uses it to determine which rows
    you changed, and which ones others changed in the meantime.
    """

    async def command(environment: console.Environment) -> console.ExitCode:
        table = await edits.read_table(environment.store, service)
        text = sheets.format_sheet(table)
        if file is None:
            typer.echo(text, nl=False)
        else:
            file.write_text(text, encoding="utf-8")
            typer.echo(f"{service}: version {table.version} written to {file}")
        return console.ExitCode.DONE

    console.run_command(context, command, as_json)


@app.command()
def versions(
    context: typer.Context,
    service: arguments.Service,
    wait: typing.Annotated[
        bool,
        typer.Option(
            "--wait", help="Wait until all nodes have the newest version in force."
        ),
    ] = False,
    timeout: typing.Annotated[
        float, typer.Option(help="Seconds to wait at most.", min=0.0)
    ] = 30.0,
    as_json: arguments.Json = False,
) -> None:
    """Show which node has which version of a service in force.

    The newest version is the one at the start of the command; later edits do not
    prolong the wait.
    """

    async def command(environment: console.Environment) -> console.ExitCode:
        store, clock = environment.store, environment.clock
        newest = (await edits.read_table(store, service)).version
        deadline = clock.seconds() + timeout
        while True:
            nodes = status.list_versions(await status.read_status(store), service)
            lost = status.list_ahead(nodes, newest)
            if lost:
                # Later edits also put nodes ahead of the version at the start.
                stored = await edits.read_table(store, service)
                lost = status.list_ahead(nodes, stored.version)
            in_force = status.is_in_force(nodes, newest) and not lost
            if in_force or not wait or clock.seconds() >= deadline:
                break
            await task.deferLater(clock, POLL_SECONDS)
        rendering.show_versions(service, newest, nodes, lost, as_json)
        if wait and not in_force:
            raise console.NotInForce(service, newest, timeout)
        return console.ExitCode.DONE

    console.run_command(context, command, as_json)


@app.command()
def audit(
    context: typer.Context,
    service: arguments.Service,
    limit: typing.Annotated[
        int,
        typer.Option(help="Maximum number of edits to show.", min=1, max=500),
    ] = 20,
    as_json: arguments.Json = False,
) -> None:
    """Show who changed what: the last edits, newest first, and the refused ones."""

    async def command(environment: console.Environment) -> console.ExitCode:
        store = environment.store
        await edits.read_table(store, service)
        records = await audit_trail.read_records(store, service, limit)
        refusals = await audit_trail.read_refusals(store, service)
        rendering.show_audit(records, refusals[:limit], as_json)
        return console.ExitCode.DONE

    console.run_command(context, command, as_json)


app.command()(editing.apply)
app.command("set")(editing.set_row)
app.command()(editing.add)
app.command()(editing.remove)
app.command()(editing.drain)
app.command()(editing.undrain)
app.command()(editing.create)


def main() -> None:
    """Run the command line."""
    loggers.start_logging({"program": "pistachioshed"})
    app(prog_name="pistachioshed")


if __name__ == "__main__":
    main()
