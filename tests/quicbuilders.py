"""Builders of QUIC datagrams, and a proxy that changes its source ports."""

import asyncio
import random
import typing
from collections import abc

from aioquic.quic import crypto, packet, packet_builder

from standins import http3

SERVER_CID: typing.Final = bytes(range(8))
CALLER_CID: typing.Final = bytes(range(8, 16))
SPACES: typing.Final = {
    "initial": packet.QuicPacketType.INITIAL,
    "early": packet.QuicPacketType.ZERO_RTT,
    "handshake": packet.QuicPacketType.HANDSHAKE,
    "short": packet.QuicPacketType.ONE_RTT,
}


def build_datagram(*spaces: str, version: int = 1) -> bytes:
    """Return a client's datagram of coalesced packets, each with a PING frame."""
    keys = crypto.CryptoPair()
    keys.setup_initial(cid=SERVER_CID, is_client=True, version=version)
    builder = packet_builder.QuicPacketBuilder(
        host_cid=CALLER_CID,
        peer_cid=SERVER_CID,
        version=version,
        is_client=True,
        max_datagram_size=1200,
    )
    for space in spaces:
        builder.start_packet(SPACES[space], keys)
        builder.start_frame(packet.QuicFrameType.PING)
    datagrams, _ = builder.flush()
    return datagrams[0]


class CallbackProtocol(asyncio.DatagramProtocol):
    """A UDP protocol that passes received datagrams to a function."""

    transport: asyncio.DatagramTransport

    def __init__(self, receive: abc.Callable[[bytes, http3.Address], None]) -> None:
        self.receive = receive

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Pass a datagram to the function."""
        self.receive(data, addr)


class PortSwitchingProxy:
    """Proxy one client's datagrams to a server from several source ports."""

    def __init__(self, server: http3.Address, seed: int) -> None:
        self.server = server
        self.rng = random.Random(seed)
        self.client: http3.Address = ("", 0)
        self.client_side: CallbackProtocol
        self.server_sides: list[CallbackProtocol] = []

    async def open(self, ports: int) -> http3.Address:
        """Open the sockets and return the address for the client."""
        loop = asyncio.get_running_loop()
        local = ("127.0.0.1", 0)
        _, self.client_side = await loop.create_datagram_endpoint(
            lambda: CallbackProtocol(self._forward),
            local,
        )
        await self.switch_ports(ports)
        address: http3.Address = self.client_side.transport.get_extra_info("sockname")
        return address

    async def switch_ports(self, ports: int) -> None:
        """Send from new source ports instead of the old ones."""
        loop = asyncio.get_running_loop()
        local = ("127.0.0.1", 0)
        self.server_sides = [
            (
                await loop.create_datagram_endpoint(
                    lambda: CallbackProtocol(self._return_to_client), local
                )
            )[1]
            for _ in range(ports)
        ]

    def _forward(self, data: bytes, address: http3.Address) -> None:
        self.client = address
        self.rng.choice(self.server_sides).transport.sendto(data, self.server)

    def _return_to_client(self, data: bytes, address: http3.Address) -> None:
        self.client_side.transport.sendto(data, self.client)
