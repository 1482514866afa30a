"""Stand-in for the platform's metadata store: reads, watches and failures."""

import asyncio
import base64
import typing
import urllib.parse

import msgspec

from standins import http1

PAGE_ITEMS: typing.Final = 50
ERA_HEADER: typing.Final = "Store-Era"

Failure = typing.Literal["none", "busy", "silent", "many"]


class Copy(typing.NamedTuple):
    """The content of the store at a revision."""

    revision: int
    items: dict[str, dict[str, object]]
    history: tuple[dict[str, object], ...]
    history_start_revision: int


class MetadataStore:
    """Keys with revisions, and the changes after `history_start_revision`.

    `era` rises each time the store is restored from a copy. `failure` makes all calls
    fail; `invalid_response` replaces all responses.
    """

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.items: dict[str, dict[str, object]] = {}
        self.history: list[dict[str, object]] = []
        self.history_start_revision = 1
        self.failure: Failure = "none"
        self.invalid_response = b""
        self.calls = 0
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self) -> tuple[str, int]:
        """Start listening on the loopback interface and return the address."""
        self.server = await http1.start_server(("127.0.0.1", 0), self.handle_request)
        address: tuple[str, int] = self.server.sockets[0].getsockname()
        return address

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, None if it does not exist."""
        if key not in self.items:
            return None
        return base64.b64decode(typing.cast(str, self.items[key]["value"]))

    def put(self, key: str, value: bytes) -> int:
        """Write a key and return its revision."""
        self.revision += 1
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self._append_change(self.items[key])
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._append_change({"key": key, "revision": self.revision, "deleted": True})

    def discard_history(self) -> None:
        """Discard the history, as the real store may do at any time."""
        self.history.clear()
        self.history_start_revision = self.revision
        self.changed.set()

    def make_copy(self) -> Copy:
        """Return the current content, to restore it later."""
        return Copy(
            self.revision,
            dict(self.items),
            tuple(self.history),
            self.history_start_revision,
        )

    def restore(self, copy: Copy) -> None:
        """Return to the content of a copy; all that was written since is lost."""
        self.era += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.history_start_revision = copy.history_start_revision
        self.changed.set()

    async def handle_request(self, request: http1.Request) -> http1.Response:
        """Respond to a request, with the era in force at that time."""
        response = await self._respond(request)
        return response._replace(
            headers={**response.headers, ERA_HEADER: str(self.era)}
        )

    async def _respond(self, request: http1.Request) -> http1.Response:
        """Respond to a request, or fail as set by `failure`."""
        self.calls += 1
        if self.failure == "silent":
            await asyncio.sleep(60.0)
        if self.failure != "none":
            return http1.Response(429 if self.failure == "many" else 503, {}, b"")
        if self.invalid_response:
            return http1.Response(200, {}, self.invalid_response)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/api/kv-range":
            return self._handle_range(query)
        if url.path == "/api/kv-watch":
            return await self._handle_watch(query)
        return http1.Response(404, {}, b"")

    def _handle_range(self, query: dict[str, str]) -> http1.Response:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        truncated = len(keys) > PAGE_ITEMS
        return _encode({"items": page, "truncated": truncated, "as-of": self.revision})

    async def _handle_watch(self, query: dict[str, str]) -> http1.Response:
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query["wait-ms"]) / 1000
        era = self.era
        while True:
            if self.era != era:
                # The store was away meanwhile, which ends all watches.
                return http1.Response(503, {}, b"")
            if not self.history_start_revision <= after <= self.revision:
                return http1.Response(410, {}, b"")
            events = [
                change
                for change in self.history
                if typing.cast(int, change["revision"]) > after
                and str(change["key"]).startswith(query["prefix"])
            ]
            remaining_s = deadline - loop.time()
            if events or remaining_s <= 0:
                return _encode({"events": events, "as-of": self.revision})
            self.changed.clear()
            try:
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def _append_change(self, change: dict[str, object]) -> None:
        self.history.append(change)
        self.changed.set()


def _encode(content: dict[str, object]) -> http1.Response:
    headers = {"Content-Type": "application/json"}
    return http1.Response(200, headers, msgspec.json.encode(content))
