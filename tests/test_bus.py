"""Tests of the pynng bus between control processes, on loopback."""

import asyncio
import collections
import socket
import typing
from collections import abc

import pynng
import pytest

from pistachioshed.adapters import bus, subscription
from pistachioshed.core import controlevents, digests, tables
from tests import builders

KEY: typing.Final = bytes(range(16))
SILENCE_S: typing.Final = 0.2


def find_port() -> int:
    """Return a free port whose next port is free too."""
    for _ in range(50):
        with socket.socket() as one, socket.socket() as two:
            one.bind(("127.0.0.1", 0))
            port = int(one.getsockname()[1])
            try:
                two.bind(("127.0.0.1", port + 1))
            except OSError:
                continue
            return port
    raise OSError("found no two consecutive free ports")


class BusFixture:
    """A bus that records the events and counts that it delivers."""

    def __init__(self, name: str, key: bytes = KEY) -> None:
        self.events: asyncio.Queue[controlevents.Event] = asyncio.Queue()
        self.counts: collections.Counter[str] = collections.Counter()
        self.bus = bus.Bus(name, key, self.handle_event, self.count, SILENCE_S)
        self.address = f"127.0.0.1:{find_port()}"
        self.bus.listen(self.address)
        self.stored_tables: tuple[tables.Table, ...] = ()

    def handle_event(self, event: controlevents.Event) -> None:
        """Reply to a fetch request, or record any other event."""
        if isinstance(event, controlevents.FetchRequested):
            self.bus.answer_fetch(event.request, self.stored_tables)
        else:
            self.events.put_nowait(event)

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add an amount to a metric."""
        self.counts[name] += amount

    async def receive(self) -> controlevents.Event:
        """Wait for the next recorded event and return it."""
        return await asyncio.wait_for(self.events.get(), 5)


def run(
    scenario: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]],
) -> None:
    """Run a test's coroutine."""
    asyncio.run(asyncio.wait_for(scenario(), 15))


async def publish_until_received(
    publisher: BusFixture, receiver: BusFixture, message: digests.Digest
) -> controlevents.Event:
    """Publish a digest until it arrives, as the subscription may not be open yet."""
    for _ in range(100):
        publisher.bus.publish(message)
        try:
            return await asyncio.wait_for(receiver.events.get(), 0.05)
        except TimeoutError:
            continue
    raise AssertionError("nothing received")


def test_late_subscriber_fetches_a_table() -> None:
    """Guard against a table that only those subscribed when it was sent receive."""

    async def scenario() -> None:
        holder, joiner = BusFixture("vm-1"), BusFixture("vm-2")
        table = builders.build_table("booking", 7, 4)
        holder.stored_tables = (table,)
        entry = digests.Entry("booking", 4, digests.hash_table(table), 4)
        digest = digests.Digest("vm-1", "riga-a", (entry,))
        holder.bus.publish(digest)
        joiner.bus.subscribe([("vm-1", holder.address)])
        event = await publish_until_received(holder, joiner, digest)
        assert event == controlevents.DigestReceived(digest)
        joiner.bus.fetch("vm-1", holder.address, {})
        while not isinstance(event, controlevents.FetchAnswered):
            event = await joiner.receive()
        assert event == controlevents.FetchAnswered("vm-1", (table,))
        joiner.bus.close()
        holder.bus.close()

    run(scenario)


def test_silent_subscription_reconnects() -> None:
    """Guard against keeping an open connection that no longer receives anything."""

    async def scenario() -> None:
        accepted: list[asyncio.StreamWriter] = []

        async def stay_silent(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            accepted.append(writer)
            # The SP protocol header of a publisher, then no data.
            writer.write(bytes([0, ord("S"), ord("P"), 0, 0, 0x20, 0, 0]))
            await reader.read()

        server = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
        address = "127.0.0.1:{}".format(server.sockets[0].getsockname()[1])
        listener = BusFixture("vm-2")
        listener.bus.subscribe([("vm-1", address)])
        for _ in range(200):
            if len(accepted) >= 3:
                break
            await asyncio.sleep(0.02)
        assert len(accepted) >= 3
        assert listener.counts["bus_redials"] >= 2
        listener.bus.close()
        for writer in accepted:
            writer.close()
        server.close()

    run(scenario)


@pytest.mark.parametrize("fault", ["other key", "other sender", "garbage"])
def test_bad_publication_is_dropped_and_counted(fault: str) -> None:
    """Guard against accepting forged or damaged tables and digests."""

    async def scenario() -> None:
        key = bytes(16) if fault == "other key" else KEY
        publisher, receiver = BusFixture("vm-1", key), BusFixture("vm-2")
        name = "vm-9" if fault == "other sender" else "vm-1"
        receiver.bus.subscribe([("vm-1", publisher.address)])
        for _ in range(100):
            if fault == "garbage":
                publisher.bus.outbox.put_nowait(b"d" + bytes(40))
            else:
                publisher.bus.publish(digests.Digest(name, "riga-a", ()))
            await asyncio.sleep(0.02)
            if receiver.counts["bus_drops"]:
                break
        assert receiver.counts["bus_drops"]
        assert receiver.events.empty()
        publisher.bus.close()
        receiver.bus.close()

    run(scenario)


def test_fetch_from_an_absent_peer_fails() -> None:
    """Guard against a startup that waits forever for a dead peer."""

    async def scenario() -> None:
        fixture = BusFixture("vm-1")
        fixture.bus.fetch("vm-2", f"127.0.0.1:{find_port()}", {})
        event = await fixture.receive()
        assert isinstance(event, controlevents.FetchFailed)
        fixture.bus.close()

    run(scenario)


def test_closed_subscription_leaves_no_socket() -> None:
    """Guard against a descriptor leak at each change of subscriptions."""

    async def scenario() -> None:
        with pynng.Pub0(listen=f"tcp://127.0.0.1:{find_port()}") as publisher:
            address = publisher.listeners[0].url.removeprefix("tcp://")
            drops: list[str] = []
            current = subscription.Subscription(
                "vm-1", address, [b"d"], 5.0, lambda *_: None, drops.append
            )
            while not publisher.pipes:
                await asyncio.sleep(0.01)
            current.close()
            while publisher.pipes:
                await asyncio.sleep(0.01)
            assert current.task.cancelled()

    run(scenario)


def test_a_socket_error_does_not_end_the_bus(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a control that publishes or answers nothing after one error."""

    async def scenario() -> None:
        publisher, subscriber = BusFixture("control-1"), BusFixture("control-2")
        failures: list[str] = []

        def fail_once(
            method: abc.Callable[..., abc.Awaitable[typing.Any]], step: str
        ) -> abc.Callable[..., abc.Awaitable[typing.Any]]:
            async def call(*arguments: typing.Any) -> typing.Any:
                if step not in failures:
                    failures.append(step)
                    raise pynng.ConnectionReset("reset", 10)
                return await method(*arguments)

            return call

        monkeypatch.setattr(
            publisher.bus.publisher,
            "asend",
            fail_once(publisher.bus.publisher.asend, "publish"),
        )
        subscriber.bus.subscribe([("control-1", publisher.address)])
        digest = digests.Digest("control-1", "riga-a", ())
        deadline = asyncio.get_running_loop().time() + 5
        while subscriber.events.empty():
            assert asyncio.get_running_loop().time() < deadline
            publisher.bus.publish(digest)
            await asyncio.sleep(0.05)
        assert failures == ["publish"]
        assert publisher.counts["bus_drops"] == 1
        publisher.bus.close()
        subscriber.bus.close()

    asyncio.run(scenario())
