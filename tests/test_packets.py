"""Test encoding and decoding the platform's packets."""

import hypothesis
import pytest
from hypothesis import strategies

from pistachioshed.core import segments
from pistachioshed.platform import packets
from tests import dispatchbuilders as build

# The examples in the platform's documentation.
OPENING = bytes.fromhex(
    "1122334400000000000000000000 9c41 01bb c6120001 64400007 10 a1b2c3d5".replace(
        " ", ""
    )
)
RESET = bytes.fromhex(
    "0000000000000000000000000000 01bb 9c41 64400007 c6120001 80 00000000".replace(
        " ", ""
    )
)


def test_the_documented_opening_is_decoded() -> None:
    """Guard against a header decoded with the wrong field order or width."""
    assert packets.decode_packet(OPENING) == build.build_segment(sequence=0x11223344)


def test_the_documented_reset_is_encoded() -> None:
    """Guard against a reset that callers ignore."""
    assert packets.encode_reset(build.build_segment()) == RESET


def test_the_token_is_written_into_openings_only() -> None:
    """Guard against a change to any other byte of a forwarded packet."""
    upstream = build.build_upstream(7)
    with_token = packets.encode_forward(
        OPENING, segments.Forward(upstream, write_token=True)
    )
    assert with_token[:8] == (7).to_bytes(8, "big")
    assert packets.decode_packet(with_token[8:]).token == upstream.token
    assert with_token[8:16] + with_token[20:] == OPENING[:8] + OPENING[12:]
    without_token = packets.encode_forward(
        OPENING, segments.Forward(upstream, write_token=False)
    )
    assert without_token == (7).to_bytes(8, "big") + OPENING


def test_retransmitted_openings_acknowledge_nothing() -> None:
    """Guard against a retransmission count decoded as an acknowledgement."""
    retransmission = OPENING[:4] + (2).to_bytes(4, "big") + OPENING[8:]
    segment = packets.decode_packet(retransmission)
    assert (segment.copy, segment.acknowledged) == (2, 0)


@pytest.mark.parametrize(
    "data",
    [b"", OPENING[:-1], OPENING + b"x", OPENING[:26] + b"\x11" + OPENING[27:]],
    ids=["empty", "short", "longer than its length", "accepting"],
)
def test_invalid_datagrams_are_rejected(data: bytes) -> None:
    """Guard against decisions on a datagram that is not a caller's packet."""
    with pytest.raises(packets.PacketError):
        packets.decode_packet(data)


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(strategies.binary(max_size=80))
def test_any_bytes_are_decoded_or_rejected(data: bytes) -> None:
    """Guard against a datagram that crashes the process."""
    try:
        segment = packets.decode_packet(data)
    except packets.PacketError:
        return
    assert segment.length == len(data) - packets.HEADER.size
