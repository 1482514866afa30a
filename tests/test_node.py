"""Data path of a node: openings, known flows, relays and isolation."""

import typing

from pistachioshed.core import events, node, settings
from tests import builders, fakes

ME = "balancer-1"


def build_node(
    parts: fakes.FakeParts, hosts: int = 7, **changes: typing.Any
) -> node.Node:
    """Return a node with one table and one tick done."""
    config = settings.Settings(ME, "riga-a")._replace(**changes)
    built = node.Node(config, 1, parts=parts)
    table = builders.build_table("booking", hosts)
    built.handle(events.TableReceived(table), 0.0)
    built.handle(events.Tick(), 0.0)
    return built


def build_opening(number: int, opening_id: int = 1) -> events.CallerPacket:
    """Return an opening of a numbered flow."""
    return events.CallerPacket(
        "booking", b"flow-%d" % number, events.PacketKind.OPENING, opening_id
    )


def build_data(number: int) -> events.CallerPacket:
    """Return a data packet of a numbered flow."""
    return events.CallerPacket("booking", b"flow-%d" % number, events.PacketKind.DATA)


def relay(packet: events.CallerPacket) -> events.RelayedPacket:
    """Return a packet as another balancer relays it."""
    return events.RelayedPacket("balancer-9", *packet)


def send(built: node.Node, event: events.Event, now: float = 1.0) -> events.Action:
    """Handle an event that must yield exactly one action."""
    (action,) = built.handle(event, now)
    return action


def test_packets_of_a_flow_keep_their_upstream_and_port() -> None:
    """Guards against data or retransmitted openings that rebind a flow."""
    built = build_node(fakes.FakeParts(ME))
    first = send(built, build_opening(1))
    assert isinstance(first, events.SendUpstream)
    assert send(built, build_data(1)) == first
    assert send(built, build_opening(1)) == first
    assert send(
        built, events.UpstreamPacket("booking", first.upstream, first.port)
    ) == events.SendCaller("booking", b"flow-1")


def test_packet_is_relayed_once_to_the_owner() -> None:
    """Guards against relay loops and against binding where a flow is not owned."""
    one = build_node(fakes.FakeParts(ME, "balancer-9"))
    relayed = [
        number
        for number in range(100)
        if send(one, build_opening(number)) == events.SendOwner("balancer-9")
    ]
    assert 30 < len(relayed) < 70
    for number in relayed:
        action = send(one, relay(build_opening(number)))
        assert isinstance(action, events.SendUpstream)
