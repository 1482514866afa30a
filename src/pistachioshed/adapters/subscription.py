"""One subscription to a peer's publications, dialled again when it goes silent."""

import asyncio
import typing
from collections import abc

import pynng

from pistachioshed.core import digests

# Pause after a socket failed other than by silence.
RETRY_DELAY_S: typing.Final = 0.5


class Subscription:
    """A subscriber socket and the task that owns it.

    pynng dials again after a closed connection, but not when an open connection
    stays silent, which is how a lost path or a paused middlebox shows.
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
        """End the task, which closes the socket."""
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
            recv_max_size=digests.MAX_MESSAGE_BYTES,
            recv_timeout=round(self.silence_s * 1000),
        ) as socket:
            for topic in self.topics:
                socket.subscribe(topic)
            socket.dial(f"tcp://{self.address}", block=False)
            while True:
                payload = await socket.arecv()
                self.receiving = True
                self.deliver(self.peer, payload)
