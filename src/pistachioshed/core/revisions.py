"""Revisions of the store that rise also when the store is restored from a copy.

A restored store counts on from the revision of the copy. Its era, which rises with each
restoration, is therefore part of a revision: the era times `REVISIONS_PER_ERA`, plus
the revision of the store.
"""

import typing

# A power of ten, so that both parts can be read in logs.
REVISIONS_PER_ERA: typing.Final = 10**12


def combine_revision(era: int, store_revision: int) -> int:
    """Return the revision for an era and a revision of the store.

    Raises
    ------
    ValueError
        If the revision of the store is out of range.
    """
    if not 0 <= store_revision < REVISIONS_PER_ERA:
        raise ValueError(f"revision {store_revision} of the store is out of range")
    return era * REVISIONS_PER_ERA + store_revision


def split_revision(revision: int) -> tuple[int, int]:
    """Return the era of a revision and the revision of the store in it."""
    return divmod(revision, REVISIONS_PER_ERA)


def get_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision // REVISIONS_PER_ERA
