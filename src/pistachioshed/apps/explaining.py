"""Show why the next opening of a route would go where it goes.

A running forwarder answers at its metrics address; the command asks it and prints a
table. `urllib` is imported when it is used, as serving does not need it.
"""

import importlib
import json
import sys
import typing
from collections import abc

from pistachioshed.adapters import eventloop, http1
from pistachioshed.core import dispatch, explanation

PATH: typing.Final = "/explain"
# Over 100 round trips within a region, and the answer about a thousand upstreams.
TIMEOUT_S: typing.Final = 2.0
COLUMNS: typing.Final = (
    "upstream", "zone", "load", "slowness", "health", "cold", "tier", "cost",
)  # fmt: skip


def answer_request(
    dispatcher: dispatch.Dispatcher, request: http1.Request, now: float
) -> http1.Response:
    """Return the explanation of the route in a request's query, as JSON."""
    parse = importlib.import_module("urllib.parse")
    query = parse.parse_qs(request.target.partition("?")[2])
    routes = query.get("route", [])
    headers = {"Content-Type": "application/json"}
    if len(routes) != 1:
        known = sorted(route.name for route in dispatcher.configuration.routes.values())
        body = {"error": f"ask for {PATH}?route=NAME", "routes": known}
        return http1.Response(400, headers, json.dumps(body).encode())
    explained = explanation.explain_route(dispatcher, routes[0], now)
    return http1.Response(200, headers, json.dumps(explained).encode())


def print_explanation(address: tuple[str, int], route: str) -> int:
    """Ask a running forwarder about a route, print the answer, return the status."""
    try:
        explained = request_explanation(address, route)
    except (http1.HttpError, ValueError) as error:
        print(error, file=sys.stderr)
        return 2
    print("\n".join(format_explanation(explained)))
    return 0


def request_explanation(
    address: tuple[str, int], route: str
) -> explanation.RouteExplanation:
    """Return the explanation of a route by a running forwarder.

    Raises
    ------
    HttpError
        If the forwarder does not answer.
    ValueError
        If the answer is no explanation, as from a forwarder without this feature.
    """
    parse = importlib.import_module("urllib.parse")
    target = f"{PATH}?{parse.urlencode({'route': route})}"
    results: list[http1.Response | http1.HttpError] = []

    def raise_error(name: str, error: Exception) -> None:
        raise error

    loop = eventloop.EventLoop(raise_error)
    connection = http1.Connection(loop, address)

    async def ask() -> None:
        try:
            results.append(await connection.request("GET", target, TIMEOUT_S))
        except http1.HttpError as error:
            results.append(error)

    loop.start_task(ask(), "explain")
    loop.run_until(lambda: bool(results))
    connection.close()
    loop.close()
    (result,) = results
    if isinstance(result, http1.HttpError):
        raise result
    is_json = result.headers.get("content-type") == "application/json"
    if result.status != 200 or not is_json:
        raise ValueError(f"{connection.peer} has no explanation of route {route!r}")
    return typing.cast(explanation.RouteExplanation, json.loads(result.body))


def format_explanation(
    explained: explanation.RouteExplanation,
) -> abc.Iterator[str]:
    """Yield the lines that describe an explanation."""
    yield (
        f"route {explained['route']}: kind {explained['kind']}, "
        f"priority {explained['priority']}, "
        f"typical latency {format_seconds(explained['typical_latency_s'])}"
    )
    yield (
        f"configuration {explained['configuration']}, in force for "
        f"{format_seconds(explained['configuration_age_s'])}; "
        f"upstreams of revision {explained['upstreams_revision']}, changed "
        f"{format_seconds(explained['upstreams_age_s'])} ago"
    )
    if explained["refusal"] is not None:
        yield f"refused: {explained['refusal']}"
    for service in explained["services"]:
        yield f"service {service['service']}, weight {service['weight']:g}"
        rows = [COLUMNS, *map(format_row, service["upstreams"])]
        widths = [max(map(len, cells)) for cells in zip(*rows, strict=True)]
        for row in rows:
            cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
            yield f"  {'  '.join(cells)}".rstrip()
        if service["choice"] is None:
            yield f"refused: {service['refusal']}"
        else:
            yield f"choice: {service['choice']}"


def format_row(row: explanation.UpstreamExplanation) -> tuple[str, ...]:
    """Return the cells of the line about an upstream, in the order of `COLUMNS`."""
    health = {"none": "trusted", "here": "suspected", "peers": "suspected by peers"}
    trial = ", trial due" if row["trial_due"] else ""
    tier = ", ".join(row["tier"]) or "preferred"
    return (
        row["upstream"],
        row["zone"],
        f"{row['outstanding']}/{row['slots']}",
        f"{row['slowness']:.2f}",
        health[row["suspicion"]] + trial,
        "yes" if row["cold"] else "no",
        tier if row["exclusion"] is None else f"excluded: {row['exclusion']}",
        f"{row['cost']:.2f}",
    )


def format_seconds(seconds: float | None) -> str:
    """Return a duration as text."""
    return "unknown" if seconds is None else f"{seconds:.3g} s"
