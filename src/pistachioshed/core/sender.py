"""Send batches of overrides to the peers within byte budgets."""

import typing
from collections import abc

from pistachioshed.core import channel, hashing, settings, tokenbucket, wire

# After a batch, overrides for the same peer are collected for this long. Otherwise, at
# 8 nodes and a few overrides per second, headers would take up most of the budget.
BATCH_DELAY_S: typing.Final = 0.5
# New overrides skip this delay while more than this share of the burst is available.
LOW_BUDGET_SHARE: typing.Final = 1 / 8
RETRANSMIT_S: typing.Final = 0.5
# Handovers before a join and flushes before a leave have a budget of their own, this
# multiple of the normal one (60 kB/s by default): the join or leave waits for them, and
# flows break without them. Both are rare and last at most `join_timeout_s`.
BURST_FACTOR: typing.Final = 50


class Override:
    """An override of this owner.

    `target` is the peer that it is queued for, "" for none. `sent` is set if that peer
    may have received it, so that a removal must be sent too.
    """

    __slots__ = ("sent", "target", "upstream")

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.target = ""
        self.sent = False


Overrides = dict[str, dict[bytes, Override]]


class Sender:
    """Send batches over one channel per peer, within shared byte budgets.

    Parameters
    ----------
    settings : settings.Settings
        `replication_bytes_per_s` is the rate of the normal budget.
    overrides : dict
        The overrides of this owner by service and fingerprint.
    uses_burst_budget : callable
        Returns whether messages to a peer use the burst budget at a given time.
    """

    def __init__(
        self,
        settings: settings.Settings,
        overrides: Overrides,
        uses_burst_budget: abc.Callable[[str, float], bool],
    ) -> None:
        self.name = settings.name
        self.overrides = overrides
        self.uses_burst_budget = uses_burst_budget
        self.channels: dict[str, channel.Channel] = {}
        self.last_session = 0
        self.last_number = 0
        rate = settings.replication_bytes_per_s
        self.bucket = tokenbucket.TokenBucket(rate, channel.BATCH_MAX_BYTES)
        burst_rate = rate * BURST_FACTOR
        self.burst_bucket = tokenbucket.TokenBucket(
            burst_rate, max(burst_rate / 10, channel.BATCH_MAX_BYTES)
        )

    def get_channel(self, name: str) -> channel.Channel:
        """Return the channel to a peer, creating it if necessary."""
        peer = self.channels.get(name)
        if peer is None:
            peer = self.channels[name] = channel.Channel()
        return peer

    def open_session(self, name: str) -> int:
        """Return the session number of the channel to a peer.

        A new channel gets a new session, so that the peer discards the overrides of an
        earlier one, which could not be withdrawn while the two were disconnected.
        """
        peer = self.get_channel(name)
        if not peer.session:
            self.last_session += 1
            peer.session = self.last_session
        return peer.session

    def count_pending(self, name: str) -> int:
        """Return the number of items that a peer has not acknowledged."""
        peer = self.channels.get(name)
        return peer.pending if peer is not None else 0

    def refill(self, now: float) -> None:
        """Refill both budgets."""
        if not self.last_session:
            # Session numbers derived from the time differ from those of an earlier run.
            self.last_session = int(now * 1_000) % 2**32
        self.bucket.refill(now)
        self.burst_bucket.refill(now)

    def charge(self, peer: str, message: wire.Message, now: float) -> wire.Outgoing:
        """Return a message to a peer after spending its size from the budget."""
        size = len(wire.encode(self.name, message, b""))
        self._get_bucket(peer, now).spend(size)
        return wire.Outgoing(peer, message)

    def send_due(self, now: float) -> list[wire.Outgoing]:
        """Return the batches that are due, to the longest waiting peer first."""
        out: list[wire.Outgoing] = []
        busy = [name for name, peer in self.channels.items() if not peer.is_idle]
        busy.sort(key=self._get_sent_at)
        for uses_burst_budget in (True, False):
            for name in busy:
                if self.uses_burst_budget(name, now) is not uses_burst_budget:
                    continue
                out += self._retransmit_batch(name, now)
                if not self._is_due(name, now):
                    continue
                if not self._is_affordable(name, now):
                    # Smaller batches to other peers would otherwise spend the tokens
                    # that a full batch waits for.
                    break
                out.append(self._send_batch(name, now))
        return out

    def handle_ack(
        self, name: str, ack: wire.BatchAck, now: float
    ) -> list[wire.Outgoing]:
        """Handle an acknowledgement and return the next batch if it is due now."""
        peer = self.channels.get(name)
        if peer is None or peer.in_flight is None:
            return []
        batch = peer.in_flight.batch
        if (ack.session, ack.number) != (batch.session, batch.number):
            return []
        peer.in_flight = None
        # Batches that are subject to the delay are sent by `send_due`, in its order.
        is_next = self._skips_delay(name, now) and self._is_due(name, now)
        if not is_next or not self._is_affordable(name, now):
            return []
        return [self._send_batch(name, now)]

    def _get_sent_at(self, name: str) -> float:
        return self.channels[name].sent_at

    def _get_bucket(self, name: str, now: float) -> tokenbucket.TokenBucket:
        return self.burst_bucket if self.uses_burst_budget(name, now) else self.bucket

    def _retransmit_batch(self, name: str, now: float) -> list[wire.Outgoing]:
        in_flight = self.channels[name].in_flight
        bucket = self._get_bucket(name, now)
        if (
            in_flight is None
            or bucket.tokens <= 0
            or now < in_flight.sent_at + RETRANSMIT_S
        ):
            return []
        self.channels[name].in_flight = in_flight._replace(sent_at=now)
        return [self.charge(name, in_flight.batch, now)]

    def _is_due(self, name: str, now: float) -> bool:
        peer = self.channels[name]
        if peer.in_flight is not None or not peer.queued:
            return False
        is_full = self._estimate_size(peer) >= channel.BATCH_MAX_BYTES
        is_delay_over = now >= peer.sent_at + BATCH_DELAY_S
        return is_full or is_delay_over or self._skips_delay(name, now)

    def _skips_delay(self, name: str, now: float) -> bool:
        """Return whether a peer's next batch is exempt from the delay.

        A flow breaks if this node dies before the flow's override has arrived at the
        backup. Removals are not urgent.
        """
        has_overrides = bool(self.channels[name].urgent)
        has_budget = self.bucket.tokens > self.bucket.burst * LOW_BUDGET_SHARE
        return (has_overrides and has_budget) or self.uses_burst_budget(name, now)

    def _is_affordable(self, name: str, now: float) -> bool:
        size = min(self._estimate_size(self.channels[name]), channel.BATCH_MAX_BYTES)
        return self._get_bucket(name, now).tokens >= size

    def _estimate_size(self, peer: channel.Channel) -> int:
        return channel.BATCH_OVERHEAD_BYTES + peer.queued * hashing.FINGERPRINT_BYTES

    def _send_batch(self, name: str, now: float) -> wire.Outgoing:
        peer = self.channels[name]
        content = peer.take(self._find_upstream, channel.BATCH_MAX_BYTES)
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
        peer.in_flight = channel.InFlightBatch(batch, items, now)
        peer.sent_at = now
        return self.charge(name, batch, now)

    def _find_upstream(self, key: channel.Key) -> str:
        override = self.overrides[key[0]].get(key[1])
        return override.upstream if override is not None else ""

    def _group_flows(
        self, name: str, content: channel.BatchContent
    ) -> dict[str, bytes]:
        groups: dict[str, list[bytes]] = {}
        for flow in content.flows:
            override = self.overrides[content.service].get(flow)
            if override is None:
                continue
            if override.target == name:
                override.sent = True
            groups.setdefault(override.upstream, []).append(flow)
        return {upstream: b"".join(found) for upstream, found in groups.items()}
