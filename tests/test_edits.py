"""Edits of service tables, alone, at once and with a failing store."""

import itertools
import random
import typing

import pytest

from pistachioshed.core import tables
from pistachioshed.operations import (
    audit,
    commits,
    editrules,
    edits,
    rowedits,
    sheetimports,
    sheets,
)
from pistachioshed.ports import store as store_port
from tests import builders, storefakes

Work = typing.Coroutine[typing.Any, typing.Any, commits.Result]

AUTHOR = commits.Author("ilze", "2026-01-01T00:00:00+00:00")
OTHER = commits.Author("jana", "2026-01-01T00:00:01+00:00")


@pytest.fixture
def fixture() -> storefakes.StoreFixture:
    """Return a store that holds a service of three rows at version 1."""
    made = storefakes.StoreFixture()
    rows = builders.build_table("booking", 3).rows
    made.run(edits.create_table(made.store, "booking", tables.Edit("e0", rows), AUTHOR))
    return made


def weigh(number: int, weight: float, edit_id: str) -> tables.Edit:
    """Return an edit of one row's weight."""
    row = builders.build_row("booking", number)._replace(weight=weight)
    return tables.Edit(edit_id, (row,))


def drain(number: int, edit_id: str) -> tables.Edit:
    """Return an edit that drains a row."""
    row = builders.build_row("booking", number)._replace(state="drain")
    return tables.Edit(edit_id, (row,))


def run_edit(
    fixture: storefakes.StoreFixture, edit: tables.Edit, base_version: int = 1
) -> commits.Result:
    """Apply an edit."""
    return fixture.run(
        edits.apply_edit(fixture.store, "booking", edit, base_version, AUTHOR)
    )


def read_table(fixture: storefakes.StoreFixture) -> tables.Table:
    """Return the table in the store."""
    return fixture.run(edits.read_table(fixture.store, "booking"))


def run_at_once(
    fixture: storefakes.StoreFixture,
    *coroutines: Work,
) -> list[typing.Any]:
    """Run edits that all read the table before the first is written."""
    fixture.set_faults(delay_seconds=0.2)
    results: list[typing.Any] = []
    for coroutine in coroutines:
        fixture.start(coroutine).addBoth(results.append)
    fixture.advance(10.0)
    fixture.set_faults()
    assert len(results) == len(coroutines)
    return [getattr(result, "value", result) for result in results]


def test_two_operators_of_different_rows_both_succeed(
    fixture: storefakes.StoreFixture,
) -> None:
    """Guards against an edit that overwrites one made at the same time."""
    fixture.store_standin.calls.clear()
    results = run_at_once(
        fixture,
        edits.apply_edit(fixture.store, "booking", weigh(1, 0.5, "a"), 1, AUTHOR),
        edits.apply_edit(fixture.store, "booking", weigh(2, 0.25, "b"), 1, OTHER),
    )
    assert sorted(result.outcome for result in results) == ["applied", "merged"]
    table = read_table(fixture)
    assert [row.weight for row in table.rows] == [0.5, 0.25, 1.0]
    assert table.version == 3
    assert fixture.store_standin.calls["kv/txn"] == 3


def test_two_operators_of_one_row_conflict(fixture: storefakes.StoreFixture) -> None:
    """Guards against an edit that silently reverts another operator's."""
    results = run_at_once(
        fixture,
        edits.apply_edit(fixture.store, "booking", weigh(1, 0.5, "a"), 1, AUTHOR),
        edits.apply_edit(fixture.store, "booking", weigh(1, 0.25, "b"), 1, OTHER),
    )
    conflict = next(r for r in results if isinstance(r, editrules.EditConflict))
    winner = next(r for r in results if isinstance(r, commits.Result))
    assert conflict.upstreams == ("booking-1",)
    assert f"edit {winner.edit_id} by" in conflict.winner
    assert read_table(fixture).edit_id == winner.edit_id
    refusals = fixture.run(audit.read_refusals(fixture.store, "booking"))
    assert [r.upstreams for r in refusals] == [("booking-1",)]


def add_at(name: str, address: str) -> tables.Edit:
    """Return an edit that adds a row."""
    return tables.Edit(name, (tables.Row(name, address, "riga-a"),))


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ([drain(1, "a"), drain(2, "b")], drain(3, "c")),
        ([add_at("x", "127.0.0.1:9")], add_at("y", "127.0.0.1:9")),
    ],
)
def test_merge_that_breaks_the_table_conflicts(
    fixture: storefakes.StoreFixture, first: list[tables.Edit], second: tables.Edit
) -> None:
    """Guards against edits that are valid alone and not together."""
    for version, edit in enumerate(first, 1):
        run_edit(fixture, edit, version)
    before = read_table(fixture)
    with pytest.raises(editrules.EditConflict):
        run_edit(fixture, second)
    assert read_table(fixture) == before


