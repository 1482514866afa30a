"""Compare one balancer's throughput with that of a bare Twisted UDP relay.

Both forward the same closed-loop load, in alternating runs: flows of 1,200-byte
datagrams that an upstream echoes. The figure is forwarded datagrams per second,
requests and responses together.
"""

import json
import pathlib
import selectors
import socket
import statistics
import sys
import tempfile
import time
import typing

import typer
from aioquic.quic import configuration, connection
from twisted.internet import protocol

from pistachioshed.adapters import reactors
from pistachioshed.core import tables
from tools import feeder, fleet, layouts, processes

Address = tuple[str, int]
GOAL: typing.Final = 0.5
FLOWS: typing.Final = 32
WINDOW: typing.Final = 4
SETTLE_S: typing.Final = 4.0
PAYLOAD: typing.Final = b"\x40" + bytes(1199)
LAYOUT: typing.Final = layouts.KRASOTAVA._replace(
    name="bench",
    services=(layouts.Service("booking", 1, "requests"),),
    base=23_000,
)
RELAY_ADDRESS: typing.Final = ("127.0.0.1", 23_900)


class Back(protocol.DatagramProtocol):
    """The relay's socket of one caller."""

    transport: typing.Any
    noisy = False

    def __init__(self, front: "Front", caller: Address) -> None:
        self.front = front
        self.caller = caller

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Return a datagram."""
        self.front.transport.write(datagram, self.caller)


class Front(protocol.DatagramProtocol):
    """A relay with one socket per caller and no decision at all."""

    transport: typing.Any
    noisy = False

    def __init__(self, reactor: typing.Any, upstream: Address) -> None:
        self.reactor = reactor
        self.upstream = upstream
        self.backs: dict[Address, Back] = {}

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Forward a datagram."""
        back = self.backs.get(addr)
        if back is None:
            back = self.backs[addr] = Back(self, addr)
            self.reactor.listenUDP(0, back, interface="127.0.0.1")
        back.transport.write(datagram, self.upstream)


def run_relay(upstream: Address) -> None:
    """Run the bare relay until it is ended."""
    _, reactor = reactors.install_reactor()
    host, port = RELAY_ADDRESS
    reactor.listenUDP(port, Front(reactor, upstream), interface=host)
    print('"ready"', flush=True)
    reactor.run()


def run_echo(address: Address) -> None:
    """Echo datagrams until the process is ended."""
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind(address)
    print('"ready"', flush=True)
    while True:
        data, source = server.recvfrom(2048)
        server.sendto(data, source)


def make_opening(address: Address) -> bytes:
    """Return a client's first datagram."""
    settings = configuration.QuicConfiguration(is_client=True, alpn_protocols=["h3"])
    quic = connection.QuicConnection(configuration=settings)
    quic.connect(address, now=time.monotonic())
    return quic.datagrams_to_send(now=time.monotonic())[0][0]


def measure_rate(address: Address, seconds: float) -> float:
    """Return the forwarded datagrams per second of a window-limited load."""
    selector = selectors.DefaultSelector()
    flows = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(FLOWS)]
    for flow in flows:
        flow.connect(address)
        flow.send(make_opening(address))
        selector.register(flow, selectors.EVENT_READ)
    time.sleep(0.2)
    for flow in flows:
        flow.setblocking(False)
        for _ in range(WINDOW):
            flow.send(PAYLOAD)
    answered = 0
    start_s = time.perf_counter()
    end_s = start_s + seconds
    while time.perf_counter() < end_s:
        ready = selector.select(0.1)
        if not ready:
            for flow in flows:
                flow.send(PAYLOAD)
        for key, _ in ready:
            flow = typing.cast(socket.socket, key.fileobj)
            for _ in range(WINDOW):
                try:
                    flow.recv(2048)
                except BlockingIOError:
                    break
                answered += 1
                flow.send(PAYLOAD)
    elapsed_s = time.perf_counter() - start_s
    for flow in flows:
        flow.close()
    return 2 * answered / elapsed_s


def run(
    runs: typing.Annotated[int, typer.Option(help="Alternating runs.")] = 5,
    seconds: typing.Annotated[float, typer.Option(help="Length of a run.")] = 2.0,
    role: typing.Annotated[str, typer.Option(hidden=True)] = "",
) -> None:
    """Print the rates, their ratios and the median ratio."""
    table = LAYOUT.build_table(0)
    upstream = tables.parse_address(table.rows[0].address)
    if role:
        {"relay": run_relay, "echo": run_echo}[role](upstream)
        return
    with tempfile.TemporaryDirectory(prefix="bench") as directory:
        supervisor = processes.Supervisor(pathlib.Path(directory))
        control = feeder.Feeder([LAYOUT.find_control(0)])
        try:
            for name in ("echo", "relay"):
                supervisor.start(name, "tools.bench_udp", ["--role", name])
                supervisor.wait_for_line(name, "ready", 10)
            balancers = fleet.Fleet(LAYOUT, supervisor, balancers=1)
            balancers.start_balancers()
            end_s = time.monotonic() + SETTLE_S
            while time.monotonic() < end_s:
                control.send([table], balancers.vms)
                time.sleep(0.5)
            listener = tables.parse_address(LAYOUT.find_listener(0, 0))
            pairs = [
                (measure_rate(RELAY_ADDRESS, seconds), measure_rate(listener, seconds))
                for _ in range(runs)
            ]
        finally:
            control.close()
            supervisor.stop_all()
    ratios = [balancer / relay for relay, balancer in pairs]
    result = {
        "relay": [round(relay) for relay, _ in pairs],
        "balancer": [round(balancer) for _, balancer in pairs],
        "ratios": [round(ratio, 3) for ratio in ratios],
        "median": round(statistics.median(ratios), 3),
        "range": [round(min(ratios), 3), round(max(ratios), 3)],
        "goal": GOAL,
    }
    print(json.dumps(result))
    sys.exit(0 if result["median"] >= GOAL else 1)  # type: ignore[operator]


if __name__ == "__main__":
    typer.run(run)
