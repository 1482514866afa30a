"""Decide whether a starting balancer holds packets until it can serve them.

A balancer can serve once it has received the configuration and the upstreams.

A refusal uses up one of a caller's few attempts. It helps only if the next attempt is
likely to reach a balancer that serves. After a restart of all balancers there is none,
and the caller retransmits its opening soon enough anyway.
"""

import typing

# Packets are always held for this long: the store normally answers in 4 ms, so that
# waiting is no worse than a refusal.
PACKET_HOLD_MIN_S: typing.Final = 0.3
# Callers abandon an attempt after this time; later openings are refused at once.
PACKET_HOLD_MAX_S: typing.Final = 1.4
# An older held opening has been retransmitted since, or its attempt is nearly over:
# callers retransmit after 0.2 and 0.6 s and give up after 1.4 s.
HELD_PACKET_AGE_MAX_S: typing.Final = 0.8
# After a longer pause of the process the callers of all waiting packets have given up
# the attempt or retransmit anyway.
PAUSE_MAX_S: typing.Final = 1.4
# Openings and their retransmissions of 0.8 s on the busiest expected machine.
HELD_PACKETS_MAX: typing.Final = 1_024


def should_hold_packets(waited_s: float, serving: int, peers: int) -> bool:
    """Return whether packets are held until this balancer serves.

    Parameters
    ----------
    waited_s : float
        Time since the start of the process.
    serving : int
        Number of live peers in the zone that can serve flows.
    peers : int
        Number of live peers in the zone.
    """
    if waited_s < PACKET_HOLD_MIN_S:
        return True
    is_retry_likely_served = peers > 0 and 2 * serving >= peers
    return waited_s < PACKET_HOLD_MAX_S and not is_retry_likely_served
