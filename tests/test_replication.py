"""Replication of overrides to the next owners of their flows."""

import pytest

from pistachioshed.core import (
    channel,
    hashing,
    membership,
    receivedoverrides,
    replication,
    settings,
    wire,
)
from tests import fakes
from tests import replicationbuilders as build


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_overrides_reach_the_backup_within_budget(loss: float) -> None:
    """Guard against flows lost when their owner dies, and bursts above the budget."""
    network = fakes.Network(1, 8, loss)
    network.start_all()
    flows = build.put_owned(network, "entry-002", 400)
    network.peers["entry-002"].replicator.mark_complete(build.SERVICE, 3)
    network.sent_bytes.clear()
    elapsed_s = network.run(60, network.peers["entry-002"].replicator.is_flushed)
    sent = network.sent_bytes["entry-002", "replication"]
    assert sent <= 1_200 * (elapsed_s + 1) + channel.BATCH_MAX_BYTES
    assert not build.find_missing(network, flows, "entry-002")
    for name, peer in network.peers.items():
        expected = 3 if name != "entry-002" else 0
        assert peer.replicator.complete_through(build.SERVICE, "entry-002") == expected


def test_version_completes_after_all_its_overrides() -> None:
    """Guard against a version that is complete at a peer before its overrides.

    The successor would then send flows to their home although their overrides are still
    queued at the former owner.
    """
    network = fakes.Network(2, 2)
    owner, backup = (peer.replicator for peer in network.start_all())
    flows = build.put_owned(network, "entry-000", 1_500)
    owner.mark_complete(build.SERVICE, 2)
    late = b"late flow"
    owner.put(build.SERVICE, late, "booking-1")
    network.run(30, lambda: backup.find(build.SERVICE, late) is not None)
    assert backup.complete_through(build.SERVICE, "entry-000") == 0
    assert owner.pending() > 1_000
    network.run(
        60,
        lambda: backup.complete_through(build.SERVICE, "entry-000") > 0,
    )
    assert not build.find_missing(network, flows, "entry-000")


def test_removed_override_is_withdrawn() -> None:
    """Guard against a later flow of the same caller that gets an old upstream.

    The removals fill more than one batch, so that the removal of a flow that is put
    again could arrive after the new override.
    """
    network = fakes.Network(3, 2)
    network.start_all()
    flows = build.put_owned(network, "entry-001", 400)
    replicator = network.peers["entry-001"].replicator
    network.run(10, replicator.is_flushed)
    for flow in flows:
        replicator.remove(build.SERVICE, flow)
    replicator.put(
        build.SERVICE,
        flows[-1],
        build.choose_upstream(flows[-1]),
    )
    network.run(10, replicator.is_flushed)
    assert build.find_missing(network, flows, "entry-001") == flows[:-1]
    assert network.peers["entry-000"].replicator.received_overrides.count == 1


def test_view_change_moves_overrides_to_the_new_backup() -> None:
    """Guard against flows lost when their backup dies before their owner."""
    network = fakes.Network(4, 8)
    network.start_all()
    flows = build.put_owned(network, "entry-000", 300)
    network.run(30, network.peers["entry-000"].replicator.is_flushed)
    del network.peers["entry-005"]
    network.run(20)
    assert not build.find_missing(network, flows, "entry-000")
    network.start("entry-005")
    network.run(20)
    assert not build.find_missing(network, flows, "entry-000")


def test_version_completes_after_a_flow_put_again() -> None:
    """Guard against a version complete before a flow that left its version's queue."""
    queue = channel.Channel()
    for _ in range(2):
        for flow in build.FLOWS[:300]:
            queue.add(build.SERVICE, flow)
        queue.queue_completion(build.SERVICE, 2) if not queue.bulks else None
    completed = [queue.take(lambda _: "booking-1", 1_100).complete for _ in range(2)]
    assert completed == [0, 2]


def test_services_are_sent_in_turn() -> None:
    """Guard against new overrides of one service that delay versions of another."""
    queue = channel.Channel()
    queue.queue_completion("sheets", 2)
    versions = {}
    for flow in build.FLOWS[:10]:
        queue.add(build.SERVICE, flow)
        content = queue.take(lambda _: "booking-1", 600)
        versions[content.service] = content.complete
    assert versions == {build.SERVICE: 0, "sheets": 2}


