"""Measure bytes, store calls and processor time of the control process by size."""

import functools
import random
import typing

import msgspec

from pistachioshed.adapters import vmlist as vmlist_adapter
from pistachioshed.core import (
    controlevents,
    digests,
    distribution,
    events,
    link,
    tables,
)
from pistachioshed.operations import documents
from pistachioshed.operations import status as status_documents
from standins import vmlist
from tests import builders, controlfleet, tablestore
from tools import slopes_fit, slopes_scale

NODE_COUNTS: typing.Final = (8, 50, 200)
SERVICE_COUNTS: typing.Final = (2, 8, 32)
EDIT_RATES_PER_S: typing.Final = (0.2, 1.0, 2.0)
SETTLE_S: typing.Final = 6.0
IDLE_S: typing.Final = 10.0
OUTAGE_S: typing.Final = 20.0
# The fake store counts actions. GrantLease stands for three store calls: a read of the
# reporter key, a lease and a transaction.
CALLS_PER_ACTION: typing.Final = {"GrantLease": 3}


class Rates(typing.NamedTuple):
    """Hold rates per node: bytes per second in and out, store calls and probes.

    `calls_per_node_hour` is the zone's store calls per hour divided by its nodes.
    """

    mean_bytes_per_s: float
    max_bytes_per_s: float
    calls_per_node_hour: float
    probes_per_s: float


class Boot(typing.NamedTuple):
    """Hold the duration and the traffic of one node's boot in a running zone."""

    seconds: float
    bytes: float


def count_calls(store: tablestore.FakeStore) -> int:
    """Return the number of store calls so far."""
    return sum(
        count * CALLS_PER_ACTION.get(kind, 1) for kind, count in store.calls.items()
    )


def build_table(number: int, rows: int, version: int = 1) -> tables.Table:
    """Return the table of a numbered service."""
    return builders.build_table(f"service-{number:04}", rows, version)


def build_fleet(nodes: int, services: int, rows: int = 0) -> controlfleet.Fleet:
    """Return a settled zone; its tables have `rows` rows, by default the average."""
    fleet = controlfleet.Fleet(1, {"zone": nodes})
    for number in range(services):
        fleet.write(build_table(number, rows or slopes_scale.ROWS_PER_SERVICE))
    fleet.boot()
    fleet.run(SETTLE_S)
    return fleet


@functools.cache
def measure_idle(nodes: int, services: int) -> Rates:
    """Return the rates of a settled zone without edits."""
    return measure_rates(build_fleet(nodes, services), IDLE_S, 0.0)


def get_rate_by_nodes(services: int, field: str, nodes: int) -> float:
    """Return one rate of a settled zone, with the number of nodes as last argument."""
    rate: float = getattr(measure_idle(nodes, services), field)
    return rate


def get_rate_by_services(nodes: int, field: str, services: int) -> float:
    """Return one rate of a settled zone, with the number of services last."""
    return get_rate_by_nodes(services, field, nodes)


@functools.cache
def measure_edit_traffic(rate: float) -> Rates:
    """Return the rates of a zone of 8 nodes while a table is edited repeatedly."""
    return measure_rates(build_fleet(8, 2), IDLE_S, rate)


def measure_rates(
    fleet: controlfleet.Fleet, seconds: float, edits_per_s: float
) -> Rates:
    """Return the rates of a settled zone over some time, edited at a given rate."""
    fleet.bytes.clear()
    fleet.probed.clear()
    calls_before = count_calls(fleet.store)
    version = 1
    for step in range(round(seconds)):
        while version - 1 < edits_per_s * (step + 1):
            version += 1
            fleet.write(build_table(0, slopes_scale.ROWS_PER_SERVICE, version))
        fleet.run(1.0)
    node_count = len(fleet.nodes)
    calls_per_node_hour = (
        (count_calls(fleet.store) - calls_before) / seconds * 3_600 / node_count
    )
    bytes_per_s = [fleet.bytes[name] / seconds for name in fleet.nodes]
    probes_per_s = sum(fleet.probed.values()) / seconds / node_count
    return Rates(
        sum(bytes_per_s) / node_count,
        max(bytes_per_s),
        calls_per_node_hour,
        probes_per_s,
    )


@functools.cache
def measure_one_edit(nodes: int) -> tuple[float, float]:
    """Return the seconds until an edit is in force in a zone, and its store calls.

    Calls that an idle zone makes in the same time are subtracted.
    """
    fleet = build_fleet(nodes, 2)
    calls_before = count_calls(fleet.store)
    fleet.run(IDLE_S)
    idle_calls = count_calls(fleet.store) - calls_before
    fleet.write(build_table(0, slopes_scale.ROWS_PER_SERVICE, 2))
    seconds = fleet.run_until(lambda: fleet.is_in_force(2, "service-0000"), 20.0)
    fleet.run(IDLE_S - seconds)
    return seconds, float(count_calls(fleet.store) - calls_before - 2 * idle_calls)


@functools.cache
def measure_outage(nodes: int) -> float:
    """Return the store calls from an outage's start to 5 s after its end."""
    fleet = build_fleet(nodes, 2)
    calls_before = count_calls(fleet.store)
    fleet.store.down = True
    fleet.run(OUTAGE_S)
    fleet.heal()
    fleet.run(5.0)
    return float(count_calls(fleet.store) - calls_before)