def test_edit_without_active_row_needs_force(fixture: storefakes.StoreFixture) -> None:
    """Guards against a service that loses its last upstream by mistake."""
    rows = tuple(drain(number, "").upserts[0] for number in (1, 2, 3))
    edit = tables.Edit("a", rows)
    with pytest.raises(editrules.EditRefused, match="no active row"):
        run_edit(fixture, edit)
    applied = edits.apply_edit(fixture.store, "booking", edit, 1, AUTHOR, force=True)
    assert fixture.run(applied).outcome == "applied"


@pytest.mark.parametrize(
    "faults",
    [
        {"lose_answers": 1},
        {"drop_writes": 1},
        {"lose_answers": 3, "drop_writes": 3},
        {"late_writes": 1, "late_seconds": 1.0},
        {"late_writes": 1, "late_seconds": 0.3, "delay_seconds": 0.25},
    ],
)
def test_lost_answer_is_resolved(
    fixture: storefakes.StoreFixture, faults: dict[str, typing.Any]
) -> None:
    """Guards against an edit applied twice, or reported wrongly, by a lost answer."""
    fixture.set_faults(**faults)
    result = run_edit(fixture, weigh(1, 0.5, "a"))
    assert (result.outcome, result.version) == ("applied", 2)
    fixture.set_faults()
    fixture.advance(2.0)
    table = read_table(fixture)
    assert (table.version, table.edit_id) == (2, "a")


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes"])
def test_lost_answer_of_a_creation_is_resolved(fault: str) -> None:
    """Guards against "exists already" for the service that the command created."""
    fixture = storefakes.StoreFixture()
    fixture.set_faults(**{fault: 1})
    edit = tables.Edit("a", (builders.build_row("booking", 1),))
    for outcome in ("created", "replayed"):
        created = edits.create_table(fixture.store, "booking", edit, AUTHOR)
        assert fixture.run(created).outcome == outcome
    assert read_table(fixture).version == 1


def test_late_write_does_not_revert_a_later_edit(
    fixture: storefakes.StoreFixture,
) -> None:
    """Guards against a lost write that lands after its sender gave up."""
    fixture.set_faults(late_writes=8, late_seconds=5.0)
    with pytest.raises(editrules.OutcomeUnknown):
        run_edit(fixture, weigh(1, 0.5, "a"))
    fixture.set_faults()
    run_edit(fixture, weigh(1, 0.25, "b"))
    fixture.advance(6.0)
    assert read_table(fixture).edit_id == "b"


def test_unresolved_outcome_is_reported_and_repeated_safely(
    fixture: storefakes.StoreFixture,
) -> None:
    """Guards against "failed" for an edit in force, and its second application."""
    fixture.set_faults(lose_answers=1, delay_seconds=0.2)
    build = rowedits.set_columns("booking-1", rowedits.Columns(weight=0.5), "a")
    started = fixture.start(
        edits.change_table(fixture.store, "booking", "a", build, AUTHOR)
    )
    failures: list[typing.Any] = []
    started.addErrback(lambda failure: failures.append(failure.value))
    while fixture.store_standin.faults.lose_answers:
        fixture.advance(0.05)
    fixture.set_faults(down=True)
    fixture.advance(30.0)
    assert isinstance(failures[0], editrules.OutcomeUnknown)
    fixture.set_faults()
    run_edit(fixture, weigh(1, 0.75, "b"), 2)
    repeated = edits.change_table(
        fixture.store, "booking", "a", build, AUTHOR, repeated=True
    )
    result = fixture.run(repeated)
    assert (result.outcome, result.version) == ("replayed", 2)
    assert read_table(fixture).rows[0].weight == 0.75


def test_store_down_is_reported_as_no_effect(fixture: storefakes.StoreFixture) -> None:
    """Guards against an unclear error, or a hang, while the store is down."""
    fixture.set_faults(down=True)
    with pytest.raises(store_port.StoreUnavailable):
        run_edit(fixture, weigh(1, 0.5, "a"))


def test_refusal_is_reported_when_it_can_not_be_recorded(
    fixture: storefakes.StoreFixture,
) -> None:
    """Guards against a refusal hidden by a store that fails to record it."""
    fixture.set_faults(lose_answers=9)
    with pytest.raises(ExceptionGroup, match="not valid"):
        run_edit(fixture, weigh(1, -1.0, "a"))


@pytest.mark.parametrize("create_first", [False, True])
def test_address_of_another_service_is_refused_also_in_a_race(
    fixture: storefakes.StoreFixture, create_first: bool
) -> None:
    """Guards against packets of one service that reach another's upstream."""
    row = tables.Row("x", "127.0.0.1:9", "riga-a")
    edit = tables.Edit("a", (row,))
    racing = fixture.make_client()

    def change(store: store_port.Store) -> Work:
        return edits.apply_edit(store, "booking", edit, 1, AUTHOR)

    def create(store: store_port.Store) -> Work:
        return edits.create_table(store, "sheets", edit._replace(edit_id="b"), OTHER)

    first, second = (create, change) if create_first else (change, create)
    racing = fixture.make_client()
    # The second edit has checked its address when the first takes effect.
    storefakes.run_before_write(racing, first(fixture.store))
    with pytest.raises(editrules.EditRefused, match="another service") as caught:
        fixture.run(second(racing))
    assert caught.value.upstreams == ("x",)


