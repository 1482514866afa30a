"""Tests of a node's data path: openings, known flows, relays and isolation."""

import random

import pytest

from pistachioshed.core import events, node, settings
from tests import builders, nodefleet

TABLE = builders.build_table(nodefleet.SERVICE, 7)
OTHER = builders.build_table("sheets", 2)


def test_packets_of_a_flow_keep_their_upstream_and_port() -> None:
    """Guard against data or retransmitted openings that rebind a flow."""
    fleet = nodefleet.Fleet(TABLE)
    placed = fleet.open(range(50))
    fleet.edit(nodefleet.replace_row(TABLE, 0, weight=9.0))
    for number, place in placed.items():
        for packet in (nodefleet.build_data(number), nodefleet.build_opening(number)):
            assert fleet.send(nodefleet.FIRST, packet) == place
        answer = events.UpstreamPacket(
            nodefleet.SERVICE, place[1].upstream, place[1].port
        )
        assert fleet.handle(nodefleet.FIRST, answer) == [
            events.SendCaller(nodefleet.SERVICE, b"flow-%d" % number)
        ]


# The periodic report failed each second until the first table arrived.
def test_a_node_without_tables_can_be_described() -> None:
    """Guard against a balancer whose metrics are missing until it has a table."""
    config = settings.Settings(nodefleet.FIRST, "riga-a", key=b"key")
    started = node.Node(config, 1)
    assert not started.is_settled(nodefleet.SERVICE, 1_000.0)
    assert started.count_flows(nodefleet.SERVICE) == 0
    assert started.versions == {}


def test_packet_is_relayed_once_to_the_owner() -> None:
    """Guard against relay loops and against binding where a flow is not owned."""
    fleet = nodefleet.Fleet(TABLE, 2)
    owners = [owner for owner, _ in fleet.open(range(100)).values()]
    assert 30 < owners.count("balancer-2") < 70
    held = [node.count_flows(nodefleet.SERVICE) for node in fleet.nodes.values()]
    assert held == [owners.count("balancer-1"), owners.count("balancer-2")]


def test_new_opening_id_is_a_new_connection() -> None:
    """Guard against a late copy of an old opening that replaces a newer connection."""
    fleet = nodefleet.Fleet(TABLE)
    (_, old) = fleet.open([1])[1]
    drained = next(
        i for i, row in enumerate(TABLE.rows) if row.upstream == old.upstream
    )
    fleet.edit(nodefleet.replace_row(TABLE, drained, state="drain"))
    _, new = fleet.send(nodefleet.FIRST, nodefleet.build_opening(1, opening_id=2))
    assert isinstance(new, events.SendUpstream)
    assert new.upstream != old.upstream
    _, late = fleet.send(nodefleet.FIRST, nodefleet.build_opening(1, opening_id=1))
    assert late == events.DropPacket("superseded opening")
    assert fleet.send(nodefleet.FIRST, nodefleet.build_data(1))[1] == new
    # The old port stays unbound, so a late response is dropped.
    answer = events.UpstreamPacket(nodefleet.SERVICE, old.upstream, old.port)
    assert fleet.handle(nodefleet.FIRST, answer) == [events.DropPacket("unbound port")]


def test_refused_opening_is_refused_again() -> None:
    """Guard against running a request that was refused as not run."""
    rows = tuple(row._replace(connections=2) for row in TABLE.rows)
    fleet = nodefleet.Fleet(TABLE._replace(rows=rows), flow_idle_s=600.0)
    fleet.open(range(14))
    opening = nodefleet.build_opening(99)
    refusal = events.RefuseOpening("no upstream admits the flow", not_run=True)
    assert fleet.send(nodefleet.FIRST, opening)[1] == refusal
    fleet.handle(nodefleet.FIRST, events.FlowClosed(nodefleet.SERVICE, b"flow-3"))
    assert fleet.send(nodefleet.FIRST, opening)[1] == refusal
    data = fleet.send(nodefleet.FIRST, nodefleet.build_data(99))[1]
    assert data == events.DropPacket("refused flow")
    retry = fleet.send(nodefleet.FIRST, nodefleet.build_opening(99, opening_id=2))[1]
    assert isinstance(retry, events.SendUpstream)
    fleet.handle(nodefleet.FIRST, events.FlowClosed(nodefleet.SERVICE, b"flow-99"))
    fleet.advance(31.0)
    assert isinstance(fleet.send(nodefleet.FIRST, opening)[1], events.SendUpstream)


