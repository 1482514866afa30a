"""Forward packets by upstream tokens, without flow state shared between balancers.

The opening of a flow is placed on an upstream, and the token of that upstream is
written into it. Caller and upstream echo the token, so any balancer can forward any
later packet of the flow. The flows tracked here are used for measurements only; if
they are lost, no connection breaks.
"""

import math
import typing
from collections import abc

from pistachioshed.core import (
    directory,
    directorylog,
    evacuationlog,
    evacuations,
    flowtracker,
    healthmonitor,
    hedging,
    peertable,
    routing,
    segments,
    selection,
    upstreamselector,
)

# A round trip between balancer, caller and upstream takes 2 to 8 ms in the expected
# traffic; callers retransmit an opening after 200 ms.
HANDSHAKE_EXPECTED_S: typing.Final = 0.06
# Leaves time for a round trip each of a retransmitted opening and a health check.
OPENING_MOVE_AFTER_S: typing.Final = 0.12
# Each move opens a connection at another host; callers send two copies themselves.
OPENING_MOVES_MAX: typing.Final = 2
# A response is overdue when both limits are exceeded: the longest expected request
# takes 0.23 s, six times its mean.
RESPONSE_OVERDUE_S: typing.Final = 0.25
RESPONSE_OVERDUE_FACTOR: typing.Final = 6.0
# Interval of the checks whose timeouts are 0.25 s or longer.
REVIEW_INTERVAL_S: typing.Final = 0.1
# Callers retransmit unacknowledged data after 200 ms; a copy that arrives sooner was
# duplicated by the network.
RETRANSMIT_MIN_S: typing.Final = 0.15
# After a longer gap between ticks this process was paused, and every flow would seem
# to have timed out.
TICK_GAP_MAX_S: typing.Final = 0.1
SWEEP_INTERVAL_S: typing.Final = 0.5  # A third of the shortest expected timeout.
SEQUENCE_RANGE: typing.Final = 2**32
HALF_SEQUENCE_RANGE: typing.Final = 2**31
# A packet further from the opening belongs to an earlier flow from the same port. The
# first sequence numbers of flows are random.
FLOW_BYTES_MAX: typing.Final = 2**24


