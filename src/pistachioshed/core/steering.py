"""Forwarding without shared flow state: packets name their upstream by a token.

An opening is placed and marked with the token of its upstream. Caller and upstream
repeat the token, so that any balancer forwards any later packet by it. The flows kept
here serve measurement only; losing them loses no flow.
"""

import random
import typing
from collections import abc

from pistachioshed.core import directory, neighbours, outlook, routing, selection

# Round trip between balancer, caller and upstream is 2 to 8 ms on the users' sheets;
# callers repeat an opening after 200 ms.
OPENING_EXPECTED_S: typing.Final = 0.06
# Callers repeat unacknowledged data after 200 ms; less is a duplicate in the network.
REPEAT_MIN_S: typing.Final = 0.15
# A peer's suspicion says nothing of an upstream heard of more recently than that.
PEER_SUSPICION_AGE_S: typing.Final = 0.1
# A longer pause of this process makes every flow look silent.
PAUSE_S: typing.Final = 0.1
PROBE_INTERVAL_S: typing.Final = 0.5  # The interval at which the users' fabric probes.
LATENCY_GAIN: typing.Final = 0.05
SWEEP_INTERVAL_S: typing.Final = 0.5
FLOWS_MAX: typing.Final = 100_000  # About 30 MB; a machine of the users has 114 MB.
SEQUENCE_RANGE: typing.Final = 2**32
HALF_SEQUENCE_RANGE: typing.Final = 2**31

Record = abc.Callable[..., None]
"""Takes the name of a decision or belief and its inputs as keywords."""


class Segment(typing.NamedTuple):
    """The header fields of a caller's packet that decide where it goes.

    `copy` counts how often the caller has repeated an opening; `acknowledged` is the
    next byte it expects, `token` names the flow's upstream.
    """

    caller: tuple[int, int]
    target: routing.Target
    sequence: int
    acknowledged: int
    copy: int
    token: int
    length: int
    opening: bool
    closing: bool
    reset: bool


class Forward(typing.NamedTuple):
    """Send the packet to an upstream; mark it with the upstream's token if `mark`."""

    upstream: directory.Upstream
    mark: bool


class Refuse(typing.NamedTuple):
    """Reset the flow: its opening was not handed to any upstream that took it."""

    reason: str


class Drop(typing.NamedTuple):
    """Do nothing with the packet."""

    reason: str


Action = Forward | Refuse | Drop


class Flow:
    """A flow that this balancer placed.

    `placed_at` is when its last opening was sent on, `asked_at` when its request was.
    `counted` tells whether it is among its upstream's outstanding requests.
    """

    __slots__ = (
        "acknowledged",
        "asked_at",
        "counted",
        "opened",
        "overdue",
        "placed_at",
        "route",
        "seen_at",
        "sent_through",
        "sequence",
        "tried",
        "upstream",
    )

    def __init__(
        self,
        route: routing.Route,
        upstream: directory.Upstream,
        sequence: int,
        now: float,
    ) -> None:
        self.route = route
        self.upstream = upstream
        self.sequence = sequence
        self.placed_at = now
        self.seen_at = now
        self.asked_at = now
        self.counted = False
        self.opened = False
        self.overdue = False
        self.acknowledged = 0
        self.sent_through = sequence
        self.tried: list[str] = []


