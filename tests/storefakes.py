"""A store stand-in in memory with an injected clock, and the client's side of it."""

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
    """An in-memory HTTP agent that refuses connections to some addresses."""

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
        """Make a request, or fail as a refused connection does."""
        address = uri.decode().split("/")[2]
        self.requested_addresses.append(address)
        if address in self.refused_addresses:
            return defer.fail(error.ConnectionRefusedError())
        return self.inner.request(method, uri, headers, bodyProducer)

    def flush(self) -> None:
        """Move all bytes, in the order in which the connections were made."""
        pumps = sorted(self.inner._pumps, key=lambda pump: pump.clientIO.serial)
        self.inner._pumps = set()
        for pump in pumps:
            pump.flush()
            if not (pump.clientIO.disconnected and pump.serverIO.disconnected):
                self.inner._pumps.add(pump)


class StoreFixture:
    """A stand-in, its clock and a client."""

    def __init__(self, addresses: abc.Sequence[str] = ("127.0.0.1:1",)) -> None:
        self.clock = task.Clock()
        self.store_standin = standin.Store(self.clock)
        self.agent = InMemoryAgent(self.store_standin)
        self.store = self.make_client(addresses)

    def make_client(
        self, addresses: abc.Sequence[str] = ("127.0.0.1:1",)
    ) -> etcd.EtcdStore:
        """Make another client of the same stand-in."""
        # The default producer sends a body by the global reactor.
        http = treq.client.HTTPClient(
            typing.cast(iweb.IAgent, self.agent),
            data_to_body_producer=typing.cast(
                typing.Any, treq.testing._SynchronousProducer
            ),
        )
        return etcd.EtcdStore(addresses, http, self.clock, random.Random(1))

    def set_faults(self, **faults: typing.Any) -> None:
        """Set the stand-in's faults."""
        self.store_standin.set_faults(standin.Faults(**faults))

    def advance(self, seconds: float) -> None:
        """Let time pass and move all bytes."""
        for _ in range(max(round(seconds / STEP_SECONDS), 1)):
            self.clock.advance(STEP_SECONDS)
            self.agent.flush()

    def start(
        self, coroutine: abc.Coroutine[typing.Any, typing.Any, T]
    ) -> defer.Deferred[T]:
        """Start a coroutine."""
        return defer.Deferred.fromCoroutine(coroutine)

    def run(
        self,
        coroutine: abc.Coroutine[typing.Any, typing.Any, T],
        limit_seconds: float = 60.0,
    ) -> T:
        """Run a coroutine to its end and return its result."""
        results: list[typing.Any] = []
        self.start(coroutine).addBoth(results.append)
        end = self.clock.seconds() + limit_seconds
        self.agent.flush()
        while not results and self.clock.seconds() < end:
            self.advance(STEP_SECONDS)
        assert results, f"not done within {limit_seconds} s"
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return typing.cast(T, results[0])


def run_before_write(
    store: etcd.EtcdStore, other: abc.Coroutine[typing.Any, typing.Any, object]
) -> None:
    """Let another coroutine run to its end before the store's next transaction."""
    transact = store.transact

    async def wait(*arguments: typing.Any) -> typing.Any:
        setattr(store, "transact", transact)
        await other
        return await transact(*arguments)

    setattr(store, "transact", wait)
