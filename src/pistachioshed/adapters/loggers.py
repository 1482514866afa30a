"""Write all logs of a process as JSON lines, on the logger of `absl.logging`.

Logs of libraries take the same way.
"""

import logging
import sys
import typing

import msgspec

from pistachioshed.adapters import jsonlog

LOGGER_NAME: typing.Final = "absl"
LEVELS: typing.Final[dict[jsonlog.Level, int]] = {
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


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
    identity: dict[str, str], stream: typing.TextIO | jsonlog.BoundedStream = sys.stderr
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


def log(level: jsonlog.Level, fields: dict[str, object]) -> None:
    """Log an event that is given as its name and fields."""
    logging.getLogger(LOGGER_NAME).log(LEVELS[level], fields)
