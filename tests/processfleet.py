"""Fixtures that run three balancers, upstreams and a fabric as processes."""

import asyncio
import contextlib
import pathlib
import threading
import time
import typing
from collections import abc

from pistachioshed.core import addresses, settings
from standins import hosts, http3, sessions
from tools import controlplane, fakecontrol, fleet, layouts, measures, processes

BALANCERS: typing.Final = 3
# A response may arrive at any time until the flow expires from inactivity. After the
# failure of an owner both ends retransmit with exponential backoff, so that the wait
# may be twice as long as the outage.
RESPONSE_LIMIT_S: typing.Final = settings.Settings("", "").flow_idle_s
# Balancers settle three seconds after the last change of members or tables; the rest is
# a margin.
SETTLE_LIMIT_S: typing.Final = 20.0
# A ping, its timeout and the suspicion period take about two seconds.
FAILURE_DETECTION_LIMIT_S: typing.Final = 15.0
FEED_INTERVAL_S: typing.Final = 0.5
JOIN_LIMIT_S: typing.Final = 20.0
LAYOUT: typing.Final = layouts.KRASOTAVA._replace(
    name="test",
    services=(layouts.Service("sheets", 3, "sheets"),),
)


@contextlib.contextmanager
def run_fleet(directory: pathlib.Path) -> abc.Iterator[fleet.Fleet]:
    """Run the processes with a fixed table and VM list; stop them on exit."""
    with layouts.reserve_ports(LAYOUT) as layout:
        yield from _run_processes(directory, layout)


def _run_processes(
    directory: pathlib.Path,
    layout: layouts.Layout,
) -> abc.Iterator[fleet.Fleet]:
    supervisor = processes.Supervisor(directory)
    running_fleet = fleet.Fleet(layout, supervisor, BALANCERS)
    control = fakecontrol.FakeControlProcesses(
        [layout.find_control_link(n) for n in range(BALANCERS)]
    )
    stopped = threading.Event()

    def feed() -> None:
        while not stopped.wait(FEED_INTERVAL_S):
            control.send([layout.build_table(0)], running_fleet.vms)
            control.read_reports()

    def has_joined() -> bool:
        reports = control.reports.values()
        return len(reports) == BALANCERS and all(
            report.state == "active" and len(report.members) == BALANCERS
            for report in reports
        )

    thread = threading.Thread(target=feed)
    thread.start()
    try:
        running_fleet.start_upstreams()
        running_fleet.start_fabric(seed=1)
        running_fleet.start_balancers()
        supervisor.wait_for("all balancers active", has_joined, JOIN_LIMIT_S)
        wait_for_gauge(running_fleet, "settled", 1, SETTLE_LIMIT_S)
        yield running_fleet
    finally:
        stopped.set()
        thread.join()
        control.close()
        supervisor.stop_all()


@contextlib.contextmanager
def run_platform(directory: pathlib.Path) -> abc.Iterator[controlplane.ControlPlane]:
    """Run the processes, store, VM list and controls; stop them on exit."""
    with layouts.reserve_ports(LAYOUT) as layout:
        supervisor = processes.Supervisor(directory)
        running_fleet = fleet.Fleet(layout, supervisor, BALANCERS)
        control = controlplane.ControlPlane(running_fleet)
        try:
            control.start_services()
            running_fleet.start_upstreams()
            control.start_controls()
            running_fleet.start_balancers()
            running_fleet.start_fabric(seed=1)
            wait_for_version(control, 1, JOIN_LIMIT_S)
            wait_for_gauge(running_fleet, "settled", 1, SETTLE_LIMIT_S)
            yield control
        finally:
            supervisor.stop_all()


def wait_for_gauge(
    running_fleet: fleet.Fleet, name: str, value: int, limit_s: float
) -> None:
    """Wait until a gauge of the only service has a value on all balancers."""
    service = running_fleet.layout.services[0].name

    def check() -> bool:
        return all(
            measures.read_gauge(
                running_fleet.layout.find_metrics(number), name, service
            )
            == value
            for number in range(BALANCERS)
        )

    running_fleet.supervisor.wait_for(f"{name} {value}", check, limit_s)


def wait_for_member_removal(running_fleet: fleet.Fleet, removed: int) -> None:
    """Wait until the other balancers no longer count one balancer as a member."""
    others = [number for number in range(BALANCERS) if number != removed]

    def check() -> bool:
        return all(
            measures.read_gauge(
                running_fleet.layout.find_metrics(number), "active_members"
            )
            == len(others)
            for number in others
        )

    running_fleet.supervisor.wait_for(
        "the balancer is no longer a member", check, FAILURE_DETECTION_LIMIT_S
    )


def wait_for_version(
    control: controlplane.ControlPlane, version: int, limit_s: float
) -> None:
    """Wait until a table version of the only service is in force on all balancers."""
    service = control.layout.services[0].name

    def check() -> bool:
        return all(
            measures.read_version(control.layout.find_metrics(number), service)
            >= version
            for number in range(BALANCERS)
        )

    control.supervisor.wait_for(f"{service} v{version}", check, limit_s)


async def download(
    layout: layouts.Layout,
    flows: int,
    size: int,
    seconds: float,
    change: abc.Callable[[], None],
) -> list[tuple[int, str]]:
    """Download sheets one after the other over several flows during a change.

    `change` is called in a thread after a quarter of the time.

    Returns
    -------
    list of tuple of int and str
        Per flow, the number of complete downloads and the error that ended the flow,
        empty if there was none.
    """
    address = addresses.parse_address(layout.find_service_address(0))
    end_s = time.monotonic() + seconds

    async def run_flow(number: int) -> tuple[int, str]:
        client = await http3.open_connection(address)
        # If the path through a balancer fails, the server learns the new path only from
        # a packet that the client sends.
        keepalive = asyncio.create_task(sessions.send_keepalives(client))
        completed = 0
        while time.monotonic() < end_s:
            name = f"{number}-{completed}"
            path = f"/sheet?name={name}&size={size}"
            try:
                response = await client.request("GET", path, {}, RESPONSE_LIMIT_S)
            except ConnectionError as error:
                return completed, str(error)
            if response.body != hosts.make_sheet(name, size):
                return completed, f"sheet {name} is incomplete or corrupt"
            completed += 1
        keepalive.cancel()
        await http3.close_connection(client)
        return completed, ""

    async def run_change() -> None:
        await asyncio.sleep(seconds / 4)
        await asyncio.to_thread(change)

    *results, _ = await asyncio.gather(*map(run_flow, range(flows)), run_change())
    return typing.cast(list[tuple[int, str]], results)
