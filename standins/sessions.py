"""A caller's flow: requests over one connection at a time, and their responses."""

import asyncio
import json
import typing

from standins import hosts, http3

KEEPALIVE_INTERVAL_S: typing.Final = 2.0
REQUEST_TIMEOUT_S: typing.Final = 10.0
DEADLINE_MS: typing.Final = 5_000


class Target(typing.NamedTuple):
    """A service's address and the mix of requests to send to it."""

    service: str
    address: http3.Address
    mix: typing.Literal["requests", "sheets"]


class Operation(typing.NamedTuple):
    """One request to make, possibly in several attempts."""

    kind: str
    request_id: str
    method: str
    path: str

    def make_attempt_id(self, attempt: int) -> str:
        """Return the request id of one attempt, so that each is checked separately."""
        return f"{self.request_id}.{attempt}"


class Flow:
    """A caller's session: one connection at a time, reopened when its host drains.

    `broken` is the reason why the flow broke, or empty.
    """

    def __init__(self, address: http3.Address) -> None:
        self.address = address
        self.client: http3.Client | None = None
        self.keepalive: asyncio.Task[None] | None = None
        self.broken = ""

    async def request(self, operation: Operation, request_id: str) -> http3.Response:
        """Send a request over the open connection, or over a new one."""
        if self.client is not None and not self.client.usable:
            if self.client.terminated is not None:
                self.broken = "terminated while idle"
            await self.close()
        if self.client is None:
            self.client = await http3.open_connection(self.address)
            self.keepalive = asyncio.create_task(send_keepalives(self.client))
        return await self.client.request(
            operation.method,
            operation.path,
            {"x-request-id": request_id, "x-deadline-ms": str(DEADLINE_MS)},
            REQUEST_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Close the connection, if one is open."""
        if self.keepalive is not None:
            self.keepalive.cancel()
        if self.client is not None:
            await http3.close_connection(self.client)
        self.client = None


async def send_keepalives(client: http3.Client) -> None:
    """Ping the server every 2 s until the connection ends."""
    while client.terminated is None:
        await asyncio.sleep(KEEPALIVE_INTERVAL_S)
        client.send_keepalive()


def parse_response(
    operation: Operation,
    request_id: str,
    response: http3.Response,
) -> tuple[str | None, bool]:
    """Return the id of the request that a response is for, and whether it is whole."""
    if operation.kind == "sheet":
        size = int(operation.path.rpartition("=")[2])
        content = hosts.make_sheet(operation.request_id, size)
        # A sheet's content is derived from its name, so a mismatch reveals the response
        # to another request.
        is_answered = response.body[:64] == content[:64]
        return request_id if is_answered else None, response.body == content
    try:
        return str(json.loads(response.body)["request"]), True
    except (ValueError, KeyError):
        return None, False
