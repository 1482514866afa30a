"""When a balancer tells its peers of itself: within a byte budget, news at once."""

import math
import typing

from pistachioshed.core import peertable, tokenbucket

# The users' plan allows a VM 9 KB/s for all control traffic; the rest is for state
# and health checks.
BYTES_PER_S: typing.Final = 8_000.0
BURST_BYTES: typing.Final = 4_000.0  # Half a second of the budget.
DATAGRAM_HEADER_BYTES: typing.Final = 28  # IPv4 and UDP.
# Several upstreams that fall silent together are one piece of news.
CHANGE_INTERVAL_S: typing.Final = 0.01
# What a report holds changes seldom, and is told at once if it is news.
REPORT_INTERVAL_S: typing.Final = 1.0
# Without budget a report waits, but a restarted peer is known again after that time.
REPORT_INTERVAL_MAX_S: typing.Final = 2.0

Kind = typing.Literal["change", "report", "heartbeat"]
"""A report to the whole zone, a report, or a sign of life."""


class ReportedState(typing.NamedTuple):
    """What peers act on at once when it changes.

    `newest` holds the revision of the last change of upstreams and the version of the
    configuration if this balancer follows the store; others learn of them later.
    """

    suspected: frozenset[int]
    store_unreachable: bool
    leaving: bool
    versions: tuple[int, int]


EMPTY_STATE: typing.Final = ReportedState(frozenset(), False, False, (0, 0))


class ReportPacer:
    """Decides what is due; news and signs of life may run up a debt of bytes."""

    def __init__(self) -> None:
        self.bucket = tokenbucket.TokenBucket(BYTES_PER_S, BURST_BYTES)
        self.sent_at = -math.inf
        self.reported_at = -math.inf
        self.reported_state = EMPTY_STATE

    def choose(self, reported_state: ReportedState, now: float) -> Kind | None:
        """Return what to send now, None if nothing is due."""
        self.bucket.refill(now)
        waited_s = now - self.sent_at
        if reported_state != self.reported_state and waited_s >= CHANGE_INTERVAL_S:
            return "change"
        if waited_s < peertable.HEARTBEAT_INTERVAL_S:
            return None
        has_budget = self.bucket.tokens >= 0
        interval_s = REPORT_INTERVAL_S if has_budget else REPORT_INTERVAL_MAX_S
        return "report" if now - self.reported_at >= interval_s else "heartbeat"

    def note_sent(
        self,
        kind: Kind,
        reported_state: ReportedState,
        size: int,
        recipients: int,
        now: float,
    ) -> None:
        """Take datagrams of a size to some recipients out of the budget."""
        self.sent_at = now
        self.bucket.spend((size + DATAGRAM_HEADER_BYTES) * recipients)
        self.bucket.tokens = max(self.bucket.tokens, -BURST_BYTES)
        if kind != "heartbeat":
            self.reported_at = now
            self.reported_state = reported_state
