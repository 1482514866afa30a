"""The network in front of the balancers: sends each datagram to a random one.

Run as `python -m standins.fabric --service booking=127.0.0.1:9001
--balancer booking=entry-1=127.0.0.1:9101 --admin 127.0.0.1:9000`.
"""

import collections
import json
import random
import signal
import socket
import typing

import klein
import typer
from twisted.internet import protocol
from twisted.web import http, server

from pistachioshed.adapters import reactors
from standins import paths

Address = tuple[str, int]
FLOW_IDLE_TIMEOUT_S: typing.Final = 60.0
SWEEP_INTERVAL_S: typing.Final = 5.0
RECEIVE_BUFFER_BYTES: typing.Final = 4 * 1024 * 1024


class Flow(protocol.DatagramProtocol):
    """A caller's flow, with the socket that the balancers see as its source."""

    transport: typing.Any
    noisy = False

    def __init__(self, front: "Front", caller: Address) -> None:
        self.front = front
        self.caller = caller
        self.frozen = False
        self.last_used_s = 0.0

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Forward a balancer's datagram to the caller."""
        self.front.return_datagram(self, datagram, addr)


class Front(protocol.DatagramProtocol):
    """The listener at a service address, with the balancers behind it."""

    transport: typing.Any
    noisy = False

    def __init__(self, fabric: "Fabric", service: str) -> None:
        self.fabric = fabric
        self.service = service
        self.balancers: dict[str, Address] = {}
        self.names: dict[Address, str] = {}
        self.candidates: list[tuple[str, Address]] = []
        self.flows: dict[Address, Flow] = {}

    def add_balancer(self, name: str, address: Address) -> None:
        """Include a balancer in the random choice."""
        self.balancers[name] = address
        # Not deleted on removal, because a leaving balancer still returns packets.
        self.names[address] = name
        self.candidates = sorted(self.balancers.items())

    def remove_balancer(self, name: str) -> None:
        """Stop sending datagrams to a balancer."""
        self.balancers.pop(name, None)
        self.candidates = sorted(self.balancers.items())

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Send a caller's datagram to a random balancer."""
        flow = self.flows.get(addr)
        if flow is None:
            flow = self.fabric.open_flow(self, addr)
        flow.last_used_s = self.fabric.reactor.seconds()
        if flow.frozen or not self.candidates:
            self.fabric.counts["frozen" if flow.frozen else "unrouted"] += 1
            return
        name, address = self.fabric.rng.choice(self.candidates)
        self.fabric.counts["sent"] += 1
        self.fabric.forward_datagram(flow, datagram, address, name)

    def return_datagram(self, flow: Flow, datagram: bytes, addr: Address) -> None:
        """Forward a datagram to the caller if it came from a known balancer."""
        name = self.names.get(addr)
        if name is None or flow.frozen:
            self.fabric.counts["frozen" if flow.frozen else "stranger"] += 1
            return
        self.fabric.counts["returned"] += 1
        self.fabric.forward_datagram(self, datagram, flow.caller, name)


