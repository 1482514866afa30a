"""Stand-in routers and clients: flows over UDP through the forwarders in rotation."""

import asyncio
import itertools
import random
import socket
import typing
import zlib
from collections import abc

from review import wire2

OPENING_TIMES_S = (0.2, 0.6, 1.4)
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6)
CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.4
MISSES_MAX = 2

Outcome = typing.Literal["served", "reset", "unopened", "deadline"]
Record = abc.Callable[..., None]


class Routers:
    """Choose a forwarder of the client's zone for each packet, by a steady hash."""

    def __init__(
        self, forwarders: dict[str, str], ready_port: int, packet_port: int
    ) -> None:
        self.forwarders = forwarders
        self.ready_port = ready_port
        self.packet_port = packet_port
        self.misses = dict.fromkeys(forwarders, MISSES_MAX)

    async def run(self) -> None:
        """Check each forwarder twice a second."""
        while True:
            checks = [self.check(ip) for ip in self.forwarders]
            await asyncio.gather(*checks, asyncio.sleep(CHECK_INTERVAL_S))

    async def check(self, ip: str) -> None:
        """Ask one forwarder whether it is ready."""
        writer = None
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, self.ready_port)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
            is_ready = b" 200 " in line
        except (OSError, TimeoutError):
            is_ready = False
        finally:
            if writer is not None:
                writer.close()
        self.misses[ip] = 0 if is_ready else self.misses[ip] + 1

    def list_ready(self) -> list[str]:
        """Return the forwarders that are in rotation."""
        return [ip for ip, misses in self.misses.items() if misses < MISSES_MAX]

    def choose(self, packet: wire2.Packet, zone: str) -> str:
        """Return the forwarder for a packet."""
        own = [ip for ip, place in self.forwarders.items() if place == zone]
        ready = [ip for ip in own if self.misses[ip] < MISSES_MAX]
        if not ready:
            ready = self.list_ready() or own
        elif 2 * len(ready) < len(own):
            ready = own
        ends = repr((packet.source, packet.target)).encode()
        return max(ready, key=lambda ip: zlib.crc32(ends + ip.encode()))


