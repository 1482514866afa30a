"""Property tests with schedules of edits, membership changes and flow overrides."""

import typing

import hypothesis
from hypothesis import strategies

from pistachioshed.core import tables
from pistachioshed.operations import audit, commits, editrules, edits
from pistachioshed.ports import store as store_port
from tests import builders, fakes, storefakes

ROWS: typing.Final = 3
WAIT_S: typing.Final = 40.0
PEERS: typing.Final = 4
SETTINGS: typing.Final = hypothesis.settings(
    derandomize=True, max_examples=25, deadline=None, database=None
)


class Step(typing.NamedTuple):
    """An edit of one row by one of two operators, and the store fault during it."""

    operator: str
    row: int
    weight: float
    fault: str
    base_lag: int
    gap_s: float


STEPS: typing.Final = strategies.builds(
    Step,
    operator=strategies.sampled_from(["ilze", "jana"]),
    row=strategies.integers(1, ROWS),
    weight=strategies.sampled_from([0.25, 0.5, 2.0]),
    fault=strategies.sampled_from(["", "", "lose_answers", "drop_writes", "down"]),
    base_lag=strategies.integers(0, 2),
    gap_s=strategies.sampled_from([0.0, 0.3, 5.0]),
)


def start_step(
    fixture: storefakes.StoreFixture, number: int, step: Step, base: int
) -> list[typing.Any]:
    """Start an edit and return the list that receives its outcome."""
    row = builders.build_row("booking", step.row)._replace(weight=step.weight)
    edit = tables.Edit(f"e{number}", (row,))
    author = commits.Author(step.operator, "2026-01-01T00:00:00+00:00")
    outcome: list[typing.Any] = []
    fixture.start(
        edits.apply_edit(fixture.make_client(), "booking", edit, base, author)
    ).addBoth(outcome.append)
    return outcome


@SETTINGS
@hypothesis.given(strategies.lists(STEPS, min_size=2, max_size=6))
def test_edits_are_applied_once_and_never_reverted(steps: list[Step]) -> None:
    """Guards against lost, duplicated or reverted edits by concurrent operators."""
    fixture = storefakes.StoreFixture()
    rows = builders.build_table("booking", ROWS).rows
    author = commits.Author("ilze", "2026-01-01T00:00:00+00:00")
    created = tables.Edit("e0", rows)
    fixture.run(edits.create_table(fixture.store, "booking", created, author))
    version = 1
    outcomes = []
    for number, step in enumerate(steps, 1):
        faults = {step.fault: True if step.fault == "down" else 1}
        fixture.set_faults(delay_seconds=0.1, **(faults if step.fault else {}))
        base = max(1, version - step.base_lag)
        outcomes.append(start_step(fixture, number, step, base))
        if step.gap_s:
            fixture.advance(step.gap_s)
            fixture.set_faults()
            version = fixture.run(edits.read_table(fixture.store, "booking")).version
    fixture.set_faults()
    fixture.advance(WAIT_S)

    table = fixture.run(edits.read_table(fixture.store, "booking"))
    records = fixture.run(audit.read_records(fixture.store, "booking"))
    in_force = sorted(record.version for record in records)
    assert in_force == list(range(1, table.version + 1))
    applied = [record.edit_id for record in records]
    assert len(applied) == len(set(applied))
    weights = {row.upstream: row.weight for row in rows}
    for record in sorted(records, key=lambda record: record.version):
        if record.version > 1:
            step = steps[int(record.edit_id[1:]) - 1]
            weights[f"booking-{step.row}"] = step.weight
    assert {row.upstream: row.weight for row in table.rows} == weights
    for number, outcome in enumerate(outcomes, 1):
        check_outcome(outcome, f"e{number}", applied)


def check_outcome(outcome: list[typing.Any], edit_id: str, applied: list[str]) -> None:
    """Check the outcome reported to an operator against the audit trail."""
    assert outcome, f"{edit_id} is still running"
    reported = getattr(outcome[0], "value", outcome[0])
    if isinstance(reported, commits.Result):
        assert reported.outcome == "unchanged" or edit_id in applied
    elif not isinstance(reported, editrules.OutcomeUnknown):
        assert isinstance(reported, editrules.EditConflict | store_port.StoreError), (
            reported
        )
        assert edit_id not in applied


class Change(typing.NamedTuple):
    """One change that affects a peer, and the time until the next change."""

    kind: str
    peer: int
    gap_s: float


CHANGES: typing.Final = strategies.builds(
    Change,
    kind=strategies.sampled_from(
        ["kill", "start", "freeze", "wake", "cut", "heal", "leave", "put"]
    ),
    peer=strategies.integers(0, PEERS - 1),
    gap_s=strategies.sampled_from([0.1, 0.7, 2.5, 6.0]),
)


def apply_change(network: fakes.Network, change: Change, number: int) -> None:
    """Apply a change; one that is not applicable has no effect."""
    names = [vm.name for vm in network.vms]
    name = names[change.peer]
    peer = network.peers.get(name)
    match change.kind:
        case "kill":
            network.peers.pop(name, None)
        case "start" if peer is None:
            network.start(name)
        case "freeze" | "wake" if peer is not None:
            peer.is_frozen = change.kind == "freeze"
        case "cut":
            network.cut_between([name], [other for other in names if other != name])
        case "heal":
            network.cut.clear()
        case "leave" if peer is not None:
            peer.lifecycle.request_stop(network.now)
        case "put" if peer is not None:
            peer.replicator.put("booking", b"%06d" % number, "booking-1")


@SETTINGS
@hypothesis.given(strategies.lists(CHANGES, max_size=10), strategies.integers(0, 9))
def test_members_agree_after_any_schedule(changes: list[Change], seed: int) -> None:
    """Guards against views that stay different, or overrides without a backup."""
    network = fakes.Network(seed, PEERS)
    network.start_all()
    for number, change in enumerate(changes):
        apply_change(network, change, number)
        network.run(change.gap_s)
    network.cut.clear()
    for peer in list(network.peers.values()):
        peer.is_frozen = False
        if peer.lifecycle.state in ("leaving", "left"):
            peer.open_flows = 0
    network.run(12.0)
    for name, peer in list(network.peers.items()):
        if peer.lifecycle.finished:
            del network.peers[name]
    network.run(12.0)
    live = list(network.peers)
    assert network.agree(live, live), {
        name: (peer.lifecycle.state, peer.owners)
        for name, peer in network.peers.items()
    }
    for peer in network.peers.values():
        assert peer.replicator.is_flushed()
        for flow in peer.replicator.overrides.get("booking", {}):
            backups = [
                other
                for other in network.peers.values()
                if other is not peer
                and other.replicator.received_overrides.find("booking", flow)
                == "booking-1"
            ]
            assert backups or len(live) == 1
