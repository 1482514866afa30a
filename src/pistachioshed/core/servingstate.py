"""State machine for the start and graceful stop of a forwarder.

It is a plain table because importing `automat` would slow down every start.
"""

import typing

State = typing.Literal["starting", "serving", "leaving", "stopped"]
Signal = typing.Literal["state known", "stop requested", "finished"]
"""Input of the state machine.

"state known": configuration and upstreams were received; "stop requested": a graceful
stop was requested; "finished": packets no longer arrive, or the time for the stop is
up.
"""

TRANSITIONS: typing.Final[dict[tuple[State, Signal], State]] = {
    ("starting", "state known"): "serving",
    ("starting", "stop requested"): "leaving",
    ("serving", "stop requested"): "leaving",
    ("leaving", "finished"): "stopped",
}


def apply_signal(state: State, signal: Signal) -> State:
    """Return the state after a signal; without a transition the state is unchanged."""
    return TRANSITIONS.get((state, signal), state)
