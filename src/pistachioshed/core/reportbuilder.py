"""Reports of a forwarder to its peers: their content, recipients and time."""

import typing

from pistachioshed.core import dispatch, loadtable, peertable, reportpacer

PEERS_PER_REPORT: typing.Final = 3  # Less than 80 bytes per report.
# A new peer learns most of a zone from the greetings of a few others.
PEERS_PER_GREETING: typing.Final = 16

Message = peertable.Report | peertable.Heartbeat | loadtable.LoadReport


class Identity(typing.NamedTuple):
    """Properties of a forwarder that stay the same while its process runs.

    `start_ms` orders the incarnations of a forwarder; `capacity` is that of its link in
    Mbit/s.
    """

    name: str
    zone: str
    address: tuple[str, int]
    start_ms: int
    capacity: float


class Status(typing.NamedTuple):
    """State that only the process itself can determine.

    `watches_store` is set if the process watches the store, `store_unreachable` if the
    store has recently failed to answer it. `store_versions` are the versions that it
    has last learned from the store itself.
    """

    watches_store: bool
    store_unreachable: bool
    store_versions: tuple[int, int]
    leaving: bool


class OutgoingReport(typing.NamedTuple):
    """A message that is due, and its recipients."""

    kind: reportpacer.Kind
    reported_state: reportpacer.ReportedState
    message: Message
    recipients: list[tuple[str, int]]


class ReportBuilder:
    """Build the messages of one forwarder to its peers.

    Parameters
    ----------
    identity : Identity
        This forwarder.
    dispatcher : Dispatcher
        Provides its suspicions and versions.
    pacer : ReportPacer
        Decides which kind of message is due.
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
        self.load_table = dispatcher.upstream_selector.load_table
        self.pacer = pacer
        self.sequence = 0

    def build_due_report(self, status: Status, now: float) -> OutgoingReport | None:
        """Return the message that is due, or None."""
        upstreams = self.dispatcher.directory
        versions = (upstreams.changed_revision, self.dispatcher.configuration.version)
        reported_state = reportpacer.ReportedState(
            self.dispatcher.monitor.list_suspected(),
            status.store_unreachable,
            status.leaving,
            status.store_versions,
        )
        should_report_load = self.load_table.should_report(now)
        kind = self.pacer.choose(reported_state, now, should_report_load)
        if kind is None:
            return None
        self.sequence += 1
        recipients = self.peers.list_recipients(self.sequence, kind == "change")
        unheard_zones = self.dispatcher.monitor.list_unheard_zones()
        message: Message = peertable.Heartbeat(self.sequence, unheard_zones)
        if kind == "load":
            message = self.load_table.build_report(self.sequence, unheard_zones, now)
        elif kind != "heartbeat":
            message = self._build_report(status, versions, PEERS_PER_REPORT, now)
        return OutgoingReport(kind, reported_state, message, recipients)

    def build_greeting(
        self, status: Status, address: tuple[str, int], now: float
    ) -> OutgoingReport | None:
        """Return a report for a peer that is not known yet, None without a budget.

        The peer would otherwise wait until the rotation of recipients reaches it.
        """
        self.pacer.bucket.refill(now)
        if self.pacer.bucket.tokens < 0:
            return None
        upstreams = self.dispatcher.directory
        versions = (upstreams.changed_revision, self.dispatcher.configuration.version)
        self.sequence += 1
        return OutgoingReport(
            "greeting",
            self.pacer.reported_state,
            self._build_report(status, versions, PEERS_PER_GREETING, now),
            [address],
        )

    def record_sent(self, outgoing: OutgoingReport, size: int, now: float) -> None:
        """Charge a sent message to the budget; `size` is in bytes per recipient."""
        self.pacer.record_sent(
            outgoing.kind,
            outgoing.reported_state,
            size,
            len(outgoing.recipients),
            now,
        )

    def _build_report(
        self, status: Status, versions: tuple[int, int], peers: int, now: float
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
            # Each report lists a few peers, so that all forwarders discover each other.
            tuple((addresses[start:] + addresses[:start])[:peers]),
            self.dispatcher.monitor.list_unheard_zones(),
        )
