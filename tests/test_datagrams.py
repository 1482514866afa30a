"""The packet path with scripted decisions and recorded sockets."""

import typing

import pytest

from pistachioshed.adapters import datagrams, relay
from pistachioshed.core import events
from tests import quicbuilders

KEY = b"k" * 32
CALLER = ("127.0.0.1", 40_000)
UPSTREAM = ("127.0.0.1", 20_001)
PEER = ("127.0.0.1", 7_002)
STRANGER = ("127.0.0.1", 6_666)
SEND = events.SendUpstream("booking", "booking-1", "127.0.0.1:20001", 3)


class Recorder:
    """A reactor, its transports and their socket handles in one; keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, typing.Any]] = []

    def listenUDP(self, number: int, port: typing.Any, interface: str) -> "Recorder":
        """Attach a port."""
        port.transport = self
        return self

    def getHandle(self) -> "Recorder":
        """Return the socket."""
        return self

    def setsockopt(self, *values: int) -> None:
        """Accept an option."""

    def sendto(self, data: bytes, address: typing.Any) -> int:
        """Keep a datagram."""
        self.sent.append((data, address))
        return len(data)


class Script:
    """Decides what it is told to, and keeps the events."""

    def __init__(self) -> None:
        self.actions: list[events.Action] = []
        self.events: list[events.Event] = []

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Keep an event."""
        self.events.append(event)
        return self.actions


class Bench(typing.NamedTuple):
    """A packet path between a script and a recorder."""

    path: datagrams.Datagrams
    script: Script
    recorder: Recorder


@pytest.fixture
def bench() -> Bench:
    """Return a path that listens for one service and knows one peer."""
    script, recorder = Script(), Recorder()
    path = datagrams.Datagrams(script, KEY, "127.0.0.1", recorder, lambda: 1.0)
    path.open_listener("booking", ("127.0.0.1", 9_001))
    path.open_peer_port(("127.0.0.1", 7_001))
    path.add_peers({"entry-2": "127.0.0.1:7002"})
    return Bench(path, script, recorder)


def test_slot_accepts_only_the_upstream_that_it_was_used_for(bench: Bench) -> None:
    """Guards against a stranger's datagram that reaches a caller."""
    bench.script.actions = [SEND]
    bench.path.receive_caller(
        "booking",
        quicbuilders.build_datagram("initial"),
        CALLER,
    )
    slot = bench.path.slots["booking", 3]
    bench.script.actions = [events.SendCaller("booking", relay.pack_flow(CALLER))]
    slot.datagramReceived(b"\x40" * 100, STRANGER)
    slot.datagramReceived(b"\x41" * 100, UPSTREAM)
    assert [address for _, address in bench.recorder.sent] == [UPSTREAM, CALLER]
    assert bench.path.counts["dropped", "upstream_address"] == 1
    answer = events.UpstreamPacket("booking", "booking-1", 3, True)
    assert bench.script.events[1:] == [answer]


def test_peer_port_accepts_only_peers(bench: Bench) -> None:
    """Guards against a forged control message or relay that changes ownership."""
    data = quicbuilders.build_datagram("initial")
    flow = relay.pack_flow(CALLER)
    relayed = relay.encode_relay(relay.Relayed("booking", flow, data), KEY)
    forged = relay.encode_relay(relay.Relayed("booking", flow, data), b"other" * 4)
    crossed = relay.encode_relay(relay.Relayed("sheets", flow, data), KEY)
    control = bytes((relay.CONTROL,)) + b"message"
    for payload, source in (
        (relayed, STRANGER),
        (control, STRANGER),
        (forged, PEER),
        (crossed, PEER),
        (b"", PEER),
    ):
        bench.path.receive_peer(payload, source)
    assert bench.script.events == []
    bench.path.receive_peer(relayed, PEER)
    bench.path.receive_peer(control, PEER)
    first, second = bench.script.events
    assert isinstance(first, events.RelayedPacket)
    assert (first.peer, first.service, first.flow) == ("entry-2", "booking", flow)
    assert second == events.PeerMessage("entry-2", b"message")


def test_owner_gets_what_the_caller_sent(bench: Bench) -> None:
    """Guards against a relay that loses the flow, the service or the datagram."""
    bench.script.actions = [events.SendOwner("entry-2")]
    data = quicbuilders.build_datagram("short")
    bench.path.receive_caller("booking", data, CALLER)
    (framed, address), *_ = bench.recorder.sent
    assert address == PEER
    expected = relay.Relayed("booking", relay.pack_flow(CALLER), data)
    assert relay.decode_relay(framed, KEY) == expected


def test_early_data_is_not_forwarded(bench: Bench) -> None:
    """Guards against a request that travels with an opening."""
    bench.script.actions = [SEND]
    data = quicbuilders.build_datagram("initial", "early")
    bench.path.receive_caller("booking", data, CALLER)
    alone = quicbuilders.build_datagram("early")
    bench.path.receive_caller("booking", alone, CALLER)
    assert len(bench.recorder.sent) == 1
    assert bench.recorder.sent[0][0] != data
    assert bench.path.counts["dropped", "early_data"] == 2
