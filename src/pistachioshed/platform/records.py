"""Decode the configuration and the hosts' entries in the platform's store."""

import json
import typing
import zlib
from collections import abc

from pistachioshed.adapters import validation
from pistachioshed.core import directory, routing, segments
from pistachioshed.platform import packets

CONFIGURATION_KEY: typing.Final = "op/config"
UPSTREAMS_PREFIX: typing.Final = "servers/"
# The rest of the key is a zone. Any value counts: the key of the operators is present.
EVACUATIONS_PREFIX: typing.Final = "op/evacuate/"
# The store holds nothing else that changes often, so one watch serves all.
STATE_PREFIX: typing.Final = ""
INSTANCE_HEADER: typing.Final = "instance-id"
UPSTREAM_STATES: typing.Final = ("ready", "draining")
DEFAULT_IDLE_TIMEOUT_MS: typing.Final = 15_000  # As in the platform's example.

Fields = dict[str, object]


class RecordError(ValueError):
    """Raised if a value in the store is invalid for its key."""

    def __init__(self, key: str, cause: str) -> None:
        self.key = key
        super().__init__(f"{key}: {cause}")


def decode_configuration(value: bytes) -> routing.Configuration:
    """Decode the value of the configuration key.

    Raises
    ------
    RecordError
        If the value is invalid; the platform accepts only valid configurations.
    """
    try:
        fields = validation.require(json.loads(value), dict)
        routes = [_decode_route(entry) for entry in fields["routes"]]
        services = {
            entry["name"]: routing.ServiceLimits(
                entry["health-path"],
                int(entry["connection-limit"]),
                validation.require_amount(entry.get("cold-per-s", 0)),
            )
            for entry in fields["services"]
        }
        # The other limits apply to requests, which this product does not parse.
        idle_ms = fields.get("limits", {}).get(
            "idle-timeout-ms", DEFAULT_IDLE_TIMEOUT_MS
        )
        return routing.Configuration(
            int(fields["version"]),
            {route.target: route for route in routes},
            services,
            float(idle_ms) / 1000,
        )
    except (
        KeyError,
        TypeError,
        AttributeError,
        ValueError,
        OverflowError,
        RecursionError,
    ) as error:
        raise RecordError(CONFIGURATION_KEY, repr(error)) from error


def decode_upstream(name: str, value: bytes) -> directory.Upstream:
    """Decode the entry of a host.

    Raises
    ------
    RecordError
        If the entry is damaged, or was not written by a host.
    """
    try:
        fields = validation.require(json.loads(value), dict)
        host, _, port = validation.get_field(fields, "address", str).rpartition(":")
        packets.parse_ip(host)
        if not 0 < int(port) < 65_536:
            raise ValueError(f"invalid port {port}")
        state = validation.get_field(fields, "state", str)
        if state not in UPSTREAM_STATES:
            raise ValueError(f"unknown state {state!r}")
        number = parse_upstream_number(name)
        return directory.Upstream(
            name,
            number,
            compute_token(name, number),
            validation.get_field(fields, "service", str),
            (host, int(port)),
            validation.get_field(fields, "zone", str),
            validation.get_field(fields, "slots", int),
            state == "draining",
            # A countdown whose value is updated only when the entry changes.
            validation.require_amount(fields.get("cold-remaining-ms")) / 1000,
            # The start time distinguishes incarnations of a host under the same name.
            validation.get_field(fields, "born", int) if "born" in fields else 0,
            validation.get_field(fields, "sequence", int)
            if "sequence" in fields
            else 0,
        )
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        raise RecordError(UPSTREAMS_PREFIX + name, str(error)) from error


def parse_upstream_number(name: str) -> int:
    """Return the number that addresses a host: the hex digits at the end of its name.

    Raises
    ------
    ValueError
        If the name has no hex digits after a dash, or the number is out of range.
    """
    _, dash, digits = name.rpartition("-")
    number = int(digits, 16)
    if not dash or not 0 < number < segments.NUMBER_RANGE:
        raise ValueError(f"{name!r} does not end in a valid upstream number")
    return number


def compute_token(name: str, number: int) -> int:
    """Return the token of a host: its number if that fits, else a checksum."""
    return number if number < segments.TOKEN_RANGE else zlib.crc32(name.encode()) or 1


def _decode_route(fields: Fields) -> routing.Route:
    # `prefix` is not a path but the route's port between slashes.
    port = int(validation.get_field(fields, "prefix", str).strip("/"))
    target = (packets.parse_ip(validation.get_field(fields, "host", str)), port)
    kind = fields.get("kind")
    if kind not in routing.REQUEST_KINDS:
        raise ValueError(f"unknown kind {kind!r}")
    return routing.Route(
        validation.get_field(fields, "name", str),
        target,
        tuple(_decode_shares(fields)),
        kind,
        validation.require_amount(fields.get("timeout-ms")) / 1000,
        validation.require_amount(fields.get("target-latency-ms")) / 1000,
        validation.get_field(fields, "priority", int),
    )


def _decode_shares(fields: Fields) -> abc.Iterator[routing.Share]:
    traffic_split = fields.get("traffic-split")
    if not traffic_split:
        yield routing.Share(validation.get_field(fields, "service", str), 1.0)
        return
    for entry in typing.cast(list[Fields], traffic_split):
        weight = validation.require_amount(entry["weight"])
        yield routing.Share(validation.get_field(entry, "service", str), weight)
