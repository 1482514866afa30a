"""Propagation of tables over faulty networks and an unreliable store."""

import functools
import random

import pytest

from pistachioshed.core import catalogue, controlevents, digests, distribution
from tests import builders, controlfleet

ZONES = {"riga-a": 3, "riga-b": 3, "riga-c": 2}


def start_fleet(seed: int = 1, loss: float = 0.0) -> controlfleet.Fleet:
    """Return a fleet of 8 with version 1 in force."""
    running = controlfleet.Fleet(seed, ZONES, loss)
    running.write(builders.build_table("booking", 7))
    running.boot()
    running.run_until(lambda: running.is_in_force(1), 10)
    running.run(5)
    return running


def list_watchers(running: controlfleet.Fleet, zone: str) -> list[str]:
    """Return the names of a zone's watchers."""
    watchers = running.store.watchers & running.nodes.keys()
    return sorted(name for name in watchers if running.zones[name] == zone)


@pytest.mark.parametrize("seed", range(5))
def test_edit_is_in_force_despite_lost_publications(seed: int) -> None:
    """Guards against a node that misses a table since its publication was lost."""
    running = start_fleet(seed, loss=0.3)
    for version in range(2, 6):
        running.write(builders.build_table("booking", 7, version))
        running.run_until(functools.partial(running.is_in_force, version), 4)


def test_edit_is_in_force_within_two_seconds() -> None:
    """Guards against a slow path from the store to a balancer."""
    running = start_fleet()
    running.write(builders.build_table("booking", 7, 2))
    assert running.run_until(lambda: running.is_in_force(2), 5) < 2


def test_boot_without_the_store_takes_tables_of_peers() -> None:
    """Guards against a restarted control that has no table while the store is down."""
    running = start_fleet()
    running.write(builders.build_table("booking", 7, 2))
    running.run(3)
    running.store.down = True
    for name in list(running.nodes):
        running.boot(name)
        running.run_until(lambda: running.is_in_force(2), 4)


def test_boot_takes_the_highest_version_before_it_tells_the_balancer() -> None:
    """Guards against a balancer that joins with an old table from a stale store."""
    running = start_fleet()
    running.store.stale = dict(running.store.tables)
    running.write(builders.build_table("booking", 7, 2))
    # The update reaches one node only; the store's reads stay at version 1.
    holder, restarted = list_watchers(running, "riga-a")
    running.give(holder, running.store.tables["booking"])
    running.run(3)
    assert running.is_in_force(2)
    running.boot(restarted)
    running.run_until(lambda: bool(running.in_force[restarted]), 4)
    assert running.in_force[restarted] == {"booking": 2}


def test_stale_store_answer_lowers_no_version() -> None:
    """Guards against a store replica that is behind the tables in force."""
    running = start_fleet()
    old = running.store.tables["booking"]
    running.write(builders.build_table("booking", 7, 2))
    running.run(3)
    for name in running.nodes:
        running.give(name, old)
    running.run(3)
    assert running.is_in_force(2)


def test_zone_cut_from_the_store_gets_tables_of_other_zones() -> None:
    """Guards against a zone whose only path to an edit is its own store access."""
    running = start_fleet()
    running.no_store = {name for name, zone in running.zones.items() if zone < "riga-c"}
    running.write(builders.build_table("booking", 7, 2))
    running.run_until(lambda: running.is_in_force(2), 3)
    running.heal()
    running.write(builders.build_table("booking", 7, 3))
    running.run_until(lambda: running.is_in_force(3), 3)


@pytest.mark.parametrize("seed", range(3))
def test_zone_cut_from_all_keeps_its_table_and_heals(seed: int) -> None:
    """Guards against a zone that loses its table, or does not catch up after a cut."""
    running = start_fleet(seed)
    inside = [name for name in running.nodes if running.zones[name] == "riga-c"]
    running.groups = dict.fromkeys(inside, 1)
    running.write(builders.build_table("booking", 7, 2))
    running.run(20)
    assert {running.in_force[name]["booking"] for name in inside} == {1}
    running.heal()
    running.run_until(lambda: running.is_in_force(2), 5)


def test_restarted_control_does_not_bring_old_tables_back() -> None:
    """Guards against a control without state that spreads what it first hears."""
    running = start_fleet()
    running.write(builders.build_table("booking", 7, 2))
    running.run(3)
    for name in sorted(running.nodes):
        running.boot(name)
        running.run(2)
    running.run(3)
    assert running.is_in_force(2)


def test_same_version_with_other_content_is_settled_by_the_store() -> None:
    """Guards against two tables with one version that stay in force side by side."""
    running = start_fleet()
    right = running.store.tables["booking"].table
    rows = (right.rows[0]._replace(weight=9.0), *right.rows[1:])
    wrong = right._replace(rows=rows)
    for name in ("riga-a-0", "riga-b-1"):
        catalogue = running.nodes[name].catalogue
        held = catalogue.held["booking"]
        content = held.content ^ 1
        catalogue.held["booking"] = held._replace(table=wrong, content=content)
    running.run(15)
    tables = [node.catalogue.held["booking"].table for node in running.nodes.values()]
    assert tables == [right] * 8
    names = [notice.name for _, notice in running.notices]
    assert "table_conflict" in names
    assert names.count("table_settled") == 2


def test_table_that_is_not_valid_is_refused_and_fetched_once() -> None:
    """Guards against a faulty table in force, and against asking for it forever."""
    running = start_fleet()
    good = builders.build_table("booking", 7, 2)
    bad = good._replace(rows=(good.rows[0]._replace(weight=-1.0), *good.rows[1:]))
    running.write(bad)
    held = running.nodes["riga-a-0"].catalogue.held
    held["booking"] = catalogue.Held(bad, digests.hash_table(bad), 400)
    running.run(5)
    others = running.nodes.keys() - {"riga-a-0"}
    assert {running.in_force[name]["booking"] for name in others} == {1}
    before = sum(running.fetched_from.values())
    running.run(10)
    assert sum(running.fetched_from.values()) == before


