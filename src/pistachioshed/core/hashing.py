"""Weighted rendezvous hashing over rows and members."""

import functools
import math
import typing
from collections import abc

import xxhash

HASH_RANGE: typing.Final = 2.0**64


class Choice(typing.NamedTuple):
    """Something that a key can be placed on; `weight` 0 takes no key."""

    name: str
    weight: float


def rank_choices(key: bytes, choices: abc.Sequence[Choice]) -> list[str]:
    """Order choices for a key, best first.

    Each choice is first for a share of the keys in proportion to its weight, and a
    change of one choice moves only keys to or from that choice.

    Parameters
    ----------
    key : bytes
        The key to place.
    choices : sequence of Choice
        The choices; those of weight 0 are left out.

    Returns
    -------
    list of str
        The names of the choices.
    """
    scored = [
        (score_choice(key, choice), choice.name)
        for choice in choices
        if choice.weight > 0
    ]
    scored.sort(reverse=True)
    return [name for _, name in scored]


def find_best(key: bytes, choices: abc.Sequence[Choice]) -> str | None:
    """Return the first name of `rank_choices`, or None if no choice takes keys."""
    best: tuple[float, str] | None = None
    for choice in choices:
        if choice.weight > 0:
            scored = (score_choice(key, choice), choice.name)
            if best is None or scored > best:
                best = scored
    return None if best is None else best[1]


def score_choice(key: bytes, choice: Choice) -> float:
    """Return a choice's score for a key; the highest score wins."""
    digest = xxhash.xxh3_64_intdigest(key, hash_name(choice.name))
    return -choice.weight / math.log((digest + 0.5) / HASH_RANGE)


@functools.lru_cache(maxsize=65_536)
def hash_name(name: str) -> int:
    """Return a 64-bit seed for a name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def fingerprint_flow(service: str, flow: bytes) -> int:
    """Return the 64-bit fingerprint that control messages use for a flow."""
    return xxhash.xxh3_64_intdigest(flow, hash_name(service))