def test_address_is_compared_in_all_its_forms() -> None:
    """Guards against one host under two spellings in two services."""
    short = tables.Row("a", "[::1]:9", "riga-a")
    other = tables.Table("sheets", 1, (short,))
    added = [short._replace(address="[0:0:0:0:0:0:0:1]:9")]
    with pytest.raises(editrules.EditRefused):
        editrules.check_addresses("booking", added, [other])
    editrules.check_addresses("sheets", added, [other])


def test_audit_is_bounded(
    fixture: storefakes.StoreFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an audit trail that fills the store."""
    monkeypatch.setattr(audit, "KEPT_RECORDS", 5)
    monkeypatch.setattr(audit, "KEPT_REFUSALS", 3)
    for number in range(1, 9):
        run_edit(fixture, weigh(1, number / 10, f"a{number}"), number)
        with pytest.raises(ExceptionGroup):
            run_edit(fixture, weigh(1, -1.0, f"r{number}"), number + 1)
    pairs = fixture.run(fixture.store.get_prefix("/pistachioshed/audit/")).pairs
    assert [pair.key[-10:] for pair in pairs] == [f"{v:010d}" for v in range(5, 10)]
    refusals = fixture.run(audit.read_refusals(fixture.store, "booking"))
    assert [refusal.edit_id for refusal in refusals] == ["r8", "r7", "r6"]
    with pytest.raises(editrules.EditConflict, match="no longer reaches back"):
        run_edit(fixture, weigh(2, 0.5, "old"), 1)


def test_old_sheet_does_not_revert_rows_it_left_alone(
    fixture: storefakes.StoreFixture,
) -> None:
    """Guards against an old CSV that undoes what others did since its export."""
    text = sheets.format_sheet(read_table(fixture))
    run_edit(fixture, weigh(1, 0.5, "a"))
    changed = text.replace("20002,riga-a,1,", "20002,riga-a,0.25,")
    sheet = sheets.parse_sheet("b.csv", changed)
    result = fixture.run(
        sheetimports.apply_sheet(fixture.store, "booking", sheet, "b", OTHER)
    )
    assert (result.outcome, result.upstreams) == ("merged", ("booking-2",))
    assert [row.weight for row in read_table(fixture).rows] == [0.5, 0.25, 1.0]
    both = sheets.parse_sheet("b.csv", text.replace("riga-a,1,", "riga-a,2,"))
    with pytest.raises(editrules.EditConflict) as caught:
        fixture.run(
            sheetimports.apply_sheet(fixture.store, "booking", both, "c", OTHER)
        )
    assert "booking-2" in caught.value.upstreams
    newer = both._replace(version=99)
    with pytest.raises(editrules.EditRefused, match="made from version 99"):
        fixture.run(
            sheetimports.apply_sheet(fixture.store, "booking", newer, "d", OTHER)
        )


@pytest.mark.parametrize("seed", range(8))
def test_history_of_concurrent_edits_is_consistent(
    fixture: storefakes.StoreFixture, seed: int
) -> None:
    """Guards against an edit lost, doubled or misreported in a mix of faults."""
    chance = random.Random(seed)
    outcomes: dict[str, typing.Any] = {}
    ids = itertools.count(1)

    async def operate(name: str) -> None:
        for _ in range(6):
            edit_id = f"{name}-{next(ids)}"
            change = rowedits.Columns(weight=chance.choice([0.1, 0.2, 0.3, 0.4]))
            upstream = f"booking-{chance.randint(1, 3)}"
            build = rowedits.set_columns(upstream, change, edit_id)
            author = commits.Author(name, "")
            try:
                outcomes[edit_id] = await edits.change_table(
                    fixture.store, "booking", edit_id, build, author
                )
            except (editrules.EditConflict, editrules.OutcomeUnknown) as error:
                outcomes[edit_id] = error
            except store_port.StoreError as error:
                outcomes[edit_id] = error

    for name in ("ilze", "jana", "peter"):
        fixture.start(operate(name))
    for _ in range(60):
        fault = chance.choice(["lose_answers", "drop_writes", "late_writes", "down"])
        fixture.set_faults(
            delay_seconds=chance.choice([0.0, 0.1, 0.4, 3.0]),
            late_seconds=chance.choice([0.1, 1.0]),
            **{fault: chance.choice([0, 1, 2])},
        )
        fixture.advance(2.0)
    fixture.set_faults()
    fixture.advance(60.0)
    assert len(outcomes) == 18
    records = fixture.run(audit.read_records(fixture.store, "booking"))
    table = read_table(fixture)
    assert [r.version for r in records] == list(range(table.version, 0, -1))
    assert audit.rewind_table(table, records).rows == ()
    applied = [record.edit_id for record in records if record.edit_id != "e0"]
    assert len(set(applied)) == len(applied)
    for edit_id, outcome in outcomes.items():
        if isinstance(outcome, commits.Result):
            done = outcome.outcome != "unchanged"
            assert (edit_id in applied) == done, (edit_id, outcome)
        elif not isinstance(outcome, editrules.OutcomeUnknown):
            assert edit_id not in applied, (edit_id, outcome)