class Dispatcher:
    """Decide how to handle packets, by the known state and the observed traffic.

    Parameters
    ----------
    zone : str
        The availability zone of this balancer.
    peers : PeerTable
        The reports of the other balancers, with the upstreams they suspect.
    record : callable
        Logs decisions and changes of state.
    observe_latency : callable
        Adds the latencies of responses to the metrics.
    seed : int
        Seed of the random part of upstream selection.
    """

    def __init__(
        self,
        zone: str,
        peers: peertable.PeerTable,
        record: segments.Record,
        observe_latency: segments.ObserveLatency,
        seed: int,
    ) -> None:
        self.zone = zone
        self.peers = peers
        self.record = record
        self.observe_latency = observe_latency
        self.directory = directory.Directory()
        self.configuration = routing.EMPTY_CONFIGURATION
        self.configured_at: float | None = None
        self.directory_updated_at: float | None = None
        self.monitor = healthmonitor.HealthMonitor(zone, self.directory, peers, record)
        self.upstream_selector = upstreamselector.UpstreamSelector(
            zone, self.directory, peers, self.monitor, seed
        )
        self.flow_tracker = flowtracker.FlowTracker(self.monitor)
        self.evacuation_log = evacuationlog.EvacuationLog(
            self.directory, self.flow_tracker, record
        )
        self.hedger = hedging.Hedger(self.upstream_selector, record)
        self.hedger.is_loaded = self.is_loaded
        self.upstream_selector.load_table.outstanding = self.flow_tracker.outstanding
        self.reviewed_at = -math.inf
        self.ticked_at = 0.0
        self.swept_at = 0.0
        self.timeouts_apply_from = 0.0
        self.queued_actions: list[segments.QueuedAction] = []

    def handle(
        self, segment: segments.Segment, packet: bytes, now: float
    ) -> segments.Action:
        """Return the action to take for a caller's packet."""
        if segment.opening:
            return self._handle_opening(segment, packet, now)
        return self._forward_by_token(segment, now)

    def has_state(self) -> bool:
        """Return whether configuration and upstreams are known."""
        return bool(self.configuration.version and self.directory.revision)

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
        evacuation: evacuations.Received = evacuations.UNCHANGED,
    ) -> None:
        """Apply changes of the registered upstreams; end flows of restarted ones.

        `evacuation` holds what was received of operators' requests with them. A batch
        that is older than the known state is ignored.
        """
        directorylog.record_batch(self.record, self.directory, revision, snapshot)
        if revision < self.directory.revision:
            return
        self.directory_updated_at = now
        updates = self.directory.apply(changes, revision, snapshot, now, evacuation)
        self.evacuation_log.record_changes()
        if snapshot:
            directorylog.record_snapshot(self.record, self.directory, updates, revision)
        for update in updates:
            if not snapshot or update.outcome != "added":
                directorylog.record_update(self.record, self.directory, update)
            if update.outcome == "restarted":
                self._end_flows(update.name, "its upstream has restarted")

    def tick(self, now: float) -> list[directory.Upstream]:
        """Check timeouts and expire old flows; return the upstreams to probe."""
        if now - self.ticked_at > TICK_GAP_MAX_S:
            self.timeouts_apply_from = now + TICK_GAP_MAX_S
        self.ticked_at = now
        self.hedge_openings(now)
        self._check_openings(now)
        if now - self.reviewed_at >= REVIEW_INTERVAL_S:
            self.reviewed_at = now
            self.monitor.review_peers(now)
            self._check_responses(now)
        for update in self.directory.expire(now):
            directorylog.record_update(self.record, self.directory, update)
        if now - self.swept_at >= SWEEP_INTERVAL_S:
            self.swept_at = now
            self.flow_tracker.expire(self.configuration.flow_idle_s, now)
            self.monitor.forget()
            self.evacuation_log.record_empty_zones()
        return self.monitor.list_probes(self.configuration.services, now)

    def record_probe(
        self,
        upstream: directory.Upstream,
        outcome: segments.ProbeOutcome,
        detail: str,
        now: float,
    ) -> None:
        """Record a probe's result; end the flows of an upstream that has failed."""
        reason = self.monitor.record_probe(upstream, outcome, detail, now)
        if reason is not None:
            self._end_flows(upstream.name, reason)

    def hedge_openings(self, now: float) -> None:
        """Queue second offers of late openings; ticks and timers call this.

        A timer may run before the first tick after a pause.
        """
        if now - self.ticked_at <= TICK_GAP_MAX_S and self._timeouts_apply(now):
            self.queued_actions += self.hedger.hedge(
                self.configuration, self.flow_tracker, now
            )

    def is_loaded(self, service: str, now: float) -> bool:
        """Return whether a service must not get additional work, by any known load."""
        load_table = self.upstream_selector.load_table
        return load_table.is_loaded(service) or self.hedger.has_own_load(service, now)

    def find_unserved(self) -> list[str]:
        """Return the configured services whose upstreams are all suspected."""
        return self.monitor.find_unserved(self.configuration.services)

    def _handle_opening(
        self, segment: segments.Segment, packet: bytes, now: float
    ) -> segments.Action:
        route = self.configuration.routes.get(segment.target)
        if route is None:
            reason = "no route" if self.configuration.version else "no configuration"
            self._record_refusal(segment, reason)
            return segments.Refuse(reason)
        flow = self.flow_tracker.find(segment)
        if flow is not None and flow.segment.sequence == segment.sequence:
            return self._handle_repeated_opening(flow, segment, now)
        chosen = self.upstream_selector.choose(
            self.configuration, route, segment, (), now
        )
        if isinstance(chosen, segments.Refuse):
            self._record_refusal(segment, chosen.reason, chosen.details)
            return chosen
        flow = flowtracker.Flow(route, chosen.upstream, segment, packet, now)
        self.flow_tracker.add(flow)
        self._record_placement(flow, segment, chosen, now)
        self.hedger.record_opening(flow)
        return segments.Forward(chosen.upstream, write_token=True)

    def _handle_repeated_opening(
        self, flow: flowtracker.Flow, segment: segments.Segment, now: float
    ) -> segments.Action:
        """Forward a retransmitted opening, to another upstream after a timeout."""
        if self.directory.is_evacuated(flow.upstream):
            return self._handle_evacuated_opening(flow, segment, now)
        if not flow.opened and not self._may_repeat(flow, now):
            if now - flow.placed_at < OPENING_MOVE_AFTER_S:
                return segments.Drop("no permit of a cold upstream")
            return self._move_opening(flow, segment, now)
        if flow.opened or self._is_answering(flow):
            return segments.Forward(flow.upstream, write_token=True)
        if now - flow.placed_at < OPENING_MOVE_AFTER_S:
            return segments.Forward(flow.upstream, write_token=True)
        if self._timeouts_apply(now):
            self.monitor.record_silence(
                flow.upstream, flow.placed_at, "repeated opening", now
            )
        return self._move_opening(flow, segment, now)

    def _handle_evacuated_opening(
        self, flow: flowtracker.Flow, segment: segments.Segment, now: float
    ) -> segments.Action:
        """Place a retransmitted opening outside the evacuated zone of its upstream.

        If the flow is open, the network has delayed this copy. Its caller has no use
        for it, and a reset or another upstream would break the flow.
        """
        if not flow.opened:
            return self._move_opening(flow, segment, now)
        reason = "copy of an opening to an evacuated zone"
        self.record(
            "dropped",
            segment=segment,
            reason=reason,
            token=flow.upstream.token,
            upstreams=self.directory.revision,
        )
        return segments.Drop(reason)

    def _move_opening(
        self, flow: flowtracker.Flow, segment: segments.Segment, now: float
    ) -> segments.Forward | segments.Refuse:
        """Place an opening that its upstream did not answer on another upstream."""
        flow.tried_upstreams.append(flow.upstream.name)
        self.flow_tracker.end_wait(flow)
        chosen = self.upstream_selector.choose(
            self.configuration, flow.route, segment, flow.tried_upstreams, now
        )
        if isinstance(chosen, segments.Refuse):
            self._record_refusal(segment, chosen.reason, chosen.details)
            self.flow_tracker.remove(flow)
            return chosen
        flow.upstream = chosen.upstream
        flow.placed_at = flow.requested_at = now
        flow.retransmitted = False
        self._record_placement(flow, segment, chosen, now)
        return segments.Forward(chosen.upstream, write_token=True)

    def _may_repeat(self, flow: flowtracker.Flow, now: float) -> bool:
        return self.upstream_selector.may_repeat(self.configuration, flow.upstream, now)

    def _is_answering(self, flow: flowtracker.Flow) -> bool:
        """Return whether the upstream answered any flow since this opening was sent."""
        health = self.monitor.find(flow.upstream)
        has_answered = health.heard_at >= flow.placed_at
        return has_answered and flow.upstream.name in self.directory.upstreams

    def _record_placement(
        self,
        flow: flowtracker.Flow,
        segment: segments.Segment,
        chosen: selection.Candidate,
        now: float,
    ) -> None:
        self.flow_tracker.await_handshake(flow)
        health = self.monitor.find(chosen.upstream)
        if health.suspected_at is not None:
            health.record_trial(now)
        self.record(
            "placed",
            segment=segment,
            route=flow.route.name,
            upstream=chosen.upstream.name,
            outstanding=chosen.outstanding,
            slowness=round(chosen.slowness, 2),
            tier=tuple(map(int, chosen.tier)),
            copy=segment.copy,
            configuration=self.configuration.version,
            upstreams=self.directory.revision,
        )

    def _forward_by_token(
        self, segment: segments.Segment, now: float
    ) -> segments.Action:
        flow = self._find_flow(segment)
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
                return segments.Drop("unknown token")
            upstream = flow.upstream
        if flow is not None:
            if upstream.token != flow.upstream.token:
                # An earlier upstream answered late, and the caller accepted its answer.
                self.flow_tracker.move(flow, upstream)
            self._update_flow(flow, segment, now)
        return segments.Forward(upstream, write_token=False)

    def _find_flow(self, segment: segments.Segment) -> flowtracker.Flow | None:
        """Return the flow of a packet, None for a late packet of an earlier flow."""
        flow = self.flow_tracker.find(segment)
        if flow is None:
            return None
        offset = (segment.sequence - flow.segment.sequence) % SEQUENCE_RANGE
        return flow if offset <= FLOW_BYTES_MAX else None

    def _update_flow(
        self, flow: flowtracker.Flow, segment: segments.Segment, now: float
    ) -> None:
        """Update a flow and its upstream's health from a packet of the caller."""
        health = self.monitor.find(flow.upstream)
        flow.seen_at = now
        if not flow.opened:
            flow.opened = True
            flow.acknowledged = segment.acknowledged
            self.flow_tracker.end_handshake(flow)
            self.hedger.record_handshake(flow, now)
            self.monitor.record_activity(flow.upstream, health, now)
        elif _is_after(segment.acknowledged, flow.acknowledged):
            flow.acknowledged = segment.acknowledged
            self.monitor.record_activity(flow.upstream, health, now)
            if self.flow_tracker.end_wait(flow):
                latency_s = now - flow.requested_at
                self.observe_latency(flow.route.name, latency_s)
                self.upstream_selector.learn_latency(
                    flow.route, flow.upstream, latency_s
                )
        if segment.length:
            self._update_sent_data(flow, segment, now)
        if segment.closing or segment.reset:
            self.flow_tracker.remove(flow)

    def _update_sent_data(
        self, flow: flowtracker.Flow, segment: segments.Segment, now: float
    ) -> None:
        data_end = (segment.sequence + segment.length) % SEQUENCE_RANGE
        if _is_after(data_end, flow.sent_through):
            flow.sent_through = data_end
            flow.requested_at = now
            self.flow_tracker.await_response(flow)
        elif now - flow.requested_at > RETRANSMIT_MIN_S and self._timeouts_apply(now):
            self.monitor.record_silence(
                flow.upstream, flow.requested_at, "repeated data", now
            )
            unreachable = flow.upstream.zone in self.monitor.partitioned_zones
            if unreachable and flow.route.kind != "unsafe":
                self._reset_flow(flow, "its upstream can not be reached")

    def _check_openings(self, now: float) -> None:
        """Handle openings without a handshake: retransmit them once, then move them.

        An unanswered opening counts as a failure of its upstream. The packet may have
        been lost, so it is first retransmitted to the same upstream.
        """
        if not self._timeouts_apply(now):
            return
        for flow in self.flow_tracker.list_pending():
            waited_s = now - flow.placed_at
            if waited_s < HANDSHAKE_EXPECTED_S:
                # Pending openings are ordered by the time they were placed.
                break
            if len(flow.tried_upstreams) >= OPENING_MOVES_MAX and flow.retransmitted:
                self.flow_tracker.end_handshake(flow)
                self.flow_tracker.end_wait(flow)
            elif not (flow.retransmitted or self.directory.is_evacuated(flow.upstream)):
                flow.retransmitted = True
                if not flow.tried_upstreams:
                    # A moved opening is no evidence: its caller may have given up.
                    self.monitor.record_silence(
                        flow.upstream, flow.placed_at, "no handshake", now
                    )
                if self._may_repeat(flow, now):
                    self._queue_action(
                        segments.Forward(flow.upstream, write_token=True), flow
                    )
            elif waited_s >= OPENING_MOVE_AFTER_S:
                self._queue_action(self._move_opening(flow, flow.segment, now), flow)

    def _check_responses(self, now: float) -> None:
        """Request probes of upstreams whose responses are overdue."""
        if not self._timeouts_apply(now):
            return
        for flow in self.flow_tracker.waiting.values():
            if flow.overdue or not flow.opened:
                continue
            typical_s = self.upstream_selector.get_typical_latency(flow.route)
            allowed_s = max(RESPONSE_OVERDUE_S, RESPONSE_OVERDUE_FACTOR * typical_s)
            if now - flow.requested_at > allowed_s:
                flow.overdue = True
                health = self.monitor.find(flow.upstream)
                # If the host answers other flows, late responses are due to load.
                if now - health.heard_at > allowed_s:
                    health.request_probe(now)

    def _queue_action(
        self, action: segments.Forward | segments.Refuse, flow: flowtracker.Flow
    ) -> None:
        self.queued_actions.append(
            segments.QueuedAction(action, flow.segment, flow.packet)
        )

    def _end_flows(self, name: str, reason: str) -> None:
        """Reset the flows of an upstream that is known to have ended.

        Callers may retry these requests, and learn of the failure at once instead of
        at their deadline. Flows whose requests must not run twice are not reset.
        """
        for flow in self.flow_tracker.list_by_upstream(name):
            if not flow.opened:
                # The upstream's machine has reset the flow, and the caller is retrying
                # elsewhere.
                self.flow_tracker.remove(flow)
            elif flow.route.kind != "unsafe":
                self._reset_flow(flow, reason)

    def _reset_flow(self, flow: flowtracker.Flow, reason: str) -> None:
        final_segment = flow.segment._replace(
            acknowledged=flow.acknowledged, opening=False
        )
        self.record(
            "flow reset",
            segment=final_segment,
            route=flow.route.name,
            upstream=flow.upstream.name,
            reason=reason,
            upstreams=self.directory.revision,
        )
        self.queued_actions.append(
            segments.QueuedAction(segments.Refuse(reason), final_segment, b"")
        )
        self.flow_tracker.remove(flow)

    def _timeouts_apply(self, now: float) -> bool:
        return now >= self.timeouts_apply_from

    def _record_refusal(
        self,
        segment: segments.Segment,
        reason: str,
        details: tuple[tuple[str, typing.Any], ...] = (),
    ) -> None:
        self.record(
            "refused",
            segment=segment,
            reason=reason,
            copy=segment.copy,
            configuration=self.configuration.version,
            configuration_age_s=self._find_age(self.configured_at),
            upstreams=self.directory.revision,
            upstreams_age_s=self._find_age(self.directory_updated_at),
            **dict(details),
        )

    def _find_age(self, since: float | None) -> float | None:
        """Return the age of known state in seconds, or None if there is none yet."""
        return None if since is None else round(max(0.0, self.ticked_at - since), 1)


def _is_after(later: int, earlier: int) -> bool:
    """Return whether a sequence number is after another one, with wrap-around."""
    return 0 < (later - earlier) % SEQUENCE_RANGE < HALF_SEQUENCE_RANGE
