"""Forwarders in three zones, each with a proxy of its own to the store."""

import contextlib
import pathlib
import typing
from collections import abc

from pistachioshed.apps import forwarder
from standins import loopbackproxy
from tests import forwarderfleet

ZONES: typing.Final = ("riga-a", "riga-a", "riga-b", "riga-b", "riga-c", "riga-c")


class WatchedFleet:
    """Six forwarders in three zones, each with a proxy to the store."""

    def __init__(self, fleet: forwarderfleet.Fleet) -> None:
        self.fleet = fleet
        self.proxies: dict[str, loopbackproxy.LoopbackProxy] = {}
        self.forwarders: dict[str, forwarder.Forwarder] = {}

    async def start(self) -> None:
        """Start all forwarders and wait until one in each zone watches the store."""
        for number, zone in enumerate(ZONES, 1):
            name = f"front-{number}"
            self.proxies[name] = await self.fleet.add_proxy(number)
            self.forwarders[name] = await self.fleet.start_forwarder(number, zone)
        await forwarderfleet.wait_until(self.has_settled)

    def has_settled(self) -> bool:
        """Return whether all serve and exactly one forwarder of each zone watches."""
        serving = all(item.serving == "serving" for item in self.forwarders.values())
        settled = all(
            item.state_sync.is_settled(item.clock())
            for item in self.forwarders.values()
        )
        return serving and settled and len(self.list_watchers()) == len(set(ZONES))

    def list_watchers(self) -> list[str]:
        """Return the names of the forwarders that watch the store."""
        return [
            name
            for name, item in self.forwarders.items()
            if item.state_sync.watch_task is not None
        ]

    def has_everywhere(self, version: int, draining: str) -> bool:
        """Return whether all have a configuration and know that a host drains."""
        return all(
            item.dispatcher.configuration.version >= version
            and item.dispatcher.directory.upstreams[draining].draining
            for item in self.forwarders.values()
        )


@contextlib.asynccontextmanager
async def open_fleet(folder: pathlib.Path) -> abc.AsyncIterator[WatchedFleet]:
    """Start a store and six forwarders; stop everything on exit."""
    fleet = forwarderfleet.Fleet(folder)
    await fleet.start()
    fleet.configure(1, "booking")
    for number in range(1, 6):
        fleet.register(f"i-0000000{number}", ("127.0.0.50", 9_000 + number))
    try:
        watched = WatchedFleet(fleet)
        await watched.start()
        yield watched
    finally:
        await fleet.stop()
