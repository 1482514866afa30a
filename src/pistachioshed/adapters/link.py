"""The pynng pair socket between a VM's control process and its balancer."""

import asyncio
import typing
from collections import abc

import pynng

QUEUE_LENGTH: typing.Final = 256
MAX_MESSAGE_BYTES: typing.Final = 8 * 1024 * 1024


class Link:
    """Send and receive messages at one end of the local link.

    One task sends on the socket and one receives. The control process listens and the
    balancer dials; pynng dials again after a lost connection. `send` never blocks: if
    the queue is full, the oldest message is dropped, since each message holds complete
    state that a later message repeats.

    Parameters
    ----------
    deliver : callable
        Called with each received message.
    """

    def __init__(self, deliver: abc.Callable[[bytes], None]) -> None:
        self.deliver = deliver
        self.socket = pynng.Pair0(recv_max_size=MAX_MESSAGE_BYTES)
        self.send_queue: asyncio.Queue[bytes] = asyncio.Queue(QUEUE_LENGTH)
        self.tasks: list[asyncio.Task[None]] = []

    def listen(self, address: str) -> None:
        """Listen at "ip:port" and start the tasks."""
        self.socket.listen(f"tcp://{address}")
        self._start()

    def dial(self, address: str) -> None:
        """Dial "ip:port", even if nothing listens there yet, and start the tasks."""
        self.socket.dial(f"tcp://{address}", block=False)
        self._start()

    def send(self, payload: bytes) -> None:
        """Queue a message for sending; drop the oldest one if the queue is full."""
        if self.send_queue.full():
            self.send_queue.get_nowait()
        self.send_queue.put_nowait(payload)

    def close(self) -> None:
        """Stop the tasks and close the socket."""
        for task in self.tasks:
            task.cancel()
        self.socket.close()

    def _start(self) -> None:
        loop = asyncio.get_event_loop()
        self.tasks = [
            loop.create_task(self._send_messages()),
            loop.create_task(self._receive_messages()),
        ]

    async def _send_messages(self) -> None:
        while True:
            payload = await self.send_queue.get()
            await self.socket.asend(payload)

    async def _receive_messages(self) -> None:
        while True:
            self.deliver(await self.socket.arecv())
