"""A watch of the etcd v3 JSON gateway that re-opens itself without losing an event."""

import typing

import msgspec
import treq.client
from twisted.internet import defer
from twisted.python import failure

from pistachioshed.adapters import etcdgateway, jsonlog
from pistachioshed.ports import store

# The store reports progress at least every 2 s; a silent connection is closed.
LIVENESS_SECONDS: typing.Final = 5.0


class Caller(typing.Protocol):
    """What a watch needs of its store."""

    addresses: list[str]
    http: treq.client.HTTPClient
    clock: typing.Any

    async def get_prefix(
        self, prefix: str, limit: int = 0, descending: bool = False
    ) -> store.RangeAnswer:
        """Read the pairs below a prefix."""

    def demote(self, address: str) -> None:
        """Move an address that failed behind the others."""

    async def pause(self, attempt: int) -> None:
        """Wait before the next attempt."""


class Compacted(Exception):
    """The store no longer has the changes that a watch asked for."""


class EtcdWatch:
    """Follows a prefix; owns one streaming call at a time.

    `revision` is the next one to ask for. It rises only by what was delivered, so a
    re-opened call neither skips nor repeats an event.
    """

    def __init__(
        self, caller: Caller, prefix: str, revision: int, deliver: store.Deliver
    ) -> None:
        self.caller = caller
        self.prefix = prefix
        self.revision = revision
        self.deliver = deliver
        self.buffer = b""
        self.failures = 0
        self.openings = 0
        self.stopped = False
        self.running: defer.Deferred[None] | None = None
        self.deadline: typing.Any = None

    def start(self) -> None:
        """Open the first call."""
        self.running = defer.Deferred.fromCoroutine(self._run())
        self.running.addErrback(_ignore_cancellation)

    def stop(self) -> None:
        """End the watch; nothing is delivered afterwards."""
        self.stopped = True
        if self.running is not None:
            self.running.cancel()

    async def _run(self) -> None:
        while not self.stopped:
            address = self.caller.addresses[0]
            try:
                await self._follow(address)
            except Compacted:
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
            self.caller.demote(address)
            await self.caller.pause(min(self.failures, 5))

    async def _follow(self, address: str) -> None:
        request = {
            **etcdgateway.make_prefix(self.prefix),
            "start_revision": str(self.revision),
            "progress_notify": True,
        }
        self.openings += 1
        self.buffer = b""
        stream = defer.Deferred.fromCoroutine(
            self._stream(f"http://{address}/v3/watch", {"create_request": request})
        )
        self.deadline = self.caller.clock.callLater(LIVENESS_SECONDS, stream.cancel)
        try:
            await stream
        except Exception as cause:
            if self.stopped or self.deadline.active():
                raise
            problem = f"no progress within {LIVENESS_SECONDS} s"
            raise etcdgateway.NoAnswer(problem) from cause
        finally:
            if self.deadline.active():
                self.deadline.cancel()

    async def _stream(self, url: str, message: etcdgateway.Message) -> None:
        body = msgspec.json.encode(message)
        response = await self.caller.http.post(
            url, data=body, headers=etcdgateway.HEADERS, unbuffered=True
        )
        problems: list[Exception] = []

        def take(data: bytes) -> None:
            if problems:
                return
            try:
                self._take_bytes(data)
            except Exception as cause:
                problems.append(cause)
                reader.close()

        reader = etcdgateway.BodyReader(take)
        response.deliverBody(reader)
        try:
            await reader.finished
        finally:
            if problems:
                raise problems[0]
        raise etcdgateway.NoAnswer(f"the stream ended, status {response.code}")

    def _take_bytes(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            if line.strip() and not self.stopped:
                self._take_answer(etcdgateway.read_answer(200, line).get("result", {}))

    def _take_answer(self, answer: etcdgateway.Message) -> None:
        if self.deadline is not None and self.deadline.active():
            self.deadline.reset(LIVENESS_SECONDS)
        self.failures = 0
        if int(answer.get("compact_revision", 0)):
            raise Compacted
        if answer.get("canceled"):
            raise etcdgateway.Rejected(str(answer.get("cancel_reason", "canceled")))
        if answer.get("created"):
            return
        events = tuple(
            etcdgateway.read_event(event) for event in answer.get("events", ())
        )
        # The header of an answer with events may be ahead of events still to come.
        if events:
            revision = max(event.mod_revision for event in events)
        else:
            revision = etcdgateway.read_revision(answer)
        if revision < self.revision and not events:
            revision = self.revision - 1
        self.revision = revision + 1
        self.deliver(store.WatchBatch(revision, events))

    async def _deliver_snapshot(self) -> None:
        try:
            answer = await self.caller.get_prefix(self.prefix)
        except store.StoreError:
            self.failures += 1
            await self.caller.pause(min(self.failures, 5))
            return
        events = tuple(
            store.Event(pair.key, pair.value, pair.mod_revision)
            for pair in answer.pairs
        )
        self.revision = answer.revision + 1
        self.deliver(store.WatchBatch(answer.revision, events, snapshot=True))


def _ignore_cancellation(reason: failure.Failure) -> None:
    reason.trap(defer.CancelledError)
