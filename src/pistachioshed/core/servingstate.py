"""Whether a forwarder takes part: a state machine over its start and stop."""

import typing

import automat

State = typing.Literal["starting", "serving", "leaving", "stopped"]


class Signals(typing.Protocol):
    """What moves the machine."""

    def note_state(self) -> None:
        """Note that configuration and upstreams are known."""

    def request_stop(self) -> None:
        """Ask for a graceful stop."""

    def finish(self) -> None:
        """Note that nothing arrives any more, or that the time is up."""


class ServingState:
    """The state of one forwarder process."""

    def __init__(self) -> None:
        self.state: State = "starting"
        self.signals: Signals = _build_machine(self)


def _define_machine() -> automat.TypeMachineBuilder[Signals, ServingState]:
    builder = automat.TypeMachineBuilder(Signals, ServingState)
    starting = builder.state("starting")
    serving = builder.state("serving")
    leaving = builder.state("leaving")
    stopped = builder.state("stopped")

    def serve(signals: Signals, servingstate: ServingState) -> None:
        servingstate.state = "serving"

    def leave(signals: Signals, servingstate: ServingState) -> None:
        servingstate.state = "leaving"

    def stop(signals: Signals, servingstate: ServingState) -> None:
        servingstate.state = "stopped"

    starting.upon(Signals.note_state).to(serving)(serve)
    starting.upon(Signals.request_stop).to(leaving)(leave)
    serving.upon(Signals.request_stop).to(leaving)(leave)
    leaving.upon(Signals.finish).to(stopped)(stop)
    for state in (serving, leaving, stopped):
        state.upon(Signals.note_state).loop().returns(None)
    for state in (leaving, stopped):
        state.upon(Signals.request_stop).loop().returns(None)
    for state in (starting, serving, stopped):
        state.upon(Signals.finish).loop().returns(None)
    return builder


_build_machine = _define_machine().build()
