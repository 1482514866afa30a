"""Failures that operators of similar systems reported, brought about in forwarders."""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import time
import typing
from collections import abc

import pytest

from pistachioshed.apps import forwarder, pauses
from pistachioshed.core import admission, segments
from pistachioshed.platform import packets, records
from tests import dispatchbuilders as build
from tests import forwarderfleet

# The bound of the users' smaller deployments, which is the default of the settings.
BOUND_S: typing.Final = 3.0


@contextlib.asynccontextmanager
async def open_fleet(folder: pathlib.Path) -> abc.AsyncIterator[forwarderfleet.Fleet]:
    """Start a store with a configuration and a host; stop everything on exit."""
    fleet = forwarderfleet.Fleet(folder)
    await fleet.start()
    fleet.configure(1, "booking")
    try:
        yield fleet
    finally:
        await fleet.stop()


def test_a_late_packet_of_an_earlier_flow_does_not_change_a_flow_from_its_port() -> (
    None
):
    """Guard against an answer of an earlier upstream on a port that is in use again.

    A caller opens a flow from a port that it has used before; a packet of the earlier
    flow arrives late, with the token of another upstream.
    """
    balancer = build.Balancer(build.FIRST, build.SECOND)
    first = balancer.open(now=0.0)
    other = build.SECOND if first == build.FIRST else build.FIRST
    late = build.build_data(other.token, sequence=3_000_000_000, length=10)
    action = balancer.dispatcher.handle(late, b"", 0.01)
    assert isinstance(action, segments.Forward) and action.upstream == other
    flow = balancer.dispatcher.flow_tracker.find(build.build_segment())
    assert flow is not None and flow.upstream == first and not flow.opened
    repeated = balancer.dispatcher.handle(build.build_segment(copy=1), b"", 0.02)
    assert isinstance(repeated, segments.Forward) and repeated.upstream == first


def test_a_stop_refuses_openings_that_are_held(tmp_path: pathlib.Path) -> None:
    """Guard against openings that a stopping forwarder accepted and never answers."""

    async def scenario() -> None:
        async with open_fleet(tmp_path) as fleet:
            caller = fleet.open_endpoint(forwarderfleet.CALLER_IP, fleet.port)
            fleet.store.failure = "silent"
            first = await fleet.start_forwarder(1)
            opening = forwarderfleet.build_opening(40001)
            caller.send(forwarderfleet.encode_packet(opening), first.settings.packets)
            await forwarderfleet.wait_until(
                lambda: bool(first.packet_socket.held_packets)
            )
            first.request_stop()
            assert await caller.receive(0.2) == packets.encode_reset(opening)

    asyncio.run(scenario())


