"""Packets of the platform's routers and hosts, as its protocol page shows them."""

import socket
import struct
import typing
import zlib

HEADER = struct.Struct(">IIIHHHIIBI")
RST = 128
FIN = 32
SYN = 16
ACK = 1
# The real key is not disclosed; a stand-in key detects changed packets as well.
SUM_KEY = b"stand-in key"


class Packet(typing.NamedTuple):
    """A packet; `source` and `target` are an IPv4 address as text and a port."""

    source: tuple[str, int]
    target: tuple[str, int]
    seq: int
    ack: int
    echo: int
    flags: int
    data: bytes = b""
    checksum: int = 0


def compute_sum(packet: Packet) -> int:
    """Return the keyed checksum of all fields but `echo`."""
    fields = (packet.source, packet.target, packet.seq, packet.ack, packet.flags)
    return zlib.crc32(SUM_KEY + repr(fields).encode() + packet.data) or 1


def encode(packet: Packet) -> bytes:
    """Encode a packet of a sound sender."""
    head = HEADER.pack(
        packet.seq,
        packet.ack,
        packet.echo,
        len(packet.data),
        packet.source[1],
        packet.target[1],
        int.from_bytes(socket.inet_aton(packet.target[0]), "big"),
        int.from_bytes(socket.inet_aton(packet.source[0]), "big"),
        packet.flags,
        compute_sum(packet),
    )
    return head + packet.data


def decode(data: bytes) -> Packet:
    """Decode a packet; its `checksum` is 0 in a reset by the system."""
    seq, ack, echo, length, sport, dport, dst, src, flags, checksum = (
        HEADER.unpack_from(data)
    )
    body = data[HEADER.size :]
    if length != len(body):
        raise ValueError("length field does not match")
    return Packet(
        (socket.inet_ntoa(src.to_bytes(4, "big")), sport),
        (socket.inet_ntoa(dst.to_bytes(4, "big")), dport),
        seq,
        ack,
        echo,
        flags,
        body,
        checksum,
    )
