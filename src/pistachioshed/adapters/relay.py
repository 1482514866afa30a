"""Framing of the datagrams between balancers: relayed packets and control messages."""

import hashlib
import hmac
import socket
import struct
import typing

CONTROL: typing.Final = 0x01
RELAY: typing.Final = 0x02
VERSION: typing.Final = 1
TAG_BYTES: typing.Final = 12
MAX_NAME_BYTES: typing.Final = 63
PREFIX: typing.Final = struct.Struct("!BB12sBB")
FLOW_LENGTHS: typing.Final = frozenset((6, 18))


class RelayError(ValueError):
    """A relayed datagram that cannot be accepted; `reason` is a metric label."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(f"decode relay: {reason}")


class RelayedDatagram(typing.NamedTuple):
    """A caller's datagram that one balancer relays to another.

    `flow` is the caller's address as packed by `pack_flow`.
    """

    service: str
    flow: bytes
    data: bytes


def pack_flow(address: tuple[str, int]) -> bytes:
    """Pack a caller's IP address and port into 6 bytes for IPv4, 18 for IPv6."""
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.inet_pton(family, host) + port.to_bytes(2, "big")


def unpack_flow(flow: bytes) -> tuple[str, int]:
    """Return the caller's IP address and port."""
    family = socket.AF_INET if len(flow) == 6 else socket.AF_INET6
    return socket.inet_ntop(family, flow[:-2]), int.from_bytes(flow[-2:], "big")


def encode_relay(relayed: RelayedDatagram, key: bytes) -> bytes:
    """Frame a caller's datagram for its owner.

    A keyed tag authenticates everything that follows it in the frame.
    """
    name = relayed.service.encode()
    lengths = bytes((len(name), len(relayed.flow)))
    body = b"".join((name, relayed.flow, relayed.data))
    tag = compute_tag(lengths + body, key)
    return b"".join((bytes((RELAY, VERSION)), tag, lengths, body))


def decode_relay(payload: bytes, key: bytes) -> RelayedDatagram:
    """Verify and decode a relayed datagram.

    Raises
    ------
    RelayError
        If the frame is malformed, has another version or was made with another key.
    """
    if len(payload) < PREFIX.size:
        raise RelayError("relay_truncated")
    _, version, tag, name_length, flow_length = PREFIX.unpack_from(payload)
    if version != VERSION:
        raise RelayError("relay_version")
    if not hmac.compare_digest(tag, compute_tag(payload[2 + TAG_BYTES :], key)):
        raise RelayError("relay_tag")
    flow_offset = PREFIX.size + name_length
    data_offset = flow_offset + flow_length
    if (
        flow_length not in FLOW_LENGTHS
        or not 0 < name_length <= MAX_NAME_BYTES
        or data_offset > len(payload)
    ):
        raise RelayError("relay_malformed")
    try:
        service = payload[PREFIX.size : flow_offset].decode()
    except UnicodeDecodeError as error:
        raise RelayError("relay_malformed") from error
    return RelayedDatagram(
        service, payload[flow_offset:data_offset], payload[data_offset:]
    )


def compute_tag(body: bytes, key: bytes) -> bytes:
    """Return the keyed BLAKE2b tag of a frame's lengths and body."""
    return hashlib.blake2b(body, key=key, digest_size=TAG_BYTES).digest()
