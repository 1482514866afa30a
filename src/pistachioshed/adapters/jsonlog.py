"""Structured logs with one JSON object per line.

Events go to a sink. The forwarder writes its lines itself; the other programs use the
logger of `absl.logging` (`loggers`), whose import would lengthen the forwarder's start.
"""

import json
import os
import time
import typing
from collections import abc

# One of the users' machines opens about 30 flows per second and logs 2 lines for each.
# The burst covers the lines of a restart of all upstreams.
LINES_PER_S: typing.Final = 100.0
LINES_BURST: typing.Final = 400.0


class BoundedStream:
    """A text stream that drops lines rather than block or exceed a rate.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking.
    lines_per_s, burst : float
        Average rate, and maximum number of lines written at once.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst: float = LINES_BURST,
    ) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.burst = burst
        self.tokens = burst
        self.refilled_at = time.monotonic()
        self.dropped = 0
        self.unreported_drops = 0
        self.needs_newline = False

    def may_write(self) -> bool:
        """Return whether the rate allows a line; count one as dropped otherwise.

        The caller need not format a line that is dropped.
        """
        now = time.monotonic()
        earned = (now - self.refilled_at) * self.lines_per_s
        self.tokens = min(self.burst, self.tokens + earned)
        self.refilled_at = now
        if self.tokens < 1:
            self.dropped += 1
            self.unreported_drops += 1
            return False
        self.tokens -= 1
        return True

    def write(self, text: str) -> int:
        """Write a line, or drop it and count it as dropped."""
        if self.may_write():
            self.write_allowed(text)
        return len(text)

    def write_allowed(self, text: str) -> None:
        """Write a line that `may_write` has allowed, without waiting."""
        if self.unreported_drops:
            text = (
                f'{{"event": "lines dropped", "count": {self.unreported_drops}}}\n'
                + text
            )
        if self.needs_newline:
            text = "\n" + text
        data = text.encode()
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            # The pipe is full or closed; the metrics show the number of dropped lines.
            self.dropped += 1
            self.unreported_drops += 1
            return
        self.unreported_drops = 0
        self.needs_newline = False
        if written < len(data):
            # The next write starts a new line, so that the reader loses only this one.
            self.dropped += 1
            self.needs_newline = True

    def flush(self) -> None:
        """Do nothing, since lines are not buffered."""


Level = typing.Literal["info", "warning", "error"]
Sink = abc.Callable[[Level, dict[str, object]], None]
"""Write an event, given its level, and its name and fields."""


def make_sink(identity: dict[str, str], stream: BoundedStream) -> Sink:
    """Return a sink that writes lines to a stream.

    Parameters
    ----------
    identity : dict of str to str
        Fields added to every line, such as the program, node and zone.
    stream : BoundedStream
        Stream to write the lines to.
    """

    def write_event(level: Level, fields: dict[str, object]) -> None:
        if not stream.may_write():
            return
        line = {"time": round(time.time(), 3), "level": level, **identity, **fields}
        text = json.dumps(line, separators=(",", ":"), default=str)
        stream.write_allowed(text + "\n")

    return write_event


def _use_loggers(level: Level, fields: dict[str, object]) -> None:
    """Pass an event on to the logging library, which is imported at first use."""
    from pistachioshed.adapters import loggers

    loggers.log(level, fields)


_sink: Sink = _use_loggers


def set_sink(sink: Sink) -> None:
    """Send the events of this process to a sink."""
    global _sink
    _sink = sink


def log_event(event: str, **fields: object) -> None:
    """Log an event with its fields."""
    _sink("info", {"event": event, **fields})


def log_failure(event: str, **fields: object) -> None:
    """Log a failure with its fields; pass `step` and `peer` where they are known."""
    _sink("warning", {"event": event, **fields})


def log_exception(event: str, error: BaseException, **fields: object) -> None:
    """Log an unexpected exception with its traceback."""
    # Imported here because few processes need it, and all of them start sooner.
    import traceback

    text = "".join(traceback.format_exception(error))
    _sink("error", {"event": event, **fields, "error": text})
