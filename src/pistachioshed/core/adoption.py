"""Exceptions of former owners that this balancer takes over unseen.

A flow may send nothing between the loss of its owner and that of the next one. Its
exception must then have passed on without the flow, by its fingerprint alone.
"""

import itertools
import typing
from collections import abc

Key = tuple[str, bytes]


class Orphan(typing.NamedTuple):
    """A former owner's exception: service, fingerprint and upstream."""

    service: str
    flow: bytes
    upstream: str


class Adoption:
    """Orphans still to be looked at, and those taken over for a time."""

    def __init__(self, idle_s: float) -> None:
        self.idle_s = idle_s
        self.orphans: abc.Iterator[Orphan] | None = None
        self.adopted: dict[Key, float] = {}

    @property
    def is_done(self) -> bool:
        """Tell whether every orphan was looked at."""
        return self.orphans is None

    def start(self, orphans: abc.Iterator[Orphan]) -> None:
        """Look at orphans from the start, after a change of owners."""
        self.orphans = orphans

    def take(self, limit: int) -> list[Orphan]:
        """Return the next orphans to look at."""
        taken = list(itertools.islice(self.orphans or (), limit))
        if len(taken) < limit:
            self.orphans = None
        return taken

    def record_adopted(self, service: str, flow: bytes, now: float) -> None:
        """Note that an orphan was taken over."""
        self.adopted[service, flow] = now

    def forget(self, service: str, flow: bytes) -> None:
        """Forget a taken over flow, since it arrived or ended."""
        self.adopted.pop((service, flow), None)

    def expire(self, now: float) -> list[Key]:
        """Remove and return the flows that never arrived within the idle time."""
        expired = []
        for key, taken_at in self.adopted.items():
            if now < taken_at + self.idle_s:
                break
            expired.append(key)
        for key in expired:
            del self.adopted[key]
        return expired
