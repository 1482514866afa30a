"""Measure memory and processor time of a balancer's decision core by size."""

import typing
from collections import abc

from pistachioshed.core import (
    events,
    hashing,
    link,
    membership,
    node,
    replication,
    settings,
    tables,
    wire,
)
from tools import slopes_fit, slopes_scale

SERVICE: typing.Final = "booking"
KEY: typing.Final = bytes(16)
PEER_COUNTS: typing.Final = (8, 50, 200, 450)
PACKETS: typing.Final = 2_000


def build_table(service: str, rows: int, version: int = 1) -> tables.Table:
    """Return a table whose first row changes its weight with each version."""
    # Addresses have to be unique across services, not only within one.
    subnet = int.from_bytes(hashing.hash_name(service).to_bytes(8, "big")[:2], "big")
    table_rows = tuple(
        tables.Row(
            f"{service}-{number}",
            f"10.{subnet >> 8}.{subnet & 255}.{number % 250}:{1_000 + number}",
            "riga-a",
            1.0 + (version % 2) * (number == 0),
            1_000_000,
        )
        for number in range(rows)
    )
    return tables.Table(service, version, table_rows, f"edit-{version}")


def build_services(rows: int) -> list[tables.Table]:
    """Return tables of the average size that hold about `rows` rows in total."""
    rows_per_service = slopes_scale.ROWS_PER_SERVICE
    count = max(1, round(rows / rows_per_service))
    return [build_table(f"s{number}", rows_per_service) for number in range(count)]


def build_vms(count: int) -> tuple[events.Vm, ...]:
    """Return a VM list of `count` VMs in 3 zones."""
    return tuple(
        events.Vm(f"entry-{number:04}", f"zone-{number % 3}", f"10.0.0.1:{number + 1}")
        for number in range(count)
    )


def build_node(rows: int = 10, peers: int = 1, ports: int = 30_000) -> node.Node:
    """Return a node that owns flows, in a group of `peers` members including itself."""
    config = settings.Settings(
        "entry-0000", "zone-0", key=KEY, ports_per_upstream=ports
    )
    balancer = node.Node(config, 1)
    balancer.handle(events.VmsReceived(build_vms(peers)), 0.0)
    balancer.peering.owners = tuple(
        hashing.Choice(vm.name, 1.0) for vm in build_vms(peers)
    )
    balancer.handle(events.TableReceived(build_table(SERVICE, rows)), 0.0)
    return balancer


def build_key(number: int) -> bytes:
    """Return the packed address and port of a numbered caller."""
    return b"\x0a" + number.to_bytes(5, "big")


def open_flows(balancer: node.Node, count: int) -> None:
    """Open flows, each with an upstream response 5 ms later."""
    for number in range(count):
        packet = events.CallerPacket(
            SERVICE, build_key(number), events.PacketKind.OPENING, number + 1
        )
        for action in balancer.handle(packet, 1.0):
            if isinstance(action, events.SendUpstream):
                response = events.UpstreamPacket(SERVICE, action.upstream, action.port)
                balancer.handle(response, 1.005)


def handle_all(balancer: node.Node, inputs: abc.Iterable[events.Event]) -> None:
    """Pass events to a node, all with the same time stamp."""
    for event in inputs:
        balancer.handle(event, 1.0)


def measure_flow_memory(count: int) -> tuple[float, ...]:
    """Return the bytes allocated for `count` open flows."""
    balancer = build_node()
    return slopes_fit.measure_allocated_bytes(lambda: open_flows(balancer, count))


def measure_row_memory(rows: int) -> tuple[float, ...]:
    """Return the bytes allocated for tables in force with all generations kept."""
    service_tables = build_services(rows)
    balancer = build_node()

    def apply() -> None:
        for version in range(1, balancer.config.generations_kept + 1):
            for table in service_tables:
                # Balancers decode each table received, so versions share no rows.
                update = link.Update(tables=(table._replace(version=version),))
                decoded = link.decode_update(link.encode_message(update))
                balancer.handle(events.TableReceived(decoded.tables[0]), 1.0)

    return slopes_fit.measure_allocated_bytes(apply)


def build_claims(count: int) -> tuple[wire.Update, ...]:
    """Return the claims of all peers, each an active member."""
    return tuple(
        wire.Update(vm.name, wire.Claim(1, 1, 0, 1_000)) for vm in build_vms(count)[1:]
    )


def build_membership(count: int) -> membership.Membership:
    """Return the membership of a node that knows its peers."""
    config = settings.Settings("entry-0000", "zone-0", key=KEY)
    member = membership.Membership(config, 1)
    member.update_vms(build_vms(count), 0.0)
    gossip = wire.Gossip(wire.Claim(1, 1, 0, 1_000), build_claims(count))
    member.handle("entry-0001", gossip, 0.0)
    member.gossip_queue.sends_left.clear()
    member.tick(0.1)
    return member


def measure_peer_memory(count: int) -> tuple[float, ...]:
    """Return the bytes allocated for a membership of `count` nodes."""
    return slopes_fit.measure_allocated_bytes(lambda: build_membership(count))


