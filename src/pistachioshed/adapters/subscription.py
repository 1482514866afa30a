"""A subscription to a peer's publications that reconnects when it is silent."""

import asyncio
import typing
from collections import abc

import pynng

from pistachioshed.core import digests

# Delay after a socket error other than a receive timeout.
RETRY_DELAY_S: typing.Final = 0.5


class Subscription:
    """A subscriber socket and the task that owns it.

    pynng reconnects after a connection is closed, but not when an open connection
    receives nothing, as happens when a network path is lost or a middlebox is paused.
    """

    def __init__(
        self,
        peer: str,
        address: str,
        topics: abc.Sequence[bytes],
        silence_s: float,
        deliver: abc.Callable[[str, bytes], None],
        count: abc.Callable[..., None],
    ) -> None:
        self.peer = peer
        self.address = address
        self.topics = topics
        self.silence_s = silence_s
        self.deliver = deliver
        self.count = count
        self.receiving = False
        self.task = asyncio.get_event_loop().create_task(self._run())

    def close(self) -> None:
        """Cancel the task, which closes the socket."""
        self.task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._receive_messages()
            except pynng.Timeout:
                self.count("bus_redials", peer=self.peer)
            except pynng.NNGException:
                self.count("bus_drops", reason="socket", peer=self.peer)
                await asyncio.sleep(RETRY_DELAY_S)
            self.receiving = False

    async def _receive_messages(self) -> None:
        with pynng.Sub0(
            recv_max_size=digests.MESSAGE_MAX_BYTES,
            recv_timeout=round(self.silence_s * 1000),
        ) as socket:
            for topic in self.topics:
                socket.subscribe(topic)
            socket.dial(f"tcp://{self.address}", block=False)
            while True:
                payload = await socket.arecv()
                self.receiving = True
                self.deliver(self.peer, payload)
