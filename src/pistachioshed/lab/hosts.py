"""Simulated upstream hosts with connections, request slots and a speed."""

import collections
import typing
from collections import abc

COLD_SPEED: typing.Final = 0.25


class Request(typing.NamedTuple):
    """A request as received by a host; `path` is the return path of its response."""

    flow: str
    request: str
    work_s: float
    path: typing.Any


class Host:
    """An upstream that accepts connections and runs each request once in a slot.

    A retransmitted request is not run again; if it has finished, its response is sent
    again. `finished_by_request` tells of each accepted request whether it has finished.
    `queue_limit` is the number of requests that may wait for a slot, None for no limit.
    `epoch` counts restarts; requests that are running at a restart never finish.
    """

    def __init__(
        self,
        service: str,
        name: str,
        zone: str,
        slots: int,
        speed: float,
        schedule: abc.Callable[[float, abc.Callable[[], None]], None],
        send_response: abc.Callable[[Request], None],
        record_execution: abc.Callable[[Request], None],
    ) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.speed = speed
        self.schedule = schedule
        self.send_response = send_response
        self.record_execution = record_execution
        self.up = True
        self.draining = False
        self.shedding = False
        self.connections: dict[str, typing.Any] = {}
        self.accepted_connections = 0
        self.running = 0
        self.waiting: collections.deque[Request] = collections.deque()
        self.finished_by_request: dict[str, bool] = {}
        self.busy_s = 0.0
        self.epoch = 0
        self.queue_limit: int | None = None

    def open_connection(self, flow: str, path: typing.Any) -> bool:
        """Accept a connection and return whether the host is up."""
        if not self.up:
            return False
        if flow not in self.connections:
            self.accepted_connections += 1
        self.connections[flow] = path
        return True

    def close_connection(self, flow: str) -> None:
        """Remove a connection."""
        self.connections.pop(flow, None)

    def receive_request(self, request: Request) -> bool:
        """Run a request as soon as a slot is free; return whether it was accepted.

        The host must know the connection of the request.
        """
        self.connections[request.flow] = request.path
        is_finished = self.finished_by_request.get(request.request)
        if is_finished is None:
            if self.queue_limit is not None and len(self.waiting) >= self.queue_limit:
                return False
            self.finished_by_request[request.request] = False
            self.waiting.append(request)
            self._fill_slots()
        elif is_finished:
            self.send_response(request)
        return True

    def restart(self) -> None:
        """Drop all connections and all waiting and running requests."""
        self.epoch += 1
        self.connections.clear()
        self.waiting.clear()
        self.running = 0

    def measure_load(self) -> float:
        """Return the number of running and waiting requests per slot."""
        return (self.running + len(self.waiting)) / self.slots

    def _fill_slots(self) -> None:
        while self.waiting and self.running < self.slots:
            request = self.waiting.popleft()
            self.running += 1
            self.record_execution(request)
            duration = request.work_s / self.speed
            self.busy_s += duration
            epoch = self.epoch
            self.schedule(duration, lambda r=request, e=epoch: self._finish(r, e))  # type: ignore[misc]

    def _finish(self, request: Request, epoch: int) -> None:
        if epoch != self.epoch:
            return
        self.running -= 1
        self.finished_by_request[request.request] = True
        path = self.connections.get(request.flow)
        if path is not None:
            self.send_response(request._replace(path=path))
        self._fill_slots()
