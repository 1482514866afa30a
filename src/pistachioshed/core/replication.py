"""Replication of a balancer's exceptions to the next owners of their flows.

An exception goes to the first-ranked member other than this node: that is the backup
while this node owns the flow, and the successor once it no longer does.
"""

import typing
from collections import abc

from pistachioshed.core import (
    budget,
    channel,
    hashing,
    inbox,
    joins,
    membership,
    settings,
    wire,
)

# After a batch a peer's exceptions are gathered this long: at 8 nodes and a few
# exceptions per second, headers would otherwise take up most of the budget.
GATHER_S: typing.Final = 0.5
RETRANSMIT_S: typing.Final = 0.5
# Handover before a join and flush before a leave run outside the budget, at this
# multiple of it (60 kB/s by default): the join or leave waits for them, and flows
# break without them. Both are rare and last at most `join_timeout_s`.
BURST_FACTOR: typing.Final = 50
# Ranking an exception among 8 members takes about 10 microseconds; a slice per tick
# must not delay packets noticeably.
SCAN_SLICE: typing.Final = 1_000


class Entry:
    """An exception of this owner: its upstream and the peer that it is queued for."""

    __slots__ = ("sent", "target", "upstream")

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.target = ""
        self.sent = False


class Replicator:
    """Sends this owner's exceptions to their backups and keeps those of others.

    Parameters
    ----------
    settings : settings.Settings
        `replication_bytes_per_s` bounds what is sent, other than for a planned join
        or leave.
    """

    def __init__(self, settings: settings.Settings) -> None:
        self.settings = settings
        self.exceptions: dict[str, dict[bytes, Entry]] = {}
        self.channels: dict[str, channel.Channel] = {}
        self.inbox = inbox.Inbox(settings.flow_idle_s)
        self.joiners = joins.Joiners(settings)
        self.choices: list[hashing.Choice] = []
        self.others: list[hashing.Choice] = []
        self.closed: dict[str, int] = {}
        self.lost_peers: set[str] = set()
        self.scan: abc.Iterator[channel.Key] | None = None
        self.unqueued = False
        self.unsent = 0
        self.session = 0
        self.last_number = 0
        self.flush_until: float | None = None
        rate = settings.replication_bytes_per_s
        burst = max(rate, channel.MAX_BATCH_BYTES)
        self.bucket = budget.TokenBucket(rate, burst)
        self.burst_bucket = budget.TokenBucket(
            rate * BURST_FACTOR, max(rate * BURST_FACTOR / 10, channel.MAX_BATCH_BYTES)
        )

    @property
    def overflow(self) -> int:
        """Exceptions that found a queue or the store of received ones full."""
        return self.unsent + self.inbox.refused

    def put(self, service: str, flow: bytes, upstream: str) -> None:
        """Replicate that a flow of this owner has an upstream other than its home."""
        flows = self.exceptions.setdefault(service, {})
        entry = flows.get(flow)
        if entry is not None and entry.upstream == upstream:
            return
        if entry is None:
            entry = flows[flow] = Entry(upstream)
            entry.target = self._choose_target(flow)
        entry.upstream = upstream
        if entry.target:
            self._queue(entry, service, flow, moved=False)
        self.joiners.forget_taken(service, flow)
        for name in self.joiners.find_owners(service, flow, self.choices):
            self._get_channel(name).add(service, flow)

    def remove(self, service: str, flow: bytes) -> None:
        """Withdraw an exception whose flow ended or went back to its home."""
        entry = self.exceptions.get(service, {}).pop(flow, None)
        if entry is None:
            return
        self._withdraw(entry, service, flow)
        for name in self.joiners.forget_flow(service, flow):
            self._queue_removal(name, service, flow)

    def find(self, service: str, flow: bytes) -> str | None:
        """Return the upstream of a flow that another owner replicated here."""
        return self.inbox.find(service, channel.fingerprint_flow(service, flow))

    def complete_through(self, service: str, owner: str) -> int:
        """Return the newest version whose exceptions an owner completed here, or 0."""
        return self.inbox.complete_through(service, owner)

    def close_generation(self, service: str, version: int) -> None:
        """Mark a version complete at the peers once all exceptions put so far are."""
        self.closed[service] = max(version, self.closed.get(service, 0))
        if self.scan is None and not self.unqueued:
            self._mark_closed()

    def set_view(self, view: membership.View, now: float) -> None:
        """Take the active owners; exceptions whose backup changed are queued again."""
        self.choices = [
            hashing.Choice(member.name, member.capacity) for member in view.members
        ]
        self.others = [c for c in self.choices if c.name != self.settings.name]
        names = {choice.name for choice in self.others}
        self.joiners.set_owners(names)
        for name in list(self.channels):
            if name not in names and name not in self.joiners.sessions:
                del self.channels[name]
                self.lost_peers.add(name)
        self.inbox.set_owners(names, now)
        self._start_scan()

    def pending(self) -> int:
        """Return how many exceptions, removals and marks await acknowledgement."""
        return sum(peer.pending for peer in self.channels.values())

    def begin_flush(self, now: float) -> None:
        """Send what is pending at the burst rate, before a planned leave."""
        self.flush_until = now + self.settings.join_timeout_s

    def is_flushed(self) -> bool:
        """Tell whether every exception is at its successor."""
        return self.scan is None and not self.unqueued and self.pending() == 0

    def begin_handover(self, now: float) -> None:
        """Ask the active owners for the exceptions that this node will own."""
        self.joiners.begin(now)

    def is_handed_over(self) -> bool:
        """Tell whether every active owner has handed over."""
        return self.joiners.is_done({choice.name for choice in self.others})

    def end_handover(self) -> None:
        """Ask for no more handovers, once this node is active."""
        self.joiners.end()

    def handle(
        self, sender: str, message: wire.Message, now: float
    ) -> list[wire.Outgoing]:
        """Take a replication message of a known peer and return what to send."""
        self._refill(now)
        match message:
            case wire.Batch():
                self.inbox.apply(sender, message, now)
                ack = wire.BatchAck(message.session, message.number)
                return [self._charge(wire.Outgoing(sender, ack), self.bucket)]
            case wire.BatchAck():
                return self._note_ack(sender, message, now)
            case wire.HandoverRequest():
                if self.joiners.note_request(sender, message, now):
                    self.channels.pop(sender, None)
                    self._start_scan()
                return self._finish_handover(sender, repeat=True)
            case wire.HandoverDone():
                if self.joiners.note_done(sender, message):
                    self.inbox.complete(
                        sender, message.sender_session, message.complete, now
                    )
        return []

    def tick(self, now: float) -> list[wire.Outgoing]:
        """Return the batches that are due within the budget."""
        self._refill(now)
        self.inbox.expire(now)
        self._advance_scan()
        out: list[wire.Outgoing] = []
        for name in self.joiners.expire(now):
            self.channels.pop(name, None)
        for name in sorted(self.channels, key=self._get_sent_at):
            out += self._repeat_batch(name, now)
            out += self._send_batch(name, now)
        for name in list(self.joiners.sessions):
            out += self._finish_handover(name, repeat=False)
        out += self.joiners.request({choice.name for choice in self.others}, now)
        return out

    def _get_sent_at(self, name: str) -> float:
        return self.channels[name].sent_at

    def _get_channel(self, name: str) -> channel.Channel:
        peer = self.channels.get(name)
        if peer is None:
            peer = self.channels[name] = channel.Channel()
        return peer

    def _choose_target(self, flow: bytes) -> str:
        ranked = hashing.rank_choices(flow, self.others)
        return ranked[0] if ranked else ""

    def _queue(self, entry: Entry, service: str, flow: bytes, moved: bool) -> None:
        peer = self._get_channel(entry.target)
        if peer.queued >= channel.MAX_QUEUED:
            self.unsent += 1
            self.unqueued = True
            entry.target = ""
        elif moved:
            peer.add_moved(service, flow)
        else:
            peer.add(service, flow)

    def _withdraw(self, entry: Entry, service: str, flow: bytes) -> None:
        peer = self.channels.get(entry.target)
        if peer is not None:
            peer.discard(service, flow)
            if entry.sent:
                self._queue_removal(entry.target, service, flow)

    def _queue_removal(self, name: str, service: str, flow: bytes) -> None:
        peer = self.channels.get(name)
        if peer is not None:
            peer.discard(service, flow)
            peer.removals[service, channel.fingerprint_flow(service, flow)] = None

    def _mark_closed(self) -> None:
        for choice in self.others:
            peer = self._get_channel(choice.name)
            for service, version in self.closed.items():
                if peer.marked.get(service, 0) < version:
                    peer.close(service, version)

    def _start_scan(self) -> None:
        keys = [
            (service, flow)
            for service, flows in self.exceptions.items()
            for flow in flows
        ]
        self.scan = iter(keys)
        self.unqueued = False

    def _advance_scan(self) -> None:
        """Queue exceptions for a changed backup or a joining owner, a slice a tick."""
        if self.scan is None:
            if not self.unqueued or self.pending() > channel.MAX_QUEUED // 2:
                return
            self._start_scan()
        left = SCAN_SLICE
        for service, flow in self.scan or ():
            self._rescan(service, flow)
            left -= 1
            if not left:
                return
        self.scan = None
        self.lost_peers.clear()
        self.joiners.taken.clear()
        if not self.unqueued:
            self._mark_closed()

    def _rescan(self, service: str, flow: bytes) -> None:
        entry = self.exceptions[service].get(flow)
        if entry is None:
            return
        for name in self.joiners.find_new_owners(service, flow, self.choices):
            self._get_channel(name).add_moved(service, flow)
        target = self._choose_target(flow)
        if target == entry.target and target not in self.lost_peers:
            return
        self._withdraw(entry, service, flow)
        entry.target = target
        entry.sent = self.joiners.has_taken(target, service, flow)
        if target and not entry.sent:
            self._queue(entry, service, flow, moved=True)

    def _refill(self, now: float) -> None:
        if not self.session:
            # Tells this run from an earlier one of the same name.
            self.session = int(now * 1_000) % 2**32 + 1
        self.bucket.refill(now)
        self.burst_bucket.refill(now)

    def _charge(
        self, outgoing: wire.Outgoing, bucket: budget.TokenBucket
    ) -> wire.Outgoing:
        bucket.spend(len(wire.encode(self.settings.name, outgoing.message, b"")))
        return outgoing

    def _get_bucket(self, name: str, now: float) -> budget.TokenBucket:
        is_flushing = self.flush_until is not None and now <= self.flush_until
        if is_flushing or self.joiners.is_due(name, now):
            return self.burst_bucket
        return self.bucket

    def _repeat_batch(self, name: str, now: float) -> list[wire.Outgoing]:
        flight = self.channels[name].flight
        bucket = self._get_bucket(name, now)
        if flight is None or bucket.tokens <= 0 or now < flight.sent_at + RETRANSMIT_S:
            return []
        self.channels[name].flight = flight._replace(sent_at=now)
        return [self._charge(wire.Outgoing(name, flight.batch), bucket)]

    def _send_batch(self, name: str, now: float) -> list[wire.Outgoing]:
        peer = self.channels[name]
        bucket = self._get_bucket(name, now)
        if peer.flight is not None or not peer.queued:
            return []
        if bucket is self.bucket and now < peer.sent_at + GATHER_S:
            return []
        wanted = channel.BATCH_OVERHEAD_BYTES + peer.queued * wire.FINGERPRINT_BYTES
        if bucket.tokens < min(wanted, channel.MAX_BATCH_BYTES):
            return []
        content = peer.take(self._find_upstream, channel.MAX_BATCH_BYTES)
        self.last_number += 1
        batch = wire.Batch(
            self.session,
            self.last_number,
            content.service,
            self._group_flows(name, content),
            b"".join(content.removals),
            content.complete,
        )
        items = len(content.flows) + len(content.removals) + (content.complete > 0)
        peer.flight = channel.Flight(batch, items, now)
        peer.sent_at = now
        return [self._charge(wire.Outgoing(name, batch), bucket)]

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
            mark = channel.fingerprint_flow(content.service, flow)
            groups.setdefault(entry.upstream, []).append(mark)
        return {upstream: b"".join(marks) for upstream, marks in groups.items()}

    def _note_ack(
        self, sender: str, ack: wire.BatchAck, now: float
    ) -> list[wire.Outgoing]:
        peer = self.channels.get(sender)
        if peer is None or peer.flight is None:
            return []
        if (ack.session, ack.number) != (self.session, peer.flight.batch.number):
            return []
        peer.flight = None
        return self._send_batch(sender, now) + self._finish_handover(sender, False)

    def _finish_handover(self, name: str, repeat: bool) -> list[wire.Outgoing]:
        peer = self.channels.get(name)
        is_idle = self.scan is None and not self.unqueued
        if not is_idle or (peer is not None and peer.pending):
            return []
        session = self.joiners.finish(name, repeat)
        if not session:
            return []
        done = wire.HandoverDone(session, self.session, dict(self.closed))
        return [self._charge(wire.Outgoing(name, done), self.burst_bucket)]
