"""Record types of a run's history and the rules that the history is checked against.

A history is a flat list of typed records, either from a simulated experiment or from
the JSON lines that processes write. All times are seconds on one clock.
"""

import collections
import typing
from collections import abc

Outcome = typing.Literal["ran", "not run", "unknown"]


class Operation(typing.NamedTuple):
    """One request as observed by its caller.

    `answer` is the request id that the answer named, None without an answer, and
    `whole` says whether the body was complete and intact.
    """

    caller: str
    service: str
    request: str
    idempotent: bool
    invoked_s: float
    returned_s: float | None
    outcome: Outcome
    answer: str | None = None
    whole: bool = True


class Execution(typing.NamedTuple):
    """An upstream ran a request."""

    service: str
    upstream: str
    request: str
    at_s: float


class Delivery(typing.NamedTuple):
    """A packet of a flow reached an upstream.

    `service` is the flow's service and `upstream_service` the upstream's. `node` is
    the balancer that sent the packet, empty if that is not known.
    """

    service: str
    flow: str
    upstream: str
    upstream_service: str
    opening: bool
    at_s: float
    node: str = ""


class OpeningRefused(typing.NamedTuple):
    """A balancer refused a flow's opening."""

    service: str
    flow: str
    node: str
    at_s: float


class EditAccepted(typing.NamedTuple):
    """The store accepted a table version."""

    service: str
    version: int
    at_s: float


class VersionInForce(typing.NamedTuple):
    """A node put a table version in force."""

    node: str
    service: str
    version: int
    at_s: float


class NodeLive(typing.NamedTuple):
    """A node was live and reachable from `from_s` until `until_s`."""

    node: str
    from_s: float
    until_s: float


class UpstreamLeaving(typing.NamedTuple):
    """An upstream was marked as leaving, by its row or by its own health endpoint."""

    service: str
    upstream: str
    at_s: float


Record = (
    Operation
    | Execution
    | Delivery
    | OpeningRefused
    | EditAccepted
    | VersionInForce
    | NodeLive
    | UpstreamLeaving
)


class Bounds(typing.NamedTuple):
    """Limits and guarantees that the rules check against.

    `planned_only` means that the run had no unplanned failure, so every operation must
    have a known outcome and every flow must keep its upstream. `flows_stay` requires
    only the latter, as after the death of a balancer with no change in progress.
    """

    leaving_s: float = 5.0
    in_force_s: float = 4.0
    planned_only: bool = False
    flows_stay: bool = False
    refusal_memory_s: float = 30.0


class Violation(typing.NamedTuple):
    """A broken rule and a description of what broke it.

    `detail` starts with the flow, request or service concerned, for the trace.
    """

    rule: str
    detail: str


Rule = abc.Callable[[abc.Sequence[Record], Bounds], abc.Iterator[Violation]]


def check_history(records: abc.Sequence[Record], bounds: Bounds) -> list[Violation]:
    """Return every violation in a history.

    Parameters
    ----------
    records : sequence of Record
        The history, in any order.
    bounds : Bounds
        The targets of the run.

    Returns
    -------
    list of Violation
        Empty if the history satisfies every rule.
    """
    return [violation for rule in RULES for violation in rule(records, bounds)]


def find_repeated_executions(
    records: abc.Sequence[Record], bounds: Bounds
) -> abc.Iterator[Violation]:
    """Yield a violation for each non-idempotent request that ran more than once."""
    counts = collections.Counter(
        (record.service, record.request)
        for record in records
        if isinstance(record, Execution)
    )
    for operation in _select_operations(records):
        count = counts[operation.service, operation.request]
        if not operation.idempotent and count > 1:
            yield Violation("at most once", f"{operation.request} ran {count} times")


def find_false_refusals(
    records: abc.Sequence[Record], bounds: Bounds
) -> abc.Iterator[Violation]:
    """Yield requests whose reported outcome is false.

    They were refused as not run but ran, or were answered but never ran.
    """
    ran = {
        (record.service, record.request)
        for record in records
        if isinstance(record, Execution)
    }
    for operation in _select_operations(records):
        executed = (operation.service, operation.request) in ran
        if operation.outcome == "not run" and executed:
            yield Violation(
                "not run is true", f"{operation.request} was refused but ran"
            )
        if operation.outcome == "ran" and not executed:
            yield Violation(
                "ran is true", f"{operation.request} was answered but never ran"
            )


def find_wrong_answers(
    records: abc.Sequence[Record], bounds: Bounds
) -> abc.Iterator[Violation]:
    """Yield answers that belong to another request or have a damaged body."""
    for operation in _select_operations(records):
        if operation.outcome != "ran":
            continue
        if operation.answer != operation.request:
            detail = f"{operation.request} got the answer to {operation.answer}"
            yield Violation("own answer", detail)
        elif not operation.whole:
            yield Violation(
                "whole answer", f"{operation.request} got an incomplete or altered body"
            )


def find_crossed_services(
    records: abc.Sequence[Record], bounds: Bounds
) -> abc.Iterator[Violation]:
    """Yield packets that reached an upstream of another service."""
    for record in records:
        if isinstance(record, Delivery) and record.service != record.upstream_service:
            detail = (
                f"{record.service} packet reached another service's upstream "
                f"{record.upstream}"
            )
            yield Violation("services apart", detail)


