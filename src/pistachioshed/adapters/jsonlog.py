"""Structured logs: one JSON object a line, on the logger of `absl.logging`.

Programs that import `absl.logging` share that logger. The forwarder does not import
it, because its flags and their parsers lengthen every start.
"""

import logging
import os
import sys
import time
import typing

import msgspec

LOGGER_NAME: typing.Final = "absl"
# A machine of the users opens about 30 flows a second, with 2 lines each; a burst
# holds the lines of a restart of all upstreams.
LINES_PER_S: typing.Final = 100.0
LINES_BURST: typing.Final = 400.0


class BoundedStream:
    """A text stream that drops lines instead of blocking or exceeding a rate.

    Parameters
    ----------
    descriptor : int
        Where the lines go; it is made non-blocking.
    lines_per_s, burst : float
        The rate, and how many lines may come at once.
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
        """Write a line, or count it as dropped."""
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
            # A full or closed pipe; the count is shown by the metrics.
            return self._drop(text)
        self.unreported_drops = 0
        self.needs_newline = False
        if written < len(data):
            # The reader sees a broken line and goes on with the next one.
            self.dropped += 1
            self.needs_newline = True
        return len(text)

    def flush(self) -> None:
        """Do nothing: each line is written at once."""

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
        """Return the record's line."""
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
    """Send all logs of the process to a stream as JSON lines.

    Parameters
    ----------
    identity : dict of str to str
        Fields added to every line, such as the program, node and zone.
    stream : text stream
        Where the lines go.
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
    """Log one event with its fields."""
    logging.getLogger(LOGGER_NAME).info({"event": event, **fields})


def log_failure(event: str, **fields: object) -> None:
    """Log a failure with its fields; give `step` and `peer` where they are known."""
    logging.getLogger(LOGGER_NAME).warning({"event": event, **fields})


def log_exception(event: str, **fields: object) -> None:
    """Log the exception in hand with its traceback."""
    logging.getLogger(LOGGER_NAME).error({"event": event, **fields}, exc_info=True)
