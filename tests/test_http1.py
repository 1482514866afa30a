"""HTTP over asyncio: bad peers, silent peers, bounds."""

import asyncio
import socket
import typing

import pytest

from pistachioshed.adapters import http1

KEEPALIVE_OPTIONS: typing.Final = {
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE): 1,
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE): http1.KEEPALIVE_IDLE_S,
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL): http1.KEEPALIVE_INTERVAL_S,
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT): http1.KEEPALIVE_PROBES,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): http1.TCP_USER_TIMEOUT_MS,
}


async def echo_target(request: http1.Request) -> http1.Response:
    """Return the request's target."""
    return http1.Response(200, {}, request.target.encode())


def read_options(writer: asyncio.StreamWriter) -> dict[tuple[int, int], int]:
    """Return the options that make the kernel notice a silent peer."""
    sock = writer.get_extra_info("socket")
    return {name: sock.getsockopt(*name) for name in KEEPALIVE_OPTIONS}


def test_one_connection_serves_requests_in_turn() -> None:
    """Guard against a connection for each request."""

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


def test_the_kernel_watches_both_ends_of_a_connection() -> None:
    """Guard against connections that are silent for good and never noticed."""
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
    """Serve fixed bytes to whoever connects, then keep silent or close."""

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
    ids=["silent", "garbage", "cut short", "too long"],
)
def test_a_bad_response_is_an_error_that_names_step_and_peer(data: bytes) -> None:
    """Guard against an answer that ends early and looks complete."""

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


def test_a_port_without_a_listener_is_told_from_silence() -> None:
    """Guard against a crashed process taken for a machine that is cut off."""

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
def test_a_bad_request_ends_its_own_connection_only(data: bytes) -> None:
    """Guard against a client that stops the server for the others."""

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


def test_clients_above_the_limit_are_turned_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against connections that use up all descriptors."""
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


def test_a_body_above_the_bound_is_not_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a peer whose answer uses up the memory."""
    monkeypatch.setattr(http1, "BODY_MAX_BYTES", 1_000)

    async def scenario() -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"
        server = await serve_bytes(head + b"x" * 2_000)
        connection = http1.Connection(server.sockets[0].getsockname())
        with pytest.raises(http1.HttpError, match="body of over 1000 bytes"):
            await connection.request("GET", "/", 1.0)
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(("chunks", "arrives"), [(8, True), (2, False)])
def test_a_response_may_take_long_but_not_fall_silent(
    chunks: int, arrives: bool
) -> None:
    """Guard against a large configuration that a thin link never gets in time.

    `booth-lb-grown`, trouble-3 (ef20dead): reads ended after 1 s in all and began anew.
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
