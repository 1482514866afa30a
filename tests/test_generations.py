"""Older tables that are kept for the flows placed by them."""

import pytest

from pistachioshed.core import generations, tables
from tests import builders


def build_generations(*versions: int) -> generations.Generations:
    """Return the generations of a node that received these versions in this order."""
    kept = generations.Generations(3)
    for version in versions:
        table = builders.build_table("booking", 3, version)
        if not kept.add(table):
            kept.add_older(table)
    return kept


@pytest.mark.parametrize(
    ("got", "asked", "selected"),
    [
        ((1, 2, 3), 2, 2),
        ((1, 3), 2, 1),
        ((2, 3), 1, 2),
        ((2, 3), 0, 2),
        ((1, 2), 3, 2),
    ],
)
def test_skipped_version_falls_back_to_the_one_before(
    got: tuple[int, ...], asked: int, selected: int
) -> None:
    """Guard against placing a former owner's flows by an edit it never received."""
    assert build_generations(*got).select_through(asked).version == selected


@pytest.mark.parametrize(
    ("got", "kept"),
    [((1, 3, 2), [1, 2, 3]), ((2, 3, 4, 1), [2, 3, 4]), ((1, 2, 2), [1, 2])],
)
def test_late_version_is_kept_without_being_in_force(
    got: tuple[int, ...], kept: list[int]
) -> None:
    """Guard against discarding, or reverting to, a version that arrives late."""
    found = build_generations(*got)
    assert [generation.version for generation in found.kept] == kept
    assert found.newest.version == max(got)


def test_rows_of_a_late_version_are_known() -> None:
    """Guard against a late table whose rows, removed since, can not be found."""
    kept = build_generations(1, 3)
    late = tables.apply_edit(
        builders.build_table("booking", 3, 1),
        tables.Edit("e2", (builders.build_row("booking", 9),)),
    )
    kept.add_older(late)
    assert "booking-9" in kept.kept[1].rows
