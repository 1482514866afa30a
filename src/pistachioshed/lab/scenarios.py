"""Scenarios: planned changes and failures of a deployment under load."""

import typing
from collections import abc

from pistachioshed.lab import experiment

CHANGE_AT_S: typing.Final = 20.0
EDIT_SPREAD_S: typing.Final = 2.0
STRAGGLER_SPEED: typing.Final = 0.2


class Scenario(typing.NamedTuple):
    """A named series of changes; if it is `planned`, no flow may break.

    `prepare` applies or schedules the changes at the start of an experiment.
    """

    name: str
    planned: bool
    prepare: abc.Callable[[experiment.Experiment], None]
    summary: str


def prepare_steady(lab: experiment.Experiment) -> None:
    """Change nothing."""


def prepare_straggler(lab: experiment.Experiment) -> None:
    """Reduce one host of each service to a fifth of its speed."""
    for service in lab.deployment.services:
        lab.get_host(service.name, 1).speed = STRAGGLER_SPEED


def prepare_edit(lab: experiment.Experiment) -> None:
    """Lower one weight of each service and raise another in a later edit."""
    for service in lab.deployment.services:
        name = service.name
        lab.clock.schedule(CHANGE_AT_S, _bind(lab.set_weight, name, f"{name}-1", 0.3))
        lab.clock.schedule(
            CHANGE_AT_S + 1.0, _bind(lab.set_weight, name, f"{name}-2", 2.0)
        )


def prepare_drain(lab: experiment.Experiment) -> None:
    """Drain one host of each service by an edit of its row."""
    for service in lab.deployment.services:
        name = service.name
        lab.clock.schedule(CHANGE_AT_S, _bind(lab.drain_row, name, f"{name}-1"))


def prepare_leave(lab: experiment.Experiment) -> None:
    """Stop one balancer gracefully."""
    lab.clock.schedule(CHANGE_AT_S, _bind(lab.fleet.stop_node, _get_node_name(lab, 0)))


def prepare_restart(lab: experiment.Experiment) -> None:
    """Restart two balancers gracefully, one after the other."""
    lab.clock.schedule(
        CHANGE_AT_S, _bind(lab.restart_node, _get_node_name(lab, 0), 2.0)
    )
    lab.clock.schedule(
        CHANGE_AT_S + 5.0, _bind(lab.restart_node, _get_node_name(lab, 2), 2.0)
    )


def prepare_overlap(lab: experiment.Experiment) -> None:
    """Edit, drain and restart at about the same time."""
    prepare_drain(lab)
    prepare_restart(lab)
    for service in lab.deployment.services:
        name = service.name
        lab.clock.schedule(
            CHANGE_AT_S + 0.3, _bind(lab.set_weight, name, f"{name}-2", 2.0)
        )


def prepare_death(lab: experiment.Experiment) -> None:
    """Kill one balancer without any other change."""
    lab.clock.schedule(
        CHANGE_AT_S, _bind(lab.fleet.remove_node, _get_node_name(lab, 2))
    )


def prepare_death_during_edit(lab: experiment.Experiment) -> None:
    """Kill one balancer while an edit is being distributed."""
    for service in lab.deployment.services:
        name = service.name
        lab.clock.schedule(CHANGE_AT_S, _bind(lab.set_weight, name, f"{name}-1", 0.3))
    lab.clock.schedule(
        CHANGE_AT_S + EDIT_SPREAD_S / 4,
        _bind(lab.fleet.remove_node, _get_node_name(lab, 2)),
    )


SCENARIOS: typing.Final = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", True, prepare_steady, "nothing changes"),
        Scenario(
            "straggler", True, prepare_straggler, "one host at a fifth of the speed"
        ),
        Scenario("edit", True, prepare_edit, "two weights change"),
        Scenario("drain", True, prepare_drain, "one host drains"),
        Scenario("leave", True, prepare_leave, "one balancer stops gracefully"),
        Scenario("restart", True, prepare_restart, "two balancers restart"),
        Scenario("overlap", True, prepare_overlap, "edit, drain and restarts together"),
        Scenario("death", False, prepare_death, "one balancer is killed"),
        Scenario(
            "death-edit",
            False,
            prepare_death_during_edit,
            "a kill while an edit spreads",
        ),
    )
}


def _bind(
    function: abc.Callable[..., object], *arguments: typing.Any
) -> abc.Callable[[], None]:
    def run() -> None:
        function(*arguments)

    return run


def _get_node_name(lab: experiment.Experiment, index: int) -> str:
    return list(lab.fleet.vms)[index]
