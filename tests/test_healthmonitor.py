"""Tests of when upstreams are suspected and probed."""

from pistachioshed.core import (
    dispatch,
    passivehealth,
)
from tests import dispatchbuilders as build


def test_one_silent_opening_leads_to_a_probe_and_two_to_suspicion() -> None:
    """Guard against hosts that are avoided because one packet was lost."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(40000, now=0.0)
    assert balancer.tick(0.08) == [build.FIRST]
    assert balancer.find_events("upstream suspected") == []
    balancer.open(40001, now=0.1)
    balancer.tick(0.2)
    (event,) = balancer.find_events("upstream suspected")
    assert event["upstream"] == build.FIRST.name


def test_a_pause_of_the_process_causes_no_suspicion() -> None:
    """Guard against a balancer that suspects every host after it was paused."""
    balancer = build.Balancer(build.FIRST)
    balancer.tick(1.0)
    balancer.open(40000, now=1.0)
    balancer.open(40001, now=1.0)
    balancer.dispatcher.tick(5.0)
    assert balancer.find_events("upstream suspected") == []


def test_an_overdue_response_of_a_silent_host_leads_to_a_probe() -> None:
    """Guard against a failed host that goes unnoticed while it gets no new flows."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(now=0.0)
    balancer.complete_handshake(build.FIRST, now=0.01)
    assert balancer.tick(0.2) == []
    assert balancer.tick(0.5) == [build.FIRST]


def test_a_suspicion_by_a_peer_of_the_same_zone_counts_at_once() -> None:
    """Guard against a failed host that each balancer has to detect by itself."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    balancer.dispatcher.monitor.handle_peer_report(
        build.build_report("front-2", suspected=frozenset({build.FIRST.token})), 1.0
    )
    placed = {balancer.open(port, now=1.0) for port in range(40000, 40010)}
    assert placed == {build.SECOND}
    assert balancer.dispatcher.monitor.list_suspected() == frozenset()


def test_a_peers_suspicion_of_a_host_that_has_just_answered_is_ignored() -> None:
    """Guard against a healthy host that is avoided because a peer lost a packet."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(now=0.0)
    balancer.complete_handshake(build.FIRST, now=0.95)
    balancer.dispatcher.monitor.handle_peer_report(
        build.build_report("front-2", suspected=frozenset({build.FIRST.token})), 1.0
    )
    assert balancer.find_events("upstream suspected") == []
    assert balancer.dispatcher.find_unserved() == []


def test_a_lost_opening_is_no_failure_of_an_upstream_that_answers_others() -> None:
    """Guard against needless probes and suspicions on links that lose packets."""
    balancer = build.Balancer(build.FIRST)
    for port in range(40000, 40010):
        balancer.open(port, now=0.0)
    balancer.complete_handshake(build.FIRST, 40000, now=0.03)
    assert balancer.tick(0.1) == []
    assert balancer.find_events("upstream suspected") == []


def test_a_suspicion_by_another_zone_only_leads_to_a_probe() -> None:
    """Guard against a partitioned zone that makes the others avoid healthy hosts."""
    balancer = build.Balancer(build.FIRST)
    suspected = frozenset({build.FIRST.token})
    report = build.build_report("front-9", zone="riga-c", suspected=suspected)
    balancer.dispatcher.monitor.handle_peer_report(report, 1.0)
    assert balancer.dispatcher.find_unserved() == []
    assert balancer.dispatcher.tick(1.02) == []
    # An upstream with an outstanding flow of this balancer is probed.
    balancer.open(now=1.03)
    balancer.complete_handshake(build.FIRST, now=1.04)
    balancer.dispatcher.monitor.handle_peer_report(report._replace(sequence=2), 1.2)
    assert balancer.dispatcher.find_unserved() == []
    assert balancer.dispatcher.tick(1.22) == [build.FIRST]


