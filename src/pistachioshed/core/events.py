"""Events that a driver passes to the decision core, and the actions it gets back."""

import enum
import typing

from pistachioshed.core import tables


class PacketKind(enum.IntEnum):
    """Whether a caller's packet may start a flow or continues one."""

    OPENING = 0
    DATA = 1


class Vm(typing.NamedTuple):
    """One balancer VM in the platform's VM list.

    `capacity` is the machine's size relative to the others, above 0. `address` is
    the "ip:port" at which the balancer's peers reach it.
    """

    name: str
    zone: str
    address: str
    capacity: float = 1.0
    leaving: bool = False


class CallerPacket(typing.NamedTuple):
    """A datagram that the fabric delivered to this balancer.

    `flow` is the caller's packed address and port, opaque to the core. `opening_id`
    identifies the connection that an opening belongs to, 0 for data.
    `may_carry_request` is set if the packet is large enough to hold more than an
    acknowledgement.
    """

    service: str
    flow: bytes
    kind: PacketKind
    opening_id: int = 0
    may_carry_request: bool = True


class RelayedPacket(typing.NamedTuple):
    """A caller's datagram that another balancer relayed to this one."""

    peer: str
    service: str
    flow: bytes
    kind: PacketKind
    opening_id: int = 0
    may_carry_request: bool = True


class UpstreamPacket(typing.NamedTuple):
    """A datagram from an upstream, received on one of the balancer's port slots."""

    service: str
    upstream: str
    port: int
    may_carry_response: bool = True


class FlowClosed(typing.NamedTuple):
    """The driver detected the end of a flow; otherwise flows end by idle expiry."""

    service: str
    flow: bytes


class PeerMessage(typing.NamedTuple):
    """An encoded control message from another balancer."""

    peer: str
    payload: bytes


class TableReceived(typing.NamedTuple):
    """A table from the control process; ignored unless its version is higher."""

    table: tables.Table


class VmsReceived(typing.NamedTuple):
    """The platform's list of live and leaving balancer VMs, possibly out of date."""

    vms: tuple[Vm, ...]


class ProbeReported(typing.NamedTuple):
    """The result of probing an upstream's health and load endpoints.

    `load` is the share of the upstream's slots in use, `latency_s` the duration
    of the probe; each is None if the endpoint did not provide it.
    """

    service: str
    upstream: str
    ok: bool
    draining: bool = False
    load: float | None = None
    latency_s: float | None = None


class Tick(typing.NamedTuple):
    """Time has passed; expected every 100 ms."""


class StopRequested(typing.NamedTuple):
    """The operator asked this balancer to stop gracefully."""


Event = (
    CallerPacket
    | RelayedPacket
    | UpstreamPacket
    | FlowClosed
    | PeerMessage
    | TableReceived
    | VmsReceived
    | ProbeReported
    | Tick
    | StopRequested
)


class SendUpstream(typing.NamedTuple):
    """Send the current packet to an upstream from a port slot."""

    service: str
    upstream: str
    address: str
    port: int


class SendOwner(typing.NamedTuple):
    """Relay the current packet to the balancer that owns its flow."""

    peer: str


class SendCaller(typing.NamedTuple):
    """Send the current packet to the caller of a flow."""

    service: str
    flow: bytes


class RefuseOpening(typing.NamedTuple):
    """Refuse the current opening; `not_run` is set only if this is certain."""

    reason: str
    not_run: bool


class DropPacket(typing.NamedTuple):
    """Drop the current packet and count the reason."""

    reason: str


class SendPeer(typing.NamedTuple):
    """Send an encoded control message to another balancer."""

    peer: str
    payload: bytes


class Notice(typing.NamedTuple):
    """A change to be logged; `fields` are JSON values."""

    name: str
    fields: dict[str, object]


class Finished(typing.NamedTuple):
    """The graceful stop is complete; the process may exit."""


Action = (
    SendUpstream
    | SendOwner
    | SendCaller
    | RefuseOpening
    | DropPacket
    | SendPeer
    | Notice
    | Finished
)
