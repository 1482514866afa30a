"""The platform's packets."""

import hypothesis
import pytest
from hypothesis import strategies

from pistachioshed.core import segments
from pistachioshed.platform import packets
from tests import dispatchbuilders as build

# The examples of the platform's page.
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


def test_the_opening_of_the_page_is_read() -> None:
    """Guard against a header read with another order or width."""
    assert packets.decode_packet(OPENING) == build.build_segment(sequence=0x11223344)


def test_the_reset_of_the_page_is_written() -> None:
    """Guard against resets that callers ignore."""
    assert packets.encode_reset(build.build_segment()) == RESET


def test_the_token_is_written_into_openings_only() -> None:
    """Guard against a packet that its sender did not write so."""
    upstream = build.build_upstream(7)
    marked = packets.encode_forward(
        OPENING, segments.Forward(upstream, write_token=True)
    )
    assert marked[:8] == (7).to_bytes(8, "big")
    assert packets.decode_packet(marked[8:]).token == upstream.token
    assert marked[8:16] + marked[20:] == OPENING[:8] + OPENING[12:]
    carried = packets.encode_forward(
        OPENING, segments.Forward(upstream, write_token=False)
    )
    assert carried == (7).to_bytes(8, "big") + OPENING


def test_copies_of_an_opening_acknowledge_nothing() -> None:
    """Guard against the count of copies taken for an acknowledgement."""
    copy = OPENING[:4] + (2).to_bytes(4, "big") + OPENING[8:]
    segment = packets.decode_packet(copy)
    assert (segment.copy, segment.acknowledged) == (2, 0)


@pytest.mark.parametrize(
    "data",
    [b"", OPENING[:-1], OPENING + b"x", OPENING[:26] + b"\x11" + OPENING[27:]],
    ids=["empty", "short", "longer than its length", "accepting"],
)
def test_other_datagrams_are_rejected(data: bytes) -> None:
    """Guard against decisions on bytes that are no caller's packet."""
    with pytest.raises(packets.PacketError):
        packets.decode_packet(data)


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(strategies.binary(max_size=80))
def test_any_bytes_are_read_or_rejected(data: bytes) -> None:
    """Guard against a datagram that ends the process."""
    try:
        segment = packets.decode_packet(data)
    except packets.PacketError:
        return
    assert segment.length == len(data) - packets.HEADER.size