@pytest.mark.parametrize("seed", range(6))
def test_any_history_ends_with_each_override_at_its_backup(seed: int) -> None:
    """Guard against lost, stale or leaked overrides after changes in any order."""
    network = fakes.Network(seed, 5, loss=0.1)
    network.start_all(replication_bytes_per_s=600)
    rng = network.rng
    names = [vm.name for vm in network.vms]
    for _ in range(150):
        for flow in rng.sample(build.FLOWS[:300], 20):
            # An earlier owner's override ends when the flow is put at a later owner.
            for peer in network.peers.values():
                peer.replicator.remove(build.SERVICE, flow)
            if rng.random() < 0.5:
                replicator = network.peers[build.choose_owner(network, flow)].replicator
                replicator.put(build.SERVICE, flow, f"booking-{rng.randrange(3)}")
        vm = rng.choice(network.vms[1:]).name
        draw = rng.random()
        if draw < 0.03 and len(network.peers) > 3:
            network.peers.pop(vm, None)
        elif draw < 0.06:
            network.cut_between([vm], [other.name for other in network.vms])
        elif draw < 0.12:
            network.cut.clear()
            for absent in [n for n in names if n not in network.peers]:
                network.start(absent)
        network.run(rng.choice((0.2, 0.2, 2.0)))
    network.cut.clear()
    network.run(80)
    assert len(build.check_backups(network)) > 50


def test_members_that_join_together_keep_only_their_own_overrides() -> None:
    """Guard against stale overrides at members that joined at the same time.

    Each is handed the flows that it would own if it joined alone; those that another
    joining member owns in the end must be withdrawn.
    """
    network = fakes.Network(11, 6)
    network.start_all()
    for name in ("entry-002", "entry-003"):
        del network.peers[name]
    network.run(10)
    build.put_all(network)
    for name in ("entry-002", "entry-003"):
        network.start(name)
    network.run(60)
    assert len(build.check_backups(network)) == len(build.FLOWS)


def test_restarted_owner_ends_its_earlier_session() -> None:
    """Guard against overrides of an earlier run that are never withdrawn."""
    received = receivedoverrides.ReceivedOverrides(60.0)
    received.set_owners(["a"], 0.0)
    fingerprint = hashing.fingerprint_flow(build.SERVICE, b"flow")
    received.apply(
        "a", wire.Batch(1, 1, build.SERVICE, {"booking-1": fingerprint}), 0.0
    )
    replicator = replication.Replicator(settings.Settings("a", "zone-0"))
    members = tuple(membership.Member(name, "", 1.0) for name in "ab")
    replicator.set_view(membership.View(1, members), 1.0)
    for _, message in replicator.tick(1.0):
        assert isinstance(message, wire.Batch)
        received.apply("a", message, 1.0)
    received.expire(61.0)
    assert received.find(build.SERVICE, fingerprint) is None


def test_peer_that_lost_its_state_gets_overrides_again() -> None:
    """Guard against a backup that left and rejoined without state between two scans."""
    own, other = membership.Member("a", "", 1.0), membership.Member("b", "", 1.0)
    replicator = replication.Replicator(settings.Settings("a", "zone-0"))
    replicator.set_view(membership.View(1, (own, other)), 0.0)
    replicator.put(build.SERVICE, b"flow", "booking-1")
    [(_, batch)] = replicator.tick(0.1)
    assert isinstance(batch, wire.Batch)
    replicator.handle("b", wire.BatchAck(batch.session, batch.number), 0.2)
    assert replicator.pending() == 0
    replicator.set_view(membership.View(2, (own,)), 0.3)
    replicator.set_view(membership.View(3, (own, other)), 0.3)
    [(_, repeated)] = replicator.tick(1.0)
    assert isinstance(repeated, wire.Batch) and repeated.puts == batch.puts


def test_full_batch_is_not_starved() -> None:
    """Guard against a backlog that waits without limit behind small batches."""
    network = fakes.Network(10, 16)
    peers = network.start_all(10, replication_bytes_per_s=600)
    replicator = peers[0].replicator
    names = [peer.name for peer in peers[1:]]
    backups = {name: hashing.Choice(name, 1.0) for name in names}
    unused_flows: dict[str, list[bytes]] = {name: [] for name in names}
    for number in range(20_000):
        flow = number.to_bytes(6, "big")
        fingerprint = hashing.fingerprint_flow(build.SERVICE, flow)
        backup = hashing.rank_choices(fingerprint, list(backups.values()))[0]
        unused_flows[backup].append(flow)
    for flow in unused_flows[names[0]][:1_000]:
        replicator.put(build.SERVICE, flow, "booking-1")
    for _ in range(200):
        for name in names[1:]:
            replicator.put(build.SERVICE, unused_flows[name].pop(), "booking-1")
        network.run(0.1)
    assert replicator.sender.count_pending(names[0]) < 900


def test_old_batch_is_ignored() -> None:
    """Guard against a delayed retransmission that overwrites a newer batch."""
    received = receivedoverrides.ReceivedOverrides(60.0)
    fingerprint = hashing.fingerprint_flow(build.SERVICE, b"flow")
    old = wire.Batch(1, 1, build.SERVICE, {"booking-1": fingerprint})
    for batch in (
        old,
        wire.Batch(1, 2, build.SERVICE, {"booking-2": fingerprint}),
        old,
    ):
        received.apply("entry-001", batch, 0.0)
    assert received.find(build.SERVICE, fingerprint) == "booking-2"
    received.apply("entry-002", wire.Batch(1, 1, build.SERVICE, {}, fingerprint), 0.0)
    assert received.find(build.SERVICE, fingerprint) == "booking-2"
    received.apply(
        "entry-001",
        wire.Batch(2, 3, build.SERVICE, {"booking-3": fingerprint}),
        0.0,
    )
    received.apply("entry-001", old, 0.0)
    assert received.sources["entry-001"].session == 2
    assert received.find(build.SERVICE, fingerprint) == "booking-3"


