"""Tests of a zone's reporter, its lease and its fence."""

from pistachioshed.core import controlevents, statusreporter
from tests import builders, controlfleet


def start_zone() -> controlfleet.Fleet:
    """Return a zone of 3 members whose reporter has written the status."""
    fleet = controlfleet.Fleet(1, {"hall-a": 3})
    fleet.write(builders.build_table("press-console", 7))
    fleet.boot()
    fleet.run(6)
    assert fleet.store.status["hall-a"][1] == {
        name: {"press-console": 1} for name in fleet.zones
    }
    return fleet


def test_status_is_updated_after_an_edit() -> None:
    """Guards against a status that still shows old versions as in force."""
    fleet = start_zone()
    fleet.write(builders.build_table("press-console", 7, 2))
    fleet.run(4)
    _, status = fleet.store.status["hall-a"]
    assert {versions["press-console"] for versions in status.values()} == {2}


def test_write_of_a_reporter_paused_past_its_lease_is_refused() -> None:
    """Guards against a resumed reporter that overwrites its successor's status.

    The policy issued the write before the pause, so only the fence can refuse it.
    """
    fleet = start_zone()
    paused, fence, _ = fleet.store.reporters["hall-a"]
    fleet.pause(paused)
    fleet.run(30)
    successor, newer_fence, _ = fleet.store.reporters["hall-a"]
    assert successor != paused
    assert newer_fence > fence
    status = fleet.store.status["hall-a"]
    fleet.perform(paused, controlevents.WriteStatus(fence, {"old": {}}))
    fleet.resume(paused)
    fleet.run(0.1)
    assert fleet.refused_writes == [paused]
    assert fleet.store.status["hall-a"] == status
    assert fleet.nodes[paused].reporter.lease is None


def test_reporter_stops_by_its_own_clock_before_the_lease_ends() -> None:
    """Guards against an isolated reporter that relies on an expired lease."""
    fleet = start_zone()
    name, _, ends_at = fleet.store.reporters["hall-a"]
    fleet.no_store = set(fleet.zones)
    fleet.run_until(lambda: fleet.nodes[name].reporter.lease is None, 20)
    assert fleet.now < ends_at


def test_restarted_first_ranked_member_becomes_reporter_again() -> None:
    """Guards against two reporters or none after the first ranked member restarts."""
    fleet = start_zone()
    first, _, _ = fleet.store.reporters["hall-a"]
    fleet.stop(first)
    fleet.run(25)
    second, _, _ = fleet.store.reporters["hall-a"]
    assert second != first
    fleet.boot(first)
    fleet.run(10)
    assert fleet.store.reporters["hall-a"][0] == first
    leases = [name for name, node in fleet.nodes.items() if node.reporter.lease]
    assert leases == [first]


def test_lease_granted_too_late_is_dropped() -> None:
    """Guards against a lease whose grant arrives after it has expired."""
    settings = controlevents.Settings("vm-1", "hall-a")
    reporter = statusreporter.StatusReporter(settings)
    assert reporter.step(True, {}, 100.0) == [controlevents.GrantLease(15.0)]
    late = 100.0 + settings.lease_ttl_s
    actions = reporter.accept_lease(controlevents.LeaseGranted(5, 9), late)
    assert actions == [controlevents.DropLease(5)]
    assert reporter.lease is None


def test_refused_write_ends_reporting_immediately() -> None:
    """Guards against a replaced reporter that writes until its lease times out."""
    settings = controlevents.Settings("vm-1", "hall-a")
    reporter = statusreporter.StatusReporter(settings)
    reporter.step(True, {}, 100.0)
    reporter.accept_lease(controlevents.LeaseGranted(5, 9), 100.1)
    assert controlevents.WriteStatus(9, {}) in reporter.step(True, {}, 100.2)
    reporter.lose_lease(controlevents.LeaseLost("fence"), 100.3)
    assert reporter.lease is None
    assert reporter.step(True, {}, 106.0) == [controlevents.GrantLease(15.0)]