def test_data_is_never_refused_for_a_full_upstream() -> None:
    """Guard against refusing a request that may have run."""
    rows = tuple(row._replace(connections=0) for row in TABLE.rows)
    fleet = nodefleet.Fleet(TABLE._replace(rows=rows))
    assert len(fleet.find_upstreams(range(20))) == 20


def test_addresses_of_services_are_disjoint() -> None:
    """Guard against sending a packet of one service to another's upstream."""
    fleet = nodefleet.Fleet(TABLE)
    conflicting = OTHER.rows[0]._replace(address=TABLE.rows[0].address)
    for _ in range(3):
        table = OTHER._replace(rows=(conflicting,))
        fleet.handle(nodefleet.FIRST, events.TableReceived(table))
    refused = [notice for notice in fleet.notices if notice.name == "table refused"]
    assert len(refused) == 1
    assert "sheets" not in fleet.nodes[nodefleet.FIRST].versions
    without_row = TABLE._replace(version=2, rows=TABLE.rows[1:])
    fleet.edit(without_row)
    fleet.advance(1.0)
    fleet.handle(nodefleet.FIRST, events.TableReceived(table))
    assert fleet.nodes[nodefleet.FIRST].versions["sheets"] == 1


def test_removed_row_is_not_reached_through_an_old_generation() -> None:
    """Guard against data sent to a removed row whose address another service uses."""
    fleet = nodefleet.Fleet(TABLE)
    fleet.edit(TABLE._replace(version=2, rows=TABLE.rows[1:]))
    fleet.advance(1.0)
    reused_row = OTHER.rows[0]._replace(address=TABLE.rows[0].address)
    other = OTHER._replace(rows=(reused_row,))
    fleet.handle(nodefleet.FIRST, events.TableReceived(other))
    kept = fleet.nodes[nodefleet.FIRST].services[nodefleet.SERVICE]
    kept.overrides.find = lambda service, flow: TABLE.rows[0].upstream  # type: ignore[method-assign]
    upstreams = fleet.find_upstreams(range(50)).values()
    assert TABLE.rows[0].upstream not in upstreams


def test_rows_that_share_a_name_or_an_address_share_ports() -> None:
    """Guard against one caller's response reaching another after a renamed row."""
    fleet = nodefleet.Fleet(TABLE._replace(rows=TABLE.rows[:1]))
    (_, first) = fleet.open([1])[1]
    moved = TABLE.rows[0]._replace(address="127.0.0.9:1")
    renamed = TABLE.rows[0]._replace(upstream="new")
    for version, row in ((2, moved), (3, renamed)):
        fleet.edit(TABLE._replace(version=version, rows=(row,)))
        (_, other) = fleet.open([version])[version]
        assert other.port != first.port
    assert fleet.send(nodefleet.FIRST, nodefleet.build_data(1))[1] == first


def test_table_versions_only_rise() -> None:
    """Guard against an old table that reverts an edit."""
    fleet = nodefleet.Fleet(TABLE._replace(version=5))
    for version in (4, 5):
        fleet.edit(TABLE._replace(version=version, rows=TABLE.rows[:1]))
    places = [action.upstream for _, action in fleet.open(range(50)).values()]
    assert len(set(places)) > 3
    assert [notice.name for notice in fleet.notices].count("table in force") == 1