def find_openings_at_leaving_upstreams(
    records: abc.Sequence[Record], bounds: Bounds
) -> abc.Iterator[Violation]:
    """Yield flows that opened at an upstream too long after it began to leave.

    Flows from a balancer that was frozen or isolated within that time are allowed,
    because it could not have learned of the change.
    """
    live_intervals = [record for record in records if isinstance(record, NodeLive)]
    leaving: dict[tuple[str, str], float] = {}
    for record in records:
        if isinstance(record, UpstreamLeaving):
            key = (record.service, record.upstream)
            leaving[key] = min(record.at_s, leaving.get(key, record.at_s))
    first_seen: dict[str, Delivery] = {}
    for delivery in _select_deliveries(records):
        first_seen.setdefault(delivery.flow, delivery)
    for delivery in first_seen.values():
        since = leaving.get((delivery.service, delivery.upstream))
        if since is None or delivery.at_s <= since + bounds.leaving_s:
            continue
        from_s = delivery.at_s - bounds.leaving_s
        if not delivery.node or _is_live(
            live_intervals, delivery.node, from_s, delivery.at_s
        ):
            late = delivery.at_s - since
            detail = (
                f"{delivery.flow} opened at {delivery.upstream} {late:.1f} s after it "
                "began to leave"
            )
            yield Violation("leaving upstream", detail)


def find_late_edits(
    records: abc.Sequence[Record], bounds: Bounds
) -> abc.Iterator[Violation]:
    """Yield edits that a live node did not put in force in time.

    Only nodes that were live from the edit until the deadline are checked.
    """
    in_force = [record for record in records if isinstance(record, VersionInForce)]
    live_intervals = [record for record in records if isinstance(record, NodeLive)]
    for edit in records:
        if not isinstance(edit, EditAccepted):
            continue
        deadline = edit.at_s + bounds.in_force_s
        for interval in live_intervals:
            if interval.from_s > edit.at_s or interval.until_s < deadline:
                continue
            if not any(
                record.node == interval.node
                and record.service == edit.service
                and record.version >= edit.version
                and record.at_s <= deadline
                for record in in_force
            ):
                detail = (
                    f"{edit.service} v{edit.version} was not in force in time on "
                    f"{interval.node}"
                )
                yield Violation("edit in force", detail)


def find_reverted_versions(
    records: abc.Sequence[Record], bounds: Bounds
) -> abc.Iterator[Violation]:
    """Yield nodes that went back to an older table version."""
    newest: dict[tuple[str, str], int] = {}
    in_force = [record for record in records if isinstance(record, VersionInForce)]
    for record in sorted(in_force, key=lambda record: record.at_s):
        key = (record.node, record.service)
        if record.version < newest.get(key, 0):
            detail = f"{record.service} reverted to v{record.version} on {record.node}"
            yield Violation("never reverts", detail)
        newest[key] = max(record.version, newest.get(key, 0))


def find_flows_forwarded_after_refusal(
    records: abc.Sequence[Record], bounds: Bounds
) -> abc.Iterator[Violation]:
    """Yield flows that a balancer forwarded after it had refused their opening.

    This holds for `Bounds.refusal_memory_s` after the refusal.
    """
    refused: dict[tuple[str, str], float] = {}
    for record in records:
        if isinstance(record, OpeningRefused):
            key = (record.node, record.flow)
            refused[key] = max(record.at_s, refused.get(key, record.at_s))
    for delivery in _select_deliveries(records):
        since = refused.get((delivery.node, delivery.flow))
        if since is None or not 0 < delivery.at_s - since < bounds.refusal_memory_s:
            continue
        detail = f"{delivery.flow} was refused, then sent to {delivery.upstream}"
        yield Violation("refusal stands", detail)


def find_moved_flows(
    records: abc.Sequence[Record], bounds: Bounds
) -> abc.Iterator[Violation]:
    """Yield flows that reached a second upstream in a run where none may move."""
    if not (bounds.planned_only or bounds.flows_stay):
        return
    for flow, upstreams in list_flow_upstreams(records).items():
        if len(upstreams) > 1:
            yield Violation("flow survives", f"{flow} reached {', '.join(upstreams)}")


def find_requests_of_unknown_outcome(
    records: abc.Sequence[Record], bounds: Bounds
) -> abc.Iterator[Violation]:
    """Yield operations of unknown outcome in a run with planned changes only."""
    if not bounds.planned_only:
        return
    for operation in _select_operations(records):
        if operation.outcome == "unknown":
            yield Violation(
                "no request cut", f"{operation.request} has an unknown outcome"
            )


def list_flow_upstreams(records: abc.Iterable[Record]) -> dict[str, list[str]]:
    """Return the upstreams that each flow's packets reached, in order of arrival."""
    upstreams: dict[str, list[str]] = {}
    for delivery in _select_deliveries(records):
        reached = upstreams.setdefault(delivery.flow, [])
        if delivery.upstream not in reached:
            reached.append(delivery.upstream)
    return upstreams


def _is_live(
    live_intervals: abc.Iterable[NodeLive], node: str, from_s: float, until_s: float
) -> bool:
    return any(
        interval.node == node
        and interval.from_s <= from_s
        and interval.until_s >= until_s
        for interval in live_intervals
    )


def _select_operations(records: abc.Iterable[Record]) -> abc.Iterator[Operation]:
    return (record for record in records if isinstance(record, Operation))


def _select_deliveries(records: abc.Iterable[Record]) -> list[Delivery]:
    deliveries = [record for record in records if isinstance(record, Delivery)]
    return sorted(deliveries, key=lambda delivery: delivery.at_s)


RULES: typing.Final[tuple[Rule, ...]] = (
    find_repeated_executions,
    find_false_refusals,
    find_wrong_answers,
    find_crossed_services,
    find_openings_at_leaving_upstreams,
    find_late_edits,
    find_reverted_versions,
    find_flows_forwarded_after_refusal,
    find_moved_flows,
    find_requests_of_unknown_outcome,
)
