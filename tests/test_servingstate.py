"""Start and stop of a forwarder as states."""

import typing

import pytest

from pistachioshed.core import servingstate

STATES = typing.get_args(servingstate.State)
SIGNALS = typing.get_args(servingstate.Signal)


@pytest.mark.parametrize(
    ("state", "signal", "after"),
    [
        ("starting", "state known", "serving"),
        ("starting", "stop requested", "leaving"),
        ("serving", "stop requested", "leaving"),
        ("leaving", "finished", "stopped"),
    ],
)
def test_signals_move_a_forwarder_on(
    state: servingstate.State,
    signal: servingstate.Signal,
    after: servingstate.State,
) -> None:
    """Guard against a forwarder that does not serve, or does not leave the rotation."""
    assert servingstate.apply_signal(state, signal) == after


def test_a_forwarder_never_goes_back() -> None:
    """Guard against state that arrives during a stop and ends the stop."""
    for state in STATES:
        for signal in SIGNALS:
            after = servingstate.apply_signal(state, signal)
            assert STATES.index(after) >= STATES.index(state)
    assert servingstate.apply_signal("leaving", "state known") == "leaving"
    assert servingstate.apply_signal("serving", "finished") == "serving"
