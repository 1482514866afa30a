"""Tests of the members' agreement on the owners."""

import pytest

from pistachioshed.core import events, memberrecords, membership, settings, wire
from tests import fakes

NAMES = tuple(f"entry-{n:03}" for n in range(8))
# A probe round of at most a second, a probe interval, the suspicion, and a margin.
DETECT_S = 5.0


@pytest.mark.parametrize("seed", range(4))
def test_death_is_detected_by_all(seed: int) -> None:
    """Guard against dead owners that stay in the view."""
    network = fakes.Network(seed, 8)
    network.start_all()
    assert network.agree(NAMES, NAMES)
    del network.peers["entry-003"]
    rest = [name for name in NAMES if name != "entry-003"]
    assert network.run(10, lambda: network.agree(rest, rest)) < DETECT_S


@pytest.mark.parametrize(("seed", "loss"), [(1, 0.05), (0, 0.4), (6, 0.4)])
def test_loss_removes_no_member(seed: int, loss: float) -> None:
    """Guard against a live owner removed because of lost pings, acks or refutations."""
    network = fakes.Network(seed, 8, loss)
    peers = network.start_all(15)
    numbers = [peer.membership.view.number for peer in peers]
    network.run(60)
    assert network.agree(NAMES, NAMES)
    assert [peer.membership.view.number for peer in peers] == numbers


def test_one_way_loss_raises_no_suspicion() -> None:
    """Guard against suspicions by a node when only its own pings are lost."""
    network = fakes.Network(2, 8)
    peers = network.start_all()
    incarnations = [peer.incarnation for peer in peers]
    network.cut = {("entry-000", "entry-001"), ("entry-002", "entry-003")}
    network.run(30)
    assert [peer.incarnation for peer in peers] == incarnations


@pytest.mark.parametrize(("frozen_s", "changes"), [(0.9, 0), (4.0, 1), (20.0, 1)])
def test_frozen_node_resumes_as_owner(frozen_s: float, changes: int) -> None:
    """Guard against a resumed node that stays dead or suspects the others."""
    for seed in range(4):
        network = fakes.Network(seed, 8)
        frozen, *others = network.start_all()
        frozen.is_frozen = True
        network.run(frozen_s)
        before = [(p.membership.view.number, p.incarnation) for p in others]
        frozen.is_frozen = False
        network.run(5)
        assert network.agree(NAMES, NAMES)
        after = [(p.membership.view.number, p.incarnation) for p in others]
        assert after == [(number + changes, same) for number, same in before]


def test_own_pause_raises_no_suspicion() -> None:
    """Guard against a resumed node that attributes its own pause to the others."""
    member = membership.Membership(settings.Settings("entry-000", "zone-0"), 1)
    member.update_vms([events.Vm("entry-001", "zone-0", "")], 0.0)
    claim = wire.Claim(1, memberrecords.ACTIVE, memberrecords.ALIVE, 1_000)
    member.handle("entry-001", wire.Gossip(claim), 0.0)
    record = member.member_table.members["entry-001"]
    member.tick(0.1)
    assert member.failure_detector.target == "entry-001"
    member.tick(5.0)
    assert record.claim.condition == memberrecords.ALIVE
    for tick in range(60):
        member.tick(5.0 + 0.1 * tick)
        if record.claim.condition == memberrecords.SUSPECT:
            break
    member.tick(20.0)
    assert record.claim.condition == memberrecords.SUSPECT


def test_healed_partition_rejoins() -> None:
    """Guard against sides of a partition that never reconnect."""
    network = fakes.Network(4, 8)
    network.start_all()
    left, right = NAMES[:3], NAMES[3:]
    network.cut_between(left, right)
    network.run(10)
    assert network.agree(left, left) and network.agree(right, right)
    network.cut.clear()
    assert network.run(10, lambda: network.agree(NAMES, NAMES)) < 4.0


@pytest.mark.parametrize("down_s", [0.1, 6.0])
def test_restart_with_state_lost_joins_again(down_s: float) -> None:
    """Guard against a replaced VM that is ignored because of its low incarnation.

    After 0.1 s the others still record the earlier run as active, after 6 s as dead.
    """
    network = fakes.Network(5, 8)
    network.start_all()
    del network.peers["entry-004"]
    network.run(down_s)
    again = network.start("entry-004")
    network.run(0.3)
    rest = [name for name in NAMES if name != "entry-004"]
    assert network.agree(rest, rest)
    assert network.run(10, lambda: again.lifecycle.state == "active") < 3.0
    network.run(1)
    assert network.agree(NAMES, NAMES)


def test_state_change_reaches_all_fast() -> None:
    """Guard against a long period in which nodes relay to different owners."""
    slowest = 0.0
    for seed in range(10):
        network = fakes.Network(seed, 8)
        peers = network.start_all()
        peers[0].membership.announce("leaving", network.now)
        took = network.run(5, lambda: network.agree(NAMES, NAMES[1:]))
        slowest = max(slowest, took)
    assert slowest <= 0.35


def test_vm_list_alone_removes_no_member() -> None:
    """Guard against an outdated or wrong VM list that removes owners."""
    network = fakes.Network(6, 8)
    peers = network.start_all()
    shorter = [vm._replace(leaving=vm.name == "entry-002") for vm in network.vms[:6]]
    for peer in peers:
        peer.membership.update_vms(shorter, network.now)
    network.run(10)
    assert network.agree(NAMES, NAMES)


def test_unlisted_peer_is_ignored() -> None:
    """Guard against a machine outside the VM list that becomes an owner."""
    member = membership.Membership(settings.Settings("entry-000", "zone-0"), 1)
    member.update_vms([events.Vm("entry-001", "zone-0", "")], 0.0)
    claim = wire.Claim(1, memberrecords.ACTIVE, memberrecords.ALIVE, 1_000)
    unlisted = wire.Update("entry-009", claim)
    assert not member.handle("entry-009", wire.Ping(1, 0, claim), 1.0)
    member.handle("entry-001", wire.Gossip(claim, (unlisted,)), 1.0)
    assert [owner.name for owner in member.view.members] == ["entry-001"]


def test_lost_update_is_repaired() -> None:
    """Guard against disagreement that lasts for a whole round of pings.

    Every copy of an update to one node was lost; the round takes 12 s.
    """
    network = fakes.Network(7, 24)
    members = network.start_all(20)[1].membership.member_table.members
    for name in list(members)[:10]:
        claim = members[name].claim
        members[name].claim = claim._replace(state=memberrecords.JOINING, incarnation=0)
    took = network.run(20, lambda: all(record.is_owner for record in members.values()))
    assert took < 3


def test_idle_traffic_is_small() -> None:
    """Guard against repeated updates or transfers without changes."""
    network = fakes.Network(8, 8)
    network.start_all(15)
    network.sent_bytes.clear()
    network.run(20)
    assert sum(network.sent_bytes.values()) / 20 / 8 < 250
