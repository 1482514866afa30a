"""Forwarders of a store that is restored from an older copy.

The pattern is a store that returns with a state of some seconds before: revisions go
back and are given out again, and entries of hosts are as they were then.
"""

import asyncio
import contextlib
import pathlib
import typing
from collections import abc

import pytest

from pistachioshed.platform import storeclient
from pistachioshed.ports import store
from standins import http1, metadatastore, operatorrecords
from tests import forwarderfleet, loopdriver, watchedfleet

# The bound of the users' smaller deployments, which is the default of the settings.
BOUND_S: typing.Final = 3.0
HOST: typing.Final = "i-00000001"
HOST_ADDRESS: typing.Final = ("127.0.0.50", 9_001)
OTHER_HOST: typing.Final = "i-00000002"
LOST_CHANGES: typing.Final = 8


class StoreRestoredBetweenPages(metadatastore.MetadataStore):
    """A store that is restored to its own state after each page that it returns."""

    async def handle_request(self, request: http1.Request) -> http1.Response:
        """Respond to a request, then start the next era."""
        response = await super().handle_request(request)
        self.restore(self.make_copy())
        return response


class RestoredFleet:
    """Forwarders whose store has been restored, and lost the last changes.

    `version` is that of the newest configuration.
    """

    def __init__(self, watched: watchedfleet.WatchedFleet) -> None:
        self.watched = watched
        self.fleet = watched.fleet
        self.version = 1

    @property
    def store(self) -> metadatastore.MetadataStore:
        """Return the stand-in of the store."""
        return self.fleet.store

    def list_draining(self, name: str) -> list[bool]:
        """Return for each forwarder whether a host drains or is gone there."""
        found = []
        for item in self.watched.forwarders.values():
            upstream = item.dispatcher.directory.upstreams.get(name)
            found.append(upstream is None or upstream.draining)
        return found

    async def change_configuration(self, changes: int) -> None:
        """Change the configuration and wait until the last version is in force."""
        for _ in range(changes):
            self.version += 1
            self.fleet.configure(self.version, "booking")
        await self.wait_for_configuration()

    async def wait_for_configuration(self) -> None:
        """Wait until the newest version is in force at all forwarders."""
        await forwarderfleet.wait_until(
            lambda: all(
                item.dispatcher.configuration.version == self.version
                for item in self.watched.forwarders.values()
            )
        )

    def drain(self, sequence: int) -> None:
        """Report a host as draining, as its report with the given number."""
        self.fleet.register(HOST, HOST_ADDRESS, state="draining", sequence=sequence)

    async def measure_drain(self) -> float:
        """Return the seconds until all forwarders know that the host drains."""
        loop = asyncio.get_running_loop()
        changed_at = loop.time()
        await forwarderfleet.wait_until(lambda: all(self.list_draining(HOST)))
        return loop.time() - changed_at


@contextlib.asynccontextmanager
async def open_fleet(folder: pathlib.Path) -> abc.AsyncIterator[RestoredFleet]:
    """Start a store and six forwarders; stop everything on exit."""
    async with watchedfleet.open_fleet(folder) as watched:
        yield RestoredFleet(watched)


# After a restoration, hosts that drained were used on: their report was ignored as old.
@pytest.mark.parametrize("cut_off", [False, True])
def test_a_drain_at_a_revision_that_was_lost_is_known_in_time(
    cut_off: bool, tmp_path: pathlib.Path
) -> None:
    """Guard against changes ignored because a lost history had higher revisions."""

    async def scenario() -> None:
        async with open_fleet(tmp_path) as fleet:
            copy = fleet.store.make_copy()
            await fleet.change_configuration(LOST_CHANGES)
            if cut_off:
                # These learn the new state from the forwarders of the other zones.
                for number in (1, 2):
                    fleet.watched.proxies[f"front-{number}"].set_fault("silent")
            fleet.store.restore(copy)
            fleet.fleet.configure(fleet.version, "booking")
            await asyncio.sleep(1.0)
            fleet.drain(sequence=2)
            assert await fleet.measure_drain() < BOUND_S

    asyncio.run(scenario())


