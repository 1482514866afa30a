"""Queue of membership updates to piggyback on messages or to send at once."""

import math
import typing
from collections import abc

PIGGYBACKED_MAX: typing.Final = 6
# Each member forwards a new change to FANOUT members on receipt and again on its next
# tick. With 8 members, each receives it from 6 senders on average, and the cost per
# change and node is the same at any fleet size.
FANOUT: typing.Final = 3
ROUNDS: typing.Final = 2
# As in SWIM, an update is piggybacked this many times the logarithm of the number of
# members.
RETRANSMIT_FACTOR: typing.Final = 3


class GossipQueue:
    """Count the remaining transmissions of each changed record."""

    def __init__(self) -> None:
        self.sends_left: dict[str, int] = {}
        self.rounds_left: dict[str, int] = {}

    def add(self, name: str, members: int, is_urgent: bool) -> None:
        """Queue a changed record.

        Parameters
        ----------
        name : str
            The member whose record changed.
        members : int
            The number of members; the number of transmissions grows with its logarithm.
        is_urgent : bool
            Whether to send it without waiting for a ping.
        """
        self.sends_left.pop(name, None)
        self.sends_left[name] = RETRANSMIT_FACTOR * math.ceil(math.log2(members + 2))
        if is_urgent:
            self.rounds_left[name] = ROUNDS

    def take(self) -> list[str]:
        """Return the records to piggyback on one message, least sent first."""
        by_sends = sorted(self.sends_left, key=self._get_sends_left, reverse=True)
        taken = by_sends[:PIGGYBACKED_MAX]
        for name in taken:
            self._count_down(self.sends_left, name)
        return taken

    def take_urgent(self, first_round_only: bool) -> list[str]:
        """Return the records to send at once."""
        taken = [
            name
            for name, rounds in self.rounds_left.items()
            if rounds == ROUNDS or not first_round_only
        ]
        for name in taken:
            self._count_down(self.rounds_left, name)
        return taken

    def drop(self, names: abc.Iterable[str]) -> None:
        """Remove the records of members from the queue."""
        for name in names:
            self.sends_left.pop(name, None)
            self.rounds_left.pop(name, None)

    def _get_sends_left(self, name: str) -> int:
        return self.sends_left[name]

    def _count_down(self, counts: dict[str, int], name: str) -> None:
        counts[name] -= 1
        if counts[name] <= 0:
            del counts[name]