def test_edit_costs_no_fetch_when_nothing_is_lost() -> None:
    """Guards against a request per node and edit where one publication would do."""
    running = start_fleet()
    running.fetched_from.clear()
    running.write(builders.build_table("booking", 7, 2))
    running.run(3)
    assert running.is_in_force(2)
    assert not running.fetched_from


def test_peer_that_answers_no_fetch_is_passed_over() -> None:
    """Guards against a control that waits forever for one silent peer."""
    node = distribution.Distributor(controlevents.Settings("vm-1", "riga-a"), 1)
    members = [builders.build_member(f"vm-{n}", "riga-a") for n in (1, 2, 3)]
    node.handle(controlevents.MembersReceived(tuple(members)), 0.0)
    entry = digests.Entry("booking", 2, 7, 2)
    asked: list[str] = []
    for step in range(100, 140):
        for name in ("vm-2", "vm-3"):
            digest = digests.Digest(name, "riga-a", (entry,))
            node.handle(controlevents.DigestReceived(digest), step / 10)
        for action in node.handle(controlevents.Tick(), step / 10):
            if isinstance(action, controlevents.FetchTables):
                asked.append(action.peer)
    assert sorted(asked[:2]) == ["vm-2", "vm-3"]


def test_success_of_one_prober_is_enough() -> None:
    """Guards against upstreams reported down by a control that is cut off itself."""
    node = distribution.Distributor(controlevents.Settings("vm-1", "riga-a"), 1)
    for number, ok in ((2, True), (3, False)):
        name = f"vm-{number}"
        result = digests.ProbeResult(
            name, "booking", "booking-1", ok, False, 0.5, None, 10 - number
        )
        node.handle(controlevents.ProbesReceived(name, (result,)), 5.0)
    (report,) = node.probing.list_undelivered(5.0, refresh=True)
    assert report.ok


def test_restarted_balancer_gets_its_table_again() -> None:
    """Guards against an update that the local link lost."""
    running = start_fleet()
    running.in_force["riga-a-1"].clear()
    running.run_until(lambda: running.is_in_force(1), 3)


@pytest.mark.parametrize("seed", range(4))
def test_newest_edit_is_in_force_after_faults_in_combination(seed: int) -> None:
    """Guards against faults that are harmless alone and not together."""
    running = start_fleet(seed, loss=0.1)
    rng = random.Random(seed)
    names = sorted(running.zones)
    version = 1
    for _ in range(25):
        match rng.randrange(6):
            case 0:
                running.groups = {name: rng.randrange(2) for name in names}
            case 1:
                running.no_store = set(rng.sample(names, 4))
            case 2:
                running.store.down = not running.store.down
            case 3:
                running.boot(rng.choice(names))
            case 4:
                running.pause(rng.choice(names))
            case _:
                version += 1
                running.write(builders.build_table("booking", 7, version))
        running.run(rng.uniform(0.2, 4.0))
        for name in sorted(running.paused)[1:]:
            running.resume(name)
    for name in sorted(running.paused):
        running.resume(name)
    running.heal()
    running.run_until(lambda: running.is_in_force(version), 8)


def test_probe_results_reach_all_controls_of_a_large_zone() -> None:
    """Guards against balancers without probe results where few controls are hubs."""
    running = controlfleet.Fleet(1, {"riga-a": 20})
    running.write(builders.build_table("booking", 7))
    running.boot()
    running.run(12)
    for node in running.nodes.values():
        reports = node.probing.list_undelivered(running.now, refresh=True)
        assert [report.ok for report in reports] == [True] * 7


def test_next_rank_takes_over_a_dead_watcher() -> None:
    """Guards against a zone without watchers."""
    running = start_fleet()
    first, second = list_watchers(running, "riga-a")
    running.stop(first)
    running.run(5)
    assert len(list_watchers(running, "riga-a")) == 2
    running.stop(second)
    running.run(5)
    assert len(list_watchers(running, "riga-a")) == 1
    running.write(builders.build_table("booking", 7, 2))
    running.run_until(lambda: running.is_in_force(2), 3)


def test_upstreams_are_probed_by_two_controls_of_each_zone() -> None:
    """Guards against unprobed upstreams after a prober died, and against floods."""
    running = start_fleet()
    running.stop("riga-b-0")
    running.run(6)
    running.probed.clear()
    running.run(10)
    for upstream in (f"booking-{number}" for number in range(1, 8)):
        counts = {
            name: running.probed[name, upstream]
            for name in running.nodes
            if running.zones[name] == "riga-b" and running.probed[name, upstream]
        }
        assert len(counts) == 2
        assert all(9 <= count <= 11 for count in counts.values())


def count_calls(sizes: dict[str, int]) -> tuple[controlfleet.Fleet, dict[str, float]]:
    """Return a fleet and its store calls per zone in 20 s when idle."""
    running = controlfleet.Fleet(1, sizes)
    running.write(builders.build_table("booking", 7))
    running.boot()
    running.run_until(lambda: running.is_in_force(1), 30)
    running.run(10)
    running.store.calls.clear()
    running.bytes.clear()
    running.run(20)
    calls = running.store.calls
    return running, {kind: calls[kind] / len(sizes) for kind in sorted(calls)}


def test_store_calls_per_zone_do_not_grow_with_the_fleet() -> None:
    """Guards against calls and traffic that grow with the nodes of a zone."""
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
