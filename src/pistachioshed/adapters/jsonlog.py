"""Structured logs with one JSON object per line, on the logger of `absl.logging`.

Programs that import `absl.logging` use the same logger. The forwarder does not import
it, because importing its flags and their parsers lengthens every start.
"""

import logging
import os
import sys
import time
import typing

import msgspec

LOGGER_NAME: typing.Final = "absl"
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

    def write(self, text: str) -> int:
        """Write a line, or drop it and count it as dropped."""
        now = time.monotonic()
        earned = (now - self.refilled_at) * self.lines_per_s
        self.tokens = min(self.burst, self.tokens + earned)
        self.refilled_at = now
        if self.tokens < 1:
            return self._drop(text)
        self.tokens -= 1
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
            return self._drop(text)
        self.unreported_drops = 0
        self.needs_newline = False
        if written < len(data):
            # The next write starts a new line, so that the reader loses only this one.
            self.dropped += 1
            self.needs_newline = True
        return len(text)

    def flush(self) -> None:
        """Do nothing, since lines are not buffered."""

    def _drop(self, text: str) -> int:
        self.dropped += 1
        self.unreported_drops += 1
        return len(text)


class JsonFormatter(logging.Formatter):
    """Format a log record as one JSON object."""

    def __init__(self, identity: dict[str, str]) -> None:
        super().__init__()
        self.identity = identity

    def format(self, record: logging.LogRecord) -> str:
        """Return a log record as one line of JSON."""
        line: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            **self.identity,
        }
        if isinstance(record.msg, dict):
            line.update(record.msg)
        else:
            line["event"] = record.getMessage()
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def start_logging(
    identity: dict[str, str], stream: typing.TextIO | BoundedStream = sys.stderr
) -> None:
    """Write all logs of the process to a stream as JSON lines.

    Parameters
    ----------
    identity : dict of str to str
        Fields added to every line, such as the program, node and zone.
    stream : text stream
        Stream to write the lines to.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(identity))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    logger = logging.getLogger(LOGGER_NAME)
    logger.propagate = True
    logger.handlers[:] = []
    logger.setLevel(logging.INFO)


def log_event(event: str, **fields: object) -> None:
    """Log an event with its fields."""
    logging.getLogger(LOGGER_NAME).info({"event": event, **fields})


def log_failure(event: str, **fields: object) -> None:
    """Log a failure with its fields; pass `step` and `peer` where they are known."""
    logging.getLogger(LOGGER_NAME).warning({"event": event, **fields})


def log_exception(event: str, **fields: object) -> None:
    """Log the exception that is being handled, with its traceback."""
    logging.getLogger(LOGGER_NAME).error({"event": event, **fields}, exc_info=True)
