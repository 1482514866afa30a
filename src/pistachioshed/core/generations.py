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


class Change(typing.NamedTuple):
    """Difference of two generations, to tell cheaply which homes stay.

    `unchanged` are the choices in both, `rivals` those that are new or have another
    weight.
    """

    unchanged: dict[str, hashing.Choice]
    changed: tuple[hashing.Choice, ...]


def compare_generations(old: Generation, new: Generation) -> Change:
    """Return the difference between the choices of two generations."""
    before = frozenset(old.choices)
    return Change(
        {choice.name: choice for choice in new.choices if choice in before},
        tuple(choice for choice in new.choices if choice not in before),
    )


def keeps_home(change: Change, key: bytes, home: str) -> bool:
    """Tell whether a flow's home in the old generation surely is its new home."""
    choice = change.unchanged.get(home)
    return choice is not None and (
        hashing.find_best(key, (*change.changed, choice)) == home
    )


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

    def lacks(self, version: int) -> bool:
        """Tell whether a version below the newest is missing and would be kept."""
        versions = [generation.version for generation in self.kept]
        if not versions or version in versions or version >= versions[-1]:
            return False
        return len(versions) < (self.kept.maxlen or 0) or version > versions[0]

    def add_older(self, table: tables.Table) -> None:
        """Keep a version that arrived after a higher one, without putting it in force.

        Another owner may have placed flows by it.
        """
        if not self.lacks(table.version):
            return
        found = [*self.kept, prepare_generation(table)]
        found.sort(key=lambda generation: generation.version)
        self.kept = collections.deque(found, maxlen=self.kept.maxlen)

    def select_through(self, version: int) -> Generation:
        """Return the generation that places flows of an owner without exceptions.

        Parameters
        ----------
        version : int
            The newest version under which the owner listed all its exceptions, 0 if
            there is none. Its other flows are at their home in that generation. If
            this node skipped it, the one before stands in, since most flows are
            older than an edit; else the oldest one kept.
        """
        for generation in reversed(self.kept):
            if generation.version <= version:
                return generation
        return self.kept[0]

    def is_home_certain(self, key: bytes) -> bool:
        """Tell whether every generation agrees on a flow's home.

        A node that joined after the first version lacks earlier generations and can
        not tell.
        """
        if len(self.kept) == 1 and self.newest.version > 1:
            return False
        homes = {find_home(generation, key) for generation in self.kept}
        return len(homes) == 1
