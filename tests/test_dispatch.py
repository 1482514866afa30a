"""The dispatcher's decisions about packets."""

import pytest

from pistachioshed.core import (
    directory,
    dispatch,
    passivehealth,
    peertable,
    routing,
    segments,
)
from tests import dispatchbuilders as build

FIRST = build.build_upstream(1)
SECOND = build.build_upstream(2, zone="riga-b")
SHEETS = build.build_upstream(9, service="sheets")


def find_other(upstream: directory.Upstream) -> directory.Upstream:
    """Return the other one of the first two upstreams."""
    return SECOND if upstream == FIRST else FIRST


def test_an_opening_goes_to_an_upstream_of_its_route_and_is_marked() -> None:
    """Guard against flows of one service that reach another."""
    balancer = build.Balancer(SHEETS, FIRST)
    assert balancer.send(build.build_segment()) == segments.Forward(FIRST, mark=True)


def test_any_balancer_carries_a_flow_by_its_token() -> None:
    """Guard against flows that break when the fabric moves them to another balancer."""
    balancer = build.Balancer(FIRST, SECOND)
    action = balancer.send(build.build_data(SECOND.token))
    assert action == segments.Forward(SECOND, mark=False)


def test_open_flows_follow_an_upstream_that_has_left_the_registry() -> None:
    """Guard against flows cut by the removal of an entry."""
    balancer = build.Balancer(FIRST, SECOND)
    leaving = FIRST._replace(draining=True)
    balancer.register(leaving)
    balancer.remove(leaving, now=1.0)
    action = balancer.send(build.build_data(FIRST.token), 1.5)
    assert action == segments.Forward(leaving, mark=False)


def test_an_open_flow_survives_the_removal_of_its_route() -> None:
    """Guard against a configuration that cuts flows opened before it."""
    balancer = build.Balancer(FIRST)
    other = build.build_route(target=build.SHEETS_TARGET)
    balancer.dispatcher.configure(build.build_configuration(2, other), 1.0)
    action = balancer.send(build.build_data(FIRST.token), 1.5)
    assert action == segments.Forward(FIRST, mark=False)


@pytest.mark.parametrize(
    "setting", ["no route", "no configuration", "no upstream of booking"]
)
def test_an_opening_that_no_upstream_can_take_is_refused_at_once(
    setting: str,
) -> None:
    """Guard against callers that wait for their deadline."""
    balancer = build.Balancer(FIRST)
    segment = build.build_segment()
    if setting == "no route":
        segment = segment._replace(target=build.SHEETS_TARGET)
    elif setting == "no configuration":
        balancer.dispatcher.configuration = routing.EMPTY_CONFIGURATION
    else:
        balancer.register(FIRST._replace(draining=True))
    assert balancer.send(segment) == segments.Refuse(setting)
    assert balancer.find_events("refused")[0]["reason"] == setting


def test_a_draining_upstream_gets_no_new_flow() -> None:
    """Guard against work for hosts that leave."""
    balancer = build.Balancer(FIRST, SECOND)
    balancer.register(FIRST._replace(draining=True))
    placed = {balancer.open(port) for port in range(40000, 40020)}
    assert placed == {SECOND}


def test_configuration_versions_never_fall() -> None:
    """Guard against a late answer of the store that brings an old version back."""
    balancer = build.Balancer(FIRST)
    assert balancer.dispatcher.configure(build.build_configuration(5), 1.0)
    assert not balancer.dispatcher.configure(build.build_configuration(4), 2.0)
    assert balancer.dispatcher.configuration.version == 5


def test_copies_of_an_opening_stay_at_an_upstream_that_answers() -> None:
    """Guard against a flow that two hosts accept."""
    balancer = build.Balancer(FIRST, SECOND)
    upstream = balancer.open(now=0.0)
    copy = build.build_segment(copy=1)
    assert balancer.send(copy, 0.05) == segments.Forward(upstream, mark=True)
    balancer.answer(upstream, now=0.06)
    assert balancer.send(copy, 0.3) == segments.Forward(upstream, mark=True)


def test_a_lost_opening_is_repeated_before_the_caller_does() -> None:
    """Guard against a wait of 200 ms for each packet that a link loses."""
    balancer = build.Balancer(FIRST, SECOND)
    upstream = balancer.open(now=0.0)
    balancer.tick(0.08)
    (order,) = balancer.take_orders()
    assert order.action == segments.Forward(upstream, mark=True)
    assert order.packet == b"packet"