def measure_message_us(count: int) -> tuple[float, ...]:
    """Return the processor time to decode one ping and encode the response."""
    member = build_membership(count)
    ping = wire.Ping(
        7, member.member_table.compute_digest(), wire.Claim(1, 1, 0, 1_000)
    )
    payload = wire.encode("entry-0001", ping, KEY)

    def run() -> None:
        for _ in range(200):
            received = wire.decode(payload, KEY)
            for peer, message in member.handle(*received, 0.2):
                wire.encode(peer, message, KEY)

    return slopes_fit.measure_cpu_us(run, 200)


def measure_relay_us(count: int) -> tuple[float, ...]:
    """Return the processor time to relay a packet of a flow owned elsewhere."""
    balancer = build_node(peers=count)
    owners = balancer.peering.owners[1:]
    balancer.peering.owners = owners
    data = events.PacketKind.DATA
    packets = [
        events.CallerPacket(SERVICE, build_key(n), data) for n in range(PACKETS // 4)
    ]
    return slopes_fit.measure_cpu_us(
        lambda: handle_all(balancer, packets), len(packets)
    )


def measure_known_flow_us(count: int) -> tuple[float, ...]:
    """Return the processor time of a data packet of an open flow."""
    balancer = build_node()
    open_flows(balancer, count)
    data = events.PacketKind.DATA
    packets = [
        events.CallerPacket(SERVICE, build_key(n * 7_919 % count), data)
        for n in range(PACKETS * 5)
    ]
    return slopes_fit.measure_cpu_us(
        lambda: handle_all(balancer, packets), len(packets)
    )


def measure_new_flow_us(rows: int) -> tuple[float, ...]:
    """Return the processor time to place a new flow and handle its response."""
    return tuple(
        slopes_fit.measure_cpu_us(lambda: open_flows(balancer, PACKETS), PACKETS, 1)[0]
        for balancer in [build_node(rows) for _ in range(slopes_fit.RUNS_PER_SIZE)]
    )


def build_replicator(name: str) -> replication.Replicator:
    """Return a replicator whose view has two active members."""
    replicator = replication.Replicator(settings.Settings(name, "zone-0", key=KEY))
    members = tuple(membership.Member(vm.name, vm.zone, 1.0) for vm in build_vms(2))
    replicator.set_view(membership.View(1, members), 0.0)
    return replicator


def replicate(count: int) -> tuple[replication.Replicator, float]:
    """Replicate overrides between two nodes; return the receiver and the bytes sent."""
    sender, receiver = build_replicator("entry-0000"), build_replicator("entry-0001")
    sender.begin_flush(0.0)
    for number in range(count):
        sender.put(SERVICE, build_key(number), f"{SERVICE}-{number % 10}")
    now, sent_bytes = 0.0, 0
    while not sender.is_flushed():
        now += 0.1
        sender.begin_flush(now)
        outgoing = [("entry-0000", message_out) for message_out in sender.tick(now)]
        while outgoing:
            name, message_out = outgoing.pop()
            payload = wire.encode(name, message_out.message, KEY)
            sent_bytes += len(payload)
            peer = receiver if message_out.peer == "entry-0001" else sender
            message = wire.decode(payload, KEY).message
            outgoing += [
                (message_out.peer, reply) for reply in peer.handle(name, message, now)
            ]
    return receiver, float(sent_bytes)


def measure_received_override_memory(count: int) -> tuple[float, ...]:
    """Return the bytes allocated for received overrides."""
    return slopes_fit.measure_allocated_bytes(lambda: replicate(count)[0])


def measure_replication_us(count: int) -> tuple[float, ...]:
    """Return the processor time to replicate overrides, both nodes together."""
    return slopes_fit.measure_cpu_us(lambda: replicate(count), 1, 3)


def measure_table_us(rows: int) -> tuple[float, ...]:
    """Return the processor time to put one new version of a table in force."""
    balancer = build_node(rows)
    versions = iter(
        [build_table(SERVICE, rows, n + 2) for n in range(slopes_fit.RUNS_PER_SIZE)]
    )

    def run() -> None:
        balancer.handle(events.TableReceived(next(versions)), 1.0)

    return slopes_fit.measure_cpu_us(run, 1)


def measure_probe_us(rows: int) -> tuple[float, ...]:
    """Return the processor time to handle one probe result."""
    balancer = build_node(rows)
    probe = events.ProbeReported(SERVICE, f"{SERVICE}-1", True, load=0.5)
    return slopes_fit.measure_cpu_us(lambda: handle_all(balancer, [probe] * 500), 500)


def measure_tick_us(flows: int, rows: int) -> tuple[float, ...]:
    """Return the processor time of an idle tick."""
    balancer = build_node()
    for table in build_services(rows):
        balancer.handle(events.TableReceived(table), 0.0)
    open_flows(balancer, flows)
    for _ in range(20):
        balancer.handle(events.Tick(), 1.0)
    return slopes_fit.measure_cpu_us(
        lambda: handle_all(balancer, [events.Tick()] * 30), 30
    )


def measure_vm_list_us(count: int) -> tuple[float, ...]:
    """Return the processor time to decode and apply a VM list update."""
    balancer = build_node()
    payload = link.encode_message(link.Update(vms=build_vms(count)))

    def run() -> None:
        balancer.handle(events.VmsReceived(link.decode_update(payload).vms), 1.0)

    return slopes_fit.measure_cpu_us(run, 1)
