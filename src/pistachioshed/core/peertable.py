"""Peers of a forwarder: which are alive, and which upstreams they suspect."""

import math
import typing
from collections import abc

from pistachioshed.core import membermemory

# A forwarder sends at least one message per interval. The interval is a quarter of the
# time in which the fabric detects a dead forwarder.
HEARTBEAT_INTERVAL_S: typing.Final = 0.25
SILENT_AFTER_S: typing.Final = 3 * HEARTBEAT_INTERVAL_S
FORGET_AFTER_S: typing.Final = 30.0  # Longer than any expected partition.
PEERS_MAX: typing.Final = 512
# Up to `FULL_MESH_MAX` peers, every report is sent to all of them. With more, reports
# rotate among the peers of each other zone, and among those of the own zone if it is
# large. 28 recipients, and two in each of four other zones, stay within the byte budget
# of `reportpacer`.
FULL_MESH_MAX: typing.Final = 12
SAME_ZONE_RECIPIENTS_MAX: typing.Final = 28
# With two, a forwarder receives two reports per interval on average from another zone
# of equal size.
OTHER_ZONE_RECIPIENTS_MAX: typing.Final = 2
# The forwarders of a zone that watch the store. One is enough if reports from other
# zones show when it is behind; without other zones there is a second one.
WATCHERS_PER_ZONE: typing.Final = 1
SINGLE_ZONE_WATCHERS: typing.Final = 2


class Report(typing.NamedTuple):
    """The state that a forwarder reports to its peers.

    `start_ms` orders the incarnations of one forwarder and `sequence` its reports.
    `watches_store` is set if it watches the store itself, `store_unreachable` if the
    store has recently failed to answer it; `capacity` is that of its link in Mbit/s.
    `upstreams_changed_revision` is the revision of the last upstream change that it
    has received. `suspected` holds the tokens of the upstreams that do not answer it,
    `unheard_zones` the other zones from which it has recently received no message.
    """

    name: str
    zone: str
    address: tuple[str, int]
    start_ms: int
    sequence: int
    watches_store: bool
    store_unreachable: bool
    leaving: bool
    capacity: float
    upstreams_changed_revision: int
    configuration_version: int
    suspected: frozenset[int]
    peers: tuple[tuple[str, int], ...]
    unheard_zones: tuple[str, ...]


class Heartbeat(typing.NamedTuple):
    """A message that shows that the forwarder at its source address is alive.

    `sequence` continues that of the sender's reports; `unheard_zones` replaces that of
    its last report.
    """

    sequence: int
    unheard_zones: tuple[str, ...]


class Suspicion(typing.NamedTuple):
    """How many peers of the zone suspect an upstream, and since when any does."""

    peers: int
    since: float


class Peer:
    """The newest report of a peer, and the time of its last message."""

    __slots__ = ("heard_at", "report")

    def __init__(self, report: Report, heard_at: float) -> None:
        self.report = report
        self.heard_at = heard_at