def test_an_opening_moves_away_from_a_silent_upstream() -> None:
    """Guard against openings that wait for a dead host."""
    balancer = build.Balancer(FIRST, SECOND)
    upstream = balancer.open(now=0.0)
    balancer.tick(0.14)
    moved = balancer.take_orders()[-1]
    assert moved.action == segments.Forward(find_other(upstream), mark=True)


def test_one_silent_opening_leads_to_a_probe_and_two_to_suspicion() -> None:
    """Guard against hosts that are shunned for one lost packet."""
    balancer = build.Balancer(FIRST)
    balancer.open(40000, now=0.0)
    assert balancer.tick(0.08) == [FIRST]
    assert balancer.find_events("upstream suspected") == []
    balancer.open(40001, now=0.1)
    balancer.tick(0.2)
    (event,) = balancer.find_events("upstream suspected")
    assert event["upstream"] == FIRST.name


def test_a_pause_of_the_process_is_no_silence_of_upstreams() -> None:
    """Guard against a balancer that wakes from a freeze and shuns every host."""
    balancer = build.Balancer(FIRST)
    balancer.tick(1.0)
    balancer.open(40000, now=1.0)
    balancer.open(40001, now=1.0)
    balancer.dispatcher.tick(5.0)
    assert balancer.find_events("upstream suspected") == []


def test_a_refused_probe_ends_repeatable_flows_and_leaves_the_others() -> None:
    """Guard against callers that wait for a host that has ended.

    A request that may have run and must not run twice is left to its caller.
    """
    check = build.build_route()
    book = build.build_route(target=(build.TARGET[0], 8443), kind="unsafe")
    configuration = build.build_configuration(1, check, book)
    balancer = build.Balancer(FIRST, configuration=configuration)
    balancer.open(40000, now=0.0)
    balancer.answer(FIRST, 40000, now=0.01)
    balancer.send(build.build_segment(target=book.target), 0.02)
    balancer.send(build.build_data(FIRST.token, target=book.target), 0.03)
    health = balancer.dispatcher.monitor.health[FIRST.name, 1]
    health.request_probe(0.4)
    balancer.dispatcher.record_probe(FIRST, "refused", "no listener", 0.5)
    (order,) = balancer.take_orders()
    assert isinstance(order.action, segments.Refuse)
    assert order.segment.target == check.target
    assert order.segment.acknowledged == 501


def test_a_late_response_of_a_silent_host_leads_to_a_probe() -> None:
    """Guard against callers that wait for a host which no new flow would uncover."""
    balancer = build.Balancer(FIRST)
    balancer.open(now=0.0)
    balancer.answer(FIRST, now=0.01)
    assert balancer.tick(0.2) == []
    assert balancer.tick(0.5) == [FIRST]


def test_two_silent_probes_are_needed_to_give_up_flows() -> None:
    """Guard against flows reset because one connection was lost."""
    balancer = build.Balancer(FIRST)
    balancer.open(now=0.0)
    balancer.answer(FIRST, now=0.01)
    balancer.dispatcher.monitor.health[FIRST.name, 1].request_probe(0.3)
    balancer.dispatcher.record_probe(FIRST, "silent", "timeout", 0.45)
    assert balancer.take_orders() == []
    balancer.dispatcher.record_probe(FIRST, "silent", "timeout", 0.6)
    assert len(balancer.take_orders()) == 1


def test_a_restart_under_the_same_name_forgets_what_was_learned() -> None:
    """Guard against suspicion and load of a process that no longer exists."""
    balancer = build.Balancer(FIRST)
    balancer.open(now=0.0)
    balancer.answer(FIRST, now=0.01)
    balancer.dispatcher.monitor.health[FIRST.name, 1].suspect(0.1)
    balancer.register(FIRST._replace(born_ms=2), now=0.2)
    restarted = balancer.open(40009, now=0.3)
    health = balancer.dispatcher.monitor.health[restarted.name, 2]
    assert health.suspected_at is None
    assert health.outstanding == 1
    (order,) = balancer.take_orders()
    assert isinstance(order.action, segments.Refuse)


def test_new_flows_avoid_the_upstream_that_peers_keep_busy() -> None:
    """Guard against balancers that all choose the same idle host."""
    balancer = build.Balancer(FIRST, SECOND._replace(zone="riga-a"))
    loads = (peertable.UpstreamLoad(FIRST.token, 3, False),)
    balancer.dispatcher.monitor.hear_peer(
        build.build_report("front-2", loads=loads), 0.0
    )
    placed = [balancer.open(port, now=0.0) for port in (40000, 40001)]
    assert {upstream.name for upstream in placed} == {SECOND.name}


