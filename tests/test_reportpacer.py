"""Tests of the report pacing: byte budget, heartbeats, and immediate changes."""

import itertools

import pytest

from pistachioshed.adapters import reportsocket
from pistachioshed.core import peertable, reportbuilder, reportpacer, revisions
from tests import dispatchbuilders as build

TICK_S = 0.02
HEARTBEAT_BYTES = 5
REPORT_BYTES = 130


def simulate_reports(
    recipients: int,
    seconds: float,
    heartbeat_bytes: int = HEARTBEAT_BYTES,
    report_bytes: int = REPORT_BYTES,
) -> tuple[reportpacer.ReportPacer, list[tuple[float, reportpacer.Kind]], int]:
    """Tick a pacer without changes; return it, the messages sent and their bytes."""
    pacer = reportpacer.ReportPacer()
    sent: list[tuple[float, reportpacer.Kind]] = []
    total = 0
    for tick in range(int(seconds / TICK_S)):
        now = tick * TICK_S
        kind = pacer.choose(reportpacer.EMPTY_STATE, now)
        if kind is None:
            continue
        size = heartbeat_bytes if kind == "heartbeat" else report_bytes
        pacer.record_sent(kind, reportpacer.EMPTY_STATE, size, recipients, now)
        total += (size + reportpacer.DATAGRAM_HEADER_BYTES) * recipients
        sent.append((now, kind))
    return pacer, sent, total


@pytest.mark.parametrize("recipients", [7, 23, 30])
def test_reports_keep_the_byte_budget(recipients: int) -> None:
    """Guard against control traffic above the limit of 9 KB/s per VM.

    A forwarder sent 470 reports per second when its loads changed.
    """
    _, _, total = simulate_reports(recipients, 60.0)
    assert total / 60.0 <= 9_000.0


def test_messages_of_a_fleet_of_195_keep_the_byte_budget() -> None:
    """Guard against encodings that are too large for a zone of 39 among five.

    The pattern is the calm of a large fleet: 32 recipients of the own zone, two of each
    other one.
    """
    address = ("10.1.0.112", 7720)
    report = build.build_report(
        "front-riga-a-12",
        address=address,
        start_ms=1_796_403_000_123,
        sequence=123_456,
        capacity=200.0,
        upstreams_changed_revision=revisions.combine_revision(12, 1_234_567),
        configuration_version=12_345,
        peers=(address,) * reportbuilder.PEERS_PER_REPORT,
    )
    heartbeat = peertable.Heartbeat(123_456, ())
    recipients = (
        peertable.SAME_ZONE_RECIPIENTS_MAX + 4 * peertable.OTHER_ZONE_RECIPIENTS_MAX
    )
    _, _, total = simulate_reports(
        recipients,
        60.0,
        len(reportsocket.encode_message(heartbeat)),
        len(reportsocket.encode_message(report)),
    )
    assert total / 60.0 <= 9_000.0


@pytest.mark.parametrize("recipients", [7, 23, 30])
def test_a_message_is_sent_before_a_forwarder_counts_as_silent(
    recipients: int,
) -> None:
    """Guard against a byte budget that makes a live forwarder appear dead."""
    _, sent, _ = simulate_reports(recipients, 30.0)
    times = [at for at, _ in sent]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert max(gaps) <= peertable.HEARTBEAT_INTERVAL_S + TICK_S
    reports = [at for at, kind in sent if kind == "report"]
    longest_gap_s = (
        reportpacer.REPORT_INTERVAL_MAX_S + peertable.HEARTBEAT_INTERVAL_S + TICK_S
    )
    assert len(reports) >= 30 / longest_gap_s


def test_changes_are_sent_at_once_even_without_budget() -> None:
    """Guard against peers that send flows to an upstream known not to answer."""
    pacer, sent, _ = simulate_reports(30, 5.0)
    now = sent[-1][0] + TICK_S
    reported_state = reportpacer.EMPTY_STATE._replace(suspected=frozenset({7}))
    pacer.bucket.tokens = -reportpacer.BURST_BYTES
    assert pacer.choose(reported_state, now) == "change"
    pacer.record_sent("change", reported_state, REPORT_BYTES, 30, now)
    assert pacer.choose(reported_state, now + TICK_S) is None
    heartbeat_due_at = now + peertable.HEARTBEAT_INTERVAL_S
    assert pacer.choose(reported_state, heartbeat_due_at) is not None


def test_forwarders_of_a_zone_report_to_different_peers_of_another_zone() -> None:
    """Guard against a zone that appears silent as its forwarders rotate in step."""
    reached: list[tuple[str, int]] = []
    names = [f"front-a{number:02}" for number in range(20)]
    for own in names:
        peers = peertable.PeerTable(own, "riga-a", ())
        for number, name in enumerate(names):
            address = ("10.1.0.1", number)
            peers.record_report(build.build_report(name, address=address), 0.0)
        for number in range(20):
            remote = build.build_report(
                f"front-b{number:02}", zone="riga-b", address=("10.2.0.1", number)
            )
            peers.record_report(remote, 0.0)
        chosen = peers.list_recipients(3)
        reached += [address for address in chosen if address[0] == "10.2.0.1"]
    assert {reached.count(address) for address in reached} == {
        peertable.OTHER_ZONE_RECIPIENTS_MAX
    }
    assert len(set(reached)) == 20
