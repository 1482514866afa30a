"""Tests of table propagation with network faults and an unreliable store."""

import functools
import random

import pytest

from pistachioshed.core import catalogue, controlevents, digests, distribution
from tests import builders, controlfleet

ZONES = {"riga-a": 3, "riga-b": 3, "riga-c": 2}


def start_fleet(seed: int = 1, loss: float = 0.0) -> controlfleet.Fleet:
    """Return a fleet of 8 control processes with version 1 in force."""
    fleet = controlfleet.Fleet(seed, ZONES, loss)
    fleet.write(builders.build_table("booking", 7))
    fleet.boot()
    fleet.run_until(lambda: fleet.is_in_force(1), 10)
    fleet.run(5)
    return fleet


def list_watchers(fleet: controlfleet.Fleet, zone: str) -> list[str]:
    """Return the names of a zone's store watchers."""
    watchers = fleet.store.watchers & fleet.nodes.keys()
    return sorted(name for name in watchers if fleet.zones[name] == zone)


@pytest.mark.parametrize("seed", range(5))
def test_edit_is_in_force_despite_lost_publications(seed: int) -> None:
    """Guards against a node that misses a table because its publication was lost."""
    fleet = start_fleet(seed, loss=0.3)
    for version in range(2, 6):
        fleet.write(builders.build_table("booking", 7, version))
        fleet.run_until(functools.partial(fleet.is_in_force, version), 4)


def test_edit_is_in_force_within_two_seconds() -> None:
    """Guards against slow propagation from the store to the balancers."""
    fleet = start_fleet()
    fleet.write(builders.build_table("booking", 7, 2))
    assert fleet.run_until(lambda: fleet.is_in_force(2), 5) < 2


def test_boot_without_the_store_fetches_tables_from_peers() -> None:
    """Guards against a restart without any table while the store is down."""
    fleet = start_fleet()
    fleet.write(builders.build_table("booking", 7, 2))
    fleet.run(3)
    fleet.store.down = True
    for name in list(fleet.nodes):
        fleet.boot(name)
        fleet.run_until(lambda: fleet.is_in_force(2), 4)


def test_boot_finds_the_highest_version_before_it_delivers() -> None:
    """Guards against a balancer that starts with an old table from a stale store."""
    fleet = start_fleet()
    fleet.store.stale = dict(fleet.store.tables)
    fleet.write(builders.build_table("booking", 7, 2))
    # Only one node receives the update; reads of the store still return version 1.
    holder, restarted = list_watchers(fleet, "riga-a")
    fleet.dispatch(holder, fleet.store.tables["booking"])
    fleet.run(3)
    assert fleet.is_in_force(2)
    fleet.boot(restarted)
    fleet.run_until(lambda: bool(fleet.in_force[restarted]), 4)
    assert fleet.in_force[restarted] == {"booking": 2}


def test_stale_store_read_does_not_lower_a_version() -> None:
    """Guards against a return to old tables when a store replica lags behind."""
    fleet = start_fleet()
    old = fleet.store.tables["booking"]
    fleet.write(builders.build_table("booking", 7, 2))
    fleet.run(3)
    for name in fleet.nodes:
        fleet.dispatch(name, old)
    fleet.run(3)
    assert fleet.is_in_force(2)


def test_zone_without_the_store_gets_tables_from_other_zones() -> None:
    """Guards against a zone that receives edits only through its own store access."""
    fleet = start_fleet()
    fleet.no_store = {name for name, zone in fleet.zones.items() if zone < "riga-c"}
    fleet.write(builders.build_table("booking", 7, 2))
    fleet.run_until(lambda: fleet.is_in_force(2), 3)
    fleet.heal()
    fleet.write(builders.build_table("booking", 7, 3))
    fleet.run_until(lambda: fleet.is_in_force(3), 3)


@pytest.mark.parametrize("seed", range(3))
def test_isolated_zone_keeps_its_table_and_catches_up(seed: int) -> None:
    """Guards against a zone that loses its table or stays behind after a partition."""
    fleet = start_fleet(seed)
    inside = [name for name in fleet.nodes if fleet.zones[name] == "riga-c"]
    fleet.groups = dict.fromkeys(inside, 1)
    fleet.write(builders.build_table("booking", 7, 2))
    fleet.run(20)
    assert {fleet.in_force[name]["booking"] for name in inside} == {1}
    fleet.heal()
    fleet.run_until(lambda: fleet.is_in_force(2), 5)


