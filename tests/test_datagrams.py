"""Tests of the packet path with a scripted core and recording sockets."""

import typing

import pytest

from pistachioshed.adapters import datagrams, relay
from pistachioshed.core import events
from tests import quicbuilders

KEY = b"k" * 32
CALLER = ("127.0.0.1", 40_000)
UPSTREAM = ("127.0.0.1", 20_001)
PEER = ("127.0.0.1", 7_002)
UNKNOWN_SENDER = ("127.0.0.1", 6_666)
SEND = events.SendUpstream("booking", "booking-1", "127.0.0.1:20001", 3)


class Recorder:
    """Act as reactor, transport and socket, and record what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, typing.Any]] = []

    def listenUDP(self, number: int, port: typing.Any, interface: str) -> "Recorder":
        """Attach a protocol to this transport."""
        port.transport = self
        return self

    def getHandle(self) -> "Recorder":
        """Return the socket."""
        return self

    def setsockopt(self, *values: int) -> None:
        """Ignore a socket option."""

    def sendto(self, data: bytes, address: typing.Any) -> int:
        """Record a datagram."""
        self.sent.append((data, address))
        return len(data)


class ScriptedHandler:
    """A packet handler that returns preset actions and records the events."""

    def __init__(self) -> None:
        self.actions: list[events.Action] = []
        self.events: list[events.Event] = []

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Record an event and return the preset actions."""
        self.events.append(event)
        return self.actions


class PathFixture(typing.NamedTuple):
    """A packet path with its scripted handler and recording sockets."""

    packet_path: datagrams.Datagrams
    handler: ScriptedHandler
    recorder: Recorder


@pytest.fixture
def path_fixture() -> PathFixture:
    """Return a packet path that listens for one service and has one peer."""
    handler, recorder = ScriptedHandler(), Recorder()
    packet_path = datagrams.Datagrams(handler, KEY, "127.0.0.1", recorder, lambda: 1.0)
    packet_path.open_listener("booking", ("127.0.0.1", 9_001))
    packet_path.open_peer_port(("127.0.0.1", 7_001))
    packet_path.add_peers({"entry-2": "127.0.0.1:7002"})
    return PathFixture(packet_path, handler, recorder)


def test_upstream_port_accepts_only_the_upstreams_it_sent_to(
    path_fixture: PathFixture,
) -> None:
    """Guard against forwarding a datagram from an unknown sender to a caller."""
    path_fixture.handler.actions = [SEND]
    path_fixture.packet_path.receive_caller(
        "booking",
        quicbuilders.build_datagram("initial"),
        CALLER,
    )
    upstream_port = path_fixture.packet_path.upstream_ports["booking", 3]
    path_fixture.handler.actions = [
        events.SendCaller("booking", relay.pack_flow(CALLER))
    ]
    upstream_port.datagramReceived(b"\x40" * 100, UNKNOWN_SENDER)
    upstream_port.datagramReceived(b"\x41" * 100, UPSTREAM)
    assert [address for _, address in path_fixture.recorder.sent] == [UPSTREAM, CALLER]
    assert path_fixture.packet_path.counts["dropped", "upstream_address"] == 1
    response = events.UpstreamPacket("booking", "booking-1", 3, True)
    assert path_fixture.handler.events[1:] == [response]


def test_peer_port_accepts_only_peers(path_fixture: PathFixture) -> None:
    """Guard against forged control messages and relays that change ownership."""
    data = quicbuilders.build_datagram("initial")
    flow = relay.pack_flow(CALLER)
    relayed = relay.encode_relay(relay.RelayedDatagram("booking", flow, data), KEY)
    forged = relay.encode_relay(
        relay.RelayedDatagram("booking", flow, data), b"other" * 4
    )
    unknown_service = relay.encode_relay(
        relay.RelayedDatagram("sheets", flow, data), KEY
    )
    control = bytes((relay.CONTROL,)) + b"message"
    for payload, source in (
        (relayed, UNKNOWN_SENDER),
        (control, UNKNOWN_SENDER),
        (forged, PEER),
        (unknown_service, PEER),
        (b"", PEER),
    ):
        path_fixture.packet_path.receive_peer(payload, source)
    assert path_fixture.handler.events == []
    path_fixture.packet_path.receive_peer(relayed, PEER)
    path_fixture.packet_path.receive_peer(control, PEER)
    first, second = path_fixture.handler.events
    assert isinstance(first, events.RelayedPacket)
    assert (first.peer, first.service, first.flow) == ("entry-2", "booking", flow)
    assert second == events.PeerMessage("entry-2", b"message")


def test_relay_keeps_flow_service_and_datagram(path_fixture: PathFixture) -> None:
    """Guard against a relay that loses the flow, the service or the datagram."""
    path_fixture.handler.actions = [events.SendOwner("entry-2")]
    data = quicbuilders.build_datagram("short")
    path_fixture.packet_path.receive_caller("booking", data, CALLER)
    (framed, address), *_ = path_fixture.recorder.sent
    assert address == PEER
    expected = relay.RelayedDatagram("booking", relay.pack_flow(CALLER), data)
    assert relay.decode_relay(framed, KEY) == expected


def test_early_data_is_not_forwarded(path_fixture: PathFixture) -> None:
    """Guard against forwarding 0-RTT data, which may hold a request."""
    path_fixture.handler.actions = [SEND]
    data = quicbuilders.build_datagram("initial", "early")
    path_fixture.packet_path.receive_caller("booking", data, CALLER)
    alone = quicbuilders.build_datagram("early")
    path_fixture.packet_path.receive_caller("booking", alone, CALLER)
    assert len(path_fixture.recorder.sent) == 1
    assert path_fixture.recorder.sent[0][0] != data
    assert path_fixture.packet_path.counts["dropped", "early_data"] == 2


@pytest.mark.parametrize(
    "count", [8, datagrams.MAX_PEERS * 3 // 4, datagrams.MAX_PEERS + 5]
)
def test_peers_are_dropped_only_above_the_limit(
    path_fixture: PathFixture, count: int
) -> None:
    """Guard against balancers of a large fleet that no longer accept each other."""
    peers = {f"entry-{number}": f"127.0.0.1:{number + 1}" for number in range(count)}
    path_fixture.packet_path.add_peers(peers)
    kept = min(len({"entry-2", *peers}), datagrams.MAX_PEERS)
    assert len(path_fixture.packet_path.peers) == kept
