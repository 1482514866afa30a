"""Changes that reach all forwarders although the store is silent to those that watch.

The pattern is a store that accepts calls and connections and answers nothing to some
machines, first to those that use it, while the operator changes the configuration and
upstreams drain.
"""

import asyncio
import pathlib
import typing

import pytest

from pistachioshed.adapters import eventloop, storefeed
from pistachioshed.apps import storecheck
from pistachioshed.core import changetiming
from pistachioshed.ports import store
from standins import loopbackproxy
from tests import dispatchbuilders as build
from tests import forwarderfleet, watchedfleet

# The bound of the users' smaller deployments, which is the default of the settings.
BOUND_S: typing.Final = 3.0


async def change_and_wait(watched: watchedfleet.WatchedFleet, version: int) -> float:
    """Change configuration and a host, and return the seconds until all know both."""
    loop = asyncio.get_running_loop()
    name = f"i-0000000{version}"
    address = ("127.0.0.50", 9_000 + version)
    watched.fleet.configure(version, "booking")
    watched.fleet.register(name, address, state="draining")
    changed_at = loop.time()
    await forwarderfleet.wait_until(lambda: watched.has_everywhere(version, name))
    return loop.time() - changed_at


@pytest.mark.parametrize("fault", ["silent", "silent back", "reset"])
@pytest.mark.parametrize("affected", ["one zone", "all zones"])
def test_changes_arrive_although_watchers_are_cut_off(
    fault: loopbackproxy.Fault, affected: str, tmp_path: pathlib.Path
) -> None:
    """Guard against a configuration that waits for the end of a silent long poll."""

    async def scenario() -> None:
        async with watchedfleet.open_fleet(tmp_path) as watched:
            watchers = watched.list_watchers()
            for name in watchers if affected == "all zones" else watchers[:1]:
                watched.proxies[name].set_fault(fault)
            assert await change_and_wait(watched, 2) < BOUND_S

    asyncio.run(scenario())


