"""SWIM membership among the balancers that share addresses."""

import random
import typing
from collections import abc

from pistachioshed.core import (
    events,
    failuredetector,
    gossipqueue,
    memberrecords,
    settings,
    wire,
)

# A fifth of a second equals a hundred round trips between zones and leaves the rest of
# the ping interval for indirect probes.
ACK_TIMEOUT_S: typing.Final = 0.2
# Ticks run every 0.1 s. A gap of more than `PAUSE_S` means that this node was paused,
# so missed acks and expired suspicions are no evidence against other members.
PAUSE_S: typing.Final = 1.0
# 40 updates of about 25 bytes stay below the smallest common MTU.
SYNC_CHUNK_UPDATES: typing.Final = 40
# Digests differ temporarily while a change propagates; only a lasting difference
# justifies a transfer of all records.
SYNC_QUIET_S: typing.Final = 1.0
SYNC_INTERVAL_S: typing.Final = 5.0
FORGET_AFTER_S: typing.Final = 60.0


class Member(typing.NamedTuple):
    """A balancer that owns flows."""

    name: str
    zone: str
    capacity: float


class View(typing.NamedTuple):
    """The active owners, sorted by name; `number` increases with each local change."""

    number: int
    members: tuple[Member, ...]


class Membership:
    """Track the members and exchange updates about them.

    Parameters
    ----------
    settings : settings.Settings
        `seeds` holds names of peers that may be members before a VM list arrives.
    seed : int
        Seeds the random choice of members to ping.
    """

    def __init__(self, settings: settings.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.view = View(0, ())
        self.view_changed_at = 0.0
        self.member_table = memberrecords.MemberTable(settings)
        self.gossip_queue = gossipqueue.GossipQueue()
        self.failure_detector = failuredetector.FailureDetector(self.rng)
        self.rejoiner = failuredetector.Rejoiner(self.rng, settings.rejoin_interval_s)
        self.next_probe_at = 0.0
        self.last_call_at: float | None = None
        self.last_sync_at = -SYNC_INTERVAL_S
        self.last_change_at = 0.0
        self.is_view_stale = False

    def update_vms(self, vms: abc.Iterable[events.Vm], now: float) -> None:
        """Replace the VM list; it limits who may join and removes no live member."""
        self.member_table.listed_vms = {vm.name: vm for vm in vms}
        self.is_view_stale = True
        self._refresh_view(now)

    def knows(self, peer: str) -> bool:
        """Return whether messages of a peer are accepted."""
        return self.member_table.knows(peer)

    def has_probed(self, now: float) -> bool:
        """Return whether the first probe round has ended or no VM needs a probe."""
        if self.rejoiner.first_round_at is None:
            return (
                bool(self.member_table.listed_vms)
                and not self.member_table.list_absent()
            )
        return self.rejoiner.has_ended_first_round(now)

    def announce(self, state: str, now: float) -> None:
        """Set this node's lifecycle state and announce it to the members."""
        self.member_table.own_claim = self.member_table.own_claim._replace(
            state=memberrecords.STATES.index(state)
        )
        self._raise_incarnation(self.member_table.own_claim.incarnation, now)

    def handle(
        self, sender: str, message: wire.Message, now: float
    ) -> list[wire.Outgoing]:
        """Handle a membership message and return the messages to send."""
        if not self.knows(sender) or not isinstance(
            message, wire.Ping | wire.Ack | wire.PingRequest | wire.Gossip
        ):
            return []
        self._detect_pause(now)
        out: list[wire.Outgoing] = []
        needs_sync = self._apply_sender_claim(sender, message.claim, now)
        for update in message.updates:
            self._apply_claim(update.name, update.claim, now)
        match message:
            case wire.Ping():
                updates = self._pick_updates(sender, message.claim)
                ack = wire.Ack(message.number, self.member_table.own_claim, updates)
                out.append(wire.Outgoing(sender, ack))
                if self._is_sync_due(message.digest, now):
                    needs_sync = True
            case wire.Ack():
                self.failure_detector.handle_ack(sender, message.number)
                relay = self.failure_detector.pop_relay(message.number)
                if relay is not None:
                    about = self.member_table.build_updates((sender,))
                    passed_on = wire.Ack(
                        relay.number, self.member_table.own_claim, about
                    )
                    out.append(wire.Outgoing(relay.origin, passed_on))
            case wire.PingRequest():
                number = self.failure_detector.add_relay(sender, message.number, now)
                if self.knows(message.target):
                    out.append(self._build_ping(message.target, number))
        if needs_sync:
            out += self._build_sync(sender, now)
        out += self._build_gossip(first_round_only=True)
        self._refresh_view(now)
        return out

    def tick(self, now: float) -> list[wire.Outgoing]:
        """Return the pings and updates that are due."""
        self._detect_pause(now)
        self._expire(now)
        out = self._probe(now)
        out += self._ping_absent(now)
        out += self._build_gossip(first_round_only=False)
        self.failure_detector.expire_relays(now)
        self._refresh_view(now)
        return out

    def _detect_pause(self, now: float) -> None:
        last, self.last_call_at = self.last_call_at, now
        if last is None or now - last <= PAUSE_S:
            return
        self.failure_detector.stop()
        for record in self.member_table.members.values():
            if record.claim.condition == memberrecords.SUSPECT:
                record.since = now

    def _expire(self, now: float) -> None:
        for name, record in self.member_table.members.items():
            if (
                record.claim.condition == memberrecords.SUSPECT
                and now >= record.since + self.settings.suspicion_s
            ):
                self._set_claim(
                    name, record.claim._replace(condition=memberrecords.DEAD), now
                )
        self.gossip_queue.drop(self.member_table.forget_absent(now, FORGET_AFTER_S))

    def _probe(self, now: float) -> list[wire.Outgoing]:
        live = self.member_table.list_live()
        out: list[wire.Outgoing] = []
        target = self.failure_detector.target
        if target is not None and not self.failure_detector.helpers:
            if now >= self.failure_detector.sent_at + ACK_TIMEOUT_S:
                count = self.settings.indirect_probes
                for helper in self.failure_detector.choose_helpers(live, count):
                    updates = self._pick_updates(helper)
                    request = wire.PingRequest(
                        self.failure_detector.number,
                        target,
                        self.member_table.own_claim,
                        updates,
                    )
                    out.append(wire.Outgoing(helper, request))
        if now < self.next_probe_at:
            return out
        # Keeps the average interval when ticks are late, without a burst after a pause.
        self.next_probe_at = max(
            self.next_probe_at + self.settings.ping_interval_s,
            now + self.settings.ping_interval_s / 2,
        )
        if target is not None:
            self._suspect(target, now)
        for name in live:
            if self.member_table.members[name].suspected_by_own_probe:
                out.append(self._build_ping(name, 0))
        chosen = self.failure_detector.choose_target(live)
        if chosen is not None:
            out.append(
                self._build_ping(chosen, self.failure_detector.start(chosen, now))
            )
        return out

    def _suspect(self, target: str, now: float) -> None:
        self.failure_detector.stop()
        record = self.member_table.members.get(target)
        if record is not None and record.claim.condition == memberrecords.ALIVE:
            claim = record.claim._replace(condition=memberrecords.SUSPECT)
            self._set_claim(target, claim, now)
            record.suspected_by_own_probe = True

    def _ping_absent(self, now: float) -> list[wire.Outgoing]:
        chosen = self.rejoiner.choose_targets(self.member_table.list_absent(), now)
        return [self._build_ping(name, 0) for name in chosen]

    def _apply_sender_claim(self, sender: str, claim: wire.Claim, now: float) -> bool:
        """Apply a sender's own claim; return whether the sender needs all records."""
        record = self.member_table.members.get(sender)
        was_live = record is not None and record.is_live
        if not self._apply_claim(sender, claim, now):
            return False
        return not was_live or claim.state == memberrecords.JOINING

    def _apply_claim(self, name: str, claim: wire.Claim, now: float) -> bool:
        if name == self.settings.name:
            if memberrecords.needs_refutation(claim, self.member_table.own_claim):
                self._raise_incarnation(claim.incarnation, now)
            return False
        record = self.member_table.members.get(name)
        if record is None:
            if not self.knows(name):
                return False
        elif not memberrecords.supersedes(claim, record.claim):
            return False
        self._set_claim(name, claim, now)
        return True

    def _set_claim(self, name: str, claim: wire.Claim, now: float) -> None:
        record = self.member_table.members.get(name)
        # A suspicion is only piggybacked because it does not change the view by itself.
        is_urgent = claim.condition != memberrecords.SUSPECT
        if record is None:
            self.member_table.members[name] = memberrecords.MemberRecord(claim, now)
        else:
            record.claim = claim
            record.since = now
            record.suspected_by_own_probe = False
        self.last_change_at = now
        self.is_view_stale = True
        self.gossip_queue.add(name, len(self.member_table.members), is_urgent)

    def _raise_incarnation(self, above: int, now: float) -> None:
        self.member_table.own_claim = self.member_table.own_claim._replace(
            incarnation=above + 1
        )
        self.last_change_at = now
        self.is_view_stale = True
        self.gossip_queue.add(
            self.settings.name, len(self.member_table.members), is_urgent=True
        )
        self._refresh_view(now)

    def _build_ping(self, target: str, number: int) -> wire.Outgoing:
        digest = self.member_table.compute_digest()
        ping = wire.Ping(
            number, digest, self.member_table.own_claim, self._pick_updates(target)
        )
        return wire.Outgoing(target, ping)

    def _pick_updates(
        self, peer: str, claim: wire.Claim | None = None
    ) -> tuple[wire.Update, ...]:
        """Return updates to piggyback on a message to a peer.

        A peer that is recorded as suspect or dead, or whose own claim differs from the
        recorded one, must receive the recorded claim in order to refute it.
        """
        names = self.gossip_queue.take()
        claims_differ = claim is not None and self.member_table.claims_differ(
            peer, claim
        )
        if claims_differ or self.member_table.is_suspect_or_dead(peer):
            names = [peer, *(name for name in names if name != peer)]
        return self.member_table.build_updates(names)

    def _is_sync_due(self, digest: int, now: float) -> bool:
        return (
            now >= self.last_change_at + SYNC_QUIET_S
            and now >= self.last_sync_at + SYNC_INTERVAL_S
            and digest != self.member_table.compute_digest()
        )

    def _build_sync(self, peer: str, now: float) -> list[wire.Outgoing]:
        self.last_sync_at = now
        updates = self.member_table.build_updates(
            name for name in self.member_table.members if name != peer
        )
        return [
            wire.Outgoing(
                peer, wire.Gossip(self.member_table.own_claim, updates[start:end])
            )
            for start in range(0, len(updates), SYNC_CHUNK_UPDATES)
            for end in [start + SYNC_CHUNK_UPDATES]
        ]

    def _build_gossip(self, first_round_only: bool) -> list[wire.Outgoing]:
        names = self.gossip_queue.take_urgent(first_round_only)
        if not names:
            return []
        live = sorted(self.member_table.list_live())
        peers = self.rng.sample(live, min(gossipqueue.FANOUT, len(live)))
        updates = self.member_table.build_updates(names[:SYNC_CHUNK_UPDATES])
        message = wire.Gossip(self.member_table.own_claim, updates)
        return [wire.Outgoing(peer, message) for peer in peers]

    def _refresh_view(self, now: float) -> None:
        if not self.is_view_stale:
            return
        self.is_view_stale = False
        owners = self.member_table.list_owners()
        members = tuple(
            Member(
                name, self.member_table.find_zone(name), owners[name].capacity / 1_000
            )
            for name in sorted(owners)
        )
        if members != self.view.members:
            self.view = View(self.view.number + 1, members)
            self.view_changed_at = now
