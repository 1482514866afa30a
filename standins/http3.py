"""HTTP/3 messages and client for the stand-ins, based on `aioquic`."""

import asyncio
import ssl
import typing

from aioquic.asyncio import protocol as quic_protocol
from aioquic.h3 import connection as h3
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration, connection, packet
from aioquic.quic import events as quic_events

Address = tuple[str, int]
Headers = list[tuple[bytes, bytes]]
IDLE_TIMEOUT_S: typing.Final = 15.0
HANDSHAKE_TIMEOUT_S: typing.Final = 5.0
WINDOW_BYTES: typing.Final = 4 * 1024 * 1024


class Request(typing.NamedTuple):
    """A complete HTTP request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(typing.NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


class RefusedError(ConnectionError):
    """The connection was refused, so no request was sent."""


class UnopenedError(ConnectionError):
    """The handshake did not complete, so no request was sent."""


class LostError(ConnectionError):
    """The connection ended, or no response came, after a request was sent."""


class ClientConnection(h3.H3Connection):
    """An HTTP/3 connection that tracks whether the server has sent GOAWAY."""

    going_away = False

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        if frame_type == h3.FrameType.GOAWAY:
            self.going_away = True


class Client(quic_protocol.QuicConnectionProtocol):
    """The client side of one connection."""

    def __init__(self, quic: connection.QuicConnection) -> None:
        super().__init__(quic)
        self.quic = quic
        self.http = ClientConnection(quic)
        self.partial: dict[int, tuple[dict[str, str], bytearray]] = {}
        self.waiting: dict[int, asyncio.Future[Response]] = {}
        self.terminated: quic_events.ConnectionTerminated | None = None

    @property
    def usable(self) -> bool:
        """Return whether new requests may be sent on this connection."""
        return self.terminated is None and not self.http.going_away

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        timeout_s: float,
    ) -> Response:
        """Send a request and return the complete response.

        Raises
        ------
        LostError
            If the connection ends, or the response is not complete in `timeout_s`.
        UnopenedError
            If the connection had ended before the request.
        """
        if self.terminated is not None:
            raise UnopenedError("the connection ended before the request")
        stream = self.quic.get_next_available_stream_id()
        future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.waiting[stream] = future
        self.partial[stream] = ({}, bytearray())
        self.http.send_headers(stream, encode_headers(method, path, headers), True)
        self.transmit()
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError as error:
            raise LostError(f"no response in {timeout_s} s") from error
        finally:
            self.waiting.pop(stream, None)
            self.partial.pop(stream, None)

    def cancel_requests(self) -> None:
        """Cancel all outstanding requests."""
        for stream in list(self.waiting):
            self.quic.stop_stream(stream, h3.ErrorCode.H3_REQUEST_CANCELLED)
        self.transmit()

    def send_keepalive(self) -> None:
        """Send a PING frame without waiting for its acknowledgement."""
        self.quic.send_ping(0)
        self.transmit()

    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        """Collect responses and record why the connection terminated."""
        if isinstance(event, quic_events.ConnectionTerminated):
            self.terminated = event
            for future in self.waiting.values():
                if not future.done():
                    future.set_exception(LostError(event.reason_phrase or "closed"))
        elif isinstance(event, quic_events.StreamReset):
            reset = self.waiting.get(event.stream_id)
            if reset is not None and not reset.done():
                reset.set_exception(LostError("the stream was reset"))
        for http_event in self.http.handle_event(event):
            self._receive(http_event)

    def _receive(self, event: h3_events.H3Event) -> None:
        if not isinstance(
            event,
            h3_events.HeadersReceived | h3_events.DataReceived,
        ):
            return
        entry = self.partial.get(event.stream_id)
        if entry is None:
            return
        headers, body = entry
        if isinstance(event, h3_events.HeadersReceived):
            headers.update(decode_headers(event.headers))
        else:
            body.extend(event.data)
        future = self.waiting.get(event.stream_id)
        if event.stream_ended and future is not None and not future.done():
            status = int(headers.get(":status", "0"))
            future.set_result(Response(status, headers, bytes(body)))


def encode_headers(method: str, path: str, headers: dict[str, str]) -> Headers:
    """Return the encoded header list of a request."""
    fields = {
        ":method": method,
        ":scheme": "https",
        ":authority": "upstream",
        ":path": path,
    } | headers
    return [(key.encode(), value.encode()) for key, value in fields.items()]


def decode_headers(headers: Headers) -> dict[str, str]:
    """Return a header list as a dictionary of strings."""
    return {key.decode(): value.decode() for key, value in headers}


def configure_client() -> configuration.QuicConfiguration:
    """Return a client configuration that accepts any server certificate."""
    return configuration.QuicConfiguration(
        is_client=True,
        alpn_protocols=["h3"],
        verify_mode=ssl.CERT_NONE,
        server_name="upstream",
        idle_timeout=IDLE_TIMEOUT_S,
        max_data=WINDOW_BYTES,
        max_stream_data=WINDOW_BYTES,
    )


async def open_connection(
    address: Address,
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
) -> Client:
    """Open a connection from a new source port.

    Raises
    ------
    RefusedError
        If an Initial packet closed the connection with CONNECTION_REFUSED.
    UnopenedError
        If the handshake does not complete in `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    quic = connection.QuicConnection(configuration=configure_client())
    _, client = await loop.create_datagram_endpoint(
        lambda: Client(quic),
        local_addr=("127.0.0.1", 0),
    )
    client.connect(address)
    try:
        await asyncio.wait_for(client.wait_connected(), timeout_s)
    except (TimeoutError, ConnectionError) as error:
        drop_connection(client)
        ended = client.terminated
        refused = packet.QuicErrorCode.CONNECTION_REFUSED
        if ended is not None and ended.error_code == refused:
            raise RefusedError("refused") from error
        raise UnopenedError("no handshake") from error
    return client


async def close_connection(client: Client) -> None:
    """Close a connection and its socket."""
    client.close()
    # The CONNECTION_CLOSE frame is sent at once; the draining period is skipped.
    await asyncio.sleep(0)
    drop_connection(client)


def drop_connection(client: Client) -> None:
    """Close a connection's socket and timers without notifying the server."""
    for handle in (client._timer, client._transmit_task):
        if handle is not None:
            handle.cancel()
    if client._transport is not None:
        client._transport.close()
