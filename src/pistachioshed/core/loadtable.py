"""Outstanding requests of the fleet by service, from own counts and peers' reports."""

import collections
import math
import typing
import zlib
from collections import abc

from pistachioshed.core import peertable, routing, selection

# Peers report each 0.25 s, so that three reports in a row may be lost. Answers take
# about 0.04 s, so that an older report says nothing of the present load.
REPORT_AGE_MAX_S: typing.Final = 1.0
# A peer that last reported a load longer ago is not loaded any more.
LOADED_MEMORY_S: typing.Final = 3.0
# Reports are sent above this part of the own share of slots.
LOADED_SHARE: typing.Final = 0.5
# A peer that lives and reports no load has between nothing and half of its share.
IDLE_SHARE: typing.Final = 0.25
# A single report counts as at most this many times the mean share of slots. Forwarders
# of one zone differ by chance by less.
REPORT_SHARE_MAX: typing.Final = 8.0
# Own requests are reduced by this many standard deviations of a random number of them
# as far as the loads of peers are not known.
CHANCE_DEVIATIONS: typing.Final = 1.0
# The sums over peers are renewed at this interval, less than that of the reports.
SUMMARY_INTERVAL_S: typing.Final = 0.1
# Openings count for about the last second.
DEMAND_DECAY_S: typing.Final = 1.0
# Openings by which the share of a forwarder with few of them is drawn to the mean.
DEMAND_PRIOR: typing.Final = 4.0
# A forwarder keeps at least this part of the mean share, whatever peers report.
SHARE_MIN: typing.Final = 0.5
# A peer is a member for this long after its last message, at least; those of large
# zones send their messages in rotation and are heard less often.
MEMBER_SILENCE_S: typing.Final = 2.0
# Times of sending wrap around at 65,536 ms.
SENT_RANGE_MS: typing.Final = 2**16
COUNT_MAX: typing.Final = 2**16 - 1
# A clock that is slower than this process's by up to 0.4% is followed.
DELAY_DRIFT_MS: typing.Final = 1
# Further services are not tracked: their loads would use up the byte budget.
SERVICES_MAX: typing.Final = 32


class Load(typing.NamedTuple):
    """Requests of one forwarder at one service: outstanding, and recent openings."""

    outstanding: float
    demand: float


class LoadReport(typing.NamedTuple):
    """A heartbeat that contains the load of its sender by service.

    `sent_ms` is the time of sending modulo `SENT_RANGE_MS`, `services_digest` a
    checksum of the names of all services, to which `loads` corresponds in their order.
    `is_loaded` is set if one of them is loaded at the sender.
    """

    sequence: int
    unheard_zones: tuple[str, ...]
    sent_ms: int
    services_digest: int
    is_loaded: bool
    loads: tuple[Load, ...]


class ServiceLoad(typing.NamedTuple):
    """The load of a service.

    `load` is the fleet's outstanding requests per usable slot, `own_load` those of this
    forwarder per slot of its share, which is in proportion to its openings. `age_s` is
    the age of the oldest report in it, 0 without reports.
    """

    load: float
    own_load: float
    share: float
    slots: int
    age_s: float


class PeerLoad(typing.NamedTuple):
    """The last report of a peer, and when it was sent and received.

    Both times are those of the clock of this process.
    """

    loads: tuple[Load, ...]
    sent_at: float
    received_at: float


class Summary(typing.NamedTuple):
    """Sums over all peers by service, the number of members, and the oldest age.

    `missing_share` is the part of the peers whose load is not known.
    """

    loads: tuple[Load, ...]
    members: int
    age_s: float
    missing_share: float


class ZoneSums:
    """Sums over the peers of one zone whose load is known, and how many are not."""

    __slots__ = ("demand", "known", "missing", "outstanding")

    def __init__(self, services: int) -> None:
        self.known = 0
        self.missing = 0
        self.outstanding = [0.0] * services
        self.demand = [0.0] * services


