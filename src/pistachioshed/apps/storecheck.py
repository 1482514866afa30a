"""Check in turn with the other forwarders whether the store has unknown changes."""

import math
import time
import typing
from collections import abc

from pistachioshed.adapters import eventloop, jsonlog, storefeed
from pistachioshed.core import changetiming, dispatch
from pistachioshed.platform import records, storeclient
from pistachioshed.ports import store


class Watching(typing.NamedTuple):
    """Whether this forwarder watches the store, and whether the store is lost to it."""

    watches_store: bool
    store_lost: bool


class StoreCheck:
    """Find changes that the watchers of all zones miss.

    A silent connection shows no error, and the store may leave single machines without
    answers. In each slot of time one forwarder of the fleet asks the store on a new
    connection.

    Parameters
    ----------
    loop : EventLoop
        Runs the task and its waits.
    name : str
        Name of this forwarder.
    store_address : tuple of str and int
        Address of the platform's store.
    timing : ChangeTiming
        Interval and time limit of the checks.
    dispatcher : Dispatcher
        Has the known state and the peers.
    deliver : callable
        Receives the changes that a check finds.
    count : callable
        Increments a counter, given its name and labels.

    Attributes
    ----------
    failed_at : float
        Time of the last check that the store did not answer.
    """

    def __init__(
        self,
        loop: eventloop.EventLoop,
        name: str,
        store_address: tuple[str, int],
        timing: changetiming.ChangeTiming,
        dispatcher: dispatch.Dispatcher,
        deliver: storefeed.Deliver,
        count: abc.Callable[..., None],
    ) -> None:
        self.loop = loop
        self.name = name
        self.store_address = store_address
        self.timing = timing
        self.dispatcher = dispatcher
        self.peers = dispatcher.peers
        self.deliver = deliver
        self.count = count
        self.started_at = loop.clock()
        self.failed_at = -math.inf

    async def run(self, describe: abc.Callable[[], Watching]) -> None:
        """Check the store in this forwarder's slots of time.

        The slots are those of the time of day, which is about the same on all machines.
        """
        interval_s = self.timing.check_interval_s
        while True:
            time_s = time.time()
            slot = int(time_s / interval_s) + 1
            await self.loop.sleep(slot * interval_s - time_s)
            if self.is_checker(slot, describe()):
                await self.check()

    def is_checker(self, slot: int, watching: Watching) -> bool:
        """Return whether this forwarder is to check the store in a slot of time.

        Watchers are exempt as long as there are others: what makes their connections
        silent may also affect new ones. So are forwarders without state, which read all
        of it, and those that have just started, which know few of the others and would
        all check.
        """
        now = self.loop.clock()
        if not self.dispatcher.directory.revision:
            return False
        if now - self.started_at < self.timing.first_check_after_s:
            return False
        reports = [report for report in self.peers.list_live(now) if not report.leaving]
        names = {
            report.name
            for report in reports
            if not report.watches_store
            and not report.store_unreachable
            and report.configuration_version
        }
        if not watching.watches_store and not watching.store_lost:
            names.add(self.name)
        if not names:
            names = {self.name, *(report.name for report in reports)}
        return changetiming.choose_checker(names, slot) == self.name

    async def check(self) -> bool:
        """Ask the store on a new connection for changes that are not yet known.

        Returns
        -------
        bool
            Whether the store answered.
        """
        client = storeclient.StoreClient(
            self.loop, self.store_address, self.timing.check_timeout_s
        )
        revision = self.dispatcher.directory.revision
        self.count("store_calls", call="check")
        try:
            batch = await client.wait_for_changes(records.STATE_PREFIX, revision, 0.0)
            if batch.events:
                jsonlog.log_event(
                    "check found changes", revision=revision, found=batch.revision
                )
                self.deliver(batch)
        except store.HistoryLost:
            return await self._read_snapshot(client)
        except store.StoreError as error:
            self._record_failure(error)
            return False
        finally:
            client.close()
        return True

    async def _read_snapshot(self, client: storeclient.StoreClient) -> bool:
        self.count("store_calls", call="range")
        try:
            response = await client.read_prefix(records.STATE_PREFIX)
        except store.StoreError as error:
            self._record_failure(error)
            return False
        jsonlog.log_event("check read a snapshot", revision=response.revision)
        self.deliver(storefeed.make_snapshot(response))
        return True

    def _record_failure(self, error: store.StoreError) -> None:
        self.failed_at = self.loop.clock()
        jsonlog.log_failure("check failed", cause=str(error))
