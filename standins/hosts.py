"""Model of one upstream host: slots, queue, injected faults and executions."""

import asyncio
import hashlib
import json
import time
import typing
import urllib.parse
from collections import abc

from standins import http3

LOOKUP_DURATION_S: typing.Final = 0.004
EXECUTION_DURATION_S: typing.Final = 0.006
SHEET_S_PER_MB: typing.Final = 0.02
MAX_SHEET_BYTES: typing.Final = 16 * 1024 * 1024
COLD_DURATION_S: typing.Final = 5.0
COLD_SPEED_FACTOR: typing.Final = 0.2
NOT_RUN: typing.Final = {"x-run": "no"}
EXECUTING_PATHS: typing.Final = ("/reservation", "/confirmation")

WriteRecord = abc.Callable[[dict[str, object]], None]


class Host:
    """An upstream host that processes requests in a fixed number of slots."""

    def __init__(
        self, service: str, name: str, record: WriteRecord, slots: int = 2
    ) -> None:
        self.service = service
        self.name = name
        self.record = record
        self.slots = slots
        self.semaphore = asyncio.Semaphore(slots)
        self.speed = 1.0
        self.queue_limit = 200
        self.waiting = 0
        self.busy = 0
        self.shedding = False
        self.draining = False
        self.started_s = time.monotonic() - COLD_DURATION_S
        self.probe_lag_s = 0.0
        self.probe_lie: dict[str, object] = {}
        self.executed: dict[str, http3.Response] = {}
        self.handled = 0
        self.opened = 0

    @property
    def current_speed(self) -> float:
        """Return the speed, which is lower while the host is cold after a restart."""
        cold = time.monotonic() - self.started_s < COLD_DURATION_S
        return self.speed * (COLD_SPEED_FACTOR if cold else 1.0)

    async def respond(self, request: http3.Request) -> http3.Response:
        """Respond to a request, or report that it was not run."""
        deadline_s = float(request.headers.get("x-deadline-ms", "60000")) / 1_000
        if self.shedding or self.waiting >= self.queue_limit:
            return http3.Response(503, NOT_RUN, b"")
        # A restart replaces the semaphore, so release the one that was acquired.
        semaphore = self.semaphore
        self.waiting += 1
        try:
            await asyncio.wait_for(semaphore.acquire(), deadline_s)
        except TimeoutError:
            return http3.Response(504, NOT_RUN, b"")
        finally:
            self.waiting -= 1
        self.busy += 1
        try:
            return await self._handle_request(request)
        finally:
            self.busy -= 1
            semaphore.release()

    async def _handle_request(self, request: http3.Request) -> http3.Response:
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        request_id = request.headers.get("x-request-id", "")
        self.handled += 1
        if url.path in EXECUTING_PATHS:
            return await self._execute(request_id)
        if url.path == "/sheet":
            size = min(int(query["size"]), MAX_SHEET_BYTES)
            await asyncio.sleep(SHEET_S_PER_MB * size / 1e6 / self.current_speed)
            body = make_sheet(query["name"], size)
            response = http3.Response(200, {"x-host": self.name}, body)
        else:
            await asyncio.sleep(LOOKUP_DURATION_S / self.current_speed)
            response = self._make_response(request_id, "lookup")
        self._record_execution(request_id)
        return response

    async def _execute(self, request_id: str) -> http3.Response:
        await asyncio.sleep(EXECUTION_DURATION_S / self.current_speed)
        previous = self.executed.get(request_id)
        if previous is not None:
            return previous
        # There is no await from here on, so the request cannot be cancelled after its
        # execution is recorded.
        self._record_execution(request_id)
        self.executed[request_id] = self._make_response(request_id, "executed")
        return self.executed[request_id]

    def record_opening(self, flow: bytes) -> None:
        """Record a new connection by the connection id that its caller chose."""
        self.opened += 1
        self._write_record(flow=flow.hex())

    def _record_execution(self, request_id: str) -> None:
        self._write_record(request=request_id)

    def _write_record(self, **fields: str) -> None:
        entry = {"service": self.service, "host": self.name, "time": time.time()}
        self.record(entry | fields)

    def _make_response(self, request_id: str, result: str) -> http3.Response:
        body = {"request": request_id, "service": self.service, "result": result}
        headers = {"x-host": self.name, "content-type": "application/json"}
        return http3.Response(200, headers, json.dumps(body).encode())

    def restart(self) -> None:
        """Clear all state and start cold."""
        self.executed.clear()
        self.semaphore = asyncio.Semaphore(self.slots)
        self.started_s = time.monotonic()
        self.draining = False

    def describe_health(self) -> dict[str, object]:
        """Return the content of the health endpoint, overridden by `probe_lie`."""
        status = "draining" if self.draining else "ok"
        return {"status": status} | self.probe_lie

    def describe_load(self) -> dict[str, object]:
        """Return the content of the load endpoint, overridden by `probe_lie`."""
        load = min(1.0, (self.busy + self.waiting) / self.slots)
        return {"load": load, "slots": self.slots} | self.probe_lie


def make_sheet(name: str, size: int) -> bytes:
    """Return the content of a sheet, derived from its name and size."""
    return hashlib.shake_128(name.encode()).digest(size)
