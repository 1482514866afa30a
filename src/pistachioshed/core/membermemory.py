"""Addresses of all forwarders that were heard of in the last minutes."""

import collections
import math
import typing
from collections import abc

Address = tuple[str, int]

# Two parts of a fleet that are cut off from each other for less than this time still
# count each other as members.
RETENTION_S: typing.Final = 600.0
MEMBERS_MAX: typing.Final = 4_096  # Above the design target of 3,200 forwarders.
EXPIRE_INTERVAL_S: typing.Final = 10.0  # Small beside the retention time.
# Members found in this time are new. When 195 forwarders start at once, some find no
# further one for 2 s while they know a tenth of them.
NEW_FOR_S: typing.Final = 5.0


class MemberMemory:
    """Remember the addresses of forwarders, also of silent ones.

    Members are known by address, because reports list the addresses of other
    forwarders, so an address is known before the name is.

    `heard_at` holds when each address was last heard of, `last_report_at` when any
    forwarder last sent a message, and `overflowed_at` when an address was last dropped
    because there were too many.
    """

    def __init__(self) -> None:
        self.heard_at: dict[Address, float] = {}
        self.found_at: collections.deque[float] = collections.deque()
        self.last_report_at = -math.inf
        self.overflowed_at = -math.inf
        self.expired_at = 0.0

    def record(self, addresses: abc.Iterable[Address], now: float) -> None:
        """Record the sender of a message and the addresses that it lists."""
        self.last_report_at = now
        for address in addresses:
            if address not in self.heard_at:
                if len(self.heard_at) >= MEMBERS_MAX:
                    self.overflowed_at = now
                    continue
                self.found_at.append(now)
            self.heard_at[address] = now

    def expire(self, now: float) -> None:
        """Forget the addresses that were not heard of for `RETENTION_S`."""
        if now - self.expired_at < EXPIRE_INTERVAL_S:
            return
        self.expired_at = now
        for address, heard_at in list(self.heard_at.items()):
            if now - heard_at > RETENTION_S:
                del self.heard_at[address]

    def count_new(self, now: float) -> int:
        """Return how many members were found in the last `NEW_FOR_S`."""
        while self.found_at and now - self.found_at[0] >= NEW_FOR_S:
            self.found_at.popleft()
        return len(self.found_at)

    def is_complete(self, now: float) -> bool:
        """Return whether no address was dropped within the retention time."""
        return now - self.overflowed_at > RETENTION_S

    def has_peer(self, now: float) -> bool:
        """Return whether any forwarder sent a message within the retention time."""
        return now - self.last_report_at <= RETENTION_S