# A version and a drain were missed if the restored store passed the known revision.
def test_changes_at_revisions_given_out_again_are_not_skipped(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against a watch that continues at a revision of a lost history."""

    async def scenario() -> None:
        async with open_fleet(tmp_path) as fleet:
            copy = fleet.store.make_copy()
            await fleet.change_configuration(LOST_CHANGES)
            fleet.store.restore(copy)
            # All before the watchers return, whose last revision the store passes.
            fleet.version += 1
            fleet.fleet.configure(fleet.version, "booking")
            fleet.drain(sequence=2)
            for number in range(LOST_CHANGES):
                fleet.store.put(f"other/{number}", b"")
            assert await fleet.measure_drain() < BOUND_S
            await fleet.wait_for_configuration()

    asyncio.run(scenario())


# The older entries of a copy would make hosts ready again that drain or have left.
def test_a_copy_does_not_return_a_draining_host_to_use(tmp_path: pathlib.Path) -> None:
    """Guard against new flows to hosts that drain or have left, by an older copy."""

    async def scenario() -> None:
        async with open_fleet(tmp_path) as fleet:
            copy = fleet.store.make_copy()
            fleet.drain(sequence=2)
            fleet.fleet.register(
                OTHER_HOST, ("127.0.0.50", 9_002), state="draining", sequence=2
            )
            fleet.fleet.remove(OTHER_HOST)
            await fleet.measure_drain()
            await forwarderfleet.wait_until(
                lambda: all(fleet.list_draining(OTHER_HOST))
            )
            fleet.store.restore(copy)
            fleet.version += 1
            fleet.fleet.configure(fleet.version, "booking")
            await fleet.wait_for_configuration()
            for _ in range(10):
                await asyncio.sleep(0.1)
                assert all(fleet.list_draining(HOST))
                assert all(fleet.list_draining(OTHER_HOST))
            # The host itself is believed again.
            fleet.fleet.register(HOST, HOST_ADDRESS, born=2)
            await forwarderfleet.wait_until(lambda: not any(fleet.list_draining(HOST)))

    asyncio.run(scenario())


def test_a_watch_from_an_unknown_revision_is_refused(tmp_path: pathlib.Path) -> None:
    """Guard against a stand-in that is kinder than the store."""

    async def scenario() -> None:
        fleet = forwarderfleet.Fleet(tmp_path)
        await fleet.start()
        try:
            fleet.configure(1, "booking")
            copy = fleet.store.make_copy()
            fleet.configure(2, "booking")
            known = fleet.store.revision
            fleet.store.restore(copy)
            target = f"/api/kv-watch?prefix=&after={known}&wait-ms=0"
            response = await forwarderfleet.get(fleet.store_address, target)
            assert response.status == 410
            assert response.headers["store-era"] == "2"
            item = fleet.store.items[operatorrecords.CONFIGURATION_KEY]
            assert item["revision"] == copy.revision
        finally:
            await fleet.stop()

    asyncio.run(scenario())


# Pages of two histories would pass as one state.
def test_pages_of_two_eras_are_not_combined() -> None:
    """Guard against a snapshot of which a part was read before a restoration."""

    async def scenario() -> None:
        restored = StoreRestoredBetweenPages()
        address = await restored.start()
        assert restored.server is not None
        for number in range(metadatastore.PAGE_ITEMS + 1):
            restored.put(f"servers/i-{number + 1:08x}", b"")
        driver = loopdriver.LoopDriver()
        client = storeclient.StoreClient(driver.loop, address)
        try:
            with pytest.raises(store.HistoryLost):
                await driver.run(client.read_prefix(""))
        finally:
            client.close()
            driver.loop.close()
            restored.server.close()

    asyncio.run(scenario())
