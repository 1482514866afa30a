"""Control messages between balancers and their authenticated msgpack codec."""

import hashlib
import hmac
import typing

import msgspec

VERSION: typing.Final = 1
TAG_BYTES: typing.Final = 8
KEY_MAX_BYTES: typing.Final = 64
PAYLOAD_MAX_BYTES: typing.Final = 65_535

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
# Empty in a batch that only opens a session.
ServiceName = typing.Annotated[str, msgspec.Meta(max_length=255)]
# Capacity is encoded in thousandths: 3 bytes instead of 9 for a float.
Capacity = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000_000)]


class Claim(typing.NamedTuple):
    """The lifecycle state and condition of a member at an incarnation.

    `state` and `condition` are indexes into `memberrecords.STATES` and
    `memberrecords.CONDITIONS`, `capacity` is in thousandths.
    """

    incarnation: Count
    state: typing.Annotated[int, msgspec.Meta(ge=0, le=3)]
    condition: typing.Annotated[int, msgspec.Meta(ge=0, le=2)]
    capacity: Capacity


class Update(typing.NamedTuple):
    """A claim about a named member."""

    name: Name
    claim: Claim


class Ping(typing.NamedTuple):
    """Request an acknowledgement; `digest` summarizes the sender's live members."""

    number: Count
    digest: Count
    claim: Claim
    updates: tuple[Update, ...] = ()


class Ack(typing.NamedTuple):
    """Acknowledge a ping, directly or through the member asked to probe."""

    number: Count
    claim: Claim
    updates: tuple[Update, ...] = ()


class PingRequest(typing.NamedTuple):
    """Ask a member to ping the target and relay its ack."""

    number: Count
    target: Name
    claim: Claim
    updates: tuple[Update, ...] = ()


class Gossip(typing.NamedTuple):
    """Updates sent without a ping: a new change, or all of the sender's records."""

    claim: Claim
    updates: tuple[Update, ...] = ()


class Batch(typing.NamedTuple):
    """Overrides of one service, acknowledged by number.

    `session` changes when the sender starts anew. `puts` holds the concatenated
    fingerprints of each upstream, `removals` concatenated fingerprints. A `complete`
    above 0 is the table version through which the receiver now has all overrides of
    the sender.
    """

    session: Count
    number: Count
    service: ServiceName
    puts: dict[str, bytes] = {}
    removals: bytes = b""
    complete: Count = 0


class BatchAck(typing.NamedTuple):
    """Acknowledge a batch."""

    session: Count
    number: Count


class HandoverRequest(typing.NamedTuple):
    """Request the overrides that the sender, a joining member, would own."""

    session: Count
    capacity: Capacity


class HandoverDone(typing.NamedTuple):
    """Report that all overrides for the joining member were acknowledged.

    `session` is that of the request, `sender_session` that of the batches.
    `complete` holds per service the version that the sender has marked complete.
    """

    session: Count
    sender_session: Count
    complete: dict[str, Count] = {}


Message = (
    Ping
    | Ack
    | PingRequest
    | Gossip
    | Batch
    | BatchAck
    | HandoverRequest
    | HandoverDone
)
# The position of a type is its number on the wire; add new types at the end.
TYPES: typing.Final[tuple[type[Message], ...]] = (
    Ping,
    Ack,
    PingRequest,
    Gossip,
    Batch,
    BatchAck,
    HandoverRequest,
    HandoverDone,
)
TYPE_NUMBERS: typing.Final = {kind: number for number, kind in enumerate(TYPES)}
MEMBERSHIP_TYPES: typing.Final = (Ping, Ack, PingRequest, Gossip)


class Received(typing.NamedTuple):
    """A decoded message and the member that sent it."""

    sender: str
    message: Message


class Outgoing(typing.NamedTuple):
    """A message to send to a peer."""

    peer: str
    message: Message


class _Envelope(typing.NamedTuple):
    kind: int
    sender: Name
    body: msgspec.Raw


class WireError(ValueError):
    """A payload that is not an authentic control message; names the failed step."""


_ENVELOPE_DECODER: typing.Final = msgspec.msgpack.Decoder(_Envelope)
_DECODERS: typing.Final = tuple(msgspec.msgpack.Decoder(kind) for kind in TYPES)


def encode(sender: str, message: Message, key: bytes) -> bytes:
    """Encode and authenticate a message.

    Parameters
    ----------
    sender : str
        The name of this member.
    message : Message
        The message.
    key : bytes
        The key that all members share.

    Returns
    -------
    bytes
        A version byte, the tag, and the msgpack body.
    """
    body = msgspec.msgpack.encode((TYPE_NUMBERS[type(message)], sender, message))
    return bytes((VERSION,)) + compute_tag(body, key) + body


def decode(payload: bytes, key: bytes) -> Received:
    """Authenticate and decode a message.

    Parameters
    ----------
    payload : bytes
        The received bytes, of any length and content.
    key : bytes
        The key that all members share.

    Returns
    -------
    Received
        The authenticated sender and the message.

    Raises
    ------
    WireError
        If the payload has another version, is not authentic or is malformed.
    """
    if len(payload) > PAYLOAD_MAX_BYTES:
        raise WireError("decode frame: payload is too long")
    if len(payload) <= 1 + TAG_BYTES:
        raise WireError("decode frame: payload is too short")
    if payload[0] != VERSION:
        raise WireError(f"decode frame: got version {payload[0]}, expected {VERSION}")
    tag, body = payload[1 : 1 + TAG_BYTES], payload[1 + TAG_BYTES :]
    if not hmac.compare_digest(tag, compute_tag(body, key)):
        raise WireError("decode frame: authentication tag does not match")
    try:
        envelope = _ENVELOPE_DECODER.decode(body)
        if not 0 <= envelope.kind < len(_DECODERS):
            raise WireError(f"decode message: unknown type {envelope.kind}")
        message = _DECODERS[envelope.kind].decode(envelope.body)
    # msgspec raises RecursionError for deeply nested arrays.
    except (msgspec.MsgspecError, RecursionError) as error:
        raise WireError(f"decode message: {error}") from error
    return Received(envelope.sender, message)


def is_membership(message: Message) -> bool:
    """Return whether a message is for `Membership` rather than `Replicator`."""
    return isinstance(message, MEMBERSHIP_TYPES)


def compute_tag(body: bytes, key: bytes) -> bytes:
    """Return the authentication tag of a message body."""
    # BLAKE2b takes keys of up to 64 bytes; a longer key is hashed first, as HMAC does.
    if len(key) > KEY_MAX_BYTES:
        key = hashlib.blake2b(key).digest()
    version = bytes((VERSION,))
    return hashlib.blake2b(version + body, key=key, digest_size=TAG_BYTES).digest()
