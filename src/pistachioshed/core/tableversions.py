"""Versions of tables that rise also when the store is restored from a backup.

A restored store has lost the newest versions and would give them out again. Its first
edit therefore starts an era: a floor that is above all versions given out before.
"""

import datetime
import typing

# A table gets a few edits per minute, so an era lasts for months of them. An era is a
# number of seconds since 1970, so that versions stay below 2**53 and JSON readers and
# gauges hold them exactly.
VERSIONS_PER_ERA: typing.Final = 10**6


def choose_floor(known_version: int, time: str) -> int:
    """Return a floor above a known version.

    Two stores restored from one backup know the same versions. The time orders them.

    Parameters
    ----------
    known_version : int
        The highest version or floor known.
    time : str
        The operator's time in ISO format, without effect if it is not valid.
    """
    try:
        seconds = int(datetime.datetime.fromisoformat(time).timestamp())
    except ValueError:
        seconds = 0
    return max(known_version // VERSIONS_PER_ERA + 1, seconds) * VERSIONS_PER_ERA


def get_next(version: int, floor: int) -> int:
    """Return the version that follows a version and is above a floor."""
    return max(version, floor) + 1


def is_first(version: int) -> bool:
    """Return whether a version is the first of its table in an era of a restored store.

    It then follows a version that is not one lower.
    """
    return version > VERSIONS_PER_ERA and version % VERSIONS_PER_ERA == 1
