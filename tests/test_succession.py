"""Flows keep their upstream when balancers and tables change."""

import pytest

from pistachioshed.core import events, node, settings, tables
from tests import builders, nodefleet

TABLE = builders.build_table(nodefleet.SERVICE, 7)
FLOWS = range(300)
DRAINED = nodefleet.replace_row(TABLE, 2, state="drain")
REMOVED = TABLE._replace(version=2, rows=TABLE.rows[:2] + TABLE.rows[3:])
LIGHTER = nodefleet.replace_row(TABLE, 2, weight=0.2)


def open_all_flows(fleet: nodefleet.Fleet) -> dict[int, str]:
    """Open all flows and return their upstreams."""
    return {number: act.upstream for number, (_, act) in fleet.open(FLOWS).items()}


def test_flows_survive_the_death_of_their_owner() -> None:
    """Guard against overrides that the successor does not look up."""
    fleet = nodefleet.Fleet(TABLE, 4)
    upstreams = open_all_flows(fleet)
    fleet.advance(10.0)
    del fleet.nodes["balancer-2"]
    fleet.advance(4.0)
    assert fleet.find_upstreams(FLOWS) == upstreams


def test_flows_survive_a_death_after_an_edit() -> None:
    """Guard against using the newest home for a flow older than the table."""
    fleet = nodefleet.Fleet(TABLE, 4)
    upstreams = open_all_flows(fleet)
    fleet.edit(LIGHTER)
    fleet.advance(10.0)
    del fleet.nodes["balancer-2"]
    fleet.advance(4.0)
    assert fleet.find_upstreams(FLOWS) == upstreams


@pytest.mark.parametrize("wait_s", [0.0, 0.1, 0.6, 2.0])
@pytest.mark.parametrize("weight", [0.2, 5.0])
def test_flows_survive_a_death_at_any_time_after_an_edit(
    wait_s: float, weight: float
) -> None:
    """Guard against overrides that are removed before the successor has the table.

    Half of the flows are opened under the new table, just before the death.
    """
    fleet = nodefleet.Fleet(TABLE, 4)
    upstreams = {n: act.upstream for n, (_, act) in fleet.open(range(150)).items()}
    fleet.advance(5.0)
    fleet.edit(nodefleet.replace_row(TABLE, 2, weight=weight))
    fleet.advance(wait_s)
    upstreams |= {
        n: act.upstream for n, (_, act) in fleet.open(range(150, 200)).items()
    }
    del fleet.nodes["balancer-2"]
    fleet.advance(4.0)
    assert fleet.find_upstreams(range(200)) == upstreams


def test_overrides_are_sent_with_the_opening() -> None:
    """Guard against flows that break if their owner dies soon after the opening."""
    fleet = nodefleet.Fleet(TABLE, 4)
    upstreams = {n: act.upstream for n, (_, act) in fleet.open(range(120)).items()}
    owner = fleet.nodes["balancer-2"]
    assert any(
        f.has_override for f in owner.services["booking"].flow_table.flows.values()
    )
    del fleet.nodes["balancer-2"]
    fleet.advance(4.0)
    assert fleet.find_upstreams(range(120)) == upstreams


def test_flows_survive_a_death_during_an_edit() -> None:
    """Guard against the newest home for an owner that has not completed the table."""
    fleet = nodefleet.Fleet(TABLE, 4)
    upstreams = open_all_flows(fleet)
    fleet.advance(10.0)
    del fleet.nodes["balancer-2"]
    fleet.edit(LIGHTER)
    fleet.advance(4.0)
    assert fleet.find_upstreams(FLOWS) == upstreams


def test_flows_survive_a_planned_leave() -> None:
    """Guard against a stop that interrupts flows or never ends."""
    fleet = nodefleet.Fleet(TABLE, 4)
    upstreams = open_all_flows(fleet)
    fleet.advance(1.0)
    fleet.handle("balancer-2", events.StopRequested())
    for _ in range(12):
        fleet.advance(0.5)
        assert fleet.find_upstreams(FLOWS) == upstreams
    assert fleet.finished == ["balancer-2"]
    del fleet.nodes["balancer-2"]
    fleet.advance(4.0)
    assert fleet.find_upstreams(FLOWS) == upstreams


def test_leaving_node_waits_for_a_response() -> None:
    """Guard against a stop that interrupts a request in progress."""
    fleet = nodefleet.Fleet(TABLE, 2)
    fleet.open(range(1))
    owner, action = fleet.send(nodefleet.FIRST, nodefleet.build_data(0))
    assert isinstance(action, events.SendUpstream)
    fleet.handle(owner, events.StopRequested())
    fleet.advance(8.0)
    assert fleet.finished == []
    answer = events.UpstreamPacket(nodefleet.SERVICE, action.upstream, action.port)
    assert len(fleet.handle(owner, answer)) == 1
    fleet.advance(4.0)
    assert fleet.finished == [owner]


