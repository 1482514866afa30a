"""Render the events and actions of one process as lines of text."""

import typing
from collections import abc

from pistachioshed.core import tables, wire

Handle = abc.Callable[[typing.Any, float], list[typing.Any]]


class Transcript:
    """Record the events and actions of a `handle` method in `lines`.

    Events and actions for which `is_routine` returns True are left out, except for a
    routine event that caused an action that is not routine.

    Parameters
    ----------
    key : bytes
        The key that authenticates control messages, to render them decoded.
    is_routine : callable
        Returns whether a rendered event or action is left out.
    """

    def __init__(self, key: bytes, is_routine: abc.Callable[[str], bool]) -> None:
        self.key = key
        self.is_routine = is_routine
        self.lines: list[str] = []

    def add_heading(self, text: str) -> None:
        """Add a heading."""
        self.lines.append(f"-- {text}")

    def wrap(self, handle: Handle) -> Handle:
        """Return a handler that records its events and actions."""

        def record(event: typing.Any, now: float) -> list[typing.Any]:
            actions = handle(event, now)
            shown = [self.render(action) for action in actions]
            shown = [text for text in shown if not self.is_routine(text)]
            text = self.render(event)
            if shown or not self.is_routine(text):
                self.lines.append(f"{now:8.3f} {text}")
                self.lines += [f"         > {action}" for action in shown]
            return actions

        return record

    def render(self, item: typing.Any) -> str:
        """Return an event or action as one line."""
        fields = " ".join(
            f"{name}={self._render_value(getattr(item, name))}" for name in item._fields
        )
        return f"{type(item).__name__} {fields}".rstrip()

    def _render_value(self, value: typing.Any) -> str:
        if isinstance(value, bytes):
            try:
                received = wire.decode(value, self.key)
            except wire.WireError:
                return value.hex()
            return f"{received.sender}:{self.render(received.message)}"
        if isinstance(value, tables.Table):
            rows = ",".join(f"{r.upstream}/{r.weight}/{r.state}" for r in value.rows)
            return f"{value.service}:v{value.version}[{rows}]"
        if isinstance(value, (tuple, list)) and not hasattr(value, "_fields"):
            return "[" + ",".join(self._render_value(one) for one in value) + "]"
        if hasattr(value, "_fields"):
            return f"({self.render(value)})"
        if isinstance(value, dict):
            shown = (f"{key}:{self._render_value(v)}" for key, v in value.items())
            return "{" + ",".join(shown) + "}"
        if isinstance(value, float):
            return f"{value:.4g}"
        return str(value)
