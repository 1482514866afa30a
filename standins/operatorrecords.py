"""Metadata store records of operators and hosts, for stand-ins and tests."""

import typing
from collections import abc

import msgspec

from pistachioshed.platform import packets, records

CONFIGURATION_KEY: typing.Final = records.CONFIGURATION_KEY

Target = tuple[str, int]
"""The IPv4 address and port that callers open flows to."""


def parse_target(target: Target) -> tuple[int, int]:
    """Return a target in the form used in packets."""
    return packets.parse_ip(target[0]), target[1]


def get_entry_key(name: str) -> str:
    """Return the metadata store key of a host's entry."""
    return records.UPSTREAMS_PREFIX + name


def get_evacuation_key(zone: str) -> str:
    """Return the metadata store key that requests the evacuation of a zone."""
    return records.EVACUATIONS_PREFIX + zone


def encode_entry(address: tuple[str, int], **changes: typing.Any) -> bytes:
    """Return the encoded entry of a host, by default of the service `booking`."""
    entry = {
        "service": "booking",
        "address": f"{address[0]}:{address[1]}",
        "zone": "riga-a",
        "slots": 2,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return msgspec.json.encode(entry | changes)


def encode_configuration(
    version: int,
    targets: abc.Mapping[Target, str],
    services: abc.Iterable[str] = ("booking", "sheets"),
) -> bytes:
    """Return an encoded configuration with one route for each target."""
    routes = [
        {
            "name": f"r-{ip}-{port}",
            "host": ip,
            "prefix": f"/{port}/",
            "kind": "safe",
            "timeout-ms": 1500,
            "target-latency-ms": 150,
            "priority": 2,
            "service": service,
        }
        for (ip, port), service in targets.items()
    ]
    entries = [
        {"name": name, "health-path": "/health", "connection-limit": 2000}
        for name in services
    ]
    return msgspec.json.encode(
        {
            "version": version,
            "routes": routes,
            "services": entries,
            "limits": {"idle-timeout-ms": 15000},
        }
    )
