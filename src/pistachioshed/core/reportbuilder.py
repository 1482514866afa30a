"""What a balancer tells its peers of itself, and whom and when."""

import typing

from pistachioshed.core import dispatch, peertable, reportpacer

PEERS_PASSED_ON: typing.Final = 3  # Under 60 bytes of each report.

Message = peertable.Report | peertable.LifeSign


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

    watches: bool
    lost: bool
    leaving: bool


class Announcement(typing.NamedTuple):
    """A message to send now."""

    kind: reportpacer.Kind
    news: reportpacer.News
    message: Message
    recipients: list[tuple[str, int]]


class Announcer:
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

    def announce(self, status: Status, now: float) -> Announcement | None:
        """Return what is due."""
        known = self.dispatcher.directory
        newest = (known.changed, self.dispatcher.configuration.version)
        news = reportpacer.News(
            self.dispatcher.monitor.list_suspected(),
            status.lost,
            status.leaving,
            newest if status.watches else (0, 0),
        )
        kind = self.pacer.choose(news, now)
        if kind is None:
            return None
        self.sequence += 1
        recipients = self.peers.list_recipients(self.sequence, kind == "news")
        message: Message = peertable.LifeSign(self.sequence)
        if kind != "life":
            message = self._build_report(status, newest, now)
        return Announcement(kind, news, message, recipients)

    def note_sent(self, announcement: Announcement, size: int, now: float) -> None:
        """Take a message of a size in bytes out of the budget."""
        self.pacer.note_sent(
            announcement.kind,
            announcement.news,
            size,
            len(announcement.recipients),
            now,
        )

    def _build_report(
        self, status: Status, newest: tuple[int, int], now: float
    ) -> peertable.Report:
        known = [peer.address for peer in self.peers.list_live(now)]
        start = self.sequence % max(1, len(known))
        identity = self.identity
        return peertable.Report(
            identity.name,
            identity.zone,
            identity.address,
            identity.start_ms,
            self.sequence,
            status.watches,
            status.lost,
            status.leaving,
            identity.capacity,
            *newest,
            self.dispatcher.monitor.list_suspected(),
            # Each report passes on a few peers, so that all learn of all.
            tuple(known[start : start + PEERS_PASSED_ON]),
        )