class LoadTable:
    """Track the load of each service of the configuration at this forwarder and peers.

    Nothing is tracked unless `routing.shares_upstreams` applies.

    Parameters
    ----------
    peers : PeerTable
        The other balancers.

    Attributes
    ----------
    outstanding : dict
        Own requests without a response by service; counted by the flow tracker.
    slots : dict
        Usable slots by service, as of a recent choice of an upstream.
    updated_at : float
        Time of the last opening or tick.
    """

    def __init__(self, peers: peertable.PeerTable) -> None:
        self.peers = peers
        self.services: tuple[str, ...] = ()
        self.services_digest = 0
        self.outstanding: collections.Counter[str] = collections.Counter()
        self.slots: dict[str, int] = {}
        self.slots_set_at: dict[str, float] = {}
        self.updated_at = 0.0
        self.demand: dict[str, tuple[float, float]] = {}
        self.reports: dict[str, PeerLoad] = {}
        self.delays_ms: dict[str, int] = {}
        self.peer_loaded_at = -math.inf
        self.summary = Summary((), 1, 0.0, 0.0)
        self.summarized_at = -math.inf

    def configure(
        self, configuration: routing.Configuration, ranks_requests: bool = False
    ) -> None:
        """Track the services of a configuration; keep reports if they are the same."""
        is_enabled = routing.shares_upstreams(configuration, ranks_requests)
        names = sorted(configuration.services)[:SERVICES_MAX]
        services = tuple(names) if is_enabled else ()
        if services != self.services:
            self.services = services
            self.services_digest = zlib.crc32(",".join(services).encode()) & COUNT_MAX
            self.reports.clear()
            self.summarized_at = -math.inf

    def copy_state(self) -> "LoadTable":
        """Return a copy that can be changed without an effect on this table."""
        twin = LoadTable(self.peers)
        twin.services = self.services
        twin.services_digest = self.services_digest
        twin.outstanding = self.outstanding
        twin.updated_at = self.updated_at
        twin.peer_loaded_at = self.peer_loaded_at
        twin.summary = self.summary
        twin.summarized_at = self.summarized_at
        twin.slots = dict(self.slots)
        twin.slots_set_at = dict(self.slots_set_at)
        twin.demand = dict(self.demand)
        twin.reports = dict(self.reports)
        twin.delays_ms = dict(self.delays_ms)
        return twin

    def count_opening(self, service: str, now: float) -> None:
        """Count an opening, also one that is refused."""
        self.demand[service] = (self._get_demand(service, now) + 1.0, now)
        self.updated_at = now

    def update_slots(
        self, service: str, candidates: abc.Iterable[selection.Candidate], now: float
    ) -> None:
        """Renew the number of usable slots if it is due.

        The candidates of an opening leave out what is draining, evacuated, or cold
        without a permit.
        """
        if now - self.slots_set_at.get(service, -math.inf) >= SUMMARY_INTERVAL_S:
            self.slots_set_at[service] = now
            self.slots[service] = sum(
                candidate.upstream.slots
                for candidate in candidates
                if candidate.tier == selection.PREFERRED_TIER
            )

    def is_loaded_here(self) -> bool:
        """Return whether own requests exceed half of the own share of slots.

        The standard deviation of a random number of requests is added, because a share
        of few slots is exceeded by chance.
        """
        for service in self.services:
            usual = LOADED_SHARE * self.slots.get(service, 0) / self.summary.members
            if usual and self.outstanding[service] > usual + math.sqrt(usual):
                return True
        return False

    def should_report(self, now: float) -> bool:
        """Return whether a service is loaded, here or at a peer."""
        self.updated_at = now
        return bool(self.services) and (
            now - self.peer_loaded_at <= REPORT_AGE_MAX_S or self.is_loaded_here()
        )

    def build_report(
        self, sequence: int, unheard_zones: tuple[str, ...], now: float
    ) -> LoadReport:
        """Return the report for peers."""
        loads = tuple(
            Load(
                min(self.outstanding[service], COUNT_MAX),
                min(round(self._get_demand(service, now)), COUNT_MAX),
            )
            for service in self.services
        )
        return LoadReport(
            sequence,
            unheard_zones,
            int(now * 1000) % SENT_RANGE_MS,
            self.services_digest,
            self.is_loaded_here(),
            loads,
        )

    def receive(self, address: tuple[str, int], report: LoadReport, now: float) -> bool:
        """Record the report of a known peer, also as a heartbeat; return if accepted.

        Loads of other services, or from more than a second ago, are not recorded.
        """
        heartbeat = peertable.Heartbeat(report.sequence, report.unheard_zones)
        if not self.peers.record_heartbeat(address, heartbeat, now):
            return False
        name = self.peers.names_by_address[address]
        delayed_s = self._measure_delay(name, report.sent_ms, now)
        is_known = report.services_digest == self.services_digest
        if not self.services or not is_known:
            return False
        if len(report.loads) != len(self.services):
            return False
        # A late report still shows that the peer is not idle.
        self.reports[name] = PeerLoad(report.loads, now - delayed_s, now)
        is_recent = delayed_s <= REPORT_AGE_MAX_S
        if report.is_loaded and is_recent:
            self.peer_loaded_at = now
        return is_recent

    def measure(self, service: str, now: float) -> ServiceLoad:
        """Return the load of a service; without usable slots it counts as idle."""
        slots = self.slots.get(service, 0)
        if not slots or service not in self.services:
            return ServiceLoad(0.0, 0.0, 1.0, slots, 0.0)
        if now - self.summarized_at >= SUMMARY_INTERVAL_S:
            self.summarize(now)
        summary = self.summary
        peers_load = summary.loads[self.services.index(service)]
        own = self.outstanding[service]
        demand = self._get_demand(service, now) + DEMAND_PRIOR
        share = demand / (
            demand + peers_load.demand + DEMAND_PRIOR * (summary.members - 1)
        )
        share = max(share, SHARE_MIN / summary.members)
        # Without knowledge of peers, own requests above the limit are due to chance.
        chance = CHANCE_DEVIATIONS * math.sqrt(own) * summary.missing_share
        return ServiceLoad(
            (own + peers_load.outstanding) / slots,
            max(0.0, own - chance) / (share * slots),
            share,
            slots,
            summary.age_s,
        )

    def is_loaded(self, service: str) -> bool:
        """Return whether the fleet uses more than half of the slots of a service.

        It answers for the time of the last opening or tick.
        """
        return self.measure(service, self.updated_at).load > LOADED_SHARE

    def summarize(self, now: float) -> None:
        """Renew the sums over peers.

        A peer without a recent report counts with the mean of those of its zone that
        report, or of all; with the own load if no peer reports.
        """
        self.summarized_at = now
        zones, age_s = self._collect_zones(now)
        services = range(len(self.services))
        known = sum(sums.known for sums in zones.values())
        missing = sum(sums.missing for sums in zones.values())
        loads = []
        for index in services:
            total = Load(
                sum(sums.outstanding[index] for sums in zones.values()),
                sum(sums.demand[index] for sums in zones.values()),
            )
            own = Load(
                self.outstanding[self.services[index]],
                self._get_demand(self.services[index], now),
            )
            mean = (
                Load(total.outstanding / known, total.demand / known) if known else own
            )
            outstanding, demand = total
            for sums in zones.values():
                if not sums.missing:
                    continue
                if sums.known:
                    outstanding += sums.missing * sums.outstanding[index] / sums.known
                    demand += sums.missing * sums.demand[index] / sums.known
                else:
                    outstanding += sums.missing * mean.outstanding
                    demand += sums.missing * mean.demand
            loads.append(Load(outstanding, demand))
        missing_share = missing / max(1, known + missing)
        self.summary = Summary(tuple(loads), 1 + known + missing, age_s, missing_share)

    def _collect_zones(self, now: float) -> tuple[dict[str, ZoneSums], float]:
        sizes = collections.Counter(
            peer.report.zone for peer in self.peers.peers.values()
        )
        # Each peer of another zone sends to two of this one in turn per interval.
        silences_s = {
            zone: max(MEMBER_SILENCE_S, size * peertable.HEARTBEAT_INTERVAL_S)
            for zone, size in sizes.items()
        }
        members = 1 + len(self.peers.peers)
        shares = [self.slots.get(service, 0) / members for service in self.services]
        limits = [REPORT_SHARE_MAX * max(1.0, share) for share in shares]
        zones: dict[str, ZoneSums] = {}
        oldest_at = now
        for name, peer in self.peers.peers.items():
            zone = peer.report.zone
            if now - peer.heard_at > silences_s[zone]:
                continue
            sums = zones.get(zone)
            if sums is None:
                sums = zones[zone] = ZoneSums(len(self.services))
            report = self.reports.get(name)
            if report is not None and now - report.received_at > LOADED_MEMORY_S:
                del self.reports[name]
                report = None
            if report is not None and now - report.sent_at <= REPORT_AGE_MAX_S:
                sums.known += 1
                oldest_at = min(oldest_at, report.sent_at)
                for index, load in enumerate(report.loads):
                    sums.outstanding[index] += min(load.outstanding, limits[index])
                    sums.demand[index] += load.demand
            elif report is None and now - peer.heard_at <= REPORT_AGE_MAX_S:
                sums.known += 1
                for index, share in enumerate(shares):
                    sums.outstanding[index] += IDLE_SHARE * share
            else:
                sums.missing += 1
        for name in list(self.reports):
            if name not in self.peers.peers:
                del self.reports[name]
                self.delays_ms.pop(name, None)
        return zones, now - oldest_at

    def _measure_delay(self, name: str, sent_ms: int, now: float) -> float:
        """Return by how many seconds a report is later than the fastest of its peer.

        A report that waited in the socket while this process was paused is old although
        it is only received now.
        """
        delay_ms = (int(now * 1000) - sent_ms) % SENT_RANGE_MS
        lowest_ms = self.delays_ms.get(name, delay_ms)
        later_ms = (delay_ms - lowest_ms + SENT_RANGE_MS // 2) % SENT_RANGE_MS
        later_ms -= SENT_RANGE_MS // 2
        if later_ms <= 0:
            self.delays_ms[name] = delay_ms
            return 0.0
        self.delays_ms[name] = (lowest_ms + DELAY_DRIFT_MS) % SENT_RANGE_MS
        return later_ms / 1000

    def _get_demand(self, service: str, now: float) -> float:
        value, at = self.demand.get(service, (0.0, now))
        return value * math.exp(-max(0.0, now - at) / DEMAND_DECAY_S)
