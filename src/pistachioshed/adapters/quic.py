"""Classify QUIC datagrams by their headers and build the refusal of an opening."""

import typing

import xxhash
from aioquic import _buffer as buffer
from aioquic.quic import configuration, crypto, packet, packet_builder

from pistachioshed.core import events

# RFC 9000 section 14.1: a client pads every datagram that holds an Initial packet to
# at least this size.
MIN_INITIAL_BYTES: typing.Final = configuration.SMALLEST_MAX_DATAGRAM_SIZE
# RFC 9000 section 10.3: a valid short header packet is at least this long.
MIN_SHORT_BYTES: typing.Final = 21
# Packets of aioquic with only acknowledgements or pings take 27 to 50 bytes, so that a
# larger packet may carry application data.
MAX_ACK_BYTES: typing.Final = 64
MAX_COALESCED_PACKETS: typing.Final = 8
CLOSE_FRAME_BYTES: typing.Final = 1 + 3 * 8

VERSIONS: typing.Final = frozenset(
    (packet.QuicProtocolVersion.VERSION_1, packet.QuicProtocolVersion.VERSION_2),
)


class Classified(typing.NamedTuple):
    """The classification of a caller's datagram.

    `kind` is None if the datagram must be dropped for `reason`. If `early_data_offset`
    is not 0, the bytes from there on hold 0-RTT packets and must not be forwarded.
    `opening_id` and `may_carry_request` are as in `events.CallerPacket`.
    """

    kind: events.PacketKind | None
    opening_id: int = 0
    may_carry_request: bool = False
    reason: str = ""
    early_data_offset: int = 0


SMALL_DATA: typing.Final = Classified(events.PacketKind.DATA)
LARGE_DATA: typing.Final = Classified(events.PacketKind.DATA, may_carry_request=True)


def classify_datagram(data: bytes) -> Classified:
    """Classify a caller's datagram by its headers.

    A datagram that coalesces an Initial packet with a Handshake or 1-RTT packet is
    data: its caller already has handshake keys, so it is too late to refuse it.

    Parameters
    ----------
    data : bytes
        The UDP payload.

    Returns
    -------
    Classified
        The kind of packet, or the reason to drop the datagram.
    """
    if not data:
        return _drop("empty")
    if not data[0] & packet.PACKET_LONG_HEADER:
        if not data[0] & packet.PACKET_FIXED_BIT:
            return _drop("foreign")
        if len(data) < MIN_SHORT_BYTES:
            return _drop("short")
        return LARGE_DATA if len(data) > MAX_ACK_BYTES else SMALL_DATA
    return _classify_long(data)


def _classify_long(data: bytes) -> Classified:
    reader = buffer.Buffer(data=data)
    opening_id = 0
    established = False
    early_data_offset = 0
    position = 0
    for _ in range(MAX_COALESCED_PACKETS):
        if position >= len(data):
            break
        if not data[position] & packet.PACKET_LONG_HEADER:
            # Zero bytes after the last packet are padding; a set fixed bit marks a
            # short header packet.
            established |= bool(data[position] & packet.PACKET_FIXED_BIT)
            break
        reader.seek(position)
        try:
            header = packet.pull_quic_header(reader)
        except (ValueError, buffer.BufferReadError):
            if position == 0:
                return _drop("malformed")
            break
        if header.version not in VERSIONS:
            if position == 0:
                return _drop("version")
            break
        if header.packet_type is packet.QuicPacketType.ZERO_RTT:
            if position == 0:
                return _drop("early_data")
            early_data_offset = position
            break
        if header.packet_type is packet.QuicPacketType.INITIAL:
            opening_id = opening_id or hash_connection_id(header.source_cid)
        elif header.packet_type is packet.QuicPacketType.HANDSHAKE:
            established = True
        elif position == 0:
            return _drop("server_packet")
        position += header.packet_length
    if opening_id and len(data) < MIN_INITIAL_BYTES:
        return _drop("small_initial")
    if established or not opening_id:
        may_carry_request = len(data) > MAX_ACK_BYTES
        kind = events.PacketKind.DATA
        return Classified(
            kind,
            may_carry_request=may_carry_request,
            early_data_offset=early_data_offset,
        )
    kind = events.PacketKind.OPENING
    return Classified(kind, opening_id, True, early_data_offset=early_data_offset)


def _drop(reason: str) -> Classified:
    return Classified(None, reason=reason)


def hash_connection_id(source_cid: bytes) -> int:
    """Return a 32-bit opening id for a caller's connection id; it is never 0."""
    return xxhash.xxh32_intdigest(source_cid) or 1


def blank_early_data(data: bytes, early_data_offset: int) -> bytes:
    """Replace 0-RTT packets with padding, which keeps the size of the datagram."""
    return data[:early_data_offset] + bytes(len(data) - early_data_offset)


def build_refusal(opening: bytes) -> bytes:
    """Build the response that refuses an opening, before the caller sends a request.

    Parameters
    ----------
    opening : bytes
        A datagram that `classify_datagram` classified as an opening.

    Returns
    -------
    bytes
        An Initial packet with a CONNECTION_CLOSE frame of error CONNECTION_REFUSED.
    """
    header = packet.pull_quic_header(buffer.Buffer(data=opening))
    assert header.version is not None
    keys = crypto.CryptoPair()
    keys.setup_initial(
        cid=header.destination_cid,
        is_client=False,
        version=header.version,
    )
    builder = packet_builder.QuicPacketBuilder(
        host_cid=header.destination_cid,
        peer_cid=header.source_cid,
        version=header.version,
        is_client=False,
        max_datagram_size=MIN_INITIAL_BYTES,
    )
    builder.start_packet(packet.QuicPacketType.INITIAL, keys)
    frame = builder.start_frame(
        packet.QuicFrameType.TRANSPORT_CLOSE,
        capacity=CLOSE_FRAME_BYTES,
    )
    frame.push_uint_var(packet.QuicErrorCode.CONNECTION_REFUSED)
    frame.push_uint_var(packet.QuicFrameType.PADDING)
    frame.push_uint_var(0)
    datagrams, _ = builder.flush()
    return datagrams[0]
