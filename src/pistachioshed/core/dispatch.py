"""Forwarding without shared flow state: packets name their upstream by a token.

An opening is placed and marked with the token of its upstream. Caller and upstream
repeat the token, so that any balancer forwards any later packet by it. The flows kept
here serve measurement only; losing them loses no flow.
"""

import math
import typing
from collections import abc

from pistachioshed.core import (
    directory,
    flowtracker,
    healthmonitor,
    peertable,
    routing,
    segments,
    selection,
    upstreamselector,
)

# Round trip between balancer, caller and upstream is 2 to 8 ms on the users' sheets;
# callers repeat an opening after 200 ms.
HANDSHAKE_EXPECTED_S: typing.Final = 0.06
# A repeated opening and a health check have had a round trip each by then.
OPENING_MOVE_AFTER_S: typing.Final = 0.12
# Each move costs a connection at another host; callers send two copies themselves.
OPENING_MOVES_MAX: typing.Final = 2
# A response is late by then: the users' longest job is 0.23 s, six times its mean.
RESPONSE_OVERDUE_S: typing.Final = 0.25
RESPONSE_OVERDUE_FACTOR: typing.Final = 6.0
# What is judged by silences of 0.25 s and more.
REVIEW_INTERVAL_S: typing.Final = 0.1
# Callers repeat unacknowledged data after 200 ms; less is a duplicate in the network.
RETRANSMIT_MIN_S: typing.Final = 0.15
# A longer pause of this process makes every flow look silent.
TICK_GAP_MAX_S: typing.Final = 0.1
SWEEP_INTERVAL_S: typing.Final = 0.5  # A third of the users' shortest time limit.
SEQUENCE_RANGE: typing.Final = 2**32
HALF_SEQUENCE_RANGE: typing.Final = 2**31


