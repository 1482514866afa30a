"""Tests of the VM list and the upstream probes over HTTP."""

import json
import typing

import klein
import pytest
import treq.testing
from twisted.internet import defer, error, task
from twisted.web import http

from pistachioshed.adapters import httpprober
from pistachioshed.adapters import vmlist as vmlist_adapter
from pistachioshed.ports import probes, vmlist
from standins import vmlist as vmlist_standin

VM: typing.Final = {
    "name": "vm-1",
    "zone": "riga-a",
    "address": "127.0.0.1:7000",
    "control": "127.0.0.1:7100",
}


class HttpFixture:
    """Run coroutines against an in-memory HTTP application with a simulated clock."""

    def __init__(self, app: klein.Klein) -> None:
        self.clock = task.Clock()
        self.http = typing.cast(typing.Any, treq.testing.StubTreq(app.resource()))

    def run(self, coroutine: typing.Any, seconds: float = 0.0) -> typing.Any:
        """Run a coroutine and return its result or raise its error."""
        results: list[typing.Any] = []
        defer.Deferred.fromCoroutine(coroutine).addBoth(results.append)
        for _ in range(3):
            self.http.flush()
            self.clock.advance(seconds)
        (result,) = results
        if hasattr(result, "raiseException"):
            result.raiseException()
        return result


def test_vm_list_lags_and_fails() -> None:
    """Guard against a client that treats a failed read as an empty list."""
    clock = task.Clock()
    state = vmlist_standin.VmList(clock, 2.0)
    fixture = HttpFixture(state.app)
    client = vmlist_adapter.HttpVmList("http://x/vms", fixture.http, fixture.clock)
    listed = vmlist_standin.ListedVm(**VM)  # type: ignore[arg-type]
    state.change(vmlist_standin.Change(vms=[listed]))
    (member,) = fixture.run(client.read())
    assert (member.vm.name, member.bus) == ("vm-1", "127.0.0.1:7100")
    state.change(vmlist_standin.Change(vms=[]))
    assert len(fixture.run(client.read())) == 1
    clock.advance(2.0)
    assert fixture.run(client.read()) == ()
    state.change(vmlist_standin.Change(down=True))
    with pytest.raises(vmlist.VmListError):
        fixture.run(client.read())


@pytest.mark.parametrize(
    "fault",
    [{"address": "x"}, {"control": "127.0.0.1:0"}, {"capacity": 0}, {"name": 7}],
)
def test_faulty_vm_list_is_refused(fault: dict[str, object]) -> None:
    """Guard against accepting a VM with an unusable address, capacity or name."""
    with pytest.raises(ValueError):
        vmlist_adapter.decode_members(json.dumps([VM | fault]).encode())


@pytest.mark.parametrize(
    ("health", "load", "expected"),
    [
        ('{"status":"ok"}', '{"load":0.5}', probes.Outcome(True, False, 0.5, 0.0)),
        ('{"status":"draining"}', "?", probes.Outcome(True, True, None, 0.0)),
        ('{"status":"ill"}', '{"load":-1}', probes.Outcome(False, False, None, 0.0)),
        ("", '{"load":0.5}', probes.Outcome(False)),
        ('{"status":"ok"}' + " " * 70_000, '{"load":0.5}', probes.Outcome(False)),
    ],
)
def test_probe_responses(health: str, load: str, expected: probes.Outcome) -> None:
    """Guard against misparsed, invalid or oversized responses of upstreams."""
    app = klein.Klein()
    app.route("/health", endpoint="health")(lambda request: health)
    app.route("/load", endpoint="load")(lambda request: load)
    fixture = HttpFixture(app)
    prober = httpprober.HttpProber(fixture.http, 0, fixture.clock)
    assert fixture.run(prober.probe("127.0.0.1:8000")) == expected


def test_upstream_that_drops_packets_is_not_ok() -> None:
    """Guard against a probe without a result when the connection never opens."""

    class Http:
        """An HTTP client whose connections are never established."""

        def get(self, url: str, unbuffered: bool) -> defer.Deferred[None]:
            """Return a request that is still connecting until it is cancelled."""
            cancelled = error.ConnectingCancelledError("127.0.0.1:8000")
            return defer.Deferred(lambda pending: pending.errback(cancelled))

    fixture = HttpFixture(klein.Klein())
    prober = httpprober.HttpProber(typing.cast(typing.Any, Http()), 0, fixture.clock)
    outcome = fixture.run(prober.probe("127.0.0.1:8000"), seconds=1.0)
    assert outcome == probes.Outcome(False)


def test_probe_of_an_unresponsive_upstream_times_out() -> None:
    """Guard against pending probes that accumulate on an unresponsive upstream."""
    app = klein.Klein()

    @app.route("/health")
    def hang(request: http.Request) -> defer.Deferred[bytes]:
        return defer.Deferred()

    fixture = HttpFixture(app)
    prober = httpprober.HttpProber(fixture.http, 0, fixture.clock)
    outcome = fixture.run(prober.probe("127.0.0.1:8000"), seconds=1.0)
    assert outcome == probes.Outcome(False)
    assert fixture.run(prober.probe("[::1]:8000")) is None
