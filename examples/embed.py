"""Embed the core library: three balancers on a simulated clock, without sockets.

Run it with `PYTHONPATH=src python examples/embed.py [SEED]`.
"""

import collections
import sys
import typing

from pistachioshed.core import events, node, settings, tables

SERVICE: typing.Final = "booking"
NAMES: typing.Final = ("entry-1", "entry-2", "entry-3")
TICK_S: typing.Final = 0.1
SETTLE_S: typing.Final = 8.0
FLOWS: typing.Final = 60


class Simulation:
    """Pass events to the nodes, deliver their messages and count the traffic."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.control_bytes: collections.Counter[str] = collections.Counter()
        self.nodes: dict[str, node.Node] = {}
        for number, name in enumerate(NAMES):
            config = settings.Settings(name, "riga-a", key=b"an example's key")
            self.nodes[name] = node.Node(config, seed + number)

    def handle(self, name: str, event: events.Event) -> list[events.Action]:
        """Pass an event to a node, deliver its messages, return its other actions."""
        other_actions: list[events.Action] = []
        for action in self.nodes[name].handle(event, self.now):
            if isinstance(action, events.SendPeer):
                # Control messages are encoded as bytes, so that traffic can be counted.
                self.control_bytes[name] += len(action.payload)
                if action.peer in self.nodes:
                    self.handle(action.peer, events.PeerMessage(name, action.payload))
            elif not isinstance(action, events.Notice):
                other_actions.append(action)
        return other_actions

    def advance(self, seconds: float) -> None:
        """Advance the simulated clock; the core never reads a clock itself."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for name in list(self.nodes):
                self.handle(name, events.Tick())

    def send(self, packet: events.CallerPacket) -> tuple[str, events.SendUpstream]:
        """Pass a caller's packet to a node; return the flow's owner and its action."""
        names = sorted(self.nodes)
        name = names[packet.flow[-1] % len(names)]
        (action,) = self.handle(name, packet)
        if isinstance(action, events.SendOwner):
            relayed = events.RelayedPacket(name, *packet)
            name = action.peer
            (action,) = self.handle(name, relayed)
        assert isinstance(action, events.SendUpstream), action
        return name, action


class ExampleResult(typing.NamedTuple):
    """Flow placements, flows moved and control traffic of a run."""

    placed: dict[int, str]
    moved: int
    control_bytes: dict[str, int]
    seconds: float


def run_example(seed: int) -> ExampleResult:
    """Open flows on three nodes, stop one node and send data on every flow."""
    simulation = Simulation(seed)
    vms = tuple(events.Vm(name, "riga-a", f"{name}:1") for name in NAMES)
    rows = tuple(
        tables.Row(f"booking-{number}", f"127.0.0.1:{20_000 + number}", "riga-a")
        for number in range(4)
    )
    for name in NAMES:
        simulation.handle(name, events.VmsReceived(vms))
        simulation.handle(name, events.TableReceived(tables.Table(SERVICE, 1, rows)))
    simulation.advance(SETTLE_S)
    placed: dict[int, str] = {}
    for number in range(FLOWS):
        opening = events.PacketKind.OPENING
        packet = events.CallerPacket(SERVICE, bytes([number]), opening, number + 1)
        owner, action = simulation.send(packet)
        placed[number] = action.upstream
        response = events.UpstreamPacket(SERVICE, action.upstream, action.port)
        simulation.handle(owner, response)
    simulation.advance(2.0)
    del simulation.nodes[NAMES[0]]
    simulation.advance(6.0)
    moved = 0
    for number, upstream in placed.items():
        data = events.PacketKind.DATA
        packet = events.CallerPacket(SERVICE, bytes([number]), data)
        moved += simulation.send(packet)[1].upstream != upstream
    return ExampleResult(placed, moved, dict(simulation.control_bytes), simulation.now)


def main() -> None:
    """Run the example and print its result."""
    result = run_example(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
    shares = collections.Counter(result.placed.values())
    print(f"{FLOWS} flows placed: {dict(sorted(shares.items()))}")
    print(f"after {NAMES[0]} stopped, {result.moved} flows reached another upstream")
    for name, size in sorted(result.control_bytes.items()):
        print(f"{name}: {size / result.seconds:.0f} control bytes/s")


if __name__ == "__main__":
    main()
