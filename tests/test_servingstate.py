"""Tests of the state machine for the start and stop of a forwarder."""

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
def test_signals_change_the_state(
    state: servingstate.State,
    signal: servingstate.Signal,
    after: servingstate.State,
) -> None:
    """Guard against a forwarder that does not serve or does not leave the rotation."""
    assert servingstate.apply_signal(state, signal) == after


def test_states_never_go_back() -> None:
    """Guard against a stop that is undone when state arrives during it."""
    for state in STATES:
        for signal in SIGNALS:
            after = servingstate.apply_signal(state, signal)
            assert STATES.index(after) >= STATES.index(state)
    assert servingstate.apply_signal("leaving", "state known") == "leaving"
    assert servingstate.apply_signal("serving", "finished") == "serving"
