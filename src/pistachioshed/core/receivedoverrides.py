"""Overrides received from other owners."""

import typing
from collections import abc

from pistachioshed.core import adoption, hashing, wire

# About 15 MB. With 8 equal balancers this node is the backup for a seventh of the
# overrides of each other one, which makes 100,000 if each of them has that many.
RECEIVED_MAX: typing.Final = 100_000


class Source:
    """A session in which an owner sends overrides.

    `number` is that of the last applied batch, `complete` the newest completed version
    of each service. `ended_at` is when the session ended, because the owner started
    another one or is no longer active; it is None while the session lasts.
    """

    __slots__ = ("bindings", "complete", "ended_at", "number", "owner", "session")

    def __init__(self, owner: str, session: int, ended_at: float | None) -> None:
        self.owner = owner
        self.session = session
        self.number = -1
        self.complete: dict[str, int] = {}
        self.ended_at = ended_at
        self.bindings: dict[str, Binding] = {}

    def bind(self, upstream: str) -> "Binding":
        """Return the binding to an upstream, which all of its flows share."""
        binding = self.bindings.get(upstream)
        if binding is None:
            binding = self.bindings[upstream] = Binding(upstream, self)
        return binding


class Binding(typing.NamedTuple):
    """The upstream of a received override and the session that sent it."""

    upstream: str
    source: Source


class ReceivedOverrides:
    """Store received overrides by service and fingerprint.

    Parameters
    ----------
    idle_s : float
        How long the overrides of an ended session are kept.
    """

    def __init__(self, idle_s: float) -> None:
        self.idle_s = idle_s
        self.received: dict[str, dict[bytes, Binding]] = {}
        # While the views of two owners differ, both may send an override of the same
        # flow. If one of them withdraws its override, that of the other applies again.
        self.shadowed: dict[tuple[str, bytes], list[Binding]] = {}
        self.sources: dict[str, Source] = {}
        self.retired: list[Source] = []
        self.owners: frozenset[str] = frozenset()
        self.count = 0
        self.refused = 0

    def find(self, service: str, fingerprint: bytes) -> str | None:
        """Return the upstream of a received override, or None."""
        binding = self.received.get(service, {}).get(fingerprint)
        return binding.upstream if binding is not None else None

    def complete_through(self, service: str, owner: str) -> int:
        """Return the newest version that an owner marked complete here, or 0."""
        source = self.sources.get(owner)
        return source.complete.get(service, 0) if source is not None else 0

    def list_orphans(self) -> abc.Iterator[adoption.Orphan]:
        """Yield the overrides of ended sessions."""
        for service, flows in list(self.received.items()):
            for fingerprint, binding in list(flows.items()):
                if binding.source.ended_at is not None:
                    yield adoption.Orphan(service, fingerprint, binding.upstream)

    def apply(self, owner: str, batch: wire.Batch, now: float) -> None:
        """Apply a batch unless a newer one has been applied before."""
        source = self._get_source(owner, batch.session, now)
        if source is None:
            return
        if source.ended_at is not None:
            source.ended_at = now
        if batch.number <= source.number:
            return
        source.number = batch.number
        flows = self.received.setdefault(batch.service, {})
        for fingerprint in _split(batch.removals):
            self._withdraw(source, batch.service, fingerprint)
        for upstream, fingerprints in batch.puts.items():
            binding = source.bind(upstream)
            for fingerprint in _split(fingerprints):
                if fingerprint not in flows:
                    if self.count >= RECEIVED_MAX:
                        self.refused += 1
                        continue
                    self.count += 1
                else:
                    self._shadow(source, batch.service, fingerprint)
                flows[fingerprint] = binding
        if batch.complete:
            self._set_complete(source, batch.service, batch.complete)

    def _withdraw(self, source: Source, service: str, fingerprint: bytes) -> None:
        flows = self.received[service]
        binding = flows.get(fingerprint)
        others = self._drop_shadowed(source, service, fingerprint)
        # Another owner may have replaced the override by its own in the meantime.
        if binding is None or binding.source is not source:
            return
        if others:
            flows[fingerprint] = others[-1]
            self._drop_shadowed(others[-1].source, service, fingerprint)
        else:
            del flows[fingerprint]
            self.count -= 1

    def _shadow(self, source: Source, service: str, fingerprint: bytes) -> None:
        """Keep another active owner's binding in case `source` withdraws its own."""
        self._drop_shadowed(source, service, fingerprint)
        binding = self.received[service][fingerprint]
        if binding.source is not source and binding.source.ended_at is None:
            self._drop_shadowed(binding.source, service, fingerprint)
            self.shadowed.setdefault((service, fingerprint), []).append(binding)

    def _drop_shadowed(
        self, source: Source, service: str, fingerprint: bytes
    ) -> list[Binding]:
        """Drop a source's shadowed binding; return those of other active owners."""
        bindings = self.shadowed.pop((service, fingerprint), [])
        others = [
            binding
            for binding in bindings
            if binding.source is not source and binding.source.ended_at is None
        ]
        if others:
            self.shadowed[service, fingerprint] = others
        return others

    def record_completed(
        self, owner: str, session: int, versions: abc.Mapping[str, int], now: float
    ) -> None:
        """Record the versions that an owner completed at the end of a handover."""
        source = self._get_source(owner, session, now)
        if source is None:
            return
        for service, version in versions.items():
            self._set_complete(source, service, version)

    def set_owners(self, owners: abc.Iterable[str], now: float) -> None:
        """Update the active owners; end the sessions of all others."""
        self.owners = frozenset(owners)
        for owner, source in self.sources.items():
            if owner in self.owners:
                source.ended_at = None
            elif source.ended_at is None:
                source.ended_at = now

    def expire(self, now: float) -> None:
        """Drop the overrides of sessions that ended at least the idle time ago.

        By then every flow still in use has sent a packet to its new owner, which has
        bound it.
        """
        sources = [*self.sources.values(), *self.retired]
        dropped = {
            id(source)
            for source in sources
            if source.ended_at is not None and now >= source.ended_at + self.idle_s
        }
        if not dropped:
            return
        self.sources = {
            owner: source
            for owner, source in self.sources.items()
            if id(source) not in dropped
        }
        self.retired = [source for source in self.retired if id(source) not in dropped]
        for service, flows in self.received.items():
            self.received[service] = {
                fingerprint: binding
                for fingerprint, binding in flows.items()
                if id(binding.source) not in dropped
            }
        self.count = sum(len(flows) for flows in self.received.values())
        for key, bindings in list(self.shadowed.items()):
            kept = [
                binding for binding in bindings if id(binding.source) not in dropped
            ]
            if kept:
                self.shadowed[key] = kept
            else:
                del self.shadowed[key]

    def _get_source(self, owner: str, session: int, now: float) -> Source | None:
        """Return a session, creating it if it is new; None if it was replaced."""
        source = self.sources.get(owner)
        if source is not None and source.session == session:
            return source
        # A delayed batch must not end the session that has replaced its own.
        if any(
            (other.owner, other.session) == (owner, session) for other in self.retired
        ):
            return None
        if source is not None:
            source.ended_at = now
            self.retired.append(source)
        ended_at = None if owner in self.owners else now
        self.sources[owner] = source = Source(owner, session, ended_at)
        return source

    def _set_complete(self, source: Source, service: str, version: int) -> None:
        source.complete[service] = max(source.complete.get(service, 0), version)


def _split(fingerprints: bytes) -> abc.Iterator[bytes]:
    size = hashing.FINGERPRINT_BYTES
    return (
        fingerprints[at : at + size]
        for at in range(0, len(fingerprints) - size + 1, size)
    )
