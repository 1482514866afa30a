"""Compare one balancer's throughput with that of a bare Twisted UDP relay.

Both forward the same closed-loop load in alternating runs: flows of 1,200-byte
datagrams that an upstream echoes. Reports forwarded datagrams, requests and responses
together, per second and per second of processor time.
"""

import os
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
from pistachioshed.core import addresses
from tools import fakecontrol, fleet, layouts, processes

Address = tuple[str, int]
MIN_RATE_RATIO: typing.Final = 0.5
# A single load process can't saturate a relay.
LOAD_PROCESSES: typing.Final = 3
FLOWS_PER_PROCESS: typing.Final = 16
START_DELAY_S: typing.Final = 2.0
WINDOW_DATAGRAMS: typing.Final = 4
SETTLE_S: typing.Final = 4.0
PAYLOAD: typing.Final = b"\x40" + bytes(1199)
LAYOUT: typing.Final = layouts.KRASOTAVA._replace(
    name="bench",
    services=(layouts.Service("booking", 1, "requests"),),
)
RELAY_PORT_OFFSET: typing.Final = 900


class Rates(typing.NamedTuple):
    """Hold datagrams per second and per processor second, and the share of a core."""

    per_s: float
    per_processor_s: float
    core_share: float


class CallerSocket(protocol.DatagramProtocol):
    """Receive the upstream's responses for one caller of the relay."""

    transport: typing.Any
    noisy = False

    def __init__(self, listener: "Front", caller: Address) -> None:
        self.listener = listener
        self.caller = caller

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Send a response from the upstream to the caller."""
        self.listener.transport.write(datagram, self.caller)


class Front(protocol.DatagramProtocol):
    """Relay datagrams to one upstream, with one socket per caller and no placement."""

    transport: typing.Any
    noisy = False

    def __init__(self, reactor: typing.Any, upstream: Address) -> None:
        self.reactor = reactor
        self.upstream = upstream
        self.caller_sockets: dict[Address, CallerSocket] = {}

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Forward a caller's datagram to the upstream."""
        caller_socket = self.caller_sockets.get(addr)
        if caller_socket is None:
            caller_socket = self.caller_sockets[addr] = CallerSocket(self, addr)
            self.reactor.listenUDP(0, caller_socket, interface="127.0.0.1")
        caller_socket.transport.write(datagram, self.upstream)


def run_relay(address: Address, upstream: Address) -> None:
    """Run the bare relay until the process is terminated."""
    _, reactor = reactors.install_reactor()
    host, port = address
    reactor.listenUDP(port, Front(reactor, upstream), interface=host)
    print('"ready"', flush=True)
    reactor.run()


def run_echo(address: Address) -> None:
    """Echo datagrams until the process is terminated."""
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind(address)
    print('"ready"', flush=True)
    while True:
        data, source = server.recvfrom(2048)
        server.sendto(data, source)


def make_opening(address: Address) -> bytes:
    """Return the first datagram of a QUIC client."""
    settings = configuration.QuicConfiguration(is_client=True, alpn_protocols=["h3"])
    quic = connection.QuicConnection(configuration=settings)
    quic.connect(address, now=time.monotonic())
    return quic.datagrams_to_send(now=time.monotonic())[0][0]


def run_load(address: Address, start_at_s: float, seconds: float) -> None:
    """Send a load with a limited window and print the number of responses."""
    selector = selectors.DefaultSelector()
    flows = [
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for _ in range(FLOWS_PER_PROCESS)
    ]
    for flow in flows:
        flow.connect(address)
        flow.send(make_opening(address))
        selector.register(flow, selectors.EVENT_READ)
    time.sleep(max(0.0, start_at_s - time.time()))
    for flow in flows:
        flow.setblocking(False)
        for _ in range(WINDOW_DATAGRAMS):
            flow.send(PAYLOAD)
    responses = 0
    end_s = time.perf_counter() + seconds
    while time.perf_counter() < end_s:
        ready = selector.select(0.1)
        if not ready:
            for flow in flows:
                flow.send(PAYLOAD)
        for key, _ in ready:
            flow = typing.cast(socket.socket, key.fileobj)
            for _ in range(WINDOW_DATAGRAMS):
                try:
                    flow.recv(2048)
                except BlockingIOError:
                    break
                responses += 1
                flow.send(PAYLOAD)
    print(responses, flush=True)


