"""Baseline balancers for comparison: common methods without shared state.

A baseline handles the same event types and returns the same action types as the
decision core. It follows tables and probes, but sends no control messages and relays no
packets.
"""

import typing
from collections import abc

import xxhash

from pistachioshed.core import events, hashing, settings, tables

IDLE_S: typing.Final = 60.0
ChooseRow = abc.Callable[["Baseline", str, bytes, list[tables.Row]], tables.Row]


class Baseline:
    """A baseline balancer; `choose` selects one of the usable rows for a flow.

    With `track_flows`, the packets of a flow all go to the row chosen first.
    """

    def __init__(
        self, settings: settings.Settings, choose: ChooseRow, track_flows: bool
    ) -> None:
        self.settings = settings
        self.choose = choose
        self.track_flows = track_flows
        self.tables: dict[str, tables.Table] = {}
        self.usable_rows: dict[str, list[tables.Row]] = {}
        self.unusable_upstreams: set[tuple[str, str]] = set()
        self.bound_rows: dict[tuple[str, bytes], tables.Row] = {}
        self.flows_by_port: dict[tuple[str, str, int], bytes] = {}
        self.ports_by_flow: dict[tuple[str, str, bytes], int] = {}
        self.choice_count = 0

    @property
    def versions(self) -> dict[str, int]:
        """The table version in force for each service."""
        return {table.service: table.version for table in self.tables.values()}

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions for an event."""
        if isinstance(event, events.CallerPacket):
            return self._forward(event)
        if isinstance(event, events.UpstreamPacket):
            slot = (event.service, event.upstream, event.port)
            return [events.SendCaller(event.service, self.flows_by_port[slot])]
        if isinstance(event, events.TableReceived):
            self.tables[event.table.service] = event.table
            self._update_usable_rows(event.table.service)
        if isinstance(event, events.ProbeReported):
            key = (event.service, event.upstream)
            if event.ok and not event.draining:
                self.unusable_upstreams.discard(key)
            else:
                self.unusable_upstreams.add(key)
            self._update_usable_rows(event.service)
        return []

    def _update_usable_rows(self, service: str) -> None:
        table = self.tables.get(service)
        if table is not None:
            self.usable_rows[service] = [
                row
                for row in table.rows
                if row.state == "active"
                and row.weight > 0
                and (service, row.upstream) not in self.unusable_upstreams
            ]

    def _forward(self, event: events.CallerPacket) -> list[events.Action]:
        rows = self.usable_rows.get(event.service)
        if not rows:
            return [events.DropPacket("no row")]
        key = (event.service, event.flow)
        row = self.bound_rows.get(key) if self.track_flows else None
        if row is None:
            row = self.choose(self, event.service, event.flow, rows)
            if self.track_flows:
                self.bound_rows[key] = row
        port = self._assign_port(event.service, row.upstream, event.flow)
        return [events.SendUpstream(event.service, row.upstream, row.address, port)]

    def _assign_port(self, service: str, upstream: str, flow: bytes) -> int:
        key = (service, upstream, flow)
        port = self.ports_by_flow.get(key)
        if port is None:
            port = len(self.ports_by_flow)
            self.ports_by_flow[key] = port
            self.flows_by_port[service, upstream, port] = flow
        return port


def choose_by_modulo(
    balancer: Baseline, service: str, flow: bytes, rows: list[tables.Row]
) -> tables.Row:
    """Return the row given by the flow's hash modulo the number of usable rows."""
    return rows[xxhash.xxh3_64_intdigest(flow) % len(rows)]


def choose_by_rendezvous(
    balancer: Baseline, service: str, flow: bytes, rows: list[tables.Row]
) -> tables.Row:
    """Return a row by weighted rendezvous hashing, a form of consistent hashing."""
    return max(
        rows,
        key=lambda row: hashing.score_choice(
            flow, hashing.Choice(row.upstream, row.weight)
        ),
    )


def choose_round_robin(
    balancer: Baseline, service: str, flow: bytes, rows: list[tables.Row]
) -> tables.Row:
    """Return the next row in turn, regardless of its weight."""
    balancer.choice_count += 1
    return rows[balancer.choice_count % len(rows)]
