"""Waits that follow from the bound within which a change must be in force."""

import typing

import xxhash

# Two checks in a row may fail without exceeding the bound.
CHECKS_PER_BOUND: typing.Final = 4
# A catch-up and its transfer must fit in the time that remains after the last check.
CATCH_UP_SHARE: typing.Final = 0.1
# In a large fleet a forwarder needs some seconds until it knows the others.
FIRST_CHECK_SHARE: typing.Final = 0.5
# Below `CATCH_UP_SHARE`, so that watchers of other zones do not appear to be behind.
BATCH_SHARE: typing.Final = 1 / 15


class ChangeTiming(typing.NamedTuple):
    """Waits in seconds between a change in the store and its use by all forwarders.

    `batch_delay_s` lets one call return a group of changes. A peer that has known a
    newer state for `catch_up_delay_s` is asked for it. Every `check_interval_s` one
    forwarder of the fleet checks whether the watchers miss changes; the store must
    answer it within `check_timeout_s`. A forwarder takes part from
    `first_check_after_s` after its start.
    """

    batch_delay_s: float
    catch_up_delay_s: float
    check_interval_s: float
    check_timeout_s: float
    first_check_after_s: float


def derive_timing(bound_s: float) -> ChangeTiming:
    """Return the waits for a bound between a change and its use."""
    check_interval_s = bound_s / CHECKS_PER_BOUND
    return ChangeTiming(
        bound_s * BATCH_SHARE,
        bound_s * CATCH_UP_SHARE,
        check_interval_s,
        check_interval_s,
        bound_s * FIRST_CHECK_SHARE,
    )


def choose_checker(names: typing.Iterable[str], slot: int) -> str | None:
    """Return the forwarder that checks the store in a slot of time, None without names.

    Forwarders with different views of the fleet mostly choose the same one.
    """
    return max(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{slot}/{name}".encode()),
        default=None,
    )
