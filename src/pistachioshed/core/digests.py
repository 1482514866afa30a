"""Messages between control processes, and their authenticated msgpack codec."""

import hashlib
import hmac
import typing

import msgspec
import xxhash

from pistachioshed.core import tables

TAG_BYTES: typing.Final = 16
MESSAGE_MAX_BYTES: typing.Final = 4 * 1024 * 1024


class Entry(typing.NamedTuple):
    """A table held by a control process and the version in force on its balancer.

    `content_hash` is a 32-bit hash of the table; it distinguishes two tables that
    have the same version.
    """

    service: str
    version: int
    content_hash: int
    in_force: int


class NodeReport(typing.NamedTuple):
    """Versions in force on another node, relayed by a hub.

    `age_ds` is the age of the report in units of 0.1 s. `in_force` follows the order
    of the digest's entries, with 0 for a service without a table in force.
    """

    node: str
    age_ds: int
    in_force: tuple[int, ...]


class Digest(typing.NamedTuple):
    """The state that a control process publishes each second and on change.

    `reports` are relayed reports of nodes that have few subscribers. `silent` names
    the nodes that the sender subscribes to but receives no digests from.
    """

    node: str
    zone: str
    entries: tuple[Entry, ...]
    reports: tuple[NodeReport, ...] = ()
    silent: tuple[str, ...] = ()


class TableMessage(typing.NamedTuple):
    """A table published by a control process."""

    node: str
    zone: str
    table: tables.Table


class ProbeResult(typing.NamedTuple):
    """One control process's probe result.

    `age_ds` is the age of the result when it is sent, in units of 0.1 s.
    """

    prober: str
    service: str
    upstream: str
    ok: bool
    draining: bool
    load: float | None
    latency_s: float | None
    age_ds: int = 0


class ProbesMessage(typing.NamedTuple):
    """Probe results published by a control process."""

    node: str
    results: tuple[ProbeResult, ...]


class FetchRequest(typing.NamedTuple):
    """A request for tables newer than the versions that the sender holds."""

    node: str
    held_versions: dict[str, int]


class FetchReply(typing.NamedTuple):
    """Tables that are newer than the versions in the request."""

    node: str
    tables: tuple[tables.Table, ...]


class DigestError(ValueError):
    """A message that is too long, not authentic or not of the expected type."""


Message = Digest | TableMessage | ProbesMessage | FetchRequest | FetchReply
T = typing.TypeVar("T", Digest, TableMessage, ProbesMessage, FetchRequest, FetchReply)


def hash_table(table: tables.Table) -> int:
    """Return the 32-bit content hash of a table."""
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(table))


def compute_tag(topic: bytes, body: bytes, key: bytes) -> bytes:
    """Return the authentication tag of a message's topic and body."""
    return hashlib.blake2b(topic + body, digest_size=TAG_BYTES, key=key).digest()


def encode_message(message: Message, topic: bytes, key: bytes) -> bytes:
    """Encode a message as topic, tag and msgpack body."""
    body = msgspec.msgpack.encode(message)
    return topic + compute_tag(topic, body, key) + body


def decode_message(payload: bytes, topic: bytes, key: bytes, kind: type[T]) -> T:
    """Decode a message after checking its topic and authentication tag.

    Raises
    ------
    DigestError
        If the payload is too long, or its topic, tag or type does not match.
    """
    if len(payload) > MESSAGE_MAX_BYTES:
        raise DigestError("decode message: payload is too long")
    start = len(topic) + TAG_BYTES
    body = payload[start:]
    tag = payload[len(topic) : start]
    if not payload.startswith(topic):
        raise DigestError("decode message: unexpected topic")
    if not hmac.compare_digest(tag, compute_tag(topic, body, key)):
        raise DigestError("decode message: authentication tag does not match")
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise DigestError(f"decode message: {error}") from error
