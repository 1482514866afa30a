"""Upstream hosts of an experiment: connections, slots, speed and answers."""

import collections
import typing
from collections import abc

COLD_SPEED: typing.Final = 0.25


class Request(typing.NamedTuple):
    """A request as it arrives at a host; `path` is where its answer goes."""

    flow: str
    request: str
    work_s: float
    path: typing.Any


class Host:
    """One upstream: accepts connections, runs requests in its slots, answers once.

    A request that arrives again on its connection, a retransmission, is not run
    again; its answer is sent again if it is known. `queue_limit` is how many requests
    may wait for a slot, None for any number.
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
        """Accept a connection and tell whether it is known afterwards."""
        if not self.up:
            return False
        if flow not in self.connections:
            self.accepted_connections += 1
        self.connections[flow] = path
        return True

    def close_connection(self, flow: str) -> None:
        """Forget a connection."""
        self.connections.pop(flow, None)

    def receive_request(self, request: Request) -> bool:
        """Run a request when a slot is free; return whether it was accepted.

        Its connection must be known.
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
        """Lose every connection and request."""
        self.epoch += 1
        self.connections.clear()
        self.waiting.clear()
        self.running = 0

    def measure_load(self) -> float:
        """Return requests present per slot."""
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
