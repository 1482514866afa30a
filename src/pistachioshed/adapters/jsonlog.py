"""Structured logs: one JSON object a line on standard error, by `absl.logging`."""

import logging as standard_logging
import sys
import typing

import msgspec
from absl import logging

ROOT_FIELDS: typing.Final = ("node", "zone")


class JsonFormatter(standard_logging.Formatter):
    """Format a log record as one JSON object."""

    def __init__(self, identity: dict[str, str]) -> None:
        super().__init__()
        self.identity = identity

    def format(self, record: standard_logging.LogRecord) -> str:
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


def start_logging(identity: dict[str, str], stream: typing.TextIO = sys.stderr) -> None:
    """Send all logs of the process to a stream as JSON lines.

    Parameters
    ----------
    identity : dict of str to str
        Fields added to every line, such as the program, node and zone.
    stream : text stream
        Where the lines go.
    """
    handler = standard_logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(identity))
    root = standard_logging.getLogger()
    root.handlers[:] = [handler]
    absl_logger = logging.get_absl_logger()
    absl_logger.propagate = True
    absl_logger.handlers[:] = []
    logging.set_verbosity(logging.INFO)
    root.setLevel(standard_logging.INFO)


def log_event(event: str, **fields: object) -> None:
    """Log one event with its fields."""
    logging.get_absl_logger().info({"event": event, **fields})


def log_failure(event: str, **fields: object) -> None:
    """Log a failure with its fields; give `step` and `peer` where they are known."""
    logging.get_absl_logger().warning({"event": event, **fields})


def log_exception(event: str, **fields: object) -> None:
    """Log the exception in hand with its traceback."""
    logging.get_absl_logger().error({"event": event, **fields}, exc_info=True)
