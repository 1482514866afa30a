"""Fenced lease and writes of a zone's status: the versions in force per node."""

import typing

from pistachioshed.core import controlevents, events

GRANT_INTERVAL_S: typing.Final = 2.0
# How long an unanswered grant or write delays the next one.
CALL_TIMEOUT_S: typing.Final = 5.0

Status = dict[str, dict[str, int]]


class Lease(typing.NamedTuple):
    """A held lease; this process must not rely on it from `ends_at` on."""

    lease_id: int
    fence: int
    ends_at: float


class StatusReporter:
    """Hold the lease of a zone's reporter and write the zone's status.

    By this process's clock, the lease ends one time to live, less a margin, after its
    last successful renewal was sent. A process that is paused after checking this can
    still send a write; the fence makes the store refuse it.
    """

    def __init__(self, settings: controlevents.Settings) -> None:
        self.settings = settings
        self.lease: Lease | None = None
        self.grant_requested_at: float | None = None
        self.next_grant_at = 0.0
        self.next_renewal_at = 0.0
        self.write_sent_at: float | None = None
        self.status_in_flight: Status | None = None
        self.written_status: Status | None = None
        self.written_at = 0.0

    def step(
        self, first_ranked: bool, status: Status, now: float
    ) -> list[controlevents.Action]:
        """Return the store calls that are due.

        `first_ranked` is set for the member that should report for its zone.
        """
        lease = self.lease
        if lease is not None and now >= lease.ends_at:
            return self.step_down("lease not renewed in time", now)
        if not first_ranked:
            self.grant_requested_at = None
            if lease is None:
                return []
            drop = controlevents.DropLease(lease.lease_id)
            return [drop, *self.step_down("not first ranked", now)]
        if lease is None:
            return self._request_lease(now)
        actions: list[controlevents.Action] = []
        if now >= self.next_renewal_at:
            self.next_renewal_at = now + self.settings.lease_renew_s
            actions.append(controlevents.RenewLease(lease.lease_id))
        if self._is_write_due(status, now):
            self.write_sent_at = now
            self.status_in_flight = status
            actions.append(controlevents.WriteStatus(lease.fence, status))
        return actions

    def _request_lease(self, now: float) -> list[controlevents.Action]:
        request_pending = self.grant_requested_at is not None
        if request_pending and now - (self.grant_requested_at or 0.0) < CALL_TIMEOUT_S:
            return []
        if now < self.next_grant_at:
            return []
        self.grant_requested_at = now
        self.next_grant_at = now + GRANT_INTERVAL_S
        return [controlevents.GrantLease(self.settings.lease_ttl_s)]

    def _is_write_due(self, status: Status, now: float) -> bool:
        if self.write_sent_at is not None and now - self.write_sent_at < CALL_TIMEOUT_S:
            return False
        if now - self.written_at < self.settings.status_gap_s:
            return False
        overdue = now - self.written_at >= self.settings.status_interval_s
        return overdue or status != self.written_status

    def accept_lease(
        self, event: controlevents.LeaseGranted, now: float
    ) -> list[controlevents.Action]:
        """Keep a granted lease, or drop it if the answer came too late."""
        sent_at, self.grant_requested_at = self.grant_requested_at, None
        if sent_at is None:
            return [controlevents.DropLease(event.lease)]
        ends_at = self._compute_end(sent_at)
        if now >= ends_at:
            return [controlevents.DropLease(event.lease)]
        self.lease = Lease(event.lease, event.fence, ends_at)
        self.next_renewal_at = sent_at + self.settings.lease_renew_s
        self.written_status = None
        self.write_sent_at = None
        self.written_at = now - self.settings.status_gap_s
        fields: dict[str, object] = {"fence": event.fence}
        return [events.Notice("reporter_started", fields)]

    def accept_renewal(
        self, event: controlevents.LeaseRenewed, now: float
    ) -> list[controlevents.Action]:
        """Extend the lease by its time to live, counted from the renewal's sending."""
        if self.lease is not None and self.lease.lease_id == event.lease:
            ends_at = max(self.lease.ends_at, self._compute_end(event.sent_at))
            self.lease = self.lease._replace(ends_at=ends_at)
        return []

    def _compute_end(self, sent_at: float) -> float:
        return sent_at + self.settings.lease_ttl_s - self.settings.lease_margin_s

    def record_write(
        self, event: controlevents.StatusWritten, now: float
    ) -> list[controlevents.Action]:
        """Record that the write in flight took effect."""
        self.write_sent_at = None
        self.written_status = self.status_in_flight
        self.written_at = now
        return []

    def record_write_failure(
        self, event: controlevents.StatusFailed, now: float
    ) -> list[controlevents.Action]:
        """Record that the write in flight failed, so that it is retried."""
        self.written_status = None
        self.written_at = now
        self.write_sent_at = None
        return []

    def lose_lease(
        self, event: controlevents.LeaseLost, now: float
    ) -> list[controlevents.Action]:
        """Step down, since the lease was lost or the fence refused a write."""
        return self.step_down(event.reason, now)

    def step_down(self, reason: str, now: float) -> list[controlevents.Action]:
        """Stop reporting, or abandon a pending lease request."""
        self.grant_requested_at = None
        self.next_grant_at = now + GRANT_INTERVAL_S
        if self.lease is None:
            return []
        fields: dict[str, object] = {"fence": self.lease.fence, "reason": reason}
        self.lease = None
        return [events.Notice("reporter_stopped", fields)]
