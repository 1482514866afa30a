"""An in-memory fake of the store that the control policy uses."""

import collections

from pistachioshed.core import controlevents


class FakeStore:
    """Hold tables, reporter keys and status per zone, and count the calls.

    `stale`, if set, is what reads return instead of `tables`.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.tables: dict[str, controlevents.StoreTable] = {}
        self.stale: dict[str, controlevents.StoreTable] | None = None
        self.down = False
        self.calls: collections.Counter[str] = collections.Counter()
        self.watchers: set[str] = set()
        self.reporters: dict[str, tuple[str, int, float]] = {}
        self.status: dict[str, tuple[str, dict[str, dict[str, int]]]] = {}

    def list_tables(self) -> list[controlevents.StoreTable]:
        """Return the tables that a read returns."""
        return list((self.tables if self.stale is None else self.stale).values())
