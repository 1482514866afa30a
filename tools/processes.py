"""Start, watch and end the processes of a demonstration; no others are touched."""

import pathlib
import signal
import subprocess
import sys
import time
import typing
from collections import abc

STOP_LIMIT_S: typing.Final = 5.0


class ProcessError(RuntimeError):
    """A process that ended or was not ready in time; names the process."""


class Supervisor:
    """Owns child processes; each writes to a log file of its own."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.log_files: list[typing.IO[bytes]] = []

    def start(self, name: str, module: str, arguments: abc.Sequence[str]) -> None:
        """Start `python -m module` with arguments."""
        output = (self.directory / f"{name}.out").open("wb")
        errors = (self.directory / f"{name}.log").open("wb")
        self.log_files += [output, errors]
        # A session of its own keeps Ctrl-C at the terminal from the children, so
        # that they are ended in order.
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=errors,
            start_new_session=True,
        )

    def wait_for(
        self,
        condition: str,
        check: abc.Callable[[], bool],
        limit_s: float,
    ) -> float:
        """Poll until a check holds and return the seconds it took.

        Raises
        ------
        ProcessError
            If the check does not hold in time.
        """
        started_s = time.monotonic()
        while not check():
            if time.monotonic() - started_s > limit_s:
                raise ProcessError(f"{condition}: not within {limit_s} s")
            time.sleep(0.05)
        return time.monotonic() - started_s

    def wait_for_line(self, name: str, text: str, limit_s: float) -> None:
        """Wait until a process wrote a text to its output or log."""
        files = [self.directory / f"{name}.out", self.directory / f"{name}.log"]

        def check() -> bool:
            if self.processes[name].poll() is not None:
                raise ProcessError(f"{name} ended early:\n{self.read_tail(name)}")
            return any(text in file.read_text() for file in files)

        self.wait_for(f"{name} ready", check, limit_s)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def wait_for_end(self, name: str, limit_s: float) -> int:
        """Wait for a process to end by itself and return its status."""
        try:
            return self.processes[name].wait(limit_s)
        except subprocess.TimeoutExpired as error:
            raise ProcessError(f"{name}: still running after {limit_s} s") from error

    def read_tail(self, name: str, lines: int = 15) -> str:
        """Return the end of a process's log."""
        text = (self.directory / f"{name}.log").read_text()
        return "\n".join(text.splitlines()[-lines:])

    def stop_all(self) -> None:
        """End all processes, with SIGKILL for those that do not end in time."""
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        end_s = time.monotonic() + STOP_LIMIT_S
        for process in self.processes.values():
            try:
                process.wait(max(0.0, end_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for file in self.log_files:
            file.close()
