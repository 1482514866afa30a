"""One service on one balancer: its tables, its flows and their placement."""

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
    pool,
    settings,
    tables,
)

# Limits a tick to a few milliseconds of work with hundreds of thousands of flows.
OVERRIDE_CHECKS_PER_TICK: typing.Final = 1_000
# After a pause of this process, flows appear idle until their next packet arrives.
PAUSE_THRESHOLD_S: typing.Final = 1.0
PAUSE_GRACE_S: typing.Final = 5.0
RESPONSE_WAIT_MAX_S: typing.Final = 30.0
EXPIRY_TICKS: typing.Final = 50
EXPIRY_STEPS_MIN: typing.Final = 100


class FlowOverrides(typing.Protocol):
    """The interface to replication that a service needs."""

    def put(self, service: str, flow: bytes, upstream: str) -> None:
        """Add an override of this owner."""

    def remove(self, service: str, flow: bytes) -> None:
        """Remove an override of this owner."""

    def find(self, service: str, flow: bytes) -> str | None:
        """Return the upstream of another owner's override, or None."""

    def complete_through(self, service: str, owner: str) -> int:
        """Return the newest version that an owner marked complete here, or 0."""

    def mark_complete(self, service: str, version: int) -> None:
        """Mark this owner's overrides as complete for a version."""

    def pending(self) -> int:
        """Return the number of items that the peers have not acknowledged."""


