"""Check the health of an upstream over HTTP."""

import typing

from pistachioshed.adapters import eventloop, http1
from pistachioshed.core import directory, segments
from pistachioshed.platform import records

PROBE_TIMEOUT_S: typing.Final = 0.4  # Below the interval between probes.
PROBE_CONNECT_S: typing.Final = 0.15  # More than ten round trips to another zone.


class CheckResult(typing.NamedTuple):
    """The outcome of a health check, and its details for the log."""

    outcome: segments.ProbeOutcome
    detail: str


async def check_health(
    loop: eventloop.EventLoop, upstream: directory.Upstream, path: str
) -> CheckResult:
    """Request the health path of an upstream on a new connection.

    Another host at its address does not pass.
    """
    connection = http1.Connection(loop, upstream.address, PROBE_CONNECT_S)
    try:
        response = await connection.request("GET", path, PROBE_TIMEOUT_S)
    except http1.HttpError as error:
        if error.refused:
            return CheckResult("refused", str(error))
        return CheckResult("busy" if error.connected else "silent", str(error))
    finally:
        connection.close()
    instance_id = response.headers.get(records.INSTANCE_HEADER)
    passed = response.status == 200 and instance_id == upstream.name
    return CheckResult(
        "passed" if passed else "failed", f"status {response.status} of {instance_id}"
    )
