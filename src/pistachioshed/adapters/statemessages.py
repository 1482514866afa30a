"""Transfer of the configuration and the upstreams between forwarders over HTTP."""

import typing
import urllib.parse
import zlib

import msgspec

from pistachioshed.adapters import http1
from pistachioshed.core import directory, dispatch, routing

PATH: typing.Final = "/state"
CONTENT_TYPE: typing.Final = "application/msgpack"
LONG_POLL_MAX_S: typing.Final = 5.0
REQUEST_TIMEOUT_S: typing.Final = 2.0  # Transfers a configuration at 10 Mbit/s.
COMPRESSION_LEVEL: typing.Final = 1  # Compresses routes to a fifteenth of their size.
MESSAGE_MAX_BYTES: typing.Final = 16_000_000


class StateUpdate(typing.NamedTuple):
    """The changes since the receiver's state, or the complete state if a snapshot.

    `services` and `routes` belong to the configuration with `version`; they are empty
    if the receiver already has it. The message is encoded by position: the order of the
    fields is part of the protocol.
    """

    revision: int
    changed_revision: int
    snapshot: bool
    changes: tuple[directory.Change, ...]
    version: int
    flow_idle_s: float
    routes: tuple[routing.Route, ...]
    services: dict[str, routing.ServiceLimits]


class StateMessageError(Exception):
    """The state of a peer could not be fetched or decoded."""


def encode_update(
    dispatcher: dispatch.Dispatcher, revision: int, version: int
) -> bytes:
    """Return the message for a peer that has the given revision and version."""
    own_directory = dispatcher.directory
    configuration = dispatcher.configuration
    changes = own_directory.list_changes(revision) if revision else None
    is_newer = configuration.version > version
    update = StateUpdate(
        own_directory.revision,
        own_directory.changed_revision,
        changes is None,
        own_directory.list_snapshot() if changes is None else changes,
        configuration.version,
        configuration.flow_idle_s,
        tuple(configuration.routes.values()) if is_newer else (),
        configuration.services if is_newer else {},
    )
    return zlib.compress(msgspec.msgpack.encode(update), COMPRESSION_LEVEL)


def apply_update(
    dispatcher: dispatch.Dispatcher, update: StateUpdate, now: float
) -> None:
    """Apply the parts of a peer's state that are newer than the own state."""
    if update.version > dispatcher.configuration.version and update.services:
        routes = {route.target: route for route in update.routes}
        dispatcher.configure(
            routing.Configuration(
                update.version, routes, update.services, update.flow_idle_s
            ),
            now,
        )
    dispatcher.update_directory(update.changes, update.revision, update.snapshot, now)
    own_directory = dispatcher.directory
    own_directory.changed_revision = max(
        own_directory.changed_revision, update.changed_revision
    )


def decode_update(data: bytes) -> StateUpdate:
    """Decode a message.

    Raises
    ------
    StateMessageError
        If the data is not a valid message.
    """
    try:
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(data, MESSAGE_MAX_BYTES)
        return msgspec.msgpack.decode(content, type=StateUpdate)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise StateMessageError(f"decode state: {error}") from error


async def fetch_update(
    connection: http1.Connection,
    revision: int,
    version: int,
    wait_s: float,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> StateUpdate:
    """Request the state of a peer that is newer than a revision and a version.

    The peer may delay its response by up to `wait_s` if it has nothing newer.

    Raises
    ------
    StateMessageError
        If no response arrives in time, or it can not be decoded.
    """
    query = urllib.parse.urlencode(
        {"revision": revision, "version": version, "wait_s": wait_s}
    )
    try:
        response = await connection.request(
            "GET", f"{PATH}?{query}", wait_s + timeout_s
        )
    except http1.HttpError as error:
        raise StateMessageError(str(error)) from error
    if response.status != 200:
        raise StateMessageError(f"{connection.peer}: status {response.status}")
    return decode_update(response.body)


def parse_query(target: str) -> tuple[int, int, float]:
    """Return the revision, the version and the wait that a request specifies.

    The wait is in seconds and limited to `LONG_POLL_MAX_S`.

    Raises
    ------
    ValueError
        If a parameter is missing or not a number.
    """
    query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
    try:
        wait_s = float(query["wait_s"])
        return (
            int(query["revision"]),
            int(query["version"]),
            min(wait_s, LONG_POLL_MAX_S),
        )
    except KeyError as error:
        raise ValueError(f"{error} is missing") from error
