"""Check the health of an upstream over HTTP."""

import typing

from pistachioshed.adapters import eventloop, http1
from pistachioshed.core import directory, segments
from pistachioshed.platform import records

PROBE_TIMEOUT_S: typing.Final = 0.4  # Below the interval between probes.
PROBE_CONNECT_S: typing.Final = 0.15  # More than ten round trips to another zone.
SERVICE_UNAVAILABLE: typing.Final = 503


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
        return CheckResult(classify_error(error), str(error))
    finally:
        connection.close()
    instance_id = response.headers.get(records.INSTANCE_HEADER)
    detail = f"status {response.status} of {instance_id}"
    return CheckResult(
        classify_response(response.status, instance_id, upstream.name), detail
    )


def classify_error(error: http1.HttpError) -> segments.ProbeOutcome:
    """Return the outcome of a check without a response."""
    if error.refused:
        return "refused"
    if error.connected:
        return "busy"
    return "reset" if error.reset else "silent"


def classify_response(
    status: int, instance_id: str | None, name: str
) -> segments.ProbeOutcome:
    """Return the outcome of a check of the upstream `name` that was answered.

    A full host rejects requests, and so health checks, before it handles them: with
    status 503 and without its name.
    """
    if status == SERVICE_UNAVAILABLE and instance_id is None:
        return "busy"
    return "passed" if status == 200 and instance_id == name else "failed"
