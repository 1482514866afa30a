"""HTTP/3 server for the stand-ins, based on `aioquic`."""

import asyncio
import typing
from collections import abc

from aioquic import buffer
from aioquic.asyncio import protocol as quic_protocol
from aioquic.asyncio import server as quic_server
from aioquic.h3 import connection as h3
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration, connection
from aioquic.quic import events as quic_events

from standins import certificates, http3

MAX_REQUEST_STREAM_ID: typing.Final = (1 << 62) - 4

Respond = abc.Callable[[http3.Request], abc.Awaitable[http3.Response]]
RecordOpening = abc.Callable[[bytes], None]


class Server(quic_protocol.QuicConnectionProtocol):
    """The server side of one connection; `respond` produces the responses."""

    def __init__(
        self,
        quic: connection.QuicConnection,
        respond: Respond,
        connections: "set[Server]",
    ) -> None:
        super().__init__(quic)
        self.quic = quic
        self.respond = respond
        self.connections = connections
        self.http = h3.H3Connection(quic)
        self.partial: dict[int, tuple[dict[str, str], bytearray]] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}
        connections.add(self)

    def send_goaway(self) -> None:
        """Send GOAWAY, so that the caller opens a new connection for later requests."""
        frame = h3.encode_frame(
            h3.FrameType.GOAWAY,
            buffer.encode_uint_var(MAX_REQUEST_STREAM_ID),
        )
        stream = self.http._local_control_stream_id
        assert stream is not None
        self.quic.send_stream_data(stream, frame)
        self.transmit()

    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        """Start a task for each request, and cancel it if the caller cancels."""
        if isinstance(event, quic_events.ConnectionTerminated):
            self.connections.discard(self)
            for task in self.tasks.values():
                task.cancel()
        elif isinstance(
            event,
            quic_events.StreamReset | quic_events.StopSendingReceived,
        ):
            request_task = self.tasks.get(event.stream_id)
            if request_task is not None:
                request_task.cancel()
        for http_event in self.http.handle_event(event):
            if isinstance(http_event, h3_events.HeadersReceived):
                headers = http3.decode_headers(http_event.headers)
                self.partial[http_event.stream_id] = (headers, bytearray())
            elif isinstance(http_event, h3_events.DataReceived):
                self.partial[http_event.stream_id][1].extend(http_event.data)
            else:
                continue
            if http_event.stream_ended:
                self._start(http_event.stream_id)

    def _start(self, stream: int) -> None:
        headers, body = self.partial.pop(stream)
        request = http3.Request(
            headers[":method"], headers[":path"], headers, bytes(body)
        )
        loop = asyncio.get_running_loop()
        self.tasks[stream] = loop.create_task(self._handle_request(stream, request))

    async def _handle_request(self, stream: int, request: http3.Request) -> None:
        try:
            response = await self.respond(request)
        finally:
            self.tasks.pop(stream, None)
        fields = {":status": str(response.status)} | response.headers
        headers = [(key.encode(), value.encode()) for key, value in fields.items()]
        self.http.send_headers(stream, headers, end_stream=not response.body)
        if response.body:
            self.http.send_data(stream, response.body, end_stream=True)
        self.transmit()


async def serve(
    address: http3.Address,
    respond: Respond,
    connections: set[Server],
    record_opening: RecordOpening = lambda flow: None,
) -> quic_server.QuicServer:
    """Start an HTTP/3 server and return it."""
    settings = configuration.QuicConfiguration(
        is_client=False,
        alpn_protocols=["h3"],
        idle_timeout=http3.IDLE_TIMEOUT_S,
        max_data=http3.WINDOW_BYTES,
        max_stream_data=http3.WINDOW_BYTES,
    )
    certificates.load_certificate(settings, "upstream")

    def create_protocol(quic: connection.QuicConnection, **_: object) -> Server:
        record_opening(quic.original_destination_connection_id)
        return Server(quic, respond, connections)

    return await quic_server.serve(
        address[0],
        address[1],
        configuration=settings,
        create_protocol=create_protocol,
    )
