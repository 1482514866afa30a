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

from pistachioshed.ports import store

Message = dict[str, typing.Any]

HEADERS: typing.Final = http_headers.Headers({"Content-Type": ["application/json"]})
# gRPC status codes that say that the effect of a call is unknown: canceled, unknown,
# deadline exceeded, aborted, internal, unavailable, data loss.
UNKNOWN_OUTCOME_CODES: typing.Final = frozenset({1, 2, 4, 10, 13, 14, 15})
# Errors that arise before any byte of a request is sent.
NOT_SENT_ERRORS: typing.Final = (error.ConnectError, error.UnsupportedAddressFamily)
# Errors of a call that may have reached the peer; a deadline that ends a call while
# it is being sent also arrives as one of these.
CONNECTION_LOST_ERRORS: typing.Final = (
    error.ConnectionClosed,
    client.ResponseFailed,
    client.RequestGenerationFailed,
    client.RequestTransmissionFailed,
)

COMPARE_FIELDS: typing.Final = {
    "mod": ("MOD", "mod_revision"),
    "create": ("CREATE", "create_revision"),
    "version": ("VERSION", "version"),
}


class NotSent(Exception):
    """A call that did not reach the peer."""


class NoAnswer(Exception):
    """A call whose answer did not arrive or leaves its effect unknown."""


class Rejected(Exception):
    """A call that the peer rejected."""


class BodyReader(protocol.Protocol):
    """Passes the bytes of a response on; `finished` fires when the response ends."""

    def __init__(self, deliver: abc.Callable[[bytes], object]) -> None:
        self.deliver = deliver
        self.finished: defer.Deferred[None] = defer.Deferred(lambda _: self.close())

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes on."""
        self.deliver(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Fire `finished`."""
        if self.finished.called:
            return
        if reason.check(client.ResponseDone):
            self.finished.callback(None)
        else:
            self.finished.errback(reason)

    def close(self) -> None:
        """Close the connection without waiting for the rest."""
        transport: typing.Any = self.transport
        if transport is not None:
            transport.loseConnection()


def make_client(reactor: typing.Any, deadline_seconds: float) -> treq.client.HTTPClient:
    """Make an HTTP client with a new connection for each call.

    A kept connection may be silent for good while new ones work; a new one costs a
    round trip and tells a refused write, which had no effect, from a cut one.
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
    """Make one call and return its answer.

    Raises
    ------
    NotSent, NoAnswer, Rejected
        By what the failure says about the call's effect.
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
    """Return an answer's message.

    Raises
    ------
    NoAnswer, Rejected
        If the answer is an error or not JSON.
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
    """Return the gateway's form of bytes."""
    return base64.b64encode(data).decode()


def decode_base64(text: str) -> bytes:
    """Return bytes from the gateway's form."""
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
    """Return a condition's message."""
    target, field = COMPARE_FIELDS[compare.target]
    selection = (
        make_prefix_selector(compare.key)
        if compare.prefix
        else make_key_selector(compare.key)
    )
    return {
        **selection,
        "target": target,
        "result": compare.result.upper(),
        field: str(compare.value),
    }


def make_write(write: store.Write) -> Message:
    """Return a write's message."""
    if isinstance(write, store.Delete):
        return {"request_delete_range": make_key_selector(write.key)}
    put = {**make_key_selector(write.key), "value": encode_base64(write.value)}
    if write.lease:
        put["lease"] = str(write.lease)
    return {"request_put": put}


def parse_revision(message: Message) -> int:
    """Return the store's revision from an answer's header."""
    return int(message.get("header", {}).get("revision", 0))


def parse_pair(message: Message) -> store.Pair:
    """Return a pair from its message."""
    return store.Pair(
        decode_base64(message["key"]).decode(),
        decode_base64(message.get("value", "")),
        int(message.get("create_revision", 0)),
        int(message.get("mod_revision", 0)),
        int(message.get("version", 0)),
        int(message.get("lease", 0)),
    )


def parse_event(message: Message) -> store.Event:
    """Return an event from its message."""
    pair = parse_pair(message["kv"])
    deleted = message.get("type") == "DELETE"
    return store.Event(pair.key, pair.value, pair.mod_revision, deleted)
