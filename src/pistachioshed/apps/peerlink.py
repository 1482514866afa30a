"""Exchange reports and heartbeats with the other forwarders."""

from collections import abc

from pistachioshed.adapters import jsonlog, reportsocket
from pistachioshed.core import (
    dispatch,
    loadtable,
    peertable,
    reportbuilder,
    reportpacer,
)

GetStatus = abc.Callable[[float], reportbuilder.Status]
"""Return the state of the process that reports contain, at a time."""


class PeerLink:
    """Send the reports of this forwarder and handle those of its peers.

    Parameters
    ----------
    identity : Identity
        This forwarder.
    dispatcher : Dispatcher
        Has the peers, and handles what they suspect.
    get_status : callable
        Returns what only the process knows.
    count : callable
        Increments a counter, given its name and labels.
    clock : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    has_settled : bool
        Whether the peers of the start have been logged; later ones are logged alone.
    """

    def __init__(
        self,
        identity: reportbuilder.Identity,
        dispatcher: dispatch.Dispatcher,
        get_status: GetStatus,
        count: abc.Callable[..., None],
        clock: abc.Callable[[], float],
    ) -> None:
        self.dispatcher = dispatcher
        self.peers = dispatcher.peers
        self.get_status = get_status
        self.clock = clock
        self.has_settled = False
        self.report_builder = reportbuilder.ReportBuilder(
            identity, dispatcher, reportpacer.ReportPacer()
        )
        self.report_socket = reportsocket.ReportSocket(
            identity.address, self.receive_report, count
        )

    def receive(self) -> None:
        """Handle the messages that have arrived."""
        self.report_socket.receive()

    def report(self, now: float) -> None:
        """Send the due report, if any, to peers."""
        outgoing = self.report_builder.build_due_report(self.get_status(now), now)
        if outgoing is not None:
            self._send(outgoing, now)

    def receive_report(
        self, message: reportbuilder.Message, address: tuple[str, int]
    ) -> None:
        """Handle a heartbeat or report of a peer; greet a new one."""
        now = self.clock()
        if isinstance(message, peertable.Heartbeat):
            self.peers.record_heartbeat(address, message, now)
            return
        if isinstance(message, loadtable.LoadReport):
            self.report_builder.load_table.receive(address, message, now)
            return
        is_known = message.name in self.peers.peers or message.name == self.peers.name
        if not self.dispatcher.monitor.handle_peer_report(message, now) or is_known:
            return
        if self.has_settled:
            jsonlog.log_event("peer found", peer=message.name, peer_zone=message.zone)
        greeting = self.report_builder.build_greeting(
            self.get_status(now), message.address, now
        )
        if greeting is not None:
            self._send(greeting, now)

    def settle(self, now: float) -> None:
        """Log in one line how many peers were found in each zone since the start."""
        self.has_settled = True
        zones: dict[str, int] = {}
        for peer in self.peers.list_live(now):
            zones[peer.zone] = zones.get(peer.zone, 0) + 1
        jsonlog.log_event("peers found", zones=zones)

    def close(self) -> None:
        """Close the socket."""
        self.report_socket.close()

    def _send(self, outgoing: reportbuilder.OutgoingReport, now: float) -> None:
        """Send a report and charge it to the byte budget."""
        size = self.report_socket.send(outgoing.message, outgoing.recipients)
        self.report_builder.record_sent(outgoing, size, now)