def test_upstreams_of_a_partitioned_zone_are_chosen_last() -> None:
    """Guard against openings that are sent to a partitioned zone."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    report = build.build_report("front-9", zone="riga-b")
    balancer.dispatcher.monitor.handle_peer_report(report, 0.0)
    balancer.tick(1.0)
    assert balancer.dispatcher.monitor.partitioned_zones == {"riga-b"}
    placed = {balancer.open(port, now=1.0) for port in range(40000, 40010)}
    assert placed == {build.FIRST}


def test_unserved_services_are_listed() -> None:
    """Guard against a balancer that reaches no upstream but stays in the rotation."""
    balancer = build.Balancer(build.FIRST, build.SHEETS)
    assert balancer.dispatcher.find_unserved() == []
    balancer.open(now=0.0)
    balancer.dispatcher.monitor.health[build.FIRST.name, 1].suspect(0.1)
    assert balancer.dispatcher.find_unserved() == ["booking"]


def test_openings_for_a_refusing_upstream_are_not_moved() -> None:
    """Guard against suspicion of healthy hosts after another upstream has ended.

    Its machine has already reset the callers. In an incident two hosts crashed, and
    openings that their callers had given up moved from host to host, each of which then
    seemed silent.
    """
    balancer = build.Balancer(build.FIRST, build.SECOND)
    upstream = balancer.open(now=0.0)
    assert balancer.tick(0.08) == [upstream]
    balancer.take_queued_actions()
    balancer.dispatcher.record_probe(upstream, "refused", "no listener", 0.085)
    balancer.tick(1.0)
    assert balancer.take_queued_actions() == []
    assert balancer.dispatcher.monitor.health[upstream.name, 1].suspected_at is not None
    assert (
        balancer.dispatcher.monitor.health[
            build.find_other(upstream).name, 1
        ].silent_flows
        == 0
    )


def test_moved_openings_are_no_failures_of_the_next_upstream() -> None:
    """Guard against suspicion of every host because one caller has gone."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    upstream = balancer.open(now=0.0)
    balancer.tick(2.0)
    moves = len(balancer.find_events("placed")) - 1
    assert moves == dispatch.OPENING_MOVES_MAX
    assert balancer.dispatcher.flow_tracker.waiting == {}
    assert (
        balancer.dispatcher.monitor.health[
            build.find_other(upstream).name, 1
        ].silent_flows
        == 0
    )


def test_a_host_with_a_failing_health_check_gets_trial_flows() -> None:
    """Guard against a healthy host that stays unused as its health check fails."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    health = balancer.dispatcher.monitor.health[build.FIRST.name, 1] = (
        passivehealth.PassiveHealth()
    )
    health.suspect(0.0)
    balancer.tick(1.0)
    health.probing = False
    balancer.dispatcher.record_probe(build.FIRST, "refused", "no listener", 1.0)
    before = {balancer.open(port, now=1.0) for port in range(40000, 40010)}
    assert before == {build.SECOND}
    later = passivehealth.TRIAL_INTERVAL_FIRST_S + 0.1
    placed = [balancer.open(port, now=later) for port in range(41000, 41010)]
    assert placed.count(build.FIRST) == 1
    much_later = later + 10 * passivehealth.TRIAL_INTERVAL_MAX_S
    again = [balancer.open(port, now=much_later) for port in range(42000, 42010)]
    assert again.count(build.FIRST) == 1
    balancer.complete_handshake(
        build.FIRST, 42000 + again.index(build.FIRST), now=much_later + 0.01
    )
    assert health.suspected_at is None


def test_the_failure_of_a_zones_only_balancer_is_no_partition() -> None:
    """Guard against healthy hosts avoided because the balancer of their zone failed.

    One of the users' zones has a single balancer and three hosts of one service.
    """
    balancer = build.Balancer(build.FIRST, build.SECOND)
    report = build.build_report("front-9", zone="riga-b")
    balancer.dispatcher.monitor.handle_peer_report(report, 0.0)
    probed = balancer.tick(1.0)
    assert build.SECOND in probed
    balancer.dispatcher.record_probe(build.SECOND, "passed", "status 200", 1.0)
    balancer.tick(1.1)
    assert balancer.dispatcher.monitor.partitioned_zones == set()
    balancer.set_outstanding(build.FIRST, 5)
    assert balancer.open(now=1.1) == build.SECOND


def test_a_partitioned_zone_is_probed_periodically() -> None:
    """Guard against a zone that is avoided after the partition, and excess probes."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    balancer.dispatcher.monitor.handle_peer_report(
        build.build_report("front-9", zone="riga-b"), 0.0
    )
    probes = 0
    for step in range(1, 500):
        for upstream in balancer.tick(step * 0.02):
            probes += 1
            balancer.dispatcher.record_probe(upstream, "silent", "timeout", step * 0.02)
    assert balancer.dispatcher.monitor.partitioned_zones == {"riga-b"}
    assert 15 <= probes <= 21
    balancer.dispatcher.record_probe(build.SECOND, "passed", "status 200", 10.0)
    balancer.tick(10.1)
    assert balancer.dispatcher.monitor.partitioned_zones == set()


