"""Tests of the stand-ins that other tests and the demo rely on."""

import asyncio
import typing

import pytest

from standins import fabric, hosts, http3, http3server, paths

FLOW = ("127.0.0.1", 40_000)


def make_request(path: str, request_id: str, deadline_ms: int) -> http3.Request:
    """Return a request as the HTTP/3 server passes it to a host."""
    headers = {"x-request-id": request_id, "x-deadline-ms": str(deadline_ms)}
    return http3.Request("POST", path, headers, b"")


def test_upstream_executes_once_per_request_id() -> None:
    """Guard against an execution record with missing or extra executions."""

    async def run() -> list[dict[str, object]]:
        records: list[dict[str, object]] = []
        host = hosts.Host("booking", "booking-1", records.append, slots=1)
        request = make_request("/reservation", "r1", 1_000)
        responses = await asyncio.gather(*(host.respond(request) for _ in range(3)))
        assert {response.body for response in responses} == {responses[0].body}
        late = make_request("/reservation", "r2", 1)
        busy = asyncio.create_task(host.respond(make_request("/lookup", "r3", 1_000)))
        await asyncio.sleep(0)
        assert (await host.respond(late)).headers == hosts.NOT_RUN
        queued = asyncio.create_task(
            host.respond(make_request("/reservation", "r4", 1_000)),
        )
        await asyncio.sleep(0)
        queued.cancel()
        await busy
        host.shedding = True
        shed = await host.respond(make_request("/reservation", "r5", 1_000))
        assert (shed.status, shed.headers) == (503, hosts.NOT_RUN)
        return records

    assert [entry["request"] for entry in asyncio.run(run())] == ["r1", "r3"]


def test_cancelled_request_is_not_executed_over_http3() -> None:
    """Guard against a server that executes a request after its caller cancelled it."""

    async def run() -> list[dict[str, object]]:
        records: list[dict[str, object]] = []
        host = hosts.Host("booking", "booking-1", records.append)
        host.speed = 0.02
        server = await http3server.serve(("127.0.0.1", 0), host.respond, set())
        assert server._transport is not None
        address = server._transport.get_extra_info("sockname")
        client = await http3.open_connection(address)
        sent = client.request("POST", "/reservation", {"x-request-id": "r1"}, 2)
        task = asyncio.create_task(sent)
        await asyncio.sleep(0.1)
        client.cancel_requests()
        with pytest.raises(http3.LostError):
            await task
        await asyncio.sleep(0.4)
        await http3.close_connection(client)
        server.close()
        return records

    assert asyncio.run(run()) == []


def test_draining_host_sends_goaway() -> None:
    """Guard against callers that never leave a draining host."""

    async def run() -> tuple[bool, bool]:
        host = hosts.Host("booking", "booking-1", lambda entry: None)
        connections: set[http3server.Server] = set()
        server = await http3server.serve(("127.0.0.1", 0), host.respond, connections)
        assert server._transport is not None
        client = await http3.open_connection(
            server._transport.get_extra_info("sockname"),
        )
        await client.request("GET", "/lookup", {"x-request-id": "r1"}, 2)
        before = client.usable
        for connection in connections:
            connection.send_goaway()
        await asyncio.sleep(0.1)
        after = client.usable
        await http3.close_connection(client)
        server.close()
        return before, after

    assert asyncio.run(run()) == (True, False)


class Wire:
    """A fake reactor and socket that records destinations and delays."""

    def __init__(self) -> None:
        self.sent: list[typing.Any] = []
        self.delays: list[float] = []

    def listenUDP(self, number: int, port: typing.Any, interface: str) -> None:
        """Attach a protocol to this transport."""
        port.transport = self

    def getHandle(self) -> "Wire":
        """Return the fake socket."""
        return self

    def setsockopt(self, *values: int) -> None:
        """Ignore a socket option."""

    def seconds(self) -> float:
        """Return a fixed time."""
        return 0.0

    def callLater(self, delay_s: float, call: typing.Any, *args: typing.Any) -> None:
        """Call at once and record the delay."""
        self.delays.append(delay_s)
        call(*args)

    def write(self, data: bytes, address: typing.Any) -> None:
        """Record a datagram's destination."""
        self.sent.append(address)


def test_fabric_effects() -> None:
    """Guard against network faults that are configured but not applied."""
    reactor = Wire()
    network = fabric.Fabric(reactor, seed=1)
    front = network.open_front("booking", ("127.0.0.1", 9_001))
    front.add_balancer("entry-1", ("127.0.0.1", 1))
    front.add_balancer("entry-2", ("127.0.0.1", 2))

    def send(count: int) -> int:
        reactor.sent.clear()
        for _ in range(count):
            front.datagramReceived(b"data", FLOW)
        return len(reactor.sent)

    assert send(100) == 100
    assert len(set(reactor.sent)) == 2
    network.effects = paths.Effects(cut=frozenset(["entry-1"]))
    assert 0 < send(100) < 100
    assert set(reactor.sent) == {("127.0.0.1", 2)}
    network.effects = paths.Effects(lose=0.5)
    assert 30 < send(100) < 70
    network.effects = paths.Effects(double=1.0, reorder=1.0)
    assert send(10) == 20
    assert len(set(reactor.delays)) == 20
    network.effects = paths.Effects()
    front.remove_balancer("entry-2")
    assert send(10) == 10
    assert network.freeze_flows(1.0) == 1
    assert send(10) == 0
    front.datagramReceived(b"data", ("127.0.0.1", 40_001))
    assert len(reactor.sent) == 1
