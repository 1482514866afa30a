"""Encode and decode the packets of the platform's routers and hosts."""

import socket
import struct
import typing

from pistachioshed.core import segments

# Fields: seq, ack, echo, len, sport, dport, dst, src, flags, sum (the checksum).
HEADER: typing.Final = struct.Struct(">IIIHHHIIBI")
TOKEN_FIELD: typing.Final = struct.Struct(">I")
TOKEN_OFFSET: typing.Final = 8
UPSTREAM_NUMBER: typing.Final = struct.Struct(">Q")
FLAG_RESET: typing.Final = 128
FLAG_CLOSING: typing.Final = 32
FLAG_OPENING: typing.Final = 16
FLAG_ACKNOWLEDGING: typing.Final = 1


class PacketError(ValueError):
    """Raised if a datagram is not a valid packet of a caller."""


def decode_packet(data: bytes) -> segments.Segment:
    """Decode the header of a caller's packet.

    Raises
    ------
    PacketError
        If the datagram is too short, its length field does not match its size, or it is
        an opening with the acknowledging flag.
    """
    if len(data) < HEADER.size:
        raise PacketError(f"{len(data)} bytes are too short for a packet header")
    # In an opening, `ack` is the number of earlier retransmissions and acknowledges
    # nothing. `echo` is the token that was written into the flow's last opening.
    seq, ack, echo, length, sport, dport, dst, src, flags, _ = HEADER.unpack_from(data)
    if length != len(data) - HEADER.size:
        raise PacketError(f"length field {length} does not match {len(data)} bytes")
    opening = bool(flags & FLAG_OPENING)
    if opening and flags & FLAG_ACKNOWLEDGING:
        raise PacketError("an opening that acknowledges accepts a flow; no caller does")
    return segments.Segment(
        caller=(src, sport),
        target=(dst, dport),
        sequence=seq,
        acknowledged=0 if opening else ack,
        copy=ack if opening else 0,
        token=echo,
        length=length,
        opening=opening,
        closing=bool(flags & FLAG_CLOSING),
        reset=bool(flags & FLAG_RESET),
    )


def encode_forward(data: bytes, action: segments.Forward) -> bytes:
    """Return the datagram for an upstream: the upstream's number, then the packet."""
    number = UPSTREAM_NUMBER.pack(action.upstream.number)
    if not action.write_token:
        return number + data
    token = TOKEN_FIELD.pack(action.upstream.token)
    rest = data[TOKEN_OFFSET + TOKEN_FIELD.size :]
    return b"".join((number, data[:TOKEN_OFFSET], token, rest))


def encode_reset(segment: segments.Segment) -> bytes:
    """Return a reset for the caller of a flow.

    Its checksum is 0, which hosts do not use.
    """
    source, source_port = segment.target
    caller, caller_port = segment.caller
    # The caller accepts a sequence number near the last one that it acknowledged.
    return HEADER.pack(
        segment.acknowledged,
        0,
        0,
        0,
        source_port,
        caller_port,
        caller,
        source,
        FLAG_RESET,
        0,
    )


def format_ip(number: int) -> str:
    """Return the dotted form of an IPv4 address."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def parse_ip(text: str) -> int:
    """Return an IPv4 address in dotted form as a number.

    Raises
    ------
    ValueError
        If the text is not an IPv4 address.
    """
    try:
        return int.from_bytes(socket.inet_pton(socket.AF_INET, text), "big")
    except (OSError, TypeError) as error:
        raise ValueError(f"{text!r} is not an IPv4 address") from error