@pytest.mark.parametrize("flushed", [True, False])
def test_leaving_node_relays_packets(
    flushed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a leave that ends late, or before its overrides are replicated."""
    fleet = nodefleet.Fleet(TABLE, 3)
    number = next(
        n for n, (owner, _) in fleet.open(range(50)).items() if owner == nodefleet.FIRST
    )
    (bound,) = fleet.handle(nodefleet.FIRST, nodefleet.build_data(number))
    replicator = fleet.nodes[nodefleet.FIRST].peering.replicator
    monkeypatch.setattr(replicator, "is_flushed", lambda: flushed)
    fleet.handle(nodefleet.FIRST, events.StopRequested())
    fleet.advance(0.5 if flushed else 5.5)
    (direct,) = fleet.handle(nodefleet.FIRST, nodefleet.build_data(number))
    assert isinstance(direct, events.SendOwner) == flushed
    for peer in ("balancer-2", "balancer-3"):
        relayed = events.RelayedPacket(peer, *nodefleet.build_data(number))
        # A packet relayed by the successor itself is forwarded, not relayed back.
        is_passed_on = flushed and direct != events.SendOwner(peer)
        (action,) = fleet.handle(nodefleet.FIRST, relayed)
        assert action == (direct if is_passed_on else bound)
    fleet.send(nodefleet.FIRST, nodefleet.build_data(number))
    fleet.advance(4.0)
    assert (fleet.finished == [nodefleet.FIRST]) == flushed


def test_flows_survive_a_join() -> None:
    """Guard against a new owner that places established flows again."""
    fleet = nodefleet.Fleet(TABLE, 3, spare=1)
    upstreams = open_all_flows(fleet)
    fleet.edit(LIGHTER)
    fleet.advance(1.0)
    fleet.start("balancer-4")
    for _ in range(16):
        fleet.advance(0.5)
        assert fleet.find_upstreams(FLOWS) == upstreams
    assert fleet.nodes["balancer-4"].count_flows(nodefleet.SERVICE) > 0


def test_former_owner_drops_a_replaced_connection() -> None:
    """Guard against data of a new connection that uses a former owner's binding."""
    fleet = nodefleet.Fleet(TABLE, 1, spare=1)
    upstreams = open_all_flows(fleet)
    fleet.start("balancer-2")
    fleet.advance(8.0)
    fleet.edit(DRAINED)
    unused_upstream = TABLE.rows[2].upstream
    replaced = 0
    for number in (
        n for n, upstream in upstreams.items() if upstream == unused_upstream
    ):
        opening = nodefleet.build_opening(number, opening_id=2)
        owner, action = fleet.send(nodefleet.FIRST, opening)
        replaced += owner == "balancer-2"
        assert fleet.send(nodefleet.FIRST, nodefleet.build_data(number)) == (
            owner,
            action,
        )
    assert replaced > 5


def test_frozen_balancer_resumes_with_its_bindings() -> None:
    """Guard against a resumed node that sends flows elsewhere than its successor."""
    fleet = nodefleet.Fleet(TABLE, 4)
    upstreams = open_all_flows(fleet)
    fleet.advance(10.0)
    frozen = fleet.nodes.pop("balancer-2")
    fleet.advance(4.0)
    assert fleet.find_upstreams(FLOWS) == upstreams
    fleet.nodes["balancer-2"] = frozen
    for _ in range(8):
        assert fleet.find_upstreams(FLOWS) == upstreams
        fleet.advance(0.5)


@pytest.mark.parametrize("edited", [DRAINED, REMOVED], ids=["drained", "removed"])
def test_flows_survive_the_end_of_their_row(edited: tables.Table) -> None:
    """Guard against new flows on a row out of use, and against ending its old flows."""
    fleet = nodefleet.Fleet(TABLE, 3)
    upstreams = open_all_flows(fleet)
    unused_upstream = TABLE.rows[2].upstream
    assert unused_upstream in upstreams.values()
    fleet.edit(edited)
    fleet.advance(10.0)
    later = fleet.open(range(1_000, 1_200))
    assert unused_upstream not in {action.upstream for _, action in later.values()}
    del fleet.nodes["balancer-2"]
    fleet.advance(4.0)
    assert fleet.find_upstreams(FLOWS) == upstreams


def test_table_change_marks_its_version_complete_last() -> None:
    """Guard against a version marked complete before all its overrides are put."""
    fleet = nodefleet.Fleet(TABLE, flow_idle_s=600.0)
    service = fleet.nodes[nodefleet.FIRST].services[nodefleet.SERVICE]
    fleet.open(range(1_500))
    before = sum(flow.has_override for flow in service.flow_table.flows.values())
    fleet.edit(REMOVED)
    completed = fleet.nodes[nodefleet.FIRST].peering.replicator.completed
    fleet.advance(0.1)
    assert completed[nodefleet.SERVICE] == 1
    fleet.advance(0.3)
    assert completed[nodefleet.SERVICE] == 2
    moved = sum(flow.has_override for flow in service.flow_table.flows.values())
    assert moved >= before + 150


def test_opening_retransmitted_to_a_successor_keeps_its_upstream() -> None:
    """Guard against two upstreams that both take part in one handshake."""
    fleet = nodefleet.Fleet(TABLE, 4, settle_s=10.0)
    upstreams = open_all_flows(fleet)
    fleet.advance(10.0)
    del fleet.nodes["balancer-2"]
    fleet.advance(4.0)
    assert open_all_flows(fleet) == upstreams


def test_strict_openings_wait_until_settled() -> None:
    """Guard against running a request twice while nodes disagree on its home."""
    fleet = nodefleet.Fleet(TABLE, openings_carry_requests=True)
    fleet.edit(LIGHTER)
    unsettled = []
    for number in FLOWS:
        _, action = fleet.send(nodefleet.FIRST, nodefleet.build_opening(number))
        if action == events.DropPacket("home not settled"):
            unsettled.append(number)
    assert 10 < len(unsettled) < 100
    fleet.advance(3.1)
    fleet.open(unsettled)
    state = fleet.nodes[nodefleet.FIRST].services[nodefleet.SERVICE]
    assert not any(flow.has_override for flow in state.flow_table.flows.values())


def test_strict_refusal_is_never_reported_as_not_run() -> None:
    """Guard against a retry of a request that may have run elsewhere."""
    rows = tuple(row._replace(connections=0) for row in TABLE.rows)
    fleet = nodefleet.Fleet(TABLE._replace(rows=rows), openings_carry_requests=True)
    _, action = fleet.send(nodefleet.FIRST, nodefleet.build_opening(1))
    assert isinstance(action, events.RefuseOpening)
    assert not action.not_run


def test_flows_survive_a_leave_when_the_successors_skipped_a_version() -> None:
    """Guard against placing a leaving node's flows by a table that it never had."""
    fleet = nodefleet.Fleet(TABLE, 4)
    upstreams = open_all_flows(fleet)
    second = LIGHTER
    third = nodefleet.replace_row(second, 4, weight=0.2)
    fleet.handle("balancer-2", events.TableReceived(second))
    fleet.advance(2.0)
    for name in ("balancer-1", "balancer-3", "balancer-4"):
        fleet.handle(name, events.TableReceived(third))
    fleet.handle("balancer-2", events.StopRequested())
    for _ in range(12):
        fleet.advance(0.5)
        assert fleet.find_upstreams(FLOWS) == upstreams


def test_resumed_balancer_keeps_the_bindings_of_its_successors() -> None:
    """Guard against a second upstream for packets buffered while a node was frozen."""
    fleet = nodefleet.Fleet(TABLE, 4)
    fleet.advance(10.0)
    frozen = fleet.nodes.pop("balancer-2")
    fleet.advance(8.0)
    waiting = [nodefleet.build_opening(number) for number in FLOWS]
    waiting += [nodefleet.build_data(number) for number in FLOWS]
    upstreams = open_all_flows(fleet)
    fleet.nodes["balancer-2"] = frozen
    reached = {
        packet.flow: action.upstream
        for packet in waiting
        for action in frozen.handle(packet, fleet.now)
        if isinstance(action, events.SendUpstream)
    }
    assert not reached
    fleet.advance(1.5)
    for _ in range(8):
        assert fleet.find_upstreams(FLOWS) == upstreams
        fleet.advance(0.5)


def test_short_pause_drops_no_packets() -> None:
    """Guard against packets dropped after a pause too short for peers to detect."""
    fleet = nodefleet.Fleet(TABLE, 4)
    fleet.now += 1.0
    assert len(open_all_flows(fleet)) == len(FLOWS)


def test_previous_owner_is_asked_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a packet that is sent back to the balancer that relayed it."""
    balancer = node.Node(settings.Settings("entry-a", "riga-a"), 1)
    balancer.handle(events.TableReceived(builders.build_table("booking", 3)), 0.0)
    peering = balancer.peering
    monkeypatch.setattr(peering, "list_owners", lambda: ("entry-a", "entry-b"))
    monkeypatch.setattr(peering, "find_owner", lambda service, flow: "entry-a")
    monkeypatch.setattr(peering, "find_previous_owner", lambda service, flow: "entry-b")
    monkeypatch.setattr(peering.membership, "knows", lambda peer: True)
    packet = events.CallerPacket("booking", b"flow", events.PacketKind.DATA)
    assert balancer.handle(packet, 0.1) == [events.SendOwner("entry-b")]
    (action,) = balancer.handle(events.RelayedPacket("entry-b", *packet), 0.2)
    assert isinstance(action, events.SendUpstream)