def test_changes_arrive_although_each_new_watcher_is_cut_off(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against a fleet that relies on the forwarder that watches next."""

    async def scenario() -> None:
        async with watchedfleet.open_fleet(tmp_path) as watched:
            silenced: set[str] = set()
            for version in (2, 3):
                # One forwarder in six stays connected to the store.
                for name in watched.list_watchers():
                    if len(silenced) < len(watchedfleet.ZONES) - 1:
                        watched.proxies[name].set_fault("silent")
                        silenced.add(name)
                assert await change_and_wait(watched, version) < BOUND_S

    asyncio.run(scenario())


def test_connections_that_go_silent_are_replaced(tmp_path: pathlib.Path) -> None:
    """Guard against watchers that wait on a connection while new ones work."""

    async def scenario() -> None:
        async with watchedfleet.open_fleet(tmp_path) as watched:
            for name in watched.list_watchers():
                watched.proxies[name].silence_open_connections()
            assert await change_and_wait(watched, 2) < BOUND_S
            assert await change_and_wait(watched, 3) < BOUND_S

    asyncio.run(scenario())


def test_a_single_forwarder_checks_its_own_watch(tmp_path: pathlib.Path) -> None:
    """Guard against a lone forwarder whose only connection has gone silent."""

    async def scenario() -> None:
        fleet = forwarderfleet.Fleet(tmp_path)
        await fleet.start()
        try:
            fleet.configure(1, "booking")
            fleet.register("i-00000001", ("127.0.0.50", 9))
            proxy = await fleet.add_proxy(1)
            first = await fleet.start_serving(1)
            await forwarderfleet.wait_until(
                lambda: first.state_sync.is_settled(first.clock())
            )
            proxy.silence_open_connections()
            fleet.configure(2, "booking")
            changed_at = asyncio.get_running_loop().time()
            await forwarderfleet.wait_until(
                lambda: first.dispatcher.configuration.version == 2
            )
            assert asyncio.get_running_loop().time() - changed_at < BOUND_S
        finally:
            await fleet.stop()

    asyncio.run(scenario())


def test_the_fleet_checks_once_an_interval_whatever_its_size() -> None:
    """Guard against store calls that grow with the fleet, and against long gaps.

    The pattern is the start of a fleet in which forwarders know only a part of it.
    """
    for size in (8, 80, 195, 3_200):
        names = [f"front-{number}" for number in range(size)]
        checks = 0
        for slot in range(50):
            chosen = changetiming.choose_checker(names, slot)
            # A forwarder that knows only half of the fleet checks if it ranks first.
            partial = changetiming.choose_checker(names[: size // 2], slot)
            checks += 1 if chosen == partial else 2
        assert checks <= 100
    assert changetiming.choose_checker([], 1) is None


class ManualLoop:
    """An event loop that only has a clock."""

    def __init__(self) -> None:
        self.now = 0.0

    def clock(self) -> float:
        """Return the time that the test has set."""
        return self.now


# At the start of 195 forwarders, 220 checks found changes in place of three.
def test_started_forwarders_leave_the_checks_to_those_that_know_the_fleet() -> None:
    """Guard against a call of each forwarder to the store when a fleet starts.

    The pattern is the start of a large fleet, in which each one knows only itself.
    """
    loop = ManualLoop()
    timing = changetiming.derive_timing(BOUND_S)
    check = storecheck.StoreCheck(
        typing.cast(eventloop.EventLoop, loop),
        "front-1",
        ("127.0.0.1", 1),
        timing,
        build.Balancer(build.FIRST).dispatcher,
        lambda batch: None,
        lambda name, **labels: None,
    )
    watching = storecheck.Watching(watches_store=False, store_lost=False)
    for slot in (1, 2, 3):
        loop.now = slot * timing.check_interval_s
        alone_knows_enough = loop.now >= timing.first_check_after_s
        assert check.is_checker(slot, watching) == alone_knows_enough
    # What is missed until then is found within the bound.
    detection_s = timing.first_check_after_s + timing.check_interval_s
    assert detection_s + timing.catch_up_delay_s < BOUND_S


def test_waits_follow_from_the_bound() -> None:
    """Guard against waits that exceed a bound after two failed checks."""
    for bound_s in (3.0, 5.0, 6.0):
        timing = changetiming.derive_timing(bound_s)
        detection_s = 2 * timing.check_interval_s + timing.check_timeout_s
        assert detection_s + timing.catch_up_delay_s < bound_s
        assert timing.batch_delay_s < timing.catch_up_delay_s


class SilentClient:
    """A store client whose first long poll never returns unless it is aborted."""

    def __init__(self, loop: eventloop.EventLoop) -> None:
        self.ended = eventloop.Event(loop)
        self.waits: list[float] = []

    async def read_prefix(self, prefix: str) -> store.RangeResponse:
        """Return no pairs."""
        return store.RangeResponse(1, ())

    async def wait_for_changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> store.WatchBatch:
        """Return a change at once if there is no wait."""
        self.waits.append(wait_s)
        if wait_s == 0.0:
            return store.WatchBatch(2, (store.Event("op/config", b"", 2),))
        await self.ended.wait()
        self.ended.clear()
        raise store.StoreUnavailable("watch", "store", "aborted")

    def abort(self) -> None:
        """End the long poll."""
        self.ended.set()

    def close(self) -> None:
        """Do nothing."""


def test_a_doubted_long_poll_is_replaced_by_a_call_that_is_answered_at_once() -> None:
    """Guard against a watcher that its peers overtake until its long poll ends."""
    errors: list[str] = []
    loop = eventloop.EventLoop(lambda name, error: errors.append(repr(error)))
    client = SilentClient(loop)
    delivered: list[store.WatchBatch] = []
    may_watch = eventloop.Event(loop)
    may_watch.set()
    feed = storefeed.StoreFeed(
        loop,
        "",
        client,
        delivered.append,
        lambda call: None,
        1,
        may_watch,
        0.01,
        lambda: 0.0,
    )
    task = loop.start_task(feed.run(), "feed")
    deadline = loop.clock() + 1.0
    loop.run_until(lambda: bool(client.waits) or loop.clock() > deadline)
    feed.doubt_connection()
    loop.run_until(lambda: bool(delivered) or loop.clock() > deadline)
    assert [batch.revision for batch in delivered] == [2]
    assert not feed.lost and not errors
    loop.run_until(lambda: len(client.waits) == 3 or loop.clock() > deadline)
    assert client.waits == [storefeed.LONG_POLL_S, 0.0, storefeed.LONG_POLL_S]
    loop.cancel(task)
    loop.close()
