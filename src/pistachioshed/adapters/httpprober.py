"""HTTP probes of upstreams: `/health` and `/load`, at the row's address.

`/health` returns `{"status": "ok"}` or `{"status": "draining"}`; `/load` returns
`{"load": SHARE}` with the share of the slots in use. Both are served over TCP at the
row's IP address, at its port plus a configured offset (0 by default).
"""

import typing

import msgspec
import treq.client

from pistachioshed.adapters import httpget
from pistachioshed.core import addresses
from pistachioshed.ports import probes

DEADLINE_S: typing.Final = 0.8
MAX_RESPONSE_BYTES: typing.Final = 65_536

T = typing.TypeVar("T")


class Health(msgspec.Struct):
    """The response of the health endpoint."""

    status: str


class Load(msgspec.Struct):
    """The response of the load endpoint."""

    load: float


class ProbeFailed(Exception):
    """An endpoint returned no usable response."""


class HttpProber:
    """Probe upstreams over HTTP, with a deadline for each endpoint."""

    def __init__(
        self,
        http: treq.client.HTTPClient,
        port_offset: int,
        clock: typing.Any,
    ) -> None:
        self.http = http
        self.port_offset = port_offset
        self.clock = clock

    async def probe(self, address: str) -> probes.Outcome | None:
        """Probe the upstream at a row's address; a failure is returned, not raised.

        Return None for IPv6 addresses, which are not probed: treq passes the host of a
        URL to `idna`, which rejects the colons.
        """
        host, port = addresses.parse_address(address)
        if ":" in host:
            return None
        base = f"http://{host}:{port + self.port_offset}"
        started_at = self.clock.seconds()
        try:
            health = await self._get_json(f"{base}/health", Health)
        except ProbeFailed:
            return probes.Outcome(False)
        latency_s = round(self.clock.seconds() - started_at, 4)
        draining = health.status == "draining"
        ok = draining or health.status == "ok"
        try:
            load = (await self._get_json(f"{base}/load", Load)).load
        except ProbeFailed:
            return probes.Outcome(ok, draining, None, latency_s)
        rounded_load = round(load, 2) if 0 <= load <= 1_000 else None
        return probes.Outcome(ok, draining, rounded_load, latency_s)

    async def _get_json(self, url: str, response_type: type[T]) -> T:
        try:
            body = await httpget.read_url(
                self.http, self.clock, url, DEADLINE_S, MAX_RESPONSE_BYTES
            )
            return msgspec.json.decode(body, type=response_type)
        except (httpget.HttpFailed, msgspec.MsgspecError) as cause:
            raise ProbeFailed from cause
