"""Adoption of former owners' overrides before their flows send a packet.

A flow may send nothing between the failure of its owner and that of the next one. Its
override must still be replicated; it identifies the flow by its fingerprint only.
"""

import itertools
import typing
from collections import abc

# A service and a flow's fingerprint.
Key = tuple[str, bytes]


class Orphan(typing.NamedTuple):
    """A former owner's override: service, fingerprint and upstream."""

    service: str
    flow: bytes
    upstream: str


class Adoption:
    """Track the orphans to examine and those that this node has adopted.

    Parameters
    ----------
    idle_s : float
        How long an adopted override is kept if its flow sends no packet.
    """

    def __init__(self, idle_s: float) -> None:
        self.idle_s = idle_s
        self.orphans: abc.Iterator[Orphan] | None = None
        self.adopted: dict[Key, float] = {}

    @property
    def is_done(self) -> bool:
        """Whether every orphan has been examined."""
        return self.orphans is None

    def start(self, orphans: abc.Iterator[Orphan]) -> None:
        """Restart the examination, after a change of owners."""
        self.orphans = orphans

    def take(self, limit: int) -> list[Orphan]:
        """Return the next orphans to examine."""
        taken = list(itertools.islice(self.orphans or (), limit))
        if len(taken) < limit:
            self.orphans = None
        return taken

    def record_adopted(self, service: str, flow: bytes, now: float) -> None:
        """Record that an orphan was adopted."""
        self.adopted[service, flow] = now

    def forget(self, service: str, flow: bytes) -> None:
        """Drop an adopted flow that sent a packet or ended."""
        self.adopted.pop((service, flow), None)

    def expire(self, now: float) -> list[Key]:
        """Remove and return the flows that sent no packet within the idle time."""
        expired = []
        for key, taken_at in self.adopted.items():
            if now < taken_at + self.idle_s:
                break
            expired.append(key)
        for key in expired:
            del self.adopted[key]
        return expired
