"""Event dispatch of a balancer; a node owns all state of its balancer."""

import collections
import math
import typing
from collections import abc

from pistachioshed.core import (
    events,
    flows,
    peering,
    placement,
    service,
    settings,
    tables,
)

# A leaving balancer assumes that a flow without packets for this long has moved to
# another balancer.
INACTIVE_FLOW_S: typing.Final = 2.0
# Without ticks the node's clock, which sets `Flow.seen_at`, stands still; beyond this
# lag a packet advances it.
CLOCK_LAG_MAX_S: typing.Final = 1.0
# After a pause in which peers may have taken over from this balancer, its socket
# buffers hold packets of flows that the peers have placed. Until the peers' overrides
# have arrived, packets of unknown flows are dropped; the callers retransmit them.
PAUSE_RECOVERY_S: typing.Final = 1.0

Actions = list[events.Action]


class Node:
    """The decision core of one balancer.

    `drops` counts dropped packets by reason.

    Parameters
    ----------
    config : Settings
        The settings.
    seed : int
        Seeds the random choice of peers to probe.
    policy : Policy, optional
        Replaces the placement policy that the settings select.
    """

    def __init__(
        self,
        config: settings.Settings,
        seed: int,
        policy: placement.Policy | None = None,
    ) -> None:
        self.config = config
        self.peering = peering.Peering(config, seed)
        self.policy = policy or placement.build_policy(
            config, self.peering.replicator.pending
        )
        self.services: dict[str, service.Service] = {}
        self.services_by_address: dict[str, str] = {}
        self.refused_tables: dict[str, int] = {}
        self.drops: collections.Counter[str] = collections.Counter()
        self.port_numbers = tuple(range(config.ports_per_upstream))
        self.clock = 0.0
        self.ticked_at: float | None = None
        self.pause_ended_at = -math.inf
        self._handlers: dict[type, abc.Callable[[typing.Any, float], Actions]] = {
            events.CallerPacket: self._handle_caller,
            events.RelayedPacket: self._handle_relayed,
            events.UpstreamPacket: self._handle_upstream,
            events.FlowClosed: self._handle_closed,
            events.PeerMessage: self._handle_peer,
            events.TableReceived: self._handle_table,
            events.VmsReceived: self._handle_vms,
            events.ProbeReported: self._handle_probe,
            events.Tick: self._handle_tick,
            events.StopRequested: self._handle_stop,
        }

    @property
    def state(self) -> str:
        """The lifecycle state."""
        return self.peering.lifecycle.state

    @property
    def versions(self) -> dict[str, int]:
        """The version of the table in force for each service."""
        return {
            name: service_state.generations.newest.version
            for name, service_state in self.services.items()
        }

    @property
    def active_members(self) -> tuple[str, ...]:
        """The names of the balancers that own flows."""
        return self.peering.list_owners()

    def is_settled(self, service: str, now: float) -> bool:
        """Return whether members and table have not changed for the settling time.

        A service without a table is not settled.
        """
        if service not in self.services:
            return False
        changed_at = max(
            self.peering.membership.view_changed_at,
            self.services[service].changed_at,
            self.pause_ended_at,
        )
        return now - changed_at >= self.config.settle_s

    def count_flows(self, service: str) -> int:
        """Return how many flows of a service are bound on this node."""
        service_state = self.services.get(service)
        return 0 if service_state is None else len(service_state.flow_table.flows)

    def handle(self, event: events.Event, now: float) -> Actions:
        """Handle an event and return the actions for the driver, in order."""
        return self._handlers[type(event)](event, now)

    def _handle_caller(self, event: events.CallerPacket, now: float) -> Actions:
        service_state = self.services.get(event.service)
        if service_state is None:
            return self._drop("unknown service")
        flow = service_state.flow_table.flows.get(event.flow)
        if flow is not None and event.kind and not self.peering.has_handed_over:
            return self._forward(event, flow, now)
        owner = self.peering.find_owner(event.service, event.flow)
        if owner == self.config.name:
            return self._handle_owned(event, service_state, now)
        if owner is None:
            if flow is not None and event.kind:
                return self._forward(event, flow, now)
            return self._drop("no owner")
        return self._relay(event, service_state, owner, now)

    def _handle_relayed(self, event: events.RelayedPacket, now: float) -> Actions:
        service_state = self.services.get(event.service)
        if service_state is None:
            return self._drop("unknown service")
        if self.peering.has_handed_over:
            # The sender's view is outdated; the flow now belongs to its new owner.
            owner = self.peering.find_owner(event.service, event.flow)
            if owner not in (None, event.peer):
                return self._relay(event, service_state, owner, now)
        flow = service_state.flow_table.flows.get(event.flow)
        if flow is not None and event.kind:
            return self._forward(event, flow, now)
        if not self.peering.membership.knows(event.peer):
            return self._drop("unknown peer")
        return self._handle_owned(event, service_state, now)

    def _relay(
        self,
        event: events.CallerPacket | events.RelayedPacket,
        service_state: service.Service,
        owner: str,
        now: float,
    ) -> Actions:
        flow = service_state.flow_table.flows.get(event.flow)
        if flow is not None and not event.kind and flow.opening_id != event.opening_id:
            # The owner places the new connection; data must not use the old binding.
            service_state.close_flow(event.flow, now)
        elif flow is not None:
            # The owner forwards the packet, so the upstream may respond to its port.
            flows.end_wait(flow)
        return [events.SendOwner(owner)]

    def _handle_owned(
        self,
        event: events.CallerPacket | events.RelayedPacket,
        service_state: service.Service,
        now: float,
    ) -> Actions:
        if now - self.clock > CLOCK_LAG_MAX_S:
            self._detect_pause(now)
            self.clock = now
        if (
            now - self.pause_ended_at < PAUSE_RECOVERY_S
            and event.flow not in service_state.flow_table.flows
        ):
            return self._drop("waking")
        bound: flows.Flow | events.RefuseOpening | events.DropPacket
        if event.kind:
            previous_owner = self.peering.find_previous_owner(event.service, event.flow)
            if previous_owner is not None and self._needs_previous_owner(
                event, service_state, previous_owner
            ):
                return [events.SendOwner(previous_owner)]
            bound = service_state.resume_flow(event.flow, previous_owner, now)
        else:
            settled = self.is_settled(event.service, now)
            bound = service_state.open_flow(event.flow, event.opening_id, settled, now)
        if isinstance(bound, flows.Flow):
            actions = self._forward(event, bound, now)
            if bound.has_override:
                # The override must reach the backup before the caller gets a response.
                actions += self.peering.send_overrides(now)
            return actions
        if isinstance(bound, events.DropPacket):
            return self._drop(bound.reason)
        return [bound]

    def _needs_previous_owner(
        self,
        event: events.CallerPacket | events.RelayedPacket,
        service_state: service.Service,
        previous_owner: str,
    ) -> bool:
        """Return whether only the previous owner can place a flow and is still active.

        This is the case if this node skipped the table by which the previous owner's
        flows are placed. The packet is then relayed once more.
        """
        if previous_owner not in self.peering.list_owners():
            return False
        if self.peering.find_owner(event.service, event.flow) != self.config.name:
            # Only the owner relays to the previous owner, which handles the packet.
            return False
        if isinstance(event, events.RelayedPacket) and event.peer == previous_owner:
            return False
        return not service_state.can_resume(event.flow, previous_owner)

    def _forward(
        self,
        event: events.CallerPacket | events.RelayedPacket,
        flow: flows.Flow,
        now: float,
    ) -> Actions:
        flow.seen_at = self.clock
        upstream = flow.upstream
        if event.may_carry_request and flow.requested_at is None:
            flow.requested_at = now
            upstream.load.record_request(now)
        return [
            events.SendUpstream(
                event.service, upstream.name, upstream.address, flow.port
            )
        ]

    def _handle_upstream(self, event: events.UpstreamPacket, now: float) -> Actions:
        service_state = self.services.get(event.service)
        if service_state is None:
            return self._drop("unknown service")
        upstream = service_state.pool.upstreams.get(event.upstream)
        if upstream is None or not 0 <= event.port < len(upstream.ports):
            return self._drop("unbound port")
        flow = upstream.ports[event.port]
        if flow is None:
            return self._drop("unbound port")
        flow.seen_at = self.clock
        upstream_load = flow.upstream.load
        upstream_load.heard_at = now
        upstream_load.unanswered = 0
        if event.may_carry_response and flow.requested_at is not None:
            upstream_load.record_response(now - flow.requested_at, now)
            flow.requested_at = None
        return [events.SendCaller(event.service, flow.key)]

    def _handle_closed(self, event: events.FlowClosed, now: float) -> Actions:
        service_state = self.services.get(event.service)
        if service_state is not None:
            service_state.close_flow(event.flow, now)
        return []

    def _handle_peer(self, event: events.PeerMessage, now: float) -> Actions:
        result = self.peering.handle_message(event.payload, now)
        if isinstance(result, events.DropPacket):
            return self._drop(result.reason)
        return result + self._apply_view(now)

    def _handle_table(self, event: events.TableReceived, now: float) -> Actions:
        table = event.table
        service_state = self.services.get(table.service)
        if (
            service_state is not None
            and table.version <= service_state.generations.newest.version
        ):
            is_missing = service_state.generations.lacks(table.version)
            if is_missing and self._find_table_error(table, service_state) is None:
                service_state.generations.add_older(table)
            return []
        if service_state is None:
            service_state = service.Service(
                table.service,
                self.config,
                self.peering.replicator,
                self.policy,
                self.port_numbers,
                self.services_by_address,
            )
        fields: dict[str, object] = {
            "service": table.service,
            "version": table.version,
        }
        table_error = self._find_table_error(table, service_state)
        if table_error is None:
            self.services[table.service] = service_state
            service_state.accept_table(table, now)
            service_state.pool.divide_limits(dict(self.peering.owners))
            return [events.Notice("table in force", fields)]
        if self.refused_tables.get(table.service) == table.version:
            return []
        # The control process sends its tables repeatedly; notify once per version.
        self.refused_tables[table.service] = table.version
        return [events.Notice("table refused", {**fields, "reason": table_error})]

    def _find_table_error(
        self, table: tables.Table, service_state: service.Service
    ) -> str | None:
        try:
            tables.validate_table(table)
        except ExceptionGroup as errors:
            return "; ".join(map(str, errors.exceptions))
        return service_state.pool.find_conflict(table)

    def _handle_vms(self, event: events.VmsReceived, now: float) -> Actions:
        self.peering.membership.update_vms(event.vms, now)
        return self._apply_view(now)

    def _handle_probe(self, event: events.ProbeReported, now: float) -> Actions:
        service_state = self.services.get(event.service)
        return (
            [] if service_state is None else service_state.pool.record_probe(event, now)
        )

    def _handle_tick(self, event: events.Tick, now: float) -> Actions:
        self._detect_pause(now)
        self.clock = self.ticked_at = now
        actions: Actions = []
        for service_state in self.services.values():
            actions += service_state.tick(now)
        actions += self.peering.tick(now, bool(self.services), self._count_open)
        return actions + self._apply_view(now)

    def _detect_pause(self, now: float) -> None:
        """Detect that this process was paused for longer than the suspicion timeout."""
        last = self.ticked_at
        if last is not None and now - last > self.config.suspicion_s:
            self.pause_ended_at = self.ticked_at = now

    def _handle_stop(self, event: events.StopRequested, now: float) -> Actions:
        self.peering.lifecycle.request_stop(now)
        return []

    def _apply_view(self, now: float) -> Actions:
        if not self.peering.apply_view(now):
            return []
        for service_state in self.services.values():
            service_state.pool.divide_limits(dict(self.peering.owners))
        fields: dict[str, object] = {
            "number": self.peering.view_number,
            "owners": list(self.active_members),
        }
        return [events.Notice("view changed", fields)]

    def _count_open(self) -> int:
        since = self.clock - INACTIVE_FLOW_S
        return sum(
            service_state.count_active(since)
            for service_state in self.services.values()
        )

    def _drop(self, reason: str) -> Actions:
        self.drops[reason] += 1
        return [events.DropPacket(reason)]
