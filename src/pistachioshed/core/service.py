"""One service on one balancer: its tables, flows and the decisions about them."""

import itertools
import typing
from collections import abc

from pistachioshed.core import (
    events,
    flows,
    generations,
    hashing,
    load,
    placement,
    settings,
    tables,
)

# Bounds the work of one tick to a few milliseconds at hundreds of thousands of flows.
MOVES_PER_TICK: typing.Final = 2_000
EXPIRY_TICKS: typing.Final = 50
EXPIRY_STEPS_MIN: typing.Final = 100


class Exceptions(typing.Protocol):
    """What a service needs from replication."""

    def put(self, service: str, flow: bytes, upstream: str) -> None:
        """Add an exception of this owner."""

    def remove(self, service: str, flow: bytes) -> None:
        """Remove an exception of this owner."""

    def find(self, service: str, flow: bytes) -> str | None:
        """Return the upstream of another owner's exception."""

    def complete_through(self, service: str, owner: str) -> int:
        """Return the newest version under which an owner listed its exceptions."""

    def close_generation(self, service: str, version: int) -> None:
        """Mark this owner's exceptions complete under a version."""


class Service:
    """State and decisions of one service; isolated from all other services.

    Parameters
    ----------
    claims : dict of str to str
        The service that uses each upstream address, shared by all services.
    """

    def __init__(
        self,
        name: str,
        config: settings.Settings,
        exceptions: Exceptions,
        policy: placement.Policy,
        port_numbers: abc.Sequence[int],
        claims: dict[str, str],
    ) -> None:
        self.name = name
        self.config = config
        self.exceptions = exceptions
        self.policy = policy
        self.claims = claims
        self.table = flows.FlowTable(port_numbers)
        self.generations = generations.Generations(config.generations_kept)
        self.capacities: dict[str, float] = {config.name: config.capacity}
        self.retired: list[flows.Upstream] = []
        self.changed_at = 0.0
        self.clock = 0.0
        self._moving: abc.Iterator[flows.Flow | None] | None = None
        self._expiring: abc.Iterator[flows.Flow | None] = iter(())

    def accept_table(self, table: tables.Table, now: float) -> bool:
        """Put a valid table of a higher version in force."""
        if not self.generations.add(table):
            return False
        self.changed_at = now
        for row in table.rows:
            self._admit_row(row)
        names = self.generations.newest.rows
        for upstream in self.table.upstreams.values():
            if upstream.name not in names and upstream not in self.retired:
                self.retired.append(upstream)
        self.set_capacities(self.capacities)
        self._moving = self.table.walk_flows()
        return True

    def set_capacities(self, capacities: dict[str, float]) -> None:
        """Divide the rows' connection limits over the balancers by capacity."""
        self.capacities = {self.config.name: self.config.capacity} | capacities
        for row in self.generations.newest.rows.values():
            state = self.table.upstreams[row.upstream].load
            state.weight = row.weight
            state.limit = load.compute_limit_share(
                row.connections, self.config.name, self.capacities
            )

    def open_flow(
        self, key: bytes, opening_id: int, settled: bool, now: float
    ) -> flows.Flow | events.RefuseOpening | events.DropPacket:
        """Handle an opening that this balancer has to place.

        A retransmission keeps its upstream. A new connection on a known key replaces
        the old binding only once it is admitted.
        """
        flow = self.table.flows.get(key)
        if flow is not None and flow.opening_id == opening_id:
            return flow
        refusal = self.table.find_refusal(key, opening_id, now)
        if refusal is not None:
            return self._refuse(refusal.reason)
        strict = self.config.openings_carry_requests
        if strict and not settled and not self.generations.is_home_certain(key):
            return events.DropPacket("home not settled")
        upstream = self._choose(key, now)
        if upstream is None:
            until = now + self.config.refusal_memory_s
            refusal = flows.Refusal(opening_id, until, "no upstream admits the flow")
            self.table.remember_refusal(key, refusal)
            return self._refuse(refusal.reason)
        if flow is not None:
            self.close_flow(key, now)
        return self._bind(key, upstream, opening_id, now)

    def resume_flow(
        self, key: bytes, previous_owner: str | None, now: float
    ) -> flows.Flow | events.DropPacket:
        """Bind a flow from a data packet, without a binding to go by."""
        if key in self.table.refusals:
            return events.DropPacket("refused flow")
        upstream = self._find_established(key, previous_owner, now)
        if upstream is None:
            return events.DropPacket("no upstream for established flow")
        return self._bind(key, upstream, 0, now)

    def close_flow(self, key: bytes, now: float) -> None:
        """Forget a flow and its exception, if there are any."""
        flow = self.table.flows.get(key)
        if flow is None:
            return
        self.table.unbind(flow, now)
        if flow.moved:
            self.exceptions.remove(self.name, key)

    def tick(self, now: float) -> None:
        """Do a bounded part of the work that spans all flows."""
        self.clock = now
        self.table.forget_refusals(now)
        self._expire_flows(now)
        self._move_flows()
        for upstream in tuple(self.retired):
            self._reap(upstream, now)

    def _refuse(self, reason: str) -> events.RefuseOpening:
        return events.RefuseOpening(reason, not self.config.openings_carry_requests)

    def _choose(self, key: bytes, now: float) -> flows.Upstream | None:
        newest = self.generations.newest
        upstreams = self.table.upstreams
        ranked = hashing.rank_choices(key, newest.choices)
        admitted = [
            upstreams[name] for name in ranked if self._admits(upstreams[name], now)
        ]
        typical_s = load.compute_typical_latency(
            (upstream.load for upstream in admitted), now
        )
        return self.policy(ranked[0] if ranked else None, admitted, typical_s, now)

    def _admits(self, upstream: flows.Upstream, now: float) -> bool:
        return upstream.load.open < upstream.load.limit and self.table.has_free_port(
            upstream, now
        )

    def _find_established(
        self, key: bytes, previous_owner: str | None, now: float
    ) -> flows.Upstream | None:
        name = self.exceptions.find(self.name, key)
        if name is not None:
            upstream = self._revive(name, now)
            if upstream is not None:
                return upstream
        generation = self.generations.newest
        if previous_owner is not None:
            version = self.exceptions.complete_through(self.name, previous_owner)
            generation = self.generations.select_through(version)
        for candidate in (generation, self.generations.newest):
            name = generations.find_home(candidate, key)
            if name is not None:
                upstream = self._revive(name, now)
                if upstream is not None:
                    return upstream
        return None

    def _revive(self, name: str, now: float) -> flows.Upstream | None:
        """Return an upstream by name, also one that the newest table lacks."""
        upstream = self.table.upstreams.get(name)
        if upstream is None:
            for generation in reversed(self.generations.kept):
                row = generation.rows.get(name)
                if row is not None:
                    if self.claims.get(row.address, self.name) != self.name:
                        return None
                    upstream = self._admit_row(row)
                    self.retired.append(upstream)
                    break
        if upstream is None or not self.table.has_free_port(upstream, now):
            return None
        return upstream

    def _admit_row(self, row: tables.Row) -> flows.Upstream:
        known = self.table.upstreams.get(row.upstream)
        if known is not None and known.address == row.address:
            if known in self.retired:
                self.retired.remove(known)
            return known
        upstream = flows.Upstream(row.upstream, row.address)
        if known is not None:
            # Slots are found by name, so flows at the old address share them.
            upstream.ports = known.ports
            upstream.released = known.released
            self.retired.append(known)
        self.table.upstreams[row.upstream] = upstream
        self.claims[row.address] = self.name
        return upstream

    def _reap(self, upstream: flows.Upstream, now: float) -> None:
        """Forget a removed upstream once it has neither flows nor late responses."""
        released = upstream.released
        if upstream.load.open or (
            released and released[-1][0] + flows.PORT_QUARANTINE_S > now
        ):
            return
        self.retired.remove(upstream)
        if self.table.upstreams.get(upstream.name) is upstream:
            del self.table.upstreams[upstream.name]
        self.claims.pop(upstream.address, None)

    def _bind(
        self, key: bytes, upstream: flows.Upstream, opening_id: int, now: float
    ) -> flows.Flow:
        if now - self.clock > 1.0:
            self.clock = now
        flow = self.table.bind(key, upstream, opening_id, self.clock)
        self._mark_moved(flow)
        return flow

    def _mark_moved(self, flow: flows.Flow) -> None:
        home = generations.find_home(self.generations.newest, flow.key)
        moved = home != flow.upstream.name
        if moved and not flow.moved:
            self.exceptions.put(self.name, flow.key, flow.upstream.name)
        elif flow.moved and not moved:
            self.exceptions.remove(self.name, flow.key)
        flow.moved = moved

    def _expire_flows(self, now: float) -> None:
        steps = max(EXPIRY_STEPS_MIN, len(self.table.flows) // EXPIRY_TICKS)
        oldest = now - self.config.flow_idle_s
        taken = 0
        for flow in itertools.islice(self._expiring, steps):
            taken += 1
            if flow is not None and flow.seen < oldest:
                self.close_flow(flow.key, now)
        if taken < steps:
            self._expiring = self.table.walk_flows()

    def _move_flows(self) -> None:
        """Find the flows that the newest table made exceptions or homed again."""
        if self._moving is None:
            return
        taken = 0
        for flow in itertools.islice(self._moving, MOVES_PER_TICK):
            taken += 1
            if flow is not None:
                self._mark_moved(flow)
        if taken < MOVES_PER_TICK:
            self._moving = None
            self.exceptions.close_generation(self.name, self.generations.newest.version)
