"""What a balancer learns about one upstream from the packets that pass."""

import math
import typing

# Weight of a new sample; ten samples outweigh what was known before.
SLOWNESS_GAIN: typing.Final = 0.1
SLOWNESS_MIN: typing.Final = 0.25  # Bounds on what samples may claim, as a ratio.
SLOWNESS_MAX: typing.Final = 8.0
# First and longest time for which a suspicion stands before a probe may end it. The
# first is the shortest time in which the caller's first copy of an opening arrives.
SUSPICION_HOLD_FIRST_S: typing.Final = 0.2
SUSPICION_HOLD_MAX_S: typing.Final = 4.0
# A health check may fail while its host is well, so a suspected upstream gets a single
# flow from time to time, the first when the entry of a dead host has mostly gone.
TRIAL_FIRST_S: typing.Final = 3.0
TRIAL_MAX_S: typing.Final = 24.0
# A suspicion this long after the previous one is a new matter.
SUSPICION_HOLD_RESET_S: typing.Final = 10.0
# One silent opening may be a lost packet, or a flow that moved to another balancer.
FAILURES_MAX: typing.Final = 2


class PassiveHealth:
    """Evidence about one incarnation of an upstream.

    `outstanding` counts the requests that this balancer sent it and that have no
    response yet. `slowness` is the typical latency of its responses as a ratio to that
    of all upstreams of the service. `heard_at` is the time of its last sign of life on
    a flow and `answered_at` that of the last one at all;
    `suspected_at` when silence was last held against it, None while it is trusted.
    `failures` counts the flows that fell silent since, `probe_requested_at` is when one
    last did. `silent_probes` is how many probes in a row found no machine that answers;
    `probing` is set while one is under way. `tried_at` is when it got a single flow
    while it was suspected, `trial_s` the time until the next one, and `hold_s` how long
    a suspicion stands before a probe may end it.
    """

    __slots__ = (
        "answered_at",
        "failures",
        "heard_at",
        "hold_s",
        "outstanding",
        "probe_requested_at",
        "probed_at",
        "probing",
        "silent_probes",
        "slowness",
        "suspected_at",
        "trial_s",
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
        self.hold_s = SUSPICION_HOLD_FIRST_S
        self.probed_at = -math.inf
        self.silent_probes = 0
        self.failures = 0
        self.probe_requested_at = -math.inf
        self.probing = False
        self.tried_at = -math.inf
        self.trial_s = TRIAL_FIRST_S

    def record_activity(self, now: float) -> bool:
        """Note a sign of life; return whether that ended a suspicion."""
        self.heard_at = self.answered_at = now
        self.failures = 0
        if self.suspected_at is None:
            return False
        self._trust(now)
        return True

    def record_failure(self, since: float, now: float) -> bool:
        """Note a flow that is silent since a time; return whether that is one too many.

        A sign of life after that time outweighs the silence.
        """
        if self.heard_at >= since:
            return False
        self.request_probe(now)
        self.failures += 1
        return self.failures >= FAILURES_MAX

    def request_probe(self, now: float) -> None:
        """Ask for a probe."""
        self.probe_requested_at = now

    def suspect(self, now: float) -> bool:
        """Suspect the upstream; return whether it was trusted until now."""
        if self.suspected_at is not None:
            return False
        if now - self.trusted_at > SUSPICION_HOLD_RESET_S:
            self.hold_s = SUSPICION_HOLD_FIRST_S
            self.trial_s = TRIAL_FIRST_S
        self.suspected_at = now
        return True

    def record_probe(self, passed: bool, silent: bool, now: float) -> bool:
        """Take the result of a probe; return whether it ended a suspicion.

        A host whose probes pass while its flows stay silent is trusted again later
        each time.
        """
        self.silent_probes = self.silent_probes + 1 if silent else 0
        if self.suspected_at is None or not passed:
            return False
        if now - self.suspected_at < self.hold_s:
            return False
        self.hold_s = min(2 * self.hold_s, SUSPICION_HOLD_MAX_S)
        self._trust(now)
        return True

    def may_receive_trial(self, now: float) -> bool:
        """Tell whether a suspected upstream should get a single flow."""
        if self.suspected_at is None:
            return False
        return now - max(self.suspected_at, self.tried_at) >= self.trial_s

    def record_trial(self, now: float) -> None:
        """Note that a suspected upstream got a flow; the next one comes later."""
        if self.may_receive_trial(now):
            self.trial_s = min(2 * self.trial_s, TRIAL_MAX_S)
        self.tried_at = now

    def record_latency(self, ratio: float) -> None:
        """Average the ratio of a response's latency to the typical one."""
        bounded = min(max(ratio, SLOWNESS_MIN), SLOWNESS_MAX)
        self.slowness += SLOWNESS_GAIN * (bounded - self.slowness)

    def _trust(self, now: float) -> None:
        self.suspected_at = None
        self.silent_probes = 0
        self.failures = 0
        self.trusted_at = now
