"""Tests of placement, load shares and health of upstreams."""

import math

import pytest
import xxhash

from pistachioshed.core import (
    events,
    flows,
    generations,
    hashing,
    load,
    placement,
    settings,
)
from tests import builders, nodefleet

CONFIG = settings.Settings(nodefleet.FIRST, "riga-a")
TABLE = builders.build_table(nodefleet.SERVICE, 4)


def build_candidate(
    name: str, cold: bool = False, **fields: float
) -> placement.Candidate:
    """Return a candidate with measured load."""
    upstream = flows.Upstream(name, f"{name}:1")
    upstream.load.latency_at = 0.0
    upstream.load.latency_s = 0.01
    upstream.load.recent_at = 1.0
    for field, value in fields.items():
        setattr(upstream.load, field, value)
    return placement.Candidate(upstream, cold)


@pytest.mark.parametrize(
    ("first", "second", "chosen"),
    [
        ({}, {}, "home"),
        ({"waiting": 2}, {}, "other"),
        ({"waiting": 1}, {}, "home"),
        ({"latency_s": 0.012}, {}, "home"),
        ({"latency_s": 0.05}, {}, "other"),
        ({"latency_s": 0.05, "latency_at": -20.0}, {}, "home"),
        ({"weight": 0.4}, {}, "other"),
        ({"recent": 20}, {"recent": 10}, "other"),
        ({"recent": 20}, {"recent": 19}, "home"),
        ({"recent": 20}, {"recent": 10, "waiting": 2}, "home"),
        ({"recent": 20, "recent_at": -9.0}, {"recent": 10}, "home"),
        ({"probed": 0.0, "recent": 10}, {"recent": 9}, "home"),
        ({"probed": 0.9, "recent": 10}, {"recent": 9}, "other"),
        ({"probed": 0.9, "recent": 10}, {"recent": 10}, "home"),
        ({"cold": True}, {"latency_s": 0.05}, "other"),
        ({}, {"cold": True}, "home"),
        ({"cold": True}, {"cold": True}, "home"),
    ],
)
def test_less_loaded_candidate_is_chosen(
    first: dict[str, float], second: dict[str, float], chosen: str
) -> None:
    """Guard against new flows on an overloaded upstream, and against needless moves."""
    choose = placement.build_policy(CONFIG, lambda: 0)
    candidates = [
        build_candidate("home", **first),  # type: ignore[arg-type]
        build_candidate("other", **second),  # type: ignore[arg-type]
    ]
    upstream = choose("home", candidates, 0.01, 1.0)
    assert upstream is not None
    assert upstream.name == chosen


def test_moves_stay_within_the_byte_budget() -> None:
    """Guard against creating overrides faster than they can be replicated."""
    candidates = [build_candidate("home", waiting=9), build_candidate("other")]
    choose = placement.build_policy(CONFIG, lambda: 0)
    moved = 0
    for step in range(60 * 500):
        upstream = choose("home", candidates, 0.01, step / 500)
        moved += upstream is not None and upstream.name == "other"
    allowed = 70 * CONFIG.replication_bytes_per_s * placement.OVERRIDE_BUDGET_SHARE
    assert 0.9 * allowed < moved * placement.OVERRIDE_BYTES <= allowed
    choose = placement.build_policy(CONFIG, lambda: 10_000)
    assert choose("home", candidates, 0.01, 0.0) is candidates[0].upstream
    assert choose("full", candidates, 0.01, 0.0) is candidates[1].upstream


@pytest.mark.parametrize(
    ("policy", "chosen"),
    [(placement.choose_first, "other"), (placement.choose_home, None)],
)
def test_policies_that_ignore_load(
    policy: placement.Policy, chosen: str | None
) -> None:
    """Guard against placing openings that carry requests away from their home."""
    candidates = [build_candidate("other", waiting=9), build_candidate("third")]
    upstream = policy("home", candidates, 0.01, 1.0)
    assert (upstream and upstream.name) == chosen


@pytest.mark.parametrize("connections", [0, 1, 7, 8, 1_001])
def test_limit_shares_add_up(connections: int) -> None:
    """Guard against a fleet that exceeds or wastes a row's limit."""
    capacities = {f"balancer-{n}": size for n, size in enumerate((1, 2, 0.5, 1.3, 1))}
    shares = [
        load.compute_limit_share(connections, name, capacities) for name in capacities
    ]
    assert sum(shares) == connections
    for share, capacity in zip(shares, capacities.values(), strict=True):
        assert abs(share - connections * capacity / 5.8) <= 1


