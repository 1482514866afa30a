"""Tests of the choice of upstreams for new flows under several load patterns."""

import collections

from pistachioshed.core import directory, routing, segments
from tests import dispatchbuilders as build

FIRST = build.build_upstream(1)
SECOND = build.build_upstream(2)
OTHER_ZONE = build.build_upstream(3, zone="riga-b")


def open_flows(
    balancer: build.Balancer, count: int, now: float
) -> collections.Counter[str]:
    """Open flows and return how many of them each upstream received."""
    placed = [balancer.open(50_000 + number, now) for number in range(count)]
    return collections.Counter(upstream.name for upstream in placed)


def complete_flow(
    balancer: build.Balancer, upstream: directory.Upstream, port: int, start: float
) -> None:
    """Complete a flow whose response takes 30 ms, or 90 ms from the first upstream."""
    caller = (build.CALLER[0], port)
    token = upstream.token
    latency_s = 0.09 if upstream == FIRST else 0.03
    request = build.build_data(token, caller=caller, length=200)
    balancer.send(request, start + 0.001)
    end = build.build_data(
        token, caller=caller, sequence=1_201, acknowledged=900, closing=True
    )
    balancer.send(end, start + latency_s)


def test_a_slow_host_gets_fewer_flows() -> None:
    """Guard against a slow host that gets an equal share: hosts of unequal speed."""
    balancer = build.Balancer(FIRST, SECOND)
    counts: collections.Counter[str] = collections.Counter()
    for number in range(200):
        port = 40_000 + number
        upstream = balancer.open(port, number * 1.0)
        complete_flow(balancer, upstream, port, number * 1.0)
        counts[upstream.name] += 1
    # Its speed is a quarter of that of the service.
    assert counts[FIRST.name] <= 50
    assert open_flows(balancer, 1, 300.0) == {SECOND.name: 1}


def test_a_host_that_has_just_started_gets_fewer_flows() -> None:
    """Guard against a cold host that gets as many flows as a warm one: scale out."""
    cold = FIRST._replace(cold_s=5.0)
    balancer = build.Balancer(cold, SECOND)
    assert open_flows(balancer, 2, 1.0) == {SECOND.name: 2}
    warm = build.Balancer(cold, SECOND)
    assert set(open_flows(warm, 20, 6.0)) == {FIRST.name, SECOND.name}


def test_flows_stay_in_their_zone_until_it_is_busy() -> None:
    """Guard against needless traffic between zones, and an overloaded zone: burst."""
    balancer = build.Balancer(OTHER_ZONE, FIRST)
    for number in range(20):
        upstream = balancer.open(40_000 + number, float(number))
        assert upstream == FIRST
        complete_flow(balancer, upstream, 40_000 + number, float(number))
    assert open_flows(balancer, 12, 30.0)[OTHER_ZONE.name] >= 5


def test_idle_upstreams_share_single_flows() -> None:
    """Guard against balancers that all choose the same host among idle ones."""
    balancer = build.Balancer(FIRST, SECOND)
    placed = set()
    for number in range(40):
        upstream = balancer.open(40_000 + number, float(number))
        placed.add(upstream)
        end = build.build_data(
            upstream.token, caller=(build.CALLER[0], 40_000 + number), closing=True
        )
        balancer.send(end, float(number) + 0.01)
    assert placed == {FIRST, SECOND}


def test_an_idle_upstream_is_preferred_to_one_with_a_free_slot() -> None:
    """Guard against two requests on one host while another one is idle."""
    for token in (FIRST.token, SECOND.token):
        for attempt in range(20):
            balancer = build.Balancer(FIRST, SECOND)
            busy = FIRST if token == FIRST.token else SECOND
            balancer.set_outstanding(busy, 1)
            upstream = balancer.open(40_000 + attempt, 0.0)
            assert upstream.token != token


def test_no_upstream_gets_more_than_its_connection_limit() -> None:
    """Guard against hosts that silently drop connections above their limit."""
    limits = routing.ServiceLimits("/health", 3)
    configuration = build.build_configuration()._replace(services={"booking": limits})
    balancer = build.Balancer(FIRST, SECOND, configuration=configuration)
    balancer.set_outstanding(FIRST, 2)
    assert open_flows(balancer, 4, 0.0) == {FIRST.name: 1, SECOND.name: 3}
    refused = balancer.send(build.build_segment(), 0.0)
    assert refused == segments.Refuse("no upstream of booking")


def test_balancers_share_the_connection_limit_of_an_upstream() -> None:
    """Guard against a fleet that together exceeds the limit of a host."""
    limits = routing.ServiceLimits("/health", 9)
    configuration = build.build_configuration()._replace(services={"booking": limits})
    balancer = build.Balancer(FIRST, SECOND, configuration=configuration)
    for name in ("front-2", "front-3"):
        balancer.dispatcher.monitor.handle_peer_report(build.build_report(name), 0.0)
    assert open_flows(balancer, 6, 0.0) == {FIRST.name: 3, SECOND.name: 3}
    refused = balancer.send(build.build_segment(), 0.0)
    assert refused == segments.Refuse("no upstream of booking")


def test_a_lapsed_upstream_is_chosen_last() -> None:
    """Guard against flows to a host that may have failed, as its entry is gone."""
    balancer = build.Balancer(FIRST, SECOND)
    balancer.remove(FIRST, now=1.0)
    assert open_flows(balancer, 10, 1.1) == {SECOND.name: 10}
    balancer.register(SECOND._replace(draining=True), now=1.2)
    balancer.tick(1.3)
    assert balancer.open(now=1.3) == FIRST
