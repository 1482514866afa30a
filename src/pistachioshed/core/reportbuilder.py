"""What a balancer tells its peers of itself, and whom and when."""

import typing

from pistachioshed.core import dispatch, peertable, reportpacer

PEERS_PER_REPORT: typing.Final = 3  # Under 60 bytes of each report.

Message = peertable.Report | peertable.Heartbeat


class Identity(typing.NamedTuple):
    """What stays the same for as long as a process runs.

    `start_ms` orders the incarnations of a balancer; `capacity` is that of its link in
    Mbit/s.
    """

    name: str
    zone: str
    address: tuple[str, int]
    start_ms: int
    capacity: float


class Status(typing.NamedTuple):
    """What only the process knows of itself.

    `watches` tells whether it follows the store, `lost` whether the store has lately
    not answered it.
    """

    watches_store: bool
    store_unreachable: bool
    leaving: bool


class OutgoingReport(typing.NamedTuple):
    """A message to send now."""

    kind: reportpacer.Kind
    reported_state: reportpacer.ReportedState
    message: Message
    recipients: list[tuple[str, int]]


class ReportBuilder:
    """Builds the messages of one balancer.

    Parameters
    ----------
    identity : Identity
        This balancer.
    dispatcher : Dispatcher
        Its suspicions and versions.
    pacer : ReportPacer
        Decides what is due.
    """

    def __init__(
        self,
        identity: Identity,
        dispatcher: dispatch.Dispatcher,
        pacer: reportpacer.ReportPacer,
    ) -> None:
        self.identity = identity
        self.dispatcher = dispatcher
        self.peers = dispatcher.peers
        self.pacer = pacer
        self.sequence = 0

    def build_due_report(self, status: Status, now: float) -> OutgoingReport | None:
        """Return what is due."""
        upstreams = self.dispatcher.directory
        versions = (upstreams.changed_revision, self.dispatcher.configuration.version)
        reported_state = reportpacer.ReportedState(
            self.dispatcher.monitor.list_suspected(),
            status.store_unreachable,
            status.leaving,
            versions if status.watches_store else (0, 0),
        )
        kind = self.pacer.choose(reported_state, now)
        if kind is None:
            return None
        self.sequence += 1
        recipients = self.peers.list_recipients(self.sequence, kind == "change")
        message: Message = peertable.Heartbeat(self.sequence)
        if kind != "heartbeat":
            message = self._build_report(status, versions, now)
        return OutgoingReport(kind, reported_state, message, recipients)

    def note_sent(self, outgoing: OutgoingReport, size: int, now: float) -> None:
        """Take a message of a size in bytes out of the budget."""
        self.pacer.note_sent(
            outgoing.kind,
            outgoing.reported_state,
            size,
            len(outgoing.recipients),
            now,
        )

    def _build_report(
        self, status: Status, versions: tuple[int, int], now: float
    ) -> peertable.Report:
        addresses = [peer.address for peer in self.peers.list_live(now)]
        start = self.sequence % max(1, len(addresses))
        identity = self.identity
        return peertable.Report(
            identity.name,
            identity.zone,
            identity.address,
            identity.start_ms,
            self.sequence,
            status.watches_store,
            status.store_unreachable,
            status.leaving,
            identity.capacity,
            *versions,
            self.dispatcher.monitor.list_suspected(),
            # Each report passes on a few peers, so that all learn of all.
            tuple(addresses[start : start + PEERS_PER_REPORT]),
        )
