"""Network effects of the fabric: loss, duplication, reordering, delay and cuts."""

import random
import typing

MAX_REORDER_S: typing.Final = 0.01


class Effects(typing.NamedTuple):
    """Effects on packets: probabilities, a delay, and the balancers that are cut off.

    The field names are the JSON keys of the admin endpoint.
    """

    lose: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    delay_s: float = 0.0
    cut: frozenset[str] = frozenset()


def plan_delays(effects: Effects, rng: random.Random) -> tuple[float, ...]:
    """Return the delay of each copy of a packet, or no delays if it is lost."""
    if effects.lose and rng.random() < effects.lose:
        return ()
    delay_s = effects.delay_s
    if effects.reorder and rng.random() < effects.reorder:
        delay_s += rng.random() * MAX_REORDER_S
    if effects.double and rng.random() < effects.double:
        return (delay_s, delay_s + rng.random() * MAX_REORDER_S)
    return (delay_s,)