def test_restart_does_not_bring_old_tables_back() -> None:
    """Guards against a restarted process that propagates an old table."""
    fleet = start_fleet()
    fleet.write(builders.build_table("booking", 7, 2))
    fleet.run(3)
    for name in sorted(fleet.nodes):
        fleet.boot(name)
        fleet.run(2)
    fleet.run(3)
    assert fleet.is_in_force(2)


def test_same_version_with_other_content_is_settled_by_the_store() -> None:
    """Guards against different tables of one version that stay in force together."""
    fleet = start_fleet()
    right = fleet.store.tables["booking"].table
    rows = (right.rows[0]._replace(weight=9.0), *right.rows[1:])
    wrong = right._replace(rows=rows)
    for name in ("riga-a-0", "riga-b-1"):
        catalogue = fleet.nodes[name].catalogue
        held = catalogue.held["booking"]
        content_hash = held.content_hash ^ 1
        catalogue.held["booking"] = held._replace(
            table=wrong, content_hash=content_hash
        )
    fleet.run(15)
    tables = [node.catalogue.held["booking"].table for node in fleet.nodes.values()]
    assert tables == [right] * 8
    names = [notice.name for _, notice in fleet.notices]
    assert "table_conflict" in names
    assert names.count("table_settled") == 2


def test_invalid_table_is_refused_and_fetched_once() -> None:
    """Guards against an invalid table in force, and against endless fetches of it."""
    fleet = start_fleet()
    good = builders.build_table("booking", 7, 2)
    bad = good._replace(rows=(good.rows[0]._replace(weight=-1.0), *good.rows[1:]))
    fleet.write(bad)
    held = fleet.nodes["riga-a-0"].catalogue.held
    held["booking"] = catalogue.HeldTable(bad, digests.hash_table(bad), 400)
    fleet.run(5)
    others = fleet.nodes.keys() - {"riga-a-0"}
    assert {fleet.in_force[name]["booking"] for name in others} == {1}
    before = sum(fleet.fetched_from.values())
    fleet.run(10)
    assert sum(fleet.fetched_from.values()) == before


def test_edit_costs_no_fetch_when_nothing_is_lost() -> None:
    """Guards against a fetch per node for an edit that one publication distributes."""
    fleet = start_fleet()
    fleet.fetched_from.clear()
    fleet.write(builders.build_table("booking", 7, 2))
    fleet.run(3)
    assert fleet.is_in_force(2)
    assert not fleet.fetched_from


def test_fetch_is_retried_with_another_peer() -> None:
    """Guards against a process that waits forever for one unresponsive peer."""
    node = distribution.Distributor(controlevents.Settings("vm-1", "riga-a"), 1)
    members = [builders.build_member(f"vm-{n}", "riga-a") for n in (1, 2, 3)]
    node.handle(controlevents.MembersReceived(tuple(members)), 0.0)
    entry = digests.Entry("booking", 2, 7, 2)
    requested: list[str] = []
    for step in range(100, 140):
        for name in ("vm-2", "vm-3"):
            digest = digests.Digest(name, "riga-a", (entry,))
            node.handle(controlevents.DigestReceived(digest), step / 10)
        for action in node.handle(controlevents.Tick(), step / 10):
            if isinstance(action, controlevents.FetchTables):
                requested.append(action.peer)
    assert sorted(requested[:2]) == ["vm-2", "vm-3"]


def test_upstream_is_up_if_one_prober_succeeds() -> None:
    """Guards against upstreams reported down by a prober that cannot reach them."""
    node = distribution.Distributor(controlevents.Settings("vm-1", "riga-a"), 1)
    for number, ok in ((2, True), (3, False)):
        name = f"vm-{number}"
        result = digests.ProbeResult(
            name, "booking", "booking-1", ok, False, 0.5, None, 10 - number
        )
        node.handle(controlevents.ProbesReceived(name, (result,)), 5.0)
    (report,) = node.upstream_probes.list_undelivered(5.0, refresh=True)
    assert report.ok


def test_restarted_balancer_gets_its_table_again() -> None:
    """Guards against a balancer without tables after the local link lost an update."""
    fleet = start_fleet()
    fleet.in_force["riga-a-1"].clear()
    fleet.run_until(lambda: fleet.is_in_force(1), 3)


