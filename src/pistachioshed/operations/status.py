"""Versions of service tables in force on the nodes, as stored for each zone."""

import contextlib
import typing

import msgspec

from pistachioshed.operations import documents
from pistachioshed.ports import store as store_port

STATUS_PREFIX: typing.Final = "/pistachioshed/status/"


class ZoneStatus(typing.TypedDict):
    """The status record of a zone, written by the reporter that holds its lease.

    `nodes` maps each node of the zone to its version in force of each service.
    """

    zone: str
    nodes: dict[str, dict[str, int]]


class NodeVersion(typing.NamedTuple):
    """The version of a service that is in force on a node; 0 means none."""

    zone: str
    node: str
    version: int


def make_status_key(zone: str) -> str:
    """Return the key of a zone's status record."""
    return STATUS_PREFIX + zone


def encode_status(status: ZoneStatus) -> bytes:
    """Return a status record encoded as a store value."""
    return msgspec.json.encode(status)


async def read_status(store: store_port.Store) -> tuple[ZoneStatus, ...]:
    """Read the status records of all zones.

    Raises
    ------
    DocumentError
        If a value is not a valid status record.
    """
    response = await store.get_prefix(STATUS_PREFIX)
    return tuple(_decode_status(pair) for pair in response.pairs)


async def read_valid_status(store: store_port.Store) -> tuple[ZoneStatus, ...]:
    """Read the status records of all zones, without those that are not valid.

    A damaged record of a zone must not prevent edits.
    """
    response = await store.get_prefix(STATUS_PREFIX)
    statuses = []
    for pair in response.pairs:
        with contextlib.suppress(documents.DocumentError):
            statuses.append(_decode_status(pair))
    return tuple(statuses)


def _decode_status(pair: store_port.Pair) -> ZoneStatus:
    try:
        return msgspec.json.decode(pair.value, type=ZoneStatus)
    except msgspec.DecodeError as cause:
        raise documents.DocumentError(pair.key, str(cause)) from cause


def list_versions(
    statuses: tuple[ZoneStatus, ...], service: str
) -> tuple[NodeVersion, ...]:
    """Return the version of a service on every node, ordered by zone and node."""
    return tuple(
        sorted(
            NodeVersion(status["zone"], node, versions.get(service, 0))
            for status in statuses
            for node, versions in status["nodes"].items()
        )
    )


def list_ahead(
    versions: tuple[NodeVersion, ...], version: int
) -> tuple[NodeVersion, ...]:
    """Return the nodes with a newer version in force than the one given.

    If the store was read after the status, it has lost their versions.
    """
    return tuple(node for node in versions if node.version > version)


def is_in_force(versions: tuple[NodeVersion, ...], version: int) -> bool:
    """Return whether there are nodes and all have `version` or a newer one in force."""
    return bool(versions) and all(node.version >= version for node in versions)
