"""A fake of the store behind the control policy, with counted calls."""

import collections

from pistachioshed.core import controlevents


class FakeStore:
    """Tables, the reporter keys and status of all zones, with counted calls."""

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
        """Return what a read answers."""
        return list((self.tables if self.stale is None else self.stale).values())
