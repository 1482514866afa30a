"""Measure the decision core on one CPU core: packet rates, openings and memory."""

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
    """One measured value and the target that it has to reach."""

    name: str
    value: float
    unit: str
    target: str


def build_node(owners: abc.Sequence[str]) -> node.Node:
    """Return a node whose ports and limits do not bound the flows held."""
    config = settings.Settings(
        OWNERS[0], "riga-a", ports_per_upstream=FLOWS * 2 // HOSTS
    )
    built = node.Node(config, 1)
    built.peering.owners = tuple(hashing.Choice(name, 1.0) for name in owners)
    rows = tuple(
        tables.Row(f"booking-{host}", f"127.0.0.1:{20_000 + host}", "riga-a")._replace(
            connections=1_000_000
        )
        for host in range(HOSTS)
    )
    built.handle(events.TableReceived(tables.Table(SERVICE, 1, rows)), 0.0)
    built.handle(events.Tick(), 0.0)
    return built


def build_key(number: int) -> bytes:
    """Return the packed address and port of a caller."""
    return b"\x0a" + number.to_bytes(5, "big")


def open_flows(built: node.Node, count: int, flows_per_s: float) -> None:
    """Open flows at a simulated rate, each answered after 5 ms."""
    opening = events.PacketKind.OPENING
    for number in range(count):
        now = number / flows_per_s
        if number % int(flows_per_s / 10) == 0:
            built.handle(events.Tick(), now)
        packet = events.CallerPacket(SERVICE, build_key(number), opening, number + 1)
        (action,) = built.handle(packet, now)
        if isinstance(action, events.SendUpstream):
            answer = events.UpstreamPacket(SERVICE, action.upstream, action.port)
            built.handle(answer, now + 0.005)


def measure_rate(built: node.Node, packets: abc.Sequence[events.Event]) -> float:
    """Return how many events a node handles per second of CPU time."""
    gc.collect()
    begin = time.process_time()
    for packet in packets:
        built.handle(packet, 100.0)
    return len(packets) / (time.process_time() - begin)


def measure_openings() -> Figure:
    """Measure the placement of new flows, with ticks, up to the flows held."""
    built = build_node(OWNERS[:1])
    begin = time.process_time()
    open_flows(built, OPENINGS, 5_000.0)
    rate = OPENINGS / (time.process_time() - begin)
    return Figure("new flows", rate, "flows/s", "5000")


def measure_memory(built: node.Node) -> Figure:
    """Measure the memory of flows held, with their keys and port slots."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    open_flows(built, FLOWS, 30_000.0)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    count = len(built.services[SERVICE].flow_table.flows)
    return Figure(f"memory at {count} flows", held / count, "bytes/flow", "300 or less")


def build_data(count: int) -> list[events.Event]:
    """Return data packets of held flows in a scattered order."""
    data = events.PacketKind.DATA
    return [
        events.CallerPacket(SERVICE, build_key(number * 7_919 % FLOWS), data)
        for number in range(count)
    ]


def build_answers(built: node.Node, count: int) -> list[events.Event]:
    """Return upstream packets of held flows."""
    held = list(built.services[SERVICE].flow_table.flows.values())
    return [
        events.UpstreamPacket(
            SERVICE, held[number * 7_919 % FLOWS].upstream.name, flow.port
        )
        for number in range(count)
        if (flow := held[number * 7_919 % FLOWS])
    ]


def measure_ticks(built: node.Node) -> abc.Iterator[Figure]:
    """Measure ticks, idle and while a table change is worked through."""
    yield Figure("longest idle tick", _time_ticks(built, 100) * 1e3, "ms", "-")
    newest = built.services[SERVICE].generations.newest
    rows = [row._replace(weight=0.5) for row in newest.rows.values()][:1]
    rows += list(newest.rows.values())[1:]
    edited = tables.Table(SERVICE, newest.version + 1, tuple(rows))
    begin = time.process_time()
    built.handle(events.TableReceived(edited), 101.0)
    spent_s = time.process_time() - begin
    yield Figure("table change", spent_s * 1e3, "ms", "-")
    longest_s = _time_ticks(built, 200)
    yield Figure("longest tick after a table change", longest_s * 1e3, "ms", "-")


def _time_ticks(built: node.Node, count: int) -> float:
    longest_s = 0.0
    for _ in range(count):
        begin = time.process_time()
        built.handle(events.Tick(), 101.0)
        longest_s = max(longest_s, time.process_time() - begin)
    return longest_s


def measure_core() -> abc.Iterator[Figure]:
    """Yield the figures of the decision core."""
    yield measure_openings()
    built = build_node(OWNERS[:1])
    yield measure_memory(built)
    built.handle(events.Tick(), 100.0)
    target = "50000"
    data = build_data(PACKETS)
    yield Figure("known-flow data", measure_rate(built, data), "packets/s", target)
    answers = build_answers(built, PACKETS)
    rate = measure_rate(built, answers)
    yield Figure("known-flow responses", rate, "packets/s", target)
    relay_node = build_node(OWNERS[1:])
    relayed = measure_rate(relay_node, data[: PACKETS // 4])
    yield Figure("relay to one of 7 owners", relayed, "packets/s", target)
    yield from measure_ticks(built)


def main() -> None:
    """Print all figures."""
    for figure in measure_core():
        print(
            f"{figure.name:36} {figure.value:12.1f} {figure.unit:10} "
            f"target {figure.target}"
        )


if __name__ == "__main__":
    main()
