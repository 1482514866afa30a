"""Tests of the framing of relayed packets."""

import hypothesis
import pytest
from hypothesis import strategies

from pistachioshed.adapters import relay

KEY = b"k" * 32
FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
RELAYED = strategies.builds(
    relay.RelayedDatagram,
    strategies.text(min_size=1, max_size=15),
    strategies.sampled_from((6, 18)).flatmap(
        lambda length: strategies.binary(min_size=length, max_size=length),
    ),
    strategies.binary(max_size=300),
)


@FUZZ
@hypothesis.given(RELAYED, strategies.integers(0), strategies.integers(1, 255))
def test_altered_frames_are_rejected(
    relayed: relay.RelayedDatagram,
    position: int,
    change: int,
) -> None:
    """Guard against a forged relay that reaches an upstream of any service."""
    framed = relay.encode_relay(relayed, KEY)
    assert relay.decode_relay(framed, KEY) == relayed
    forged = bytearray(framed)
    forged[1 + position % (len(forged) - 1)] ^= change
    with pytest.raises(relay.RelayError):
        relay.decode_relay(bytes(forged), KEY)
    with pytest.raises(relay.RelayError):
        relay.decode_relay(framed, b"other" * 4)


@FUZZ
@hypothesis.given(
    strategies.integers(0, 70),
    strategies.sampled_from((0, 5, 6, 18, 255)),
    strategies.binary(max_size=90),
)
def test_frame_of_a_peer_is_decoded_or_rejected(
    name_length: int,
    flow_length: int,
    rest: bytes,
) -> None:
    """Guard against lengths beyond the end of a frame with a valid tag."""
    body = bytes((name_length, flow_length)) + rest
    tag = relay.compute_tag(body, KEY)
    framed = bytes((relay.RELAY, relay.VERSION)) + tag + body
    try:
        decoded = relay.decode_relay(framed, KEY)
    except relay.RelayError:
        return
    assert relay.encode_relay(decoded, KEY) == framed
    assert relay.pack_flow(relay.unpack_flow(decoded.flow)) == decoded.flow
