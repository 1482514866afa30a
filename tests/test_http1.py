"""HTTP on the event loop: malformed messages, silent peers, late copies and limits.

The other end is the stand-in on asyncio, which shares no code with it.
"""

import asyncio
import contextlib
import socket
import typing
from collections import abc

import httptools
import hypothesis
import pytest
from hypothesis import strategies

from pistachioshed.adapters import http1
from standins import http1 as standinhttp
from tests import loopdriver

KEEPALIVE_OPTIONS: typing.Final = {
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE): 1,
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE): http1.KEEPALIVE_IDLE_S,
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL): http1.KEEPALIVE_INTERVAL_S,
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT): http1.KEEPALIVE_PROBES,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): http1.TCP_USER_TIMEOUT_MS,
}


async def echo_target(request: standinhttp.Request) -> standinhttp.Response:
    """Return a response with the request's target as its body."""
    return standinhttp.Response(200, {}, request.target.encode())


async def serve_target(request: http1.Request) -> http1.Response:
    """Do the same as `echo_target` on the event loop."""
    return http1.Response(200, {}, request.target.encode())


@contextlib.asynccontextmanager
async def serve_bytes(
    *responses: bytes, closes: bool = True
) -> abc.AsyncIterator[tuple[str, int]]:
    """Send each response after another request; without responses, stay silent."""

    async def reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for response in responses:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
        if closes and responses:
            writer.close()
        else:
            await reader.read()

    server = await asyncio.start_server(reply, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


def test_connection_is_reused_for_successive_requests() -> None:
    """Guard against a new connection for each request."""

    async def scenario() -> None:
        driver = loopdriver.LoopDriver()
        server = await standinhttp.start_server(("127.0.0.1", 0), echo_target)
        connection = http1.Connection(driver.loop, server.sockets[0].getsockname())
        for number in range(3):
            response = await driver.run(connection.request("GET", f"/{number}", 1.0))
            assert response.body == f"/{number}".encode()
            sock = connection.sock
        assert sock is not None and connection.sock is sock
        options = {name: sock.getsockopt(*name) for name in KEEPALIVE_OPTIONS}
        assert options == KEEPALIVE_OPTIONS
        connection.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"no http\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno length, ended by the end of the connection",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nx: " + b"y" * 70_000,
    ],
    ids=[
        "silent",
        "garbage",
        "truncated body",
        "body never sent",
        "no length",
        "truncated chunks",
        "second response",
        "endless head",
    ],
)
def test_invalid_response_raises_an_error_with_step_and_peer(data: bytes) -> None:
    """Guard against an incomplete response that is taken as complete."""

    async def scenario() -> None:
        driver = loopdriver.LoopDriver()
        async with serve_bytes(*([data] if data else [])) as address:
            connection = http1.Connection(driver.loop, address)
            with pytest.raises(http1.HttpError) as caught:
                await driver.run(connection.request("GET", "/health?x=1", 0.3))
            assert caught.value.step == "GET /health"
            assert caught.value.peer == connection.peer
            assert caught.value.connected and not caught.value.refused
            assert connection.sock is None

    asyncio.run(scenario())


def test_late_copy_of_a_response_does_not_answer_the_next_request() -> None:
    """Guard against a response of an earlier request on a reused connection."""

    async def scenario() -> None:
        driver = loopdriver.LoopDriver()
        first = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
        arrived = asyncio.Event()

        async def reply(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1]
            body = first if target == b"/1" else first.replace(b"first", b"other")
            writer.write(body)
            await writer.drain()
            if target == b"/1":
                await asyncio.sleep(0.05)
                writer.write(first)
                await writer.drain()
                arrived.set()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(reply, "127.0.0.1", 0)
        connection = http1.Connection(driver.loop, server.sockets[0].getsockname())
        response = await driver.run(connection.request("GET", "/1", 1.0))
        assert response.body == b"first"
        await arrived.wait()
        await asyncio.sleep(0.05)
        response = await driver.run(connection.request("GET", "/2", 1.0))
        assert response.body == b"other"
        connection.close()
        server.close()

    asyncio.run(scenario())


def test_refused_connection_is_distinguished_from_a_silent_peer() -> None:
    """Guard against a crashed process that is mistaken for an unreachable machine."""

    async def scenario() -> None:
        driver = loopdriver.LoopDriver()
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = unused.getsockname()
            connection = http1.Connection(driver.loop, address)
            with pytest.raises(http1.HttpError) as caught:
                await driver.run(connection.request("GET", "/", 1.0))
        assert caught.value.refused and not caught.value.connected

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def run_server(
    driver: loopdriver.LoopDriver,
) -> abc.AsyncIterator[tuple[str, int]]:
    """Run a server on the event loop."""
    server = http1.Server(driver.loop, ("127.0.0.1", 0), serve_target)
    task = asyncio.create_task(driver.keep_running())
    try:
        yield server.sock.getsockname()
    finally:
        task.cancel()
        server.close()


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"G" * 70_000,
        b"GET /\xff HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"",
    ],
)
def test_invalid_request_closes_only_its_own_connection(data: bytes) -> None:
    """Guard against an invalid request that stops the server for other clients."""

    async def scenario() -> None:
        driver = loopdriver.LoopDriver()
        async with run_server(driver) as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            writer.write_eof()
            with contextlib.suppress(ConnectionResetError):
                await asyncio.wait_for(reader.read(), 2.0)
            writer.close()
            connection = standinhttp.Connection(address)
            assert (await connection.request("GET", "/", 1.0)).status == 200
            connection.close()
        assert not driver.errors

    asyncio.run(scenario())


