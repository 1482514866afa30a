"""What a balancer knows of its peers: who lives, and which upstreams they suspect."""

import math
import typing
from collections import abc

# A balancer sends something at least this often, a quarter of the time in which the
# fabric notices a dead one.
HEARTBEAT_INTERVAL_S: typing.Final = 0.25
SILENT_AFTER_S: typing.Final = 3 * HEARTBEAT_INTERVAL_S
FORGET_AFTER_S: typing.Final = 30.0  # Longer than any partition on the users' pages.
PEERS_MAX: typing.Final = 512
# Up to this many peers each report goes to all; with more, those of each other zone
# take turns, and those of a large zone. 32 keep the byte budget of `reportpacer`.
FULL_MESH_MAX: typing.Final = 12
SAME_ZONE_RECIPIENTS_MAX: typing.Final = 32
# With two, zones of equal size hear of each other twice per interval on average.
OTHER_ZONE_RECIPIENTS_MAX: typing.Final = 2
# Balancers of a zone that follow the store. One is enough where those of other zones
# show that it is behind; a lone zone has a second one.
WATCHERS_PER_ZONE: typing.Final = 1
SINGLE_ZONE_WATCHERS: typing.Final = 2


class Report(typing.NamedTuple):
    """What a balancer tells its peers of itself.

    `start_ms` orders the incarnations of one balancer and `sequence` its reports.
    `watches` tells whether it follows the store itself, `lost` whether the store has
    lately not answered it; `capacity` is that of its link
    in Mbit/s. `upstreams_changed` is the revision of the last change that it knows.
    `suspected` holds the tokens of the upstreams that are silent to it.
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


class Heartbeat(typing.NamedTuple):
    """Shows that a balancer lives, which is known by its address.

    `sequence` goes on with that of the sender's reports.
    """

    sequence: int


class Suspicion(typing.NamedTuple):
    """How many peers of the zone suspect an upstream, and since when one did."""

    peers: int
    since: float


class Peer:
    """The newest report of one peer, and when it arrived."""

    __slots__ = ("heard_at", "report")

    def __init__(self, report: Report, heard_at: float) -> None:
        self.report = report
        self.heard_at = heard_at


class PeerTable:
    """Peers by name, the upstreams that they suspect, and the zones that answer.

    `addresses` holds where reports are sent, also before the first one is received.
    `seeds` are never forgotten, so that the sides of a long partition find each other.
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

    def add_seeds(self, seeds: abc.Iterable[tuple[str, int]]) -> None:
        """Add addresses to send reports to for as long as this process runs."""
        self.seeds.update(seeds)
        self.addresses.update(self.seeds)

    def record(self, report: Report, now: float) -> bool:
        """Take a report; return False if a newer one of that peer is known."""
        if report.name == self.name:
            return False
        peer = self.peers.get(report.name)
        if peer is not None:
            previous = peer.report
            if (previous.start_ms, previous.sequence) >= (
                report.start_ms,
                report.sequence,
            ):
                return False
            # Adding first keeps the start of a suspicion that the peer repeats.
            self._add_suspicions(report, 1, now)
            self._add_suspicions(previous, -1, now)
            self.names_by_address.pop(previous.address, None)
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
        peer = self.peers.get(self.names_by_address.get(address, ""))
        if peer is None or heartbeat.sequence <= peer.report.sequence:
            return False
        peer.report = peer.report._replace(sequence=heartbeat.sequence)
        peer.heard_at = now
        return True

    def expire(self, now: float) -> list[str]:
        """Drop the suspicions of peers that fell silent; return the peers forgotten."""
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
                if peer.report.address not in self.seeds:
                    self.addresses.discard(peer.report.address)
        return forgotten

    def find_suspected_since(self, token: int) -> float | None:
        """Return since when a live peer of the zone has suspected an upstream."""
        suspicion = self.suspicions.get(token)
        return None if suspicion is None else suspicion.since

    def list_suspected(self) -> frozenset[int]:
        """Return the tokens of the upstreams that live peers of the zone suspect."""
        return frozenset(self.suspicions)

    def list_live(self, now: float) -> list[Report]:
        """Return the reports of the peers heard of lately."""
        same_zone_peers = sum(
            peer.report.zone == self.zone for peer in self.peers.values()
        )
        # In a large zone a peer takes that many intervals to report to all.
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
        """Return whom to send a report to; large fleets take turns.

        Balancers start their turns at their own rank in their zone, so that in no
        interval many of them report to the same peer.
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
        """Return the balancers of the zone that should follow the store, best first.

        The store may turn single machines away, so that those that it does not answer
        come last; `lost` tells whether this balancer is one.
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
        """Return the reports of live peers that show newer state than this."""
        return [
            report
            for report in self.list_live(now)
            if report.upstreams_changed_revision > changed_revision
            or report.configuration_version > configuration_version
        ]

    def find_silent_zones(self, now: float) -> set[str]:
        """Return the other zones of which no peer has been heard of lately.

        They may be cut off, or their balancers may have died while their upstreams
        live on.
        """
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

    def _add_suspicions(self, report: Report, sign: int, now: float) -> None:
        """Add what a report of a peer of the zone says, or take it out again."""
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