def test_a_suspicion_of_the_same_zone_counts_at_once() -> None:
    """Guard against a dead host that each balancer has to find out by itself."""
    balancer = build.Balancer(FIRST, SECOND)
    loads = (peertable.UpstreamLoad(FIRST.token, 0, True),)
    balancer.dispatcher.monitor.hear_peer(
        build.build_report("front-2", loads=loads), 1.0
    )
    placed = {balancer.open(port, now=1.0) for port in range(40000, 40010)}
    assert placed == {SECOND}
    assert balancer.dispatcher.monitor.list_loads()[0].token == SECOND.token


def test_a_suspicion_of_a_host_that_has_just_answered_is_ignored() -> None:
    """Guard against a healthy host that is shunned for a packet that a peer lost."""
    balancer = build.Balancer(FIRST)
    balancer.open(now=0.0)
    balancer.answer(FIRST, now=0.95)
    loads = (peertable.UpstreamLoad(FIRST.token, 0, True),)
    balancer.dispatcher.monitor.hear_peer(
        build.build_report("front-2", loads=loads), 1.0
    )
    assert balancer.find_events("upstream suspected") == []
    assert balancer.dispatcher.find_unserved() == []


def test_an_upstream_that_answers_others_is_not_blamed_for_a_lost_opening() -> None:
    """Guard against probes and suspicion on links that lose packets."""
    balancer = build.Balancer(FIRST)
    for port in range(40000, 40010):
        balancer.open(port, now=0.0)
    balancer.answer(FIRST, 40000, now=0.03)
    assert balancer.tick(0.1) == []
    assert balancer.find_events("upstream suspected") == []


def test_a_suspicion_of_another_zone_is_checked_before_it_counts() -> None:
    """Guard against a zone that is cut off and makes the others shun its hosts."""
    balancer = build.Balancer(FIRST)
    loads = (peertable.UpstreamLoad(FIRST.token, 0, True),)
    report = build.build_report("front-9", zone="riga-c", loads=loads)
    balancer.dispatcher.monitor.hear_peer(report, 1.0)
    assert balancer.dispatcher.find_unserved() == []
    assert balancer.dispatcher.tick(1.02) == []
    # A flow that waits there makes it worth a probe.
    balancer.open(now=1.03)
    balancer.answer(FIRST, now=1.04)
    balancer.dispatcher.monitor.hear_peer(report._replace(sequence=2), 1.2)
    assert balancer.dispatcher.find_unserved() == []
    assert balancer.dispatcher.tick(1.22) == [FIRST]


def test_upstreams_of_a_silent_zone_are_the_last_choice() -> None:
    """Guard against openings sent into a zone that is cut off."""
    balancer = build.Balancer(FIRST, SECOND)
    report = build.build_report("front-9", zone="riga-b")
    balancer.dispatcher.monitor.hear_peer(report, 0.0)
    balancer.tick(1.0)
    assert balancer.dispatcher.monitor.partitioned_zones == {"riga-b"}
    placed = {balancer.open(port, now=1.0) for port in range(40000, 40010)}
    assert placed == {FIRST}


def test_unserved_services_are_named() -> None:
    """Guard against a balancer without paths that stays in the rotation."""
    balancer = build.Balancer(FIRST, SHEETS)
    assert balancer.dispatcher.find_unserved() == []
    balancer.open(now=0.0)
    balancer.dispatcher.monitor.health[FIRST.name, 1].suspect(0.1)
    assert balancer.dispatcher.find_unserved() == ["booking"]


def test_outstanding_requests_return_to_zero() -> None:
    """Guard against a count that drifts and keeps flows away from a host."""
    balancer = build.Balancer(FIRST)
    for port in range(40000, 40050):
        balancer.open(port, now=0.0)
        balancer.answer(FIRST, port, now=0.01)
        caller = (build.CALLER[0], port)
        request = build.build_data(FIRST.token, caller=caller, length=200)
        balancer.send(request, 0.01)
        end = build.build_data(
            FIRST.token, caller=caller, sequence=1_201, acknowledged=900, closing=True
        )
        balancer.send(end, 0.04)
    assert balancer.dispatcher.monitor.health[FIRST.name, 1].outstanding == 0
    assert balancer.latencies == pytest.approx([0.03] * 50)
    assert balancer.dispatcher.book.flows == {}
    assert balancer.dispatcher.book.waiting == {}
    assert balancer.dispatcher.book.pending == {}


