"""Tests of table edits: single, concurrent and with a failing store."""

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

EditCoroutine = typing.Coroutine[typing.Any, typing.Any, commits.Result]

AUTHOR = commits.Author("ilze", "2026-01-01T00:00:00+00:00")
OTHER_AUTHOR = commits.Author("jana", "2026-01-01T00:00:01+00:00")


@pytest.fixture
def fixture() -> storefakes.StoreFixture:
    """Return a store with one service of three rows at version 1."""
    store_fixture = storefakes.StoreFixture()
    rows = builders.build_table("booking", 3).rows
    store_fixture.run(
        edits.create_table(
            store_fixture.store, "booking", tables.Edit("e0", rows), AUTHOR
        )
    )
    return store_fixture


def make_weight_edit(number: int, weight: float, edit_id: str) -> tables.Edit:
    """Return an edit that sets the weight of a row."""
    row = builders.build_row("booking", number)._replace(weight=weight)
    return tables.Edit(edit_id, (row,))


def make_drain_edit(number: int, edit_id: str) -> tables.Edit:
    """Return an edit that drains a row."""
    row = builders.build_row("booking", number)._replace(state="drain")
    return tables.Edit(edit_id, (row,))


def run_edit(
    fixture: storefakes.StoreFixture, edit: tables.Edit, base_version: int = 1
) -> commits.Result:
    """Apply an edit and return its result."""
    return fixture.run(
        edits.apply_edit(fixture.store, "booking", edit, base_version, AUTHOR)
    )


def read_table(fixture: storefakes.StoreFixture) -> tables.Table:
    """Return the table in the store."""
    return fixture.run(edits.read_table(fixture.store, "booking"))


def run_at_once(
    fixture: storefakes.StoreFixture,
    *coroutines: EditCoroutine,
) -> list[typing.Any]:
    """Run edits concurrently; all read the table before the first one is written."""
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
    """Guard against an edit that overwrites a concurrent edit of another row."""
    fixture.store_standin.calls.clear()
    results = run_at_once(
        fixture,
        edits.apply_edit(
            fixture.store, "booking", make_weight_edit(1, 0.5, "a"), 1, AUTHOR
        ),
        edits.apply_edit(
            fixture.store, "booking", make_weight_edit(2, 0.25, "b"), 1, OTHER_AUTHOR
        ),
    )
    assert sorted(result.outcome for result in results) == ["applied", "merged"]
    table = read_table(fixture)
    assert [row.weight for row in table.rows] == [0.5, 0.25, 1.0]
    assert table.version == 3
    assert fixture.store_standin.calls["kv/txn"] == 3


def test_two_operators_of_one_row_conflict(fixture: storefakes.StoreFixture) -> None:
    """Guard against an edit that silently reverts another operator's edit."""
    results = run_at_once(
        fixture,
        edits.apply_edit(
            fixture.store, "booking", make_weight_edit(1, 0.5, "a"), 1, AUTHOR
        ),
        edits.apply_edit(
            fixture.store, "booking", make_weight_edit(1, 0.25, "b"), 1, OTHER_AUTHOR
        ),
    )
    conflict = next(r for r in results if isinstance(r, editrules.EditConflict))
    accepted = next(r for r in results if isinstance(r, commits.Result))
    assert conflict.upstreams == ("booking-1",)
    assert f"edit {accepted.edit_id} by" in conflict.conflicting_edits
    assert read_table(fixture).edit_id == accepted.edit_id
    refusals = fixture.run(audit.read_refusals(fixture.store, "booking"))
    assert [r.upstreams for r in refusals] == [("booking-1",)]


def make_add_edit(name: str, address: str) -> tables.Edit:
    """Return an edit that adds a row with an address."""
    return tables.Edit(name, (tables.Row(name, address, "riga-a"),))


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ([make_drain_edit(1, "a"), make_drain_edit(2, "b")], make_drain_edit(3, "c")),
        ([make_add_edit("x", "127.0.0.1:9")], make_add_edit("y", "127.0.0.1:9")),
    ],
)
def test_merge_that_breaks_the_table_conflicts(
    fixture: storefakes.StoreFixture, first: list[tables.Edit], second: tables.Edit
) -> None:
    """Guard against merging edits that are valid separately but not together."""
    for version, edit in enumerate(first, 1):
        run_edit(fixture, edit, version)
    before = read_table(fixture)
    with pytest.raises(editrules.EditConflict):
        run_edit(fixture, second)
    assert read_table(fixture) == before


