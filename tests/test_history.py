"""Tests of the history checker, with one invalid history for each rule."""

import typing

import pytest

from pistachioshed.lab import history

RAN = history.Operation("painter-1", "booking", "r1", False, 1.0, 2.0, "ran", "r1")
EXECUTED = history.Execution("booking", "booking-1", "r1", 1.5)
OPENED = history.Delivery("booking", "f1", "booking-1", "booking", True, 1.0)
ACCEPTED = history.EditAccepted("booking", 2, 10.0)
LIVE = history.NodeLive("riga-a-1", 0.0, 60.0)
IN_FORCE = history.VersionInForce("riga-a-1", "booking", 2, 11.0)
REFUSED = history.OpeningRefused("booking", "f1", "riga-a-1", 0.5)
GOOD: list[history.Record] = [RAN, EXECUTED, OPENED, ACCEPTED, LIVE, IN_FORCE]
PLANNED = history.Bounds(planned_only=True)

BAD: dict[str, list[history.Record]] = {
    "at most once": [RAN, EXECUTED, EXECUTED._replace(upstream="booking-2")],
    "not run is true": [RAN._replace(outcome="not run"), EXECUTED],
    "ran is true": [RAN],
    "own answer": [RAN._replace(answer="r2"), EXECUTED],
    "whole answer": [RAN._replace(whole=False), EXECUTED],
    "services apart": [OPENED._replace(upstream_service="sheets")],
    "leaving upstream": [
        history.UpstreamLeaving("booking", "booking-1", 1.0),
        OPENED._replace(at_s=6.1),
    ],
    "edit in force": [ACCEPTED, LIVE, IN_FORCE._replace(at_s=14.1)],
    "never reverts": [IN_FORCE, IN_FORCE._replace(version=1, at_s=12.0)],
    "flow survives": [OPENED, OPENED._replace(upstream="booking-2", at_s=2.0)],
    "refusal stands": [REFUSED, OPENED._replace(at_s=2.0, node="riga-a-1")],
    "no request cut": [RAN._replace(outcome="unknown", returned_s=None)],
}


def test_good_history_passes() -> None:
    """Guard against a checker that rejects a valid history."""
    assert history.check_history(GOOD, PLANNED) == []


@pytest.mark.parametrize("rule", BAD)
def test_bad_history_is_rejected(rule: str) -> None:
    """Guard against a rule that does not detect its own violation."""
    found = {violation.rule for violation in history.check_history(BAD[rule], PLANNED)}
    assert found == {rule}


def test_edit_is_not_expected_of_a_node_that_was_down() -> None:
    """Guard against reports on a node that started after the edit or died early."""
    live_intervals = [LIVE._replace(from_s=10.5), LIVE._replace(until_s=13.0)]
    records: list[history.Record] = [ACCEPTED, *live_intervals]
    assert history.check_history(records, history.Bounds()) == []


MOVED_FLOW: list[history.Record] = [
    OPENED,
    OPENED._replace(upstream="booking-2", at_s=2.0),
]
LATE_OPENING: list[history.Record] = [
    history.UpstreamLeaving("booking", "booking-1", 1.0),
    OPENED._replace(at_s=20.0, node="riga-a-1"),
]


@pytest.mark.parametrize(
    ("bounds", "broken"),
    [
        (history.Bounds(), set()),
        (history.Bounds(flows_stay=True), {"flow survives"}),
    ],
)
def test_moved_flow_counts_where_flows_must_stay(
    bounds: history.Bounds, broken: set[str]
) -> None:
    """Guard against flows that move unnoticed after a death with no other change."""
    assert {found.rule for found in history.check_history(MOVED_FLOW, bounds)} == broken


def test_unanswered_request_is_allowed_without_a_planned_run() -> None:
    """Guard against a violation for an unanswered request after a host's death.

    Only runs with planned changes alone must answer every request.
    """
    unanswered = RAN._replace(outcome="unknown", returned_s=None)
    assert history.check_history([unanswered], history.Bounds(flows_stay=True)) == []


@pytest.mark.parametrize(
    ("live_from_s", "broken"), [(10.0, {"leaving upstream"}), (18.0, set())]
)
def test_opening_at_leaving_upstream_counts_for_live_nodes_only(
    live_from_s: float, broken: set[str]
) -> None:
    """Guard against reports on a frozen node and none on a reachable one."""
    records = [*LATE_OPENING, LIVE._replace(from_s=live_from_s)]
    found = history.check_history(records, history.Bounds())
    assert {violation.rule for violation in found} == broken


@pytest.mark.parametrize(
    "change", [{"node": "riga-b-2"}, {"at_s": 0.4}, {"at_s": 31.0}]
)
def test_refusal_applies_to_one_balancer_for_a_limited_time(
    change: dict[str, typing.Any],
) -> None:
    """Guard against a rule that forbids a new opening at another node or later."""
    sent = OPENED._replace(**{"node": "riga-a-1", "at_s": 2.0, **change})
    assert history.check_history([REFUSED, sent], history.Bounds()) == []
