"""Propagation of tables over faulty networks and an unreliable store."""

import functools

import pytest

from tests import builders, fleet

ZONES = {"riga-a": 3, "riga-b": 3, "riga-c": 2}


def start_fleet(seed: int = 1, loss: float = 0.0) -> fleet.Fleet:
    """Return a fleet of 8 with version 1 in force."""
    running = fleet.Fleet(seed, ZONES, loss)
    running.write(builders.build_table("booking", 7))
    running.boot()
    running.run_until(lambda: running.is_in_force(1), 10)
    running.run(5)
    return running


def list_watchers(running: fleet.Fleet, zone: str) -> list[str]:
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
    row = good.rows[0]._replace(weight=-1.0)
    running.write(good._replace(rows=(row, *good.rows[1:])))
    running.run(5)
    assert running.is_in_force(1)
    before = sum(running.fetched_from.values())
    running.run(10)
    assert sum(running.fetched_from.values()) == before


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


def count_calls(sizes: dict[str, int]) -> tuple[fleet.Fleet, dict[str, float]]:
    """Return a fleet and its store calls per zone in 20 s when idle."""
    running = fleet.Fleet(1, sizes)
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
