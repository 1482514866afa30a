"""Tests of the codec of control messages."""

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from pistachioshed.core import wire

KEY = b"fleet key"
CLAIM = wire.Claim(3, 1, 0, 1_000)
MESSAGES: tuple[wire.Message, ...] = (
    wire.Ping(1, 2**32 - 1, CLAIM, (wire.Update("entry-002", CLAIM),)),
    wire.Ack(1, CLAIM),
    wire.PingRequest(2, "entry-002", CLAIM),
    wire.Gossip(CLAIM, (wire.Update("entry-002", CLAIM),)),
    wire.Batch(7, 1, "booking", {"booking-1": b"123456"}, b"654321", 4),
    wire.BatchAck(7, 1),
    wire.HandoverRequest(9, 500),
    wire.HandoverDone(9, 7, {"booking": 4}),
)
FUZZ = hypothesis.settings(derandomize=True, database=None, max_examples=150)


@pytest.mark.parametrize("message", MESSAGES)
def test_message_round_trip(message: wire.Message) -> None:
    """Guard against a type that is not decoded, or decoded as another type."""
    payload = wire.encode("entry-001", message, KEY)
    assert wire.decode(payload, KEY) == wire.Received("entry-001", message)


@FUZZ
@hypothesis.given(st.binary(max_size=200), st.booleans())
def test_arbitrary_bytes_raise_wire_error(body: bytes, authentic: bool) -> None:
    """Guard against a datagram that ends the data path with an exception.

    Half of the bodies carry a valid tag, as from a faulty or newer peer would.
    """
    payload = sign(body) if authentic else body
    with pytest.raises(wire.WireError):
        wire.decode(payload, KEY)


@FUZZ
@hypothesis.given(
    st.integers(-1, 9),
    st.recursive(
        st.none() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=10,
    ),
)
def test_valid_msgpack_of_wrong_schema(kind: int, content: object) -> None:
    """Guard against valid msgpack with wrong types or ranges."""
    payload = sign(msgspec.msgpack.encode((kind, "entry-001", content)))
    try:
        received = wire.decode(payload, KEY)
    except wire.WireError:
        return
    assert isinstance(received.message, wire.TYPES)


@pytest.mark.parametrize("position", range(40))
def test_changed_byte_is_rejected(position: int) -> None:
    """Guard against a forged packet that changes ownership."""
    payload = bytearray(wire.encode("entry-001", MESSAGES[0], KEY))
    payload[position] ^= 1
    with pytest.raises(wire.WireError):
        wire.decode(bytes(payload), KEY)


def test_deep_nesting_raises_wire_error() -> None:
    """Guard against the RecursionError that msgspec raises for nested arrays."""
    with pytest.raises(wire.WireError):
        wire.decode(sign(b"\x93\x00\xa1a" + b"\x91" * 50_000 + b"\x00"), KEY)


def sign(body: bytes) -> bytes:
    """Return a body with its version byte and a valid tag."""
    return bytes((wire.VERSION,)) + wire.compute_tag(body, KEY) + body