def test_received_overrides_are_bounded_and_expire() -> None:
    """Guard against memory that grows with a peer's traffic or with each leave."""
    replicator = replication.Replicator(settings.Settings("entry-000", "zone-0"))
    per_batch = 10_000
    for number in range(12):
        fingerprints = b"".join(
            (number * per_batch + at).to_bytes(hashing.FINGERPRINT_BYTES, "big")
            for at in range(per_batch)
        )
        batch = wire.Batch(1, number, build.SERVICE, {"booking-1": fingerprints})
        replicator.handle("entry-001", batch, 0.0)
    assert replicator.received_overrides.count == receivedoverrides.RECEIVED_MAX
    assert replicator.overflow == 2 * per_batch
    replicator.handle("entry-001", wire.Batch(1, 99, build.SERVICE), 30.0)
    replicator.tick(61.0)
    assert replicator.received_overrides.count == receivedoverrides.RECEIVED_MAX
    replicator.tick(91.0)
    assert replicator.received_overrides.count == 0


def test_full_queue_is_counted_and_drained_later() -> None:
    """Guard against overrides that are never sent, and versions completed without."""
    network = fakes.Network(9, 2)
    owner, backup = (
        peer.replicator
        for peer in [
            network.start(vm.name, replication_bytes_per_s=100_000)
            for vm in network.vms
        ]
    )
    network.run(5)
    count = channel.QUEUED_MAX + 500
    for number in range(count):
        owner.put(build.SERVICE, number.to_bytes(6, "big"), "booking-1")
    owner.mark_complete(build.SERVICE, 2)
    assert owner.overflow == 500
    assert not owner.sender.get_channel("entry-001").queued_completions
    network.run(
        60,
        lambda: backup.complete_through(build.SERVICE, "entry-000") == 2,
    )
    assert backup.received_overrides.count == count


def test_override_survives_two_owners_without_packets() -> None:
    """Guard against an idle flow whose override is lost with its second owner."""
    network = fakes.Network(5, 17)
    network.start_all(5)
    network.run(1.0)
    build.put_all(network, build.FLOWS[:200])
    network.run(5.0)
    flow = build.FLOWS[0]
    lost: list[str] = []
    for _ in range(2):
        lost.append(build.choose_owner(network, flow))
        del network.peers[lost[-1]]
        network.run(10.0)
    found = network.peers[build.choose_owner(network, flow)].replicator.find(
        build.SERVICE, flow
    )
    assert found == build.choose_upstream(flow)


def test_adopted_override_expires_without_packets() -> None:
    """Guard against overrides of ended flows that are adopted again and again."""
    network = fakes.Network(3, 18)
    network.start_all(3)
    network.run(1.0)
    build.put_all(network, build.FLOWS[:100])
    network.run(3.0)
    first = next(iter(network.peers))
    orphaned = [
        flow for flow in build.FLOWS[:100] if build.choose_owner(network, flow) == first
    ]
    assert orphaned
    del network.peers[first]
    network.run(150.0)
    for peer in network.peers.values():
        kept = peer.replicator.overrides.get(build.SERVICE, {})
        for flow in orphaned:
            assert hashing.fingerprint_flow(build.SERVICE, flow) not in kept


def test_expired_overrides_leave_no_replaced_ones_behind() -> None:
    """Guard against memory that grows with each owner that leaves."""
    received = receivedoverrides.ReceivedOverrides(30.0)
    received.set_owners(["entry-001", "entry-002"], 0.0)
    fingerprint = bytes(hashing.FINGERPRINT_BYTES)
    for number, owner in enumerate(("entry-001", "entry-002"), 1):
        puts = {f"booking-{number}": fingerprint}
        received.apply(owner, wire.Batch(1, 1, build.SERVICE, puts), 0.0)
    assert received.shadowed
    received.set_owners([], 1.0)
    received.expire(60.0)
    assert not received.shadowed
    assert received.count == 0


def test_a_withdrawn_override_leaves_no_empty_batch() -> None:
    """Guard against batches without content that use up the byte budget."""
    queue = channel.Channel()
    queue.add_bulk(build.SERVICE, bytes(6))
    queue.discard(build.SERVICE, bytes(6))
    assert not queue.bulks
    queue.queue_completion(build.SERVICE, 2)
    queue.discard(build.SERVICE, bytes(6))
    assert [bulk.version for bulk in queue.bulks] == [2]
