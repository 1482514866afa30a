"""A provisional decision core without membership, load or health."""

import itertools

from pistachioshed.core import events, hashing, settings, tables


class Node:
    """Places flows on their home and owns every flow of the static fleet."""

    def __init__(self, core: settings.Settings, seed: int) -> None:
        self.core = core
        self.state = "active"
        self.tables: dict[str, tables.Table] = {}
        self.members: list[hashing.Choice] = [hashing.Choice(core.name, 1.0)]
        self.bound: dict[tuple[str, bytes], tuple[tables.Row, int]] = {}
        self.callers: dict[tuple[str, str, int], bytes] = {}
        self.ports: dict[str, itertools.count[int]] = {}

    @property
    def versions(self) -> dict[str, int]:
        """Return the version in force of each service."""
        return {name: table.version for name, table in self.tables.items()}

    @property
    def active_members(self) -> tuple[str, ...]:
        """Return the names of the static fleet."""
        return tuple(member.name for member in self.members)

    def count_flows(self, service: str) -> int:
        """Return the number of bound flows."""
        return sum(key[0] == service for key in self.bound)

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions for an event."""
        if isinstance(event, events.TableReceived):
            self.tables[event.table.service] = event.table
        elif isinstance(event, events.VmsReceived):
            self.members = [hashing.Choice(v.name, v.capacity) for v in event.vms]
        elif isinstance(event, events.CallerPacket):
            key = event.service.encode() + event.flow
            owner = hashing.rank_choices(key, self.members)[0]
            if owner != self.core.name:
                return [events.SendOwner(owner)]
            return self._forward(event)
        elif isinstance(event, events.RelayedPacket):
            return self._forward(event)
        elif isinstance(event, events.UpstreamPacket):
            flow = self.callers.get((event.service, event.upstream, event.port))
            if flow is None:
                return [events.DropPacket("no_flow")]
            return [events.SendCaller(event.service, flow)]
        elif isinstance(event, events.StopRequested):
            return [events.Finished()]
        return []

    def _forward(
        self,
        event: events.CallerPacket | events.RelayedPacket,
    ) -> list[events.Action]:
        key = (event.service, event.flow)
        if key not in self.bound:
            table = self.tables.get(event.service)
            if table is None:
                return [events.DropPacket("no_table")]
            rows = {r.upstream: r for r in table.rows if r.state == "active"}
            choices = [hashing.Choice(r.upstream, r.weight) for r in rows.values()]
            home = rows[hashing.rank_choices(event.flow, choices)[0]]
            port = next(self.ports.setdefault(home.upstream, itertools.count()))
            self.bound[key] = (home, port)
            self.callers[event.service, home.upstream, port] = event.flow
        row, port = self.bound[key]
        return [events.SendUpstream(event.service, row.upstream, row.address, port)]
