"""A TCP proxy on the loopback interface that injects faults into connections."""

import asyncio
import contextlib
import typing

Fault = typing.Literal["none", "delay", "silent", "silent back", "reset", "refuse"]

READ_BYTES: typing.Final = 65_536
DELAY_S: typing.Final = 0.3


class LoopbackProxy:
    """Forward TCP connections to an address, applying the fault in `fault`.

    "delay" holds back each chunk for 0.3 s; "silent" drops data in both directions,
    "silent back" only the responses; "reset" aborts open and new connections, "refuse"
    only new ones.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.fault: Fault = "none"
        self.writers: set[asyncio.StreamWriter] = set()
        self.silenced: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, ip: str) -> tuple[str, int]:
        """Start listening and return the address."""
        self.server = await asyncio.start_server(self._serve, ip, 0)
        address: tuple[str, int] = self.server.sockets[0].getsockname()
        return address

    def set_fault(self, fault: Fault) -> None:
        """Set the fault; "reset" and "none" abort the open connections."""
        self.fault = fault
        if fault in ("reset", "none"):
            for writer in list(self.writers):
                writer.transport.abort()

    def silence_open_connections(self) -> None:
        """Drop the data of the open connections for good; new ones work."""
        self.silenced |= self.writers

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault in ("reset", "refuse"):
            writer.transport.abort()
            return
        target_reader, target_writer = await asyncio.open_connection(*self.target)
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._copy_bytes(reader, target_writer, "silent"),
                self._copy_bytes(target_reader, writer, "silent back"),
            )
        except OSError:
            # One side is closed; the other is aborted below.
            pass
        except asyncio.CancelledError:
            # The event loop is stopping. Do not re-raise: the callback that asyncio
            # attaches to this task fails if the task is cancelled.
            pass
        finally:
            for open_writer in (writer, target_writer):
                self.writers.discard(open_writer)
                self.silenced.discard(open_writer)
                with contextlib.suppress(OSError):
                    open_writer.transport.abort()

    async def _copy_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping_fault: str,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self.fault == "delay":
                await asyncio.sleep(DELAY_S)
            if writer in self.silenced:
                continue
            if self.fault not in ("silent", dropping_fault):
                writer.write(data)
                await writer.drain()
        writer.close()
