"""Tables of the product's own store after it is restored from a backup."""

import random
import typing

from pistachioshed.core import catalogue, controlevents, tables
from pistachioshed.operations import commits, documents, edits
from pistachioshed.ports import store
from tests import builders, storefakes

AUTHOR: typing.Final = commits.Author("ilze", "2026-01-01T00:00:00+00:00")
LOST_EDITS: typing.Final = 3


def follow_tables(
    fixture: storefakes.StoreFixture, control: catalogue.Catalogue
) -> store.Watch:
    """Let a control's catalogue follow the tables of a store."""

    def deliver(batch: store.WatchBatch) -> None:
        for event in batch.events:
            table = documents.decode_table(event.key, event.value)
            control.accept_stored(table, event.mod_revision)

    return fixture.store.watch(documents.TABLES_PREFIX, 1, deliver)


# An edit is not in force if its version is below one that the restoration has lost.
def test_an_edit_after_a_restoration_is_in_force() -> None:
    """Guard against an acknowledged edit that controls take for an older one."""
    fixture = storefakes.StoreFixture()
    row = builders.build_row("booking", 1)
    edit = tables.Edit("e0", builders.build_table("booking", 3).rows)
    fixture.run(edits.create_table(fixture.store, "booking", edit, AUTHOR))
    copy = fixture.store_standin.keys.make_copy()
    control = catalogue.Catalogue(
        controlevents.Settings("control-1", "riga-a"), random.Random(1)
    )
    watch = follow_tables(fixture, control)
    for number in range(1, LOST_EDITS + 1):
        edit = tables.Edit(f"lost-{number}", (row._replace(weight=10.0 * number),))
        fixture.run(edits.apply_edit(fixture.store, "booking", edit, number, AUTHOR))
    fixture.store_standin.keys.restore(copy)
    drained = tables.Edit("drain", (row._replace(state="drain"),))
    fixture.run(edits.apply_edit(fixture.store, "booking", drained, 1, AUTHOR))
    fixture.advance(8.0)
    held = control.held["booking"].table
    assert [each.state for each in held.rows if each.upstream == row.upstream] == [
        "drain"
    ]
    watch.stop()
