"""Stand-in for the platform's metadata store: range and watch over HTTP/1.1."""

import asyncio
import base64
import json
import urllib.parse

PAGE_ITEMS = 50
ANSWER_S = 0.004


class Store:
    """Keys with revisions; nothing of the history is dropped."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.changed: set[asyncio.Event] = set()
        self.server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Listen at an address."""
        self.server = await asyncio.start_server(self.serve, *address)

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, None without one."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def put(self, key: str, value: bytes) -> int:
        """Write a key and return its revision."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self._append(self.items[key])
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._append({"key": key, "revision": self.revision, "deleted": True})

    def _append(self, change: dict) -> None:
        self.history.append(change)
        for event in self.changed:
            event.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of a connection one after the other."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self.respond(target)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def respond(self, target: str) -> tuple[int, dict]:
        """Return the status and the body for a request."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(ANSWER_S)
        if url.path == "/api/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "truncated": len(keys) > PAGE_ITEMS,
                "as-of": self.revision,
            }
        if url.path == "/api/kv-watch":
            return 200, await self.watch(query)
        return 404, {}

    async def watch(self, query: dict[str, str]) -> dict:
        """Wait for changes after a revision."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query["wait-ms"]) / 1000
        event = asyncio.Event()
        self.changed.add(event)
        try:
            while True:
                event.clear()
                events = [
                    change
                    for change in self.history
                    if change["revision"] > int(query["after"])
                    and change["key"].startswith(query["prefix"])
                ]
                left_s = deadline - loop.time()
                if events or left_s <= 0:
                    return {"events": events, "as-of": self.revision}
                try:
                    await asyncio.wait_for(event.wait(), left_s)
                except TimeoutError:
                    pass
        finally:
            self.changed.discard(event)
