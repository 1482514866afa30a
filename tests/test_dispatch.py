"""The dispatcher's decisions about packets."""

import pytest

from pistachioshed.core import (
    flowtracker,
    routing,
    segments,
)
from tests import dispatchbuilders as build


def test_an_opening_goes_to_an_upstream_of_its_route_and_is_marked() -> None:
    """Guard against flows of one service that reach another."""
    balancer = build.Balancer(build.SHEETS, build.FIRST)
    assert balancer.send(build.build_segment()) == segments.Forward(
        build.FIRST, mark=True
    )


def test_any_balancer_carries_a_flow_by_its_token() -> None:
    """Guard against flows that break when the fabric moves them to another balancer."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    action = balancer.send(build.build_data(build.SECOND.token))
    assert action == segments.Forward(build.SECOND, mark=False)


def test_open_flows_follow_an_upstream_that_has_left_the_registry() -> None:
    """Guard against flows cut by the removal of an entry."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    leaving = build.FIRST._replace(draining=True)
    balancer.register(leaving)
    balancer.remove(leaving, now=1.0)
    action = balancer.send(build.build_data(build.FIRST.token), 1.5)
    assert action == segments.Forward(leaving, mark=False)


def test_an_open_flow_survives_the_removal_of_its_route() -> None:
    """Guard against a configuration that cuts flows opened before it."""
    balancer = build.Balancer(build.FIRST)
    other = build.build_route(target=build.SHEETS_TARGET)
    balancer.dispatcher.configure(build.build_configuration(2, other), 1.0)
    action = balancer.send(build.build_data(build.FIRST.token), 1.5)
    assert action == segments.Forward(build.FIRST, mark=False)


@pytest.mark.parametrize(
    "setting", ["no route", "no configuration", "no upstream of booking"]
)
def test_an_opening_that_no_upstream_can_take_is_refused_at_once(
    setting: str,
) -> None:
    """Guard against callers that wait for their deadline."""
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
    """Guard against work for hosts that leave."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    balancer.register(build.FIRST._replace(draining=True))
    placed = {balancer.open(port) for port in range(40000, 40020)}
    assert placed == {build.SECOND}


def test_configuration_versions_never_fall() -> None:
    """Guard against a late answer of the store that brings an old version back."""
    balancer = build.Balancer(build.FIRST)
    assert balancer.dispatcher.configure(build.build_configuration(5), 1.0)
    assert not balancer.dispatcher.configure(build.build_configuration(4), 2.0)
    assert balancer.dispatcher.configuration.version == 5


def test_copies_of_an_opening_stay_at_an_upstream_that_answers() -> None:
    """Guard against a flow that two hosts accept."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    upstream = balancer.open(now=0.0)
    copy = build.build_segment(copy=1)
    assert balancer.send(copy, 0.05) == segments.Forward(upstream, mark=True)
    balancer.answer(upstream, now=0.06)
    assert balancer.send(copy, 0.3) == segments.Forward(upstream, mark=True)


def test_a_lost_opening_is_repeated_before_the_caller_does() -> None:
    """Guard against a wait of 200 ms for each packet that a link loses."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    upstream = balancer.open(now=0.0)
    balancer.tick(0.08)
    (order,) = balancer.take_orders()
    assert order.action == segments.Forward(upstream, mark=True)
    assert order.packet == b"packet"


def test_an_opening_moves_away_from_a_silent_upstream() -> None:
    """Guard against openings that wait for a dead host."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    upstream = balancer.open(now=0.0)
    balancer.tick(0.14)
    moved = balancer.take_orders()[-1]
    assert moved.action == segments.Forward(build.find_other(upstream), mark=True)


def test_a_refused_probe_ends_repeatable_flows_and_leaves_the_others() -> None:
    """Guard against callers that wait for a host that has ended.

    A request that may have run and must not run twice is left to its caller.
    """
    check = build.build_route()
    book = build.build_route(target=(build.TARGET[0], 8443), kind="unsafe")
    configuration = build.build_configuration(1, check, book)
    balancer = build.Balancer(build.FIRST, configuration=configuration)
    balancer.open(40000, now=0.0)
    balancer.answer(build.FIRST, 40000, now=0.01)
    balancer.send(build.build_segment(target=book.target), 0.02)
    balancer.send(build.build_data(build.FIRST.token, target=book.target), 0.03)
    health = balancer.dispatcher.monitor.health[build.FIRST.name, 1]
    health.request_probe(0.4)
    balancer.dispatcher.record_probe(build.FIRST, "refused", "no listener", 0.5)
    (order,) = balancer.take_orders()
    assert isinstance(order.action, segments.Refuse)
    assert order.segment.target == check.target
    assert order.segment.acknowledged == 501


def test_two_silent_probes_are_needed_to_give_up_flows() -> None:
    """Guard against flows reset because one connection was lost."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(now=0.0)
    balancer.answer(build.FIRST, now=0.01)
    balancer.dispatcher.monitor.health[build.FIRST.name, 1].request_probe(0.3)
    balancer.dispatcher.record_probe(build.FIRST, "silent", "timeout", 0.45)
    assert balancer.take_orders() == []
    balancer.dispatcher.record_probe(build.FIRST, "silent", "timeout", 0.6)
    assert len(balancer.take_orders()) == 1


def test_a_restart_under_the_same_name_forgets_what_was_learned() -> None:
    """Guard against suspicion and load of a process that no longer exists."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(now=0.0)
    balancer.answer(build.FIRST, now=0.01)
    balancer.dispatcher.monitor.health[build.FIRST.name, 1].suspect(0.1)
    balancer.register(build.FIRST._replace(start_ms=2), now=0.2)
    restarted = balancer.open(40009, now=0.3)
    health = balancer.dispatcher.monitor.health[restarted.name, 2]
    assert health.suspected_at is None
    assert health.outstanding == 1
    (order,) = balancer.take_orders()
    assert isinstance(order.action, segments.Refuse)


