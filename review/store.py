"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
import urllib.parse

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0
ANSWER_S = 0.004


class Store:
    """Items with revisions, and the changes of the last 20 s."""

    def __init__(self):
        self.revision = 100
        self.items = {}  # key -> (revision, encoded item)
        self.history = []  # (revision, key, encoded event, time)
        self.history_start = 100
        self.changed = asyncio.Event()
        self.server = None
        self.calls = []  # (time, caller's IP, path, status, bytes)

    async def start(self, ip):
        """Listen on a free port and return the address."""
        self.server = await asyncio.start_server(self.serve, ip, 0)
        return self.server.sockets[0].getsockname()[:2]

    def close(self):
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    def put(self, key, value):
        """Write a key; the time of return is that of the acknowledgement."""
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        text = json.dumps(
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": created,
                "lease": 0,
            }
        ).encode()
        self.items[key] = (self.revision, text, created)
        self.note(key, text)

    def remove(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.note(key, json.dumps(event).encode())

    def note(self, key, text):
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, key, text, time.monotonic()))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def trim(self):
        """Drop the history that is older than history-s."""
        oldest = time.monotonic() - HISTORY_S
        while self.history and self.history[0][3] < oldest:
            self.history_start = self.history.pop(0)[0]

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                _, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ")
                await asyncio.sleep(ANSWER_S)
                status, body = await self.answer(target)
                caller = writer.get_extra_info("peername")[0]
                path = urllib.parse.urlsplit(target).path
                self.calls.append((time.monotonic(), caller, path, status, len(body)))
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body))
                )
                writer.write(body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        """Return status and body of a response."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/api/kv-range":
            return 200, self.range(query)
        if url.path == "/api/kv-watch":
            return await self.watch(query)
        return 404, b"{}"

    def range(self, query):
        """Return a page of items: at most about 500 of them or 1 MB."""
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get("prefix", "")) and key > query.get("after", "")
        )
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            text = self.items[key][1]
            if page and size + len(text) > PAGE_BYTES:
                break
            page.append(text)
            size += len(text)
        truncated = b"true" if len(page) < len(keys) else b"false"
        return b'{"items":[%s],"truncated":%s,"as-of":%d}' % (
            b",".join(page),
            truncated,
            self.revision,
        )

    async def watch(self, query):
        """Return the changes after a revision as soon as there are any."""
        after = int(query["after"])
        deadline = time.monotonic() + min(int(query.get("wait-ms", 0)), 30_000) / 1000
        while True:
            self.trim()
            if after < self.history_start:
                return 410, b"{}"
            events = [
                text
                for revision, key, text, _ in self.history
                if revision > after and key.startswith(query.get("prefix", ""))
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return 200, b'{"events":[%s],"as-of":%d}' % (
                    b",".join(events),
                    self.revision,
                )
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass
