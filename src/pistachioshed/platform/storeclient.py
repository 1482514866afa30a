"""HTTP client of the platform's metadata store."""

import binascii
import json
import typing
from collections import abc

from pistachioshed.adapters import eventloop, http1, validation
from pistachioshed.core import revisions
from pistachioshed.ports import store

REQUEST_TIMEOUT_S: typing.Final = 1.0  # The store normally responds in 4 ms.
ERA_HEADER: typing.Final = "store-era"  # As `http1` spells the names of headers.

# Characters that need no escape in a query.
UNRESERVED: typing.Final = frozenset(
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/"
)

Fields = dict[str, typing.Any]
T = typing.TypeVar("T")


class StoreClient:
    """Read and watch prefixes of the store.

    A watch blocks its connection while it waits, so it needs a client of its own.
    Revisions contain the store's era (`core/revisions`).
    """

    def __init__(
        self,
        loop: eventloop.EventLoop,
        address: tuple[str, int],
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        self.connection = http1.Connection(loop, address)
        self.timeout_s = timeout_s

    async def read_prefix(self, prefix: str) -> store.RangeResponse:
        """Return all pairs with a prefix.

        The pages are not read at one revision. The result has the revision of the first
        page, so that a watch from it delivers the changes made between the pages.

        Raises
        ------
        HistoryLost
            If the store was restored between two pages.
        StoreUnavailable
            If the store did not return every page.
        """
        pairs: list[store.Pair] = []
        revision = 0
        after = ""
        while True:
            query = {"prefix": prefix, "after": after} if after else {"prefix": prefix}
            page = await self._get("range", query, self.timeout_s, decode_page)
            revision = revision or page.revision
            self._check_era("range", revision, page.revision)
            pairs += page.pairs
            if not page.truncated or not page.pairs:
                return store.RangeResponse(revision, tuple(pairs))
            after = page.pairs[-1].key

    async def wait_for_changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> store.WatchBatch:
        """Return the changes after a revision as soon as there are any.

        Raises
        ------
        HistoryLost
            If the store no longer has these changes, or has been restored since.
        StoreUnavailable
            If the store did not return a valid response.
        """
        _, store_revision = revisions.split_revision(revision)
        query = {
            "prefix": prefix,
            "after": str(store_revision),
            "wait-ms": str(int(wait_s * 1000)),
        }
        batch = await self._get("watch", query, wait_s + self.timeout_s, decode_batch)
        self._check_era("watch", revision, batch.revision)
        return batch

    def abort(self) -> None:
        """End the call in progress, if any, with an error."""
        self.connection.abort()

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()

    async def _get(
        self,
        call: str,
        query: dict[str, str],
        timeout_s: float,
        decode: abc.Callable[[Fields, int], T],
    ) -> T:
        target = f"/api/kv-{call}?{encode_query(query)}"
        peer = self.connection.peer
        try:
            response = await self.connection.request("GET", target, timeout_s)
        except http1.HttpError as error:
            raise store.StoreUnavailable(call, peer, str(error)) from error
        if response.status == 410:
            raise store.HistoryLost(call, peer, "the history was dropped")
        if response.status != 200:
            raise store.StoreUnavailable(call, peer, f"status {response.status}")
        try:
            fields = validation.require(json.loads(response.body), dict)
            return decode(fields, parse_era(response.headers))
        except (ValueError, KeyError, RecursionError) as error:
            # What follows on this connection can not be trusted either.
            self.close()
            raise store.StoreUnavailable(call, peer, repr(error)) from error

    def _check_era(self, call: str, known: int, received: int) -> None:
        """Raise `HistoryLost` if a response has another era than a known revision."""
        known_era, received_era = map(revisions.get_era, (known, received))
        if received_era != known_era:
            cause = f"era {known_era} has ended, the store is in era {received_era}"
            raise store.HistoryLost(call, self.connection.peer, cause)


class Page(typing.NamedTuple):
    """A part of the pairs of a prefix; `truncated` is set if there are more."""

    revision: int
    pairs: tuple[store.Pair, ...]
    truncated: bool


def parse_era(headers: dict[str, str]) -> int:
    """Return the store's era, 0 if the response does not have one."""
    return validation.require_count(int(headers.get(ERA_HEADER, "0")))


def encode_query(query: dict[str, str]) -> str:
    """Return the query part of a request target."""
    return "&".join(f"{name}={escape(value)}" for name, value in query.items())


def escape(text: str) -> str:
    """Return a text with all characters escaped that have a meaning in a query."""
    return "".join(
        chr(byte) if byte in UNRESERVED else f"%{byte:02X}" for byte in text.encode()
    )


def decode_page(fields: Fields, era: int) -> Page:
    """Decode a response to a read of a prefix, made in an era of the store."""
    items = validation.get_field(fields, "items", list)
    return Page(
        decode_revision(fields, "as-of", era),
        tuple(decode_item(item, era) for item in items),
        bool(fields.get("truncated")),
    )


def decode_batch(fields: Fields, era: int) -> store.WatchBatch:
    """Decode a response to a watch, made in an era of the store."""
    events = validation.get_field(fields, "events", list)
    return store.WatchBatch(
        decode_revision(fields, "as-of", era),
        tuple(decode_event(event, era) for event in events),
    )


def decode_item(item: typing.Any, era: int) -> store.Pair:
    """Decode an item of the store; its `created` field is a revision, not a time."""
    fields = validation.require(item, dict)
    return store.Pair(
        validation.get_field(fields, "key", str),
        decode_value(fields),
        decode_revision(fields, "created", era),
        decode_revision(fields, "revision", era),
        0,
        validation.get_field(fields, "lease", int),
    )


def decode_event(item: typing.Any, era: int) -> store.Event:
    """Decode a change of the store; a deletion has no value."""
    fields = validation.require(item, dict)
    key = validation.get_field(fields, "key", str)
    revision = decode_revision(fields, "revision", era)
    if fields.get("deleted"):
        return store.Event(key, b"", revision, deleted=True)
    return store.Event(key, decode_value(fields), revision)


def decode_revision(fields: Fields, name: str, era: int) -> int:
    """Return a field that holds a revision of the store, with the era added to it."""
    return revisions.combine_revision(era, validation.get_field(fields, name, int))


def decode_value(fields: Fields) -> bytes:
    """Return the value of an item."""
    value = validation.get_field(fields, "value", str)
    return binascii.a2b_base64(value, strict_mode=True)
