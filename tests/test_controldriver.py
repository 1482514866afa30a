"""Tests of the control process's driver with a store stand-in and fake peers."""

import json
import pathlib
import typing

import pytest
from twisted.internet import defer

from pistachioshed.adapters import ini, metrics
from pistachioshed.apps import controldriver, controloptions, storedriver
from pistachioshed.core import controlevents, events, link, tables
from pistachioshed.operations import documents, status
from pistachioshed.ports import peers, probes, store, vmlist
from tests import builders, storefakes

SETTINGS: typing.Final = controlevents.Settings("vm-1", "riga-a")


class FakePorts:
    """All ports but the store: silent peers, a failing VM list, healthy upstreams.

    The VM list fails until `members` is set.
    """

    def __init__(self, fixture: storefakes.StoreFixture) -> None:
        self.fixture = fixture
        self.updates: list[link.Update] = []
        self.deliver: peers.Deliver = lambda event: None
        self.closed = False
        self.members: tuple[controlevents.Member, ...] | None = None
        self.driver = controldriver.Driver(
            SETTINGS,
            1,
            (controlevents.Member(events.Vm("vm-2", "riga-a", ""), "127.0.0.1:7100"),),
            self.make_ports,
            fixture.clock,
            fixture.clock.seconds,
            metrics.Metrics("test"),
        )

    def make_ports(self, deliver: peers.Deliver) -> controldriver.Ports:
        """Return the ports: this fake, and the client of the store stand-in."""
        self.deliver = deliver
        client = self.fixture.store
        return controldriver.Ports(self, client, self, self, self.receive_update)

    def receive_update(self, payload: bytes) -> None:
        """Record an update for the balancer."""
        self.updates.append(link.decode_update(payload))

    def list_delivered(self) -> list[tables.Table]:
        """Return the tables that were sent to the balancer."""
        return [table for update in self.updates for table in update.tables]

    async def read(self) -> tuple[controlevents.Member, ...]:
        """Return the members, or fail if there are none."""
        if self.members is None:
            raise vmlist.VmListError("read", "vms", "down")
        return self.members

    async def probe(self, address: str) -> probes.Outcome:
        """Report a healthy upstream."""
        return probes.Outcome(True)

    def publish(self, message: object) -> None:
        """Discard a publication."""

    def subscribe(self, peers: object) -> None:
        """Ignore subscriptions."""

    def answer_fetch(self, request: int, found: object) -> None:
        """Discard a response."""

    def fetch(self, peer: str, bus: str, held_versions: dict[str, int]) -> None:
        """Report that the fetch failed."""
        self.deliver(controlevents.FetchFailed(peer, "down"))

    def close(self) -> None:
        """Record the call."""
        self.closed = True


def put_table(fixture: storefakes.StoreFixture, table: tables.Table) -> None:
    """Write a table to the store stand-in."""
    key = documents.make_table_key(table.service)
    put = store.Put(key, documents.encode_table(table))
    fixture.run(fixture.store.transact([], [put]))


def test_tables_of_the_store_reach_the_balancer_without_a_vm_list() -> None:
    """Guard against waiting for the VM list before tables are sent, and missed edits.

    The balancer gets the VM list once it can be read; a later failure to read it does
    not withdraw it.
    """
    fixture = storefakes.StoreFixture()
    put_table(fixture, builders.build_table("booking", 7))
    fake_ports = FakePorts(fixture)
    fake_ports.driver.start(2.0)
    fixture.advance(1.0)
    assert fake_ports.list_delivered() == [builders.build_table("booking", 7)]
    put_table(fixture, builders.build_table("booking", 7, 2))
    fixture.advance(0.5)
    assert fake_ports.list_delivered()[-1] == builders.build_table("booking", 7, 2)
    assert not any(update.vms for update in fake_ports.updates)
    fake_ports.members = (builders.build_member("vm-1", "riga-a"),)
    fixture.advance(3.0)
    assert fake_ports.updates[-1].vms == (fake_ports.members[0].vm,)
    fake_ports.members = None
    fixture.advance(5.0)
    assert fake_ports.updates[-1].vms


def test_error_in_one_event_does_not_stop_the_timers() -> None:
    """Guard against a process that keeps running after its timers have stopped.

    An exception that propagates from a timer's function would stop the timer.
    """
    fixture = storefakes.StoreFixture()
    fake_ports = FakePorts(fixture)
    fake_ports.driver.start(2.0)
    del fake_ports.driver.handlers[controlevents.Deliver]
    fixture.advance(3.0)
    put_table(fixture, builders.build_table("booking", 7))
    fixture.advance(1.0)
    assert all(timer.running for timer in fake_ports.driver.timers)


def test_stop_revokes_the_lease() -> None:
    """Guard against a zone without a reporter until a stopped one's lease expires."""
    fixture = storefakes.StoreFixture()
    fake_ports = FakePorts(fixture)
    fake_ports.members = (builders.build_member("vm-1", "riga-a"),)
    fake_ports.driver.start(2.0)
    fake_ports.driver.receive_report(
        link.encode_message(link.Report("vm-1", "riga-a", "active", {}, ()))
    )
    key = storedriver.REPORTERS_PREFIX + "riga-a"
    fixture.advance(3.0)
    assert fixture.run(fixture.store.get(key)).pair is not None
    fixture.run(fake_ports.driver.stop())
    assert fixture.run(fixture.store.get(key)).pair is None
    assert fake_ports.closed