def test_edit_without_active_row_needs_force(fixture: storefakes.StoreFixture) -> None:
    """Guard against removing the last active upstream of a service by mistake."""
    rows = tuple(make_drain_edit(number, "").upserts[0] for number in (1, 2, 3))
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
    """Guard against an edit applied twice or misreported after a lost response."""
    fixture.set_faults(**faults)
    result = run_edit(fixture, make_weight_edit(1, 0.5, "a"))
    assert (result.outcome, result.version) == ("applied", 2)
    fixture.set_faults()
    fixture.advance(2.0)
    table = read_table(fixture)
    assert (table.version, table.edit_id) == (2, "a")


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes"])
def test_lost_answer_of_a_creation_is_resolved(fault: str) -> None:
    """Guard against "exists already" for a service that the command itself created."""
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
    """Guard against a delayed write that takes effect after its sender gave up."""
    fixture.set_faults(late_writes=8, late_seconds=5.0)
    with pytest.raises(editrules.OutcomeUnknown):
        run_edit(fixture, make_weight_edit(1, 0.5, "a"))
    fixture.set_faults()
    run_edit(fixture, make_weight_edit(1, 0.25, "b"))
    fixture.advance(6.0)
    assert read_table(fixture).edit_id == "b"


def test_unresolved_outcome_is_reported_and_repeated_safely(
    fixture: storefakes.StoreFixture,
) -> None:
    """Guard against reporting an applied edit as failed or applying it twice."""
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
    run_edit(fixture, make_weight_edit(1, 0.75, "b"), 2)
    repeated = edits.change_table(
        fixture.store, "booking", "a", build, AUTHOR, repeated=True
    )
    result = fixture.run(repeated)
    assert (result.outcome, result.version) == ("replayed", 2)
    assert read_table(fixture).rows[0].weight == 0.75


def test_store_down_is_reported_as_no_effect(fixture: storefakes.StoreFixture) -> None:
    """Guard against an unclear error or a hang while the store is down."""
    fixture.set_faults(down=True)
    with pytest.raises(store_port.StoreUnavailable):
        run_edit(fixture, make_weight_edit(1, 0.5, "a"))


def test_refusal_is_reported_when_it_can_not_be_recorded(
    fixture: storefakes.StoreFixture,
) -> None:
    """Guard against hiding a refusal when the store fails to record it."""
    fixture.set_faults(lose_answers=9)
    with pytest.raises(ExceptionGroup, match="not valid"):
        run_edit(fixture, make_weight_edit(1, -1.0, "a"))


@pytest.mark.parametrize("create_first", [False, True])
def test_address_of_another_service_is_refused_also_in_a_race(
    fixture: storefakes.StoreFixture, create_first: bool
) -> None:
    """Guard against packets of one service that reach an upstream of another."""
    row = tables.Row("x", "127.0.0.1:9", "riga-a")
    edit = tables.Edit("a", (row,))
    racing_store = fixture.make_client()

    def change(store: store_port.Store) -> EditCoroutine:
        return edits.apply_edit(store, "booking", edit, 1, AUTHOR)

    def create(store: store_port.Store) -> EditCoroutine:
        return edits.create_table(
            store, "sheets", edit._replace(edit_id="b"), OTHER_AUTHOR
        )

    first, second = (create, change) if create_first else (change, create)
    racing_store = fixture.make_client()
    # The first edit takes effect after the second one has checked its address.
    storefakes.run_before_write(racing_store, first(fixture.store))
    with pytest.raises(editrules.EditRefused, match="another service") as caught:
        fixture.run(second(racing_store))
    assert caught.value.upstreams == ("x",)


def test_address_is_compared_in_all_its_forms() -> None:
    """Guard against two services with the same address in different notations."""
    short = tables.Row("a", "[::1]:9", "riga-a")
    other = tables.Table("sheets", 1, (short,))
    added = [short._replace(address="[0:0:0:0:0:0:0:1]:9")]
    with pytest.raises(editrules.EditRefused):
        editrules.check_addresses("booking", added, [other])
    editrules.check_addresses("sheets", added, [other])


