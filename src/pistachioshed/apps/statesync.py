"""Keep a forwarder's state current from the store, or from a peer that follows it."""

import asyncio
import math
import random
import typing
from collections import abc

from pistachioshed.adapters import http1, jsonlog, statemessages, storefeed
from pistachioshed.core import directory, dispatch, peertable
from pistachioshed.platform import records, storeclient
from pistachioshed.ports import store

ROLE_CHECK_INTERVAL_S: typing.Final = 0.1
# By then, a new forwarder has received reports from the others in its zone.
ROLE_SETTLE_S: typing.Final = 0.8
# A peer's report of newer state can arrive before the change itself, by less than this.
CATCH_UP_DELAY_S: typing.Final = 0.3
# A forwarder that stopped watching because the store did not respond tries the store
# again after at most this time.
STORE_LOST_TIMEOUT_S: typing.Final = 3.0
# Short enough to ask several peers within the users' bound of 3 s.
CATCH_UP_TIMEOUT_S: typing.Final = 0.5

Address = tuple[str, int]
StartTask = abc.Callable[
    [abc.Coroutine[typing.Any, typing.Any, None]], "asyncio.Task[None]"
]


class StateSync:
    """Fetch configuration and upstreams from the store or from a watcher of the zone.

    A watcher is a forwarder that follows the store; the others of its zone follow a
    watcher.

    Parameters
    ----------
    name : str
        Name of this forwarder.
    store_address : tuple of str and int
        Address of the platform's store.
    dispatcher : Dispatcher
        Receives configuration and upstreams.
    start_task : callable
        Runs a coroutine as a task of the process.
    on_change : callable
        Called after an update was applied.
    count : callable
        Increments a counter, given its name and labels.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        name: str,
        store_address: Address,
        dispatcher: dispatch.Dispatcher,
        start_task: StartTask,
        on_change: abc.Callable[[], None],
        count: abc.Callable[..., None],
        clock: abc.Callable[[], float],
    ) -> None:
        self.name = name
        self.store_address = store_address
        self.dispatcher = dispatcher
        self.peers = dispatcher.peers
        self.start_task = start_task
        self.on_change = on_change
        self.count = count
        self.clock = clock
        self.started_at = clock()
        self.watch_tasks: list[asyncio.Task[None]] = []
        self.feeds: list[storefeed.StoreFeed] = []
        self.store_lost_at = -math.inf
        self.behind_since: float | None = None
        self.state_changed = asyncio.Event()
        self.may_watch = asyncio.Event()

    def is_store_lost(self, now: float) -> bool:
        """Return whether the store has recently failed to respond to this forwarder."""
        if self.watch_tasks and any(feed.lost for feed in self.feeds):
            self.store_lost_at = now
        elif self.watch_tasks and all(feed.following for feed in self.feeds):
            self.store_lost_at = -math.inf
        return now - self.store_lost_at < STORE_LOST_TIMEOUT_S

    def publish_change(self) -> None:
        """Wake the requests of peers that wait for changes, and call `on_change`."""
        self.state_changed.set()
        self.on_change()

    def start_watching(self) -> None:
        """Start to follow the store, unless this forwarder already does."""
        if not self.watch_tasks:
            self.feeds = [
                self.build_feed(
                    "configuration", records.CONFIGURATION_KEY, self.apply_configuration
                ),
                self.build_feed(
                    "upstreams", records.UPSTREAMS_PREFIX, self.apply_upstreams
                ),
            ]
            self.watch_tasks = [self.start_task(feed.run()) for feed in self.feeds]

    def stop_watching(self) -> None:
        """Stop following the store; the watchers of the zone continue to."""
        for task in self.watch_tasks:
            task.cancel()
        self.watch_tasks = []

    async def run_role_loop(self) -> None:
        """Follow the store or a peer that does; fetch newer state from other peers."""
        follow_task: asyncio.Task[None] | None = None
        while True:
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
            now = self.clock()
            if now - self.started_at > ROLE_SETTLE_S:
                watchers = self.peers.list_watchers(self.is_store_lost(now), now)
                should_watch = self.name in watchers
                if should_watch:
                    self.may_watch.set()
                if not should_watch and (follow_task is None or follow_task.done()):
                    follow_task = self.start_task(self.follow_peer())
                    jsonlog.log_event("follows peers", watchers=watchers)
                elif should_watch and follow_task is not None:
                    follow_task.cancel()
                    follow_task = None
                    self.start_watching()
                    jsonlog.log_event("follows the store", watchers=watchers)
            await self.catch_up(now)

    async def follow_peer(self) -> None:
        """Fetch changes from a watcher of the zone until cancelled.

        While no watcher responds, follow the store instead.
        """
        connection: http1.Connection | None = None
        try:
            while True:
                watcher = self.find_watcher()
                if watcher is None:
                    self.may_watch.set()
                    self.start_watching()
                    await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                    continue
                if connection is None or connection.address != watcher.address:
                    if connection is not None:
                        connection.close()
                    connection = http1.Connection(watcher.address)
                try:
                    await self.fetch(
                        connection, watcher.name, statemessages.LONG_POLL_MAX_S
                    )
                except statemessages.StateMessageError as error:
                    self.record_fetch_failure(watcher.name, error)
                    self.may_watch.set()
                    self.start_watching()
                    await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                else:
                    self.stop_watching()
        finally:
            if connection is not None:
                connection.close()

    def find_watcher(self) -> peertable.Report | None:
        """Return a live watcher of the zone, or None.

        Followers are distributed over the watchers by their names.
        """
        now = self.clock()
        names = self.peers.list_watchers(self.is_store_lost(now), now)
        live_watchers = [
            report
            for report in self.peers.list_live(now)
            if report.name in names and report.watches_store
        ]
        if not live_watchers:
            return None
        return live_watchers[sum(self.name.encode()) % len(live_watchers)]

    async def fetch(
        self,
        connection: http1.Connection,
        peer: str,
        wait_s: float,
        timeout_s: float = statemessages.REQUEST_TIMEOUT_S,
    ) -> None:
        """Fetch the state that is newer at a peer, and apply it."""
        update = await statemessages.fetch_update(
            connection,
            self.dispatcher.directory.revision,
            self.dispatcher.configuration.version,
            wait_s,
            timeout_s,
        )
        self.count("state_fetches", peer=peer)
        statemessages.apply_update(self.dispatcher, update, self.clock())
        self.publish_change()

    def record_fetch_failure(self, peer: str, error: Exception) -> None:
        """Log and count a failure to fetch the state of a peer."""
        self.count("state_fetch_failures", peer=peer)
        jsonlog.log_failure("peer lost", peer=peer, cause=str(error))

    async def catch_up(self, now: float) -> None:
        """Fetch from a peer if any have had newer state for `CATCH_UP_DELAY_S`.

        This does not depend on whether this forwarder follows the store or a peer.
        """
        newer_peers = self.peers.list_newer(
            self.dispatcher.directory.changed_revision,
            self.dispatcher.configuration.version,
            now,
        )
        if not newer_peers:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since < CATCH_UP_DELAY_S:
            return
        self.behind_since = None
        # A random choice, in case one of them does not respond.
        newer_peer = random.choice(newer_peers)
        jsonlog.log_event(
            "catches up",
            peer=newer_peer.name,
            upstreams=self.dispatcher.directory.changed_revision,
            configuration=self.dispatcher.configuration.version,
        )
        connection = http1.Connection(newer_peer.address)
        try:
            await self.fetch(connection, newer_peer.name, 0.0, CATCH_UP_TIMEOUT_S)
        except statemessages.StateMessageError as error:
            self.record_fetch_failure(newer_peer.name, error)
        finally:
            connection.close()

    async def handle_state_request(self, request: http1.Request) -> http1.Response:
        """Return the changes that a peer does not have, as soon as there are any."""
        try:
            revision, version, wait_s = statemessages.parse_query(request.target)
        except ValueError as error:
            return http1.Response(400, {}, str(error).encode())
        deadline = self.clock() + wait_s
        while not self.has_newer_state(revision, version):
            self.state_changed.clear()
            remaining_s = deadline - self.clock()
            if remaining_s <= 0:
                break
            try:
                async with asyncio.timeout(remaining_s):
                    await self.state_changed.wait()
            except TimeoutError:
                # The peer receives a response without changes and asks again.
                break
        body = statemessages.encode_update(self.dispatcher, revision, version)
        return http1.Response(200, {"Content-Type": statemessages.CONTENT_TYPE}, body)

    def has_newer_state(self, revision: int, version: int) -> bool:
        """Return whether there are changes after a revision or a version."""
        return (
            self.dispatcher.directory.changed_revision > revision
            or self.dispatcher.configuration.version > version
        )

    def build_feed(
        self, name: str, prefix: str, deliver: storefeed.Deliver
    ) -> storefeed.StoreFeed:
        """Return a feed for one prefix of the store."""
        return storefeed.StoreFeed(
            name,
            prefix,
            storeclient.StoreClient(self.store_address),
            deliver,
            lambda call: self.count("store_calls", call=call),
            self.may_watch,
        )

    def apply_configuration(self, batch: store.WatchBatch) -> None:
        """Put the newest valid configuration of a batch in force."""
        for event in batch.events:
            if event.key != records.CONFIGURATION_KEY or event.deleted:
                continue
            try:
                configuration = records.decode_configuration(event.value)
            except records.RecordError as error:
                jsonlog.log_failure(
                    "configuration ignored",
                    revision=event.mod_revision,
                    cause=str(error),
                )
                continue
            self.dispatcher.configure(configuration, self.clock())
        self.publish_change()

    def apply_upstreams(self, batch: store.WatchBatch) -> None:
        """Apply the changes of the registered upstreams."""
        changes = []
        for event in batch.events:
            name = event.key.removeprefix(records.UPSTREAMS_PREFIX)
            upstream: directory.Upstream | None = None
            if not event.deleted:
                try:
                    upstream = records.decode_upstream(name, event.value)
                except records.RecordError as error:
                    jsonlog.log_failure(
                        "upstream ignored",
                        revision=event.mod_revision,
                        cause=str(error),
                    )
            changes.append(directory.Change(name, upstream, event.mod_revision))
        self.dispatcher.update_directory(
            changes, batch.revision, batch.snapshot, self.clock()
        )
        self.publish_change()
