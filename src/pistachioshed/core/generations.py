"""The last tables in force of a service, and the home of a flow in each."""

import collections
import typing

from pistachioshed.core import hashing, tables


class Generation(typing.NamedTuple):
    """A table that is or was in force, prepared for placing flows."""

    version: int
    rows: dict[str, tables.Row]
    choices: tuple[hashing.Choice, ...]


def prepare_generation(table: tables.Table) -> Generation:
    """Prepare a table; rows that are not active are nobody's home."""
    return Generation(
        table.version,
        {row.upstream: row for row in table.rows},
        tuple(
            hashing.Choice(row.upstream, row.weight)
            for row in table.rows
            if row.state == "active" and row.weight > 0
        ),
    )


def find_home(generation: Generation, key: bytes) -> str | None:
    """Return the home of a flow, which depends on the table only."""
    return hashing.find_best(key, generation.choices)


class Generations:
    """The generations of one service, oldest first, versions rising."""

    def __init__(self, kept: int) -> None:
        self.kept: collections.deque[Generation] = collections.deque(maxlen=kept)

    @property
    def newest(self) -> Generation:
        """The table in force."""
        return self.kept[-1]

    def add(self, table: tables.Table) -> bool:
        """Put a table in force, unless its version is not higher than the newest's."""
        if self.kept and table.version <= self.newest.version:
            return False
        self.kept.append(prepare_generation(table))
        return True

    def select_through(self, version: int) -> Generation:
        """Return the generation that places flows of an owner without exceptions.

        Parameters
        ----------
        version : int
            The newest version under which the owner listed all its exceptions, 0 if
            there is none. Its other flows are at their home in that generation, or
            in the oldest one kept if that is newer.
        """
        for generation in self.kept:
            if generation.version >= version:
                return generation
        return self.newest

    def is_home_certain(self, key: bytes) -> bool:
        """Tell whether every generation agrees on a flow's home.

        A node that joined after the first version lacks earlier generations and can
        not tell.
        """
        if len(self.kept) == 1 and self.newest.version > 1:
            return False
        homes = {find_home(generation, key) for generation in self.kept}
        return len(homes) == 1