def test_a_restarted_forwarder_replaces_the_state_of_a_peer_that_is_behind(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against a host that left, or a route that was withdrawn, in use again."""

    async def scenario() -> None:
        async with open_fleet(tmp_path) as fleet:
            fleet.register("i-00000001", ("127.0.0.50", 9))
            fleet.register("i-00000002", ("127.0.0.51", 9))
            first_proxy = await fleet.add_proxy(1)
            second_proxy = await fleet.add_proxy(2)
            await fleet.start_serving(1)
            first_proxy.set_fault("silent")
            second_proxy.set_fault("silent")
            fleet.remove("i-00000001")
            fleet.configure(2, "sheets")
            second = await fleet.start_forwarder(2)
            await forwarderfleet.wait_until(lambda: second.serving == "serving")
            dispatcher = second.dispatcher
            assert dispatcher.configuration.version == 1
            fleet.store.discard_history()
            second_proxy.set_fault("none")
            await forwarderfleet.wait_until(
                lambda: (
                    dispatcher.configuration.version == 2
                    and "i-00000001" not in dispatcher.directory.upstreams
                )
            )
            first = fleet.running["front-1"][0]
            await forwarderfleet.wait_until(
                lambda: (
                    first.dispatcher.configuration.version == 2
                    and "i-00000001" not in first.dispatcher.directory.upstreams
                )
            )

    asyncio.run(scenario())


def fail_once(
    monkeypatch: pytest.MonkeyPatch, owner: object, name: str, failed: list[str]
) -> None:
    """Make the next call of a method raise an unexpected error."""
    original = getattr(owner, name)

    def call(*arguments: typing.Any, **keywords: typing.Any) -> typing.Any:
        if name not in failed:
            failed.append(name)
            raise RuntimeError(f"injected into {name}")
        return original(*arguments, **keywords)

    monkeypatch.setattr(owner, name, call)


def list_steps(process: forwarder.Forwarder) -> dict[str, tuple[object, str]]:
    """Return a method of each task and callback of a forwarder."""
    sync = process.state_sync
    return {
        "role": (sync, "choose_role"),
        "catch up": (sync, "find_newer_peers"),
        "store check": (sync.store_check, "is_checker"),
        "configuration": (process.dispatcher, "configure"),
        "upstreams": (process.dispatcher, "update_directory"),
        "tick": (process, "tick"),
        "reports": (process.dispatcher.monitor, "handle_peer_report"),
        "settings": (process.settings_watch, "reload"),
        "packets": (process.dispatcher, "handle"),
        "status": (process.peer_link, "get_status"),
    }


STEPS: typing.Final = (
    "role",
    "catch up",
    "store check",
    "configuration",
    "upstreams",
    "tick",
    "reports",
    "settings",
    "packets",
    "status",
)


@pytest.mark.parametrize("step", STEPS)
def test_one_unexpected_error_ends_nothing(
    step: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a process that is taken down, or that goes on half dead."""

    async def scenario() -> None:
        async with open_fleet(tmp_path) as fleet:
            host = fleet.open_endpoint("127.0.0.50")
            caller = fleet.open_endpoint(forwarderfleet.CALLER_IP, fleet.port)
            fleet.register("i-00000001", host.address)
            processes = [await fleet.start_serving(number) for number in (1, 2)]
            failed: list[str] = []
            owner, name = list_steps(processes[0])[step]
            fail_once(monkeypatch, owner, name, failed)
            opening = forwarderfleet.encode_packet(forwarderfleet.build_opening(40001))
            fleet.configure(2, "booking")

            def has_recovered() -> bool:
                caller.send(opening, processes[0].settings.packets)
                return bool(failed) and all(
                    process.dispatcher.configuration.version == 2
                    for process in processes
                )

            await forwarderfleet.wait_until(has_recovered)
            await host.receive()
            fleet.configure(3, "booking")
            fleet.register("i-00000001", host.address, state="draining")
            changed_at = asyncio.get_running_loop().time()
            await forwarderfleet.wait_until(
                lambda: all(
                    process.dispatcher.configuration.version == 3
                    and process.dispatcher.directory.upstreams["i-00000001"].draining
                    for process in processes
                )
            )
            assert asyncio.get_running_loop().time() - changed_at < BOUND_S
            assert processes[0].metrics.get_count("task_failures") == 1
            running = {task.name for task in processes[0].loop.running}
            assert {"choose role", "catch up with peers", "check store"} <= running
            assert {"tick", "watch settings"} <= running

    asyncio.run(scenario())


def test_after_a_pause_nothing_is_done_on_outdated_state(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against requests that run long after their callers have given up.

    While a forwarder is suspended, its route is withdrawn; the monotonic clock stands
    still meanwhile.
    """

    async def scenario() -> None:
        async with open_fleet(tmp_path) as fleet:
            host = fleet.open_endpoint("127.0.0.50")
            caller = fleet.open_endpoint(forwarderfleet.CALLER_IP, fleet.port)
            fleet.register("i-00000001", host.address)
            proxy = await fleet.add_proxy(1)
            first = await fleet.start_serving(1)
            # What the pause made the forwarder miss arrives only if it asks for it.
            proxy.silence_open_connections()
            stale = forwarderfleet.build_opening(40001)
            caller.send(forwarderfleet.encode_packet(stale), first.settings.packets)
            value = json.dumps(
                {"version": 2, "routes": [], "services": [], "limits": {}}
            ).encode()
            fleet.store.put(records.CONFIGURATION_KEY, value)
            now = pauses.read_boot_time()
            monkeypatch.setattr(pauses, "read_boot_time", lambda: now + 20.0)
            await forwarderfleet.wait_until(
                lambda: first.metrics.get_count("packets", outcome="outdated") == 1
            )
            fresh = forwarderfleet.build_opening(40002)
            caller.send(forwarderfleet.encode_packet(fresh), first.settings.packets)
            assert await caller.receive() == packets.encode_reset(fresh)
            assert first.dispatcher.configuration.version == 2
            with pytest.raises(TimeoutError):
                await host.receive(0.1)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "response",
    [
        {},
        {"items": [], "truncated": False},
        {"items": [{}], "as-of": 3},
        {"items": [{"key": "a", "value": "?", "revision": 1}], "as-of": 3},
        {"events": [{"key": "a", "revision": "1"}], "as-of": 3},
        {"events": {}, "as-of": None},
    ],
)
def test_an_invalid_answer_of_the_store_counts_as_no_answer(
    response: dict[str, typing.Any], tmp_path: pathlib.Path
) -> None:
    """Guard against a store client whose task ends on a missing key or bad base64."""

    async def scenario() -> None:
        async with open_fleet(tmp_path) as fleet:
            fleet.register("i-00000001", ("127.0.0.50", 9))
            fleet.store.invalid_response = json.dumps(response).encode()
            first = await fleet.start_forwarder(1)
            await forwarderfleet.wait_until(lambda: fleet.store.calls >= 2)
            assert first.serving == "starting"
            fleet.store.invalid_response = b""
            await forwarderfleet.wait_until(lambda: first.serving == "serving")
            assert first.metrics.get_count("task_failures") == 0

    asyncio.run(scenario())


def test_a_suspension_counts_as_a_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a machine that was suspended and goes on as if nothing happened."""
    clocks = {time.CLOCK_BOOTTIME: 100.0, time.CLOCK_MONOTONIC: 50.0}
    monkeypatch.setattr(time, "clock_gettime", lambda clock: clocks[clock])
    detector = pauses.PauseDetector()
    clocks[time.CLOCK_BOOTTIME] += 20.0
    assert detector.measure_pause() == 20.0
    assert detector.measure_pause() == 0.0


def test_a_stopped_process_forwards_nothing_that_waited_meanwhile(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against openings that a resumed process places before it notices."""

    async def scenario() -> None:
        async with open_fleet(tmp_path) as fleet:
            host = fleet.open_endpoint("127.0.0.50")
            caller = fleet.open_endpoint(forwarderfleet.CALLER_IP, fleet.port)
            fleet.register("i-00000001", host.address)
            path = fleet.write_settings(1, seeds="")
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pistachioshed.apps.forwarderstart",
                str(path),
                stdout=asyncio.subprocess.DEVNULL,
                env={"PYTHONPATH": ":".join(sys.path)},
            )
            try:
                address = ("127.0.1.1", fleet.port)
                first, stale, fresh = (
                    forwarderfleet.encode_packet(forwarderfleet.build_opening(port))
                    for port in (40001, 40002, 40003)
                )
                received = b""
                async with asyncio.timeout(forwarderfleet.DEADLINE_S):
                    while not received:
                        caller.send(first, address)
                        with contextlib.suppress(TimeoutError):
                            received = await host.receive(0.1)
                # Copies of the first opening are sent until it counts as given up.
                await asyncio.sleep(0.5)
                while True:
                    try:
                        await host.receive(0.1)
                    except TimeoutError:
                        break
                process.send_signal(signal.SIGSTOP)
                caller.send(stale, address)
                await asyncio.sleep(admission.PAUSE_MAX_S + 0.3)
                process.send_signal(signal.SIGCONT)
                with pytest.raises(TimeoutError):
                    await host.receive(0.3)
                caller.send(fresh, address)
                assert packets.decode_packet((await host.receive())[8:]).caller[1] == (
                    40003
                )
            finally:
                process.kill()
                await process.wait()

    asyncio.run(scenario())
