"""Whether a forwarder takes part: a state machine over its start and stop.

The machine is a table, as the import of `automat` lengthens every start.
"""

import typing

State = typing.Literal["starting", "serving", "leaving", "stopped"]
Signal = typing.Literal["state known", "stop requested", "finished"]
"""Configuration and upstreams are known; a graceful stop is wanted; nothing arrives any
more, or the time is up."""

TRANSITIONS: typing.Final[dict[tuple[State, Signal], State]] = {
    ("starting", "state known"): "serving",
    ("starting", "stop requested"): "leaving",
    ("serving", "stop requested"): "leaving",
    ("leaving", "finished"): "stopped",
}


def apply_signal(state: State, signal: Signal) -> State:
    """Return the state after a signal; signals without a transition change nothing."""
    return TRANSITIONS.get((state, signal), state)
