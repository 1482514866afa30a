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
    pool,
    settings,
    tables,
)

# Bounds the work of one tick to a few milliseconds at hundreds of thousands of flows.
MOVES_PER_TICK: typing.Final = 1_000
# After a pause of this process flows look idle until their next packet arrives.
PAUSE_S: typing.Final = 1.0
PAUSE_GRACE_S: typing.Final = 5.0
WAIT_MAX_S: typing.Final = 30.0
EXPIRY_TICKS: typing.Final = 50
EXPIRY_STEPS_MIN: typing.Final = 100


class FlowOverrides(typing.Protocol):
    """What a service needs from replication."""

    def put(self, service: str, flow: bytes, upstream: str) -> None:
        """Add an exception of this owner."""

    def remove(self, service: str, flow: bytes) -> None:
        """Remove an exception of this owner."""

    def find(self, service: str, flow: bytes) -> str | None:
        """Return the upstream of another owner's exception."""

    def complete_through(self, service: str, owner: str) -> int:
        """Return the newest version under which an owner listed its exceptions."""

    def mark_complete(self, service: str, version: int) -> None:
        """Mark this owner's exceptions complete under a version."""

    def pending(self) -> int:
        """Return how many exceptions and marks the peers did not confirm."""


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
        overrides: FlowOverrides,
        policy: placement.Policy,
        port_numbers: abc.Sequence[int],
        claims: dict[str, str],
    ) -> None:
        self.name = name
        self.config = config
        self.overrides = overrides
        self.policy = policy
        self.pool = pool.Pool(name, config, claims)
        self.table = flows.FlowTable(port_numbers)
        self.generations = generations.Generations(config.generations_kept)
        self.changed_at = 0.0
        self.clock = 0.0
        self.expire_from = 0.0
        self._change: generations.Change | None = None
        self._recent: list[generations.Generation] = []
        self._moving: abc.Iterator[flows.Flow | None] | None = None
        self._expiring: abc.Iterator[flows.Flow | None] = iter(())

    def accept_table(self, table: tables.Table, now: float) -> bool:
        """Put a valid table in force, unless its version is not higher."""
        previous = self.generations.kept[-1] if self.generations.kept else None
        if not self.generations.add(table):
            return False
        self.changed_at = now
        self._change = None
        # Until the last change is worked through, some flows are marked by an older
        # table and the difference to the previous one does not apply to them.
        self._recent.insert(0, self.generations.newest)
        del self._recent[self.config.generations_kept :]
        if previous is not None and self._moving is None:
            self._change = generations.compare_generations(
                previous, self.generations.newest
            )
        self.pool.follow_table(self.generations.newest)
        self._moving = self._walk_flows()
        return True

    def open_flow(
        self, key: bytes, opening_id: int, settled: bool, now: float
    ) -> flows.Flow | events.RefuseOpening | events.DropPacket:
        """Handle an opening that this balancer has to place.

        A retransmission keeps its upstream. A new connection on a known key replaces
        the old binding only once it is admitted.
        """
        flow = self.table.flows.get(key)
        if flow is not None and self._belongs(flow, opening_id):
            return flow
        if self.table.superseded.find(key, opening_id, now) is not None:
            return events.DropPacket("superseded opening")
        reason = self.table.refused.find(key, opening_id, now)
        if reason is not None:
            return self._refuse(reason)
        strict = self.config.openings_carry_requests
        if strict and not settled and not self.generations.is_home_certain(key):
            return events.DropPacket("home not settled")
        upstream = self._choose(key, settled, now)
        until = now + self.config.refusal_memory_s
        if upstream is None:
            reason = "no upstream admits the flow"
            self.table.refused.remember(key, opening_id, reason, until)
            return self._refuse(reason)
        if flow is not None:
            self.table.superseded.remember(key, flow.opening_id, "", until)
            self.close_flow(key, now)
        return self._bind(key, upstream, opening_id)

    def resume_flow(
        self, key: bytes, previous_owner: str | None, now: float
    ) -> flows.Flow | events.DropPacket:
        """Bind a flow from a data packet, without a binding to go by."""
        if self.table.refused.holds(key, now):
            # The caller may have been told that its request was not run.
            return events.DropPacket("refused flow")
        upstream = self._find_established(key, previous_owner, now)
        if upstream is None:
            return events.DropPacket("no upstream for established flow")
        return self._bind(key, upstream, 0)

    def can_place(self, key: bytes, previous_owner: str) -> bool:
        """Tell whether this node knows where a previous owner's flow is bound."""
        if self.overrides.find(self.name, key) is not None:
            return True
        version = self.overrides.complete_through(self.name, previous_owner)
        return any(version == kept.version for kept in self.generations.kept)

    def close_flow(self, key: bytes, now: float) -> None:
        """Forget a flow and its exception, if there are any."""
        flow = self.table.flows.get(key)
        if flow is not None:
            self.table.unbind(flow, now)
            if flow.moved:
                self.overrides.remove(self.name, key)

    def tick(self, now: float) -> list[events.Action]:
        """Do a bounded part of the work that spans all flows."""
        if now - self.clock > PAUSE_S:
            self.expire_from = now + PAUSE_GRACE_S
        self.clock = now
        self.table.refused.forget(now)
        self.table.superseded.forget(now)
        self._expire_flows(now)
        self._mark_flows()
        is_settled = now - self.changed_at >= self.config.settle_s
        if is_settled and self._moving is None and not self.overrides.pending():
            del self._recent[1:]
        return self.pool.review(now)

    def count_active(self, since: float) -> int:
        """Count the flows with a packet since a time or a response outstanding."""
        return sum(
            flow.seen >= since or flow.asked_at is not None
            for flow in self.table.flows.values()
        )

    def _belongs(self, flow: flows.Flow, opening_id: int) -> bool:
        """Tell whether an opening is a retransmission of a flow's own.

        A flow resumed from data does not know its opening. Its upstream can take the
        opening whether it is a retransmission or a new connection.
        """
        if not flow.opening_id and self.pool.takes_openings(flow.upstream):
            flow.opening_id = opening_id
        return flow.opening_id == opening_id

    def _refuse(self, reason: str) -> events.RefuseOpening:
        return events.RefuseOpening(reason, not self.config.openings_carry_requests)

    def _choose(self, key: bytes, settled: bool, now: float) -> flows.Upstream | None:
        ranked = hashing.rank_choices(key, self.generations.newest.choices)
        candidates = self.pool.list_candidates(key, ranked, now)
        home = ranked[0] if ranked else None
        if not settled and not self.config.openings_carry_requests:
            # The previous owner may have placed an earlier copy of this opening, on
            # its home unless it is an exception.
            placed = self.overrides.find(self.name, key) or home
            for candidate in candidates:
                if candidate.upstream.name == placed:
                    return candidate.upstream
        typical_s = load.compute_typical_latency(
            (candidate.upstream.load for candidate in candidates), now
        )
        return self.policy(home, candidates, typical_s, now)

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
        flow = self.table.bind(key, upstream, opening_id, self.clock)
        self._mark_moved(flow)
        return flow

    def _mark_moved(self, flow: flows.Flow) -> None:
        """Make a flow an exception unless all peers find it by its home.

        While some peers may not know the newest table, or that it is worked through
        here, a flow has to be at its home in the table before too. An exception stays
        one until the flow ends: its removal could arrive before the newest table.
        """
        if flow.moved:
            return
        for generation in self._recent:
            if generations.find_home(generation, flow.key) != flow.upstream.name:
                flow.moved = True
                self.overrides.put(self.name, flow.key, flow.upstream.name)
                return

    def _walk_flows(self) -> abc.Iterator[flows.Flow | None]:
        return flows.walk_flows(tuple(self.pool.upstreams.values()))

    def _expire_flows(self, now: float) -> None:
        if now < self.expire_from:
            return
        steps = max(EXPIRY_STEPS_MIN, len(self.table.flows) // EXPIRY_TICKS)
        oldest = now - self.config.flow_idle_s
        taken = 0
        for flow in itertools.islice(self._expiring, steps):
            taken += 1
            if flow is None:
                continue
            if flow.seen < oldest:
                self.close_flow(flow.key, now)
            elif flow.asked_at is not None and now - flow.asked_at > WAIT_MAX_S:
                # A connection that went silent for good is neither the upstream's
                # load nor, when it asks again, one more silent flow.
                flows.end_wait(flow)
                status = flow.upstream.load
                status.unheard = max(0, status.unheard - 1)
        if taken < steps:
            self._expiring = self._walk_flows()

    def _mark_flows(self) -> None:
        """Find the flows that the newest table moved from or back to their home."""
        if self._moving is None:
            return
        taken = 0
        for flow in itertools.islice(self._moving, MOVES_PER_TICK):
            taken += 1
            if flow is not None and not (
                self._change is not None
                and not flow.moved
                and generations.keeps_home(self._change, flow.key, flow.upstream.name)
            ):
                self._mark_moved(flow)
        if taken < MOVES_PER_TICK:
            self._moving = None
            self.overrides.mark_complete(self.name, self.generations.newest.version)
