"""Tests of the dispatcher's decisions about packets."""

import pytest

from pistachioshed.core import (
    flowtracker,
    revisions,
    routing,
    segments,
)
from tests import dispatchbuilders as build


def test_an_opening_goes_to_an_upstream_of_its_route_with_its_token() -> None:
    """Guard against flows that are sent to an upstream of another service."""
    balancer = build.Balancer(build.SHEETS, build.FIRST)
    assert balancer.send(build.build_segment()) == segments.Forward(
        build.FIRST, write_token=True
    )


def test_any_balancer_forwards_a_flow_by_its_token() -> None:
    """Guard against flows that break when the fabric sends them to another balancer."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    action = balancer.send(build.build_data(build.SECOND.token))
    assert action == segments.Forward(build.SECOND, write_token=False)


def test_open_flows_are_forwarded_to_an_unregistered_upstream() -> None:
    """Guard against flows that break when the entry of their upstream is removed."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    leaving = build.FIRST._replace(draining=True)
    balancer.register(leaving)
    balancer.remove(leaving, now=1.0)
    action = balancer.send(build.build_data(build.FIRST.token), 1.5)
    assert action == segments.Forward(leaving, write_token=False)


def test_an_open_flow_survives_the_removal_of_its_route() -> None:
    """Guard against a new configuration that breaks flows opened before it."""
    balancer = build.Balancer(build.FIRST)
    other = build.build_route(target=build.SHEETS_TARGET)
    balancer.dispatcher.configure(build.build_configuration(2, other), 1.0)
    action = balancer.send(build.build_data(build.FIRST.token), 1.5)
    assert action == segments.Forward(build.FIRST, write_token=False)


@pytest.mark.parametrize(
    "setting", ["no route", "no configuration", "no upstream of booking"]
)
def test_an_opening_that_no_upstream_can_take_is_refused_at_once(
    setting: str,
) -> None:
    """Guard against callers that wait until their deadline."""
    balancer = build.Balancer(build.FIRST)
    segment = build.build_segment()
    if setting == "no route":
        segment = segment._replace(target=build.SHEETS_TARGET)
    elif setting == "no configuration":
        balancer.dispatcher.configuration = routing.EMPTY_CONFIGURATION
    else:
        balancer.register(build.FIRST._replace(draining=True))
    assert balancer.send(segment) == segments.Refuse(setting)
    assert balancer.find_events("refused")[0]["reason"] == setting


def test_a_draining_upstream_gets_no_new_flow() -> None:
    """Guard against new flows to hosts that are about to stop."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    balancer.register(build.FIRST._replace(draining=True))
    placed = {balancer.open(port) for port in range(40000, 40020)}
    assert placed == {build.SECOND}


def test_configuration_versions_never_decrease() -> None:
    """Guard against a late response of the store that restores an old version."""
    balancer = build.Balancer(build.FIRST)
    assert balancer.dispatcher.configure(build.build_configuration(5), 1.0)
    assert not balancer.dispatcher.configure(build.build_configuration(4), 2.0)
    assert balancer.dispatcher.configuration.version == 5


def test_copies_of_an_opening_stay_at_an_upstream_that_answers() -> None:
    """Guard against a flow that is accepted by two hosts."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    upstream = balancer.open(now=0.0)
    copy = build.build_segment(copy=1)
    assert balancer.send(copy, 0.05) == segments.Forward(upstream, write_token=True)
    balancer.complete_handshake(upstream, now=0.06)
    assert balancer.send(copy, 0.3) == segments.Forward(upstream, write_token=True)


def test_a_lost_opening_is_retransmitted_before_the_caller_does() -> None:
    """Guard against a delay of 200 ms for each opening that is lost on a link."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    upstream = balancer.open(now=0.0)
    balancer.tick(0.08)
    (queued,) = balancer.take_queued_actions()
    assert queued.action == segments.Forward(upstream, write_token=True)
    assert queued.packet == b"packet"


def test_an_opening_moves_away_from_a_silent_upstream() -> None:
    """Guard against openings that wait for a host that has failed."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    upstream = balancer.open(now=0.0)
    balancer.tick(0.14)
    moved = balancer.take_queued_actions()[-1]
    assert moved.action == segments.Forward(
        build.find_other(upstream), write_token=True
    )


