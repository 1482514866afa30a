"""Stand-ins of hosts and clients, which speak the flows of PROTOCOL.md."""

import asyncio
import random
import socket
import struct
import time

HEADER = struct.Struct(">IIIHHHIIBI")
SYN, ACK, FIN, RST = 16, 1, 32, 128
OPENING_S = (0.0, 0.2, 0.6)
OPENING_END_S = 1.4
REPEATS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)


def ip_number(text):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(text), "big")


def ip_text(number):
    """Return an IPv4 address in dotted form."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Packet:
    """One packet; `source` and `target` are pairs of number and port."""

    def __init__(self, source, target, seq, ack, echo, flags, data=b"", total=1):
        self.source, self.target = source, target
        self.seq, self.ack, self.echo = seq, ack, echo
        self.flags, self.data, self.total = flags, data, total

    def encode(self):
        """Return the datagram; 1 stands for the sum, whose key is not disclosed."""
        return (
            HEADER.pack(
                self.seq % 2**32,
                self.ack % 2**32,
                self.echo,
                len(self.data),
                self.source[1],
                self.target[1],
                self.target[0],
                self.source[0],
                self.flags,
                self.total,
            )
            + self.data
        )


def decode(data):
    """Return the packet of a datagram."""
    seq, ack, echo, length, sport, dport, dst, src, flags, total = HEADER.unpack_from(
        data
    )
    payload = data[HEADER.size :]
    assert length == len(payload)
    return Packet((src, sport), (dst, dport), seq, ack, echo, flags, payload, total)


class Host(asyncio.DatagramProtocol):
    """A host: `slots` requests at a time, the others wait in a queue.

    It acknowledges a request with the response, as only each second packet is
    acknowledged at once.
    """

    def __init__(self, name, service, packet_port, record, work_s, slots=2):
        self.name, self.service = name, service
        self.number = int(name.rpartition("-")[2], 16)
        self.packet_port, self.record = packet_port, record
        self.work_s = work_s
        self.slots = asyncio.Semaphore(slots)
        self.flows = {}
        self.transport = None
        self.health = None
        self.rng = random.Random(name)

    async def start(self, address):
        """Open the UDP socket of the flows and the TCP socket of the health check."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self.health = await asyncio.start_server(self.check_health, *address)

    def close(self):
        """Close the sockets."""
        if self.transport is not None:
            self.transport.close()
        if self.health is not None:
            self.health.close()

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    async def check_health(self, reader, writer):
        """Answer a health check, which takes a slot."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            async with self.slots:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                    % self.name.encode()
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def datagram_received(self, data, address):
        """Handle a datagram: 8 bytes that name the host, then a packet."""
        if int.from_bytes(data[:8], "big") not in (0, self.number):
            return
        packet = decode(data[8:])
        key = (packet.source, packet.target)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow["client_seq"] != packet.seq:
                flow = self.flows[key] = {
                    "client_seq": packet.seq,
                    "seq": self.rng.randrange(2**32),
                    "open": False,
                    "received": packet.seq + 1,
                    "work": None,
                }
                self.record(
                    "opening arrives", host=self.name, flow=key, sender=address[0]
                )
            self.send(packet, flow["seq"], packet.seq + 1, SYN | ACK)
        elif flow is None:
            if not packet.flags & RST:
                self.send(packet, packet.ack, 0, RST)
        elif packet.flags & RST:
            del self.flows[key]
        else:
            if not flow["open"] and packet.ack == (flow["seq"] + 1) % 2**32:
                flow["open"] = True
                self.record("flow opens", host=self.name, flow=key, sender=address[0])
            if packet.data and flow["open"] and flow["work"] is None:
                flow["received"] = packet.seq + len(packet.data)
                flow["work"] = asyncio.create_task(self.work(key, packet))
            if packet.flags & FIN:
                self.send(packet, packet.ack, packet.seq + 1, ACK | FIN)
                del self.flows[key]

    async def work(self, key, packet):
        """Run the request of a flow and answer it."""
        async with self.slots:
            request = packet.data.decode()
            self.record("runs", host=self.name, service=self.service, request=request)
            await asyncio.sleep(self.work_s)
        flow = self.flows.get(key)
        if flow is not None and self.transport is not None:
            body = f"{request}@{self.service}".encode()
            self.record("answers", host=self.name, request=request)
            self.send(packet, flow["seq"] + 1, flow["received"], ACK, body)

    def send(self, received, seq, ack, flags, data=b""):
        """Send a packet to the client of a received one."""
        if self.transport is None or self.transport.is_closing():
            return
        reply = Packet(
            received.target, received.source, seq, ack, received.echo, flags, data
        )
        self.transport.sendto(
            reply.encode(), (ip_text(received.source[0]), self.packet_port)
        )


class Client(asyncio.DatagramProtocol):
    """A client's machine: a flow for each request, each from a new port.

    `choose` returns the forwarder's address for a packet.
    """

    def __init__(self, ip, packet_port, choose, record):
        self.ip, self.packet_port = ip, packet_port
        self.choose, self.record = choose, record
        self.port = random.randrange(2_000, 30_000)
        self.inboxes = {}
        self.transport = None

    async def start(self):
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.packet_port)
        )

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def close(self):
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def datagram_received(self, data, address):
        """Queue a packet for its flow."""
        packet = decode(data)
        inbox = self.inboxes.get(packet.target[1])
        if inbox is not None:
            inbox.put_nowait((packet, address[0]))

    def send(self, packet, key):
        """Send a packet through the forwarder of its flow."""
        address = self.choose(key)
        if address is not None and self.transport is not None:
            self.transport.sendto(packet.encode(), address)

    async def request(self, name, target, deadline_s, kind="safe", via=None):
        """Send one request; return what became of it, and from which address."""
        self.port += 1
        source = (ip_number(self.ip), self.port)
        goal = (ip_number(target[0]), target[1])
        key = via or (source, goal)
        inbox = self.inboxes[self.port] = asyncio.Queue()
        started = time.monotonic()
        seq = random.randrange(2**32)
        self.record("request", request=name, kind=kind, port=self.port, target=target)
        try:
            outcome = await self.attempt(
                name, source, goal, key, inbox, seq, started, deadline_s
            )
        finally:
            del self.inboxes[source[1]]
        self.record(
            "outcome",
            request=name,
            port=source[1],
            outcome=outcome[0],
            sender=outcome[1],
            after_s=round(time.monotonic() - started, 3),
        )
        return outcome

    async def receive(self, inbox, until):
        """Return the next packet of a flow, None at a time."""
        try:
            return await asyncio.wait_for(
                inbox.get(), max(0.0, until - time.monotonic())
            )
        except asyncio.TimeoutError:
            return None

    async def attempt(self, name, source, goal, key, inbox, seq, started, deadline_s):
        """Open a flow, send the request and wait for the response."""
        reply = None
        for copy, at_s in enumerate(OPENING_S):
            self.send(Packet(source, goal, seq, copy, 0, SYN), key)
            ends = (*OPENING_S[1:], OPENING_END_S)[copy]
            received = await self.receive(inbox, started + ends)
            if received is not None:
                reply, sender = received
                break
        if reply is None:
            return "not opened", ""
        if reply.flags & RST:
            return "reset before it opened", sender
        if reply.flags & (SYN | ACK) != SYN | ACK:
            return "no handshake", sender
        echo, ack = reply.echo, reply.seq + 1
        host_ip = sender
        # The first packet after the handshake acknowledges it and has the request.
        data = name.encode()
        packet = Packet(source, goal, seq + 1, ack, echo, ACK, data)
        for wait_s in REPEATS_S:
            self.send(packet, key)
            until = min(time.monotonic() + wait_s, started + deadline_s)
            while True:
                received = await self.receive(inbox, until)
                if received is None:
                    break
                reply, sender = received
                if reply.flags & RST:
                    if sender == host_ip:
                        return "reset by its host", sender
                    near = (reply.seq - ack + 76_800) % 2**32 <= 153_600
                    if near and not reply.data:
                        return "reset by the system", sender
                    self.record("stray reset", request=name, sender=sender)
                elif reply.data and sender == host_ip:
                    end = reply.seq + len(reply.data)
                    self.send(
                        Packet(source, goal, seq + 1 + len(data), end, echo, ACK | FIN),
                        key,
                    )
                    return "served " + reply.data.decode(), sender
            if time.monotonic() >= started + deadline_s:
                break
        self.send(Packet(source, goal, seq + 1 + len(data), ack, echo, ACK | RST), key)
        return "deadline", ""
