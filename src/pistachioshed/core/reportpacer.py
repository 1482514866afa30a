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
# A loaded forwarder sends its load with each heartbeat. Without budget it sends it with
# each second one, so that a lost one leaves peers without it for a moment only.
LOAD_INTERVAL_S: typing.Final = peertable.HEARTBEAT_INTERVAL_S
LOAD_INTERVAL_MAX_S: typing.Final = 2 * peertable.HEARTBEAT_INTERVAL_S

Kind = typing.Literal["change", "report", "heartbeat", "load", "greeting"]
"""A report of a change to the whole zone, a periodic report, a heartbeat, a heartbeat
with the load of services, or a report to a single new peer."""


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
        self.load_sent_at = -math.inf
        self.reported_state = EMPTY_STATE

    def choose(
        self, reported_state: ReportedState, now: float, is_loaded: bool = False
    ) -> Kind | None:
        """Return the kind of message to send now, or None if nothing is due.

        `is_loaded` is set if peers need the load of this forwarder.
        """
        self.bucket.refill(now)
        waited_s = now - self.sent_at
        if reported_state != self.reported_state and waited_s >= CHANGE_INTERVAL_S:
            return "change"
        has_budget = self.bucket.tokens >= 0
        load_interval_s = LOAD_INTERVAL_S if has_budget else LOAD_INTERVAL_MAX_S
        load_waited_s = now - self.load_sent_at if is_loaded else 0.0
        if waited_s < peertable.HEARTBEAT_INTERVAL_S:
            # Changes in a row must not keep peers from knowing the load.
            return "load" if load_waited_s >= 2 * load_interval_s else None
        interval_s = REPORT_INTERVAL_S if has_budget else REPORT_INTERVAL_MAX_S
        if now - self.reported_at >= interval_s:
            return "report"
        return "load" if load_waited_s >= load_interval_s else "heartbeat"

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
        if kind == "load":
            self.load_sent_at = now
        elif kind != "heartbeat":
            self.reported_at = now
            self.reported_state = reported_state
