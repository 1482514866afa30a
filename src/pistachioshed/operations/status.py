"""Which node has which version of a service in force."""

import typing

import msgspec

from pistachioshed.operations import documents
from pistachioshed.ports import store as store_port

STATUS_PREFIX: typing.Final = "/pistachioshed/status/"


class ZoneStatus(typing.TypedDict):
    """The record of a zone, written by the holder of its lease.

    `nodes` maps each node of the zone to the version in force by service.
    """

    zone: str
    nodes: dict[str, dict[str, int]]


class NodeVersion(typing.NamedTuple):
    """The version of one service that a node has in force, 0 for none."""

    zone: str
    node: str
    version: int


def make_status_key(zone: str) -> str:
    """Return the key of a zone's record."""
    return STATUS_PREFIX + zone


def encode_status(status: ZoneStatus) -> bytes:
    """Return a record's value in the store."""
    return msgspec.json.encode(status)


async def read_status(store: store_port.Store) -> tuple[ZoneStatus, ...]:
    """Read the records of all zones.

    Raises
    ------
    DocumentError
        If a value is not a record.
    """
    response = await store.get_prefix(STATUS_PREFIX)
    statuses = []
    for pair in response.pairs:
        try:
            statuses.append(msgspec.json.decode(pair.value, type=ZoneStatus))
        except msgspec.DecodeError as cause:
            raise documents.DocumentError(pair.key, str(cause)) from cause
    return tuple(statuses)


def list_versions(
    statuses: tuple[ZoneStatus, ...], service: str
) -> tuple[NodeVersion, ...]:
    """Return every node's version of a service, ordered by zone and node."""
    return tuple(
        sorted(
            NodeVersion(status["zone"], node, versions.get(service, 0))
            for status in statuses
            for node, versions in status["nodes"].items()
        )
    )


def is_in_force(versions: tuple[NodeVersion, ...], version: int) -> bool:
    """Tell whether there are nodes and all have at least a version."""
    return bool(versions) and all(node.version >= version for node in versions)
