"""When balancers report: byte budget, signs of life, and news at once."""

import itertools

import pytest

from pistachioshed.core import peertable, reportpacer
from tests import dispatchbuilders as build

TICK_S = 0.02
LOADS_BYTES = 30
REPORT_BYTES = 130


def play(
    recipients: int, seconds: float, change: bool = True
) -> tuple[reportpacer.ReportPacer, list[tuple[float, reportpacer.Kind]], int]:
    """Tick a pacer whose loads change all the time, or never."""
    pacer = reportpacer.ReportPacer()
    sent: list[tuple[float, reportpacer.Kind]] = []
    total = 0
    for tick in range(int(seconds / TICK_S)):
        now = tick * TICK_S
        loads: peertable.Loads = ((7, 1 + tick),) if change else ()
        kind = pacer.choose(reportpacer.NO_NEWS, loads, now)
        if kind is None:
            continue
        size = LOADS_BYTES if kind == "loads" else REPORT_BYTES
        pacer.note_sent(kind, reportpacer.NO_NEWS, loads, size, recipients, now)
        total += (size + reportpacer.DATAGRAM_HEADER_BYTES) * recipients
        sent.append((now, kind))
    return pacer, sent, total


@pytest.mark.parametrize("recipients", [7, 23, 30])
def test_reports_keep_the_byte_budget_while_loads_change(recipients: int) -> None:
    """Guard against control traffic above what the users' links have for it.

    On `booth-lb` a balancer sent 470 reports a second when its loads changed.
    """
    _, _, total = play(recipients, 60.0)
    assert total / 60.0 <= 9_000.0


@pytest.mark.parametrize("recipients", [7, 23, 30])
@pytest.mark.parametrize("change", [False, True])
def test_peers_hear_of_a_balancer_before_it_counts_as_silent(
    recipients: int, change: bool
) -> None:
    """Guard against a byte budget that makes a live balancer look dead."""
    _, sent, _ = play(recipients, 30.0, change)
    times = [at for at, _ in sent]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert max(gaps) <= peertable.LIFE_INTERVAL_S + TICK_S
    reports = [at for at, kind in sent if kind == "report"]
    most_s = reportpacer.REPORT_LATEST_S + peertable.LIFE_INTERVAL_S + TICK_S
    assert len(reports) >= 30 / most_s


def test_loads_of_a_small_fleet_are_told_before_a_request_ends() -> None:
    """Guard against placement by loads that are older than the requests they count.

    With reports each 0.25 s, 169 requests of a recovery on `booth-lb` met full hosts.
    """
    _, sent, _ = play(7, 10.0)
    assert len(sent) >= 10 / 0.08


def test_news_goes_out_at_once_also_without_budget() -> None:
    """Guard against peers that send flows to an upstream known to be silent."""
    pacer, sent, _ = play(30, 5.0)
    now = sent[-1][0] + TICK_S
    news = reportpacer.NO_NEWS._replace(suspected=frozenset({7}))
    pacer.bucket.tokens = -reportpacer.BURST_BYTES
    assert pacer.choose(news, pacer.loads, now) == "news"
    pacer.note_sent("news", news, pacer.loads, REPORT_BYTES, 30, now)
    assert pacer.choose(news, pacer.loads, now + TICK_S) is None
    life = now + peertable.LIFE_INTERVAL_S
    assert pacer.choose(news, pacer.loads, life) is not None


def test_loads_are_taken_into_the_last_report_of_their_sender() -> None:
    """Guard against suspicions lost, or old loads counted, with a datagram of loads."""
    peers = peertable.PeerTable("front-1", "riga-a", ())
    loads = (
        peertable.UpstreamLoad(7, 2, False),
        peertable.UpstreamLoad(8, 1, True),
    )
    report = build.build_report("front-2", sequence=5, loads=loads)
    assert not peers.record_loads(report.address, peertable.LoadReport(6, ()), 0.0)
    peers.record(report, 0.0)
    newer = peertable.LoadReport(7, ((7, 4),))
    assert peers.record_loads(report.address, newer, 0.1)
    assert peers.count_outstanding(7) == 4
    assert peers.count_outstanding(8) == 0
    assert peers.list_suspected() == frozenset({8})
    assert not peers.record_loads(report.address, peertable.LoadReport(6, ()), 0.2)
    assert peers.count_outstanding(7) == 4


def test_balancers_of_a_zone_do_not_all_report_to_the_same_far_peer() -> None:
    """Guard against a zone that looks silent as its balancers take turns in step."""
    reached: list[tuple[str, int]] = []
    names = [f"front-a{number:02}" for number in range(20)]
    for own in names:
        peers = peertable.PeerTable(own, "riga-a", ())
        for number, name in enumerate(names):
            address = ("10.1.0.1", number)
            peers.record(build.build_report(name, address=address), 0.0)
        for number in range(20):
            far = build.build_report(
                f"front-b{number:02}", zone="riga-b", address=("10.2.0.1", number)
            )
            peers.record(far, 0.0)
        chosen = peers.list_recipients(3)
        reached += [address for address in chosen if address[0] == "10.2.0.1"]
    assert {reached.count(address) for address in reached} == {peertable.FAR_PER_ZONE}
    assert len(set(reached)) == 20