class Steering:
    """Decisions about packets, from what is believed and what passes.

    Parameters
    ----------
    zone : str
        The availability zone of this balancer.
    peers : Neighbours
        Loads and suspicions of the other balancers.
    record : callable
        Takes decisions and changes of belief for the log.
    seed : int
        Makes the random part of the choices repeatable.
    """

    def __init__(
        self, zone: str, peers: neighbours.Neighbours, record: Record, seed: int
    ) -> None:
        self.zone = zone
        self.peers = peers
        self.record = record
        self.draw = random.Random(seed)
        self.directory = directory.Directory()
        self.configuration = routing.EMPTY_CONFIGURATION
        self.configured_at = 0.0
        self.directory_at = 0.0
        self.flows: dict[tuple[int, int, int, int], Flow] = {}
        self.pending: dict[tuple[int, int, int, int], Flow] = {}
        self.outlooks: dict[str, outlook.Outlook] = {}
        self.latency_s: dict[str, float] = {}
        self.ticked_at = 0.0
        self.swept_at = 0.0
        self.judge_from = 0.0
        self.silent_zones: set[str] = set()

    def handle(self, segment: Segment, now: float) -> Action:
        """Decide what becomes of a caller's packet."""
        if segment.opening:
            return self._open(segment, now)
        return self._carry(segment, now)

    def configure(self, configuration: routing.Configuration, now: float) -> bool:
        """Put a configuration in force unless its version is not higher."""
        if configuration.version <= self.configuration.version:
            return False
        previous = self.configuration.version
        self.configuration = configuration
        self.configured_at = now
        self.record(
            "configuration in force",
            version=configuration.version,
            previous=previous,
            routes=len(configuration.routes),
        )
        return True

    def update_directory(
        self,
        changes: abc.Iterable[directory.Change],
        revision: int,
        snapshot: bool,
        now: float,
    ) -> None:
        """Take changes of the registered upstreams."""
        self.directory_at = now
        for update in self.directory.apply(changes, revision, snapshot, now):
            self._record_update(update)

    def hear_peer(self, report: neighbours.Report, now: float) -> bool:
        """Take a peer's report; return False if it is an old one."""
        if not self.peers.record(report, now):
            return False
        if report.zone == self.zone:
            for entry in report.loads:
                upstream = self.directory.by_token.get(entry.token)
                if entry.suspected and upstream is not None:
                    since = now - PEER_SUSPICION_AGE_S
                    self._note_silence(upstream, since, report.name, now)
        return True

    def list_loads(self) -> tuple[neighbours.UpstreamLoad, ...]:
        """Return this balancer's own outstanding requests and suspicions."""
        loads = []
        for name, evidence in self.outlooks.items():
            upstream = self.directory.upstreams.get(name)
            suspected = evidence.suspected_at is not None and evidence.own
            if upstream is not None and (evidence.outstanding or suspected):
                loads.append(
                    neighbours.UpstreamLoad(
                        upstream.token, evidence.outstanding, suspected
                    )
                )
        return tuple(loads)

    def tick(self, now: float) -> list[directory.Upstream]:
        """Judge silence and forget old flows; return the upstreams to probe."""
        if now - self.ticked_at > PAUSE_S:
            self.judge_from = now + PAUSE_S
        self.ticked_at = now
        for name in self.peers.expire(now):
            self.record("peer forgotten", peer=name)
        silent = self.peers.find_silent_zones(now)
        if silent != self.silent_zones:
            self.silent_zones = silent
            self.record("silent zones", zones=sorted(silent))
        self._judge_openings(now)
        for update in self.directory.expire(now):
            self._record_update(update)
        if now - self.swept_at >= SWEEP_INTERVAL_S:
            self.swept_at = now
            self._sweep(now)
        return self._list_probes(now)

    def record_probe(
        self, upstream: directory.Upstream, passed: bool, outcome: str, now: float
    ) -> None:
        """Take the result of a health check of a suspected upstream."""
        evidence = self._find_outlook(upstream)
        since = evidence.suspected_at
        if evidence.record_probe(passed, now):
            self.record(
                "upstream trusted",
                upstream=upstream.name,
                evidence="probe",
                outcome=outcome,
                suspected_s=round(now - (since or now), 3),
            )

    def find_unserved(self) -> list[str]:
        """Return the routed services of which every upstream is silent."""
        unserved = []
        for service in self.configuration.services:
            upstreams = self.directory.list_service(service)
            if upstreams and all(
                self._find_outlook(upstream).suspected_at is not None
                for upstream in upstreams
            ):
                unserved.append(service)
        return unserved

    def _open(self, segment: Segment, now: float) -> Action:
        route = self.configuration.routes.get(segment.target)
        if route is None:
            reason = "no route" if self.configuration.version else "no configuration"
            self._record_refusal(segment, reason)
            return Refuse(reason)
        key = (*segment.caller, *segment.target)
        flow = self.flows.get(key)
        if flow is not None and flow.sequence == segment.sequence:
            return self._repeat_opening(key, flow, segment, now)
        if flow is not None:
            self._forget(key, flow)
        chosen = self._choose(route, key, (), now)
        if isinstance(chosen, Refuse):
            self._record_refusal(segment, chosen.reason)
            return chosen
        if len(self.flows) >= FLOWS_MAX:
            self._forget(*next(iter(self.flows.items())))
        flow = Flow(route, chosen.upstream, segment.sequence, now)
        self.flows[key] = flow
        self._place(key, flow, segment, chosen, now)
        return Forward(chosen.upstream, mark=True)

    def _repeat_opening(
        self,
        key: tuple[int, int, int, int],
        flow: Flow,
        segment: Segment,
        now: float,
    ) -> Action:
        """Offer a copy of an opening to the next upstream if the last one is silent."""
        evidence = self._find_outlook(flow.upstream)
        is_alive = evidence.heard_at >= flow.placed_at
        if flow.opened or (is_alive and flow.upstream.name in self.directory.upstreams):
            return Forward(flow.upstream, mark=True)
        if self._may_judge(now):
            self._note_silence(flow.upstream, flow.placed_at, "repeated opening", now)
        flow.tried.append(flow.upstream.name)
        chosen = self._choose(flow.route, key, flow.tried, now)
        if isinstance(chosen, Refuse):
            self._record_refusal(segment, chosen.reason)
            self._forget(key, flow)
            return chosen
        self._uncount(flow)
        flow.upstream = chosen.upstream
        flow.placed_at = flow.seen_at = flow.asked_at = now
        flow.overdue = False
        self._place(key, flow, segment, chosen, now)
        return Forward(chosen.upstream, mark=True)

    def _place(
        self,
        key: tuple[int, int, int, int],
        flow: Flow,
        segment: Segment,
        chosen: selection.Candidate,
        now: float,
    ) -> None:
        flow.counted = True
        self._find_outlook(chosen.upstream).outstanding += 1
        self.pending[key] = flow
        self.record(
            "placed",
            segment=segment,
            route=flow.route.name,
            upstream=chosen.upstream.name,
            outstanding=chosen.outstanding,
            slowness=round(chosen.slowness, 2),
            doubts=tuple(map(int, chosen.tier)),
            copy=segment.copy,
            configuration=self.configuration.version,
            upstreams=self.directory.revision,
        )

    def _choose(
        self,
        route: routing.Route,
        key: tuple[int, int, int, int],
        tried: abc.Sequence[str],
        now: float,
    ) -> selection.Candidate | Refuse:
        service = routing.choose_service(route, repr(key).encode())
        if service is None:
            return Refuse("route without weights")
        limits = self.configuration.services.get(service)
        candidates = []
        for upstream in self.directory.list_service(service):
            if upstream.draining:
                continue
            candidate = self._assess(upstream, tried, now)
            if limits is None or candidate.outstanding < limits.connections:
                candidates.append(candidate)
        chosen = selection.choose_upstream(candidates, self.zone, self.draw)
        if chosen is None:
            return Refuse(f"no upstream of {service}")
        wait_s = selection.estimate_cost(chosen, self.zone) * self.latency_s.get(
            route.name, 0.0
        )
        if wait_s > route.timeout_s:
            return Refuse(f"{service} is overloaded")
        return chosen

    def _assess(
        self, upstream: directory.Upstream, tried: abc.Sequence[str], now: float
    ) -> selection.Candidate:
        evidence = self._find_outlook(upstream)
        return selection.Candidate(
            upstream,
            evidence.outstanding + self.peers.count_outstanding(upstream.token),
            evidence.slowness,
            self.directory.is_cold(upstream, now),
            selection.Tier(
                tried.count(upstream.name),
                evidence.suspected_at is not None,
                upstream.zone in self.silent_zones,
                upstream.name in self.directory.lapsed_at,
            ),
        )

    def _carry(self, segment: Segment, now: float) -> Action:
        key = (*segment.caller, *segment.target)
        flow = self.flows.get(key)
        upstream = self.directory.find_by_token(segment.token)
        if upstream is None:
            if flow is None:
                self.record(
                    "dropped",
                    segment=segment,
                    reason="unknown token",
                    token=segment.token,
                    upstreams=self.directory.revision,
                )
                return Drop("unknown token")
            upstream = flow.upstream
        if flow is not None:
            if upstream.token != flow.upstream.token:
                # An earlier upstream answered after all, and the caller took it.
                self._uncount(flow)
                flow.upstream = upstream
                self._count(flow)
            self._observe(key, flow, segment, now)
        return Forward(upstream, mark=False)

    def _observe(
        self,
        key: tuple[int, int, int, int],
        flow: Flow,
        segment: Segment,
        now: float,
    ) -> None:
        """Learn from a packet of a flow that this balancer placed."""
        evidence = self._find_outlook(flow.upstream)
        flow.seen_at = now
        if not flow.opened:
            flow.opened = True
            flow.acknowledged = segment.acknowledged
            self.pending.pop(key, None)
            self._note_life(flow.upstream, evidence, now)
        elif _is_after(segment.acknowledged, flow.acknowledged):
            flow.acknowledged = segment.acknowledged
            self._note_life(flow.upstream, evidence, now)
            if flow.counted:
                self._uncount(flow)
                self._learn_latency(flow, evidence, now)
        if segment.length:
            self._observe_data(flow, segment, now)
        if segment.closing or segment.reset:
            self._forget(key, flow)

    def _observe_data(self, flow: Flow, segment: Segment, now: float) -> None:
        end = (segment.sequence + segment.length) % SEQUENCE_RANGE
        if _is_after(end, flow.sent_through):
            flow.sent_through = end
            flow.asked_at = now
            if not flow.counted:
                self._count(flow)
        elif now - flow.asked_at > REPEAT_MIN_S and self._may_judge(now):
            self._note_silence(flow.upstream, flow.asked_at, "repeated data", now)

    def _learn_latency(self, flow: Flow, evidence: outlook.Outlook, now: float) -> None:
        latency_s = now - flow.asked_at
        typical_s = self.latency_s.get(flow.route.name)
        if typical_s is None:
            self.latency_s[flow.route.name] = latency_s
            return
        self.latency_s[flow.route.name] = typical_s + LATENCY_GAIN * (
            latency_s - typical_s
        )
        slots = flow.upstream.slots
        others = self.peers.count_outstanding(flow.upstream.token)
        if evidence.outstanding + others < slots:
            # With more in progress the latency is that of the queue.
            evidence.record_latency(latency_s / max(typical_s, 0.001))

    def _judge_openings(self, now: float) -> None:
        """Hold openings against upstreams from which nothing came back in time."""
        if not self._may_judge(now):
            return
        for key, flow in list(self.pending.items()):
            if now - flow.placed_at < OPENING_EXPECTED_S:
                # Openings are pending in the order in which they were placed.
                break
            del self.pending[key]
            if not flow.overdue:
                flow.overdue = True
                self._note_silence(flow.upstream, flow.placed_at, "no handshake", now)

    def _note_silence(
        self, upstream: directory.Upstream, since: float, evidence: str, now: float
    ) -> None:
        known = self._find_outlook(upstream)
        own = evidence not in self.peers.peers
        if known.record_silence(since, own, now):
            self.record(
                "upstream suspected",
                upstream=upstream.name,
                evidence=evidence,
                silent_s=round(now - since, 3),
                upstreams=self.directory.revision,
            )

    def _note_life(
        self, upstream: directory.Upstream, evidence: outlook.Outlook, now: float
    ) -> None:
        since = evidence.suspected_at
        if evidence.record_life(now):
            self.record(
                "upstream trusted",
                upstream=upstream.name,
                evidence="flow",
                suspected_s=round(now - (since or now), 3),
            )

    def _list_probes(self, now: float) -> list[directory.Upstream]:
        due = []
        for name, evidence in self.outlooks.items():
            upstream = self.directory.upstreams.get(name)
            if upstream is None or evidence.suspected_at is None:
                continue
            if upstream.draining or upstream.zone in self.silent_zones:
                continue
            waited_s = now - max(evidence.probed_at, evidence.suspected_at)
            first = evidence.probed_at < evidence.suspected_at
            if first or waited_s >= PROBE_INTERVAL_S:
                evidence.probed_at = now
                due.append(upstream)
        return due

    def _sweep(self, now: float) -> None:
        idle_s = self.configuration.flow_idle_s
        for key, flow in list(self.flows.items()):
            quiet_s = now - flow.seen_at
            if quiet_s > idle_s:
                self._forget(key, flow)
            elif flow.counted and quiet_s > flow.route.timeout_s:
                self._uncount(flow)
        for name in [name for name in self.outlooks if name not in self._kept_names()]:
            del self.outlooks[name]

    def _kept_names(self) -> abc.Container[str]:
        return self.directory.upstreams.keys() | self.directory.removed.keys()

    def _find_outlook(self, upstream: directory.Upstream) -> outlook.Outlook:
        known = self.outlooks.get(upstream.name)
        if known is None or known.born_ms != upstream.born_ms:
            # A restarted upstream holds nothing of what its predecessor was sent.
            known = self.outlooks[upstream.name] = outlook.Outlook(upstream.born_ms)
        return known

    def _count(self, flow: Flow) -> None:
        flow.counted = True
        self._find_outlook(flow.upstream).outstanding += 1

    def _uncount(self, flow: Flow) -> None:
        if flow.counted:
            flow.counted = False
            evidence = self._find_outlook(flow.upstream)
            evidence.outstanding = max(0, evidence.outstanding - 1)

    def _forget(self, key: tuple[int, int, int, int], flow: Flow) -> None:
        self._uncount(flow)
        self.flows.pop(key, None)
        self.pending.pop(key, None)

    def _may_judge(self, now: float) -> bool:
        return now >= self.judge_from

    def _record_refusal(self, segment: Segment, reason: str) -> None:
        self.record(
            "refused",
            segment=segment,
            reason=reason,
            copy=segment.copy,
            configuration=self.configuration.version,
            upstreams=self.directory.revision,
        )

    def _record_update(self, update: directory.Update) -> None:
        upstream = self.directory.upstreams.get(update.name)
        self.record(
            "upstream " + update.outcome,
            upstream=update.name,
            service=upstream.service if upstream else None,
            draining=upstream.draining if upstream else None,
            upstreams=update.revision,
        )


def _is_after(later: int, earlier: int) -> bool:
    """Compare sequence numbers, which wrap around."""
    return 0 < (later - earlier) % SEQUENCE_RANGE < HALF_SEQUENCE_RANGE
