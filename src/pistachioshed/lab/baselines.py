"""Balancers to compare with: the methods in common use, without shared state.

Each takes the same events and returns the same actions as the decision core, and
follows tables and probes, but sends no control message and relays nothing.
"""

import typing
from collections import abc

import xxhash

from pistachioshed.core import events, hashing, settings, tables

IDLE_S: typing.Final = 60.0
Choose = abc.Callable[["Baseline", str, bytes, list[tables.Row]], tables.Row]


class Baseline:
    """State of one baseline balancer; `choose` picks among the usable rows."""

    def __init__(
        self, settings: settings.Settings, choose: Choose, tracking: bool
    ) -> None:
        self.settings = settings
        self.choose = choose
        self.tracking = tracking
        self.tables: dict[str, tables.Table] = {}
        self.rows: dict[str, list[tables.Row]] = {}
        self.unusable: set[tuple[str, str]] = set()
        self.bound: dict[tuple[str, bytes], tables.Row] = {}
        self.ports: dict[tuple[str, str, int], bytes] = {}
        self.port_of: dict[tuple[str, str, bytes], int] = {}
        self.turn = 0

    @property
    def versions(self) -> dict[str, int]:
        """The table version in force per service."""
        return {table.service: table.version for table in self.tables.values()}

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions for an event."""
        if isinstance(event, events.CallerPacket):
            return self._forward(event)
        if isinstance(event, events.UpstreamPacket):
            slot = (event.service, event.upstream, event.port)
            return [events.SendCaller(event.service, self.ports[slot])]
        if isinstance(event, events.TableReceived):
            self.tables[event.table.service] = event.table
            self._select_rows(event.table.service)
        if isinstance(event, events.ProbeReported):
            key = (event.service, event.upstream)
            if event.ok and not event.draining:
                self.unusable.discard(key)
            else:
                self.unusable.add(key)
            self._select_rows(event.service)
        return []

    def _select_rows(self, service: str) -> None:
        table = self.tables.get(service)
        if table is not None:
            self.rows[service] = [
                row
                for row in table.rows
                if row.state == "active"
                and row.weight > 0
                and (service, row.upstream) not in self.unusable
            ]

    def _forward(self, event: events.CallerPacket) -> list[events.Action]:
        rows = self.rows.get(event.service)
        if not rows:
            return [events.DropPacket("no row")]
        key = (event.service, event.flow)
        row = self.bound.get(key) if self.tracking else None
        if row is None:
            row = self.choose(self, event.service, event.flow, rows)
            if self.tracking:
                self.bound[key] = row
        port = self._find_port(event.service, row.upstream, event.flow)
        return [events.SendUpstream(event.service, row.upstream, row.address, port)]

    def _find_port(self, service: str, upstream: str, flow: bytes) -> int:
        key = (service, upstream, flow)
        port = self.port_of.get(key)
        if port is None:
            port = len(self.port_of)
            self.port_of[key] = port
            self.ports[service, upstream, port] = flow
        return port


def choose_by_modulo(
    state: Baseline, service: str, flow: bytes, rows: list[tables.Row]
) -> tables.Row:
    """Pick by the flow's hash modulo the number of usable rows."""
    return rows[xxhash.xxh3_64_intdigest(flow) % len(rows)]


def choose_by_rendezvous(
    state: Baseline, service: str, flow: bytes, rows: list[tables.Row]
) -> tables.Row:
    """Pick by weighted rendezvous, a form of consistent hashing."""
    return max(
        rows,
        key=lambda row: hashing.score_choice(
            flow, hashing.Choice(row.upstream, row.weight)
        ),
    )


def choose_in_turn(
    state: Baseline, service: str, flow: bytes, rows: list[tables.Row]
) -> tables.Row:
    """Pick the next row in turn, whatever its weight."""
    state.turn += 1
    return rows[state.turn % len(rows)]
