"""Messages of the etcd v3 JSON gateway, and the HTTP calls that carry them."""

import base64
import binascii
import typing
from collections import abc

import msgspec
import treq.client
from twisted.internet import defer, error, protocol
from twisted.python import failure
from twisted.web import client, http_headers, iweb

from pistachioshed.core import revisions
from pistachioshed.ports import store

Message = dict[str, typing.Any]

HEADERS: typing.Final = http_headers.Headers({"Content-Type": ["application/json"]})
# gRPC status codes after which a call may or may not have taken effect: canceled,
# unknown, deadline exceeded, aborted, internal, unavailable, data loss.
UNKNOWN_OUTCOME_CODES: typing.Final = frozenset({1, 2, 4, 10, 13, 14, 15})
# Errors raised before any byte of a request is sent.
NOT_SENT_ERRORS: typing.Final = (error.ConnectError, error.UnsupportedAddressFamily)
# Errors of a call that may have reached the server. A call that its deadline cancels
# while the request is being sent also fails with one of these.
CONNECTION_LOST_ERRORS: typing.Final = (
    error.ConnectionClosed,
    client.ResponseFailed,
    client.RequestGenerationFailed,
    client.RequestTransmissionFailed,
)

# The `target` value and the field of a condition's message.
COMPARE_FIELDS: typing.Final = {
    "mod": ("MOD", "mod_revision"),
    "create": ("CREATE", "create_revision"),
    "version": ("VERSION", "version"),
}


class NotSent(Exception):
    """The call was not sent."""


class NoAnswer(Exception):
    """No response arrived, or it does not tell whether the call took effect."""


class Rejected(Exception):
    """The server rejected the call."""


