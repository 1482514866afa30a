"""A watch over the etcd v3 JSON gateway that reopens without losing an event."""

import typing

import msgspec
import treq.client
from twisted.internet import defer
from twisted.python import failure

from pistachioshed.adapters import etcdgateway, jsonlog
from pistachioshed.core import revisions
from pistachioshed.ports import store

# The store reports progress at least every 2 s; a call that receives nothing for this
# long is cancelled and reopened.
PROGRESS_TIMEOUT_SECONDS: typing.Final = 5.0


class StoreCaller(typing.Protocol):
    """The part of the store client that a watch uses."""

    addresses: list[str]
    http: treq.client.HTTPClient
    clock: typing.Any
    era: int

    async def get_prefix(
        self, prefix: str, limit: int = 0, descending: bool = False
    ) -> store.RangeResponse:
        """Read the pairs whose keys have a prefix."""

    def update_era(self, response: etcdgateway.Message) -> None:
        """Start a new era if a response comes from another cluster than the last."""

    def demote(self, address: str) -> None:
        """Move an address that failed to the end of the list."""

    async def pause(self, attempt: int) -> None:
        """Wait before the next attempt."""


class HistoryLost(Exception):
    """The store has compacted the revision that a watch starts from, or lost it."""


class EtcdWatch:
    """Watch the keys with a prefix through one streaming call at a time.

    `revision` is the first one that the next call requests. It advances only past
    delivered changes, so a reopened call neither skips nor repeats an event.
    """

    def __init__(
        self,
        store_caller: StoreCaller,
        prefix: str,
        revision: int,
        deliver: store.Deliver,
    ) -> None:
        self.store_caller = store_caller
        self.prefix = prefix
        self.revision = revision
        self.deliver = deliver
        self.buffer = b""
        self.failures = 0
        self.opened_calls = 0
        self.stopped = False
        self.completion: defer.Deferred[None] | None = None
        self.deadline: typing.Any = None

    def start(self) -> None:
        """Start to watch."""
        self.completion = defer.Deferred.fromCoroutine(self._run())
        self.completion.addErrback(_ignore_cancellation)

    def stop(self) -> None:
        """Stop the watch; nothing is delivered afterwards."""
        self.stopped = True
        if self.completion is not None:
            self.completion.cancel()

    async def _run(self) -> None:
        while not self.stopped:
            address = self.store_caller.addresses[0]
            try:
                await self._watch_address(address)
            except HistoryLost:
                await self._deliver_snapshot()
                continue
            except Exception as cause:
                if self.stopped:
                    return
                jsonlog.log_failure(
                    "watch re-opened",
                    step=f"watch {self.prefix} from {self.revision}",
                    peer=address,
                    cause=str(cause) or type(cause).__name__,
                )
            self.failures += 1
            self.store_caller.demote(address)
            await self.store_caller.pause(min(self.failures, 5))

    async def _watch_address(self, address: str) -> None:
        _, store_revision = revisions.split_revision(self.revision)
        request = {
            **etcdgateway.make_prefix_selector(self.prefix),
            "start_revision": str(store_revision),
            "progress_notify": True,
        }
        self.opened_calls += 1
        self.buffer = b""
        stream = defer.Deferred.fromCoroutine(
            self._stream(f"http://{address}/v3/watch", {"create_request": request})
        )
        self.deadline = self.store_caller.clock.callLater(
            PROGRESS_TIMEOUT_SECONDS, stream.cancel
        )
        try:
            await stream
        except Exception as cause:
            if self.stopped or self.deadline.active():
                raise
            problem = f"no progress within {PROGRESS_TIMEOUT_SECONDS} s"
            raise etcdgateway.NoAnswer(problem) from cause
        finally:
            if self.deadline.active():
                self.deadline.cancel()

    async def _stream(self, url: str, message: etcdgateway.Message) -> None:
        body = msgspec.json.encode(message)
        response = await self.store_caller.http.post(
            url, data=body, headers=etcdgateway.HEADERS, unbuffered=True
        )
        errors: list[Exception] = []

        def handle_data(data: bytes) -> None:
            if errors:
                return
            try:
                self._handle_bytes(data)
            except Exception as cause:
                errors.append(cause)
                reader.close()

        reader = etcdgateway.BodyReader(handle_data)
        response.deliverBody(reader)
        try:
            await reader.finished
        finally:
            if errors:
                raise errors[0]
        raise etcdgateway.NoAnswer(f"the stream ended, status {response.code}")

    def _handle_bytes(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            if line.strip() and not self.stopped:
                self._handle_response(
                    etcdgateway.parse_response(200, line).get("result", {})
                )

    def _handle_response(self, response: etcdgateway.Message) -> None:
        if self.deadline is not None and self.deadline.active():
            self.deadline.reset(PROGRESS_TIMEOUT_SECONDS)
        self.store_caller.update_era(response)
        era = self.store_caller.era
        if era != revisions.get_era(self.revision):
            raise HistoryLost
        if int(response.get("compact_revision", 0)):
            raise HistoryLost
        if response.get("canceled"):
            raise etcdgateway.Rejected(str(response.get("cancel_reason", "canceled")))
        if response.get("created"):
            return
        self.failures = 0
        events = tuple(
            etcdgateway.parse_event(event, era) for event in response.get("events", ())
        )
        # With events, the header's revision may be newer than events that are still to
        # be sent.
        if events:
            revision = max(event.mod_revision for event in events)
        else:
            revision = etcdgateway.parse_revision(response, era)
        # A server that lags behind may report progress at an older revision.
        if revision < self.revision and not events:
            revision = self.revision - 1
        self.revision = revision + 1
        self.deliver(store.WatchBatch(revision, events))

    async def _deliver_snapshot(self) -> None:
        try:
            response = await self.store_caller.get_prefix(self.prefix)
        except store.StoreError:
            self.failures += 1
            await self.store_caller.pause(min(self.failures, 5))
            return
        events = tuple(
            store.Event(pair.key, pair.value, pair.mod_revision)
            for pair in response.pairs
        )
        self.revision = response.revision + 1
        self.deliver(store.WatchBatch(response.revision, events, snapshot=True))


def _ignore_cancellation(reason: failure.Failure) -> None:
    reason.trap(defer.CancelledError)