def make_store_driver(
    fixture: storefakes.StoreFixture,
) -> tuple[storedriver.StoreDriver, list[controlevents.Event]]:
    """Return a store driver and the events that it dispatches."""
    dispatched: list[controlevents.Event] = []
    clock = fixture.clock
    driver = storedriver.StoreDriver(
        SETTINGS, fixture.store, dispatched.append, clock, clock.seconds
    )
    return driver, dispatched


def test_fence_rejects_a_write_after_the_key_was_recreated() -> None:
    """Guard against a late status write of a former reporter.

    Its lease expires and another control process creates the reporter key again.
    """
    fixture = storefakes.StoreFixture()
    driver, dispatched = make_store_driver(fixture)
    driver.grant_lease(15.0)
    fixture.advance(1.0)
    (granted,) = dispatched
    assert isinstance(granted, controlevents.LeaseGranted)
    driver.write_status(granted.fence, {"vm-1": {"booking": 1}})
    fixture.advance(1.0)
    fixture.set_faults(expire_lease=granted.lease)
    other, _ = make_store_driver(fixture)
    other.grant_lease(15.0)
    fixture.advance(1.0)
    driver.write_status(granted.fence, {})
    fixture.advance(1.0)
    assert [type(event) for event in dispatched[1:]] == [
        controlevents.StatusWritten,
        controlevents.LeaseLost,
    ]
    response = fixture.run(fixture.store.get(status.make_status_key("riga-a")))
    assert response.pair is not None
    assert json.loads(response.pair.value)["nodes"] == {"vm-1": {"booking": 1}}


def test_lost_response_to_a_grant_is_resolved() -> None:
    """Guard against a reporter key held by a control process that is unaware of it.

    The transaction succeeds but its response is lost.
    """
    fixture = storefakes.StoreFixture()
    driver, dispatched = make_store_driver(fixture)
    transact = fixture.store.transact

    async def lose_response(
        compares: typing.Any, writes: typing.Any
    ) -> store.TransactResponse:
        await transact(compares, writes)
        raise store.AnswerLost("transact", "store", "cut")

    fixture.store.transact = lose_response  # type: ignore[method-assign]
    driver.grant_lease(15.0)
    fixture.advance(1.0)
    (granted,) = dispatched
    assert isinstance(granted, controlevents.LeaseGranted)
    pair = fixture.run(fixture.store.get(driver.reporter_key)).pair
    assert pair is not None
    assert (pair.lease, pair.create_revision) == granted


def test_watch_starts_once_the_store_is_available() -> None:
    """Guard against a watch that is never opened after an outage of the store.

    A value that cannot be decoded must not end the watch either.
    """
    fixture = storefakes.StoreFixture()
    put_table(fixture, builders.build_table("booking", 7))
    invalid = store.Put(documents.make_table_key("sheets"), b'{"service":"other"}')
    fixture.run(fixture.store.transact([], [invalid]))
    fixture.set_faults(down=True)
    driver, dispatched = make_store_driver(fixture)
    driver.start_watch()
    fixture.advance(30.0)
    assert {type(event) for event in dispatched} == {controlevents.StoreUnavailable}
    fixture.set_faults()
    fixture.advance(10.0)
    tables_found = [
        event for event in dispatched if isinstance(event, controlevents.StoreTable)
    ]
    assert [stored.table.service for stored in tables_found] == ["booking"]
    driver.stop_watch()
    put_table(fixture, builders.build_table("booking", 7, 2))
    count = len(dispatched)
    fixture.advance(5.0)
    assert len(dispatched) == count


def test_errors_in_a_settings_file_are_reported_together(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against a start with unknown or invalid settings."""
    path = tmp_path / "control.ini"
    path.write_text(
        "[node]\nname = vm-1\nzone = riga-a\nsize = 3\n"
        "[bus]\naddress = 127.0.0.1:65535\nkey = 00\n"
        "[store]\naddresses =\n[vms]\nurl = ftp://x\n"
        "[balancer]\nlink = 127.0.0.1:7200\n[metrics]\naddress = 127.0.0.1:7300\n"
    )
    with pytest.raises(ExceptionGroup) as caught:
        controloptions.read_control_settings(path)
    errors = typing.cast(tuple[ini.SettingError, ...], caught.value.exceptions)
    keys = {error.key for error in errors}
    assert keys == {"size", "address", "key", "addresses", "url"}


def test_deferred_of_a_failed_step_is_not_left_unhandled() -> None:
    """Guard against an exception in a spawned coroutine that is never logged."""
    fixture = storefakes.StoreFixture()
    driver, _ = make_store_driver(fixture)

    async def fail() -> None:
        raise ValueError("x")

    results: list[object] = []
    running: defer.Deferred[None] = driver.spawn("step", fail())
    running.addBoth(results.append)
    assert results == [None]
