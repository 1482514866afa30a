"""Which updates a balancer piggybacks on its messages, and which it sends at once."""

import math
import typing
from collections import abc

MAX_PIGGYBACKED: typing.Final = 6
# Each member passes a new change on to FANOUT members when it learns it and again on
# its next tick: with 8 members each is then reached from 6 sides on average, and the
# cost per change and node is the same at any fleet size.
FANOUT: typing.Final = 3
ROUNDS: typing.Final = 2
# As in SWIM, an update is piggybacked this often times the logarithm of the members.
RETRANSMIT_FACTOR: typing.Final = 3


class GossipQueue:
    """Counts how often each changed record still has to be sent."""

    def __init__(self) -> None:
        self.sends_left: dict[str, int] = {}
        self.rounds_left: dict[str, int] = {}

    def add(self, name: str, members: int, is_urgent: bool) -> None:
        """Take note of a changed record.

        Parameters
        ----------
        name : str
            The member whose record changed.
        members : int
            The number of live members; the retransmissions grow with its logarithm.
        at_once : bool
            Whether to send it without waiting for a ping.
        """
        self.sends_left.pop(name, None)
        self.sends_left[name] = RETRANSMIT_FACTOR * math.ceil(math.log2(members + 2))
        if is_urgent:
            self.rounds_left[name] = ROUNDS

    def take(self) -> list[str]:
        """Return the records to piggyback on one message, least sent first."""
        by_sends = sorted(self.sends_left, key=self._get_sends_left, reverse=True)
        taken = by_sends[:MAX_PIGGYBACKED]
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
        """Forget members."""
        for name in names:
            self.sends_left.pop(name, None)
            self.rounds_left.pop(name, None)

    def _get_sends_left(self, name: str) -> int:
        return self.sends_left[name]

    def _count_down(self, counts: dict[str, int], name: str) -> None:
        counts[name] -= 1
        if counts[name] <= 0:
            del counts[name]
