"""Measure control traffic between balancers and the time to join, by their number."""

import functools
import time
import typing
from collections import abc

from pistachioshed.core import gossipqueue, wire
from tests import fakes
from tools import control_figures, slopes_fit, slopes_scale

PEER_COUNTS: typing.Final = (8, 50, 200, 450)
SMALL_PEER_COUNTS: typing.Final = (8, 20, 50)
SETTLE_S: typing.Final = 0.3
IDLE_S: typing.Final = 3.0
DRAIN_LIMIT_S: typing.Final = 60.0
OVERRIDE_RUN_S: typing.Final = 20.0
JOIN_LIMIT_S: typing.Final = 20.0


class IdleCost(typing.NamedTuple):
    """Hold the traffic and processor time of a node while nothing changes."""

    bytes_per_s: float
    messages_per_s: float
    cpu_us_per_s: float


class CountingNetwork(fakes.Network):
    """Count the messages sent over the fake network."""

    messages = 0

    def _send(self, name: str, outgoing: typing.Any, at: float) -> None:
        self.messages += len(outgoing)
        super()._send(name, outgoing, at)


def build_network(count: int, spare: int = 0) -> CountingNetwork:
    """Return active members that know each other, with `spare` more not yet started.

    Each member learns of the others from one message, since hundreds of joins at the
    same time would take most of the run.
    """
    network = CountingNetwork(1, count + spare)
    for vm in network.vms[:count]:
        network.start(vm.name).lifecycle.machine.activate(0.0)
    claims = tuple(
        wire.Update(name, peer.membership.member_table.own_claim)
        for name, peer in network.peers.items()
    )
    for name, peer in network.peers.items():
        sender = next(update for update in claims if update.name != name)
        peer.membership.handle(sender.name, wire.Gossip(sender.claim, claims), 0.0)
        peer.membership.gossip_queue = gossipqueue.GossipQueue()
        peer.apply_view(0.0)
    network.run(SETTLE_S)
    for peer in network.peers.values():
        peer.membership.gossip_queue = gossipqueue.GossipQueue()
        # Without channels no session opens during an idle measurement, as in a group
        # whose nodes all have had open sessions to each other for a while.
        peer.replicator.sender.channels.clear()
    return network


@functools.cache
def measure_idle(count: int) -> IdleCost:
    """Measure a settled group; the processor time includes the fake network's."""
    network = build_network(count)
    network.sent_bytes.clear()
    network.messages = 0
    started_s = time.process_time()
    network.run(IDLE_S)
    cpu_us = (time.process_time() - started_s) * 1e6
    total_bytes = sum(network.sent_bytes.values())
    node_seconds = IDLE_S * count
    return IdleCost(
        total_bytes / node_seconds,
        network.messages / node_seconds,
        cpu_us / node_seconds,
    )


def open_sessions(network: CountingNetwork) -> None:
    """Open all replication sessions, then clear the byte counts."""
    for peer in network.peers.values():
        peer.replicator.set_view(peer.view, network.now)
    drain(network)
    network.sent_bytes.clear()


def drain(network: CountingNetwork) -> float:
    """Run until no replication is pending, at most the limit; return the seconds."""
    network.run(1.0)
    peers = network.peers.values()
    return 1.0 + network.run(
        DRAIN_LIMIT_S, lambda: all(not peer.replicator.pending() for peer in peers)
    )


@functools.cache
def measure_sessions(count: int) -> tuple[float, float]:
    """Return the seconds, and the bytes per node, to open sessions to all peers."""
    network = build_network(count)
    for peer in network.peers.values():
        peer.replicator.set_view(peer.view, network.now)
    seconds = drain(network)
    return seconds, count_replication(network) / count


