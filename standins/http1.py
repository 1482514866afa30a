"""HTTP/1.1 client and server for stand-ins and tests, on asyncio and `h11`.

It shares no code with the programs, so that it shares no misreading of HTTP either.
"""

import asyncio
import contextlib
import socket
import typing
from collections import abc

import h11

READ_BYTES: typing.Final = 65_536
# Limits the memory that one peer can occupy; the store's pages are about 1 MB at most.
BODY_MAX_BYTES: typing.Final = 8_000_000
# The kernel detects a silent peer after 1 s without data and 2 probes, 1 s apart.
KEEPALIVE_IDLE_S: typing.Final = 1
KEEPALIVE_INTERVAL_S: typing.Final = 1
KEEPALIVE_PROBES: typing.Final = 2
TCP_USER_TIMEOUT_MS: typing.Final = 2_500
# Transfers the store's largest value, 1 MB in base64, on a link of 1.4 Mbit/s.
TRANSFER_MAX_S: typing.Final = 8.0
CONNECT_TIMEOUT_S: typing.Final = 0.5  # Over 100 round trips within a region.
SERVER_IDLE_TIMEOUT_S: typing.Final = 60.0
# Connections served at the same time; each peer of the zone uses one. The limit is a
# third of the file descriptors of the users' smallest machine.
CLIENTS_MAX: typing.Final = 512


class Response(typing.NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Request(typing.NamedTuple):
    """A complete request; `target` is the path with the query string."""

    method: str
    target: str


Handler = abc.Callable[[Request], abc.Awaitable[Response]]


class HttpError(Exception):
    """A failed HTTP exchange, with the failed step and the peer.

    `refused` is set if no process listens at the peer's address, `connected` if the
    connection was already established when the exchange failed.
    """

    def __init__(
        self,
        step: str,
        peer: str,
        cause: str,
        refused: bool = False,
        connected: bool = False,
    ) -> None:
        self.step = step
        self.peer = peer
        self.refused = refused
        self.connected = connected
        super().__init__(f"{step}: {peer}: {cause}")


class Connection:
    """A client connection that is reused for successive requests.

    It is established by the first request, and again by the next one after it closed.
    """

    def __init__(
        self, address: tuple[str, int], connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self.peer = f"{address[0]}:{address[1]}"
        self.protocol: h11.Connection | None = None
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(
        self, method: str, target: str, timeout_s: float, body: bytes = b""
    ) -> Response:
        """Send a request and return its response; close the connection on an error.

        The timeout applies to each period without data from the peer. A large response
        on a slow link may take longer in total, up to `TRANSFER_MAX_S`.

        Raises
        ------
        HttpError
            If no complete response arrives in time.
        """
        step = f"{method} {target.partition('?')[0]}"
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                if self.writer is None:
                    await self._connect()
                return await self._exchange(method, target, body, timeout, timeout_s)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            connected = self.writer is not None
            self.close()
            cause = str(error) or type(error).__name__
            refused = isinstance(error, ConnectionRefusedError)
            raise HttpError(step, self.peer, cause, refused, connected) from error
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = self.reader = self.protocol = None

    async def _connect(self) -> None:
        async with asyncio.timeout(self.connect_timeout_s):
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        enable_keepalive(self.writer)
        self.protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout: asyncio.Timeout,
        timeout_s: float,
    ) -> Response:
        assert self.protocol and self.reader and self.writer
        headers = [("Host", self.peer), ("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "application/json"))
        request = h11.Request(method=method, target=target, headers=headers)
        parts = [self.protocol.send(request)]
        if body:
            parts.append(self.protocol.send(h11.Data(data=body)))
        parts.append(self.protocol.send(h11.EndOfMessage()))
        self.writer.write(b"".join(part for part in parts if part))
        loop = asyncio.get_running_loop()
        latest_deadline = loop.time() + max(timeout_s, TRANSFER_MAX_S)

        def extend_timeout() -> None:
            timeout.reschedule(min(loop.time() + timeout_s, latest_deadline))

        head, content = await receive_message(
            self.protocol, self.reader, extend_timeout
        )
        assert isinstance(head, h11.Response)
        fields = {name.decode(): value.decode() for name, value in head.headers}
        if self.protocol.our_state is h11.MUST_CLOSE:
            self.close()
        else:
            self.protocol.start_next_cycle()
        return Response(head.status_code, fields, content)


async def receive_message(
    protocol: h11.Connection,
    reader: asyncio.StreamReader,
    on_progress: abc.Callable[[], None] | None = None,
) -> tuple[h11.Request | h11.Response | None, bytes]:
    """Return the next message head and its whole body.

    As a server, return None and an empty body if the client has closed the connection.

    Raises
    ------
    h11.RemoteProtocolError
        If the data is not valid HTTP, or the message is incomplete or too long.
    """
    head: h11.Request | h11.Response | None = None
    chunks: list[bytes] = []
    size = 0
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request | h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            if on_progress is not None:
                on_progress()
            size += len(event.data)
            if size > BODY_MAX_BYTES:
                raise h11.RemoteProtocolError(f"body is over {BODY_MAX_BYTES} bytes")
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return head, b"".join(chunks)
        elif isinstance(event, h11.ConnectionClosed):
            if protocol.our_role is h11.CLIENT:
                raise h11.RemoteProtocolError("connection closed before the response")
            return None, b""
        elif event is h11.PAUSED:
            raise h11.RemoteProtocolError(
                "unexpected data after the end of the message"
            )


def enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Make the kernel close a connection whose peer no longer responds."""
    sock = writer.get_extra_info("socket")
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        sock.setsockopt(level, option, value)


async def start_server(address: tuple[str, int], handler: Handler) -> asyncio.Server:
    """Serve requests at an address with a handler until the server is closed."""
    clients: set[asyncio.StreamWriter] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(clients) >= CLIENTS_MAX:
            writer.transport.abort()
            return
        clients.add(writer)
        try:
            enable_keepalive(writer)
            protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=READ_BYTES)
            while await _serve_request(protocol, reader, writer, handler):
                pass
        except (OSError, TimeoutError, h11.ProtocolError):
            # The client has disconnected or does not speak HTTP, so it can not be sent
            # an error.
            pass
        except asyncio.CancelledError:
            # The event loop is shutting down. asyncio's own callback for this task
            # fails if the task ends as cancelled.
            pass
        finally:
            clients.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    return await asyncio.start_server(serve, *address, reuse_address=True)


async def _serve_request(
    protocol: h11.Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> bool:
    """Serve one request and return whether the connection can be reused."""
    async with asyncio.timeout(SERVER_IDLE_TIMEOUT_S):
        head, _ = await receive_message(protocol, reader)
    if not isinstance(head, h11.Request):
        return False
    response = await handler(Request(head.method.decode(), head.target.decode()))
    headers = [*response.headers.items(), ("Content-Length", str(len(response.body)))]
    parts = [
        protocol.send(
            h11.Response(status_code=response.status, headers=headers, reason="")
        ),
        protocol.send(h11.Data(data=response.body)) if response.body else b"",
        protocol.send(h11.EndOfMessage()),
    ]
    writer.write(b"".join(part for part in parts if part))
    await writer.drain()
    if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
        return False
    protocol.start_next_cycle()
    return True