class Client(asyncio.DatagramProtocol):
    """A client's machine in a zone; each of its flows has a port of its own."""

    def __init__(
        self, ip: str, zone: str, routers: Routers, record: Record, seed: int
    ) -> None:
        self.ip = ip
        self.zone = zone
        self.routers = routers
        self.record = record
        self.rng = random.Random(seed)
        self.port = self.rng.randrange(2_000, 20_000)
        self.inboxes: dict[int, asyncio.Queue[wire2.Packet]] = {}
        self.transport: typing.Any = None
        self.requests = 0

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((self.ip, self.routers.packet_port))
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Pass a packet to the flow that it belongs to."""
        packet = wire2.decode(data)
        inbox = self.inboxes.get(packet.target[1])
        if inbox is None:
            return
        is_system_reset = packet.flags & wire2.RST and packet.checksum == 0
        if not is_system_reset and packet.checksum != wire2.compute_sum(packet):
            self.record("changed packet", client=self.ip, sender=sender[0])
            return
        inbox.put_nowait(packet)

    def send(self, packet: wire2.Packet) -> str:
        """Send a packet through the forwarder that the routers choose."""
        ip = self.routers.choose(packet, self.zone)
        self.transport.sendto(wire2.encode(packet), (ip, self.routers.packet_port))
        return ip

    async def open_flow(self, target: tuple[str, int]) -> "ClientFlow | None":
        """Open a flow; return None if that fails."""
        self.port += 1
        flow = ClientFlow(self, target, self.port)
        return flow if await flow.open() else None

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


class ClientFlow:
    """One flow of a client, for requests one after the other."""

    def __init__(self, client: Client, target: tuple[str, int], port: int) -> None:
        self.client = client
        self.target = target
        self.source = (client.ip, port)
        self.inbox: asyncio.Queue[wire2.Packet] = asyncio.Queue()
        client.inboxes[port] = self.inbox
        self.seq = client.rng.randrange(2**32)
        self.ack = 0
        self.echo = 0
        self.acknowledged = self.seq
        self.is_reset = False
        self.last_ip = ""

    def build(self, flags: int, data: bytes = b"") -> wire2.Packet:
        """Return the next packet of this flow."""
        return wire2.Packet(
            self.source, self.target, self.seq, self.ack, self.echo, flags, data
        )

    async def open(self) -> bool:
        """Open the flow; `ack` counts the copies of the opening."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        for copy, until_s in enumerate(OPENING_TIMES_S):
            opening = self.build(wire2.SYN)._replace(ack=copy, echo=0)
            self.last_ip = self.client.send(opening)
            self.client.record(
                "opening", flow=str(self.source), copy=copy, through=self.last_ip
            )
            try:
                async with asyncio.timeout_at(start + until_s):
                    packet = await self.inbox.get()
            except TimeoutError:
                continue
            if packet.flags & wire2.RST:
                break
            self.seq = (self.seq + 1) % 2**32
            self.ack = (packet.seq + 1) % 2**32
            self.echo = packet.echo
            self.client.send(self.build(wire2.ACK))
            return True
        self.forget()
        return False

    async def request(
        self, route: str, work_ms: float, deadline_s: float
    ) -> tuple[Outcome, str, str]:
        """Send a request; return the outcome, its id and the answer."""
        client = self.client
        client.requests += 1
        request = f"{client.ip}-{client.requests}"
        data = f"{request} {route} {work_ms:.0f}".encode()
        packet = self.build(wire2.ACK, data)
        client.record(
            "sent",
            request=request,
            route=route,
            flow=str(self.source),
            zone=client.zone,
        )
        loop = asyncio.get_running_loop()
        deadline = loop.time() + deadline_s
        end = (self.seq + len(data)) % 2**32
        self.acknowledged = self.seq
        waits_s = itertools.chain(RETRANSMIT_S, itertools.repeat(RETRANSMIT_S[-1]))
        for wait_s in waits_s:
            if self.acknowledged != end:
                self.last_ip = client.send(packet)
            until = min(loop.time() + wait_s, deadline)
            try:
                async with asyncio.timeout_at(until):
                    answer = await self.receive_answer()
            except TimeoutError:
                if loop.time() >= deadline:
                    break
                continue
            if answer is None:
                client.record("reset by host", request=request, flow=str(self.source))
                self.forget()
                return "reset", request, ""
            if answer.checksum == 0:
                self.is_reset = True
                client.record(
                    "reset by system",
                    request=request,
                    flow=str(self.source),
                    through=self.last_ip,
                )
                self.forget()
                return "reset", request, ""
            self.seq = (self.seq + len(data)) % 2**32
            self.ack = (answer.seq + len(answer.data)) % 2**32
            self.echo = answer.echo
            client.send(self.build(wire2.ACK))
            text = answer.data.decode()
            client.record("answered", request=request, answer=text)
            return "served", request, text
        client.record("deadline", request=request)
        self.forget()
        return "deadline", request, ""

    async def receive_answer(self) -> wire2.Packet | None:
        """Return the next answer or reset of the system, None for one of a host."""
        while True:
            packet = await self.inbox.get()
            if packet.flags & wire2.ACK and not packet.flags & wire2.SYN:
                self.acknowledged = packet.ack
            if packet.flags & wire2.RST:
                if packet.checksum:
                    return None
                # The system's reset counts within 76,800 of the last acknowledgement.
                distance = (packet.seq - self.ack) % 2**32
                if min(distance, 2**32 - distance) <= 76_800:
                    return packet
            elif packet.data and packet.seq == self.ack:
                return packet
            elif packet.data:
                self.client.send(self.build(wire2.ACK))

    async def idle(self, seconds: float) -> bool:
        """Wait between requests; return whether the flow is still open."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while True:
            try:
                async with asyncio.timeout_at(end):
                    packet = await self.receive_answer()
            except TimeoutError:
                return True
            if packet is not None and packet.checksum:
                continue
            self.is_reset = packet is not None
            kind = "reset by host" if packet is None else "reset by system"
            self.client.record(kind, flow=str(self.source), through=self.last_ip)
            self.forget()
            return False

    def finish(self) -> None:
        """Close the flow."""
        self.client.send(self.build(wire2.FIN | wire2.ACK))
        self.forget()

    def forget(self) -> None:
        """Stop receiving packets of this flow."""
        self.client.inboxes.pop(self.source[1], None)
