"""Offer late openings to a second upstream, within a share of all openings.

The caller takes the first handshake it gets, and the token in it binds the flow to that
upstream. The other upstream gets no request.
"""

import collections
import typing
from collections import abc

from pistachioshed.core import (
    directory,
    flowtracker,
    healthmonitor,
    latencysketch,
    routing,
    segments,
    selection,
    upstreamselector,
)

SHARE_MAX: typing.Final = 0.1  # The limit of docs/load-and-evacuation.md, part 5.
LATE_PERCENTILE: typing.Final = 0.99
# Round trips of the expected traffic take 2 to 8 ms; an earlier second offer would
# double ordinary ones.
LATE_MIN_S: typing.Final = 0.01
# After 120 ms an opening is moved (`dispatch.OPENING_MOVE_AFTER_S`).
LATE_MAX_S: typing.Final = 0.12
# With fewer handshakes the 99th percentile would be their longest one.
SAMPLES_MIN: typing.Final = 100
# The first upstream is probed when it is silent for as long as an opening waits before
# it counts as unanswered (`dispatch.HANDSHAKE_EXPECTED_S`).
FIRST_SILENT_S: typing.Final = 0.06
# A caller gives up its attempt after 1.4 s.
HEDGE_RETENTION_S: typing.Final = 1.4
# A service counts as loaded when this balancer uses more than this part of its own
# share of the service's slots (part 4 of docs/load-and-evacuation.md).
LOADED_SHARE: typing.Final = 0.5

IsLoaded = abc.Callable[[str, float], bool]
"""Return whether a service is loaded at a time."""

CountOutcome = abc.Callable[[str, str], None]
"""Count a hedged opening, given its service and which upstream opened the flow."""

Schedule = abc.Callable[[float], object]
"""Ask for a call of `Dispatcher.hedge_openings` at a time."""


class Hedge(typing.NamedTuple):
    """An opening that was offered to a second upstream."""

    flow: flowtracker.Flow
    first: directory.Upstream
    second: directory.Upstream
    placed_at: float
    offered_at: float