def test_new_flows_avoid_the_upstream_that_is_busy() -> None:
    """Guard against requests that queue at one host while another one is idle."""
    balancer = build.Balancer(build.FIRST, build.SECOND._replace(zone="riga-a"))
    balancer.occupy(build.FIRST, 3)
    placed = [balancer.open(port, now=0.0) for port in (40000, 40001)]
    assert {upstream.name for upstream in placed} == {build.SECOND.name}


def test_outstanding_requests_return_to_zero() -> None:
    """Guard against a count that drifts and keeps flows away from a host."""
    balancer = build.Balancer(build.FIRST)
    for port in range(40000, 40050):
        balancer.open(port, now=0.0)
        balancer.answer(build.FIRST, port, now=0.01)
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
    assert balancer.dispatcher.book.flows == {}
    assert balancer.dispatcher.book.waiting == {}
    assert balancer.dispatcher.book.pending == {}


def test_an_overloaded_service_refuses_what_can_not_finish_in_time() -> None:
    """Guard against requests that wait in a queue past their deadline."""
    balancer = build.Balancer(build.FIRST)
    balancer.dispatcher.chooser.latency_s["r-check"] = 0.03
    balancer.occupy(build.FIRST, 200)
    action = balancer.send(build.build_segment(), 0.0)
    assert action == segments.Refuse("booking is overloaded")


@pytest.mark.parametrize(("kind", "resets"), [("safe", 1), ("unsafe", 0)])
def test_repeated_data_into_a_zone_that_is_cut_off(
    kind: routing.RequestKind, resets: int
) -> None:
    """Guard against callers that wait for a cut to heal, and against false resets."""
    route = build.build_route(kind=kind)
    configuration = build.build_configuration(1, route)
    balancer = build.Balancer(build.SECOND, configuration=configuration)
    balancer.dispatcher.monitor.hear_peer(
        build.build_report("front-9", zone="riga-b"), 0.0
    )
    balancer.open(now=0.0)
    request = build.build_data(build.SECOND.token, length=200)
    balancer.send(request, 0.01)
    balancer.tick(1.0)
    assert balancer.dispatcher.monitor.partitioned_zones == {"riga-b"}
    balancer.take_orders()
    assert balancer.send(request, 1.1) == segments.Forward(build.SECOND, mark=False)
    orders = balancer.take_orders()
    assert [type(order.action) for order in orders] == [segments.Refuse] * resets


def test_a_flow_that_turns_to_an_earlier_upstream_is_counted_once() -> None:
    """Guard against a load that grows by each answered flow."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    upstream = balancer.open(now=0.0)
    other = build.find_other(upstream)
    balancer.answer(upstream, now=0.01)
    response = build.build_data(upstream.token, acknowledged=900)
    balancer.send(response, 0.05)
    balancer.send(response._replace(token=other.token), 0.06)
    assert balancer.dispatcher.book.waiting == {}
    assert balancer.dispatcher.monitor.find(other).outstanding == 0


def test_the_flows_that_are_kept_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against callers that open flows until the memory is used up."""
    monkeypatch.setattr(flowtracker, "FLOWS_MAX", 10)
    balancer = build.Balancer(build.FIRST)
    for port in range(40000, 40050):
        balancer.open(port, now=0.0)
    assert len(balancer.dispatcher.book.flows) == 10
    assert balancer.dispatcher.monitor.find(build.FIRST).outstanding == 10


def test_idle_flows_are_forgotten() -> None:
    """Guard against flows of callers that vanished and are kept for ever."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(40000, now=0.0)
    balancer.answer(build.FIRST, 40000, now=0.01)
    balancer.tick(10.0)
    assert len(balancer.dispatcher.book.flows) == 1
    balancer.tick(16.0)
    assert balancer.dispatcher.book.flows == {}


def test_what_can_be_served_in_time_follows_the_responses() -> None:
    """Guard against a queue that grows past the deadline when a service turns slow."""
    balancer = build.Balancer(build.FIRST)
    chooser = balancer.dispatcher.chooser
    route = build.build_route()
    chooser.learn_latency(route, build.FIRST, 0.03)
    balancer.occupy(build.FIRST, 20)
    assert isinstance(balancer.send(build.build_segment()), segments.Forward)
    for _ in range(100):
        chooser.learn_latency(route, build.FIRST, 0.3)
    other = build.build_segment(caller=(build.CALLER[0], 40002))
    assert balancer.send(other) == segments.Refuse("booking is overloaded")


def test_a_request_past_its_time_no_longer_weighs_on_its_upstream() -> None:
    """Guard against load that is counted for callers who have given up."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(now=0.0)
    balancer.answer(build.FIRST, now=0.01)
    balancer.tick(1.0)
    assert balancer.dispatcher.monitor.find(build.FIRST).outstanding == 1
    balancer.tick(2.6)
    assert balancer.dispatcher.monitor.find(build.FIRST).outstanding == 0
