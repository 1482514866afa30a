"""Dispatch of events to the components; owns all state of a balancer."""

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

# A leaving balancer regards a flow without packets for this long as gone elsewhere.
QUIET_S: typing.Final = 2.0
# Without ticks, `Flow.seen` falls behind; a packet then advances the clock itself.
CLOCK_STEP_S: typing.Final = 1.0
# After a pause in which peers may have replaced this balancer, its socket buffers hold
# packets of flows that they placed. These are dropped and sent again by the callers,
# until the peers' exceptions have arrived.
WAKING_S: typing.Final = 1.0

Actions = list[events.Action]


class Node:
    """One balancer's decisions.

    `drops` counts dropped packets by reason.

    Parameters
    ----------
    config : Settings
        The settings.
    seed : int
        Seeds the choice of peers to probe.
    policy : Policy, optional
        Replaces the placement policy that the settings ask for.
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
        self.claims: dict[str, str] = {}
        self.refused_tables: dict[str, int] = {}
        self.drops: collections.Counter[str] = collections.Counter()
        self.port_numbers = tuple(range(config.ports_per_upstream))
        self.clock = 0.0
        self.ticked_at: float | None = None
        self.woken_at = -math.inf
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
        """The table version in force per service."""
        return {
            name: state.generations.newest.version
            for name, state in self.services.items()
        }

    @property
    def active_members(self) -> tuple[str, ...]:
        """The names of the balancers that own flows."""
        return self.peering.list_owners()

    def is_settled(self, service: str, now: float) -> bool:
        """Tell whether members and table have been the same for long enough."""
        changed_at = max(
            self.peering.membership.view_changed_at,
            self.services[service].changed_at,
            self.woken_at,
        )
        return now - changed_at >= self.config.settle_s

    def count_flows(self, service: str) -> int:
        """Return how many flows of a service are held."""
        state = self.services.get(service)
        return 0 if state is None else len(state.table.flows)

    def handle(self, event: events.Event, now: float) -> Actions:
        """Handle an event and return what the driver has to do, in order."""
        return self._handlers[type(event)](event, now)

    def _handle_caller(self, event: events.CallerPacket, now: float) -> Actions:
        state = self.services.get(event.service)
        if state is None:
            return self._drop("unknown service")
        flow = state.table.flows.get(event.flow)
        if flow is not None and event.kind and not self.peering.has_handed_over:
            return self._forward(event, flow, now)
        owner = self.peering.find_owner(event.service, event.flow)
        if owner == self.config.name:
            return self._handle_owned(event, state, now)
        if owner is None:
            if flow is not None and event.kind:
                return self._forward(event, flow, now)
            return self._drop("no owner")
        return self._relay(event, state, owner, now)

    def _handle_relayed(self, event: events.RelayedPacket, now: float) -> Actions:
        state = self.services.get(event.service)
        if state is None:
            return self._drop("unknown service")
        if self.peering.has_handed_over:
            # The sender's view lags; the flow is with its successor by now.
            owner = self.peering.find_owner(event.service, event.flow)
            if owner not in (None, event.peer):
                return self._relay(event, state, owner, now)
        flow = state.table.flows.get(event.flow)
        if flow is not None and event.kind:
            return self._forward(event, flow, now)
        if not self.peering.membership.knows(event.peer):
            return self._drop("unknown peer")
        return self._handle_owned(event, state, now)

    def _relay(
        self,
        event: events.CallerPacket | events.RelayedPacket,
        state: service.Service,
        owner: str,
        now: float,
    ) -> Actions:
        flow = state.table.flows.get(event.flow)
        if flow is not None and not event.kind and flow.opening_id != event.opening_id:
            # The owner places the new connection; data must not take the old binding.
            state.close_flow(event.flow, now)
        elif flow is not None:
            # The response goes to the owner's port if the upstream follows the path.
            flows.end_wait(flow)
        return [events.SendOwner(owner)]

    def _handle_owned(
        self,
        event: events.CallerPacket | events.RelayedPacket,
        state: service.Service,
        now: float,
    ) -> Actions:
        if now - self.clock > CLOCK_STEP_S:
            self._note_pause(now)
            self.clock = now
        if now - self.woken_at < WAKING_S and event.flow not in state.table.flows:
            return self._drop("waking")
        bound: flows.Flow | events.RefuseOpening | events.DropPacket
        if event.kind:
            previous = self.peering.find_previous_owner(event.service, event.flow)
            if previous is not None and self._must_ask(event, state, previous):
                return [events.SendOwner(previous)]
            bound = state.resume_flow(event.flow, previous, now)
        else:
            settled = self.is_settled(event.service, now)
            bound = state.open_flow(event.flow, event.opening_id, settled, now)
        if isinstance(bound, flows.Flow):
            actions = self._forward(event, bound, now)
            if bound.moved:
                # The backup has the exception before the caller has the response.
                actions += self.peering.send_exceptions(now)
            return actions
        if isinstance(bound, events.DropPacket):
            return self._drop(bound.reason)
        return [bound]

    def _must_ask(
        self,
        event: events.CallerPacket | events.RelayedPacket,
        state: service.Service,
        previous: str,
    ) -> bool:
        """Tell whether only the previous owner can place a flow, and is there.

        That is so where this node skipped the table that the previous owner's flows
        are placed by. The packet is then relayed once more.
        """
        if previous not in self.peering.list_owners():
            return False
        if self.peering.find_owner(event.service, event.flow) != self.config.name:
            # Only the owner asks; the one that it asks handles the packet.
            return False
        if isinstance(event, events.RelayedPacket) and event.peer == previous:
            return False
        return not state.can_place(event.flow, previous)

    def _forward(
        self,
        event: events.CallerPacket | events.RelayedPacket,
        flow: flows.Flow,
        now: float,
    ) -> Actions:
        flow.seen = self.clock
        upstream = flow.upstream
        if event.asks and flow.asked_at is None:
            flow.asked_at = now
            upstream.load.record_request(now)
        return [
            events.SendUpstream(
                event.service, upstream.name, upstream.address, flow.port
            )
        ]

    def _handle_upstream(self, event: events.UpstreamPacket, now: float) -> Actions:
        state = self.services.get(event.service)
        if state is None:
            return self._drop("unknown service")
        upstream = state.pool.upstreams.get(event.upstream)
        if upstream is None or not 0 <= event.port < len(upstream.ports):
            return self._drop("unbound port")
        flow = upstream.ports[event.port]
        if flow is None:
            return self._drop("unbound port")
        flow.seen = self.clock
        status = flow.upstream.load
        status.heard_at = now
        status.unheard = 0
        if event.answers and flow.asked_at is not None:
            status.record_response(now - flow.asked_at, now)
            flow.asked_at = None
        return [events.SendCaller(event.service, flow.key)]

    def _handle_closed(self, event: events.FlowClosed, now: float) -> Actions:
        state = self.services.get(event.service)
        if state is not None:
            state.close_flow(event.flow, now)
        return []

    def _handle_peer(self, event: events.PeerMessage, now: float) -> Actions:
        result = self.peering.handle_message(event.payload, now)
        if isinstance(result, events.DropPacket):
            return self._drop(result.reason)
        return result + self._follow_view(now)

    def _handle_table(self, event: events.TableReceived, now: float) -> Actions:
        table = event.table
        state = self.services.get(table.service)
        if state is not None and table.version <= state.generations.newest.version:
            is_missing = state.generations.lacks(table.version)
            if is_missing and self._find_fault(table, state) is None:
                state.generations.recall(table)
            return []
        if state is None:
            state = service.Service(
                table.service,
                self.config,
                self.peering.replicator,
                self.policy,
                self.port_numbers,
                self.claims,
            )
        fields: dict[str, object] = {
            "service": table.service,
            "version": table.version,
        }
        fault = self._find_fault(table, state)
        if fault is None:
            self.services[table.service] = state
            state.accept_table(table, now)
            state.pool.divide_limits(dict(self.peering.owners))
            return [events.Notice("table in force", fields)]
        if self.refused_tables.get(table.service) == table.version:
            return []
        # The control process repeats its tables; one notice per version is enough.
        self.refused_tables[table.service] = table.version
        return [events.Notice("table refused", {**fields, "reason": fault})]

    def _find_fault(self, table: tables.Table, state: service.Service) -> str | None:
        try:
            tables.validate_table(table)
        except ExceptionGroup as errors:
            return "; ".join(map(str, errors.exceptions))
        return state.pool.find_conflict(table)

    def _handle_vms(self, event: events.VmsReceived, now: float) -> Actions:
        self.peering.membership.update_vms(event.vms, now)
        return self._follow_view(now)

    def _handle_probe(self, event: events.ProbeReported, now: float) -> Actions:
        state = self.services.get(event.service)
        return [] if state is None else state.pool.record_probe(event, now)

    def _handle_tick(self, event: events.Tick, now: float) -> Actions:
        self._note_pause(now)
        self.clock = self.ticked_at = now
        actions: Actions = []
        for state in self.services.values():
            actions += state.tick(now)
        actions += self.peering.tick(now, bool(self.services), self._count_open)
        return actions + self._follow_view(now)

    def _note_pause(self, now: float) -> None:
        """Notice that this process did not run for as long as a suspicion lasts."""
        last = self.ticked_at
        if last is not None and now - last > self.config.suspicion_s:
            self.woken_at = self.ticked_at = now

    def _handle_stop(self, event: events.StopRequested, now: float) -> Actions:
        self.peering.lifecycle.request_stop(now)
        return []

    def _follow_view(self, now: float) -> Actions:
        if not self.peering.apply_view(now):
            return []
        for state in self.services.values():
            state.pool.divide_limits(dict(self.peering.owners))
        fields: dict[str, object] = {
            "number": self.peering.view_number,
            "owners": list(self.active_members),
        }
        return [events.Notice("view changed", fields)]

    def _count_open(self) -> int:
        since = self.clock - QUIET_S
        return sum(state.count_active(since) for state in self.services.values())

    def _drop(self, reason: str) -> Actions:
        self.drops[reason] += 1
        return [events.DropPacket(reason)]
