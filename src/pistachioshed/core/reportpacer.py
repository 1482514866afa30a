"""Pacing of reports to peers: changes at once, the rest within a byte budget."""

import math
import typing

from pistachioshed.core import peertable, tokenbucket

# A VM may use 9 KB/s for all control traffic; the remainder is for state transfers and
# health checks.
BYTES_PER_S: typing.Final = 8_000.0
BURST_BYTES: typing.Final = 4_000.0  # Half a second of the budget.
# A report to 40 peers costs about a second of the budget; less debt would be forgiven
# before it is paid off.
DEBT_MAX_BYTES: typing.Final = 16_000.0
DATAGRAM_HEADER_BYTES: typing.Final = 28  # IPv4 and UDP.
# Combines upstreams that become silent together into one report.
CHANGE_INTERVAL_S: typing.Final = 0.01
# The reported state rarely changes; changes that peers act on are sent at once.
REPORT_INTERVAL_S: typing.Final = 1.0
# Without budget a report is delayed up to this time, within which the peers of a
# restarted forwarder know it again.
REPORT_INTERVAL_MAX_S: typing.Final = 2.0

Kind = typing.Literal["change", "report", "heartbeat", "greeting"]
"""A report of a change to the whole zone, a periodic report, a heartbeat, or a report
to a single new peer."""


class ReportedState(typing.NamedTuple):
    """State that is reported at once when it changes, because peers act on it.

    `versions` holds the revision of the last change of upstreams and the version of the
    configuration that this forwarder has learned from the store itself, and zeros
    before: what it learned from a peer, its other peers learn in the same way.
    """

    suspected: frozenset[int]
    store_unreachable: bool
    leaving: bool
    versions: tuple[int, int]


EMPTY_STATE: typing.Final = ReportedState(frozenset(), False, False, (0, 0))


class ReportPacer:
    """Decide what is due; changes and heartbeats may overdraw the byte budget."""

    def __init__(self) -> None:
        self.bucket = tokenbucket.TokenBucket(BYTES_PER_S, BURST_BYTES)
        self.sent_at = -math.inf
        self.reported_at = -math.inf
        self.reported_state = EMPTY_STATE

    def choose(self, reported_state: ReportedState, now: float) -> Kind | None:
        """Return the kind of message to send now, or None if nothing is due."""
        self.bucket.refill(now)
        waited_s = now - self.sent_at
        if reported_state != self.reported_state and waited_s >= CHANGE_INTERVAL_S:
            return "change"
        if waited_s < peertable.HEARTBEAT_INTERVAL_S:
            return None
        has_budget = self.bucket.tokens >= 0
        interval_s = REPORT_INTERVAL_S if has_budget else REPORT_INTERVAL_MAX_S
        return "report" if now - self.reported_at >= interval_s else "heartbeat"

    def record_sent(
        self,
        kind: Kind,
        reported_state: ReportedState,
        size: int,
        recipients: int,
        now: float,
    ) -> None:
        """Charge a sent message to the budget; `size` is in bytes per recipient."""
        self.bucket.spend((size + DATAGRAM_HEADER_BYTES) * recipients)
        self.bucket.tokens = max(self.bucket.tokens, -DEBT_MAX_BYTES)
        if kind == "greeting":
            return
        self.sent_at = now
        if kind != "heartbeat":
            self.reported_at = now
            self.reported_state = reported_state
