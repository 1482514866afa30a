"""What waits to be replicated to one peer, and the batch in flight to it."""

import itertools
import typing

from pistachioshed.core import hashing, wire

# The budget's bucket holds one batch. With batches of 1,100 bytes the first second of
# an edit took 2.6 kB at a node; headers take a tenth of one of 600 bytes.
MAX_BATCH_BYTES: typing.Final = 600
# Version, tag and msgpack headers of a batch without its names, rounded up.
BATCH_OVERHEAD_BYTES: typing.Final = 40
GROUP_OVERHEAD_BYTES: typing.Final = 4
# About two and a half minutes of the default budget; what waits longer belongs to
# flows that have mostly ended.
MAX_QUEUED: typing.Final = 30_000

Key = tuple[str, bytes]


class Bulk(typing.NamedTuple):
    """Flows of one service to send after the urgent ones.

    `version` is the table version that becomes complete once all are sent, or 0.
    """

    service: str
    version: int
    flows: dict[bytes, None]


class InFlightBatch(typing.NamedTuple):
    """A batch that awaits its acknowledgement; `items` counts what it carries."""

    batch: wire.Batch
    items: int
    sent_at: float


class BatchContent(typing.NamedTuple):
    """The next flows of one service to send, and the removals that go along."""

    service: str
    flows: list[bytes]
    removals: list[bytes]
    complete: int


class Channel:
    """Queues towards one peer; one batch is in flight at a time.

    With a single batch in flight batches are applied in order, so that a repeated old
    batch can not undo a newer one. The first batch of a channel is sent even if empty:
    by its session the peer drops what an earlier channel left there.
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
        """Tell whether nothing waits and nothing is in flight."""
        waits = self.in_flight or self.urgent or self.bulks or self.removals
        return self.is_opened and not waits

    @property
    def queued(self) -> int:
        """The number of items that wait: exceptions, removals, marks, the opening."""
        bulk_items = sum(len(bulk.flows) + (bulk.version > 0) for bulk in self.bulks)
        items = len(self.urgent) + bulk_items + len(self.removals)
        return max(items, 0 if self.is_opened else 1)

    @property
    def pending(self) -> int:
        """The number of items that the peer has not acknowledged."""
        return self.queued + (self.in_flight.items if self.in_flight else 0)

    def add(self, service: str, flow: bytes) -> bool:
        """Queue a new or changed exception.

        Returns
        -------
        bool
            Whether a removal waited, so that the peer still has an older upstream.
        """
        self.discard(service, flow)
        self.urgent[service, flow] = None
        return self._cancel_removal(service, flow)

    def add_bulk(self, service: str, flow: bytes) -> bool:
        """Queue an exception whose backup changed.

        It goes after new exceptions and before those of newer tables. Returns the
        same as `add`.
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
        """Drop a queued exception."""
        self.urgent.pop((service, flow), None)
        for bulk in self.bulks:
            if bulk.service == service:
                bulk.flows.pop(flow, None)

    def queue_completion(self, service: str, version: int) -> None:
        """Queue the mark of a table version behind all exceptions queued so far."""
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
        upstreams : callable
            Returns the upstream of a queued exception, "" if it was withdrawn.
        limit : int
            The bytes that the batch may have.
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
        """Return the service of the next batch, by turns if several wait.

        Otherwise a steady flow of new exceptions of one service would hold up the
        marks of all others.
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
        """Take from the first bulk of a service; return the version it completes."""
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