def test_suspicions_last_longer_if_probes_pass_while_flows_stay_silent() -> None:
    """Guard against a failed host that gets flows because its health check passes."""
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
    assert waits[-1] >= passivehealth.SUSPICION_HOLD_MAX_S / 2


def test_probes_of_a_suspected_host_do_not_grow_with_the_fleet() -> None:
    """Guard against a fleet that overloads a host with health checks.

    When a zone came back, 53 balancers probed each of its hosts at the same moment, and
    hosts reset the connections above their limit.
    """
    probes = 0
    for _ in range(50):
        balancer = build.Balancer(build.FIRST, build.SECOND)
        suspected = frozenset({build.FIRST.token})
        for sequence in range(1, 50):
            now = sequence * 0.1
            report = build.build_report(
                "front-2", sequence=sequence, suspected=suspected
            )
            balancer.dispatcher.monitor.handle_peer_report(report, now)
            probes += len(balancer.dispatcher.tick(now))
        assert balancer.open(now=5.0) == build.SECOND
    assert probes == 0


def test_a_peers_suspicion_ends_when_the_peer_clears_it_or_fails() -> None:
    """Guard against a host that is avoided although no live peer suspects it."""
    balancer = build.Balancer(build.FIRST)
    suspected = frozenset({build.FIRST.token})
    report = build.build_report("front-2", suspected=suspected)
    balancer.dispatcher.monitor.handle_peer_report(report, 0.0)
    assert balancer.dispatcher.find_unserved() == ["booking"]
    cleared = report._replace(sequence=2, suspected=frozenset())
    balancer.dispatcher.monitor.handle_peer_report(cleared, 0.1)
    assert balancer.dispatcher.find_unserved() == []
    balancer.dispatcher.monitor.handle_peer_report(report._replace(sequence=3), 0.2)
    assert balancer.dispatcher.find_unserved() == ["booking"]
    balancer.tick(2.0)
    assert balancer.dispatcher.find_unserved() == []
    events = [name for name, _ in balancer.log if name.startswith("peer")]
    assert events == ["peer suspects upstream", "peers trust upstream"] * 2


def test_activity_after_a_peers_suspicion_began_overrides_its_later_reports() -> None:
    """Guard against a host that answers here but is avoided for a peer's bad path."""
    balancer = build.Balancer(build.FIRST)
    balancer.open(now=0.0)
    suspected = frozenset({build.FIRST.token})
    report = build.build_report("front-2", suspected=suspected)
    balancer.dispatcher.monitor.handle_peer_report(report, 0.1)
    assert balancer.dispatcher.find_unserved() == ["booking"]
    balancer.complete_handshake(build.FIRST, now=0.5)
    for sequence in range(2, 8):
        now = 0.5 + sequence * 0.2
        balancer.dispatcher.monitor.handle_peer_report(
            report._replace(sequence=sequence), now
        )
        assert balancer.dispatcher.find_unserved() == []


def test_a_zone_is_not_probed_again_while_a_probe_is_in_progress() -> None:
    """Guard against probes that pile up on a link that delays them."""
    balancer = build.Balancer(build.FIRST, build.SECOND)
    balancer.dispatcher.monitor.handle_peer_report(
        build.build_report("front-9", zone="riga-b"), 0.0
    )
    probes = [
        upstream for step in range(1, 200) for upstream in balancer.tick(step * 0.02)
    ]
    assert probes == [build.SECOND]