def test_old_latency_is_replaced() -> None:
    """Guard against avoiding a recovered upstream because of its old latency."""
    upstream_load = load.Load()
    upstream_load.record_request(0.0)
    upstream_load.record_response(1.0, 1.0)
    assert load.score_load(upstream_load, 0.01, 2.0) == 1.0
    assert load.score_load(upstream_load, 0.01, 20.0) == 0.01
    upstream_load.record_request(30.0)
    upstream_load.record_response(0.02, 30.0)
    assert load.score_load(upstream_load, 0.01, 30.0) == 0.02


def test_only_flows_of_the_changed_row_move() -> None:
    """Guard against an edit that changes homes of unrelated flows."""
    edited = nodefleet.replace_row(TABLE, 1, weight=0.5)
    old, new = map(generations.prepare_generation, (TABLE, edited))
    change = generations.compare_generations(old, new)
    back = generations.compare_generations(new, old)
    changed = TABLE.rows[1].upstream
    for number in range(500):
        key = b"flow-%d" % number
        homes = [generations.find_home(table, key) for table in (old, new)]
        assert homes[0] == homes[1] or homes[0] == changed
        assert homes[0] == hashing.rank_choices(key, old.choices)[0]
        for difference, (before, after) in ((change, homes), (back, homes[::-1])):
            if generations.keeps_home(difference, key, before or ""):
                assert before == after
            else:
                assert before == changed or before != after


def test_generations_are_kept_and_selected_by_version() -> None:
    """Guard against losing a generation that established flows still depend on."""
    kept = generations.Generations(3)
    for version in (2, 3, 5, 5, 4, 9):
        kept.add(TABLE._replace(version=version))
    assert [generation.version for generation in kept.kept] == [3, 5, 9]
    selected = {n: kept.select_through(n).version for n in (0, 3, 4, 9, 12)}
    assert selected == {0: 3, 3: 3, 4: 3, 9: 9, 12: 9}


