"""Tests of datagram classification and refusals against a real QUIC library."""

import asyncio
import typing

import hypothesis
import pytest
from hypothesis import strategies

from pistachioshed.adapters import quic
from pistachioshed.core import events
from standins import hosts, http3, http3server
from tests import quicbuilders

STREAMS: typing.Final = 50
STREAM_BYTES: typing.Final = 20_000


@pytest.mark.parametrize(
    ("spaces", "kind", "early"),
    [
        (("initial",), events.PacketKind.OPENING, False),
        (("initial", "early"), events.PacketKind.OPENING, True),
        (("initial", "short"), events.PacketKind.DATA, False),
        (("initial", "handshake"), events.PacketKind.DATA, False),
        (("initial", "handshake", "short"), events.PacketKind.DATA, False),
        (("handshake",), events.PacketKind.DATA, False),
        (("short",), events.PacketKind.DATA, False),
        (("early",), None, False),
    ],
)
@pytest.mark.parametrize("version", [0x1, 0x6B3343CF])
def test_kind_of_coalesced_packets(
    spaces: tuple[str, ...],
    kind: events.PacketKind | None,
    early: bool,
    version: int,
) -> None:
    """Guard against refusing a caller that may already have sent a request."""
    data = quicbuilders.build_datagram(*spaces, version=version)
    classified = quic.classify_datagram(data)
    assert classified.kind == kind
    assert bool(classified.early_data_offset) == early
    if early:
        blanked = quic.blank_early_data(data, classified.early_data_offset)
        assert len(blanked) == len(data)
        assert not any(blanked[classified.early_data_offset :])
        assert quic.classify_datagram(blanked).early_data_offset == 0


def test_foreign_datagrams_are_dropped_with_a_reason() -> None:
    """Guard against packets of other protocols that create a flow."""
    initial = quicbuilders.build_datagram("initial")
    cases = {
        b"": "empty",
        b"GET / HTTP/1.1\r\n\r\n"[:20]: "short",
        b"\x00" * 40: "foreign",
        initial[:1000]: "small_initial",
        initial[:30]: "malformed",
        initial[:1] + b"\xff\x00\x00\x1d" + initial[5:]: "version",
    }
    for data, reason in cases.items():
        classified = quic.classify_datagram(data)
        assert (classified.kind, classified.reason) == (None, reason), data[:20]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(
    strategies.sampled_from(("initial", "handshake", "early", "short")),
    strategies.lists(
        strategies.tuples(strategies.integers(0, 60), strategies.integers(0, 255)),
        max_size=6,
    ),
    strategies.integers(0, 1200),
    strategies.binary(max_size=200),
)
def test_any_bytes_are_classified(
    space: str,
    changes: list[tuple[int, int]],
    length: int,
    tail: bytes,
) -> None:
    """Guard against a datagram that raises an exception in the packet path."""
    data = bytearray(quicbuilders.build_datagram(space))
    for position, value in changes:
        data[position % len(data)] = value
    for candidate in (bytes(data), bytes(data[:length]) + tail, tail):
        classified = quic.classify_datagram(candidate)
        assert (classified.kind is None) == bool(classified.reason)
        if classified.kind is events.PacketKind.OPENING:
            assert classified.opening_id
            assert quic.build_refusal(candidate)


def test_refusal_arrives_before_any_request_is_sent() -> None:
    """Guard against a caller that waits for a timeout instead of being refused."""

    async def run() -> float:
        loop = asyncio.get_running_loop()

        def receive(data: bytes, address: http3.Address) -> None:
            if quic.classify_datagram(data).kind is events.PacketKind.OPENING:
                protocol.transport.sendto(quic.build_refusal(data), address)

        transport, protocol = await loop.create_datagram_endpoint(
            lambda: quicbuilders.CallbackProtocol(receive),
            ("127.0.0.1", 0),
        )
        started_s = loop.time()
        with pytest.raises(http3.RefusedError):
            await http3.open_connection(protocol.transport.get_extra_info("sockname"))
        transport.close()
        return loop.time() - started_s

    assert asyncio.run(run()) < 1


def test_streams_are_intact_after_a_path_change() -> None:
    """Guard against upstreams that break a connection when its owner changes.

    The upstream then receives the connection's packets from other source ports.
    """

    async def run() -> list[bytes]:
        host = hosts.Host("sheets", "sheets-1", lambda entry: None, slots=STREAMS)
        server = await http3server.serve(("127.0.0.1", 0), host.respond, set())
        assert server._transport is not None
        address = server._transport.get_extra_info("sockname")
        proxy = quicbuilders.PortSwitchingProxy(address, seed=1)
        client = await http3.open_connection(await proxy.open(ports=2))

        async def fetch(number: int) -> bytes:
            path = f"/sheet?name={number}&size={STREAM_BYTES}"
            return (await client.request("GET", path, {}, 10)).body

        half = STREAMS // 2
        bodies = list(await asyncio.gather(*map(fetch, range(half))))
        await proxy.switch_ports(ports=1)
        bodies += await asyncio.gather(*map(fetch, range(half, STREAMS)))
        await http3.close_connection(client)
        server.close()
        return bodies

    expected = [hosts.make_sheet(str(n), STREAM_BYTES) for n in range(STREAMS)]
    assert asyncio.run(run()) == expected