class Fabric:
    """All service listeners, with the network effects on their packets."""

    def __init__(self, reactor: typing.Any, seed: int) -> None:
        self.reactor = reactor
        self.rng = random.Random(seed)
        self.effects = paths.Effects()
        self.fronts: dict[str, Front] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    def open_front(self, service: str, address: Address) -> Front:
        """Listen at a service address."""
        front = Front(self, service)
        self.fronts[service] = front
        self._listen(front, address)
        return front

    def open_flow(self, front: Front, caller: Address) -> Flow:
        """Open a flow for a caller, with a socket of its own."""
        flow = Flow(front, caller)
        self._listen(flow, ("127.0.0.1", 0))
        front.flows[caller] = flow
        return flow

    def forward_datagram(
        self,
        endpoint: Flow | Front,
        datagram: bytes,
        address: Address,
        balancer: str,
    ) -> None:
        """Send a datagram, applying the network effects of its path."""
        if balancer in self.effects.cut:
            self.counts["cut"] += 1
            return
        for delay_s in paths.plan_delays(self.effects, self.rng):
            if delay_s > 0:
                self.reactor.callLater(
                    delay_s, self._write, endpoint, datagram, address
                )
            else:
                self._write(endpoint, datagram, address)

    def _write(self, endpoint: Flow | Front, datagram: bytes, address: Address) -> None:
        if endpoint.transport is None:
            return
        try:
            endpoint.transport.write(datagram, address)
        except OSError:
            self.counts["send_failed"] += 1

    def freeze_flows(self, share: float) -> int:
        """Drop all packets of a share of the open flows; return how many.

        The flows stay frozen until they close; new flows are not affected.
        """
        frozen = 0
        for front in self.fronts.values():
            for flow in front.flows.values():
                if self.rng.random() < share:
                    flow.frozen = True
                    frozen += 1
        return frozen

    def close_idle_flows(self) -> None:
        """Close flows whose caller has sent nothing for 60 s; run every 5 s."""
        now = self.reactor.seconds()
        for front in self.fronts.values():
            idle = [
                caller
                for caller, flow in front.flows.items()
                if now - flow.last_used_s > FLOW_IDLE_TIMEOUT_S
            ]
            for caller in idle:
                transport: typing.Any = front.flows.pop(caller).transport
                transport.stopListening()
        self.reactor.callLater(SWEEP_INTERVAL_S, self.close_idle_flows)

    def _listen(self, endpoint: Flow | Front, address: Address) -> None:
        self.reactor.listenUDP(address[1], endpoint, interface=address[0])
        handle = endpoint.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def make_app(fabric: Fabric) -> klein.Klein:
    """Return the HTTP application of a fabric's admin endpoint."""
    app = klein.Klein()

    @app.route("/status")
    def show_status(request: http.Request) -> bytes:
        flows = {name: len(front.flows) for name, front in fabric.fronts.items()}
        return json.dumps({"counts": fabric.counts, "flows": flows}).encode()

    @app.route("/effects", methods=["POST"])
    def set_effects(request: typing.Any) -> bytes:
        change = json.loads(request.content.read())
        if "cut" in change:
            change["cut"] = frozenset(change["cut"])
        fabric.effects = fabric.effects._replace(**change)
        return b"{}"

    @app.route("/freeze", methods=["POST"])
    def freeze_flows(request: typing.Any) -> bytes:
        change = json.loads(request.content.read())
        return json.dumps({"frozen": fabric.freeze_flows(change["share"])}).encode()

    @app.route("/balancers", methods=["POST"])
    def change_balancers(request: typing.Any) -> bytes:
        change = json.loads(request.content.read())
        front = fabric.fronts[change["service"]]
        for name, text in change.get("add", {}).items():
            front.add_balancer(name, parse_address(text))
        for name in change.get("remove", ()):
            front.remove_balancer(name)
        return b"{}"

    return app


def parse_address(text: str) -> Address:
    """Parse "ip:port" into an address."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def run(
    service: typing.Annotated[
        list[str],
        typer.Option(help="SERVICE=IP:PORT that callers use; repeatable."),
    ],
    balancer: typing.Annotated[
        list[str],
        typer.Option(help="SERVICE=NAME=IP:PORT of a balancer's listener; repeatable."),
    ],
    admin: typing.Annotated[str, typer.Option(help="IP:PORT of the admin endpoint.")],
    seed: typing.Annotated[int, typer.Option(help="Seed of the random generator.")] = 1,
    delay_ms: typing.Annotated[float, typer.Option(help="One-way delay in ms.")] = 0.0,
) -> None:
    """Run the fabric until SIGTERM."""
    loop, reactor = reactors.install_reactor()

    fabric = Fabric(reactor, seed)
    fabric.effects = paths.Effects(delay_s=delay_ms / 1_000)

    def start() -> None:
        for text in service:
            name, _, address = text.partition("=")
            fabric.open_front(name, parse_address(address))
        for text in balancer:
            name, balancer_name, address = text.split("=")
            fabric.fronts[name].add_balancer(balancer_name, parse_address(address))
        site = server.Site(make_app(fabric).resource())
        host, port = parse_address(admin)
        reactor.listenTCP(port, site, interface=host)
        fabric.close_idle_flows()
        print(json.dumps({"ready": "fabric"}), flush=True)

    loop.add_signal_handler(signal.SIGTERM, reactor.stop)
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    typer.run(run)