class Dispatcher:
    """Decisions about packets, from what is believed and what passes.

    Parameters
    ----------
    zone : str
        The availability zone of this balancer.
    peers : PeerTable
        Loads and suspicions of the other balancers.
    record : callable
        Takes decisions and changes of state for the log.
    observe : callable
        Takes the latencies of responses for the metrics.
    seed : int
        Makes the random part of the choices repeatable.
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
        self.reviewed_at = -math.inf
        self.ticked_at = 0.0
        self.swept_at = 0.0
        self.timeouts_apply_from = 0.0
        self.queued_actions: list[segments.QueuedAction] = []

    def handle(
        self, segment: segments.Segment, packet: bytes, now: float
    ) -> segments.Action:
        """Decide what becomes of a caller's packet."""
        if segment.opening:
            return self._handle_opening(segment, packet, now)
        return self._forward_by_token(segment, now)

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
        self.directory_updated_at = now
        for update in self.directory.apply(changes, revision, snapshot, now):
            self._record_update(update)
            if update.outcome == "restarted":
                self._end_flows(update.name, "its upstream has restarted")

    def tick(self, now: float) -> list[directory.Upstream]:
        """Judge silence and forget old flows; return the upstreams to probe."""
        if now - self.ticked_at > TICK_GAP_MAX_S:
            self.timeouts_apply_from = now + TICK_GAP_MAX_S
        self.ticked_at = now
        self._check_openings(now)
        if now - self.reviewed_at >= REVIEW_INTERVAL_S:
            self.reviewed_at = now
            self.monitor.review_peers(now)
            self._check_responses(now)
        for update in self.directory.expire(now):
            self._record_update(update)
        if now - self.swept_at >= SWEEP_INTERVAL_S:
            self.swept_at = now
            self.flow_tracker.expire(self.configuration.flow_idle_s, now)
            self.monitor.forget()
        return self.monitor.list_probes(self.configuration.services, now)

    def record_probe(
        self,
        upstream: directory.Upstream,
        outcome: segments.ProbeOutcome,
        detail: str,
        now: float,
    ) -> None:
        """Take the result of a health check; end the flows of an ended upstream."""
        reason = self.monitor.record_probe(upstream, outcome, detail, now)
        if reason is not None:
            self._end_flows(upstream.name, reason)

    def find_unserved(self) -> list[str]:
        """Return the routed services of which every upstream is silent."""
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
            self._record_refusal(segment, chosen.reason)
            return chosen
        flow = flowtracker.Flow(route, chosen.upstream, segment, packet, now)
        self.flow_tracker.add(flow)
        self._record_placement(flow, segment, chosen, now)
        return segments.Forward(chosen.upstream, write_token=True)

    def _handle_repeated_opening(
        self, flow: flowtracker.Flow, segment: segments.Segment, now: float
    ) -> segments.Action:
        """Offer a copy of an opening to the next upstream if the last one is silent."""
        if flow.opened or self._is_answering(flow):
            return segments.Forward(flow.upstream, write_token=True)
        if now - flow.placed_at < OPENING_MOVE_AFTER_S:
            return segments.Forward(flow.upstream, write_token=True)
        if self._timeouts_apply(now):
            self.monitor.record_silence(
                flow.upstream, flow.placed_at, "repeated opening", now
            )
        return self._move_opening(flow, segment, now)

    def _move_opening(
        self, flow: flowtracker.Flow, segment: segments.Segment, now: float
    ) -> segments.Forward | segments.Refuse:
        """Offer an opening that its upstream did not answer to another one."""
        flow.tried.append(flow.upstream.name)
        self.flow_tracker.end_wait(flow)
        chosen = self.upstream_selector.choose(
            self.configuration, flow.route, segment, flow.tried, now
        )
        if isinstance(chosen, segments.Refuse):
            self._record_refusal(segment, chosen.reason)
            self.flow_tracker.remove(flow)
            return chosen
        flow.upstream = chosen.upstream
        flow.placed_at = flow.requested_at = now
        flow.repeated = False
        self._record_placement(flow, segment, chosen, now)
        return segments.Forward(chosen.upstream, write_token=True)

    def _is_answering(self, flow: flowtracker.Flow) -> bool:
        """Tell whether the upstream answered others since it got this opening."""
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
        flow = self.flow_tracker.find(segment)
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
                # An earlier upstream answered after all, and the caller took it.
                self.flow_tracker.move(flow, upstream)
            self._update_flow(flow, segment, now)
        return segments.Forward(upstream, write_token=False)

    def _update_flow(
        self, flow: flowtracker.Flow, segment: segments.Segment, now: float
    ) -> None:
        """Learn from a packet of a flow that this balancer placed."""
        health = self.monitor.find(flow.upstream)
        flow.seen_at = now
        if not flow.opened:
            flow.opened = True
            flow.acknowledged = segment.acknowledged
            self.flow_tracker.end_handshake(flow)
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
        end = (segment.sequence + segment.length) % SEQUENCE_RANGE
        if _is_after(end, flow.sent_through):
            flow.sent_through = end
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
        """Hold openings against silent upstreams; repeat them, then move them.

        The packet may have been lost, so it is repeated to the same upstream first.
        """
        if not self._timeouts_apply(now):
            return
        for flow in self.flow_tracker.list_pending():
            waited_s = now - flow.placed_at
            if waited_s < HANDSHAKE_EXPECTED_S:
                # Openings are pending in the order in which they were placed.
                break
            if len(flow.tried) >= OPENING_MOVES_MAX and flow.repeated:
                self.flow_tracker.end_handshake(flow)
                self.flow_tracker.end_wait(flow)
            elif not flow.repeated:
                flow.repeated = True
                if not flow.tried:
                    # The caller of a moved opening may have given up.
                    self.monitor.record_silence(
                        flow.upstream, flow.placed_at, "no handshake", now
                    )
                self._queue_action(
                    segments.Forward(flow.upstream, write_token=True), flow
                )
            elif waited_s >= OPENING_MOVE_AFTER_S:
                self._queue_action(self._move_opening(flow, flow.segment, now), flow)

    def _check_responses(self, now: float) -> None:
        """Doubt the upstreams whose responses are unusually late."""
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
                # Late responses of a host that answers others mean load, not silence.
                if now - health.heard_at > allowed_s:
                    health.request_probe(now)

    def _queue_action(
        self, action: segments.Forward | segments.Refuse, flow: flowtracker.Flow
    ) -> None:
        self.queued_actions.append(
            segments.QueuedAction(action, flow.segment, flow.packet)
        )

    def _end_flows(self, name: str, reason: str) -> None:
        """Give up the flows of an upstream that is health to have ended.

        Callers may repeat these requests, and are told at once instead of at their
        deadline. Requests that may run only once are left to their callers.
        """
        for flow in self.flow_tracker.list_by_upstream(name):
            if not flow.opened:
                # The machine has reset it: its caller is trying again with another one.
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

    def _record_refusal(self, segment: segments.Segment, reason: str) -> None:
        self.record(
            "refused",
            segment=segment,
            reason=reason,
            copy=segment.copy,
            configuration=self.configuration.version,
            configuration_age_s=self._find_age(self.configured_at),
            upstreams=self.directory.revision,
            upstreams_age_s=self._find_age(self.directory_updated_at),
        )

    def _find_age(self, since: float | None) -> float | None:
        """Return how old a belief is, None if there is none yet."""
        return None if since is None else round(max(0.0, self.ticked_at - since), 1)

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