def test_an_overloaded_service_refuses_what_can_not_finish_in_time() -> None:
    """Guard against requests that wait in a queue past their deadline."""
    balancer = build.Balancer(FIRST)
    balancer.dispatcher.chooser.latency_s["r-check"] = 0.03
    loads = (peertable.UpstreamLoad(FIRST.token, 200, False),)
    balancer.dispatcher.monitor.hear_peer(
        build.build_report("front-2", loads=loads), 0.0
    )
    action = balancer.send(build.build_segment(), 0.0)
    assert action == segments.Refuse("booking is overloaded")


def test_openings_for_a_refusing_upstream_are_not_offered_to_others() -> None:
    """Guard against hosts blamed for callers that its machine has reset already.

    Incident of `booth-lb`: two hosts crashed, and openings that their callers had given
    up went from host to host, each of which seemed silent.
    """
    balancer = build.Balancer(FIRST, SECOND)
    upstream = balancer.open(now=0.0)
    assert balancer.tick(0.08) == [upstream]
    balancer.take_orders()
    balancer.dispatcher.record_probe(upstream, "refused", "no listener", 0.085)
    balancer.tick(1.0)
    assert balancer.take_orders() == []
    assert balancer.dispatcher.monitor.health[upstream.name, 1].suspected_at is not None
    assert (
        balancer.dispatcher.monitor.health[find_other(upstream).name, 1].failures == 0
    )


def test_moved_openings_are_not_held_against_the_next_upstream() -> None:
    """Guard against suspicion of every host for one caller that has gone."""
    balancer = build.Balancer(FIRST, SECOND)
    upstream = balancer.open(now=0.0)
    balancer.tick(2.0)
    moves = len(balancer.find_events("placed")) - 1
    assert moves == dispatch.MOVES_MAX
    assert balancer.dispatcher.book.waiting == {}
    assert (
        balancer.dispatcher.monitor.health[find_other(upstream).name, 1].failures == 0
    )


def test_a_host_with_a_false_health_check_is_tried_again() -> None:
    """Guard against a healthy host that is lost because its health check fails."""
    balancer = build.Balancer(FIRST, SECOND)
    health = balancer.dispatcher.monitor.health[FIRST.name, 1] = (
        passivehealth.PassiveHealth()
    )
    health.suspect(0.0)
    balancer.tick(1.0)
    health.probing = False
    balancer.dispatcher.record_probe(FIRST, "refused", "no listener", 1.0)
    before = {balancer.open(port, now=1.0) for port in range(40000, 40010)}
    assert before == {SECOND}
    later = passivehealth.TRIAL_FIRST_S + 0.1
    tried = [balancer.open(port, now=later) for port in range(41000, 41010)]
    assert tried.count(FIRST) == 1
    much_later = later + 10 * passivehealth.TRIAL_MAX_S
    again = [balancer.open(port, now=much_later) for port in range(42000, 42010)]
    assert again.count(FIRST) == 1
    balancer.answer(FIRST, 42000 + again.index(FIRST), now=much_later + 0.01)
    assert health.suspected_at is None


def test_the_death_of_a_zones_only_balancer_does_not_cut_its_upstreams_off() -> None:
    """Guard against healthy hosts that are shunned because a balancer beside them died.

    A zone of the users has a single balancer, and three hosts of one service.
    """
    balancer = build.Balancer(FIRST, SECOND)
    report = build.build_report("front-9", zone="riga-b")
    balancer.dispatcher.monitor.hear_peer(report, 0.0)
    probed = balancer.tick(1.0)
    assert SECOND in probed
    balancer.dispatcher.record_probe(SECOND, "passed", "status 200", 1.0)
    balancer.tick(1.1)
    assert balancer.dispatcher.monitor.partitioned_zones == set()
    loads = (peertable.UpstreamLoad(FIRST.token, 5, False),)
    balancer.dispatcher.monitor.hear_peer(
        build.build_report("front-2", loads=loads), 1.1
    )
    assert balancer.open(now=1.1) == SECOND


def test_a_zone_that_is_cut_off_is_asked_from_time_to_time() -> None:
    """Guard against a zone that stays shunned after the cut, and too many probes."""
    balancer = build.Balancer(FIRST, SECOND)
    balancer.dispatcher.monitor.hear_peer(
        build.build_report("front-9", zone="riga-b"), 0.0
    )
    probes = 0
    for step in range(1, 500):
        for upstream in balancer.tick(step * 0.02):
            probes += 1
            balancer.dispatcher.record_probe(upstream, "silent", "timeout", step * 0.02)
    assert balancer.dispatcher.monitor.partitioned_zones == {"riga-b"}
    assert 15 <= probes <= 21
    balancer.dispatcher.record_probe(SECOND, "passed", "status 200", 10.0)
    balancer.tick(10.1)
    assert balancer.dispatcher.monitor.partitioned_zones == set()


