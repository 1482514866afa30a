"""Builders and checks for replication tests."""

from collections import abc

from pistachioshed.core import hashing
from tests import fakes

SERVICE = "booking"
FLOWS = tuple(number.to_bytes(6, "big") for number in range(4_000))


def choose_owner(network: fakes.Network, flow: bytes, *without: str) -> str:
    """Return the owner of a flow among the started peers."""
    names = sorted(network.peers.keys() - set(without))
    fingerprint = hashing.fingerprint_flow(SERVICE, flow)
    choices = [hashing.Choice(name, 1.0) for name in names]
    return hashing.rank_choices(fingerprint, choices)[0]


def put_all(network: fakes.Network, flows: abc.Iterable[bytes] = FLOWS) -> None:
    """Put an override for each flow at its owner."""
    for flow in flows:
        owner = network.peers[choose_owner(network, flow)]
        owner.replicator.put(SERVICE, flow, choose_upstream(flow))


def put_owned(network: fakes.Network, name: str, count: int) -> list[bytes]:
    """Put overrides for flows that a peer owns, and return the flows."""
    owned = [flow for flow in FLOWS if choose_owner(network, flow) == name][:count]
    put_all(network, owned)
    return owned


def choose_upstream(flow: bytes) -> str:
    """Return the upstream of a flow's override."""
    return f"booking-{flow[-1] % 7}"


def find_missing(
    network: fakes.Network, flows: abc.Iterable[bytes], removed: str
) -> list[bytes]:
    """Return the flows whose next owner lacks the override once a peer is gone."""
    return [
        flow
        for flow in flows
        if network.peers[choose_owner(network, flow, removed)].replicator.find(
            SERVICE, flow
        )
        != choose_upstream(flow)
    ]


def check_backups(network: fakes.Network) -> dict[tuple[str, str, bytes], str]:
    """Check that each peer has exactly the overrides that others replicate to it."""
    expected, actual = {}, {}
    for name, peer in network.peers.items():
        assert peer.replicator.is_flushed()
        for fingerprint, override in peer.replicator.overrides.get(SERVICE, {}).items():
            expected[name, override.target, fingerprint] = override.upstream
        for fingerprint, binding in peer.replicator.received_overrides.received.get(
            SERVICE, {}
        ).items():
            actual[binding.source.owner, name, fingerprint] = binding.upstream
    assert actual == expected
    return actual
