"""Run operator commands against the store's stand-in and record their output."""

import itertools
import pathlib

import typer.testing

from pistachioshed.apps import console, operator
from tests import storefakes

START_UNIX_S = 1_700_000_000


class Session:
    """Run commands as one operator and record a transcript.

    `exit_code` is that of the last command.
    """

    def __init__(self, fixture: storefakes.StoreFixture, name: str = "ilze") -> None:
        self.fixture = fixture
        self.name = name
        self.edit_numbers = itertools.count(1)
        self.transcript: list[str] = []
        self.exit_code = 0

    def run(self, path: pathlib.Path, command: console.Command) -> console.ExitCode:
        """Run the body of a command against the stand-in."""
        environment = console.Environment(
            self.fixture.store,
            self.fixture.clock,
            self.name,
            lambda: START_UNIX_S + self.fixture.clock.seconds(),
            lambda: f"{self.name}-{next(self.edit_numbers)}",
        )
        return self.fixture.run(command(environment))

    def run_line(self, line: str) -> str:
        """Run a command line and return its output."""
        result = typer.testing.CliRunner().invoke(
            operator.app, line.split(), obj=self.run, prog_name="pistachioshed"
        )
        if result.exception and not isinstance(result.exception, SystemExit):
            raise result.exception
        self.exit_code = result.exit_code
        self.transcript.append(f"{self.name}$ pistachioshed {line}\n{result.output}")
        if result.exit_code:
            self.transcript[-1] += f"[exit {result.exit_code}]\n"
        return result.output
