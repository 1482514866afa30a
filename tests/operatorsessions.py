"""Sessions of operators' commands against the stand-in, as text."""

import itertools
import pathlib

import typer.testing

from pistachioshed.apps import console, operator
from tests import storefakes

START_SECONDS = 1_700_000_000


class Session:
    """Runs commands as one operator and keeps a transcript."""

    def __init__(self, fixture: storefakes.StoreFixture, name: str = "ilze") -> None:
        self.fixture = fixture
        self.name = name
        self.ids = itertools.count(1)
        self.transcript: list[str] = []
        self.code = 0

    def run(self, path: pathlib.Path, command: console.Command) -> console.ExitCode:
        """Run a command's body with the stand-in."""
        environment = console.Environment(
            self.fixture.store,
            self.fixture.clock,
            self.name,
            lambda: START_SECONDS + self.fixture.clock.seconds(),
            lambda: f"{self.name}-{next(self.ids)}",
        )
        return self.fixture.run(command(environment))

    def type(self, line: str) -> str:
        """Run one command line and return its output."""
        result = typer.testing.CliRunner().invoke(
            operator.app, line.split(), obj=self.run, prog_name="pistachioshed"
        )
        if result.exception and not isinstance(result.exception, SystemExit):
            raise result.exception
        self.code = result.exit_code
        self.transcript.append(f"{self.name}$ pistachioshed {line}\n{result.output}")
        if result.exit_code:
            self.transcript[-1] += f"[exit {result.exit_code}]\n"
        return result.output
