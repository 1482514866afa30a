"""Scenarios: what happens to a deployment under load, planned or not."""

import typing
from collections import abc

from pistachioshed.lab import experiment

CHANGE_AT_S: typing.Final = 20.0
EDIT_SPREAD_S: typing.Final = 2.0
STRAGGLER_SPEED: typing.Final = 0.2


class Scenario(typing.NamedTuple):
    """A named course of events; `planned` means that no flow may break."""

    name: str
    planned: bool
    prepare: abc.Callable[[experiment.Experiment], None]
    summary: str


def run_steady(lab: experiment.Experiment) -> None:
    """Change nothing."""


def run_straggler(lab: experiment.Experiment) -> None:
    """Run one host of each service at a fifth of the speed."""
    for service in lab.deployment.services:
        lab.get_host(service.name, 1).speed = STRAGGLER_SPEED


def run_edit(lab: experiment.Experiment) -> None:
    """Lower one weight and raise another of each service, one edit after the other."""
    for service in lab.deployment.services:
        name = service.name
        lab.clock.schedule(CHANGE_AT_S, _bind(lab.set_weight, name, f"{name}-1", 0.3))
        lab.clock.schedule(
            CHANGE_AT_S + 1.0, _bind(lab.set_weight, name, f"{name}-2", 2.0)
        )


def run_drain(lab: experiment.Experiment) -> None:
    """Drain one host of each service by its row."""
    for service in lab.deployment.services:
        name = service.name
        lab.clock.schedule(CHANGE_AT_S, _bind(lab.drain_row, name, f"{name}-1"))


def run_leave(lab: experiment.Experiment) -> None:
    """Stop one balancer gracefully."""
    lab.clock.schedule(CHANGE_AT_S, _bind(lab.fleet.stop_node, _name_node(lab, 0)))


def run_restart(lab: experiment.Experiment) -> None:
    """Restart two balancers gracefully, one after the other."""
    lab.clock.schedule(CHANGE_AT_S, _bind(lab.restart_node, _name_node(lab, 0), 2.0))
    lab.clock.schedule(
        CHANGE_AT_S + 5.0, _bind(lab.restart_node, _name_node(lab, 2), 2.0)
    )


def run_overlap(lab: experiment.Experiment) -> None:
    """Edit, drain and restart at the same moment."""
    run_drain(lab)
    run_restart(lab)
    for service in lab.deployment.services:
        name = service.name
        lab.clock.schedule(
            CHANGE_AT_S + 0.3, _bind(lab.set_weight, name, f"{name}-2", 2.0)
        )


def run_death(lab: experiment.Experiment) -> None:
    """Kill one balancer while nothing changes."""
    lab.clock.schedule(CHANGE_AT_S, _bind(lab.fleet.remove_node, _name_node(lab, 2)))


def run_death_during_edit(lab: experiment.Experiment) -> None:
    """Kill one balancer while an edit spreads."""
    for service in lab.deployment.services:
        name = service.name
        lab.clock.schedule(CHANGE_AT_S, _bind(lab.set_weight, name, f"{name}-1", 0.3))
    lab.clock.schedule(
        CHANGE_AT_S + EDIT_SPREAD_S / 4,
        _bind(lab.fleet.remove_node, _name_node(lab, 2)),
    )


SCENARIOS: typing.Final = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", True, run_steady, "nothing changes"),
        Scenario("straggler", True, run_straggler, "one host at a fifth of the speed"),
        Scenario("edit", True, run_edit, "two weights change"),
        Scenario("drain", True, run_drain, "one host drains"),
        Scenario("leave", True, run_leave, "one balancer stops gracefully"),
        Scenario("restart", True, run_restart, "two balancers restart"),
        Scenario("overlap", True, run_overlap, "edit, drain and restarts together"),
        Scenario("death", False, run_death, "one balancer is killed"),
        Scenario(
            "death-edit", False, run_death_during_edit, "a kill while an edit spreads"
        ),
    )
}


def _bind(
    function: abc.Callable[..., object], *arguments: typing.Any
) -> abc.Callable[[], None]:
    def run() -> None:
        function(*arguments)

    return run


def _name_node(lab: experiment.Experiment, index: int) -> str:
    return list(lab.fleet.vms)[index]