def read_processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_process(
    supervisor: processes.Supervisor,
    process_name: str,
    address: str,
    seconds: float,
) -> Rates:
    """Measure the rates of a running relay or balancer under load."""
    start_at_s = time.time() + START_DELAY_S
    names = [
        f"load-{process_name}-{start_at_s:.0f}-{number}"
        for number in range(LOAD_PROCESSES)
    ]
    for name in names:
        arguments = ["--role", "load", "--seconds", str(seconds)]
        arguments += ["--address", address, "--start-at", str(start_at_s)]
        supervisor.start(name, "tools.bench_udp", arguments)
    pid = supervisor.processes[process_name].pid
    time.sleep(max(0.0, start_at_s - time.time()))
    before_s = read_processor_s(pid)
    time.sleep(seconds)
    used_s = read_processor_s(pid) - before_s
    for name in names:
        supervisor.wait_for_end(name, 10)
    outputs = [supervisor.directory / f"{name}.out" for name in names]
    forwarded = 2 * sum(int(output.read_text()) for output in outputs)
    return Rates(forwarded / seconds, forwarded / used_s, used_s / seconds)


def run(
    runs: typing.Annotated[int, typer.Option(help="Alternating runs.")] = 5,
    seconds: typing.Annotated[float, typer.Option(help="Length of a run.")] = 2.0,
    role: typing.Annotated[str, typer.Option(hidden=True)] = "",
    address: typing.Annotated[str, typer.Option(hidden=True)] = "",
    upstream: typing.Annotated[str, typer.Option(hidden=True)] = "",
    start_at: typing.Annotated[float, typer.Option(hidden=True)] = 0.0,
) -> None:
    """Print the rates, their ratios and the median ratio."""
    if role == "load":
        run_load(addresses.parse_address(address), start_at, seconds)
    elif role == "relay":
        run_relay(addresses.parse_address(address), addresses.parse_address(upstream))
    elif role == "echo":
        run_echo(addresses.parse_address(address))
    else:
        with (
            tempfile.TemporaryDirectory(prefix="bench") as directory,
            layouts.reserve_ports(LAYOUT) as layout,
        ):
            median_ratio = run_comparison(
                layout, pathlib.Path(directory), runs, seconds
            )
        sys.exit(0 if median_ratio >= MIN_RATE_RATIO else 1)


def run_comparison(
    layout: layouts.Layout,
    directory: pathlib.Path,
    runs: int,
    seconds: float,
) -> float:
    """Print the rates of alternating runs; return the median ratio of `per_s`."""
    supervisor = processes.Supervisor(directory)
    table = layout.build_table(0)
    upstream = table.rows[0].address
    relay_address = f"127.0.0.1:{layout.base_port + RELAY_PORT_OFFSET}"
    control = fakecontrol.FakeControlProcesses([layout.find_control_link(0)])
    try:
        for role, address in (("echo", upstream), ("relay", relay_address)):
            arguments = ["--role", role, "--address", address, "--upstream", upstream]
            supervisor.start(role, "tools.bench_udp", arguments)
            supervisor.wait_for_line(role, "ready", 10)
        balancers = fleet.Fleet(layout, supervisor, balancer_count=1)
        balancers.start_balancers()
        end_s = time.monotonic() + SETTLE_S
        while time.monotonic() < end_s:
            control.send([table], balancers.vms)
            time.sleep(0.5)
        name = balancers.get_process_name(balancers.vms[0].name)
        pairs = [
            (
                measure_process(supervisor, "relay", relay_address, seconds),
                measure_process(supervisor, name, layout.find_listener(0, 0), seconds),
            )
            for _ in range(runs)
        ]
    finally:
        control.close()
        supervisor.stop_all()
    for relay, balancer in pairs:
        print(f"relay {format_rates(relay)}; balancer {format_rates(balancer)}")
    median_ratio = 0.0
    for field in ("per_processor_s", "per_s"):
        ratios = [
            getattr(balancer, field) / getattr(relay, field)
            for relay, balancer in pairs
        ]
        median_ratio = statistics.median(ratios)
        print(f"{field}: {median_ratio:.2f} ({min(ratios):.2f} to {max(ratios):.2f})")
    print(f"goal: per_s at least {MIN_RATE_RATIO}")
    return median_ratio


def format_rates(rates: Rates) -> str:
    """Return rates as text."""
    return (
        f"{rates.per_s:,.0f}/s, {rates.per_processor_s:,.0f} per processor second, "
        f"{rates.core_share:.0%} of a core"
    )


if __name__ == "__main__":
    typer.run(run)