class PeerTable:
    """Track peers, the upstreams that they suspect, and the zones that respond.

    `addresses` holds the addresses to send reports to, including those of peers that
    have not reported yet. `seeds` are never removed, so that both sides of a long
    partition can reconnect. `members` remembers silent forwarders for longer.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        seeds: abc.Iterable[tuple[str, int]],
        capacity: float = 1.0,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.zone = zone
        self.seeds = set(seeds)
        self.addresses = set(self.seeds)
        self.peers: dict[str, Peer] = {}
        self.names_by_address: dict[tuple[str, int], str] = {}
        self.suspicions: dict[int, Suspicion] = {}
        self.members = membermemory.MemberMemory()

    def add_seeds(self, seeds: abc.Iterable[tuple[str, int]]) -> None:
        """Add addresses to send reports to until this process ends."""
        self.seeds.update(seeds)
        self.addresses.update(self.seeds)

    def record_report(self, report: Report, now: float) -> bool:
        """Record a report; return False if it is outdated or not accepted."""
        if report.name == self.name:
            return False
        self.members.record((report.address, *report.peers), now)
        peer = self.peers.get(report.name)
        if peer is not None:
            previous = peer.report
            if (previous.start_ms, previous.sequence) >= (
                report.start_ms,
                report.sequence,
            ):
                return False
            # Adding before removing preserves the start of a repeated suspicion.
            self._add_suspicions(report, 1, now)
            self._add_suspicions(previous, -1, now)
            self.names_by_address.pop(previous.address, None)
            if previous.address != report.address:
                self._discard_address(previous.address)
            peer.report = report
            peer.heard_at = now
        else:
            if len(self.peers) >= PEERS_MAX:
                return False
            self.peers[report.name] = Peer(report, now)
            self._add_suspicions(report, 1, now)
        self.names_by_address[report.address] = report.name
        for address in (report.address, *report.peers):
            if len(self.addresses) < PEERS_MAX:
                self.addresses.add(address)
        return True

    def record_heartbeat(
        self, address: tuple[str, int], heartbeat: Heartbeat, now: float
    ) -> bool:
        """Record a heartbeat of a known peer; return False if it is outdated."""
        self.members.record((address,), now)
        peer = self.peers.get(self.names_by_address.get(address, ""))
        if peer is None or heartbeat.sequence <= peer.report.sequence:
            return False
        peer.report = peer.report._replace(
            sequence=heartbeat.sequence, unheard_zones=heartbeat.unheard_zones
        )
        peer.heard_at = now
        return True

    def expire(self, now: float) -> list[str]:
        """Remove suspicions of silent peers; return the names of forgotten peers."""
        self.members.expire(now)
        forgotten = []
        for name, peer in list(self.peers.items()):
            silent_s = now - peer.heard_at
            if silent_s > SILENT_AFTER_S and peer.report.suspected:
                self._add_suspicions(peer.report, -1, now)
                peer.report = peer.report._replace(suspected=frozenset())
            if silent_s > FORGET_AFTER_S:
                del self.peers[name]
                self.names_by_address.pop(peer.report.address, None)
                forgotten.append(name)
                self._discard_address(peer.report.address)
        return forgotten

    def find_suspected_since(self, token: int) -> float | None:
        """Return since when any live peer of the zone suspects an upstream, or None."""
        suspicion = self.suspicions.get(token)
        return None if suspicion is None else suspicion.since

    def list_suspected(self) -> frozenset[int]:
        """Return the tokens of the upstreams that live peers of the zone suspect."""
        return frozenset(self.suspicions)

    def list_live(self, now: float) -> list[Report]:
        """Return the reports of peers that have recently sent a message."""
        same_zone_peers = sum(
            peer.report.zone == self.zone for peer in self.peers.values()
        )
        # In a large zone a peer needs this many intervals to report to all others.
        intervals = max(1, math.ceil(same_zone_peers / SAME_ZONE_RECIPIENTS_MAX))
        silent_after_s = SILENT_AFTER_S + (intervals - 1) * HEARTBEAT_INTERVAL_S
        return [
            peer.report
            for peer in self.peers.values()
            if now - peer.heard_at <= silent_after_s
        ]

    def list_recipients(
        self, sequence: int, whole_zone: bool = False
    ) -> list[tuple[str, int]]:
        """Return the recipients of a report; in a large fleet they rotate.

        Each forwarder starts its rotation at its rank in its zone, so that the reports
        of one interval are spread over different peers.
        """
        if len(self.addresses) <= FULL_MESH_MAX:
            return list(self.addresses)
        zones: dict[str, list[tuple[str, int]]] = {self.zone: []}
        reported = set()
        rank = 0
        for peer in self.peers.values():
            zones.setdefault(peer.report.zone, []).append(peer.report.address)
            reported.add(peer.report.address)
            rank += peer.report.zone == self.zone and peer.report.name < self.name
        chosen = [address for address in self.addresses if address not in reported]
        for zone, addresses in zones.items():
            limit = (
                SAME_ZONE_RECIPIENTS_MAX
                if zone == self.zone
                else OTHER_ZONE_RECIPIENTS_MAX
            )
            if whole_zone and zone == self.zone:
                limit = len(addresses)
            if not addresses:
                continue
            addresses.sort()
            start = (sequence * limit + rank) % len(addresses)
            chosen += (addresses[start:] + addresses[:start])[:limit]
        return chosen

    def list_watchers(self, store_unreachable: bool, now: float) -> list[str]:
        """Return the forwarders of the zone that should watch the store, best first.

        The store may refuse single machines, so forwarders that it does not answer are
        ranked last; `store_unreachable` is set if this forwarder is one of them.
        """
        live = [report for report in self.list_live(now) if not report.leaving]
        ranked = [(store_unreachable, -self.capacity, self.name)]
        ranked += [
            (report.store_unreachable, -report.capacity, report.name)
            for report in live
            if report.zone == self.zone
        ]
        is_single_zone = all(report.zone == self.zone for report in live)
        limit = SINGLE_ZONE_WATCHERS if is_single_zone else WATCHERS_PER_ZONE
        return [name for _, _, name in sorted(ranked)[:limit]]

    def list_newer(
        self, changed_revision: int, configuration_version: int, now: float
    ) -> list[Report]:
        """Return the reports of live peers whose state is newer than the given one."""
        return [
            report
            for report in self.list_live(now)
            if report.upstreams_changed_revision > changed_revision
            or report.configuration_version > configuration_version
        ]

    def find_silent_zones(self, now: float) -> set[str]:
        """Return the other zones of which this zone has recently received no message.

        They may be partitioned from this zone, or their forwarders may have died while
        their upstreams still run. In a large fleet a single forwarder receives few
        messages from another zone, so half of its live peers in the zone must agree.
        """
        unheard = self.find_unheard_zones(now)
        if not unheard:
            return unheard
        peers = [report for report in self.list_live(now) if report.zone == self.zone]
        return {
            zone
            for zone in unheard
            if 2 * sum(zone in report.unheard_zones for report in peers) >= len(peers)
        }

    def find_unheard_zones(self, now: float) -> set[str]:
        """Return the other zones from which this forwarder has heard no peer lately."""
        newest: dict[str, float] = {}
        for peer in self.peers.values():
            if not peer.report.leaving:
                zone = peer.report.zone
                newest[zone] = max(newest.get(zone, -math.inf), peer.heard_at)
        return {
            zone
            for zone, heard_at in newest.items()
            if zone != self.zone and now - heard_at > SILENT_AFTER_S
        }

    def _discard_address(self, address: tuple[str, int]) -> None:
        if address not in self.seeds:
            self.addresses.discard(address)

    def _add_suspicions(self, report: Report, sign: int, now: float) -> None:
        """Add the suspicions of a peer of the zone, or remove them if `sign` is -1."""
        if report.zone != self.zone:
            return
        for token in report.suspected:
            suspicion = self.suspicions.get(token, Suspicion(0, now))
            if suspicion.peers + sign > 0:
                self.suspicions[token] = suspicion._replace(
                    peers=suspicion.peers + sign
                )
            else:
                del self.suspicions[token]
