"""The interface to the upstreams' health and load endpoints."""

import typing


class Outcome(typing.NamedTuple):
    """The result of probing an upstream; `load` is None when it is not known."""

    ok: bool
    draining: bool = False
    load: float | None = None
    latency_s: float | None = None


class Prober(typing.Protocol):
    """Query the health and load of upstreams.

    Its coroutine awaits Twisted deferreds.
    """

    async def probe(self, address: str) -> Outcome | None:
        """Probe the upstream at a row's address; a failure is returned, not raised.

        Return None for an address that cannot be probed; this gives no information
        about the upstream.
        """
