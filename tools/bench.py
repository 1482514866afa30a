"""Measure packet rates, opening rates and memory of the decision core on one CPU."""

import gc
import time
import tracemalloc
import typing
from collections import abc

from pistachioshed.core import events, hashing, node, settings, tables

FLOWS: typing.Final = 300_000
PACKETS: typing.Final = 400_000
OPENINGS: typing.Final = 50_000
HOSTS: typing.Final = 10
SERVICE: typing.Final = "booking"
OWNERS: typing.Final = tuple(f"balancer-{number}" for number in range(1, 9))


class Figure(typing.NamedTuple):
    """Hold one measured value and its target."""

    name: str
    value: float
    unit: str
    target: str


def build_node(owners: abc.Sequence[str]) -> node.Node:
    """Return a node whose ports and connection limits don't limit the open flows."""
    config = settings.Settings(
        OWNERS[0], "riga-a", ports_per_upstream=FLOWS * 2 // HOSTS
    )
    balancer = node.Node(config, 1)
    balancer.peering.owners = tuple(hashing.Choice(name, 1.0) for name in owners)
    rows = tuple(
        tables.Row(f"booking-{host}", f"127.0.0.1:{20_000 + host}", "riga-a")._replace(
            connections=1_000_000
        )
        for host in range(HOSTS)
    )
    balancer.handle(events.TableReceived(tables.Table(SERVICE, 1, rows)), 0.0)
    balancer.handle(events.Tick(), 0.0)
    return balancer


def build_key(number: int) -> bytes:
    """Return the packed address and port of a numbered caller."""
    return b"\x0a" + number.to_bytes(5, "big")


def open_flows(balancer: node.Node, count: int, flows_per_s: float) -> None:
    """Open flows at a simulated rate, each with an upstream response after 5 ms."""
    opening = events.PacketKind.OPENING
    for number in range(count):
        now = number / flows_per_s
        if number % int(flows_per_s / 10) == 0:
            balancer.handle(events.Tick(), now)
        packet = events.CallerPacket(SERVICE, build_key(number), opening, number + 1)
        (action,) = balancer.handle(packet, now)
        if isinstance(action, events.SendUpstream):
            response = events.UpstreamPacket(SERVICE, action.upstream, action.port)
            balancer.handle(response, now + 0.005)


def measure_rate(balancer: node.Node, inputs: abc.Sequence[events.Event]) -> float:
    """Return how many events a node handles per second of CPU time."""
    gc.collect()
    started_s = time.process_time()
    for event in inputs:
        balancer.handle(event, 100.0)
    return len(inputs) / (time.process_time() - started_s)


def measure_openings() -> Figure:
    """Measure the rate of placing new flows, ticks included."""
    balancer = build_node(OWNERS[:1])
    started_s = time.process_time()
    open_flows(balancer, OPENINGS, 5_000.0)
    rate = OPENINGS / (time.process_time() - started_s)
    return Figure("new flows", rate, "flows/s", "5000")


def measure_memory(balancer: node.Node) -> Figure:
    """Measure the memory of open flows, with their keys and port slots."""
    gc.collect()
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    open_flows(balancer, FLOWS, 30_000.0)
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    count = len(balancer.services[SERVICE].flow_table.flows)
    return Figure(
        f"memory at {count} flows", held_bytes / count, "bytes/flow", "300 or less"
    )


def build_data_packets(count: int) -> list[events.Event]:
    """Return data packets of open flows in a scattered order."""
    data = events.PacketKind.DATA
    return [
        events.CallerPacket(SERVICE, build_key(number * 7_919 % FLOWS), data)
        for number in range(count)
    ]


def build_upstream_packets(balancer: node.Node, count: int) -> list[events.Event]:
    """Return upstream packets of open flows in a scattered order."""
    held_flows = list(balancer.services[SERVICE].flow_table.flows.values())
    return [
        events.UpstreamPacket(
            SERVICE, held_flows[number * 7_919 % FLOWS].upstream.name, flow.port
        )
        for number in range(count)
        if (flow := held_flows[number * 7_919 % FLOWS])
    ]


def measure_ticks(balancer: node.Node) -> abc.Iterator[Figure]:
    """Measure idle ticks, a table change and the ticks after it."""
    yield Figure("longest idle tick", _time_ticks(balancer, 100) * 1e3, "ms", "-")
    newest = balancer.services[SERVICE].generations.newest
    rows = [row._replace(weight=0.5) for row in newest.rows.values()][:1]
    rows += list(newest.rows.values())[1:]
    edited = tables.Table(SERVICE, newest.version + 1, tuple(rows))
    started_s = time.process_time()
    balancer.handle(events.TableReceived(edited), 101.0)
    cpu_s = time.process_time() - started_s
    yield Figure("table change", cpu_s * 1e3, "ms", "-")
    longest_s = _time_ticks(balancer, 200)
    yield Figure("longest tick after a table change", longest_s * 1e3, "ms", "-")


def _time_ticks(balancer: node.Node, count: int) -> float:
    longest_s = 0.0
    for _ in range(count):
        started_s = time.process_time()
        balancer.handle(events.Tick(), 101.0)
        longest_s = max(longest_s, time.process_time() - started_s)
    return longest_s


def measure_core() -> abc.Iterator[Figure]:
    """Yield the figures of the decision core."""
    yield measure_openings()
    balancer = build_node(OWNERS[:1])
    yield measure_memory(balancer)
    balancer.handle(events.Tick(), 100.0)
    target = "50000"
    data_packets = build_data_packets(PACKETS)
    yield Figure(
        "known-flow data", measure_rate(balancer, data_packets), "packets/s", target
    )
    responses = build_upstream_packets(balancer, PACKETS)
    rate = measure_rate(balancer, responses)
    yield Figure("known-flow responses", rate, "packets/s", target)
    relay_balancer = build_node(OWNERS[1:])
    relay_rate = measure_rate(relay_balancer, data_packets[: PACKETS // 4])
    yield Figure("relay to one of 7 owners", relay_rate, "packets/s", target)
    yield from measure_ticks(balancer)


def main() -> None:
    """Print all figures."""
    for figure in measure_core():
        print(
            f"{figure.name:36} {figure.value:12.1f} {figure.unit:10} "
            f"target {figure.target}"
        )


if __name__ == "__main__":
    main()
