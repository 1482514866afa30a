"""What a forwarder believes about registered upstreams."""

import pytest

from pistachioshed.core import directory
from tests import dispatchbuilders as build

FIRST = build.build_upstream(1)
SECOND = build.build_upstream(2)


def register(
    known: directory.Directory,
    *upstreams: directory.Upstream,
    revision: int,
    now: float = 0.0,
) -> list[directory.Update]:
    """Apply entries at a revision."""
    changes = [directory.Change(entry.name, entry, revision) for entry in upstreams]
    return known.apply(changes, revision, False, now)


def remove(
    known: directory.Directory, name: str, revision: int, now: float
) -> list[directory.Update]:
    """Apply the removal of an entry."""
    return known.apply([directory.Change(name, None, revision)], revision, False, now)


def test_a_lapsed_entry_is_held_and_then_removed() -> None:
    """Guard against hosts that are lost because the store was away."""
    known = directory.Directory()
    register(known, FIRST, revision=1)
    (update,) = remove(known, FIRST.name, 2, now=10.0)
    assert update.outcome == "lapsed"
    assert known.list_service("booking") == [FIRST]
    assert known.expire(10.0 + directory.LAPSED_RETENTION_S - 0.1) == []
    (update,) = known.expire(10.1 + directory.LAPSED_RETENTION_S)
    assert update.outcome == "removed"
    assert known.list_service("booking") == []


def test_an_entry_that_is_back_is_no_longer_lapsed() -> None:
    """Guard against the removal of a host whose entry has returned."""
    known = directory.Directory()
    register(known, FIRST, revision=1)
    remove(known, FIRST.name, 2, now=10.0)
    register(known, FIRST, revision=3, now=11.0)
    assert known.expire(20.0) == []
    assert known.list_service("booking") == [FIRST]


def test_an_entry_that_announced_its_end_is_removed_at_once() -> None:
    """Guard against flows for a host that has left."""
    known = directory.Directory()
    register(known, FIRST._replace(draining=True), revision=1)
    (update,) = remove(known, FIRST.name, 2, now=10.0)
    assert update.outcome == "removed"


def test_a_new_entry_at_the_address_of_a_lapsed_one_ends_it() -> None:
    """Guard against a host of another service that gets the flows of a dead one."""
    known = directory.Directory()
    register(known, FIRST, revision=1)
    remove(known, FIRST.name, 2, now=10.0)
    successor = build.build_upstream(3, service="sheets", address=FIRST.address)
    register(known, successor, revision=3, now=11.0)
    assert known.list_service("booking") == []
    assert known.list_service("sheets") == [successor]


def test_a_removed_upstream_is_found_by_its_token_for_a_while() -> None:
    """Guard against open flows dropped when an entry is gone, and against leaks."""
    known = directory.Directory()
    register(known, FIRST._replace(draining=True), revision=1)
    remove(known, FIRST.name, 2, now=10.0)
    assert known.find_by_token(FIRST.token) is not None
    known.expire(10.0 + directory.REMOVED_RETENTION_S)
    assert known.find_by_token(FIRST.token) is None


def test_a_second_holder_of_a_token_is_not_used() -> None:
    """Guard against packets of one host's flows that reach another."""
    known = directory.Directory()
    register(known, FIRST, revision=1)
    (update,) = register(known, SECOND._replace(token=FIRST.token), revision=2)
    assert update.outcome == "conflict"
    assert known.list_service("booking") == [FIRST]


@pytest.mark.parametrize("snapshot", [False, True])
def test_older_batches_change_nothing(snapshot: bool) -> None:
    """Guard against a stale page that brings a drained host back."""
    known = directory.Directory()
    register(known, FIRST._replace(draining=True), revision=5)
    change = directory.Change(FIRST.name, FIRST, 3)
    assert known.apply([change], 3, snapshot, 1.0) == []
    assert known.upstreams[FIRST.name].draining


def test_a_snapshot_removes_what_it_lacks_and_tells_peers() -> None:
    """Guard against removals that are lost with the store's history."""
    known = directory.Directory()
    register(known, FIRST, SECOND, revision=1)
    change = directory.Change(FIRST.name, FIRST, 1)
    (update,) = known.apply([change], 9, True, 1.0)
    assert (update.name, update.outcome) == (SECOND.name, "lapsed")
    assert known.changed_revision == 9
    assert known.list_changes(1) is None
    assert known.list_snapshot() == (change,)


def test_changes_are_passed_on_from_any_kept_revision() -> None:
    """Guard against followers that miss a change between two requests."""
    known = directory.Directory()
    known.apply([], 1, True, 0.0)
    register(known, FIRST, revision=2)
    register(known, SECOND, revision=3)
    changes = known.list_changes(2)
    assert changes is not None
    assert [change.name for change in changes] == [SECOND.name]
    assert known.list_changes(3) == ()
    assert known.list_changes(0) is None


def test_a_restart_is_told_from_a_change() -> None:
    """Guard against trust in what a restarted host can not know."""
    known = directory.Directory()
    register(known, FIRST, revision=1)
    (changed,) = register(known, FIRST._replace(slots=4), revision=2)
    (restarted,) = register(known, FIRST._replace(start_ms=7), revision=3)
    assert (changed.outcome, restarted.outcome) == ("changed", "restarted")


def test_an_upstream_is_cold_only_for_its_time() -> None:
    """Guard against hosts that are spared for ever, or never."""
    known = directory.Directory()
    cold = FIRST._replace(cold_s=2.0)
    register(known, cold, revision=1, now=10.0)
    assert known.is_cold(cold, 11.9)
    assert not known.is_cold(cold, 12.0)


def test_a_token_used_again_belongs_to_its_last_holder() -> None:
    """Guard against an index that loses the later of two holders, or fails."""
    known = directory.Directory()
    first = FIRST._replace(draining=True)
    second = SECOND._replace(token=FIRST.token, draining=True)
    register(known, first, revision=1)
    remove(known, first.name, 2, now=1.0)
    register(known, second, revision=3, now=2.0)
    remove(known, second.name, 4, now=30.0)
    known.expire(1.0 + directory.REMOVED_RETENTION_S)
    assert known.find_by_token(FIRST.token) == second
    known.expire(31.0 + directory.REMOVED_RETENTION_S)
    assert known.find_by_token(FIRST.token) is None
