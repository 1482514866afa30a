"""Measure control traffic, detection times and bytes per override.

The nodes run in this process, on a fake network.
"""

import itertools
import statistics
import sys
import typing
from collections import abc

from pistachioshed.core import hashing
from tests import fakes

SERVICE: typing.Final = "booking"
SEEDS: typing.Final = 24
IDLE_S: typing.Final = 20.0


def build_network(seed: int, count: int) -> fakes.Network:
    """Return a fleet as if its members had joined one after the other."""
    network = fakes.Network(seed, count)
    for peer in network.start_all(0.0):
        # Members that start together would piggyback each other's changes for a while.
        peer.lifecycle.machine.activate(0.0)
    network.run(5.0)
    for peer in network.peers.values():
        peer.membership.gossip_queue.sends_left.clear()
    return network


def measure_idle_rate(count: int) -> float:
    """Return the bytes per second that each node sends while nothing changes."""
    network = build_network(1, count)
    network.run(10.0)
    for peer in network.peers.values():
        peer.membership.gossip_queue.sends_left.clear()
    network.sent_bytes.clear()
    network.run(IDLE_S)
    return sum(network.sent_bytes.values()) / IDLE_S / count


def measure_death(seed: int, count: int) -> tuple[float, float]:
    """Return the seconds until the first and the last node remove a dead one."""
    network = build_network(seed, count)
    network.run(network.rng.random())
    died_at = network.now
    del network.peers["entry-001"]
    rest = tuple(network.peers)
    network.run(30.0, lambda: network.agree(rest, rest))
    detection_times_s = [
        peer.membership.view_changed_at - died_at for peer in network.peers.values()
    ]
    return min(detection_times_s), max(detection_times_s)


def measure_view_change(seed: int, count: int) -> float:
    """Return the seconds from an announcement to the last node's view change."""
    network = build_network(seed, count)
    network.run(network.rng.random())
    leaver = network.peers["entry-001"]
    leaver.membership.announce("leaving", network.now)
    rest = tuple(name for name in network.peers if name != "entry-001")
    announced_at = network.now
    network.run(30.0, lambda: network.agree(rest, rest))
    return max(network.peers[n].membership.view_changed_at for n in rest) - announced_at


def measure_overrides(per_s: float, duration_s: float) -> tuple[float, float, int]:
    """Return bytes per override, bytes/s of the sender and the overrides pending.

    The bytes per override include acknowledgements. One node of 8 adds overrides of
    7 upstreams at a steady rate.
    """
    network = build_network(1, 8)
    network.sent_bytes.clear()
    replicator = network.peers["entry-000"].replicator
    flows = itertools.count()
    count = 0
    for tick in range(int(duration_s / fakes.TICK_S)):
        while count < per_s * (tick + 1) * fakes.TICK_S:
            flow = hashing.hash_name(str(next(flows))).to_bytes(8, "big")[:6]
            replicator.put(SERVICE, flow, f"booking-{count % 7}")
            count += 1
        network.run(fakes.TICK_S)
    pending = replicator.pending()
    total_bytes = sum(
        size for (_, kind), size in network.sent_bytes.items() if kind == "replication"
    )
    sender_bytes = network.sent_bytes["entry-000", "replication"]
    return total_bytes / max(1, count - pending), sender_bytes / duration_s, pending


def measure_edit(per_node: int) -> tuple[float, float]:
    """Return the peak bytes/s of any node during an edit, and the edit's duration.

    All 8 nodes add overrides and mark the generation complete at the same time.
    """
    network = build_network(1, 8)
    replicators = [peer.replicator for peer in network.peers.values()]
    for replicator in replicators:
        name = replicator.settings.name
        for number in range(per_node):
            flow = hashing.hash_name(f"{name}/{number}").to_bytes(8, "big")[:6]
            replicator.put(SERVICE, flow, f"booking-{number % 7}")
        replicator.mark_complete(SERVICE, 2)
    started_at = network.now
    peak_bytes_per_s = 0
    while not all(replicator.is_flushed() for replicator in replicators):
        network.sent_bytes.clear()
        network.run(1.0)
        for name in network.peers:
            message_kinds = ("membership", "replication")
            peak_bytes_per_s = max(
                peak_bytes_per_s,
                sum(network.sent_bytes[name, kind] for kind in message_kinds),
            )
    return peak_bytes_per_s, network.now - started_at


def format_range(values: abc.Iterable[float]) -> str:
    """Return the median and the range of values in seconds as text."""
    ordered = sorted(values)
    middle = statistics.median(ordered)
    return f"median {middle:.2f} s, {ordered[0]:.2f} to {ordered[-1]:.2f} s"


def main() -> int:
    """Print all figures."""
    for count in (8, 50, 200):
        print(f"idle, {count} nodes: {measure_idle_rate(count):.0f} bytes/s per node")
    for count, seeds in ((8, SEEDS), (50, SEEDS)):
        deaths = [measure_death(seed, count) for seed in range(seeds)]
        print(
            f"death, {count} nodes, first: {format_range(first for first, _ in deaths)}"
        )
        print(f"death, {count} nodes, last: {format_range(last for _, last in deaths)}")
        view_changes = [measure_view_change(seed, count) for seed in range(seeds)]
        print(f"state change, {count} nodes, last: {format_range(view_changes)}")
    for per_s in (5.0, 20.0, 100.0, 400.0):
        bytes_per_override, bytes_per_s, pending = measure_overrides(per_s, 60.0)
        print(
            f"{per_s:.0f} exceptions/s: {bytes_per_override:.1f} bytes each, "
            f"{bytes_per_s:.0f} bytes/s sent, {pending} pending after 60 s"
        )
    for per_node in (0, 300, 1_000):
        peak, duration_s = measure_edit(per_node)
        print(
            f"edit with {per_node} exceptions per node: at most {peak:.0f} bytes/s "
            f"per node, complete everywhere in {duration_s:.0f} s"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
