"""Tests of packets that arrive before a balancer knows its state."""

import pytest

from pistachioshed.core import admission


@pytest.mark.parametrize(
    ("waited_s", "serving", "peers", "holds"),
    [
        (0.1, 0, 0, True),
        (0.1, 3, 3, True),
        # All balancers restarted together, or no peer is known.
        (1.0, 0, 0, True),
        (1.0, 0, 26, True),
        (1.0, 3, 26, True),
        # The next attempt of a caller probably reaches a balancer that serves.
        (0.5, 13, 26, False),
        (0.5, 2, 2, False),
        # The attempts of the earliest callers have ended.
        (1.5, 0, 0, False),
        (1.5, 0, 26, False),
    ],
)
def test_packets_are_held_if_a_refusal_would_not_help_callers(
    waited_s: float, serving: int, peers: int, holds: bool
) -> None:
    """Guard against refusals that use up the attempts of all callers.

    After all processes had been killed, reading the configuration took over 0.3 s, and
    382 requests were reset three times in quick succession.
    """
    assert admission.should_hold_packets(waited_s, serving, peers) is holds
