"""Stand-ins that use the platform's packet format: hosts, callers and routers."""

import asyncio
import collections
import random
import socket
import typing
import zlib
from collections import abc

from pistachioshed.platform import packets
from standins import http1

OPENING_SEND_TIMES_S: typing.Final = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S: typing.Final = 1.4
REQUEST_RETRY_INTERVALS_S: typing.Final = (0.2, 0.4, 0.8, 1.6)
CHECK_INTERVAL_S: typing.Final = 0.5
MAX_MISSED_CHECKS: typing.Final = 2
CHECK_TIMEOUT_S: typing.Final = 0.4
SILENT_CHECK_DELAY_S: typing.Final = 5.0

FlowKey = tuple[int, int, int, int]
Outcome = typing.Literal["served", "reset", "unopened", "unanswered"]


class Packet(typing.NamedTuple):
    """A packet in either direction; `source` and `target` are address and port.

    `sender` is the IP address of the machine that it arrived from.
    """

    source: tuple[int, int]
    target: tuple[int, int]
    sequence: int
    acknowledged: int
    token: int
    flags: int
    data: bytes = b""
    sender: str = ""


def encode(packet: Packet) -> bytes:
    """Encode a packet."""
    head = packets.HEADER.pack(
        packet.sequence,
        packet.acknowledged,
        packet.token,
        len(packet.data),
        packet.source[1],
        packet.target[1],
        packet.target[0],
        packet.source[0],
        packet.flags,
        0 if packet.flags & packets.FLAG_RESET and not packet.data else 1,
    )
    return head + packet.data


def decode(data: bytes, sender: str) -> Packet:
    """Decode a packet that arrived from `sender`."""
    fields = packets.HEADER.unpack_from(data)
    sequence, acknowledged, token, _, sport, dport, dst, src, flags, _ = fields
    return Packet(
        (src, sport),
        (dst, dport),
        sequence,
        acknowledged,
        token,
        flags,
        data[packets.HEADER.size :],
        sender,
    )


class Arrival(typing.NamedTuple):
    """An opening that a host accepted, the forwarder it came through, and the time."""

    host: str
    service: str
    forwarder: str
    target: tuple[int, int]
    at: float


class Refusal(typing.NamedTuple):
    """An opening that a forwarder reset, and when its caller received the reset."""

    forwarder: str
    target: tuple[int, int]
    at: float