class BodyReader(protocol.Protocol):
    """Deliver the bytes of a response body; `finished` fires at the end of the body."""

    def __init__(self, deliver: abc.Callable[[bytes], object]) -> None:
        self.deliver = deliver
        self.finished: defer.Deferred[None] = defer.Deferred(lambda _: self.close())

    def dataReceived(self, data: bytes) -> None:
        """Deliver received bytes."""
        self.deliver(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Fire `finished`, with an error unless the body is complete."""
        if self.finished.called:
            return
        if reason.check(client.ResponseDone):
            self.finished.callback(None)
        else:
            self.finished.errback(reason)

    def close(self) -> None:
        """Close the connection without waiting for the rest of the body."""
        transport: typing.Any = self.transport
        if transport is not None:
            transport.loseConnection()


def make_client(reactor: typing.Any, deadline_seconds: float) -> treq.client.HTTPClient:
    """Return an HTTP client that opens a new connection for each call.

    A persistent connection may stop receiving for good while new connections work. A
    new connection costs one round trip. It also distinguishes a write whose connection
    was refused, which had no effect, from one whose connection was lost later.
    """
    pool = client.HTTPConnectionPool(reactor, persistent=False)
    agent = client.Agent(reactor, connectTimeout=deadline_seconds, pool=pool)
    return treq.client.HTTPClient(typing.cast(iweb.IAgent, agent))


async def call(
    http: treq.client.HTTPClient,
    clock: typing.Any,
    url: str,
    message: Message,
    deadline_seconds: float,
) -> Message:
    """Make one call and return the message of its response.

    Raises
    ------
    NotSent
        If the call did not reach the server.
    NoAnswer
        If the call may or may not have taken effect.
    Rejected
        If the server rejected the call.
    """
    exchange = defer.Deferred.fromCoroutine(_exchange(http, url, message))
    deadline = clock.callLater(deadline_seconds, exchange.cancel)
    try:
        status, body = await exchange
    except NOT_SENT_ERRORS as cause:
        raise NotSent(str(cause)) from cause
    except error.ConnectingCancelledError as cause:
        if deadline.active():
            raise defer.CancelledError() from cause
        raise NotSent(f"not connected within {deadline_seconds} s") from cause
    except (defer.CancelledError, *CONNECTION_LOST_ERRORS) as cause:
        if not deadline.active():
            raise NoAnswer(f"no answer within {deadline_seconds} s") from cause
        if isinstance(cause, defer.CancelledError):
            raise
        raise NoAnswer("the connection was cut") from cause
    finally:
        if deadline.active():
            deadline.cancel()
    return parse_response(status, body)


async def _exchange(
    http: treq.client.HTTPClient, url: str, message: Message
) -> tuple[int, bytes]:
    body = msgspec.json.encode(message)
    response = await http.post(url, data=body, headers=HEADERS, unbuffered=True)
    chunks: list[bytes] = []
    reader = BodyReader(chunks.append)
    response.deliverBody(reader)
    await reader.finished
    return response.code, b"".join(chunks)


def parse_response(status: int, body: bytes) -> Message:
    """Return the message of a response.

    Raises
    ------
    NoAnswer
        If the response is not JSON, or an error that leaves the outcome unknown.
    Rejected
        If the response is any other error.
    """
    try:
        message = msgspec.json.decode(body, type=Message)
    except msgspec.DecodeError as cause:
        raise NoAnswer(f"status {status}: the answer is not JSON") from cause
    if status == 200 and "error" not in message:
        return message
    fault = message.get("error")
    details = fault if isinstance(fault, dict) else message
    code = details.get("code", details.get("grpc_code", 2))
    text = f"status {status}, code {code}: {details.get('message', fault)}"
    raise NoAnswer(text) if code in UNKNOWN_OUTCOME_CODES else Rejected(text)


def encode_base64(data: bytes) -> str:
    """Encode bytes as base64, as the gateway requires."""
    return base64.b64encode(data).decode()


def decode_base64(text: str) -> bytes:
    """Decode base64 text of the gateway, or raise `NoAnswer`."""
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as cause:
        raise NoAnswer("the answer has a value that is not base64") from cause


def make_key_selector(key: str) -> Message:
    """Return the fields that select one key."""
    return {"key": encode_base64(key.encode())}


def make_prefix_selector(prefix: str) -> Message:
    """Return the fields that select all keys with a prefix."""
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {"key": encode_base64(start), "range_end": encode_base64(end)}


def make_compare(compare: store.Compare) -> Message:
    """Return the message of a transaction's condition."""
    target, field = COMPARE_FIELDS[compare.target]
    _, value = revisions.split_revision(compare.value)
    selection = (
        make_prefix_selector(compare.key)
        if compare.prefix
        else make_key_selector(compare.key)
    )
    return {
        **selection,
        "target": target,
        "result": compare.result.upper(),
        field: str(value),
    }


def make_write(write: store.Write) -> Message:
    """Return the message of a transaction's write."""
    if isinstance(write, store.Delete):
        return {"request_delete_range": make_key_selector(write.key)}
    put = {**make_key_selector(write.key), "value": encode_base64(write.value)}
    if write.lease:
        put["lease"] = str(write.lease)
    return {"request_put": put}


def parse_cluster_id(message: Message) -> str:
    """Return the id of the cluster that sent a response, empty if it has none."""
    return str(message.get("header", {}).get("cluster_id", ""))


def parse_revision(message: Message, era: int) -> int:
    """Return the revision in the header of a response, made in an era of the store."""
    store_revision = int(message.get("header", {}).get("revision", 0))
    return revisions.combine_revision(era, store_revision)


def parse_pair(message: Message, era: int) -> store.Pair:
    """Return the key-value pair that a message describes."""
    return store.Pair(
        decode_base64(message["key"]).decode(),
        decode_base64(message.get("value", "")),
        revisions.combine_revision(era, int(message.get("create_revision", 0))),
        revisions.combine_revision(era, int(message.get("mod_revision", 0))),
        int(message.get("version", 0)),
        int(message.get("lease", 0)),
    )


def parse_event(message: Message, era: int) -> store.Event:
    """Return the event that a message describes."""
    pair = parse_pair(message["kv"], era)
    deleted = message.get("type") == "DELETE"
    return store.Event(pair.key, pair.value, pair.mod_revision, deleted)
