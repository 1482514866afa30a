"""Track the flows that a forwarder placed, and what each of them is waiting for."""

import collections
import typing
from collections import abc

from pistachioshed.core import directory, healthmonitor, routing, segments

# 37 MB at 0.73 kB per flow; a machine is expected to have 114 MB and
# to open 30 flows a second.
FLOWS_MAX: typing.Final = 50_000


class Flow:
    """A flow that this balancer placed.

    `placed_at` is when its opening was first sent to the current upstream,
    `requested_at` when its opening or its newest data was forwarded, and `seen_at` when
    its caller last sent a packet. `segment` and `packet` are its opening;
    `retransmitted` is set once this balancer has retransmitted it to the current
    upstream, and `tried_upstreams` names the upstreams that did not answer it. `opened`
    is set once the handshake is complete, `overdue` if the response is late.
    `acknowledged` is the caller's highest acknowledgement, `sent_through` the sequence
    number after its newest data.
    """

    __slots__ = (
        "acknowledged",
        "opened",
        "overdue",
        "packet",
        "placed_at",
        "requested_at",
        "retransmitted",
        "route",
        "seen_at",
        "segment",
        "sent_through",
        "tried_upstreams",
        "upstream",
    )

    def __init__(
        self,
        route: routing.Route,
        upstream: directory.Upstream,
        segment: segments.Segment,
        packet: bytes,
        now: float,
    ) -> None:
        self.route = route
        self.upstream = upstream
        self.segment = segment
        self.packet = packet
        self.placed_at = now
        self.seen_at = now
        self.requested_at = now
        self.opened = False
        self.retransmitted = False
        self.overdue = False
        self.acknowledged = 0
        self.sent_through = segment.sequence
        self.tried_upstreams: list[str] = []

    @property
    def key(self) -> segments.FlowKey:
        """The addresses and ports of both ends of the flow."""
        return segments.get_flow_key(self.segment)


class FlowTracker:
    """Track flows by the addresses and ports of their ends.

    `pending` holds the flows without a handshake, in the order in which they were
    placed. `waiting` holds the flows without a response to their request; each of them
    counts as outstanding at its upstream, and in `outstanding` at its service.
    """

    def __init__(self, monitor: healthmonitor.HealthMonitor) -> None:
        self.monitor = monitor
        self.flows: dict[segments.FlowKey, Flow] = {}
        self.pending: dict[segments.FlowKey, Flow] = {}
        self.waiting: dict[segments.FlowKey, Flow] = {}
        self.outstanding: collections.Counter[str] = collections.Counter()

    def find(self, segment: segments.Segment) -> Flow | None:
        """Return the flow of a packet, or None if this balancer does not track it."""
        return self.flows.get(segments.get_flow_key(segment))

    def add(self, flow: Flow) -> None:
        """Add a flow, replacing an earlier one with the same ends.

        If the tracker is full, the oldest flow is removed.
        """
        earlier = self.flows.get(flow.key)
        if earlier is not None:
            self.remove(earlier)
        if len(self.flows) >= FLOWS_MAX:
            self.remove(next(iter(self.flows.values())))
        self.flows[flow.key] = flow

    def remove(self, flow: Flow) -> None:
        """Stop tracking a flow; its later packets are forwarded by their token."""
        self.end_wait(flow)
        self.flows.pop(flow.key, None)
        self.pending.pop(flow.key, None)

    def await_handshake(self, flow: Flow) -> None:
        """Mark a flow as waiting for its handshake and its response."""
        self.pending.pop(flow.key, None)
        self.pending[flow.key] = flow
        self.await_response(flow)

    def end_handshake(self, flow: Flow) -> None:
        """Mark a flow as open, or its opening as given up."""
        self.pending.pop(flow.key, None)

    def await_response(self, flow: Flow) -> None:
        """Count a flow as outstanding at its upstream."""
        if flow.key not in self.waiting:
            self.waiting[flow.key] = flow
            flow.overdue = False
            self.monitor.find(flow.upstream).outstanding += 1
            self.outstanding[flow.upstream.service] += 1

    def end_wait(self, flow: Flow) -> bool:
        """Stop counting a flow as outstanding; return whether it was."""
        if self.waiting.pop(flow.key, None) is None:
            return False
        self.outstanding[flow.upstream.service] -= 1
        health = self.monitor.find(flow.upstream)
        health.outstanding = max(0, health.outstanding - 1)
        return True

    def move(self, flow: Flow, upstream: directory.Upstream) -> None:
        """Change a flow's upstream; an outstanding request moves along."""
        waited = self.end_wait(flow)
        flow.upstream = upstream
        if waited:
            self.await_response(flow)

    def list_by_upstream(self, name: str) -> list[Flow]:
        """Return the flows of an upstream."""
        return [flow for flow in self.flows.values() if flow.upstream.name == name]

    def expire(self, idle_s: float, now: float) -> None:
        """Remove idle flows; stop counting flows past their route's time limit."""
        for flow in list(self.flows.values()):
            quiet_s = now - flow.seen_at
            if quiet_s > idle_s:
                self.remove(flow)
            elif quiet_s > flow.route.timeout_s:
                self.end_wait(flow)

    def list_pending(self) -> abc.Sequence[Flow]:
        """Return the flows without a handshake, longest waiting first."""
        return list(self.pending.values())