def test_a_failed_handler_closes_only_its_own_connection() -> None:
    """Guard against a request that stops the server by an unexpected error."""

    async def scenario() -> None:
        driver = loopdriver.LoopDriver()

        async def fail(request: http1.Request) -> http1.Response:
            if request.target == "/fail":
                raise RuntimeError("injected")
            return http1.Response(200, {}, b"")

        server = http1.Server(driver.loop, ("127.0.0.1", 0), fail)
        task = asyncio.create_task(driver.keep_running())
        address = server.sock.getsockname()
        with pytest.raises(standinhttp.HttpError):
            await standinhttp.Connection(address).request("GET", "/fail", 1.0)
        connection = standinhttp.Connection(address)
        assert (await connection.request("GET", "/", 1.0)).status == 200
        assert [str(error) for _, error in driver.errors] == ["injected"]
        connection.close()
        task.cancel()
        server.close()

    asyncio.run(scenario())


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(strategies.binary(max_size=300))
def test_any_bytes_are_parsed_or_rejected(data: bytes) -> None:
    """Guard against data that raises an error which the connection does not expect."""
    for make_parser in (
        httptools.HttpRequestParser,
        httptools.HttpResponseParser,
    ):
        message = http1.MessageReader(make_parser)
        with contextlib.suppress(http1.ProtocolError):
            message.feed(b"HTTP/1.1 200 OK\r\n" + data)
            message.feed(data)


def test_connections_above_the_limit_are_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against connections that use up all file descriptors."""
    monkeypatch.setattr(http1, "CLIENTS_MAX", 2)

    async def scenario() -> None:
        driver = loopdriver.LoopDriver()
        async with run_server(driver) as address:
            open_connections = [standinhttp.Connection(address) for _ in range(2)]
            for connection in open_connections:
                await connection.request("GET", "/", 1.0)
            with pytest.raises(standinhttp.HttpError):
                await standinhttp.Connection(address).request("GET", "/", 1.0)
            for connection in open_connections:
                connection.close()

    asyncio.run(scenario())


def test_body_above_the_limit_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a peer whose response uses up the memory."""
    monkeypatch.setattr(http1, "BODY_MAX_BYTES", 1_000)

    async def scenario() -> None:
        driver = loopdriver.LoopDriver()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"
        async with serve_bytes(head + b"x" * 2_000) as address:
            connection = http1.Connection(driver.loop, address)
            with pytest.raises(http1.HttpError, match="body is over 1000 bytes"):
                await driver.run(connection.request("GET", "/", 1.0))

    asyncio.run(scenario())


@pytest.mark.parametrize(("chunks", "arrives"), [(8, True), (2, False)])
def test_timeout_applies_to_each_period_without_data(
    chunks: int, arrives: bool
) -> None:
    """Guard against a large configuration that never arrives over a slow link.

    When a timeout of 1 s applied to the whole read, each read was aborted and started
    again from the beginning.
    """
    total = 8

    async def send_slowly(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % total)
        for _ in range(chunks):
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(0.1)
        await reader.read()
        writer.close()

    async def scenario() -> None:
        driver = loopdriver.LoopDriver()
        server = await asyncio.start_server(send_slowly, "127.0.0.1", 0)
        connection = http1.Connection(driver.loop, server.sockets[0].getsockname())
        if arrives:
            response = await driver.run(connection.request("GET", "/", 0.4))
            assert response.body == b"x" * total
        else:
            with pytest.raises(http1.HttpError):
                await driver.run(connection.request("GET", "/", 0.4))
        connection.close()
        server.close()

    asyncio.run(scenario())


def test_an_aborted_request_ends_at_once() -> None:
    """Guard against a long poll on a silent connection that no one can end."""

    async def scenario() -> None:
        driver = loopdriver.LoopDriver()
        async with serve_bytes() as address:
            connection = http1.Connection(driver.loop, address)
            driver.loop.call_at(driver.loop.clock() + 0.1, connection.abort)
            started_at = driver.loop.clock()
            with pytest.raises(http1.HttpError, match="aborted"):
                await driver.run(connection.request("GET", "/", 60.0))
            assert driver.loop.clock() - started_at < 1.0

    asyncio.run(scenario())