class Service:
    """State and decisions of one service, isolated from all other services.

    Parameters
    ----------
    services_by_address : dict of str to str
        The service that uses each upstream address; shared by all services.
    """

    def __init__(
        self,
        name: str,
        config: settings.Settings,
        overrides: FlowOverrides,
        policy: placement.Policy,
        port_numbers: abc.Sequence[int],
        services_by_address: dict[str, str],
    ) -> None:
        self.name = name
        self.config = config
        self.overrides = overrides
        self.policy = policy
        self.pool = pool.Pool(name, config, services_by_address)
        self.flow_table = flows.FlowTable(port_numbers)
        self.generations = generations.Generations(config.generations_kept)
        self.changed_at = 0.0
        self.clock = 0.0
        self.expire_from = 0.0
        self._table_change: generations.Change | None = None
        self._recent_generations: list[generations.Generation] = []
        self._override_scan: abc.Iterator[flows.Flow | None] | None = None
        self._expiry_scan: abc.Iterator[flows.Flow | None] = iter(())

    def accept_table(self, table: tables.Table, now: float) -> bool:
        """Put a valid table in force if its version is higher; return whether it is."""
        previous = self.generations.kept[-1] if self.generations.kept else None
        if not self.generations.add(table):
            return False
        self.changed_at = now
        self._table_change = None
        # Until the scan for the last table is complete, the overrides of some flows are
        # based on an older table, and the difference to the previous table does not
        # apply to them.
        self._recent_generations.insert(0, self.generations.newest)
        del self._recent_generations[self.config.generations_kept :]
        if previous is not None and self._override_scan is None:
            self._table_change = generations.compare_generations(
                previous, self.generations.newest
            )
        self.pool.apply_table(self.generations.newest)
        self._override_scan = self._walk_flows()
        return True

    def open_flow(
        self, key: bytes, opening_id: int, settled: bool, now: float
    ) -> flows.Flow | events.RefuseOpening | events.DropPacket:
        """Handle an opening that this balancer has to place.

        A retransmission keeps its upstream. A new connection with a known flow key
        replaces the old binding only once it is admitted.
        """
        flow = self.flow_table.flows.get(key)
        if flow is not None and self._is_own_opening(flow, opening_id):
            return flow
        if self.flow_table.superseded.find(key, opening_id, now) is not None:
            return events.DropPacket("superseded opening")
        reason = self.flow_table.refused.find(key, opening_id, now)
        if reason is not None:
            return self._refuse(reason)
        strict = self.config.openings_carry_requests
        if strict and not settled and not self.generations.is_home_certain(key):
            return events.DropPacket("home not settled")
        upstream = self._choose_upstream(key, settled, now)
        until = now + self.config.refusal_memory_s
        if upstream is None:
            reason = "no upstream admits the flow"
            self.flow_table.refused.add(key, opening_id, reason, until)
            return self._refuse(reason)
        if flow is not None:
            self.flow_table.superseded.add(key, flow.opening_id, "", until)
            self.close_flow(key, now)
        return self._bind(key, upstream, opening_id)

    def resume_flow(
        self, key: bytes, previous_owner: str | None, now: float
    ) -> flows.Flow | events.DropPacket:
        """Bind a flow without a known binding when a data packet arrives."""
        if self.flow_table.refused.contains(key, now):
            # The caller may have received a refusal that says its request was not run.
            return events.DropPacket("refused flow")
        upstream = self._find_established(key, previous_owner, now)
        if upstream is None:
            return events.DropPacket("no upstream for established flow")
        return self._bind(key, upstream, 0)

    def can_resume(self, key: bytes, previous_owner: str) -> bool:
        """Return whether this node can determine a previous owner's binding."""
        if self.overrides.find(self.name, key) is not None:
            return True
        version = self.overrides.complete_through(self.name, previous_owner)
        return any(version == kept.version for kept in self.generations.kept)

    def close_flow(self, key: bytes, now: float) -> None:
        """Remove a flow and its override, if they exist."""
        flow = self.flow_table.flows.get(key)
        if flow is not None:
            self.flow_table.unbind(flow, now)
            if flow.has_override:
                self.overrides.remove(self.name, key)

    def tick(self, now: float) -> list[events.Action]:
        """Run a bounded part of the work that covers all flows."""
        if now - self.clock > PAUSE_THRESHOLD_S:
            self.expire_from = now + PAUSE_GRACE_S
        self.clock = now
        self.flow_table.refused.expire(now)
        self.flow_table.superseded.expire(now)
        self._expire_flows(now)
        self._scan_for_overrides()
        is_settled = now - self.changed_at >= self.config.settle_s
        if is_settled and self._override_scan is None and not self.overrides.pending():
            del self._recent_generations[1:]
        return self.pool.evaluate(now)

    def count_active(self, since: float) -> int:
        """Count the flows with a packet since a time or an outstanding response."""
        return sum(
            flow.seen_at >= since or flow.requested_at is not None
            for flow in self.flow_table.flows.values()
        )

    def _is_own_opening(self, flow: flows.Flow, opening_id: int) -> bool:
        """Return whether an opening is a retransmission of the flow's own opening.

        The opening of a flow resumed from a data packet is unknown. Its upstream can
        accept the opening whether it is a retransmission or a new connection.
        """
        if not flow.opening_id and self.pool.accepts_openings(flow.upstream):
            flow.opening_id = opening_id
        return flow.opening_id == opening_id

    def _refuse(self, reason: str) -> events.RefuseOpening:
        return events.RefuseOpening(reason, not self.config.openings_carry_requests)

    def _choose_upstream(
        self, key: bytes, settled: bool, now: float
    ) -> flows.Upstream | None:
        ranked = hashing.rank_choices(key, self.generations.newest.choices)
        candidates = self.pool.list_candidates(key, ranked, now)
        home = ranked[0] if ranked else None
        if not settled and not self.config.openings_carry_requests:
            # The previous owner may have placed an earlier copy of this opening: at its
            # home, unless the flow has an override.
            placed = self.overrides.find(self.name, key) or home
            for candidate in candidates:
                if candidate.upstream.name == placed:
                    return candidate.upstream
        typical_latency_s = load.compute_typical_latency(
            (candidate.upstream.load for candidate in candidates), now
        )
        return self.policy(home, candidates, typical_latency_s, now)

    def _find_established(
        self, key: bytes, previous_owner: str | None, now: float
    ) -> flows.Upstream | None:
        kept = self.generations.kept
        names = [self.overrides.find(self.name, key)]
        if previous_owner is not None:
            version = self.overrides.complete_through(self.name, previous_owner)
            generation = self.generations.select_through(version)
            names.append(generations.find_home(generation, key))
        names.append(generations.find_home(self.generations.newest, key))
        for name in names:
            if name is not None:
                upstream = self.pool.find_established(name, kept, now)
                if upstream is not None:
                    return upstream
        return None

    def _bind(
        self, key: bytes, upstream: flows.Upstream, opening_id: int
    ) -> flows.Flow:
        flow = self.flow_table.bind(key, upstream, opening_id, self.clock)
        self._add_override_if_needed(flow)
        return flow

    def _add_override_if_needed(self, flow: flows.Flow) -> None:
        """Add an override for a flow unless all peers find it by its home.

        Some peers may lack the newest table, or the completion mark that this node
        sends once it has checked its flows against that table. Until all have both, a
        flow without an override has to be at its home in the earlier tables too. An
        override stays until the flow ends, since its removal could reach a peer before
        the newest table does.
        """
        if flow.has_override:
            return
        for generation in self._recent_generations:
            if generations.find_home(generation, flow.key) != flow.upstream.name:
                flow.has_override = True
                self.overrides.put(self.name, flow.key, flow.upstream.name)
                return

    def _walk_flows(self) -> abc.Iterator[flows.Flow | None]:
        return flows.walk_flows(tuple(self.pool.upstreams.values()))

    def _expire_flows(self, now: float) -> None:
        if now < self.expire_from:
            return
        steps = max(EXPIRY_STEPS_MIN, len(self.flow_table.flows) // EXPIRY_TICKS)
        oldest = now - self.config.flow_idle_s
        visited = 0
        for flow in itertools.islice(self._expiry_scan, steps):
            visited += 1
            if flow is None:
                continue
            if flow.seen_at < oldest:
                self.close_flow(flow.key, now)
            elif (
                flow.requested_at is not None
                and now - flow.requested_at > RESPONSE_WAIT_MAX_S
            ):
                # A connection that stays silent is not load of the upstream, nor does
                # it count as another silent flow when it sends a request again.
                flows.end_wait(flow)
                upstream_load = flow.upstream.load
                upstream_load.unanswered = max(0, upstream_load.unanswered - 1)
        if visited < steps:
            self._expiry_scan = self._walk_flows()

    def _scan_for_overrides(self) -> None:
        """Add overrides for flows whose upstream became or ceased to be their home."""
        if self._override_scan is None:
            return
        visited = 0
        for flow in itertools.islice(self._override_scan, OVERRIDE_CHECKS_PER_TICK):
            visited += 1
            if flow is not None and not (
                self._table_change is not None
                and not flow.has_override
                and generations.keeps_home(
                    self._table_change, flow.key, flow.upstream.name
                )
            ):
                self._add_override_if_needed(flow)
        if visited < OVERRIDE_CHECKS_PER_TICK:
            self._override_scan = None
            self.overrides.mark_complete(self.name, self.generations.newest.version)
