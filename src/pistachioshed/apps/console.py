"""Shared parts of the operators' commands: settings, reactor and exit codes."""

import datetime
import enum
import getpass
import pathlib
import random
import time
import typing
import uuid
from collections import abc

import msgspec
import typer
from twisted.internet import defer, task

from pistachioshed.adapters import etcd, etcdgateway, ini
from pistachioshed.core import tables
from pistachioshed.operations import commits, documents, editrules, sheets
from pistachioshed.ports import store as store_port


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4


class Settings(typing.NamedTuple):
    """Settings of the operators' commands."""

    addresses: tuple[str, ...]
    deadline_seconds: float
    operator: str


class Environment(typing.NamedTuple):
    """The store, clock, operator and id generator that a command uses."""

    store: store_port.Store
    clock: typing.Any
    operator: str
    read_time: abc.Callable[[], float]
    make_id: abc.Callable[[], str]

    def make_author(self) -> commits.Author:
        """Return the operator and the current time, for the audit trail."""
        return commits.Author(self.operator, format_time(self.read_time()))


Command = abc.Callable[[Environment], abc.Coroutine[typing.Any, typing.Any, ExitCode]]
# Runs a command with the settings from a file and returns its exit code.
CommandRunner = abc.Callable[[pathlib.Path, Command], ExitCode]


class Options(typing.NamedTuple):
    """Options shared by all commands."""

    settings: pathlib.Path
    run: CommandRunner


class NotInForce(Exception):
    """A version that did not come into force on all nodes within the timeout."""

    def __init__(self, service: str, version: int, seconds: float) -> None:
        super().__init__(
            f"{service}: version {version} is not in force on all nodes "
            f"after {seconds:g} s"
        )


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parse comma-separated "ip:port" addresses."""
    addresses = tuple(address.strip() for address in text.split(","))
    for address in addresses:
        editrules.normalize_address(address)
    return addresses


def parse_operator(text: str) -> str:
    """Parse the operator's name; an empty text selects the system's user."""
    try:
        return ini.parse_name(text or getpass.getuser())
    except (KeyError, OSError) as cause:
        raise ValueError("the system's user has no name") from cause


OPTIONS: typing.Final = (
    ini.Option(
        "store",
        "addresses",
        "addresses",
        parse_addresses,
        "ip:port of the store, several separated by commas",
    ),
    ini.Option(
        "store",
        "deadline_seconds",
        "deadline_seconds",
        ini.parse_positive,
        "seconds above 0",
        str(etcd.DEADLINE_SECONDS),
    ),
    ini.Option(
        "operator",
        "name",
        "operator",
        parse_operator,
        "the name for the audit trail, without spaces",
        "",
    ),
)


def format_time(seconds: float) -> str:
    """Format seconds since the epoch as an ISO 8601 time in UTC."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec="seconds")


def run_in_reactor(path: pathlib.Path, command: Command) -> ExitCode:
    """Read the settings, run a command in the reactor and return its exit code."""
    settings = ini.read_settings(path, OPTIONS, Settings)
    results: list[ExitCode] = []
    failures: list[Exception] = []

    async def run(reactor: typing.Any) -> None:
        http = etcdgateway.make_client(reactor, settings.deadline_seconds)
        store = etcd.EtcdStore(
            settings.addresses,
            http,
            reactor,
            random.Random(),
            settings.deadline_seconds,
        )
        environment = Environment(
            store, reactor, settings.operator, time.time, lambda: uuid.uuid4().hex
        )
        try:
            results.append(await command(environment))
        except Exception as error:
            failures.append(error)

    try:
        task.react(lambda reactor: defer.Deferred.fromCoroutine(run(reactor)))
    except SystemExit:
        # task.react always raises SystemExit; the outcome is in the two lists.
        pass
    if failures:
        raise failures[0]
    return results[0] if results else ExitCode.UNKNOWN


def choose_exit_code(error: Exception) -> ExitCode | None:
    """Return the exit code of an expected error, or None for a program error."""
    match error:
        case ExceptionGroup():
            codes = [choose_exit_code(nested) for nested in error.exceptions]
            return None if None in codes else codes[0]
        case editrules.OutcomeUnknown() | store_port.AnswerLost():
            return ExitCode.UNKNOWN
        case store_port.StoreUnavailable():
            return ExitCode.UNREACHABLE
        case ini.SettingError():
            return ExitCode.USAGE
        case (
            editrules.EditConflict()
            | editrules.EditRefused()
            | editrules.ServiceUnknown()
            | documents.ServiceNameError()
            | documents.DocumentError()
            | sheets.SheetError()
            | tables.RowError()
            | store_port.StoreRefused()
            | NotInForce()
        ):
            return ExitCode.REFUSED
    return None


def list_messages(error: Exception) -> list[str]:
    """Return one message for each error, including those in exception groups."""
    if isinstance(error, ExceptionGroup):
        return [line for nested in error.exceptions for line in list_messages(nested)]
    return [str(error)]


def run_command(
    context: typer.Context, command: Command, as_json: bool
) -> typing.NoReturn:
    """Run a command, print its errors and exit with its code.

    Raises
    ------
    typer.Exit
        Always, with the exit code.
    """
    options: Options = context.obj
    try:
        code = options.run(options.settings, command)
    except Exception as error:
        chosen = choose_exit_code(error)
        if chosen is None:
            raise
        messages = list_messages(error)
        if as_json:
            document = {"exit_code": int(chosen), "errors": messages}
            typer.echo(msgspec.json.encode(document).decode(), err=True)
        else:
            for message in messages:
                typer.echo(f"error: {message}", err=True)
        raise typer.Exit(int(chosen)) from error
    raise typer.Exit(int(code))
