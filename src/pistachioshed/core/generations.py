"""The last table versions of a service, and the home of a flow in each of them."""

import collections
import typing

from pistachioshed.core import hashing, tables


class Generation(typing.NamedTuple):
    """A table that is or was in force, prepared for placing flows."""

    version: int
    rows: dict[str, tables.Row]
    choices: tuple[hashing.Choice, ...]


def prepare_generation(table: tables.Table) -> Generation:
    """Prepare a table; rows that are not active are the home of no flow."""
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
    """Return the home of a flow, which depends only on the key and the table."""
    return hashing.find_best(key, generation.choices)


class Change(typing.NamedTuple):
    """Difference of two generations, for a cheap check of which homes stay the same.

    `unchanged` holds the choices in both, `changed` those that are new or have another
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
    """Return whether a flow's home in the old generation is certainly its new home."""
    choice = change.unchanged.get(home)
    return choice is not None and (
        hashing.find_best(key, (*change.changed, choice)) == home
    )


class Generations:
    """Keep the last generations of one service, in ascending order of version."""

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
        """Return whether a version below the newest is missing and would be kept."""
        versions = [generation.version for generation in self.kept]
        if not versions or version in versions or version >= versions[-1]:
            return False
        return len(versions) < (self.kept.maxlen or 0) or version > versions[0]

    def add_older(self, table: tables.Table) -> None:
        """Keep a version that arrived after a newer one, without putting it in force.

        Another owner may have placed flows by it.
        """
        if not self.lacks(table.version):
            return
        found = [*self.kept, prepare_generation(table)]
        found.sort(key=lambda generation: generation.version)
        self.kept = collections.deque(found, maxlen=self.kept.maxlen)

    def select_through(self, version: int) -> Generation:
        """Return the generation that places an owner's flows that have no override.

        Parameters
        ----------
        version : int
            The newest version that the owner has marked complete, 0 if there is none.
            Flows without an override are at their home in that generation. If this
            node does not have it, the next older one is used, since most flows are
            older than an edit; without an older one, the oldest one kept.
        """
        for generation in reversed(self.kept):
            if generation.version <= version:
                return generation
        return self.kept[0]

    def is_home_certain(self, key: bytes) -> bool:
        """Return whether a flow has the same home in every generation.

        The result is False on a node that joined after the first version and does not
        have the earlier generations.
        """
        if len(self.kept) == 1 and self.newest.version > 1:
            return False
        homes = {find_home(generation, key) for generation in self.kept}
        return len(homes) == 1
