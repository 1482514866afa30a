"""The fabric's model of its paths: losses, doubles, reordering, cuts and freezes."""

import random
import typing

MAX_REORDER_S: typing.Final = 0.01


class Effects(typing.NamedTuple):
    """What the fabric does to packets; shares are probabilities."""

    lose: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    delay_s: float = 0.0
    cut: frozenset[str] = frozenset()


def plan_delays(effects: Effects, rng: random.Random) -> tuple[float, ...]:
    """Return the delay of each copy of a packet; none if the packet is lost."""
    if effects.lose and rng.random() < effects.lose:
        return ()
    delay_s = effects.delay_s
    if effects.reorder and rng.random() < effects.reorder:
        delay_s += rng.random() * MAX_REORDER_S
    if effects.double and rng.random() < effects.double:
        return (delay_s, delay_s + rng.random() * MAX_REORDER_S)
    return (delay_s,)
