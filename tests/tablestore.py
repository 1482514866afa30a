"""A fake of the store behind the control policy, with counted calls."""

import collections

from pistachioshed.core import controls


class FakeStore:
    """Tables, the reporter keys and status of all zones, with counted calls."""

    def __init__(self) -> None:
        self.revision = 1
        self.tables: dict[str, controls.StoreTable] = {}
        self.stale: dict[str, controls.StoreTable] | None = None
        self.down = False
        self.calls: collections.Counter[str] = collections.Counter()
        self.watchers: set[str] = set()
        self.reporters: dict[str, tuple[str, int, float]] = {}
        self.status: dict[str, tuple[str, dict[str, dict[str, int]]]] = {}

    def list_tables(self) -> list[controls.StoreTable]:
        """Return what a read answers."""
        return list((self.tables if self.stale is None else self.stale).values())
