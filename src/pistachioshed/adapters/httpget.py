"""HTTP GET requests with one deadline for the whole response."""

import typing

import treq.client
from twisted.internet import defer, error
from twisted.web import client as web_client

REQUEST_ERRORS: typing.Final = (
    OSError,
    error.ConnectError,
    # The deadline passed while connecting, for example to a host that drops packets.
    error.ConnectingCancelledError,
    error.ConnectionClosed,
    defer.CancelledError,
    defer.TimeoutError,
    web_client.ResponseFailed,
    web_client.ResponseNeverReceived,
)


class HttpFailed(Exception):
    """A request got no usable response; the text names the URL and the cause."""

    def __init__(self, url: str, cause: object) -> None:
        self.url = url
        self.cause = str(cause) or type(cause).__name__
        super().__init__(f"get {url}: {self.cause}")


async def read_url(
    http: treq.client.HTTPClient,
    clock: typing.Any,
    url: str,
    deadline_s: float,
    max_bytes: int,
) -> bytes:
    """Return the body of a response with status 200.

    Raises
    ------
    HttpFailed
        If the status is another one, the connection fails, the deadline passes, or the
        body is longer than `max_bytes`.
    """
    exchange = defer.Deferred.fromCoroutine(_exchange(http, url, max_bytes))
    exchange.addTimeout(deadline_s, clock)
    try:
        return await exchange
    except REQUEST_ERRORS as cause:
        raise HttpFailed(url, cause) from cause


async def _exchange(http: treq.client.HTTPClient, url: str, max_bytes: int) -> bytes:
    response = await http.get(url, unbuffered=True)
    body = bytearray()

    def collect(data: bytes) -> None:
        body.extend(data[: max_bytes + 1 - len(body)])

    await treq.collect(response, collect)
    if response.code != 200:
        raise HttpFailed(url, f"status {response.code}")
    if len(body) > max_bytes:
        raise HttpFailed(url, f"the response is longer than {max_bytes} bytes")
    return bytes(body)
