"""Data path of a node: openings, known flows, relays and isolation."""

from pistachioshed.core import events
from tests import builders, fleets

TABLE = builders.build_table(fleets.SERVICE, 7)


def test_packets_of_a_flow_keep_their_upstream_and_port() -> None:
    """Guards against data or retransmitted openings that rebind a flow."""
    fleet = fleets.Fleet(TABLE)
    (_, first) = fleet.open([1])[1]
    fleet.edit(fleets.replace_row(TABLE, 0, weight=3.0))
    for packet in (fleets.build_data(1), fleets.build_opening(1)):
        assert fleet.send(fleets.FIRST, packet) == (fleets.FIRST, first)
    answer = events.UpstreamPacket(fleets.SERVICE, first.upstream, first.port)
    assert fleet.handle(fleets.FIRST, answer) == [
        events.SendCaller(fleets.SERVICE, b"flow-1")
    ]


def test_packet_is_relayed_once_to_the_owner() -> None:
    """Guards against relay loops and against binding where a flow is not owned."""
    fleet = fleets.Fleet(TABLE, 2)
    owners = [owner for owner, _ in fleet.open(range(100)).values()]
    assert 30 < owners.count("balancer-2") < 70
    held = {
        name: node.count_flows(fleets.SERVICE) for name, node in fleet.nodes.items()
    }
    assert held["balancer-2"] == owners.count("balancer-2")
    assert sum(held.values()) == 100
