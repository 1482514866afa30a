"""Queues of the items to replicate to one peer, and the batch in flight."""

import itertools
import typing

from pistachioshed.core import hashing, wire

# The budget's bucket holds one batch. With batches of 1,100 bytes a node sent 2.6 kB in
# the first second after an edit. Headers take a tenth of a batch of 600 bytes.
BATCH_MAX_BYTES: typing.Final = 600
# The version byte, tag and msgpack headers of a batch without its names, rounded up.
BATCH_OVERHEAD_BYTES: typing.Final = 40
GROUP_OVERHEAD_BYTES: typing.Final = 4
# About two and a half minutes of the default budget. Most flows would have ended before
# their overrides were sent from a longer queue.
QUEUED_MAX: typing.Final = 30_000

# A service and a flow's fingerprint.
Key = tuple[str, bytes]


class Bulk(typing.NamedTuple):
    """Overrides of one service that are sent after the urgent ones.

    `flows` holds their fingerprints. `version` is the table version that is complete
    once all of them are sent, or 0.
    """

    service: str
    version: int
    flows: dict[bytes, None]


class InFlightBatch(typing.NamedTuple):
    """A batch that awaits its acknowledgement; `items` is the number it carries."""

    batch: wire.Batch
    items: int
    sent_at: float


class BatchContent(typing.NamedTuple):
    """The content of one batch, all of one service.

    `flows` and `removals` hold fingerprints; `complete` is the table version that the
    batch completes, or 0.
    """

    service: str
    flows: list[bytes]
    removals: list[bytes]
    complete: int


class Channel:
    """Queue items for one peer, with one batch in flight at a time.

    A single batch in flight means that batches are applied in order, so that a
    retransmitted old batch cannot overwrite a newer one. The first batch of a channel
    is sent even if it is empty: its session number makes the peer discard the overrides
    of an earlier channel.
    """

    def __init__(self) -> None:
        self.urgent: dict[Key, None] = {}
        self.bulks: list[Bulk] = []
        self.removals: dict[Key, None] = {}
        self.queued_completions: dict[str, int] = {}
        self.in_flight: InFlightBatch | None = None
        self.session = 0
        self.is_opened = False
        self.last_service = ""
        self.sent_at = float("-inf")

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued and nothing is in flight."""
        waits = self.in_flight or self.urgent or self.bulks or self.removals
        return self.is_opened and not waits

    @property
    def queued(self) -> int:
        """The number of queued items.

        Items are overrides, removals, completed versions and, if nothing else is
        queued, the first batch of the channel.
        """
        bulk_items = sum(len(bulk.flows) + (bulk.version > 0) for bulk in self.bulks)
        items = len(self.urgent) + bulk_items + len(self.removals)
        return max(items, 0 if self.is_opened else 1)

    @property
    def pending(self) -> int:
        """The number of items that the peer has not acknowledged."""
        return self.queued + (self.in_flight.items if self.in_flight else 0)

    def add(self, service: str, flow: bytes) -> bool:
        """Queue a new or changed override.

        Returns
        -------
        bool
            Whether a removal was queued, so that the peer still has an older upstream.
        """
        self.discard(service, flow)
        self.urgent[service, flow] = None
        return self._cancel_removal(service, flow)

    def add_bulk(self, service: str, flow: bytes) -> bool:
        """Queue an override whose backup changed.

        It is sent after new overrides and before those of newer tables.

        Returns
        -------
        bool
            The same as `add`.
        """
        for bulk in self.bulks:
            if bulk.service == service and bulk.version == 0:
                break
        else:
            bulk = Bulk(service, 0, {})
            self.bulks.insert(0, bulk)
        bulk.flows[flow] = None
        return self._cancel_removal(service, flow)

    def discard(self, service: str, flow: bytes) -> None:
        """Remove an override from the queues."""
        self.urgent.pop((service, flow), None)
        for bulk in self.bulks:
            if bulk.service == service:
                bulk.flows.pop(flow, None)
        # A bulk with a version stays, since it also reports the version as complete.
        self.bulks = [bulk for bulk in self.bulks if bulk.flows or bulk.version]

    def queue_completion(self, service: str, version: int) -> None:
        """Queue the completion of a table version after all queued overrides."""
        flows = {flow: None for name, flow in self.urgent if name == service}
        for flow in flows:
            del self.urgent[service, flow]
        self.bulks.append(Bulk(service, version, flows))
        self.queued_completions[service] = version

    def take(
        self, find_upstream: typing.Callable[[Key], str], max_bytes: int
    ) -> BatchContent:
        """Remove and return the content of the next batch.

        Parameters
        ----------
        find_upstream : callable
            Returns the upstream of a queued override, "" if it was withdrawn.
        max_bytes : int
            The maximum size of the batch.
        """
        self.is_opened = True
        service = self._choose_service()
        room = max_bytes - BATCH_OVERHEAD_BYTES - len(service.encode())
        flows: list[bytes] = []
        groups: set[str] = set()

        def fits(flow: bytes) -> bool:
            nonlocal room
            upstream = find_upstream((service, flow))
            cost = hashing.FINGERPRINT_BYTES if upstream else 0
            if upstream and upstream not in groups:
                cost += GROUP_OVERHEAD_BYTES + len(upstream.encode())
            if cost > room and flows:
                return False
            groups.add(upstream)
            room -= cost
            flows.append(flow)
            return True

        complete = 0
        all_urgent = all(fits(flow) for name, flow in self.urgent if name == service)
        for flow in flows:
            del self.urgent[service, flow]
        removals = []
        for name, fingerprint in self.removals:
            if name == service and room >= hashing.FINGERPRINT_BYTES:
                room -= hashing.FINGERPRINT_BYTES
                removals.append(fingerprint)
        for fingerprint in removals:
            del self.removals[service, fingerprint]
        if all_urgent:
            complete = self._take_bulk(service, fits)
        return BatchContent(service, flows, removals, complete)

    def _cancel_removal(self, service: str, flow: bytes) -> bool:
        if not self.removals:
            return False
        key = (service, flow)
        if key not in self.removals:
            return False
        del self.removals[key]
        return True

    def _choose_service(self) -> str:
        """Return the service of the next batch, another than the last if possible.

        Otherwise a steady rate of new overrides of one service would hold back the
        completed versions of all others.
        """
        waiting = [
            *(service for service, _ in itertools.islice(self.urgent, 1)),
            *(service for service, _ in itertools.islice(self.removals, 1)),
            *(bulk.service for bulk in self.bulks),
        ]
        others = [service for service in waiting if service != self.last_service]
        self.last_service = (others or waiting or [""])[0]
        return self.last_service

    def _take_bulk(self, service: str, fits: typing.Callable[[bytes], bool]) -> int:
        """Take flows from the first bulk of a service; return the completed version.

        The result is 0 if no version is completed.
        """
        for bulk in self.bulks:
            if bulk.service != service:
                continue
            taken = list(itertools.takewhile(fits, bulk.flows))
            for flow in taken:
                del bulk.flows[flow]
            if bulk.flows:
                return 0
            self.bulks.remove(bulk)
            return bulk.version
        return 0