def test_a_refused_probe_resets_only_flows_that_callers_may_retry() -> None:
    """Guard against callers that wait for an upstream that has ended.

    A flow whose request may have run and must not run twice is not reset.
    """
    safe_route = build.build_route()
    unsafe_route = build.build_route(target=(build.TARGET[0], 8443), kind="unsafe")
    configuration = build.build_configuration(1, safe_route, unsafe_route)
    balancer = build.Balancer(build.FIRST, configuration=configuration)
    balancer.open(40000, now=0.0)
    balancer.complete_handshake(build.FIRST, 40000, now=0.01)
    balancer.send(build.build_segment(target=unsafe_route.target), 0.02)
    balancer.send(build.build_data(build.FIRST.token, target=unsafe_route.target), 0.03)
    health = balancer.dispatcher.monitor.health[build.FIRST.name, 1]
    health.request_probe(0.4)
    balancer.dispatcher.record_probe(build.FIRST, "refused", "no listener", 0.5)
    (queued,) = balancer.take_queued_actions()
    assert isinstance(queued.action, segments.Refuse)
    assert queued.segment.target == safe_route.target
    assert queued.segment.acknowledged == 501


def test_two_silent_probes_are_needed_to_reset_flows() -> None:
    """Guard against flows that are reset because a single probe was lost."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(now=0.0)
    balancer.complete_handshake(build.FIRST, now=0.01)
    balancer.dispatcher.monitor.health[build.FIRST.name, 1].request_probe(0.3)
    balancer.dispatcher.record_probe(build.FIRST, "silent", "timeout", 0.45)
    assert balancer.take_queued_actions() == []
    balancer.dispatcher.record_probe(build.FIRST, "silent", "timeout", 0.6)
    assert len(balancer.take_queued_actions()) == 1


def test_a_restart_under_the_same_name_clears_health_and_load() -> None:
    """Guard against suspicion and load that remain from the previous process."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(now=0.0)
    balancer.complete_handshake(build.FIRST, now=0.01)
    balancer.dispatcher.monitor.health[build.FIRST.name, 1].suspect(0.1)
    balancer.register(build.FIRST._replace(start_ms=2), now=0.2)
    restarted = balancer.open(40009, now=0.3)
    health = balancer.dispatcher.monitor.health[restarted.name, 2]
    assert health.suspected_at is None
    assert health.outstanding == 1
    (queued,) = balancer.take_queued_actions()
    assert isinstance(queued.action, segments.Refuse)


def test_new_flows_avoid_a_busy_upstream() -> None:
    """Guard against requests that queue at one host while another one is idle."""
    balancer = build.Balancer(build.FIRST, build.SECOND._replace(zone="riga-a"))
    balancer.set_outstanding(build.FIRST, 3)
    placed = [balancer.open(port, now=0.0) for port in (40000, 40001)]
    assert {upstream.name for upstream in placed} == {build.SECOND.name}


def test_outstanding_requests_return_to_zero() -> None:
    """Guard against a count that drifts upwards and keeps new flows from a host."""
    balancer = build.Balancer(build.FIRST)
    for port in range(40000, 40050):
        balancer.open(port, now=0.0)
        balancer.complete_handshake(build.FIRST, port, now=0.01)
        caller = (build.CALLER[0], port)
        request = build.build_data(build.FIRST.token, caller=caller, length=200)
        balancer.send(request, 0.01)
        end = build.build_data(
            build.FIRST.token,
            caller=caller,
            sequence=1_201,
            acknowledged=900,
            closing=True,
        )
        balancer.send(end, 0.04)
    assert balancer.dispatcher.monitor.health[build.FIRST.name, 1].outstanding == 0
    assert balancer.latencies == pytest.approx([0.03] * 50)
    assert balancer.dispatcher.flow_tracker.flows == {}
    assert balancer.dispatcher.flow_tracker.waiting == {}
    assert balancer.dispatcher.flow_tracker.pending == {}


def test_an_overloaded_service_refuses_requests_that_would_time_out() -> None:
    """Guard against requests that wait in a queue past their deadline."""
    balancer = build.Balancer(build.FIRST)
    balancer.dispatcher.upstream_selector.typical_latency_s["r-check"] = 0.03
    balancer.set_outstanding(build.FIRST, 200)
    action = balancer.send(build.build_segment(), 0.0)
    assert action == segments.Refuse("booking is overloaded")


