"""What a balancer does with packets while it does not know its state yet.

An answer that says "refused" uses up one of a caller's few tries. It helps the caller
only if the next try is likely to reach a balancer that serves; after a restart of all
balancers none does, and the caller's own copies come back soon enough.
"""

import typing

# The store answers in 4 ms; until then nobody is worse off by waiting.
PACKET_HOLD_MIN_S: typing.Final = 0.3
# Callers give an attempt up after that time; later ones are told at once.
PACKET_HOLD_MAX_S: typing.Final = 1.4
# A held opening that is older has a younger copy, or its attempt is nearly over:
# callers repeat it after 0.2 and 0.6 s and give up after 1.4 s.
HELD_PACKET_AGE_MAX_S: typing.Final = 0.8
# 0.8 s of the openings and their copies on the busiest machine of the users' tables.
HELD_PACKETS_MAX: typing.Final = 1_024


def should_hold_packets(waited_s: float, serving: int, peers: int) -> bool:
    """Tell whether packets are kept until the state is known.

    Parameters
    ----------
    waited_s : float
        Time since the start.
    serving, peers : int
        The live balancers of the zone that have their state, and all of them.
    """
    if waited_s < PACKET_HOLD_MIN_S:
        return True
    is_retry_likely_served = peers > 0 and 2 * serving >= peers
    return waited_s < PACKET_HOLD_MAX_S and not is_retry_likely_served
