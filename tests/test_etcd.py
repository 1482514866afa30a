"""Tests of the etcd store client against the stand-in."""

import typing

import pytest
import treq
import treq.client
from twisted.internet import defer, error, task
from twisted.python import failure

from pistachioshed.adapters import etcdgateway
from pistachioshed.core import revisions
from pistachioshed.ports import store
from tests import storefakes

ABSENT = store.Compare("/a", "mod", 0)


def test_compare_and_swap_has_one_winner() -> None:
    """Guard against reporting success to both of two competing writers."""
    fixture = storefakes.StoreFixture()
    first = fixture.run(fixture.store.transact([ABSENT], [store.Put("/a", b"1")]))
    second = fixture.run(fixture.store.transact([ABSENT], [store.Put("/a", b"2")]))
    assert (first.succeeded, second.succeeded) == (True, False)
    response = fixture.run(fixture.store.get("/a"))
    assert response.pair is not None
    assert response.pair.value == b"1"
    assert response.pair.mod_revision == first.revision == response.revision


def test_prefix_compare_sees_any_later_change() -> None:
    """Guard against a condition on all tables that ignores a new one."""
    fixture = storefakes.StoreFixture()
    before = fixture.run(fixture.store.transact([], [store.Put("/t/a", b"1")]))
    unchanged = store.Compare("/t/", "mod", before.revision + 1, "less", prefix=True)
    assert fixture.run(fixture.store.transact([unchanged], [])).succeeded
    fixture.run(fixture.store.transact([], [store.Put("/t/b", b"1")]))
    assert not fixture.run(fixture.store.transact([unchanged], [])).succeeded


@pytest.mark.parametrize(
    ("fault", "written"), [("lose_answers", 1), ("drop_writes", 0)]
)
def test_write_without_response_is_reported_and_sent_once(
    fault: str, written: int
) -> None:
    """Guard against retrying a write whose first attempt may have taken effect."""
    fixture = storefakes.StoreFixture()
    fixture.set_faults(**{fault: 1})
    with pytest.raises(store.AnswerLost) as caught:
        fixture.run(fixture.store.transact([], [store.Put("/a", b"1")]))
    assert (caught.value.step, caught.value.peer) == ("transact", "127.0.0.1:1")
    assert fixture.store_standin.calls["kv/txn"] == 1
    pair = fixture.run(fixture.store.get("/a")).pair
    assert (pair is not None) == bool(written)


def test_slow_store_meets_the_deadline() -> None:
    """Guard against a command that hangs when the store is slow."""
    fixture = storefakes.StoreFixture()
    fixture.set_faults(delay_seconds=30.0)
    with pytest.raises(store.StoreUnavailable, match="no answer within"):
        fixture.run(fixture.store.get("/a"), limit_seconds=12.0)
    with pytest.raises(store.AnswerLost):
        fixture.run(
            fixture.store.transact([], [store.Put("/a", b"1")]), limit_seconds=3.0
        )


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (200, b"{}", None),
        (400, b'{"code": 3, "message": "bad"}', etcdgateway.Rejected),
        (
            404,
            b'{"error": {"grpc_code": 5, "message": "no lease"}}',
            etcdgateway.Rejected,
        ),
        (503, b'{"code": 14, "message": "no leader"}', etcdgateway.NoAnswer),
        (200, b'{"error": {"code": 4, "message": "timed out"}}', etcdgateway.NoAnswer),
        (200, b'{"header": {', etcdgateway.NoAnswer),
        (502, b"<html>", etcdgateway.NoAnswer),
    ],
)
def test_outcome_of_an_error_response(
    status: int, body: bytes, error: type[Exception] | None
) -> None:
    """Guard against reporting a write as refused that may have taken effect."""
    if error is None:
        assert etcdgateway.parse_response(status, body) == {}
        return
    with pytest.raises(error):
        etcdgateway.parse_response(status, body)


def test_value_above_the_limit_is_refused() -> None:
    """Guard against reporting an unknown outcome when nothing was written."""
    fixture = storefakes.StoreFixture()
    puts = [store.Put("/a", b"1"), store.Put("/b", b"1" * 1_000_001)]
    with pytest.raises(store.StoreRefused, match="too large"):
        fixture.run(fixture.store.transact([], puts))
    assert fixture.run(fixture.store.get("/a")).pair is None