@pytest.mark.parametrize(("kind", "resets"), [("safe", 1), ("unsafe", 0)])
def test_retransmitted_data_to_a_partitioned_zone(
    kind: routing.RequestKind, resets: int
) -> None:
    """Guard against callers that wait for a partition to end, and unsafe resets."""
    route = build.build_route(kind=kind)
    configuration = build.build_configuration(1, route)
    balancer = build.Balancer(build.SECOND, configuration=configuration)
    balancer.dispatcher.monitor.handle_peer_report(
        build.build_report("front-9", zone="riga-b"), 0.0
    )
    balancer.open(now=0.0)
    request = build.build_data(build.SECOND.token, length=200)
    balancer.send(request, 0.01)
    balancer.tick(1.0)
    assert balancer.dispatcher.monitor.partitioned_zones == {"riga-b"}
    balancer.take_queued_actions()
    assert balancer.send(request, 1.1) == segments.Forward(
        build.SECOND, write_token=False
    )
    queued_actions = balancer.take_queued_actions()
    assert [type(queued.action) for queued in queued_actions] == [
        segments.Refuse
    ] * resets


def test_a_flow_that_changes_its_upstream_is_counted_once() -> None:
    """Guard against a load that grows with each flow answered by another upstream."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    upstream = balancer.open(now=0.0)
    other = build.find_other(upstream)
    balancer.complete_handshake(upstream, now=0.01)
    response = build.build_data(upstream.token, acknowledged=900)
    balancer.send(response, 0.05)
    balancer.send(response._replace(token=other.token), 0.06)
    assert balancer.dispatcher.flow_tracker.waiting == {}
    assert balancer.dispatcher.monitor.find(other).outstanding == 0


def test_the_number_of_tracked_flows_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against callers that exhaust the memory by opening flows."""
    monkeypatch.setattr(flowtracker, "FLOWS_MAX", 10)
    balancer = build.Balancer(build.FIRST)
    for port in range(40000, 40050):
        balancer.open(port, now=0.0)
    assert len(balancer.dispatcher.flow_tracker.flows) == 10
    assert balancer.dispatcher.monitor.find(build.FIRST).outstanding == 10


def test_idle_flows_are_removed() -> None:
    """Guard against flows of vanished callers that are tracked forever."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(40000, now=0.0)
    balancer.complete_handshake(build.FIRST, 40000, now=0.01)
    balancer.tick(10.0)
    assert len(balancer.dispatcher.flow_tracker.flows) == 1
    balancer.tick(16.0)
    assert balancer.dispatcher.flow_tracker.flows == {}


def test_the_overload_check_follows_measured_latencies() -> None:
    """Guard against queues longer than the deadline when a service becomes slow."""
    balancer = build.Balancer(build.FIRST)
    upstream_selector = balancer.dispatcher.upstream_selector
    route = build.build_route()
    upstream_selector.learn_latency(route, build.FIRST, 0.03)
    balancer.set_outstanding(build.FIRST, 20)
    assert isinstance(balancer.send(build.build_segment()), segments.Forward)
    for _ in range(100):
        upstream_selector.learn_latency(route, build.FIRST, 0.3)
    other = build.build_segment(caller=(build.CALLER[0], 40002))
    assert balancer.send(other) == segments.Refuse("booking is overloaded")


def test_a_request_past_its_timeout_is_no_longer_outstanding() -> None:
    """Guard against load that is counted for callers that have given up."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(now=0.0)
    balancer.complete_handshake(build.FIRST, now=0.01)
    balancer.tick(1.0)
    assert balancer.dispatcher.monitor.find(build.FIRST).outstanding == 1
    balancer.tick(2.6)
    assert balancer.dispatcher.monitor.find(build.FIRST).outstanding == 0


def test_an_outdated_snapshot_is_not_logged_as_read() -> None:
    """Guard against a log and an age of the state that name a batch not in use."""
    balancer = build.Balancer(build.FIRST)
    balancer.register(build.FIRST._replace(draining=True), now=5.0)
    reads = len(balancer.find_events("upstreams read"))
    balancer.dispatcher.update_directory([], 1, True, 9.0)
    assert balancer.find_events("upstreams outdated") == [
        {"received": 1, "snapshot": True, "upstreams": 2}
    ]
    assert len(balancer.find_events("upstreams read")) == reads
    assert balancer.dispatcher.directory_updated_at == 5.0
    assert not balancer.find_events("store restored")


def test_a_restoration_of_the_store_is_logged_once() -> None:
    """Guard against an operator who cannot tell when the store went back."""
    balancer = build.Balancer(build.FIRST)
    restored = revisions.combine_revision(2, 7)
    change = build.build_change(build.FIRST, restored)
    for _ in range(2):
        balancer.dispatcher.update_directory([change], restored, True, 9.0)
    assert balancer.find_events("store restored") == [
        {"era": 2, "previous_era": 0, "received": restored, "upstreams": 1}
    ]
