"""Performs the control policy's store actions and dispatches the results as events."""

import random
import typing
from collections import abc

from twisted.internet import defer, task
from twisted.internet import error as tx_error

from pistachioshed.adapters import jsonlog
from pistachioshed.core import controlevents
from pistachioshed.operations import documents
from pistachioshed.operations import status as status_documents
from pistachioshed.ports import store

REPORTERS_PREFIX: typing.Final = "/pistachioshed/reporters/"
RETRY_DELAY_S: typing.Final = 1.0
# The watch reports progress every 2 s, and the store adapter re-opens it after 5 s
# of silence.
WATCH_SILENCE_S: typing.Final = 6.0


class StoreDriver:
    """Make the store calls of one control process.

    Parameters
    ----------
    settings : controlevents.Settings
        The settings of the policy.
    client : store.Store
        The store.
    dispatch : callable
        Called with each event for the policy.
    clock : IReactorTime
        Schedules the retries.
    now : callable
        Returns the time of a monotonic clock in seconds; also gives the time at
        which a lease renewal was sent.
    """

    def __init__(
        self,
        settings: controlevents.Settings,
        client: store.Store,
        dispatch: abc.Callable[[controlevents.Event], None],
        clock: typing.Any,
        now: abc.Callable[[], float],
    ) -> None:
        self.settings = settings
        self.store = client
        self.dispatch = dispatch
        self.clock = clock
        self.now = now
        self.reporter_key = REPORTERS_PREFIX + settings.zone
        self.status_key = status_documents.make_status_key(settings.zone)
        self.initial_read: defer.Deferred[None] | None = None
        self.watch: store.Watch | None = None
        self.heard_at = 0.0
        self.watch_requested = False

    def start_watch(self) -> None:
        """Read all tables, then watch them for changes.

        A running watch is stopped first. A failed read is retried until it succeeds.
        """
        self.stop_watch()
        self.watch_requested = True
        self.initial_read = self.spawn("watch tables", self._read_and_watch())

    def stop_watch(self) -> None:
        """Stop the watch, or the read that precedes it."""
        self.watch_requested = False
        initial_read, self.initial_read = self.initial_read, None
        watch, self.watch = self.watch, None
        if initial_read is not None:
            initial_read.cancel()
        if watch is not None:
            watch.stop()

    def check_watch(self) -> None:
        """Dispatch `StoreUnavailable` if the watch makes no progress.

        The store adapter re-opens the watch.
        """
        if self.watch is None:
            return
        if self.now() - self.heard_at > WATCH_SILENCE_S:
            self.dispatch(controlevents.StoreUnavailable("the watch is silent"))

    async def _read_and_watch(self) -> None:
        while True:
            try:
                response = await self.store.get_prefix(documents.TABLES_PREFIX)
                break
            except (store.StoreError, tx_error.ConnectingCancelledError) as error:
                # `stop_watch` may cancel a connection attempt, which also raises
                # `ConnectingCancelledError`.
                if not self.watch_requested:
                    return
                self.dispatch(controlevents.StoreUnavailable(str(error)))
            await task.deferLater(self.clock, RETRY_DELAY_S * (0.5 + random.random()))
        for pair in response.pairs:
            self._dispatch_table(pair.key, pair.value, pair.mod_revision)
        self.dispatch(controlevents.StoreRead(response.revision))
        self.heard_at = self.now()
        self.watch = self.store.watch(
            documents.TABLES_PREFIX, response.revision + 1, self._handle_batch
        )

    def _handle_batch(self, batch: store.WatchBatch) -> None:
        self.heard_at = self.now()
        self.dispatch(controlevents.StoreAvailable())
        for event in batch.events:
            if event.deleted:
                jsonlog.log_failure("table deleted in the store", key=event.key)
                continue
            self._dispatch_table(event.key, event.value, event.mod_revision)

    def _dispatch_table(self, key: str, value: bytes, revision: int) -> None:
        try:
            table = documents.decode_table(key, value)
        except documents.DocumentError as error:
            jsonlog.log_failure("decode table", key=key, error=str(error))
            return
        self.dispatch(controlevents.StoreTable(table, revision))

    def read_table(self, service: str) -> None:
        """Read the table of one service and dispatch it."""
        self.spawn("read table", self._read_table(documents.make_table_key(service)))

    async def _read_table(self, key: str) -> None:
        try:
            response = await self.store.get(key)
        except store.StoreError as error:
            self.dispatch(controlevents.StoreUnavailable(str(error)))
            return
        self.dispatch(controlevents.StoreAvailable())
        if response.pair is not None:
            self._dispatch_table(key, response.pair.value, response.pair.mod_revision)

    def grant_lease(self, ttl_s: float) -> None:
        """Create the zone's reporter key under a new lease, if no such key exists."""
        self.spawn("grant lease", self._grant_lease(round(ttl_s)))

    async def _grant_lease(self, ttl_s: int) -> None:
        try:
            current = await self.store.get(self.reporter_key)
            if current.pair is not None:
                self.dispatch(controlevents.LeaseLost("held by another control"))
                return
            lease = (await self.store.grant_lease(ttl_s)).lease
            fence = await self._create_key(lease)
        except store.StoreError as error:
            self.dispatch(controlevents.LeaseLost(str(error)))
            return
        if fence:
            self.dispatch(controlevents.LeaseGranted(lease, fence))
            return
        self.dispatch(controlevents.LeaseLost("another control was first"))
        self.drop_lease(lease)

    async def _create_key(self, lease: int) -> int:
        """Return the key's creation revision, or 0 if another process holds it.

        If the response is lost, the key is read to find out who holds it.
        """
        key_absent = store.Compare(self.reporter_key, "create", 0)
        put = store.Put(self.reporter_key, self.settings.name.encode(), lease)
        try:
            response = await self.store.transact([key_absent], [put])
            return response.revision if response.succeeded else 0
        except store.AnswerLost:
            pair = (await self.store.get(self.reporter_key)).pair
            return pair.create_revision if pair and pair.lease == lease else 0

    def renew_lease(self, lease: int) -> None:
        """Renew the lease of the reporter key."""
        self.spawn("renew lease", self._renew_lease(lease, self.now()))

    async def _renew_lease(self, lease: int, sent_at: float) -> None:
        try:
            response = await self.store.keep_alive(lease)
        except store.StoreError as error:
            # The policy treats the lease as expired by its own clock if no renewal
            # succeeds.
            jsonlog.log_failure("renew lease", error=str(error))
            return
        if response.ttl_seconds:
            self.dispatch(controlevents.LeaseRenewed(lease, sent_at))
        else:
            self.dispatch(controlevents.LeaseLost("the lease expired"))

    def drop_lease(self, lease: int) -> defer.Deferred[None]:
        """Revoke a lease, which deletes the keys created under it."""
        return self.spawn("drop lease", self._drop_lease(lease))

    async def _drop_lease(self, lease: int) -> None:
        try:
            await self.store.revoke_lease(lease)
        except store.StoreError as error:
            jsonlog.log_failure("drop lease", error=str(error))

    def write_status(self, fence: int, status: dict[str, dict[str, int]]) -> None:
        """Write the zone's status, unless the reporter key was created anew.

        The write fails unless the key's creation revision is `fence`.
        """
        self.spawn("write status", self._write_status(fence, status))

    async def _write_status(
        self, fence: int, status: dict[str, dict[str, int]]
    ) -> None:
        fence_unchanged = store.Compare(self.reporter_key, "create", fence)
        document = status_documents.ZoneStatus(zone=self.settings.zone, nodes=status)
        put = store.Put(self.status_key, status_documents.encode_status(document))
        try:
            response = await self.store.transact([fence_unchanged], [put])
        except store.StoreError as error:
            self.dispatch(controlevents.StatusFailed(str(error)))
            return
        if response.succeeded:
            self.dispatch(controlevents.StatusWritten())
        else:
            self.dispatch(controlevents.LeaseLost("the fence refused a write"))

    def spawn(
        self, step: str, coroutine: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> defer.Deferred[None]:
        """Run a coroutine; an exception is logged as a failure of `step`."""
        deferred = defer.Deferred.fromCoroutine(coroutine)

        def log_error(reason: typing.Any) -> None:
            if not reason.check(defer.CancelledError):
                jsonlog.log_failure(step, error=reason.getTraceback())

        deferred.addErrback(log_error)
        return deferred