@pytest.mark.parametrize("seed", range(4))
def test_newest_edit_is_in_force_after_faults_in_combination(seed: int) -> None:
    """Guards against failures that only a combination of faults causes."""
    fleet = start_fleet(seed, loss=0.1)
    rng = random.Random(seed)
    names = sorted(fleet.zones)
    version = 1
    for _ in range(25):
        match rng.randrange(6):
            case 0:
                fleet.groups = {name: rng.randrange(2) for name in names}
            case 1:
                fleet.no_store = set(rng.sample(names, 4))
            case 2:
                fleet.store.down = not fleet.store.down
            case 3:
                fleet.boot(rng.choice(names))
            case 4:
                fleet.pause(rng.choice(names))
            case _:
                version += 1
                fleet.write(builders.build_table("booking", 7, version))
        fleet.run(rng.uniform(0.2, 4.0))
        for name in sorted(fleet.paused)[1:]:
            fleet.resume(name)
    for name in sorted(fleet.paused):
        fleet.resume(name)
    fleet.heal()
    fleet.run_until(lambda: fleet.is_in_force(version), 8)


def test_probe_results_reach_all_members_of_a_large_zone() -> None:
    """Guards against balancers without probe results in a zone with few hubs."""
    fleet = controlfleet.Fleet(1, {"riga-a": 20})
    fleet.write(builders.build_table("booking", 7))
    fleet.boot()
    fleet.run(12)
    for node in fleet.nodes.values():
        reports = node.upstream_probes.list_undelivered(fleet.now, refresh=True)
        assert [report.ok for report in reports] == [True] * 7


def test_next_ranked_member_replaces_a_stopped_watcher() -> None:
    """Guards against a zone without store watchers after one stops."""
    fleet = start_fleet()
    first, second = list_watchers(fleet, "riga-a")
    fleet.stop(first)
    fleet.run(5)
    assert len(list_watchers(fleet, "riga-a")) == 2
    fleet.stop(second)
    fleet.run(5)
    assert len(list_watchers(fleet, "riga-a")) == 1
    fleet.write(builders.build_table("booking", 7, 2))
    fleet.run_until(lambda: fleet.is_in_force(2), 3)


def test_upstreams_are_probed_by_two_members_of_each_zone() -> None:
    """Guards against too few probes after a prober stopped, and against too many."""
    fleet = start_fleet()
    fleet.stop("riga-b-0")
    fleet.run(6)
    fleet.probed.clear()
    fleet.run(10)
    for upstream in (f"booking-{number}" for number in range(1, 8)):
        counts = {
            name: fleet.probed[name, upstream]
            for name in fleet.nodes
            if fleet.zones[name] == "riga-b" and fleet.probed[name, upstream]
        }
        assert len(counts) == 2
        assert all(9 <= count <= 11 for count in counts.values())


def count_calls(sizes: dict[str, int]) -> tuple[controlfleet.Fleet, dict[str, float]]:
    """Return a fleet and its store calls per zone during 20 idle seconds."""
    fleet = controlfleet.Fleet(1, sizes)
    fleet.write(builders.build_table("booking", 7))
    fleet.boot()
    fleet.run_until(lambda: fleet.is_in_force(1), 30)
    fleet.run(10)
    fleet.store.calls.clear()
    fleet.bytes.clear()
    fleet.run(20)
    calls = fleet.store.calls
    return fleet, {kind: calls[kind] / len(sizes) for kind in sorted(calls)}


def test_store_calls_per_zone_do_not_grow_with_the_fleet() -> None:
    """Guards against store calls and traffic that grow with the size of a zone."""
    small, calls = count_calls({"riga-a": 8})
    large, calls_of_200 = count_calls({"riga-a": 200})
    assert calls.keys() == calls_of_200.keys() == {"RenewLease", "WriteStatus"}
    assert all(calls_of_200[kind] <= calls[kind] + 1 for kind in calls)
    assert len(large.store.watchers) == len(small.store.watchers) == 2
    assert max(large.bytes.values()) / 20 < 9_000
    assert max(small.bytes.values()) / 20 < 2_000
    _, status = large.store.status["riga-a"]
    assert len(status) == 200
    large.fetched_from.clear()
    large.write(builders.build_table("booking", 7, 2))
    assert large.run_until(lambda: large.is_in_force(2), 10) < 4
    assert max(large.fetched_from.values()) < 40
