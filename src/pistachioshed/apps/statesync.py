"""Keep a forwarder's state current from the store, or from a peer that follows it."""

import math
import random
import typing
from collections import abc

from pistachioshed.adapters import (
    eventloop,
    http1,
    jsonlog,
    statemessages,
    storefeed,
)
from pistachioshed.apps import storecheck
from pistachioshed.core import (
    changetiming,
    directory,
    dispatch,
    evacuations,
    peertable,
)
from pistachioshed.platform import records, storeclient
from pistachioshed.ports import store

ROLE_CHECK_INTERVAL_S: typing.Final = 0.1
# By then, a new forwarder has received reports from the others in its zone.
ROLE_SETTLE_S: typing.Final = 0.8
# A forwarder that stopped watching because the store did not respond tries the store
# again after at most this time.
STORE_LOST_TIMEOUT_S: typing.Final = 3.0
# Short enough to ask several peers within the users' bound of 3 s.
CATCH_UP_TIMEOUT_S: typing.Final = 0.5
UNKNOWN_VERSIONS: typing.Final = (0, 0)


class StateSync:
    """Fetch configuration and upstreams from the store or from a watcher of the zone.

    A watcher is a forwarder that follows the store; the others of its zone follow a
    watcher.

    Parameters
    ----------
    loop : EventLoop
        Runs the tasks and their waits.
    name : str
        Name of this forwarder.
    store_address : tuple of str and int
        Address of the platform's store.
    timing : ChangeTiming
        Waits that follow from the bound on changes.
    dispatcher : Dispatcher
        Receives configuration and upstreams.
    on_change : callable
        Called after an update was applied.
    count : callable
        Increments a counter, given its name and labels.

    Attributes
    ----------
    store_versions : tuple of int and int
        Revision of the last change of upstreams and version of the configuration when
        the store last sent a change to this forwarder, zeros before.
    """

    def __init__(
        self,
        loop: eventloop.EventLoop,
        name: str,
        store_address: tuple[str, int],
        timing: changetiming.ChangeTiming,
        dispatcher: dispatch.Dispatcher,
        on_change: abc.Callable[[], None],
        count: abc.Callable[..., None],
    ) -> None:
        self.loop = loop
        self.name = name
        self.store_address = store_address
        self.timing = timing
        self.dispatcher = dispatcher
        self.peers = dispatcher.peers
        self.on_change = on_change
        self.count = count
        self.started_at = loop.clock()
        self.store_versions = UNKNOWN_VERSIONS
        self.feed: storefeed.StoreFeed | None = None
        self.watch_task: eventloop.Task | None = None
        self.follow_task: eventloop.Task | None = None
        self.store_lost_at = -math.inf
        self.behind_since: float | None = None
        self.state_changed = eventloop.Event(loop)
        self.may_watch = eventloop.Event(loop)
        self.store_check = storecheck.StoreCheck(
            loop, name, store_address, timing, dispatcher, self.apply_batch, count
        )

    def start(self) -> None:
        """Read the state and keep it current."""
        self.start_watching()
        self.loop.start_service(self.run_role_loop, "choose role")
        self.loop.start_service(self.run_catch_up_loop, "catch up with peers")
        self.loop.start_service(
            lambda: self.store_check.run(self.describe_watch), "check store"
        )

    def describe_watch(self) -> storecheck.Watching:
        """Return whether this forwarder watches the store and can reach it."""
        return storecheck.Watching(
            self.watch_task is not None, self.is_store_lost(self.loop.clock())
        )

    def is_store_lost(self, now: float) -> bool:
        """Return whether the store has recently failed to respond to this forwarder."""
        if self.feed is not None:
            if self.feed.lost:
                self.store_lost_at = now
            elif self.feed.following:
                self.store_lost_at = -math.inf
        lost_at = max(self.store_lost_at, self.store_check.failed_at)
        return now - lost_at < STORE_LOST_TIMEOUT_S

    def is_settled(self, now: float) -> bool:
        """Return whether this forwarder knows the others of its zone."""
        return now - self.started_at > ROLE_SETTLE_S

    def refresh(self) -> None:
        """Ask the store at once for changes, after a pause of this process."""
        if self.feed is not None:
            self.feed.doubt_connection()
        self.loop.start_task(self._refresh(), "refresh state")

    async def _refresh(self) -> None:
        if await self.store_check.check():
            self.publish_change()

    def publish_change(self) -> None:
        """Wake the requests of peers that wait for changes, and call `on_change`."""
        self.state_changed.set()
        self.on_change()

    def start_watching(self) -> None:
        """Start to follow the store, unless this forwarder already does."""
        if self.watch_task is not None:
            return
        self.feed = storefeed.StoreFeed(
            self.loop,
            records.STATE_PREFIX,
            storeclient.StoreClient(self.loop, self.store_address),
            self.apply_batch,
            lambda call: self.count("store_calls", call=call),
            self.dispatcher.directory.revision,
            self.may_watch,
            self.timing.batch_delay_s,
            random.random,
        )
        self.watch_task = self.loop.start_service(self.feed.run, "follow the store")

    def stop_watching(self) -> None:
        """Stop following the store; the watchers of the zone continue to."""
        if self.watch_task is not None:
            self.loop.cancel(self.watch_task)
        self.watch_task = self.feed = None

    async def run_role_loop(self) -> None:
        """Follow the store if this forwarder is a watcher of its zone, else a peer."""
        while True:
            await self.loop.sleep(ROLE_CHECK_INTERVAL_S)
            now = self.loop.clock()
            if self.is_settled(now):
                self.choose_role(now)

    def choose_role(self, now: float) -> None:
        """Start or stop to follow the store, by the watchers that the zone needs."""
        watchers = self.peers.list_watchers(self.is_store_lost(now), now)
        if self.name in watchers:
            self.may_watch.set()
            if self.follow_task is not None:
                self.loop.cancel(self.follow_task)
                self.follow_task = None
                jsonlog.log_event("follows the store", watchers=watchers)
            self.start_watching()
        elif self.follow_task is None or self.follow_task.done:
            self.follow_task = self.loop.start_task(self.follow_peer(), "follow a peer")
            jsonlog.log_event("follows peers", watchers=watchers)

    async def follow_peer(self) -> None:
        """Fetch changes from a watcher of the zone until cancelled.

        While no watcher responds, follow the store instead.
        """
        connection: http1.Connection | None = None
        try:
            while True:
                watcher = self.find_watcher()
                if watcher is None:
                    self.watch_for_now()
                    await self.loop.sleep(ROLE_CHECK_INTERVAL_S)
                    continue
                if self.dispatcher.has_state():
                    self.stop_watching()
                if connection is None or connection.address != watcher.address:
                    if connection is not None:
                        connection.close()
                    connection = http1.Connection(self.loop, watcher.address)
                try:
                    await self.fetch(
                        connection, watcher.name, statemessages.LONG_POLL_MAX_S
                    )
                except statemessages.StateMessageError as error:
                    self.record_fetch_failure(watcher.name, error)
                    self.watch_for_now()
                    await self.loop.sleep(ROLE_CHECK_INTERVAL_S)
        finally:
            if connection is not None:
                connection.close()

    def watch_for_now(self) -> None:
        """Follow the store until a watcher of the zone responds."""
        self.may_watch.set()
        self.start_watching()

    def find_watcher(self) -> peertable.Report | None:
        """Return a live watcher of the zone, or None.

        Followers are distributed over the watchers by their names.
        """
        now = self.loop.clock()
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
        statemessages.apply_update(self.dispatcher, update, self.loop.clock())
        self.publish_change()

    def record_fetch_failure(self, peer: str, error: Exception) -> None:
        """Log and count a failure to fetch the state of a peer."""
        self.count("state_fetch_failures", peer=peer)
        jsonlog.log_failure("peer lost", peer=peer, cause=str(error))

    async def run_catch_up_loop(self) -> None:
        """Fetch newer state from peers, also if this forwarder watches the store.

        The connection on which a watcher should have received that state may be silent.
        """
        while True:
            await self.loop.sleep(ROLE_CHECK_INTERVAL_S)
            newer_peers = self.find_newer_peers(self.loop.clock())
            if not newer_peers:
                continue
            if self.feed is not None:
                self.feed.doubt_connection()
            # A random choice, in case one of them does not respond.
            await self.catch_up(random.choice(newer_peers))

    def find_newer_peers(self, now: float) -> list[peertable.Report]:
        """Return the peers that have had newer state for the catch-up delay."""
        newer_peers = self.peers.list_newer(
            self.dispatcher.directory.changed_revision,
            self.dispatcher.configuration.version,
            now,
        )
        if not newer_peers:
            self.behind_since = None
            return []
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since < self.timing.catch_up_delay_s:
            return []
        self.behind_since = None
        return newer_peers

    async def catch_up(self, peer: peertable.Report) -> None:
        """Fetch the newer state of a peer."""
        jsonlog.log_event(
            "catches up",
            peer=peer.name,
            upstreams=self.dispatcher.directory.changed_revision,
            configuration=self.dispatcher.configuration.version,
        )
        connection = http1.Connection(self.loop, peer.address)
        try:
            await self.fetch(connection, peer.name, 0.0, CATCH_UP_TIMEOUT_S)
        except statemessages.StateMessageError as error:
            self.record_fetch_failure(peer.name, error)
        finally:
            connection.close()

    async def handle_state_request(self, request: http1.Request) -> http1.Response:
        """Return the changes that a peer does not have, as soon as there are any."""
        try:
            revision, version, wait_s = statemessages.parse_query(request.target)
        except ValueError as error:
            return http1.Response(400, {}, str(error).encode())
        deadline = self.loop.clock() + wait_s
        while not self.has_newer_state(revision, version):
            self.state_changed.clear()
            if not await self.state_changed.wait(deadline):
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

    def apply_batch(self, batch: store.WatchBatch) -> None:
        """Apply changes of the configuration and of the registered upstreams."""
        self.apply_configuration(batch)
        self.apply_upstreams(batch)
        self.store_versions = (
            self.dispatcher.directory.changed_revision,
            self.dispatcher.configuration.version,
        )
        self.publish_change()

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
            self.dispatcher.configure(configuration, self.loop.clock())

    def apply_upstreams(self, batch: store.WatchBatch) -> None:
        """Apply the changes of the registered upstreams and of evacuations."""
        changes = []
        for event in batch.events:
            if not event.key.startswith(records.UPSTREAMS_PREFIX):
                continue
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
            changes,
            batch.revision,
            batch.snapshot,
            self.loop.clock(),
            list_evacuations(batch),
        )


def list_evacuations(batch: store.WatchBatch) -> evacuations.Received:
    """Return what a batch of the store holds of requests to evacuate zones."""
    prefix = records.EVACUATIONS_PREFIX
    return evacuations.Received(
        tuple(
            evacuations.ZoneRequest(
                event.key.removeprefix(prefix), event.mod_revision, not event.deleted
            )
            for event in batch.events
            if event.key.startswith(prefix)
        ),
        batch.snapshot,
    )
