"""Stand-in hosts: flows over UDP, health checks over TCP, entries in the store."""

import asyncio
import json
import random
import socket
import time
import typing
from collections import abc

from review import store2, wire2

RETRANSMIT_S = (0.2, 0.4, 0.8, *([1.6] * 6))  # Eight times, then it gives up.
HALF_OPEN_S = 1.5  # A client gives up an opening after 1.4 s.

FlowKey = tuple[tuple[str, int], tuple[str, int]]
Record = abc.Callable[..., None]


class Flow:
    """One flow at a host."""

    def __init__(self, packet: wire2.Packet, seq: int, sender: str) -> None:
        self.sender = sender
        self.caller_seq = packet.seq
        self.seq = seq
        self.received = (packet.seq + 1) % 2**32
        self.sent = (seq + 1) % 2**32
        self.echo = packet.echo
        self.is_open = False
        self.running = False
        self.copy = packet.ack
        self.taken_at = time.monotonic()
        self.responses: dict[int, tuple[int, bytes]] = {}
        self.acknowledged = self.sent


class Host(asyncio.DatagramProtocol):
    """A host of one service.

    Each request is one packet `ID ROUTE WORK_MS`; the response is one packet
    `ID HOST SERVICE`, or `ID HOST full` for a request that was not run.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        caller_port: int,
        record: Record,
        slots: int = 2,
        queue: int = 8,
        backlog: int | None = None,
        connection_limit: int = 2000,
    ) -> None:
        self.connection_limit = connection_limit
        self.queue = queue
        self.waiting = 0
        self.backlog = backlog
        self.name = name
        self.number = int(name.rpartition("-")[2], 16)
        self.service = service
        self.zone = zone
        self.address = address
        self.caller_port = caller_port
        self.record = record
        self.slots = slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.flows: dict[FlowKey, Flow] = {}
        self.semaphore = asyncio.Semaphore(slots)
        self.transport: typing.Any = None
        self.server: asyncio.Server | None = None
        self.listener: socket.socket | None = None
        self.rng = random.Random(name)
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Open the sockets."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(self.address)
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=sock)
        if self.backlog is None:
            self.server = await asyncio.start_server(self.serve_health, *self.address)
            return
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(self.backlog)
        self.listener = listener
        self.start_task(self.accept_in_slots(listener))

    def describe(self) -> dict[str, typing.Any]:
        """Return the entry that this host writes."""
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def run_heartbeat(self, kept: store2.Store, interval_s: float) -> None:
        """Write the entry if more than its sequence differs from the stored one."""
        while True:
            self.sequence += 1
            entry = self.describe()
            try:
                stored = json.loads(kept.get(f"servers/{self.name}") or b"null")
            except ValueError:
                stored = None
            if not isinstance(stored, dict) or entry | {"sequence": 0} != stored | {
                "sequence": 0
            }:
                kept.put(f"servers/{self.name}", json.dumps(entry).encode())
            await asyncio.sleep(interval_s)

    def start_task(self, coroutine: typing.Coroutine) -> None:
        """Run a coroutine until the host is closed."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def accept_in_slots(self, listener: socket.socket) -> None:
        """Accept a connection only when a slot is free for it.

        Until then it waits in the queue of new connections. While that queue is full,
        the opening packets of further connections are dropped.
        """
        loop = asyncio.get_running_loop()
        while True:
            readable = asyncio.Event()
            loop.add_reader(listener, readable.set)
            await readable.wait()
            loop.remove_reader(listener)
            async with self.semaphore:
                connection, _ = listener.accept()
                reader, writer = await asyncio.open_connection(sock=connection)
                await self.answer_health_check(reader, writer)

    async def serve_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a health check, which occupies a slot."""
        async with self.semaphore:
            await self.answer_health_check(reader, writer)

    async def answer_health_check(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a health check in the slot of the caller."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.001)
            status = 200 if self.state == "ready" else 503
            writer.write(
                f"HTTP/1.1 {status} X\r\nInstance-Id: {self.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a packet that is meant for this host or for any host."""
        number = int.from_bytes(data[:8], "big")
        if number not in (0, self.number):
            return
        packet = wire2.decode(data[8:])
        if packet.checksum != wire2.compute_sum(packet):
            self.record("changed packet", host=self.name, flow=str(packet.source))
            return
        key = (packet.source, packet.target)
        flow = self.flows.get(key)
        if packet.flags & wire2.SYN:
            if flow is None or flow.caller_seq != packet.seq:
                if self.is_full():
                    return
                flow = Flow(packet, self.rng.randrange(2**32), sender[0])
                self.flows[key] = flow
            flow.echo = packet.echo
            ack = (flow.caller_seq + 1) % 2**32
            self.send(packet, wire2.SYN | wire2.ACK, flow.seq, ack, flow.echo)
            return
        is_handshake = flow is not None and packet.ack == (flow.seq + 1) % 2**32
        if flow is None or not (flow.is_open or is_handshake):
            if not packet.flags & wire2.RST:
                self.send(packet, wire2.RST, packet.ack, 0, packet.echo)
            return
        if packet.flags & wire2.RST:
            del self.flows[key]
            return
        if not flow.is_open:
            flow.is_open = True
            self.record(
                "opened",
                host=self.name,
                service=self.service,
                flow=str(packet.source),
                copy=flow.copy,
                through=flow.sender,
            )
        flow.echo = packet.echo
        flow.acknowledged = packet.ack
        if packet.data:
            self.receive_request(packet, flow)
        if packet.flags & wire2.FIN:
            end = (packet.seq + len(packet.data) + 1) % 2**32
            self.send(packet, wire2.ACK | wire2.FIN, flow.sent, end, flow.echo)
            self.flows.pop(key, None)

    def is_full(self) -> bool:
        """Return whether this host holds as many flows as it may."""
        latest = time.monotonic() - HALF_OPEN_S
        for key, flow in list(self.flows.items()):
            if not flow.is_open and flow.taken_at < latest:
                del self.flows[key]
        return len(self.flows) >= self.connection_limit

    def receive_request(self, packet: wire2.Packet, flow: Flow) -> None:
        """Run a new request; acknowledge a copy of an earlier one, or answer it again.

        A copy is the second packet of its request, so it is acknowledged at once.
        """
        if packet.seq == flow.received and not flow.running:
            flow.received = (packet.seq + len(packet.data)) % 2**32
            flow.running = True
            self.start_task(self.run(packet, flow))
        elif packet.seq in flow.responses:
            seq, body = flow.responses[packet.seq]
            self.send(packet, wire2.ACK, seq, flow.received, flow.echo, body)
        else:
            self.send(packet, wire2.ACK, flow.sent, flow.received, flow.echo)

    async def run(self, packet: wire2.Packet, flow: Flow) -> None:
        """Run a request in a slot and send its response until it is acknowledged."""
        request, route, work_ms = packet.data.decode().split()
        if self.semaphore.locked() and self.waiting >= self.queue:
            self.record("full", host=self.name, request=request)
            await self.respond(packet, flow, f"{request} {self.name} full")
            return
        self.waiting += 1
        await self.semaphore.acquire()
        self.waiting -= 1
        try:
            self.record(
                "run",
                host=self.name,
                service=self.service,
                request=request,
                route=route,
            )
            await asyncio.sleep(float(work_ms) / 1000)
        finally:
            self.semaphore.release()
        await self.respond(packet, flow, f"{request} {self.name} {self.service}")

    async def respond(self, packet: wire2.Packet, flow: Flow, text: str) -> None:
        """Send a response until it is acknowledged."""
        flow.running = False
        key = (packet.source, packet.target)
        if self.flows.get(key) is not flow:
            return
        body = text.encode()
        seq = flow.sent
        flow.sent = (seq + len(body)) % 2**32
        flow.responses[packet.seq] = (seq, body)
        for wait_s in RETRANSMIT_S:
            self.send(packet, wire2.ACK, seq, flow.received, flow.echo, body)
            await asyncio.sleep(wait_s)
            if flow.acknowledged != seq or self.flows.get(key) is not flow:
                return

    def send(
        self,
        received: wire2.Packet,
        flags: int,
        seq: int,
        ack: int,
        echo: int,
        body: bytes = b"",
    ) -> None:
        """Send a packet to the caller directly."""
        packet = wire2.Packet(
            received.target, received.source, seq, ack, echo, flags, body
        )
        if self.transport is not None:
            address = (received.source[0], self.caller_port)
            self.transport.sendto(wire2.encode(packet), address)

    def close(self) -> None:
        """Close the sockets."""
        for task in self.tasks:
            task.cancel()
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()
        if self.listener is not None:
            self.listener.close()
