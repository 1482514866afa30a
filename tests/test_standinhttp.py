"""HTTP over asyncio: malformed messages, silent peers and limits."""

import asyncio
import socket
import typing

import pytest

from standins import http1

KEEPALIVE_OPTIONS: typing.Final = {
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE): 1,
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE): http1.KEEPALIVE_IDLE_S,
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL): http1.KEEPALIVE_INTERVAL_S,
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT): http1.KEEPALIVE_PROBES,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): http1.TCP_USER_TIMEOUT_MS,
}


async def echo_target(request: http1.Request) -> http1.Response:
    """Return a response with the request's target as its body."""
    return http1.Response(200, {}, request.target.encode())


def read_options(writer: asyncio.StreamWriter) -> dict[tuple[int, int], int]:
    """Return the values of the options that make the kernel detect a silent peer."""
    sock = writer.get_extra_info("socket")
    return {name: sock.getsockopt(*name) for name in KEEPALIVE_OPTIONS}


def test_connection_is_reused_for_successive_requests() -> None:
    """Guard against a new connection for each request."""

    async def scenario() -> None:
        server = await http1.start_server(("127.0.0.1", 0), echo_target)
        connection = http1.Connection(server.sockets[0].getsockname())
        for number in range(3):
            response = await connection.request("GET", f"/{number}", 1.0)
            assert response.body == f"/{number}".encode()
            writer = connection.writer
        assert connection.writer is writer
        connection.close()
        server.close()

    asyncio.run(scenario())


def test_keepalive_is_enabled_at_both_ends_of_a_connection() -> None:
    """Guard against connections that stay open although the peer is gone."""
    writers: list[asyncio.StreamWriter] = []

    async def scenario() -> None:
        original = http1.enable_keepalive

        def record_writer(writer: asyncio.StreamWriter) -> None:
            original(writer)
            writers.append(writer)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(http1, "enable_keepalive", record_writer)
            server = await http1.start_server(("127.0.0.1", 0), echo_target)
            connection = http1.Connection(server.sockets[0].getsockname())
            await connection.request("GET", "/", 1.0)
        assert len(writers) == 2
        assert [read_options(writer) for writer in writers] == [KEEPALIVE_OPTIONS] * 2
        connection.close()
        server.close()

    asyncio.run(scenario())


async def serve_bytes(data: bytes) -> asyncio.Server:
    """Serve fixed bytes on each connection and close it; without bytes, stay silent."""

    async def reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1)
        writer.write(data)
        if data:
            writer.close()
        else:
            await reader.read()

    return await asyncio.start_server(reply, "127.0.0.1", 0)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"no http\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
    ],
    ids=["silent", "garbage", "truncated body", "body never sent"],
)
def test_invalid_response_raises_an_error_with_step_and_peer(data: bytes) -> None:
    """Guard against an incomplete response that is taken as complete."""

    async def scenario() -> None:
        server = await serve_bytes(data)
        connection = http1.Connection(server.sockets[0].getsockname())
        with pytest.raises(http1.HttpError) as caught:
            await connection.request("GET", "/health?x=1", 0.3)
        assert caught.value.step == "GET /health"
        assert caught.value.peer == connection.peer
        assert caught.value.connected and not caught.value.refused
        server.close()

    asyncio.run(scenario())


def test_refused_connection_is_distinguished_from_a_silent_peer() -> None:
    """Guard against a crashed process that is mistaken for an unreachable machine."""

    async def scenario() -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = unused.getsockname()
            with pytest.raises(http1.HttpError) as caught:
                await http1.Connection(address).request("GET", "/", 1.0)
        assert caught.value.refused and not caught.value.connected

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "data", [b"\x00\xff\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n", b"G" * 70_000, b""]
)
def test_invalid_request_closes_only_its_own_connection(data: bytes) -> None:
    """Guard against an invalid request that stops the server for other clients."""

    async def scenario() -> None:
        server = await http1.start_server(("127.0.0.1", 0), echo_target)
        address = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        writer.write_eof()
        await asyncio.wait_for(reader.read(), 2.0)
        writer.close()
        connection = http1.Connection(address)
        assert (await connection.request("GET", "/", 1.0)).status == 200
        connection.close()
        server.close()

    asyncio.run(scenario())


def test_connections_above_the_limit_are_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against connections that use up all file descriptors."""
    monkeypatch.setattr(http1, "CLIENTS_MAX", 2)

    async def scenario() -> None:
        server = await http1.start_server(("127.0.0.1", 0), echo_target)
        address = server.sockets[0].getsockname()
        open_connections = [http1.Connection(address) for _ in range(2)]
        for connection in open_connections:
            await connection.request("GET", "/", 1.0)
        with pytest.raises(http1.HttpError):
            await http1.Connection(address).request("GET", "/", 1.0)
        for connection in open_connections:
            connection.close()
        server.close()

    asyncio.run(scenario())


def test_body_above_the_limit_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a peer whose response uses up the memory."""
    monkeypatch.setattr(http1, "BODY_MAX_BYTES", 1_000)

    async def scenario() -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"
        server = await serve_bytes(head + b"x" * 2_000)
        connection = http1.Connection(server.sockets[0].getsockname())
        with pytest.raises(http1.HttpError, match="body is over 1000 bytes"):
            await connection.request("GET", "/", 1.0)
        server.close()

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
        server = await asyncio.start_server(send_slowly, "127.0.0.1", 0)
        connection = http1.Connection(server.sockets[0].getsockname())
        if arrives:
            response = await connection.request("GET", "/", 0.4)
            assert response.body == b"x" * total
        else:
            with pytest.raises(http1.HttpError):
                await connection.request("GET", "/", 0.4)
        connection.close()
        server.close()

    asyncio.run(scenario())