def test_released_port_is_reused_late() -> None:
    """Guard against a late response that reaches the next caller on its port."""
    table = TABLE._replace(rows=TABLE.rows[:1])
    fleet = nodefleet.Fleet(table, ports_per_upstream=3)
    ports = [action.port for _, action in fleet.open(range(2)).values()]
    fleet.handle(nodefleet.FIRST, events.FlowClosed(nodefleet.SERVICE, b"flow-0"))
    fleet.advance(4.0)
    ports.append(fleet.open([2])[2][1].port)
    assert len(set(ports)) == 3
    fleet.handle(nodefleet.FIRST, events.FlowClosed(nodefleet.SERVICE, b"flow-1"))
    assert fleet.open([3])[3][1].port == ports[0]
    _, action = fleet.send(nodefleet.FIRST, nodefleet.build_opening(4))
    assert isinstance(action, events.RefuseOpening)


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        (nodefleet.build_data(1)._replace(service="none"), "unknown service"),
        (events.UpstreamPacket("none", "booking-1", 0), "unknown service"),
        (events.UpstreamPacket(nodefleet.SERVICE, "none", 0), "unbound port"),
        (events.UpstreamPacket(nodefleet.SERVICE, "booking-1", 0), "unbound port"),
        (events.UpstreamPacket(nodefleet.SERVICE, "booking-1", -1), "unbound port"),
        (events.RelayedPacket("stranger", *nodefleet.build_opening(1)), "unknown peer"),
        (events.PeerMessage("balancer-2", b"\x01forged"), "invalid control message"),
        (events.PeerMessage("balancer-2", b""), "invalid control message"),
    ],
)
def test_unwanted_packet_is_dropped_and_counted(
    event: events.Event, reason: str
) -> None:
    """Guard against raised errors, uncounted drops and packets sent elsewhere."""
    fleet = nodefleet.Fleet(TABLE, spare=1)
    assert fleet.handle(nodefleet.FIRST, event) == [events.DropPacket(reason)]
    assert fleet.nodes[nodefleet.FIRST].drops[reason] == 1


def test_idle_flow_expires_and_an_active_one_stays() -> None:
    """Guard against leaked flows, and against expiring a flow that only receives."""
    fleet = nodefleet.Fleet(TABLE)
    placed = fleet.open(range(2))
    (_, kept) = placed[1]
    for _ in range(14):
        fleet.advance(5.0)
        packet = events.UpstreamPacket(nodefleet.SERVICE, kept.upstream, kept.port)
        fleet.handle(nodefleet.FIRST, packet)
    state = fleet.nodes[nodefleet.FIRST].services[nodefleet.SERVICE]
    assert list(state.flow_table.flows) == [b"flow-1"]
    assert (
        sum(upstream.load.open_flows for upstream in state.pool.upstreams.values()) == 1
    )


def test_pause_of_the_process_ends_no_flow() -> None:
    """Guard against expiring flows whose packets are still in the socket buffers."""
    fleet = nodefleet.Fleet(TABLE)
    fleet.open(range(20))
    fleet.now += 90.0
    fleet.advance(2.0)
    assert fleet.nodes[nodefleet.FIRST].count_flows(nodefleet.SERVICE) == 20


@pytest.mark.parametrize("strict", [False, True])
def test_any_sequence_of_events_is_handled(strict: bool) -> None:
    """Guard against raised errors and wrong counters under combined changes."""
    rng = random.Random(7)
    fleet = nodefleet.Fleet(TABLE, 3, openings_carry_requests=strict, flow_idle_s=3.0)
    version = 1
    for _ in range(6_000):
        name = rng.choice(list(fleet.nodes))
        number = rng.randrange(200)
        match rng.randrange(12):
            case 0:
                version += 1
                rows = rng.sample(TABLE.rows, rng.randint(0, 7))
                table = TABLE._replace(version=version, rows=tuple(rows))
                fleet.handle(name, events.TableReceived(table))
            case 1:
                ok, draining = rng.random() < 0.5, rng.random() < 0.2
                upstream = rng.choice(TABLE.rows).upstream
                probe = events.ProbeReported(nodefleet.SERVICE, upstream, ok, draining)
                fleet.handle(name, probe)
            case 2:
                flow = b"flow-%d" % number
                fleet.handle(name, events.FlowClosed(nodefleet.SERVICE, flow))
            case 3:
                fleet.advance(rng.choice((0.1, 1.0)))
            case 4 | 5 | 6:
                fleet.send(name, nodefleet.build_opening(number, rng.randrange(1, 4)))
            case 7:
                upstream = rng.choice(TABLE.rows).upstream
                port = rng.randrange(40)
                fleet.handle(
                    name, events.UpstreamPacket(nodefleet.SERVICE, upstream, port)
                )
            case _:
                fleet.send(name, nodefleet.build_data(number))
    for member in fleet.nodes.values():
        state = member.services[nodefleet.SERVICE]
        upstreams = {*state.pool.upstreams.values(), *state.pool.retired}
        held = state.flow_table.flows.values()
        assert sum(upstream.load.open_flows for upstream in upstreams) == len(held)
        assert {
            flow.upstream.ports[flow.port] is flow and flow.upstream in upstreams
            for flow in held
        } <= {True}
        waiting = sum(flow.requested_at is not None for flow in held)
        assert sum(upstream.load.waiting for upstream in upstreams) == waiting
