"""The port to the upstreams' health and load endpoints."""

import typing


class Outcome(typing.NamedTuple):
    """What an upstream's endpoints said; `load` is None when it is not known."""

    ok: bool
    draining: bool = False
    load: float | None = None
    latency_s: float | None = None


class Prober(typing.Protocol):
    """Asks upstreams for their health and load.

    Its coroutine awaits Twisted deferreds.
    """

    async def probe(self, address: str) -> Outcome | None:
        """Probe the upstream of a row's address; a failure is an outcome.

        The result is None for an address that can not be probed, which says nothing
        about the upstream.
        """