def test_refused_address_fails_over_without_a_second_write() -> None:
    """Guard against one dead store address that blocks all reads and writes."""
    fixture = storefakes.StoreFixture(["127.0.0.1:1", "127.0.0.1:2"])
    fixture.agent.refused_addresses.add("127.0.0.1:1")
    assert fixture.run(fixture.store.get("/a")).pair is None
    fixture.store = fixture.make_client(["127.0.0.1:1", "127.0.0.1:2"])
    fixture.run(fixture.store.transact([], [store.Put("/a", b"1")]))
    assert fixture.store_standin.calls == {"kv/txn": 1, "kv/range": 1}
    fixture.agent.refused_addresses.add("127.0.0.1:2")
    with pytest.raises(store.StoreUnavailable):
        fixture.run(fixture.store.transact([], [store.Put("/a", b"2")]))


def test_expired_lease_is_seen_by_its_holder_and_by_watches() -> None:
    """Guard against a paused process that still writes after its lease expired."""
    fixture = storefakes.StoreFixture()
    batches: list[store.WatchBatch] = []
    lease = fixture.run(fixture.store.grant_lease(5)).lease
    fixture.run(fixture.store.transact([], [store.Put("/l", b"me", lease)]))
    watch = fixture.store.watch("/l", 1, batches.append)
    fixture.advance(4.0)
    assert fixture.run(fixture.store.keep_alive(lease)).ttl_seconds == 5
    fixture.advance(6.0)
    assert fixture.run(fixture.store.keep_alive(lease)).ttl_seconds == 0
    lease_held = store.Compare("/l", "create", 2)
    assert not fixture.run(fixture.store.transact([lease_held], [])).succeeded
    assert [e.deleted for b in batches for e in b.events] == [False, True]
    watch.stop()


def put(fixture: storefakes.StoreFixture, *keys: str) -> None:
    """Write keys, each at its own revision."""
    for key in keys:
        fixture.run(fixture.store.transact([], [store.Put(key, b"1")]))


def list_events(batches: list[store.WatchBatch]) -> list[tuple[str, int]]:
    """Return the delivered keys and revisions in order."""
    return [(e.key, e.mod_revision) for batch in batches for e in batch.events]


@pytest.mark.parametrize("fault", [{"silence_watches": True}, {"down": True}])
def test_broken_watch_is_reopened_without_a_lost_event(fault: dict[str, bool]) -> None:
    """Guard against a reopened watch that stalls, or skips or repeats a change."""
    fixture = storefakes.StoreFixture()
    batches: list[store.WatchBatch] = []
    watch = fixture.store.watch("/t/", 2, batches.append)
    put(fixture, "/t/a", "/other")
    fixture.set_faults(**fault)
    fixture.advance(1.0)
    fixture.set_faults()
    put(fixture, "/t/b", "/t/c")
    fixture.advance(8.0)
    assert list_events(batches) == [("/t/a", 2), ("/t/b", 4), ("/t/c", 5)]
    assert watch.opened_calls >= 2
    assert all(b.revision == b.events[-1].mod_revision for b in batches if b.events)
    watch.stop()
    put(fixture, "/t/d")
    fixture.advance(8.0)
    assert len(list_events(batches)) == 3
    assert not fixture.store_standin.watchers


def test_watch_moves_to_another_address() -> None:
    """Guard against a watch that keeps retrying a dead store address."""
    fixture = storefakes.StoreFixture(["127.0.0.1:1", "127.0.0.1:2"])
    fixture.agent.refused_addresses.add("127.0.0.1:1")
    batches: list[store.WatchBatch] = []
    watch = fixture.store.watch("/t/", 1, batches.append)
    fixture.advance(2.0)
    assert fixture.agent.requested_addresses == ["127.0.0.1:1", "127.0.0.1:2"]
    put(fixture, "/t/a")
    assert list_events(batches) == [("/t/a", 2)]
    watch.stop()


def test_idle_watch_stays_open() -> None:
    """Guard against closing a watch that receives progress reports but no events."""
    fixture = storefakes.StoreFixture()
    batches: list[store.WatchBatch] = []
    watch = fixture.store.watch("/t/", 1, batches.append)
    fixture.advance(20.0)
    assert watch.opened_calls == 1
    assert [batch.revision for batch in batches] == [1] * 10
    watch.stop()


def test_watch_ignores_progress_of_a_lagging_store() -> None:
    """Guard against redelivery after a lagging store reports an older revision."""
    fixture = storefakes.StoreFixture()
    batches: list[store.WatchBatch] = []
    watch = fixture.store.watch("/t/", 4, batches.append)
    fixture.advance(3.0)
    fixture.set_faults(silence_watches=True)
    put(fixture, "/t/a", "/t/b", "/t/c")
    fixture.advance(8.0)
    assert list_events(batches) == [("/t/c", 4)]
    watch.stop()


