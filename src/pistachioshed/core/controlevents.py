"""Settings, events and actions of the control process's policy."""

import typing

from pistachioshed.core import digests, events, link, tables


class Settings(typing.NamedTuple):
    """Settings of the policy; durations are in seconds.

    `bus` is the "ip:port" at which other controls subscribe to this one.
    """

    name: str
    zone: str
    bus: str = "127.0.0.1:7100"
    digest_interval_s: float = 1.0
    silence_s: float = 3.0
    boot_timeout_s: float = 2.5
    boot_peers: int = 3
    fetch_delay_s: float = 0.05
    fetch_jitter_s: float = 0.25
    fetch_timeout_s: float = 1.0
    conflict_interval_s: float = 10.0
    max_published_bytes: int = 16_384
    max_fetched_bytes: int = 2_000_000
    probe_interval_s: float = 1.0
    probe_refresh_s: float = 5.0
    probers_per_upstream: int = 2
    lease_ttl_s: float = 15.0
    lease_renew_s: float = 5.0
    lease_margin_s: float = 3.0
    status_interval_s: float = 10.0
    status_gap_s: float = 1.0


class Member(typing.NamedTuple):
    """A VM of the platform's list and the bus address of its control process."""

    vm: events.Vm
    bus: str


class StoreTable(typing.NamedTuple):
    """A table from the store, with the store revision that wrote it."""

    table: tables.Table
    revision: int


class StoreRead(typing.NamedTuple):
    """A read of all tables is complete; its tables came before this event."""

    revision: int


class StoreAvailable(typing.NamedTuple):
    """The store answers calls."""


class StoreUnavailable(typing.NamedTuple):
    """A call on the store failed."""

    reason: str


class DigestReceived(typing.NamedTuple):
    """Another control published its digest."""

    digest: digests.Digest


class TableReceived(typing.NamedTuple):
    """Another control published a table."""

    peer: str
    zone: str
    table: tables.Table


class ProbesReceived(typing.NamedTuple):
    """Another control published probe results."""

    peer: str
    results: tuple[digests.ProbeResult, ...]


class FetchRequested(typing.NamedTuple):
    """Another control asks for tables newer than the versions it holds."""

    request: int
    held_versions: dict[str, int]


class FetchAnswered(typing.NamedTuple):
    """A peer answered a fetch."""

    peer: str
    tables: tuple[tables.Table, ...]


class FetchFailed(typing.NamedTuple):
    """A peer did not answer a fetch."""

    peer: str
    reason: str


class MembersReceived(typing.NamedTuple):
    """The platform's VM list, possibly out of date."""

    members: tuple[Member, ...]


class ReportReceived(typing.NamedTuple):
    """The local balancer's report."""

    report: link.Report


class ProbeFinished(typing.NamedTuple):
    """A probe of an upstream that this control sent has a result."""

    result: events.ProbeReported


class LeaseGranted(typing.NamedTuple):
    """The control created its zone's reporter key; `fence` is its revision."""

    lease: int
    fence: int


class LeaseRenewed(typing.NamedTuple):
    """A renewal succeeded; `sent_at` is when it was sent, by the policy's clock."""

    lease: int
    sent_at: float


class LeaseLost(typing.NamedTuple):
    """A grant or renewal failed, or a fenced write was refused."""

    reason: str


class StatusWritten(typing.NamedTuple):
    """A status write took effect."""


class StatusFailed(typing.NamedTuple):
    """A status write failed without a refusal by its fence."""

    reason: str


class Tick(typing.NamedTuple):
    """Time passed; expected every 100 ms."""


Event = (
    StoreTable
    | StoreRead
    | StoreAvailable
    | StoreUnavailable
    | DigestReceived
    | TableReceived
    | ProbesReceived
    | FetchRequested
    | FetchAnswered
    | FetchFailed
    | MembersReceived
    | ReportReceived
    | ProbeFinished
    | LeaseGranted
    | LeaseRenewed
    | LeaseLost
    | StatusWritten
    | StatusFailed
    | Tick
)


class StartWatch(typing.NamedTuple):
    """Read all tables from the store, then watch them."""


class StopWatch(typing.NamedTuple):
    """Stop watching the store."""


class ReadTable(typing.NamedTuple):
    """Read one service's table from the store."""

    service: str


class Subscribe(typing.NamedTuple):
    """Hold subscriptions to exactly these peers, given as (name, bus address)."""

    peers: tuple[tuple[str, str], ...]


class PublishTable(typing.NamedTuple):
    """Publish a table to the subscribers."""

    table: tables.Table


class PublishDigest(typing.NamedTuple):
    """Publish this control's digest to the subscribers."""

    digest: digests.Digest


class PublishProbes(typing.NamedTuple):
    """Publish probe results to the subscribers."""

    results: tuple[digests.ProbeResult, ...]


class FetchTables(typing.NamedTuple):
    """Ask a peer for tables newer than the versions held."""

    peer: str
    bus: str
    held_versions: dict[str, int]


class AnswerFetch(typing.NamedTuple):
    """Answer a peer's fetch."""

    request: int
    tables: tuple[tables.Table, ...]


class Deliver(typing.NamedTuple):
    """Send an update to the local balancer."""

    update: link.Update


class ProbeUpstream(typing.NamedTuple):
    """Probe an upstream's health and load endpoints."""

    service: str
    upstream: str
    address: str


class GrantLease(typing.NamedTuple):
    """Create the zone's reporter key under a new lease, if the key is absent."""

    ttl_s: float


class RenewLease(typing.NamedTuple):
    """Renew the lease."""

    lease: int


class DropLease(typing.NamedTuple):
    """Revoke the lease, which removes the reporter key."""

    lease: int


class WriteStatus(typing.NamedTuple):
    """Write the zone's status if the reporter key's creation revision is `fence`."""

    fence: int
    status: dict[str, dict[str, int]]


Action = (
    StartWatch
    | StopWatch
    | ReadTable
    | Subscribe
    | PublishTable
    | PublishDigest
    | PublishProbes
    | FetchTables
    | AnswerFetch
    | Deliver
    | ProbeUpstream
    | GrantLease
    | RenewLease
    | DropLease
    | WriteStatus
    | events.Notice
)