def test_score_of_the_highest_digest_is_finite(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a division by zero for a digest that rounds to 1.0."""
    choices = [hashing.Choice("one", 1.0)]
    digest = 2**64 - 1
    monkeypatch.setattr(xxhash, "xxh3_64_intdigest", lambda *_: digest)
    assert hashing.find_best(b"key", choices) == "one"
    assert math.isfinite(hashing.score_choice(b"key", choices[0]))


class OutageFleet:
    """A fleet of one node in which only the upstreams in `alive` respond."""

    def __init__(self, hosts: int = 4) -> None:
        table = builders.build_table(nodefleet.SERVICE, hosts)
        self.names = [row.upstream for row in table.rows]
        self.fleet = nodefleet.Fleet(table, flow_idle_s=600.0)
        self.alive = set(self.names)
        self.count = 0
        self.recent: list[str] = []

    def run(self, seconds: float, rate: int = 10) -> dict[str, str]:
        """Open flows for a number of seconds and return the health states."""
        self.recent = []
        for _ in range(round(seconds * 10)):
            for _ in range(rate // 10):
                self.count += 1
                packet = nodefleet.build_opening(self.count)
                _, action = self.fleet.send(nodefleet.FIRST, packet)
                assert isinstance(action, events.SendUpstream)
                self.recent.append(action.upstream)
                if action.upstream in self.alive:
                    self.answer(action.upstream, action.port)
            # Some established flows send requests too.
            for number in range(max(1, self.count - 10), self.count):
                packet = nodefleet.build_data(number)
                _, action = self.fleet.send(nodefleet.FIRST, packet)
                assert isinstance(action, events.SendUpstream)
                if action.upstream in self.alive:
                    self.answer(action.upstream, action.port)
            self.fleet.advance(0.1)
        return self.read_states()

    def answer(self, upstream: str, port: int) -> None:
        """Send a packet from an upstream to the flow on one of its ports."""
        packet = events.UpstreamPacket(nodefleet.SERVICE, upstream, port)
        self.fleet.handle(nodefleet.FIRST, packet)

    def probe(self, upstream: str, ok: bool, draining: bool = False) -> None:
        """Report a probe result."""
        probe = events.ProbeReported(nodefleet.SERVICE, upstream, ok, draining, 0.5)
        self.fleet.handle(nodefleet.FIRST, probe)

    def read_states(self) -> dict[str, str]:
        """Return the health state of each upstream."""
        pool = self.fleet.nodes[nodefleet.FIRST].services[nodefleet.SERVICE].pool
        return {name: pool.upstreams[name].health.state for name in self.names}


def test_silent_upstream_is_ejected_and_recovers_slowly() -> None:
    """Guard against new flows on a dead host, and overload of a recovering one."""
    outage = OutageFleet()
    outage.run(2.0, 50)
    dead = outage.names[0]
    outage.alive.remove(dead)
    outage.run(6.0, 50)
    assert outage.read_states()[dead] == "ejected"
    outage.alive.add(dead)
    outage.run(3.0, 50)
    assert outage.read_states()[dead] == "recovering"
    outage.run(2.0, 50)
    early = outage.recent.count(dead)
    outage.run(12.0, 50)
    assert outage.read_states()[dead] == "healthy"
    outage.run(2.0, 50)
    assert early < 0.5 * outage.recent.count(dead)


def test_one_silent_flow_does_not_change_health() -> None:
    """Guard against ejecting an upstream because of one caller's dead connection."""
    outage = OutageFleet()
    outage.fleet.open([0])
    outage.fleet.send(nodefleet.FIRST, nodefleet.build_data(0))
    for _ in range(20):
        outage.fleet.advance(1.0)
        assert set(outage.read_states().values()) == {"healthy"}


def test_host_that_responds_survives_failed_probes() -> None:
    """Guard against ejecting a host because of a misleading health endpoint."""
    outage = OutageFleet()
    for _ in range(10):
        outage.run(1.0, 50)
        for _ in range(5):
            outage.probe(outage.names[0], False)
        assert outage.read_states()[outage.names[0]] == "healthy"
    outage.fleet.advance(20.0)
    for _ in range(4):
        outage.probe(outage.names[0], False)
    assert outage.read_states()[outage.names[0]] == "ejected"


def test_half_of_the_weight_is_never_ejected() -> None:
    """Guard against an empty pool when this balancer's own network fails."""
    outage = OutageFleet()
    outage.run(1.0, 50)
    outage.alive.clear()
    most = 0
    for _ in range(60):
        most = max(most, list(outage.run(0.5).values()).count("ejected"))
    assert most == 2
    for name in outage.names:
        for _ in range(9):
            outage.probe(name, False)
    assert list(outage.read_states().values()).count("ejected") <= 2


def test_ejected_rows_serve_when_no_other_is_left() -> None:
    """Guard against an empty pool after an edit that drains the healthy rows."""
    outage = OutageFleet()
    for name in outage.names[:2]:
        for _ in range(9):
            outage.probe(name, False)
    outage.run(1.0)
    assert set(outage.recent) <= set(outage.names[2:])
    table = outage.fleet.table
    for index in (2, 3):
        table = nodefleet.replace_row(table, index, state="drain")
    outage.fleet.edit(table)
    outage.run(1.0)
    assert set(outage.recent) <= set(outage.names[:2])


def test_draining_upstream_gets_no_new_flow() -> None:
    """Guard against new flows for a draining host, also when others are ejected."""
    outage = OutageFleet(2)
    leaving, other = outage.names
    outage.probe(leaving, True, draining=True)
    outage.run(2.0)
    assert set(outage.recent) == {other}
    for _ in range(9):
        outage.probe(other, False)
    outage.run(1.0)
    assert set(outage.recent) == {other}
    outage.probe(leaving, True)
    outage.run(2.0)
    assert leaving in outage.recent


def test_expired_wait_does_not_count_as_load() -> None:
    """Guard against avoiding a host because of permanently silent connections."""
    outage = OutageFleet(1)
    outage.run(1.0, 50)
    outage.alive.clear()
    outage.run(0.5, 50)
    pool = outage.fleet.nodes[nodefleet.FIRST].services[nodefleet.SERVICE].pool
    assert pool.upstreams[outage.names[0]].load.waiting > 20
    outage.fleet.advance(45.0)
    assert pool.upstreams[outage.names[0]].load.waiting == 0
