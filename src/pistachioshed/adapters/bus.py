"""Publish/subscribe and request/reply between control processes, using pynng."""

import asyncio
import itertools
import typing
from collections import abc

import pynng

from pistachioshed.adapters import jsonlog, subscription
from pistachioshed.core import controlevents, digests, tables
from pistachioshed.ports import peers

# Publications that may wait to be sent.
QUEUE_LENGTH: typing.Final = 256
FETCH_TIMEOUT_S: typing.Final = 1.0
SOCKET_RETRY_S: typing.Final = 0.1  # Less than the interval between digests.
# Encoded messages start with these bytes; subscriptions filter by them.
TOPICS: typing.Final[dict[type, bytes]] = {
    digests.Digest: b"d",
    digests.TableMessage: b"t",
    digests.ProbesMessage: b"p",
    digests.FetchRequest: b"q",
    digests.FetchReply: b"r",
}
PUBLISHED_TOPICS: typing.Final = (b"d", b"t", b"p")

Count = abc.Callable[..., None]


class Bus:
    """Exchange messages with the other control processes.

    Publications are sent from the bus address; fetch requests are answered at the
    next port. Each socket is used by one task only. Other code passes messages to the
    sending tasks through queues.

    Parameters
    ----------
    name : str
        The name of this control process.
    key : bytes
        The deployment's key, used to authenticate every message.
    deliver : callable
        Called with each received event.
    count : callable
        Called with a metric name, an optional amount, and labels as keywords.
    silence_s : float
        A subscription that receives nothing for this long is reconnected.
    """

    def __init__(
        self,
        name: str,
        key: bytes,
        deliver: peers.Deliver,
        count: Count,
        silence_s: float,
    ) -> None:
        self.name = name
        self.key = key
        self.deliver = deliver
        self.count = count
        self.silence_s = silence_s
        self.publisher = pynng.Pub0()
        self.replier = pynng.Rep0(
            recv_max_size=digests.MESSAGE_MAX_BYTES,
            send_timeout=round(FETCH_TIMEOUT_S * 1000),
        )
        self.outbox: asyncio.Queue[bytes] = asyncio.Queue(QUEUE_LENGTH)
        self.request_numbers = itertools.count(1)
        self.replies: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        self.subscriptions: dict[str, subscription.Subscription] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    def listen(self, address: str) -> None:
        """Listen at the bus address "ip:port" and at the next port."""
        self.publisher.listen(f"tcp://{address}")
        self.replier.listen(f"tcp://{shift_port(address, 1)}")
        self._start_task(self._send_publications())
        self._start_task(self._answer_requests())

    def publish(
        self, message: digests.Digest | digests.TableMessage | digests.ProbesMessage
    ) -> None:
        """Queue a message for all subscribers; a full queue drops its oldest one."""
        if self.outbox.full():
            self.outbox.get_nowait()
            self.count("bus_drops", reason="queue")
        self.outbox.put_nowait(self._encode(message))

    def subscribe(self, peers: abc.Sequence[tuple[str, str]]) -> None:
        """Subscribe to exactly these (name, bus address) pairs.

        Subscriptions to other peers or addresses are closed.
        """
        wanted = dict(peers)
        for name, current in list(self.subscriptions.items()):
            if wanted.get(name) != current.address:
                current.close()
                del self.subscriptions[name]
        for name, address in wanted.items():
            if name not in self.subscriptions:
                self.subscriptions[name] = subscription.Subscription(
                    name,
                    address,
                    PUBLISHED_TOPICS,
                    self.silence_s,
                    self._receive_publication,
                    self.count,
                )

    def fetch(self, peer: str, bus: str, held_versions: dict[str, int]) -> None:
        """Start a fetch of tables newer than the held versions from a peer."""
        self._start_task(self._fetch(peer, shift_port(bus, 1), held_versions))

    def answer_fetch(
        self, request: int, newer_tables: tuple[tables.Table, ...]
    ) -> None:
        """Queue the reply to a fetch request, given by its number."""
        reply = self._encode(digests.FetchReply(self.name, newer_tables))
        self.replies.put_nowait((request, reply))

    def close(self) -> None:
        """Cancel all tasks and close all sockets."""
        self.closed = True
        for current in self.subscriptions.values():
            current.close()
        for task in self.tasks:
            task.cancel()
        self.publisher.close()
        self.replier.close()

    def _start_task(self, coroutine: abc.Coroutine[object, object, None]) -> None:
        task = asyncio.get_event_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        # Closing a socket also ends the task that uses it with an error.
        if task.cancelled() or task.exception() is None or self.closed:
            return
        self.count("bus_drops", reason="task failed")
        jsonlog.log_failure("bus task", error=repr(task.exception()))

    async def _handle_socket_error(self, step: str, error: pynng.NNGException) -> None:
        """Log the error of a socket and wait before its task goes on.

        Raises
        ------
        NNGException
            If the socket is closed, so that it can not be used any more.
        """
        if self.closed or isinstance(error, pynng.Closed):
            raise error
        self.count("bus_drops", reason=f"{step} failed")
        jsonlog.log_failure("bus task", step=step, error=repr(error))
        await asyncio.sleep(SOCKET_RETRY_S)

    def _encode(self, message: digests.Message) -> bytes:
        return digests.encode_message(message, TOPICS[type(message)], self.key)

    async def _send_publications(self) -> None:
        while True:
            payload = await self.outbox.get()
            try:
                await self.publisher.asend(payload)
            except pynng.NNGException as error:
                await self._handle_socket_error("publish", error)
                continue
            receivers = len(self.publisher.pipes)
            self.count("bus_bytes_out", len(payload) * receivers, kind="publish")

    def _receive_publication(self, peer: str, payload: bytes) -> None:
        """Decode a publication and deliver it if it names the peer as its sender."""
        self.count("bus_bytes_in", len(payload), kind="publish")
        try:
            event = self._decode_publication(payload)
        except digests.DigestError:
            self.count("bus_drops", reason="bad message", peer=peer)
            return
        if isinstance(event, controlevents.DigestReceived):
            sender = event.digest.node
        else:
            sender = event.peer
        if sender != peer:
            self.count("bus_drops", reason="other sender", peer=peer)
            return
        self.deliver(event)

    def _decode_publication(
        self, payload: bytes
    ) -> (
        controlevents.DigestReceived
        | controlevents.TableReceived
        | controlevents.ProbesReceived
    ):
        topic = payload[:1]
        if topic == TOPICS[digests.TableMessage]:
            table = digests.decode_message(
                payload, topic, self.key, digests.TableMessage
            )
            return controlevents.TableReceived(*table)
        if topic == TOPICS[digests.ProbesMessage]:
            probes = digests.decode_message(
                payload, topic, self.key, digests.ProbesMessage
            )
            return controlevents.ProbesReceived(*probes)
        digest = digests.decode_message(
            payload, TOPICS[digests.Digest], self.key, digests.Digest
        )
        return controlevents.DigestReceived(digest)

    async def _answer_requests(self) -> None:
        topic = TOPICS[digests.FetchRequest]
        while True:
            try:
                payload = await self.replier.arecv()
            except pynng.NNGException as error:
                await self._handle_socket_error("receive request", error)
                continue
            self.count("bus_bytes_in", len(payload), kind="fetch")
            try:
                request = digests.decode_message(
                    payload, topic, self.key, digests.FetchRequest
                )
            except digests.DigestError:
                self.count("bus_drops", reason="bad request")
                continue
            request_number = next(self.request_numbers)
            self.deliver(
                controlevents.FetchRequested(request_number, request.held_versions)
            )
            reply_number = 0
            while reply_number != request_number:
                reply_number, reply = await self.replies.get()
            try:
                await self.replier.asend(reply)
            except pynng.NNGException:
                self.count("bus_drops", reason="requester gone")
                continue
            self.count("bus_bytes_out", len(reply), kind="fetch")

    async def _fetch(
        self, peer: str, address: str, held_versions: dict[str, int]
    ) -> None:
        request = self._encode(digests.FetchRequest(self.name, held_versions))
        timeout_ms = round(FETCH_TIMEOUT_S * 1000)
        topic = TOPICS[digests.FetchReply]
        try:
            with pynng.Req0(
                recv_max_size=digests.MESSAGE_MAX_BYTES,
                send_timeout=timeout_ms,
                recv_timeout=timeout_ms,
            ) as socket:
                socket.dial(f"tcp://{address}", block=False)
                await socket.asend(request)
                self.count("bus_bytes_out", len(request), kind="fetch")
                payload = await socket.arecv()
            self.count("bus_bytes_in", len(payload), kind="fetch")
            reply = digests.decode_message(payload, topic, self.key, digests.FetchReply)
        except (pynng.NNGException, digests.DigestError) as error:
            self.count("fetches", result="failed")
            reason = f"fetch from {address}: {error}"
            self.deliver(controlevents.FetchFailed(peer, reason))
            return
        self.count("fetches", result="answered")
        self.deliver(controlevents.FetchAnswered(peer, reply.tables))


def shift_port(address: str, offset: int) -> str:
    """Return the address "ip:port" with an offset added to the port."""
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + offset}"