def test_compacted_watch_continues_from_a_snapshot() -> None:
    """Guard against a watch that cannot be reopened after a compaction."""
    fixture = storefakes.StoreFixture()
    put(fixture, "/t/a", "/t/b", "/t/a")
    fixture.store_standin.keys.compact(4)
    batches: list[store.WatchBatch] = []
    watch = fixture.store.watch("/t/", 2, batches.append)
    fixture.advance(0.5)
    put(fixture, "/t/c")
    assert batches[0].snapshot
    assert list_events(batches) == [("/t/a", 4), ("/t/b", 3), ("/t/c", 5)]
    watch.stop()


# Each answer reset the back-off, and a cancelled watch was reopened 8 times a second.
def test_a_watch_that_is_always_cancelled_backs_off() -> None:
    """Guard against a store that is asked again at once for as long as it refuses."""
    fixture = storefakes.StoreFixture()
    fixture.set_faults(cancel_watches=True)
    batches: list[store.WatchBatch] = []
    watch = fixture.store.watch("/t/", 1, batches.append)
    fixture.advance(60.0)
    # The mean pause is 1 s from the fifth failure on.
    assert watch.opened_calls < 90
    fixture.set_faults()
    put(fixture, "/t/a")
    fixture.advance(3.0)
    assert list_events(batches) == [("/t/a", 2)]
    watch.stop()


# After a restoration the watch waited for a revision that the store had yet to reach.
@pytest.mark.parametrize("changes", [1, 3])
def test_a_watch_continues_after_the_store_was_restored(changes: int) -> None:
    """Guard against changes that are missed because their revisions were lost."""
    fixture = storefakes.StoreFixture()
    put(fixture, "/t/a")
    copy = fixture.store_standin.keys.make_copy()
    put(fixture, "/t/a", "/t/a")
    batches: list[store.WatchBatch] = []
    response = fixture.run(fixture.store.get_prefix("/t/"))
    watch = fixture.store.watch("/t/", response.revision + 1, batches.append)
    fixture.advance(0.5)
    fixture.set_faults(down=True)
    fixture.store_standin.keys.restore(copy)
    fixture.advance(0.5)
    fixture.set_faults()
    names = [f"/t/{number}" for number in range(changes)]
    put(fixture, *names)
    fixture.advance(8.0)
    assert batches[0].snapshot
    revision = revisions.combine_revision(1, 2)
    assert ("/t/a", revision) in list_events(batches[:1])
    assert set(names) < {name for name, _ in list_events(batches)}
    watch.stop()


# An edit was applied to a table that had other content at the same revision.
def test_a_condition_on_a_lost_history_fails() -> None:
    """Guard against a write that takes a revision given out again for the one read."""
    fixture = storefakes.StoreFixture()
    put(fixture, "/t/a")
    copy = fixture.store_standin.keys.make_copy()
    put(fixture, "/t/a")
    read = fixture.run(fixture.store.get("/t/a"))
    assert read.pair is not None
    fixture.store_standin.keys.restore(copy)
    put(fixture, "/t/a")
    unchanged = store.Compare("/t/a", "mod", read.pair.mod_revision)
    write = store.Put("/t/a", b"2")
    assert not fixture.run(fixture.store.transact([unchanged], [write])).succeeded
    read = fixture.run(fixture.store.get("/t/a"))
    assert read.pair is not None
    unchanged = store.Compare("/t/a", "mod", read.pair.mod_revision)
    assert fixture.run(fixture.store.transact([unchanged], [write])).succeeded


class UnconnectedClient:
    """An HTTP client whose connection attempts end only when cancelled."""

    def post(self, url: str, **fields: typing.Any) -> defer.Deferred[typing.Any]:
        """Return a call that is still connecting."""

        def cancel(call: defer.Deferred[typing.Any]) -> None:
            call.errback(error.ConnectingCancelledError(None))

        return defer.Deferred(cancel)


def test_deadline_while_connecting_means_not_sent() -> None:
    """Guard against misreporting a call whose connection was never established.

    The outcome is known, as nothing was sent, and no raw network error may escape.
    """
    clock = task.Clock()
    client = typing.cast(treq.client.HTTPClient, UnconnectedClient())
    call = defer.Deferred.fromCoroutine(
        etcdgateway.call(client, clock, "http://127.0.0.1:1/v3/kv/txn", {}, 2.0)
    )
    clock.advance(2.0)
    assert isinstance(call.result, failure.Failure)
    assert call.result.check(etcdgateway.NotSent)
    call.addErrback(lambda _: None)