@functools.cache
def measure_boot(services: int) -> Boot:
    """Measure the reboot of a node in a zone of 8; the bytes are those of that node."""
    fleet = build_fleet(8, services)
    name = next(n for n in fleet.nodes if n not in fleet.store.watchers)
    fleet.stop(name)
    fleet.run(0.5)
    fleet.bytes.clear()
    fleet.boot(name)
    expected = {f"service-{number:04}": 1 for number in range(services)}
    seconds = fleet.run_until(lambda: fleet.in_force[name] == expected, 20.0)
    return Boot(seconds, float(fleet.bytes[name]))


def build_policy(services: int, nodes: int) -> distribution.Distributor:
    """Return a booted control policy with tables, in a zone of `nodes` nodes."""
    names = [f"zone-{number}" for number in range(nodes)]
    policy = distribution.Distributor(controlevents.Settings(names[-1], "zone"), 1)
    members = tuple(builders.build_member(name, "zone") for name in names)
    policy.handle(controlevents.MembersReceived(members), 0.0)
    for number in range(services):
        table = build_table(number, slopes_scale.ROWS_PER_SERVICE)
        policy.handle(controlevents.StoreTable(table, number + 1), 0.0)
    policy.handle(controlevents.Tick(), 3.0)
    return policy


def measure_digest_us(services: int) -> tuple[float, ...]:
    """Return the processor time to decode and handle one digest."""
    policy = build_policy(services, 8)
    tables_held = policy.catalogue.held
    entries = tuple(
        digests.Entry(name, 1, tables_held[name].content_hash, 1)
        for name in sorted(tables_held)
    )
    digest = digests.Digest("zone-0", "zone", entries)
    payload = digests.encode_message(digest, b"d", controlfleet.KEY)

    def run() -> None:
        for _ in range(50):
            decoded = digests.decode_message(
                payload, b"d", controlfleet.KEY, digests.Digest
            )
            policy.handle(controlevents.DigestReceived(decoded), 3.1)

    return slopes_fit.measure_cpu_us(run, 50)


def measure_table_us(rows: int) -> tuple[float, ...]:
    """Return the processor time to decode, handle and deliver a table of the store."""
    policy = build_policy(1, 8)
    encoded_tables = iter(
        [
            documents.encode_table(build_table(0, rows, version + 2))
            for version in range(slopes_fit.RUNS_PER_SIZE)
        ]
    )
    key = documents.make_table_key("service-0000")

    def run() -> None:
        table = documents.decode_table(key, next(encoded_tables))
        for action in policy.handle(
            controlevents.StoreTable(table, table.version), 3.1
        ):
            if isinstance(action, controlevents.Deliver):
                link.encode_message(action.update)

    return slopes_fit.measure_cpu_us(run, 1)


def measure_ticks_us(services: int, nodes: int) -> tuple[float, ...]:
    """Return the processor time of one second of ticks, with one digest sent."""
    policy = build_policy(services, nodes)
    # Each run covers a later second. Digests are recorded at each tick, since peers
    # count as silent after 3 s.
    starts = iter(range(3, 100))

    def run() -> None:
        start = next(starts)
        for tick in range(10):
            now = start + tick / 10
            for peer in list(policy.members.subscribed_since):
                policy.members.record_digest(peer, (), now)
            for action in policy.handle(controlevents.Tick(), now):
                if isinstance(action, controlevents.Deliver):
                    link.encode_message(action.update)
                elif isinstance(action, controlevents.PublishDigest):
                    digests.encode_message(action.digest, b"d", controlfleet.KEY)

    return slopes_fit.measure_cpu_us(run, 1)


def measure_policy_memory(services: int) -> tuple[float, ...]:
    """Return the bytes allocated for a control policy with `services` tables."""
    return slopes_fit.measure_allocated_bytes(lambda: build_policy(services, 8))


def encode_vm_list(count: int) -> bytes:
    """Return a VM list, encoded as the platform's stand-in serves it."""
    return msgspec.json.encode(
        [
            vmlist.ListedVm(f"entry-{n:04}", "zone-1", f"10.0.0.1:{n}", f"10.0.0.1:{n}")
            for n in range(1, count + 1)
        ]
    )


def measure_vm_list_us(count: int) -> tuple[float, ...]:
    """Return the processor time to decode, handle and deliver a VM list."""
    policy = build_policy(2, 8)
    body = encode_vm_list(count)

    def run() -> None:
        members = vmlist_adapter.decode_members(body)
        for action in policy.handle(controlevents.MembersReceived(members), 3.1):
            if isinstance(action, controlevents.Deliver):
                link.encode_message(action.update)

    return slopes_fit.measure_cpu_us(run, 1)


def measure_status_bytes(nodes: int, services: int) -> float:
    """Return the bytes of a zone's encoded status value."""
    versions = {f"service-{number:04}": 1_000 for number in range(services)}
    status = {f"entry-{number:04}": versions for number in range(nodes)}
    document = status_documents.ZoneStatus(zone="zone", nodes=status)
    return float(len(status_documents.encode_status(document)))


def measure_link_vm_list_bytes(count: int) -> float:
    """Return the bytes of a VM list update on the local link."""
    rng = random.Random(1)
    vms = tuple(
        events.Vm(f"entry-{n:04}", "zone-1", f"10.0.0.1:{n}", rng.random())
        for n in range(count)
    )
    return float(len(link.encode_message(link.Update(vms=vms))))
