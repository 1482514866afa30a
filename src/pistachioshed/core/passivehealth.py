"""Track the health of one upstream as observed from the traffic of this balancer."""

import math
import typing

# Weight of a new sample: ten samples outweigh the earlier average.
SLOWNESS_GAIN: typing.Final = 0.1
SLOWNESS_MIN: typing.Final = 0.25  # Samples are clamped to these ratios.
SLOWNESS_MAX: typing.Final = 8.0
# Initial and longest time for which a suspicion lasts before a probe may end it. The
# initial time is the earliest at which a caller retransmits an opening.
SUSPICION_HOLD_FIRST_S: typing.Final = 0.2
SUSPICION_HOLD_MAX_S: typing.Final = 4.0
# A health check may fail on a healthy host, so a suspected upstream receives a single
# trial flow from time to time. By the first trial, the registry entry of a host that
# really failed has usually expired.
TRIAL_INTERVAL_FIRST_S: typing.Final = 3.0
TRIAL_INTERVAL_MAX_S: typing.Final = 24.0
# A suspicion this long after the end of the previous one starts with initial times.
SUSPICION_HOLD_RESET_S: typing.Final = 10.0
# A single silent flow may be due to a lost packet or to a move to another balancer.
SILENT_FLOWS_MIN: typing.Final = 2

# Cost of a rejection as a fraction of a request's typical latency: the caller has to
# repeat the request elsewhere.
REJECTION_COST: typing.Final = 1.0
# More than the cost of a full queue, so that any other upstream is preferred.
REJECTION_COST_MAX: typing.Final = 4.0
# Time in which the cost falls to 1/e: long enough to be seen by forwarders with few
# openings for each upstream, and over within seconds of the end of a burst.
REJECTION_DECAY_S: typing.Final = 1.5


class PassiveHealth:
    """Observed health of one incarnation of an upstream.

    `outstanding` counts the requests of this balancer without a response. `slowness` is
    the average ratio of the upstream's latency to the typical latency of the route.
    `heard_at` is the time of its last activity on a flow, `answered_at` that of its
    last activity of any kind, including answers to probes. `suspected_at` is when the
    current suspicion began, None while the upstream is trusted, and `trusted_at` when
    the last suspicion ended. `silent_flows` counts the flows that fell silent since
    the last activity or the end of a suspicion. `probe_requested_at` is when a probe
    was last requested and `probed_at` when one was last started; `silent_probes` counts
    the consecutive probes that did not connect in time, and `probing` is set while a
    probe is in progress. `tried_at` is when the upstream last received a flow while
    suspected, `trial_interval_s` the time until the next trial flow, and
    `suspicion_hold_s` how long a suspicion lasts before a probe may end it.
    `rejection_cost` is the cost of the rejections until `rejected_at`, the time of the
    last one, and `rejections` counts them.
    """

    __slots__ = (
        "answered_at",
        "heard_at",
        "outstanding",
        "probe_requested_at",
        "probed_at",
        "probing",
        "rejected_at",
        "rejection_cost",
        "rejections",
        "silent_flows",
        "silent_probes",
        "slowness",
        "suspected_at",
        "suspicion_hold_s",
        "trial_interval_s",
        "tried_at",
        "trusted_at",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.slowness = 1.0
        self.heard_at = -math.inf
        self.answered_at = -math.inf
        self.suspected_at: float | None = None
        self.trusted_at = -math.inf
        self.suspicion_hold_s = SUSPICION_HOLD_FIRST_S
        self.probed_at = -math.inf
        self.silent_probes = 0
        self.silent_flows = 0
        self.probe_requested_at = -math.inf
        self.probing = False
        self.tried_at = -math.inf
        self.trial_interval_s = TRIAL_INTERVAL_FIRST_S
        self.rejection_cost = 0.0
        self.rejected_at = -math.inf
        self.rejections = 0

    def record_activity(self, now: float) -> bool:
        """Record activity on a flow; return whether it ended a suspicion."""
        self.heard_at = self.answered_at = now
        self.silent_flows = 0
        if self.suspected_at is None:
            return False
        self._trust(now)
        return True

    def record_silent_flow(self, since: float, now: float) -> bool:
        """Record a flow that is silent since a time; return whether to suspect.

        The silence is ignored if the upstream showed activity at or after that time.
        """
        if self.heard_at >= since:
            return False
        self.request_probe(now)
        self.silent_flows += 1
        return self.silent_flows >= SILENT_FLOWS_MIN

    def request_probe(self, now: float) -> None:
        """Request a probe of the upstream."""
        self.probe_requested_at = now

    def suspect(self, now: float) -> bool:
        """Mark the upstream as suspected; return whether it was trusted before."""
        if self.suspected_at is not None:
            return False
        if now - self.trusted_at > SUSPICION_HOLD_RESET_S:
            self.suspicion_hold_s = SUSPICION_HOLD_FIRST_S
            self.trial_interval_s = TRIAL_INTERVAL_FIRST_S
        self.suspected_at = now
        return True

    def record_probe(self, passed: bool, silent: bool, now: float) -> bool:
        """Record the result of a probe; return whether it ended a suspicion.

        If probes pass while flows stay silent, each suspicion lasts longer than the one
        before.
        """
        self.silent_probes = self.silent_probes + 1 if silent else 0
        if self.suspected_at is None or not passed:
            return False
        if now - self.suspected_at < self.suspicion_hold_s:
            return False
        self.suspicion_hold_s = min(2 * self.suspicion_hold_s, SUSPICION_HOLD_MAX_S)
        self._trust(now)
        return True

    def may_receive_trial(self, now: float) -> bool:
        """Return whether a trial flow to the suspected upstream is due."""
        if self.suspected_at is None:
            return False
        return now - max(self.suspected_at, self.tried_at) >= self.trial_interval_s

    def record_trial(self, now: float) -> None:
        """Record a flow to the suspected upstream; a due trial doubles the interval."""
        if self.may_receive_trial(now):
            self.trial_interval_s = min(2 * self.trial_interval_s, TRIAL_INTERVAL_MAX_S)
        self.tried_at = now

    def record_latency(self, ratio: float) -> None:
        """Add the ratio of a response's latency to the typical one to the average."""
        bounded = min(max(ratio, SLOWNESS_MIN), SLOWNESS_MAX)
        self.slowness += SLOWNESS_GAIN * (bounded - self.slowness)

    def record_rejection(self, now: float) -> None:
        """Record an answer that came too fast for a request that has run."""
        cost = self.get_rejection_cost(now) + REJECTION_COST
        self.rejection_cost = min(cost, REJECTION_COST_MAX)
        self.rejected_at = now
        self.rejections += 1

    def get_rejection_cost(self, now: float) -> float:
        """Return the cost of recent rejections, which decays within some seconds."""
        if not self.rejection_cost:
            return 0.0
        age_s = max(0.0, now - self.rejected_at)
        return self.rejection_cost * math.exp(-age_s / REJECTION_DECAY_S)

    def _trust(self, now: float) -> None:
        self.suspected_at = None
        self.silent_probes = 0
        self.silent_flows = 0
        self.trusted_at = now
