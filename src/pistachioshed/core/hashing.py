"""Weighted rendezvous hashing over rows and members."""

import functools
import math
import typing
from collections import abc

import xxhash

# Fingerprints are truncated to 48 bits. A successor with 100,000 received overrides
# that looks up 40,000 unknown flows after the failure of an owner expects one false
# match in 70,000 takeovers (one in 270 with 40 bits, one in each with 32). A false
# match breaks a flow; each further byte costs a sixth of the overrides that fit the
# budget.
FINGERPRINT_BYTES: typing.Final = 6
HASH_RANGE: typing.Final = 2.0**64
# The 52 high bits of a digest plus a half are exact as a float, so the quotient is
# below 1 and its logarithm below 0.
SCORE_RANGE: typing.Final = 2.0**52
MASK_64: typing.Final = 2**64 - 1


class Choice(typing.NamedTuple):
    """A node or row that keys can be placed on; with `weight` 0 it gets no keys."""

    name: str
    weight: float


def rank_choices(key: bytes, choices: abc.Sequence[Choice]) -> list[str]:
    """Return the names of the choices for a key, best first.

    Each choice ranks first for a share of the keys in proportion to its weight.
    Changing one choice moves only keys to or from that choice.

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


def find_best(key: bytes, choices: abc.Iterable[Choice]) -> str | None:
    """Return the first name of `rank_choices`, or None if there is none."""
    best_score, best_name = 0.0, None
    # Inlines `score_choice`, because this runs for each relayed packet.
    for name, weight in choices:
        if weight > 0:
            digest = xxhash.xxh3_64_intdigest(key, hash_name(name))
            score = -weight / math.log(((digest >> 12) + 0.5) / SCORE_RANGE)
            if score > best_score or (score == best_score and name > (best_name or "")):
                best_score, best_name = score, name
    return best_name


def score_choice(key: bytes, choice: Choice) -> float:
    """Return a choice's score for a key; the highest score wins."""
    digest = xxhash.xxh3_64_intdigest(key, hash_name(choice.name))
    return -choice.weight / math.log(((digest >> 12) + 0.5) / SCORE_RANGE)


@functools.lru_cache(maxsize=65_536)
def hash_name(name: str) -> int:
    """Return a 64-bit seed for a name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def draw_share(key: bytes, name: str) -> float:
    """Return a number from 0 to 1 for a key and a name, independent of the ranking."""
    return xxhash.xxh3_64_intdigest(key, ~hash_name(name) & MASK_64) / HASH_RANGE


def fingerprint_flow(service: str, flow: bytes) -> bytes:
    """Return the fingerprint that identifies a flow in control messages.

    Owners are chosen by the fingerprint too, so that a balancer can determine the owner
    of a flow whose key it has not received.
    """
    return xxhash.xxh3_64_digest(flow, hash_name(service))[:FINGERPRINT_BYTES]
