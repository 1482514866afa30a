"""An in-memory store stand-in with an injected clock, and a client for it."""

import random
import typing
from collections import abc

import treq.client
import treq.testing
from twisted.internet import defer, error, task
from twisted.web import iweb

from pistachioshed.adapters import etcd
from standins import store as standin

T = typing.TypeVar("T")

STEP_SECONDS: typing.Final = 0.05


class InMemoryAgent:
    """An in-memory HTTP agent that refuses connections to `refused_addresses`."""

    def __init__(self, store_standin: standin.Store) -> None:
        self.inner = treq.testing.RequestTraversalAgent(store_standin.app.resource())
        self.refused_addresses: set[str] = set()
        self.requested_addresses: list[str] = []

    def request(
        self,
        method: bytes,
        uri: bytes,
        headers: typing.Any = None,
        bodyProducer: typing.Any = None,
    ) -> typing.Any:
        """Make a request, or fail with a refused connection."""
        address = uri.decode().split("/")[2]
        self.requested_addresses.append(address)
        if address in self.refused_addresses:
            return defer.fail(error.ConnectionRefusedError())
        return self.inner.request(method, uri, headers, bodyProducer)

    def flush(self) -> None:
        """Transfer all buffered bytes, in the order of the connections' creation."""
        pumps = sorted(self.inner._pumps, key=lambda pump: pump.clientIO.serial)
        self.inner._pumps = set()
        for pump in pumps:
            pump.flush()
            if not (pump.clientIO.disconnected and pump.serverIO.disconnected):
                self.inner._pumps.add(pump)


class StoreFixture:
    """A store stand-in, its clock and a client."""

    def __init__(self, addresses: abc.Sequence[str] = ("127.0.0.1:1",)) -> None:
        self.clock = task.Clock()
        self.store_standin = standin.Store(self.clock)
        self.agent = InMemoryAgent(self.store_standin)
        self.store = self.make_client(addresses)

    def make_client(
        self, addresses: abc.Sequence[str] = ("127.0.0.1:1",)
    ) -> etcd.EtcdStore:
        """Return a new client of the same stand-in."""
        # The default body producer uses the global reactor instead of the test's clock.
        http = treq.client.HTTPClient(
            typing.cast(iweb.IAgent, self.agent),
            data_to_body_producer=typing.cast(
                typing.Any, treq.testing._SynchronousProducer
            ),
        )
        return etcd.EtcdStore(addresses, http, self.clock, random.Random(1))

    def set_faults(self, **faults: typing.Any) -> None:
        """Replace the faults that the stand-in injects."""
        self.store_standin.set_faults(standin.Faults(**faults))

    def advance(self, seconds: float) -> None:
        """Advance the clock in small steps and transfer all bytes after each one."""
        for _ in range(max(round(seconds / STEP_SECONDS), 1)):
            self.clock.advance(STEP_SECONDS)
            self.agent.flush()

    def start(
        self, coroutine: abc.Coroutine[typing.Any, typing.Any, T]
    ) -> defer.Deferred[T]:
        """Start a coroutine without waiting for its result."""
        return defer.Deferred.fromCoroutine(coroutine)

    def run(
        self,
        coroutine: abc.Coroutine[typing.Any, typing.Any, T],
        limit_seconds: float = 60.0,
    ) -> T:
        """Run a coroutine to completion and return its result.

        `limit_seconds` limits the simulated time.
        """
        results: list[typing.Any] = []
        self.start(coroutine).addBoth(results.append)
        end = self.clock.seconds() + limit_seconds
        self.agent.flush()
        while not results and self.clock.seconds() < end:
            self.advance(STEP_SECONDS)
        assert results, f"coroutine did not complete within {limit_seconds} s"
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return typing.cast(T, results[0])


def run_before_write(
    store: etcd.EtcdStore, other: abc.Coroutine[typing.Any, typing.Any, object]
) -> None:
    """Run another coroutine to completion before the store's next transaction."""
    transact = store.transact

    async def wait(*arguments: typing.Any) -> typing.Any:
        setattr(store, "transact", transact)
        await other
        return await transact(*arguments)

    setattr(store, "transact", wait)
