"""HTTP client of the platform's metadata store."""

import base64
import typing
import urllib.parse

import msgspec

from pistachioshed.adapters import http1
from pistachioshed.ports import store

REQUEST_TIMEOUT_S: typing.Final = 1.0  # The store normally responds in 4 ms.
WATCH_MARGIN_S: typing.Final = 1.0

Fields = dict[str, typing.Any]


class StoreClient:
    """Read and watch prefixes of the store.

    A watch blocks its connection while it waits, so it needs a client of its own.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.connection = http1.Connection(address)

    async def read_prefix(self, prefix: str) -> store.RangeResponse:
        """Return all pairs with a prefix.

        The pages are not read at one revision. The result has the revision of the first
        page, so that a watch from it delivers the changes made between the pages.

        Raises
        ------
        StoreUnavailable
            If the store did not return every page.
        """
        pairs: list[store.Pair] = []
        revision = 0
        after = ""
        while True:
            fields = await self._get("range", {"prefix": prefix, "after": after})
            revision = revision or int(fields["as-of"])
            page = [decode_item(item) for item in fields["items"]]
            pairs += page
            if not fields["truncated"] or not page:
                return store.RangeResponse(revision, tuple(pairs))
            after = page[-1].key

    async def wait_for_changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> store.WatchBatch:
        """Return the changes after a revision as soon as there are any.

        Raises
        ------
        HistoryLost
            If the store no longer has these changes.
        StoreUnavailable
            If the store did not return a valid response.
        """
        query = {
            "prefix": prefix,
            "after": str(revision),
            "wait-ms": str(int(wait_s * 1000)),
        }
        fields = await self._get("watch", query, wait_s + WATCH_MARGIN_S)
        events = tuple(decode_event(item) for item in fields["events"])
        return store.WatchBatch(int(fields["as-of"]), events)

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()

    async def _get(
        self, call: str, query: dict[str, str], timeout_s: float = REQUEST_TIMEOUT_S
    ) -> Fields:
        parameters = {name: value for name, value in query.items() if value}
        target = f"/api/kv-{call}?{urllib.parse.urlencode(parameters)}"
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
            return typing.cast(Fields, msgspec.json.decode(response.body))
        except msgspec.DecodeError as error:
            raise store.StoreUnavailable(call, peer, str(error)) from error


def decode_item(item: Fields) -> store.Pair:
    """Decode an item of the store; its `created` field is a revision, not a time."""
    return store.Pair(
        item["key"],
        base64.b64decode(item["value"]),
        item["created"],
        item["revision"],
        0,
        item["lease"],
    )


def decode_event(item: Fields) -> store.Event:
    """Decode a change of the store; a deletion has no value."""
    if item.get("deleted"):
        return store.Event(item["key"], b"", item["revision"], deleted=True)
    value = base64.b64decode(item["value"])
    return store.Event(item["key"], value, item["revision"])
