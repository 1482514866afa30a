"""HTTP/1.1 client and server on the event loop, with the parsers of `httptools`."""

import errno
import os
import socket
import typing
from collections import abc

import httptools

from pistachioshed.adapters import eventloop

READ_BYTES: typing.Final = 65_536
# Limits the memory that one peer can occupy; the store's pages are about 1 MB at most.
BODY_MAX_BYTES: typing.Final = 8_000_000
HEAD_MAX_BYTES: typing.Final = 65_536
# The kernel detects a silent peer after 1 s without data and 2 probes, 1 s apart.
KEEPALIVE_IDLE_S: typing.Final = 1
KEEPALIVE_INTERVAL_S: typing.Final = 1
KEEPALIVE_PROBES: typing.Final = 2
TCP_USER_TIMEOUT_MS: typing.Final = 2_500
# Transfers the store's largest value, 1 MB in base64, on a link of 1.4 Mbit/s.
TRANSFER_MAX_S: typing.Final = 8.0
CONNECT_TIMEOUT_S: typing.Final = 0.5  # Over 100 round trips within a region.
SERVER_IDLE_TIMEOUT_S: typing.Final = 60.0
SERVER_WRITE_TIMEOUT_S: typing.Final = 10.0
# Connections served at the same time; each peer of the zone uses one. The limit is a
# third of the file descriptors of the users' smallest machine.
CLIENTS_MAX: typing.Final = 512
LISTEN_BACKLOG: typing.Final = 128
CONNECTING: typing.Final = frozenset({0, errno.EINPROGRESS})


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
    connection was already established when the exchange failed, `reset` if the peer
    reset it.
    """

    def __init__(
        self,
        step: str,
        peer: str,
        cause: str,
        refused: bool = False,
        connected: bool = False,
        reset: bool = False,
    ) -> None:
        self.step = step
        self.peer = peer
        self.refused = refused
        self.connected = connected
        self.reset = reset
        super().__init__(f"{step}: {peer}: {cause}")


class ProtocolError(Exception):
    """The peer sent data that is not a valid or not a complete HTTP message."""


class MessageReader:
    """Collect one HTTP message from the callbacks of a parser.

    `is_complete` is set once the whole message has arrived, and stays unset if the
    connection ends before.
    """

    def __init__(
        self,
        make_parser: abc.Callable[
            ["MessageReader"],
            httptools.HttpRequestParser | httptools.HttpResponseParser,
        ],
    ) -> None:
        self.parser = make_parser(self)
        self.target = b""
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.head_size = 0
        self.body_size = 0
        self.has_head = False
        self.keeps_open = False
        self.is_complete = False

    def feed(self, data: bytes) -> None:
        """Parse received data.

        Raises
        ------
        ProtocolError
            If the data is invalid, or the message too long.
        """
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ProtocolError(repr(error.__context__ or error)) from error
        if not self.has_head:
            self.head_size += len(data)
            if self.head_size > HEAD_MAX_BYTES:
                raise ProtocolError(f"head is over {HEAD_MAX_BYTES} bytes")

    def on_message_begin(self) -> None:
        """Reject a second message, which would be mixed with this one."""
        if self.is_complete:
            raise ProtocolError("unexpected data after the end of the message")

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Record that the head has arrived, and whether the connection stays open."""
        self.has_head = True
        self.keeps_open = self.parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self.body_size += len(body)
        if self.body_size > BODY_MAX_BYTES:
            raise ProtocolError(f"body is over {BODY_MAX_BYTES} bytes")
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Record that the whole message has arrived."""
        self.is_complete = True


class Connection:
    """A client connection that is reused for successive requests.

    It is established by the first request, and again by the next one after it closed.
    """

    def __init__(
        self,
        loop: eventloop.EventLoop,
        address: tuple[str, int],
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self.loop = loop
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self.peer = f"{address[0]}:{address[1]}"
        self.sock: socket.socket | None = None
        self.is_aborted = False

    async def request(self, method: str, target: str, timeout_s: float) -> Response:
        """Send a request and return its response; close the connection on an error.

        The timeout applies to each period without data from the peer. A large response
        on a slow link may take longer in total, up to `TRANSFER_MAX_S`.

        Raises
        ------
        HttpError
            If no complete response arrives in time.
        """
        step = f"{method} {target.partition('?')[0]}"
        started_at = self.loop.clock()
        self.is_aborted = False
        is_complete = False
        try:
            if self.sock is not None and not is_idle(self.sock):
                # The data can not belong to the request that is sent next.
                self.close()
            if self.sock is None:
                timeout = min(self.connect_timeout_s, timeout_s)
                await self._connect(started_at + timeout)
            response = await self._exchange(method, target, started_at, timeout_s)
            is_complete = True
            return response
        except (OSError, ProtocolError) as error:
            cause = str(error) or type(error).__name__
            refused = isinstance(error, ConnectionRefusedError)
            connected = self.sock is not None
            reset = isinstance(error, ConnectionResetError)
            raise HttpError(
                step, self.peer, cause, refused, connected, reset
            ) from error
        finally:
            if not is_complete:
                self.close()

    def abort(self) -> None:
        """End the request in progress, if any, with an error."""
        self.is_aborted = True
        if self.sock is not None:
            self.loop.wake(self.sock)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self.sock is not None:
            self.sock.close()
        self.sock = None

    async def _connect(self, deadline: float) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        is_connected = False
        try:
            sock.setblocking(False)
            code = sock.connect_ex(self.address)
            if code not in CONNECTING:
                raise OSError(code, os.strerror(code))
            await self.loop.wait_for_socket(sock, eventloop.WRITABLE, deadline)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
            enable_keepalive(sock)
            is_connected = True
        finally:
            if not is_connected:
                sock.close()
        self.sock = sock

    async def _exchange(
        self, method: str, target: str, started_at: float, timeout_s: float
    ) -> Response:
        sock = self.sock
        assert sock is not None
        head = f"{method} {target} HTTP/1.1\r\nHost: {self.peer}\r\n\r\n"
        await send_all(self.loop, sock, head.encode("ascii"), started_at + timeout_s)
        latest_deadline = started_at + max(timeout_s, TRANSFER_MAX_S)
        deadline = started_at + timeout_s
        message = MessageReader(httptools.HttpResponseParser)
        while not message.is_complete:
            await self.loop.wait_for_socket(sock, eventloop.READABLE, deadline)
            if self.is_aborted:
                raise ProtocolError("the request was aborted")
            data = receive_available(sock)
            if not data:
                continue
            message.feed(data)
            if message.chunks:
                deadline = min(self.loop.clock() + timeout_s, latest_deadline)
        parser = typing.cast(httptools.HttpResponseParser, message.parser)
        if not message.keeps_open:
            self.close()
        status = parser.get_status_code()
        return Response(status, message.headers, b"".join(message.chunks))


class Server:
    """Serve requests at an address with a handler."""

    def __init__(
        self, loop: eventloop.EventLoop, address: tuple[str, int], handler: Handler
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.clients: set[socket.socket] = set()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(LISTEN_BACKLOG)
        loop.add_callback(self.sock, eventloop.READABLE, self._accept)

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self.loop.remove_callback(self.sock, eventloop.READABLE)
        self.sock.close()
        for client in self.clients:
            self.loop.remove_callback(client, eventloop.READABLE)
            self.loop.remove_callback(client, eventloop.WRITABLE)
            client.close()
        self.clients.clear()

    def _accept(self) -> None:
        try:
            client, _ = self.sock.accept()
        except OSError:
            # The client has gone, or no descriptor is free; the next round tries again.
            return
        if len(self.clients) >= CLIENTS_MAX:
            client.close()
            return
        self.clients.add(client)
        self.loop.start_task(self._serve(client), "serve HTTP client")

    async def _serve(self, client: socket.socket) -> None:
        try:
            client.setblocking(False)
            enable_keepalive(client)
            while await self._serve_request(client):
                pass
        except (OSError, ProtocolError):
            # The client has disconnected or does not speak HTTP, so it can not be sent
            # an error.
            pass
        finally:
            self.clients.discard(client)
            client.close()

    async def _serve_request(self, client: socket.socket) -> bool:
        """Serve one request and return whether the connection can be reused."""
        message = MessageReader(httptools.HttpRequestParser)
        deadline = self.loop.clock() + SERVER_IDLE_TIMEOUT_S
        while not message.is_complete:
            await self.loop.wait_for_socket(client, eventloop.READABLE, deadline)
            data = receive_available(client)
            if data:
                message.feed(data)
        parser = typing.cast(httptools.HttpRequestParser, message.parser)
        request = Request(parser.get_method().decode(), message.target.decode("ascii"))
        response = await self.handler(request)
        headers = {**response.headers, "Content-Length": str(len(response.body))}
        lines = [f"HTTP/1.1 {response.status} "]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode("ascii")
        deadline = self.loop.clock() + SERVER_WRITE_TIMEOUT_S
        await send_all(self.loop, client, head + response.body, deadline)
        return message.keeps_open


def receive_available(sock: socket.socket) -> bytes:
    """Return the received data, or no data after a wake-up without any.

    Raises
    ------
    ProtocolError
        If the peer has closed the connection.
    """
    try:
        data = sock.recv(READ_BYTES)
    except BlockingIOError:
        return b""
    if not data:
        raise ProtocolError("the connection was closed before the end of the message")
    return data


def is_idle(sock: socket.socket) -> bool:
    """Return whether a connection is open and has no received data."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


async def send_all(
    loop: eventloop.EventLoop, sock: socket.socket, data: bytes, deadline: float
) -> None:
    """Send data and wait while the peer does not read it.

    Raises
    ------
    TimeoutError
        If the peer does not read all of it before the deadline.
    """
    while data:
        try:
            sent = sock.send(data)
        except BlockingIOError:
            sent = 0
        data = data[sent:]
        if data:
            await loop.wait_for_socket(sock, eventloop.WRITABLE, deadline)


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel close a connection whose peer no longer responds."""
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        sock.setsockopt(level, option, value)
