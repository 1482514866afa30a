"""Health of an upstream: a state machine driven by data packets and probes."""

import typing
from collections import abc

import automat

from pistachioshed.core import events, hashing, load, settings

# A single silent flow can be caused by the caller or by that connection alone.
SILENT_FLOWS_MIN: typing.Final = 2
PROBE_FAILURES: typing.Final = 3
# Two probers each republish their results every 5 s.
PROBE_STALE_S: typing.Final = 15.0
RECENT_RESPONSE_S: typing.Final = 5.0
HOLD_S: typing.Final = 5.0
HOLD_MAX_S: typing.Final = 60.0

State = typing.Literal["healthy", "suspect", "ejected", "recovering"]


class Inputs(typing.Protocol):
    """Inputs of the state machine: evidence about an upstream."""

    def note_silence(self, now: float) -> None:
        """Record that several flows are waiting and the upstream sends nothing."""

    def note_long_silence(self, now: float) -> None:
        """Record that the silence has lasted twice as long."""

    def note_response(self, now: float) -> None:
        """Record that the upstream sent data."""

    def note_probe_success(self, now: float) -> None:
        """Record that a probe succeeded."""

    def note_probe_failures(self, now: float) -> None:
        """Record that probes failed repeatedly while no data arrived."""

    def end_hold(self, now: float) -> None:
        """End the ejection of an upstream and start its recovery."""

    def end_slow_start(self, now: float) -> None:
        """End a slow start during which the upstream did not fail."""


class Health:
    """The health of one upstream as observed by this balancer.

    `since` is when the upstream entered its state, `hold_s` how long an ejection
    lasts at least unless the upstream sends data. `failures` counts the failed probes
    since the last evidence of recovery. `draining` is reported by the health endpoint
    and tracked independently of the state.
    """

    __slots__ = (
        "draining",
        "failures",
        "hold_s",
        "inputs",
        "probed_at",
        "since",
        "state",
    )

    def __init__(self) -> None:
        self.state: State = "healthy"
        self.since = 0.0
        self.draining = False
        self.failures = 0
        self.probed_at: float | None = None
        self.hold_s = HOLD_S
        self.inputs: Inputs = _build_machine(self)

    def record_probe(
        self,
        probe: events.ProbeReported,
        upstream_load: load.Load,
        may_eject: abc.Callable[[], bool],
        now: float,
    ) -> None:
        """Update the health from a probe result.

        A host that responds to data is not ejected because of failed probes alone.
        """
        self.probed_at = now
        self.draining = probe.draining
        if probe.ok:
            self.failures = 0
            self.inputs.note_probe_success(now)
            return
        self.failures += 1
        if (
            self.failures >= PROBE_FAILURES
            and now - upstream_load.heard_at > RECENT_RESPONSE_S
            and may_eject()
        ):
            self.inputs.note_probe_failures(now)

    def evaluate(
        self,
        upstream_load: load.Load,
        config: settings.Settings,
        may_eject: abc.Callable[[], bool],
        now: float,
    ) -> None:
        """Update the health from data path silence, responses and elapsed time."""
        if self.state == "ejected":
            if upstream_load.heard_at > self.since:
                self._recover(upstream_load, now)
            elif now - self.since >= self.hold_s and not self._is_failing(now):
                self._recover(upstream_load, now)
            return
        # With failed probes, the silence of a single flow is sufficient evidence.
        needed = 1 if self.failures else SILENT_FLOWS_MIN
        silence_s = (
            now - upstream_load.requested_at
            if upstream_load.unanswered >= needed
            else 0.0
        )
        if silence_s > 2 * config.silence_s and may_eject():
            self.inputs.note_long_silence(now)
        elif silence_s > config.silence_s and self.state == "healthy":
            self.inputs.note_silence(now)
        elif self.state == "suspect" and upstream_load.heard_at > self.since:
            self.failures = 0
            self.inputs.note_response(now)
        elif self.state == "recovering" and now - self.since >= config.slow_start_s:
            self.hold_s = HOLD_S
            self.inputs.end_slow_start(now)

    def is_warm(self, name: str, key: bytes, slow_start_s: float, now: float) -> bool:
        """Return whether a flow is in the share that a recovering upstream admits."""
        if self.state != "recovering":
            return True
        return hashing.draw_share(key, name) * slow_start_s < now - self.since

    def enter(self, state: State, now: float) -> None:
        """Record the new state and when it was entered."""
        self.state = state
        self.since = now

    def _recover(self, upstream_load: load.Load, now: float) -> None:
        # Flows that became silent before the recovery must not count against it.
        upstream_load.unanswered = 0
        self.failures = 0
        self.inputs.end_hold(now)

    def _is_failing(self, now: float) -> bool:
        return (
            self.failures > 0
            and self.probed_at is not None
            and now - self.probed_at < PROBE_STALE_S
        )


def _define_machine() -> automat.TypeMachineBuilder[Inputs, Health]:
    builder = automat.TypeMachineBuilder(Inputs, Health)
    healthy = builder.state("healthy")
    suspect = builder.state("suspect")
    ejected = builder.state("ejected")
    recovering = builder.state("recovering")

    def make_suspect(inputs: Inputs, health: Health, now: float) -> None:
        health.enter("suspect", now)

    def make_healthy(inputs: Inputs, health: Health, now: float) -> None:
        health.enter("healthy", now)

    def make_recovering(inputs: Inputs, health: Health, now: float) -> None:
        health.enter("recovering", now)

    def eject(inputs: Inputs, health: Health, now: float) -> None:
        health.enter("ejected", now)

    def eject_again(inputs: Inputs, health: Health, now: float) -> None:
        # A host that fails while it recovers is retried at increasing intervals.
        health.hold_s = min(2 * health.hold_s, HOLD_MAX_S)
        health.enter("ejected", now)

    healthy.upon(Inputs.note_silence).to(suspect)(make_suspect)
    healthy.upon(Inputs.note_long_silence).to(suspect)(make_suspect)
    healthy.upon(Inputs.note_probe_failures).to(suspect)(make_suspect)
    suspect.upon(Inputs.note_response).to(healthy)(make_healthy)
    suspect.upon(Inputs.note_probe_success).to(healthy)(make_healthy)
    suspect.upon(Inputs.note_long_silence).to(ejected)(eject)
    suspect.upon(Inputs.note_probe_failures).to(ejected)(eject)
    ejected.upon(Inputs.end_hold).to(recovering)(make_recovering)
    recovering.upon(Inputs.end_slow_start).to(healthy)(make_healthy)
    recovering.upon(Inputs.note_silence).to(ejected)(eject_again)
    recovering.upon(Inputs.note_long_silence).to(ejected)(eject_again)
    recovering.upon(Inputs.note_probe_failures).to(ejected)(eject_again)
    for state, ignored in (
        (
            healthy,
            (
                Inputs.note_response,
                Inputs.note_probe_success,
                Inputs.end_hold,
                Inputs.end_slow_start,
            ),
        ),
        (suspect, (Inputs.note_silence, Inputs.end_hold, Inputs.end_slow_start)),
        (
            ejected,
            (
                Inputs.note_silence,
                Inputs.note_long_silence,
                Inputs.note_response,
                Inputs.note_probe_success,
                Inputs.note_probe_failures,
                Inputs.end_slow_start,
            ),
        ),
        (
            recovering,
            (Inputs.note_response, Inputs.note_probe_success, Inputs.end_hold),
        ),
    ):
        for ignored_input in ignored:
            state.upon(ignored_input).loop().returns(None)
    return builder


_build_machine: typing.Final = _define_machine().build()