@pytest.mark.parametrize(("kind", "resets"), [("safe", 1), ("unsafe", 0)])
def test_repeated_data_into_a_zone_that_is_cut_off(
    kind: routing.RequestKind, resets: int
) -> None:
    """Guard against callers that wait for a cut to heal, and against false resets."""
    route = build.build_route(kind=kind)
    configuration = build.build_configuration(1, route)
    balancer = build.Balancer(SECOND, configuration=configuration)
    balancer.dispatcher.monitor.hear_peer(
        build.build_report("front-9", zone="riga-b"), 0.0
    )
    balancer.open(now=0.0)
    request = build.build_data(SECOND.token, length=200)
    balancer.send(request, 0.01)
    balancer.tick(1.0)
    assert balancer.dispatcher.monitor.partitioned_zones == {"riga-b"}
    balancer.take_orders()
    assert balancer.send(request, 1.1) == segments.Forward(SECOND, mark=False)
    orders = balancer.take_orders()
    assert [type(order.action) for order in orders] == [segments.Refuse] * resets


def test_a_host_whose_probes_pass_while_flows_stay_silent_is_trusted_less() -> None:
    """Guard against a host with a false health check that gets flow after flow."""
    health = passivehealth.PassiveHealth()
    waits = []
    now = 0.0
    for _ in range(5):
        health.suspect(now)
        start = now
        while not health.record_probe(passed=True, silent=False, now=now):
            now += 0.1
        waits.append(now - start)
    assert waits[0] < 0.4
    assert waits == sorted(waits)
    assert waits[-1] >= passivehealth.HOLD_MAX_S / 2


def test_a_flow_that_turns_to_an_earlier_upstream_is_counted_once() -> None:
    """Guard against a load that grows by each answered flow."""
    balancer = build.Balancer(FIRST, SECOND)
    upstream = balancer.open(now=0.0)
    other = find_other(upstream)
    balancer.answer(upstream, now=0.01)
    response = build.build_data(upstream.token, acknowledged=900)
    balancer.send(response, 0.05)
    balancer.send(response._replace(token=other.token), 0.06)
    assert balancer.dispatcher.book.waiting == {}
    assert balancer.dispatcher.monitor.find(other).outstanding == 0


def test_probes_of_a_suspected_host_do_not_grow_with_the_fleet() -> None:
    """Guard against a fleet that floods a host with health checks.

    `booth-lb-grown`, trouble-1: when a zone came back, 53 balancers probed each of its
    hosts in the same moment, and hosts reset connections that were over their cap.
    """
    probes = 0
    for _ in range(50):
        balancer = build.Balancer(FIRST, SECOND)
        loads = (peertable.UpstreamLoad(FIRST.token, 0, True),)
        for sequence in range(1, 50):
            now = sequence * 0.1
            report = build.build_report("front-2", sequence=sequence, loads=loads)
            balancer.dispatcher.monitor.hear_peer(report, now)
            probes += len(balancer.dispatcher.tick(now))
        assert balancer.open(now=5.0) == SECOND
    assert probes == 0


def test_the_suspicion_of_a_peer_ends_with_it() -> None:
    """Guard against a host that is shunned after its only accuser trusts it or dies."""
    balancer = build.Balancer(FIRST)
    loads = (peertable.UpstreamLoad(FIRST.token, 0, True),)
    report = build.build_report("front-2", loads=loads)
    balancer.dispatcher.monitor.hear_peer(report, 0.0)
    assert balancer.dispatcher.find_unserved() == ["booking"]
    balancer.dispatcher.monitor.hear_peer(report._replace(sequence=2, loads=()), 0.1)
    assert balancer.dispatcher.find_unserved() == []
    balancer.dispatcher.monitor.hear_peer(report._replace(sequence=3), 0.2)
    assert balancer.dispatcher.find_unserved() == ["booking"]
    balancer.tick(2.0)
    assert balancer.dispatcher.find_unserved() == []
    events = [name for name, _ in balancer.log if name.startswith("peer")]
    assert events == ["peer suspects upstream", "peers trust upstream"] * 2