@functools.cache
def measure_join(count: int) -> tuple[float, float]:
    """Return the seconds until a joining node is active, and the bytes of all nodes.

    The bytes include 2 s after the join; idle traffic is subtracted.
    """
    network = build_network(count, spare=1)
    open_sessions(network)
    joiner = network.start(network.vms[-1].name)
    seconds = network.run(JOIN_LIMIT_S, lambda: joiner.lifecycle.state == "active")
    network.run(2.0)
    idle_bytes = measure_idle(count).bytes_per_s * count * (seconds + 2.0)
    return seconds, sum(network.sent_bytes.values()) - idle_bytes


@functools.cache
def measure_edit(count: int) -> float:
    """Return the replication bytes per node for one edit of a service."""
    network = build_network(count)
    open_sessions(network)
    for peer in network.peers.values():
        peer.replicator.mark_complete("booking", 2)
    drain(network)
    return count_replication(network) / count


def count_replication(network: CountingNetwork) -> int:
    """Return the replication bytes sent by all nodes."""
    return sum(
        size for (_, kind), size in network.sent_bytes.items() if kind == "replication"
    )


def list_series() -> abc.Iterator[slopes_fit.Series]:
    """Yield the series of control traffic, joins and membership processing."""
    scale, series = slopes_scale, slopes_fit.Series
    budget = scale.CONTROL_BUDGET_BYTES_PER_S

    def collect_samples(
        sizes: abc.Iterable[float], measure: abc.Callable[[typing.Any], float]
    ) -> tuple[slopes_fit.Sample, ...]:
        return tuple(slopes_fit.Sample(size, (measure(size),)) for size in sizes)

    samples = collect_samples(PEER_COUNTS, lambda n: measure_idle(n).bytes_per_s)
    for target in (scale.NODES_PER_GROUP, scale.NODES_PER_REGION, scale.NODES):
        yield series("control bytes, idle", "peers", "B/s", samples, target, budget)
    samples = collect_samples(PEER_COUNTS, lambda n: measure_idle(n).messages_per_s)
    yield series(
        "membership messages sent", "peers", "1/s", samples, scale.NODES_PER_GROUP
    )
    samples = collect_samples(SMALL_PEER_COUNTS, lambda n: measure_sessions(n)[0])
    for target in (scale.NODES_PER_GROUP, scale.NODES_PER_REGION):
        yield series("all replication sessions open", "peers", "s", samples, target)
    samples = collect_samples(SMALL_PEER_COUNTS, lambda n: measure_sessions(n)[1])
    yield series(
        "bytes to open them, a node", "peers", "B", samples, scale.NODES_PER_GROUP
    )
    samples = collect_samples(SMALL_PEER_COUNTS, measure_edit)
    for target in (scale.NODES_PER_GROUP, scale.NODES_PER_REGION):
        yield series("control bytes of an edit", "peers", "B", samples, target)
    samples = collect_samples(
        (2.0, 5.0, 10.0),
        lambda n: control_figures.measure_overrides(n, OVERRIDE_RUN_S)[1],
    )
    overrides_per_s = scale.NEW_FLOWS_PER_NODE_S / 10
    yield series(
        "control bytes for exceptions",
        "exceptions/s",
        "B/s",
        samples,
        overrides_per_s,
        budget,
    )
    samples = collect_samples(SMALL_PEER_COUNTS, lambda n: measure_join(n)[0])
    yield series("join until owner", "peers", "s", samples, scale.NODES_PER_GROUP)
    samples = collect_samples(SMALL_PEER_COUNTS, lambda n: measure_join(n)[1])
    yield series(
        "bytes of a join, all nodes", "peers", "B", samples, scale.NODES_PER_GROUP
    )
    samples = collect_samples(PEER_COUNTS, lambda n: measure_idle(n).cpu_us_per_s)
    second_budget_us = scale.CORE_SHARE_BUDGET * 1e6
    for target in (scale.NODES_PER_GROUP, scale.NODES_PER_REGION):
        yield series(
            "membership per node and second, with the fake network",
            "peers", "us", samples, target, second_budget_us, True,
        )  # fmt: skip