class Host(asyncio.DatagramProtocol):
    """A host of one service; it runs each flow's request once and responds to it.

    `runs` is shared by all hosts and counts how often each request was run.
    """

    def __init__(
        self,
        name: str,
        service: str,
        packet_port: int,
        runs: collections.Counter[bytes],
        arrivals: list[Arrival],
    ) -> None:
        self.name = name
        self.service = service
        self.number = int(name.rpartition("-")[2], 16)
        self.packet_port = packet_port
        self.runs = runs
        self.arrivals = arrivals
        self.flows: dict[FlowKey, bytes] = {}
        self.silent = False
        self.response_delay_s = 0.01
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Respond to a packet unless silent or meant for another host."""
        number = int.from_bytes(data[:8], "big")
        if self.silent or number not in (0, self.number):
            return
        packet = decode(data[8:], source[0])
        key = (*packet.source, *packet.target)
        if packet.flags & packets.FLAG_OPENING:
            if key not in self.flows:
                self.flows[key] = b""
                now = asyncio.get_running_loop().time()
                arrival = Arrival(
                    self.name, self.service, source[0], packet.target, now
                )
                self.arrivals.append(arrival)
            self._send(packet, packets.FLAG_OPENING | packets.FLAG_ACKNOWLEDGING, b"")
        elif key not in self.flows:
            self._send(packet, packets.FLAG_RESET, b"gone")
        elif packet.data:
            if not self.flows[key]:
                self.runs[packet.data] += 1
                self.flows[key] = packet.data + b"@" + self.service.encode()
            asyncio.get_running_loop().call_later(
                self.response_delay_s, self._send_response, packet
            )

    async def handle_health_check(self, request: http1.Request) -> http1.Response:
        """Respond to a health check, after 5 s if silent."""
        if self.silent:
            await asyncio.sleep(SILENT_CHECK_DELAY_S)
        return http1.Response(200, {"Instance-Id": self.name}, b"")

    def _send_response(self, request: Packet) -> None:
        key = (*request.source, *request.target)
        if key in self.flows and not self.silent:
            self._send(request, packets.FLAG_ACKNOWLEDGING, self.flows[key])

    def _send(self, received: Packet, flags: int, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        response = Packet(
            received.target,
            received.source,
            500 if flags & packets.FLAG_OPENING else 501,
            (received.sequence + max(1, len(received.data))) % 2**32,
            received.token,
            flags,
            data,
        )
        address = (packets.format_ip(received.source[0]), self.packet_port)
        self.transport.sendto(encode(response), address)


class Routers:
    """Choose a ready forwarder for each flow by a hash of its endpoints."""

    def __init__(
        self, ready_addresses: abc.Mapping[str, tuple[str, int]], port: int
    ) -> None:
        self.ready_addresses = ready_addresses
        self.port = port
        self.missed_checks: dict[str, int] = dict.fromkeys(ready_addresses, 0)

    async def run_checks(self) -> None:
        """Check twice a second whether each forwarder is ready."""
        while True:
            checks = [
                self._check(ip, address) for ip, address in self.ready_addresses.items()
            ]
            await asyncio.gather(*checks, asyncio.sleep(CHECK_INTERVAL_S))

    def choose(self, packet: Packet) -> tuple[str, int]:
        """Return the address to send a caller's packet to.

        If fewer than half of the forwarders are ready, all of them are candidates.
        """
        candidates = [
            ip
            for ip in self.ready_addresses
            if self.missed_checks[ip] < MAX_MISSED_CHECKS
        ]
        if 2 * len(candidates) < len(self.ready_addresses):
            candidates = list(self.ready_addresses)
        endpoints = repr((packet.source, packet.target)).encode()
        best = max(candidates, key=lambda ip: zlib.crc32(endpoints + ip.encode()))
        return best, self.port

    async def _check(self, ip: str, address: tuple[str, int]) -> None:
        connection = http1.Connection(address)
        try:
            response = await connection.request("GET", "/api/ready", CHECK_TIMEOUT_S)
            passed = response.status == 200
        except http1.HttpError:
            passed = False
        finally:
            connection.close()
        self.missed_checks[ip] = 0 if passed else self.missed_checks[ip] + 1


class Caller(asyncio.DatagramProtocol):
    """A caller's machine, which opens a flow for each request, all on one socket."""

    def __init__(
        self, ip: str, routers: Routers, refusals: list[Refusal], rng: random.Random
    ) -> None:
        self.refusals = refusals
        self.ip = packets.parse_ip(ip)
        self.routers = routers
        self.rng = rng
        self.port = rng.randrange(2_000, 30_000)
        self.inboxes: dict[int, asyncio.Queue[Packet]] = {}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Queue a packet for the flow that it belongs to."""
        packet = decode(data, source[0])
        inbox = self.inboxes.get(packet.target[1])
        if inbox is not None:
            inbox.put_nowait(packet)

    async def request(
        self, target: tuple[int, int], body: bytes, body_delay_s: float = 0.0
    ) -> tuple[Outcome, bytes]:
        """Send one request on its own flow; wait `body_delay_s` before its body.

        Returns
        -------
        tuple of str and bytes
            The outcome and the body of the response.
        """
        self.port += 1
        inbox: asyncio.Queue[Packet] = asyncio.Queue()
        self.inboxes[self.port] = inbox
        opening = Packet((self.ip, self.port), target, 1_000, 0, 0, 0)
        try:
            reply = await self._open(opening, inbox)
            if reply is None:
                return "unopened", b""
            if reply.flags & packets.FLAG_RESET:
                now = asyncio.get_running_loop().time()
                self.refusals.append(Refusal(reply.sender, target, now))
                return "reset", b""
            acknowledgement = opening._replace(
                sequence=1_001,
                acknowledged=reply.sequence + 1,
                token=reply.token,
                flags=packets.FLAG_ACKNOWLEDGING,
            )
            self._send(acknowledgement)
            await asyncio.sleep(body_delay_s)
            return await self._send_request(acknowledgement._replace(data=body), inbox)
        finally:
            del self.inboxes[opening.source[1]]

    async def _open(
        self, opening: Packet, inbox: asyncio.Queue[Packet]
    ) -> Packet | None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        times = (*OPENING_SEND_TIMES_S[1:], OPENING_TIMEOUT_S)
        for copy, until_s in enumerate(times):
            self._send(opening._replace(acknowledged=copy, flags=packets.FLAG_OPENING))
            try:
                async with asyncio.timeout_at(start + until_s):
                    return await inbox.get()
            except TimeoutError:
                continue
        return None

    async def _send_request(
        self, request: Packet, inbox: asyncio.Queue[Packet]
    ) -> tuple[Outcome, bytes]:
        for wait_s in REQUEST_RETRY_INTERVALS_S:
            self._send(request)
            try:
                async with asyncio.timeout(wait_s):
                    while True:
                        packet = await inbox.get()
                        if packet.flags & packets.FLAG_RESET:
                            return "reset", packet.data
                        if packet.data:
                            closing = request._replace(
                                sequence=request.sequence + len(request.data),
                                acknowledged=packet.sequence + len(packet.data),
                                flags=packets.FLAG_CLOSING,
                                data=b"",
                            )
                            self._send(closing)
                            return "served", packet.data
            except TimeoutError:
                continue
        return "unanswered", b""

    def _send(self, packet: Packet) -> None:
        if self.transport is not None:
            self.transport.sendto(encode(packet), self.routers.choose(packet))


async def open_socket(
    protocol: asyncio.DatagramProtocol, address: tuple[str, int]
) -> asyncio.DatagramTransport:
    """Open a UDP socket for a stand-in."""
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    transport, _ = await loop.create_datagram_endpoint(lambda: protocol, sock=sock)
    return transport
