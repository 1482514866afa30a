"""Transfer of the configuration and the upstreams between forwarders over HTTP."""

import json
import typing
import zlib

from pistachioshed.adapters import http1, validation
from pistachioshed.core import directory, dispatch, evacuations, routing, segments

PATH: typing.Final = "/state"
CONTENT_TYPE: typing.Final = "application/octet-stream"
LONG_POLL_MAX_S: typing.Final = 5.0
REQUEST_TIMEOUT_S: typing.Final = 2.0  # Transfers a configuration at 10 Mbit/s.
COMPRESSION_LEVEL: typing.Final = 1  # Compresses routes to a fifteenth of their size.
MESSAGE_MAX_BYTES: typing.Final = 16_000_000


class StateUpdate(typing.NamedTuple):
    """The changes since the receiver's state, or the complete state if a snapshot.

    `services` and `routes` belong to the configuration with `version`; they are empty
    if the receiver already has it. `evacuated_zones` is always complete: each zone to
    evacuate with the revision of its request. The message is encoded by position: the
    order of the fields is part of the protocol. An empty last field is omitted.
    """

    revision: int
    changed_revision: int
    snapshot: bool
    changes: tuple[directory.Change, ...]
    version: int
    flow_idle_s: float
    routes: tuple[routing.Route, ...]
    services: dict[str, routing.ServiceLimits]
    evacuated_zones: tuple[tuple[str, int], ...] = ()


class StateMessageError(Exception):
    """The state of a peer could not be fetched or decoded."""


def encode_update(
    dispatcher: dispatch.Dispatcher, revision: int, version: int
) -> bytes:
    """Return the message for a peer that has the given revision and version."""
    own_directory = dispatcher.directory
    configuration = dispatcher.configuration
    changes = own_directory.list_changes(revision) if revision else None
    is_snapshot = changes is None
    if changes is None:
        changes = own_directory.list_snapshot()
    if dispatcher.upstream_selector.cold_limiter is not None:
        changes = own_directory.reduce_cold_times(changes, dispatcher.ticked_at)
    is_newer = configuration.version > version
    update = StateUpdate(
        own_directory.revision,
        own_directory.changed_revision,
        is_snapshot,
        changes,
        configuration.version,
        configuration.flow_idle_s,
        tuple(configuration.routes.values()) if is_newer else (),
        _shorten_limits(configuration.services) if is_newer else {},
        tuple(own_directory.evacuated_zones.items()),
    )
    fields = update if update.evacuated_zones else update[:-1]
    content = json.dumps(fields, separators=(",", ":")).encode()
    return zlib.compress(content, COMPRESSION_LEVEL)


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
    dispatcher.update_directory(
        update.changes,
        update.revision,
        update.snapshot,
        now,
        evacuations.Received(
            tuple(evacuations.ZoneRequest(*entry) for entry in update.evacuated_zones),
            complete=True,
        ),
    )
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
        if not decompressor.eof:
            raise ValueError("the message is incomplete or too long")
        return _build_update(json.loads(content))
    except (zlib.error, ValueError, RecursionError) as error:
        raise StateMessageError(f"decode state: {error!r}") from error


def _build_update(value: object) -> StateUpdate:
    fields = validation.require(value, list)
    if len(fields) == len(StateUpdate._fields) - 1:
        fields = [*fields, []]
    revision, changed_revision, snapshot, changes, *configuration, zones = (
        validation.require_length(fields, len(StateUpdate._fields))
    )
    version, idle_s, routes, services = configuration
    return StateUpdate(
        validation.require_count(revision),
        validation.require_count(changed_revision),
        validation.require(snapshot, bool),
        tuple(map(_build_change, validation.require(changes, list))),
        validation.require_count(version),
        validation.require_amount(idle_s),
        tuple(map(_build_route, validation.require(routes, list))),
        {
            name: _build_limits(limits)
            for name, limits in validation.require(services, dict).items()
        },
        tuple(map(_build_evacuation, validation.require(zones, list))),
    )


def _build_evacuation(value: object) -> tuple[str, int]:
    zone, revision = validation.require_length(value, 2)
    return validation.require(zone, str), validation.require_count(revision)


def _build_change(value: object) -> directory.Change:
    name, upstream, revision = validation.require_length(value, 3)
    return directory.Change(
        validation.require(name, str),
        None if upstream is None else _build_upstream(upstream),
        validation.require_count(revision),
    )


def _build_upstream(value: object) -> directory.Upstream:
    fields = validation.require_length(value, len(directory.Upstream._fields))
    name, number, token, service, address, zone, slots, *status = fields
    draining, cold_s, start_ms, sequence = status
    return directory.Upstream(
        validation.require(name, str),
        validation.require_below(number, segments.NUMBER_RANGE),
        validation.require_below(token, segments.TOKEN_RANGE),
        validation.require(service, str),
        validation.require_address(address),
        validation.require(zone, str),
        validation.require(slots, int),
        validation.require(draining, bool),
        validation.require_amount(cold_s),
        validation.require(start_ms, int),
        validation.require(sequence, int),
    )


def _build_route(value: object) -> routing.Route:
    fields = validation.require_length(value, len(routing.Route._fields))
    name, target, shares, kind, timeout_s, target_latency_s, priority = fields
    ip, port = validation.require_length(target, 2)
    if kind not in routing.REQUEST_KINDS:
        raise ValueError(f"unknown kind {kind!r}")
    return routing.Route(
        validation.require(name, str),
        (validation.require_count(ip), validation.require_count(port)),
        tuple(map(_build_share, validation.require(shares, list))),
        kind,
        validation.require_amount(timeout_s),
        validation.require_amount(target_latency_s),
        validation.require(priority, int),
    )


def _build_share(value: object) -> routing.Share:
    service, weight = validation.require_length(value, 2)
    return routing.Share(
        validation.require(service, str), validation.require_amount(weight)
    )


def _build_limits(value: object) -> routing.ServiceLimits:
    health_path, connections, *cold = validation.require(value, list)
    (cold_per_s,) = cold or [0]
    return routing.ServiceLimits(
        validation.require(health_path, str),
        validation.require_count(connections),
        validation.require_amount(cold_per_s),
    )


def _shorten_limits(
    services: dict[str, routing.ServiceLimits],
) -> dict[str, typing.Any]:
    """Return the limits without a `cold_per_s` of 0, which would add bytes."""
    return {
        name: limits if limits.cold_per_s else limits[:2]
        for name, limits in services.items()
    }


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
    target = f"{PATH}?revision={revision}&version={version}&wait_s={wait_s}"
    try:
        response = await connection.request("GET", target, wait_s + timeout_s)
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
    _, _, query = target.partition("?")
    values = dict(part.partition("=")[::2] for part in query.split("&"))
    try:
        wait_s = validation.require_amount(float(values["wait_s"]))
        return (
            int(values["revision"]),
            int(values["version"]),
            min(wait_s, LONG_POLL_MAX_S),
        )
    except KeyError as error:
        raise ValueError(f"{error} is missing") from error
