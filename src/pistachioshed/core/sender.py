"""Sending of batches to the peers within the byte budget."""

import typing
from collections import abc

from pistachioshed.core import channel, hashing, settings, tokenbucket, wire

# After a batch a peer's exceptions are gathered this long: at 8 nodes and a few
# exceptions per second, headers would otherwise take up most of the budget.
GATHER_S: typing.Final = 0.5
# Below this share of the budget's burst, exceptions are gathered too.
GATHER_SHARE: typing.Final = 1 / 8
RETRANSMIT_S: typing.Final = 0.5
# Handover before a join and flush before a leave run outside the budget, at this
# multiple of it (60 kB/s by default): the join or leave waits for them, and flows
# break without them. Both are rare and last at most `join_timeout_s`.
BURST_FACTOR: typing.Final = 50


class Entry:
    """An exception of this owner: its upstream and the peer that it is queued for."""

    __slots__ = ("sent", "target", "upstream")

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.target = ""
        self.sent = False


Exceptions = dict[str, dict[bytes, Entry]]


class Sender:
    """The channels to the peers, and the budgets that they share.

    Parameters
    ----------
    settings : settings.Settings
        `replication_bytes_per_s` is the budget.
    exceptions : dict
        The exceptions of this owner by service and flow.
    is_urgent : callable
        Tells whether a peer's batches may use the burst budget at a time.
    """

    def __init__(
        self,
        settings: settings.Settings,
        exceptions: Exceptions,
        is_urgent: abc.Callable[[str, float], bool],
    ) -> None:
        self.name = settings.name
        self.exceptions = exceptions
        self.is_urgent = is_urgent
        self.channels: dict[str, channel.Channel] = {}
        self.last_session = 0
        self.last_number = 0
        rate = settings.replication_bytes_per_s
        self.bucket = tokenbucket.TokenBucket(rate, channel.MAX_BATCH_BYTES)
        burst_rate = rate * BURST_FACTOR
        self.burst_bucket = tokenbucket.TokenBucket(
            burst_rate, max(burst_rate / 10, channel.MAX_BATCH_BYTES)
        )

    def get_channel(self, name: str) -> channel.Channel:
        """Return the channel to a peer, a new one if there is none."""
        peer = self.channels.get(name)
        if peer is None:
            peer = self.channels[name] = channel.Channel()
        return peer

    def open_session(self, name: str) -> int:
        """Return the session of the channel to a peer.

        A new channel gets a new session, so that the peer drops what was not withdrawn
        there while the peers were apart.
        """
        peer = self.get_channel(name)
        if not peer.session:
            self.last_session += 1
            peer.session = self.last_session
        return peer.session

    def count_pending(self, name: str) -> int:
        """Return how many items a peer has not acknowledged."""
        peer = self.channels.get(name)
        return peer.pending if peer is not None else 0

    def refill(self, now: float) -> None:
        """Let time pass for the budgets."""
        if not self.last_session:
            # Tells the channels of this run from those of an earlier run.
            self.last_session = int(now * 1_000) % 2**32
        self.bucket.refill(now)
        self.burst_bucket.refill(now)

    def charge(self, peer: str, message: wire.Message, now: float) -> wire.Outgoing:
        """Return a message to a peer after taking its size from the budget."""
        size = len(wire.encode(self.name, message, b""))
        self._get_bucket(peer, now).spend(size)
        return wire.Outgoing(peer, message)

    def send_due(self, now: float) -> list[wire.Outgoing]:
        """Return the batches that are due, those of the longest waiting peer first."""
        out: list[wire.Outgoing] = []
        busy = [name for name, peer in self.channels.items() if not peer.is_idle]
        busy.sort(key=self._get_sent_at)
        for is_urgent in (True, False):
            for name in busy:
                if self.is_urgent(name, now) is not is_urgent:
                    continue
                out += self._repeat_batch(name, now)
                if not self._is_due(name, now):
                    continue
                if not self._is_affordable(name, now):
                    # Small batches to the others would otherwise use up the tokens
                    # for which a peer with a full batch waits.
                    break
                out.append(self._send_batch(name, now))
        return out

    def note_ack(
        self, name: str, ack: wire.BatchAck, now: float
    ) -> list[wire.Outgoing]:
        """Take an acknowledgement and return the next batch if it may go at once."""
        peer = self.channels.get(name)
        if peer is None or peer.flight is None:
            return []
        batch = peer.flight.batch
        if (ack.session, ack.number) != (batch.session, batch.number):
            return []
        peer.flight = None
        # Other batches wait for a tick, and their turn.
        is_next = self._is_hurried(name, now) and self._is_due(name, now)
        if not is_next or not self._is_affordable(name, now):
            return []
        return [self._send_batch(name, now)]

    def _get_sent_at(self, name: str) -> float:
        return self.channels[name].sent_at

    def _get_bucket(self, name: str, now: float) -> tokenbucket.TokenBucket:
        return self.burst_bucket if self.is_urgent(name, now) else self.bucket

    def _repeat_batch(self, name: str, now: float) -> list[wire.Outgoing]:
        flight = self.channels[name].flight
        bucket = self._get_bucket(name, now)
        if flight is None or bucket.tokens <= 0 or now < flight.sent_at + RETRANSMIT_S:
            return []
        self.channels[name].flight = flight._replace(sent_at=now)
        return [self.charge(name, flight.batch, now)]

    def _is_due(self, name: str, now: float) -> bool:
        peer = self.channels[name]
        if peer.flight is not None or not peer.queued:
            return False
        is_full = self._estimate_size(peer) >= channel.MAX_BATCH_BYTES
        has_gathered = now >= peer.sent_at + GATHER_S
        return is_full or has_gathered or self._is_hurried(name, now)

    def _is_hurried(self, name: str, now: float) -> bool:
        """Tell whether a peer's next batch need not gather.

        Until its exception arrives, a flow breaks if this node dies. The removal of an
        exception can wait.
        """
        has_exceptions = bool(self.channels[name].urgent)
        is_spare = self.bucket.tokens > self.bucket.burst * GATHER_SHARE
        return (has_exceptions and is_spare) or self.is_urgent(name, now)

    def _is_affordable(self, name: str, now: float) -> bool:
        size = min(self._estimate_size(self.channels[name]), channel.MAX_BATCH_BYTES)
        return self._get_bucket(name, now).tokens >= size

    def _estimate_size(self, peer: channel.Channel) -> int:
        return channel.BATCH_OVERHEAD_BYTES + peer.queued * hashing.FINGERPRINT_BYTES

    def _send_batch(self, name: str, now: float) -> wire.Outgoing:
        peer = self.channels[name]
        content = peer.take(self._find_upstream, channel.MAX_BATCH_BYTES)
        self.last_number += 1
        batch = wire.Batch(
            self.open_session(name),
            self.last_number,
            content.service,
            self._group_flows(name, content),
            b"".join(content.removals),
            content.complete,
        )
        items = len(content.flows) + len(content.removals) + (content.complete > 0)
        peer.flight = channel.Flight(batch, items, now)
        peer.sent_at = now
        return self.charge(name, batch, now)

    def _find_upstream(self, key: channel.Key) -> str:
        entry = self.exceptions[key[0]].get(key[1])
        return entry.upstream if entry is not None else ""

    def _group_flows(self, name: str, content: channel.Content) -> dict[str, bytes]:
        groups: dict[str, list[bytes]] = {}
        for flow in content.flows:
            entry = self.exceptions[content.service].get(flow)
            if entry is None:
                continue
            if entry.target == name:
                entry.sent = True
            groups.setdefault(entry.upstream, []).append(flow)
        return {upstream: b"".join(found) for upstream, found in groups.items()}
