"""A test fleet of nodes that exchange messages without delay on a simulated clock."""

import typing
from collections import abc

from pistachioshed.core import events, node, settings, tables

SERVICE: typing.Final = "booking"
FIRST: typing.Final = "balancer-1"
TICK_S: typing.Final = 0.1


class Fleet:
    """Nodes by name; `notices` and `finished` collect the actions of these types."""

    def __init__(
        self,
        table: tables.Table,
        size: int = 1,
        spare: int = 0,
        **changes: typing.Any,
    ) -> None:
        self.now = 1_000.0
        self.nodes: dict[str, node.Node] = {}
        self.notices: list[events.Notice] = []
        self.finished: list[str] = []
        self.table = table
        self.changes = changes
        names = [f"balancer-{number + 1}" for number in range(size + spare)]
        self.vms = tuple(events.Vm(name, "riga-a", f"{name}:1") for name in names)
        for name in names[:size]:
            self.start(name)
        self.advance(8.0)

    def start(self, name: str) -> None:
        """Start a node that knows the table and the VM list."""
        config = settings.Settings(name, "riga-a", key=b"key")
        self.nodes[name] = node.Node(config._replace(**self.changes), len(self.nodes))
        self.handle(name, events.VmsReceived(self.vms))
        self.handle(name, events.TableReceived(self.table))

    def edit(self, table: tables.Table) -> None:
        """Put a table in force everywhere."""
        self.table = table
        for name in list(self.nodes):
            self.handle(name, events.TableReceived(table))

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps of one tick."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for name in list(self.nodes):
                self.handle(name, events.Tick())

    def handle(self, name: str, event: events.Event) -> list[events.Action]:
        """Pass an event to a node; deliver its messages, return its other actions."""
        rest: list[events.Action] = []
        for action in self.nodes[name].handle(event, self.now):
            if isinstance(action, events.SendPeer):
                if action.peer in self.nodes:
                    message = events.PeerMessage(name, action.payload)
                    self.handle(action.peer, message)
            elif isinstance(action, events.Notice):
                self.notices.append(action)
            elif isinstance(action, events.Finished):
                self.finished.append(name)
            else:
                rest.append(action)
        return rest

    def send(self, name: str, packet: events.CallerPacket) -> tuple[str, events.Action]:
        """Deliver a caller's packet; return the node that handled it and its action."""
        (action,) = self.handle(name, packet)
        hops = 0
        while isinstance(action, events.SendOwner):
            hops += 1
            assert hops <= 2, f"packet relayed {hops} times"
            relayed = events.RelayedPacket(name, *packet)
            name = action.peer
            (action,) = self.handle(name, relayed)
        return name, action

    def open(
        self, numbers: abc.Iterable[int], name: str = FIRST
    ) -> dict[int, tuple[str, events.SendUpstream]]:
        """Open flows and return the owner and the upstream action of each."""
        placed = {}
        for number in numbers:
            owner, action = self.send(name, build_opening(number))
            assert isinstance(action, events.SendUpstream), action
            placed[number] = owner, action
            answer = events.UpstreamPacket(SERVICE, action.upstream, action.port)
            self.handle(owner, answer)
        return placed

    def find_upstreams(self, numbers: abc.Iterable[int]) -> dict[int, str]:
        """Send a data packet of each flow and return the upstreams reached."""
        reached = {}
        for number in numbers:
            name = list(self.nodes)[number % len(self.nodes)]
            _, action = self.send(name, build_data(number))
            assert isinstance(action, events.SendUpstream), action
            reached[number] = action.upstream
        return reached


def build_opening(number: int, opening_id: int = 1) -> events.CallerPacket:
    """Return an opening of a numbered flow."""
    kind = events.PacketKind.OPENING
    return events.CallerPacket(SERVICE, b"flow-%d" % number, kind, opening_id)


def build_data(number: int) -> events.CallerPacket:
    """Return a data packet of a numbered flow."""
    kind = events.PacketKind.DATA
    return events.CallerPacket(SERVICE, b"flow-%d" % number, kind)


def replace_row(table: tables.Table, index: int, **changes: typing.Any) -> tables.Table:
    """Return the next version of a table with one row changed."""
    rows = list(table.rows)
    rows[index] = rows[index]._replace(**changes)
    return table._replace(version=table.version + 1, rows=tuple(rows))
