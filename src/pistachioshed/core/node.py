"""Dispatch of events to the components; owns all state of a balancer."""

import collections
import typing
from collections import abc

from pistachioshed.core import (
    events,
    flows,
    hashing,
    placement,
    service,
    settings,
    tables,
)

VIEWS_KEPT: typing.Final = 4


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
        parts: typing.Any = None,
    ) -> None:
        self.config = config
        self.policy = policy or placement.build_policy(config, parts.pending)
        self.parts = parts
        self.membership = parts.membership
        self.replicator = parts.replicator
        self.lifecycle = parts.lifecycle
        self.services: dict[str, service.Service] = {}
        self.claims: dict[str, str] = {}
        self.refused_tables: dict[str, int] = {}
        self.drops: collections.Counter[str] = collections.Counter()
        self.port_numbers = tuple(range(config.ports_per_upstream))
        self.clock = 0.0
        self.members: tuple[hashing.Choice, ...] = ()
        self.past_members: collections.deque[tuple[hashing.Choice, ...]] = (
            collections.deque(maxlen=VIEWS_KEPT)
        )
        self.view_number = -1
        self._handlers: dict[type, abc.Callable[..., list[events.Action]]] = {
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

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Handle an event and return what the driver has to do, in order."""
        return self._handlers[type(event)](event, now)

    def _handle_caller(
        self, event: events.CallerPacket, now: float
    ) -> list[events.Action]:
        state = self.services.get(event.service)
        if state is None:
            return self._drop("unknown service")
        flow = state.table.flows.get(event.flow)
        if flow is not None and event.kind:
            return self._forward(event, flow, now)
        owner = hashing.find_best(event.flow, self.members)
        if owner is None:
            return self._drop("no owner")
        if owner != self.config.name:
            return [events.SendOwner(owner)]
        return self._handle_owned(event, state, now)

    def _handle_relayed(
        self, event: events.RelayedPacket, now: float
    ) -> list[events.Action]:
        state = self.services.get(event.service)
        if state is None:
            return self._drop("unknown service")
        flow = state.table.flows.get(event.flow)
        if flow is not None and event.kind:
            return self._forward(event, flow, now)
        if not self.membership.knows(event.peer):
            return self._drop("unknown peer")
        return self._handle_owned(event, state, now)

    def _handle_owned(
        self,
        event: events.CallerPacket | events.RelayedPacket,
        state: service.Service,
        now: float,
    ) -> list[events.Action]:
        if event.kind is events.PacketKind.OPENING:
            settled = now - self.membership.changed_at >= self.config.settle_s
            settled = settled and now - state.changed_at >= self.config.settle_s
            bound = state.open_flow(event.flow, event.opening_id, settled, now)
        else:
            previous = self._find_previous_owner(event.flow)
            bound = state.resume_flow(event.flow, previous, now)
        if isinstance(bound, flows.Flow):
            return self._forward(event, bound, now)
        if isinstance(bound, events.DropPacket):
            return self._drop(bound.reason)
        return [bound]

    def _forward(
        self,
        event: events.CallerPacket | events.RelayedPacket,
        flow: flows.Flow,
        now: float,
    ) -> list[events.Action]:
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

    def _handle_upstream(
        self, event: events.UpstreamPacket, now: float
    ) -> list[events.Action]:
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

    def _handle_closed(
        self, event: events.FlowClosed, now: float
    ) -> list[events.Action]:
        state = self.services.get(event.service)
        if state is not None:
            state.close_flow(event.flow, now)
        return []

    def _handle_table(
        self, event: events.TableReceived, now: float
    ) -> list[events.Action]:
        table = event.table
        state = self.services.get(table.service)
        if state is not None and table.version <= state.generations.newest.version:
            return []
        if state is None:
            state = service.Service(
                table.service,
                self.config,
                self.replicator,
                self.policy,
                self.port_numbers,
                self.claims,
            )
        fields: dict[str, object] = {
            "service": table.service,
            "version": table.version,
        }
        try:
            tables.validate_table(table)
        except ExceptionGroup as errors:
            fault: str | None = "; ".join(map(str, errors.exceptions))
        else:
            fault = state.pool.find_conflict(table)
        if fault is not None:
            if self.refused_tables.get(table.service) == table.version:
                return []
            self.refused_tables[table.service] = table.version
            return [events.Notice("table refused", {**fields, "reason": fault})]
        self.services[table.service] = state
        state.accept_table(table, now)
        state.pool.divide_limits(
            {member.name: member.weight for member in self.members}
        )
        return []

    def _handle_vms(self, event: events.VmsReceived, now: float) -> list[events.Action]:
        self.membership.update_vms(event.vms, now)
        return self._follow_view(now)

    def _handle_peer(
        self, event: events.PeerMessage, now: float
    ) -> list[events.Action]:
        return []

    def _handle_probe(
        self, event: events.ProbeReported, now: float
    ) -> list[events.Action]:
        state = self.services.get(event.service)
        return [] if state is None else state.pool.record_probe(event, now)

    def _handle_tick(self, event: events.Tick, now: float) -> list[events.Action]:
        self.clock = now
        actions: list[events.Action] = []
        for state in self.services.values():
            actions += state.tick(now)
        return actions + self._follow_view(now)

    def _handle_stop(
        self, event: events.StopRequested, now: float
    ) -> list[events.Action]:
        self.lifecycle.request_stop(now)
        return []

    def _follow_view(self, now: float) -> list[events.Action]:
        view = self.membership.view
        if view.number == self.view_number:
            return []
        self.view_number = view.number
        if self.members:
            self.past_members.append(self.members)
        self.members = tuple(
            hashing.Choice(member.name, member.capacity) for member in view.members
        )
        self.replicator.set_view(view, now)
        for state in self.services.values():
            state.pool.divide_limits(
                {member.name: member.weight for member in self.members}
            )
        names = [member.name for member in self.members]
        return [events.Notice("view changed", {"number": view.number, "owners": names})]

    def _find_previous_owner(self, key: bytes) -> str | None:
        """Return the last other balancer that owned a flow in a past view."""
        for members in reversed(self.past_members):
            owner = hashing.find_best(key, members)
            if owner != self.config.name:
                return owner
        return None

    def _drop(self, reason: str) -> list[events.Action]:
        self.drops[reason] += 1
        return [events.DropPacket(reason)]