def test_audit_is_bounded(
    fixture: storefakes.StoreFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against an audit trail that grows without bound."""
    monkeypatch.setattr(audit, "KEPT_RECORDS", 5)
    monkeypatch.setattr(audit, "KEPT_REFUSALS", 3)
    for number in range(1, 9):
        run_edit(fixture, make_weight_edit(1, number / 10, f"a{number}"), number)
        with pytest.raises(ExceptionGroup):
            run_edit(fixture, make_weight_edit(1, -1.0, f"r{number}"), number + 1)
    pairs = fixture.run(fixture.store.get_prefix("/pistachioshed/audit/")).pairs
    assert [pair.key[-10:] for pair in pairs] == [f"{v:010d}" for v in range(5, 10)]
    refusals = fixture.run(audit.read_refusals(fixture.store, "booking"))
    assert [refusal.edit_id for refusal in refusals] == ["r8", "r7", "r6"]
    with pytest.raises(editrules.EditConflict, match="no longer reaches back"):
        run_edit(fixture, make_weight_edit(2, 0.5, "old"), 1)


def test_old_sheet_does_not_revert_rows_it_left_alone(
    fixture: storefakes.StoreFixture,
) -> None:
    """Guard against an old CSV sheet that reverts edits made since its export."""
    text = sheets.format_sheet(read_table(fixture))
    run_edit(fixture, make_weight_edit(1, 0.5, "a"))
    changed = text.replace("20002,riga-a,1,", "20002,riga-a,0.25,")
    sheet = sheets.parse_sheet("b.csv", changed)
    result = fixture.run(
        sheetimports.apply_sheet(fixture.store, "booking", sheet, "b", OTHER_AUTHOR)
    )
    assert (result.outcome, result.upstreams) == ("merged", ("booking-2",))
    assert [row.weight for row in read_table(fixture).rows] == [0.5, 0.25, 1.0]
    all_rows_sheet = sheets.parse_sheet("b.csv", text.replace("riga-a,1,", "riga-a,2,"))
    with pytest.raises(editrules.EditConflict) as caught:
        fixture.run(
            sheetimports.apply_sheet(
                fixture.store, "booking", all_rows_sheet, "c", OTHER_AUTHOR
            )
        )
    assert "booking-2" in caught.value.upstreams
    future_sheet = all_rows_sheet._replace(version=99)
    with pytest.raises(editrules.EditRefused, match="made from version 99"):
        fixture.run(
            sheetimports.apply_sheet(
                fixture.store, "booking", future_sheet, "d", OTHER_AUTHOR
            )
        )


@pytest.mark.parametrize("seed", range(8))
def test_history_of_concurrent_edits_is_consistent(
    fixture: storefakes.StoreFixture, seed: int
) -> None:
    """Guard against an edit lost, applied twice or misreported under store faults."""
    rng = random.Random(seed)
    outcomes: dict[str, typing.Any] = {}
    ids = itertools.count(1)

    async def run_operator(name: str) -> None:
        for _ in range(6):
            edit_id = f"{name}-{next(ids)}"
            change = rowedits.Columns(weight=rng.choice([0.1, 0.2, 0.3, 0.4]))
            upstream = f"booking-{rng.randint(1, 3)}"
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
        fixture.start(run_operator(name))
    for _ in range(60):
        fault = rng.choice(["lose_answers", "drop_writes", "late_writes", "down"])
        fixture.set_faults(
            delay_seconds=rng.choice([0.0, 0.1, 0.4, 3.0]),
            late_seconds=rng.choice([0.1, 1.0]),
            **{fault: rng.choice([0, 1, 2])},
        )
        fixture.advance(2.0)
    fixture.set_faults()
    fixture.advance(60.0)
    assert len(outcomes) == 18
    records = fixture.run(audit.read_records(fixture.store, "booking"))
    table = read_table(fixture)
    assert [r.version for r in records] == list(range(table.version, 0, -1))
    assert audit.revert_edits(table, records).rows == ()
    applied = [record.edit_id for record in records if record.edit_id != "e0"]
    assert len(set(applied)) == len(applied)
    for edit_id, outcome in outcomes.items():
        if isinstance(outcome, commits.Result):
            done = outcome.outcome != "unchanged"
            assert (edit_id in applied) == done, (edit_id, outcome)
        elif not isinstance(outcome, editrules.OutcomeUnknown):
            assert edit_id not in applied, (edit_id, outcome)
