"""Start, monitor and stop the child processes of a demonstration, and no others."""

import pathlib
import signal
import subprocess
import sys
import time
import typing
from collections import abc

STOP_LIMIT_S: typing.Final = 5.0


class ProcessError(RuntimeError):
    """Raised when a process exits early or is not ready in time; names the process."""


class Supervisor:
    """Manage child processes, each with an output file and a log file of its own."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.log_files: list[typing.IO[bytes]] = []

    def start(self, name: str, module: str, arguments: abc.Sequence[str]) -> None:
        """Start `python -m module` with arguments."""
        output = (self.directory / f"{name}.out").open("wb")
        errors = (self.directory / f"{name}.log").open("wb")
        self.log_files += [output, errors]
        # In a session of its own, a child does not receive the terminal's Ctrl-C, so
        # that `stop_all` can stop the processes in an orderly way.
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
        """Poll until a check returns true and return the seconds that it took.

        Raises
        ------
        ProcessError
            If the check does not return true within `limit_s`.
        """
        started_s = time.monotonic()
        while not check():
            if time.monotonic() - started_s > limit_s:
                raise ProcessError(f"{condition}: not met within {limit_s} s")
            time.sleep(0.05)
        return time.monotonic() - started_s

    def wait_for_line(self, name: str, text: str, limit_s: float) -> None:
        """Wait until a process has written a text to its output or log."""
        files = [self.directory / f"{name}.out", self.directory / f"{name}.log"]

        def check() -> bool:
            if self.processes[name].poll() is not None:
                raise ProcessError(f"{name} exited early:\n{self.read_tail(name)}")
            return any(text in file.read_text() for file in files)

        self.wait_for(f"{name} ready", check, limit_s)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def wait_for_end(self, name: str, limit_s: float) -> int:
        """Wait for a process to exit on its own and return its exit status."""
        try:
            return self.processes[name].wait(limit_s)
        except subprocess.TimeoutExpired as error:
            raise ProcessError(f"{name}: still running after {limit_s} s") from error

    def read_tail(self, name: str, lines: int = 15) -> str:
        """Return the last lines of a process's log."""
        text = (self.directory / f"{name}.log").read_text()
        return "\n".join(text.splitlines()[-lines:])

    def stop_all(self) -> None:
        """Stop all processes by SIGTERM, and by SIGKILL if they do not exit in time."""
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
