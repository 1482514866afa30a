"""Settings, events and actions of the control process's policy (`distribution`)."""

import typing

from pistachioshed.core import digests, events, link, tables


class Settings(typing.NamedTuple):
    """Settings of the policy; durations are in seconds.

    `bus` is the "ip:port" at which other control processes subscribe to this one.
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
    """A VM on the platform's list and the bus address of its control process."""

    vm: events.Vm
    bus: str


class StoreTable(typing.NamedTuple):
    """A table from the store, with the store revision at which it was written."""

    table: tables.Table
    revision: int


class StoreRead(typing.NamedTuple):
    """A read of all tables is complete; a `StoreTable` event preceded for each one."""

    revision: int


class StoreAvailable(typing.NamedTuple):
    """A call on the store succeeded."""


class StoreUnavailable(typing.NamedTuple):
    """A call on the store failed."""

    reason: str


class DigestReceived(typing.NamedTuple):
    """Another control process published its digest."""

    digest: digests.Digest


class TableReceived(typing.NamedTuple):
    """Another control process published a table."""

    peer: str
    zone: str
    table: tables.Table


class ProbesReceived(typing.NamedTuple):
    """Another control process published probe results."""

    peer: str
    results: tuple[digests.ProbeResult, ...]


class FetchRequested(typing.NamedTuple):
    """Another control process requests tables newer than the versions it holds."""

    request: int
    held_versions: dict[str, int]


class FetchAnswered(typing.NamedTuple):
    """A peer answered a fetch request of this control process."""

    peer: str
    tables: tuple[tables.Table, ...]


class FetchFailed(typing.NamedTuple):
    """A fetch from a peer failed or timed out."""

    peer: str
    reason: str


class MembersReceived(typing.NamedTuple):
    """The platform's VM list was read; it may be out of date."""

    members: tuple[Member, ...]


class ReportReceived(typing.NamedTuple):
    """The local balancer sent its report."""

    report: link.Report


class ProbeFinished(typing.NamedTuple):
    """A probe that this control process sent to an upstream has a result."""

    result: events.ProbeReported


class LeaseGranted(typing.NamedTuple):
    """The lease and the zone's reporter key were created; `fence` is its revision."""

    lease: int
    fence: int


class LeaseRenewed(typing.NamedTuple):
    """A renewal succeeded; `sent_at` is when it was sent, by the policy's clock."""

    lease: int
    sent_at: float


class LeaseLost(typing.NamedTuple):
    """A lease grant or renewal failed, or the fence refused a write."""

    reason: str


class StatusWritten(typing.NamedTuple):
    """A status write took effect."""


class StatusFailed(typing.NamedTuple):
    """A status write failed for another reason than its fence."""

    reason: str


class Tick(typing.NamedTuple):
    """The periodic timer fired; expected every 100 ms."""


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
    """Read all tables from the store, then watch them for changes."""


class StopWatch(typing.NamedTuple):
    """Stop watching the store."""


class ReadTable(typing.NamedTuple):
    """Read one service's table from the store."""

    service: str


class Subscribe(typing.NamedTuple):
    """Subscribe to exactly these peers, given as (name, bus address)."""

    peers: tuple[tuple[str, str], ...]


class PublishTable(typing.NamedTuple):
    """Publish a table to the subscribers."""

    table: tables.Table


class PublishDigest(typing.NamedTuple):
    """Publish this control process's digest to the subscribers."""

    digest: digests.Digest


class PublishProbes(typing.NamedTuple):
    """Publish probe results to the subscribers."""

    results: tuple[digests.ProbeResult, ...]


class FetchTables(typing.NamedTuple):
    """Request tables newer than the held versions from a peer."""

    peer: str
    bus: str
    held_versions: dict[str, int]


class AnswerFetch(typing.NamedTuple):
    """Answer a peer's fetch request."""

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
    """Create the zone's reporter key under a new lease, if no such key exists."""

    ttl_s: float


class RenewLease(typing.NamedTuple):
    """Renew the lease of the reporter key."""

    lease: int


class DropLease(typing.NamedTuple):
    """Revoke the lease, which deletes the reporter key."""

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
