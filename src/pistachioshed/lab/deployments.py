"""The deployments used by experiments: zones, balancers, services and load."""

import typing

from pistachioshed.core import events, tables
from pistachioshed.lab import callers, fleet


class Service(typing.NamedTuple):
    """A service of a deployment and the load that its callers generate."""

    name: str
    hosts: int
    load: callers.Load


class Deployment(typing.NamedTuple):
    """The system of one operator.

    `primary_measure` is the measure most important to the operator.
    """

    name: str
    zones: tuple[str, ...]
    balancers: int
    services: tuple[Service, ...]
    delays: fleet.Delays
    primary_measure: typing.Literal["imbalance", "broken flows"]


KRASOTAVA: typing.Final = Deployment(
    "Krāsotava",
    ("riga-a", "riga-b", "riga-c"),
    8,
    (
        Service("booking", 7, callers.Load("booking", 80.0, 6, 2.5, 0.015, False)),
        Service("sheets", 3, callers.Load("sheets", 30.0, 6, 2.5, 0.015)),
    ),
    fleet.Delays(0.001, 0.001),
    "imbalance",
)
ZILINA: typing.Final = Deployment(
    "Žilina",
    ("hall-a", "hall-b", "cutting-room", "dispatch-office"),
    8,
    (
        Service(
            "press-console",
            7,
            callers.Load("press-console", 80.0, 6, 2.5, 0.015, False),
        ),
        Service(
            "pattern-library", 4, callers.Load("pattern-library", 40.0, 6, 2.5, 0.015)
        ),
    ),
    fleet.Delays(0.001, 0.003),
    "broken flows",
)
DEPLOYMENTS: typing.Final = {"krasotava": KRASOTAVA, "zilina": ZILINA}


def build_vms(deployment: Deployment) -> list[events.Vm]:
    """Return balancer VMs of unequal capacity, distributed over the zones."""
    capacities = (1.0, 1.0, 2.0, 1.0, 0.5, 1.0, 2.0, 1.0)
    zones = deployment.zones
    return [
        events.Vm(
            f"{zones[number % len(zones)]}-{number + 1}",
            zones[number % len(zones)],
            f"127.0.1.{number + 1}:7000",
            capacities[number % len(capacities)],
        )
        for number in range(deployment.balancers)
    ]


def build_table(deployment: Deployment, service: Service, index: int) -> tables.Table:
    """Return the initial table of a service, with equal weights."""
    zones = deployment.zones
    rows = [
        tables.Row(
            f"{service.name}-{number + 1}",
            f"127.0.{index + 2}.{number + 1}:8000",
            zones[number % len(zones)],
        )
        for number in range(service.hosts)
    ]
    return tables.Table(service.name, 1, tuple(rows), "edit-1")
