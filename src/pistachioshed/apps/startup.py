"""Command-line options and settings loading shared by the daemons."""

import pathlib
import typing
from collections import abc

import typer

T = typing.TypeVar("T")

SettingsOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option("--settings", help="Settings file (INI)."),
]
ListOption = typing.Annotated[
    bool,
    typer.Option("--list-settings", help="Print all settings and exit."),
]


def read_or_exit(
    path: pathlib.Path | None,
    list_settings: bool,
    list_options: abc.Callable[[], abc.Iterable[str]],
    read_settings: abc.Callable[[pathlib.Path], T],
) -> T:
    """Return the checked settings, or print the settings list or the faults and exit.

    Raises
    ------
    typer.Exit
        With status 0 after printing the list of settings, or 2 if the file has
        faults, which are printed to stderr.
    typer.BadParameter
        If neither a file nor the list is requested.
    """
    if list_settings:
        typer.echo("\n".join(list_options()))
        raise typer.Exit(0)
    if path is None:
        raise typer.BadParameter("--settings FILE is required")
    try:
        return read_settings(path)
    except ExceptionGroup as group:
        for fault in group.exceptions:
            typer.echo(str(fault), err=True)
        raise typer.Exit(2) from group
