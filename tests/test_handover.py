"""Handovers before a join and flushes before a leave."""

import math

import pytest

from pistachioshed.core import (
    membership,
    replication,
    settings,
    wire,
)
from tests import fakes
from tests import replicationbuilders as build


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_handover_precedes_the_join(loss: float) -> None:
    """Guard against a new owner that sends flows with an override to their home.

    At 20 bytes/s the handover is in time only because it uses the burst budget.
    """
    network = fakes.Network(5, 8)
    network.start_all(replication_bytes_per_s=20)
    del network.peers["entry-006"]
    network.run(10)
    build.put_all(network)
    network.loss = loss
    joining_node = network.start("entry-006")
    network.run(10, lambda: joining_node.lifecycle.state == "active")
    moved = [
        flow for flow in build.FLOWS if build.choose_owner(network, flow) == "entry-006"
    ]
    assert len(moved) > 400
    assert not [
        f for f in moved if joining_node.replicator.find(build.SERVICE, f) is None
    ]


def test_join_ends_without_a_handover_from_a_silent_owner() -> None:
    """Guard against a join that waits for one silent owner without a limit."""
    network = fakes.Network(6, 8)
    network.start_all()
    del network.peers["entry-006"]
    network.run(10)
    network.cut = {("entry-001", "entry-006")}
    joining_node = network.start("entry-006")
    elapsed_s = network.run(20, lambda: joining_node.lifecycle.state == "active")
    assert 4.0 < elapsed_s < 6.0


def test_join_waits_for_a_table() -> None:
    """Guard against an owner without a table, which can not place a flow."""
    network = fakes.Network(6, 1)
    joining_node = network.start("entry-000")
    joining_node.table_known = False
    network.run(10)
    assert joining_node.lifecycle.state == "joining"
    joining_node.table_known = True
    assert network.run(10, lambda: joining_node.lifecycle.state == "active") < 0.5


def test_join_waits_for_the_tables_of_the_joining_node() -> None:
    """Guard against flows that were placed by a table the joining node lacks."""
    replicator = replication.Replicator(settings.Settings("c", "zone-0"))
    replicator.set_view(membership.View(1, (membership.Member("a", "", 1.0),)), 0.0)
    replicator.begin_handover(0.0)
    replicator.mark_complete(build.SERVICE, 3)
    session = replicator.handover_sessions.own_number
    for version in (2, 3):
        done = wire.HandoverDone(session, 1, {build.SERVICE: version})
        replicator.handle("a", done, 0.1)
        assert replicator.is_handed_over() == (version == 3)


def test_flush_precedes_the_leave() -> None:
    """Guard against a planned stop that loses overrides or drops open flows."""
    network = fakes.Network(7, 8)
    network.start_all(replication_bytes_per_s=100)
    flows = build.put_owned(network, "entry-003", 500)
    leaving_node = network.peers["entry-003"]
    leaving_node.open_flows = 1
    leaving_node.lifecycle.request_stop(network.now)
    others = [name for name in network.peers if name != "entry-003"]
    elapsed_s = network.run(10, lambda: not network.agree(others, network.peers))
    assert elapsed_s < 4.0
    assert not build.find_missing(network, flows, "entry-003")
    network.run(10)
    assert leaving_node.lifecycle.state == "leaving"
    leaving_node.open_flows = 0
    network.run(1)
    assert leaving_node.lifecycle.finished
    assert network.agree(others, others)


def test_leave_ends_at_its_timeout() -> None:
    """Guard against a stop that never ends because of one idle flow."""
    network = fakes.Network(8, 2)
    leaving_node = network.start_all()[0]
    leaving_node.open_flows = 1
    leaving_node.lifecycle.request_stop(network.now)
    elapsed_s = network.run(60, lambda: leaving_node.lifecycle.finished)
    assert math.isclose(elapsed_s, 30.0, abs_tol=1.0)