class Hedger:
    """Decide which openings are offered to a second upstream, and to which one.

    Parameters
    ----------
    selector : UpstreamSelector
        Builds the candidates and chooses among them.
    record : callable
        Logs the second offers.

    Attributes
    ----------
    share : float
        Second offers per opening; with 0 nothing is measured or offered.
    permits : float
        Second offers that may be made now, at most 1.
    handshakes : LatencySketch
        The time from the offer of an opening to an upstream to the completion of the
        handshake with it.
    hedges : dict
        The recent second offers by flow, oldest first.
    silence_checks : deque of Hedge
        Second offers that won, until their first upstream is known to be silent or not.
    is_loaded : callable
        Tells whether a service is loaded; the account of all balancers replaces the
        one that knows only the requests of this one.
    """

    def __init__(
        self,
        selector: upstreamselector.UpstreamSelector,
        record: segments.Record,
    ) -> None:
        self.selector = selector
        self.monitor: healthmonitor.HealthMonitor = selector.monitor
        self.directory = selector.directory
        self.record = record
        self.share = 0.0
        self.permits = 0.0
        self.handshakes = latencysketch.LatencySketch()
        self.hedges: dict[segments.FlowKey, Hedge] = {}
        self.silence_checks: collections.deque[Hedge] = collections.deque()
        self.is_loaded: IsLoaded = self.has_own_load
        self.count_outcome: CountOutcome | None = None
        self.schedule: Schedule | None = None

    def enable(
        self,
        share: float,
        count_outcome: CountOutcome | None = None,
        schedule: Schedule | None = None,
    ) -> None:
        """Allow second offers for a share of the openings, at most `SHARE_MAX`.

        Without `schedule`, they are made on ticks only.
        """
        self.share = min(share, SHARE_MAX)
        self.count_outcome = count_outcome
        self.schedule = schedule

    def record_opening(self, flow: flowtracker.Flow) -> None:
        """Earn a part of a permit for a placed opening, except for a repetition."""
        if not self.share or flow.segment.copy:
            return
        # Ten times 0.1 would be less than 1 without rounding.
        self.permits = min(1.0, round(self.permits + self.share, 9))
        if self.schedule is not None and self.permits >= 1.0 and is_repeatable(flow):
            late_s = self.find_late_after()
            if late_s is not None:
                self.schedule(flow.placed_at + late_s)

    def record_handshake(self, flow: flowtracker.Flow, now: float) -> None:
        """Measure a completed handshake; `flow.upstream` is the one that opened it.

        The time is measured from the offer to that upstream. Measured from the first
        offer, each second offer that wins would raise the percentile, until openings
        are offered only when they are moved anyway.
        """
        if not self.share:
            return
        hedge = self.hedges.get(flow.key)
        if hedge is not None and hedge.flow is not flow:
            hedge = None
        has_second = hedge is not None and flow.upstream.token == hedge.second.token
        if not flow.tried_upstreams:
            # Which offer of a moved opening was answered is not known.
            offered_at = hedge.offered_at if hedge and has_second else flow.placed_at
            self.handshakes.add(now - offered_at)
        if hedge is None:
            return
        if has_second:
            self.silence_checks.append(hedge)
        if self.count_outcome is not None:
            self.count_outcome(hedge.first.service, "second" if has_second else "first")

    def hedge(
        self,
        configuration: routing.Configuration,
        tracker: flowtracker.FlowTracker,
        now: float,
    ) -> list[segments.QueuedAction]:
        """Return the second offers that are due, and forget old ones."""
        if not self.share:
            return []
        self._check_silence(now)
        self._forget(now)
        late_s = self.find_late_after()
        if self.permits < 1.0 or late_s is None:
            return []
        # A service without a fit upstream is judged once in each call.
        unfit_services: set[str] = set()
        for flow in tracker.list_pending():
            if now - flow.placed_at < late_s:
                # Pending openings are ordered by the time they were placed.
                break
            service = flow.upstream.service
            if service in unfit_services or not self._may_hedge(flow):
                continue
            second = None
            if not self.is_loaded(service, now):
                second = self.choose_second(configuration, flow, now)
            if second is not None:
                return [self._offer(flow, second, now)]
            unfit_services.add(service)
        return []

    def find_late_after(self) -> float | None:
        """Return the wait after which an opening is late.

        It is None while too few handshakes are known, and if openings are moved first.
        """
        if self.handshakes.samples < SAMPLES_MIN:
            return None
        late_s = self.handshakes.find_percentile(LATE_PERCENTILE)
        return max(LATE_MIN_S, late_s) if late_s < LATE_MAX_S else None

    def choose_second(
        self,
        configuration: routing.Configuration,
        flow: flowtracker.Flow,
        now: float,
    ) -> selection.Candidate | None:
        """Return the upstream for a second offer, None if no one is fit for it."""
        first = flow.upstream
        candidates = [
            candidate
            for candidate in self.selector.list_candidates(
                configuration, first.service, (first.name,), now, self.monitor.find
            )
            if candidate.tier == selection.PREFERRED_TIER
            and not candidate.cold
            and candidate.outstanding < candidate.upstream.slots
            # A due trial makes a suspected upstream a preferred one.
            and not self.monitor.is_suspected(candidate.upstream)
        ]
        chosen = self.selector.pick(
            candidates, flow.route, first.service, self.selector.rng
        )
        return None if isinstance(chosen, segments.Refuse) else chosen

    def has_own_load(self, service: str, now: float) -> bool:
        """Return whether the requests of this balancer load a service.

        The late opening itself does not count.
        """
        upstreams = [
            upstream
            for upstream in self.directory.list_service(service)
            if not upstream.draining and not self.monitor.is_suspected(upstream)
        ]
        slots = sum(upstream.slots for upstream in upstreams)
        outstanding = sum(
            self.monitor.find(upstream).outstanding
            for upstream in self.directory.list_service(service)
        )
        own_slots = slots / (1 + len(self.selector.peers.peers))
        return outstanding - 1 > LOADED_SHARE * own_slots

    def _may_hedge(self, flow: flowtracker.Flow) -> bool:
        hedge = self.hedges.get(flow.key)
        return (
            is_repeatable(flow)
            and not flow.segment.copy
            # A moved opening has already been offered to another upstream.
            and not flow.tried_upstreams
            and (hedge is None or hedge.flow is not flow)
        )

    def _offer(
        self, flow: flowtracker.Flow, second: selection.Candidate, now: float
    ) -> segments.QueuedAction:
        self.permits -= 1.0
        self.hedges.pop(flow.key, None)
        self.hedges[flow.key] = Hedge(
            flow, flow.upstream, second.upstream, flow.placed_at, now
        )
        self.record(
            "hedged",
            segment=flow.segment,
            route=flow.route.name,
            upstream=flow.upstream.name,
            second=second.upstream.name,
            waited_ms=round(1_000 * (now - flow.placed_at), 1),
            outstanding=second.outstanding,
        )
        action = segments.Forward(second.upstream, write_token=True)
        return segments.QueuedAction(action, flow.segment, flow.packet)

    def _check_silence(self, now: float) -> None:
        """Probe first upstreams that lost and that no flow shows to be alive.

        Their late handshakes do not pass through this balancer, so their silence is no
        evidence of a failure by itself. Without a probe, a second offer would hide a
        failed upstream.
        """
        while self.silence_checks:
            hedge = self.silence_checks[0]
            if now - hedge.placed_at < FIRST_SILENT_S:
                return
            self.silence_checks.popleft()
            health = self.monitor.find(hedge.first)
            # A probe since the placement has shown the same, and takes a slot.
            if max(health.heard_at, health.probe_requested_at) < hedge.placed_at:
                health.request_probe(now)

    def _forget(self, now: float) -> None:
        for key, hedge in list(self.hedges.items()):
            if now - hedge.placed_at < HEDGE_RETENTION_S:
                return
            del self.hedges[key]


def is_repeatable(flow: flowtracker.Flow) -> bool:
    """Return whether the request of a flow may run twice."""
    return flow.route.kind != "unsafe"
