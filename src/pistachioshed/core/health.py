"""Health of an upstream: a state machine driven by data packets and probes."""

import typing
from collections import abc

import automat

from pistachioshed.core import events, hashing, load, settings

# A single silent flow can be caused by the caller or by that connection alone.
SILENT_FLOWS_MIN: typing.Final = 2
FAILED_PROBES_MIN: typing.Final = 3
# Two probers each republish their results every 5 s.
PROBE_STALE_S: typing.Final = 15.0
RECENT_RESPONSE_S: typing.Final = 5.0
EJECTION_S: typing.Final = 5.0
EJECTION_MAX_S: typing.Final = 60.0

State = typing.Literal["healthy", "suspect", "ejected", "recovering"]


class Inputs(typing.Protocol):
    """Inputs of the state machine: evidence about an upstream."""

    def record_silence(self, now: float) -> None:
        """Record that several flows are waiting and the upstream sends nothing."""

    def record_long_silence(self, now: float) -> None:
        """Record that the silence has lasted twice as long as for a suspicion."""

    def record_response(self, now: float) -> None:
        """Record that the upstream sent data."""

    def record_probe_success(self, now: float) -> None:
        """Record that a probe succeeded."""

    def record_probe_failures(self, now: float) -> None:
        """Record that probes failed repeatedly while no data arrived."""

    def end_ejection(self, now: float) -> None:
        """End the ejection of an upstream and start its recovery."""

    def end_slow_start(self, now: float) -> None:
        """End a slow start during which the upstream did not fail."""


class Health:
    """The health of one upstream as observed by this balancer.

    `entered_at` is when the upstream entered its state, `ejection_s` how long an
    ejection lasts at least unless the upstream sends data. `failed_probes` counts the
    failed probes since the last evidence of recovery. `draining` is reported by the
    health endpoint and tracked independently of the state.
    """

    __slots__ = (
        "draining",
        "ejection_s",
        "entered_at",
        "failed_probes",
        "inputs",
        "probed_at",
        "state",
    )

    def __init__(self) -> None:
        self.state: State = "healthy"
        self.entered_at = 0.0
        self.draining = False
        self.failed_probes = 0
        self.probed_at: float | None = None
        self.ejection_s = EJECTION_S
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
            self.failed_probes = 0
            self.inputs.record_probe_success(now)
            return
        self.failed_probes += 1
        if (
            self.failed_probes >= FAILED_PROBES_MIN
            and now - upstream_load.heard_at > RECENT_RESPONSE_S
            and may_eject()
        ):
            self.inputs.record_probe_failures(now)

    def evaluate(
        self,
        upstream_load: load.Load,
        config: settings.Settings,
        may_eject: abc.Callable[[], bool],
        now: float,
    ) -> None:
        """Update the health from data path silence, responses and elapsed time."""
        if self.state == "ejected":
            if upstream_load.heard_at > self.entered_at:
                self._recover(upstream_load, now)
            elif now - self.entered_at >= self.ejection_s and not self._is_failing(now):
                self._recover(upstream_load, now)
            return
        # With failed probes, the silence of a single flow is sufficient evidence.
        needed = 1 if self.failed_probes else SILENT_FLOWS_MIN
        silence_s = (
            now - upstream_load.unanswered_since
            if upstream_load.unanswered >= needed
            else 0.0
        )
        if silence_s > 2 * config.silence_s and may_eject():
            self.inputs.record_long_silence(now)
        elif silence_s > config.silence_s and self.state == "healthy":
            self.inputs.record_silence(now)
        elif self.state == "suspect" and upstream_load.heard_at > self.entered_at:
            self.failed_probes = 0
            self.inputs.record_response(now)
        elif (
            self.state == "recovering" and now - self.entered_at >= config.slow_start_s
        ):
            self.ejection_s = EJECTION_S
            self.inputs.end_slow_start(now)

    def is_warm(self, name: str, key: bytes, slow_start_s: float, now: float) -> bool:
        """Return whether a flow is in the share that a recovering upstream admits."""
        if self.state != "recovering":
            return True
        return hashing.draw_share(key, name) * slow_start_s < now - self.entered_at

    def enter(self, state: State, now: float) -> None:
        """Record the new state and when it was entered."""
        self.state = state
        self.entered_at = now

    def _recover(self, upstream_load: load.Load, now: float) -> None:
        # Flows that became silent before the recovery must not count against it.
        upstream_load.unanswered = 0
        self.failed_probes = 0
        self.inputs.end_ejection(now)

    def _is_failing(self, now: float) -> bool:
        return (
            self.failed_probes > 0
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
        health.ejection_s = min(2 * health.ejection_s, EJECTION_MAX_S)
        health.enter("ejected", now)

    healthy.upon(Inputs.record_silence).to(suspect)(make_suspect)
    healthy.upon(Inputs.record_long_silence).to(suspect)(make_suspect)
    healthy.upon(Inputs.record_probe_failures).to(suspect)(make_suspect)
    suspect.upon(Inputs.record_response).to(healthy)(make_healthy)
    suspect.upon(Inputs.record_probe_success).to(healthy)(make_healthy)
    suspect.upon(Inputs.record_long_silence).to(ejected)(eject)
    suspect.upon(Inputs.record_probe_failures).to(ejected)(eject)
    ejected.upon(Inputs.end_ejection).to(recovering)(make_recovering)
    recovering.upon(Inputs.end_slow_start).to(healthy)(make_healthy)
    recovering.upon(Inputs.record_silence).to(ejected)(eject_again)
    recovering.upon(Inputs.record_long_silence).to(ejected)(eject_again)
    recovering.upon(Inputs.record_probe_failures).to(ejected)(eject_again)
    for state, ignored in (
        (
            healthy,
            (
                Inputs.record_response,
                Inputs.record_probe_success,
                Inputs.end_ejection,
                Inputs.end_slow_start,
            ),
        ),
        (suspect, (Inputs.record_silence, Inputs.end_ejection, Inputs.end_slow_start)),
        (
            ejected,
            (
                Inputs.record_silence,
                Inputs.record_long_silence,
                Inputs.record_response,
                Inputs.record_probe_success,
                Inputs.record_probe_failures,
                Inputs.end_slow_start,
            ),
        ),
        (
            recovering,
            (Inputs.record_response, Inputs.record_probe_success, Inputs.end_ejection),
        ),
    ):
        for ignored_input in ignored:
            state.upon(ignored_input).loop().returns(None)
    return builder


_build_machine: typing.Final = _define_machine().build()
