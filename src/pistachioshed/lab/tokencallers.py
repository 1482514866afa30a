"""Callers of an experiment that open a flow for each request, repeat and retry."""

import itertools
import typing

from pistachioshed.core import segments
from pistachioshed.lab import fleet

TARGET: typing.Final = (0xC6120001, 443)
# The users' callers repeat an opening twice, and give an attempt up.
OPENING_COPIES_S: typing.Final = (0.2, 0.6)
ATTEMPT_S: typing.Final = 1.4
DATA_REPEAT_S: typing.Final = 0.2
DATA_REPEAT_MAX_S: typing.Final = 1.6
RETRIES: typing.Final = 2


class Request(typing.NamedTuple):
    """A request of a caller, over all its attempts."""

    number: int
    zone: str
    started_s: float
    work_s: float


class Result(typing.NamedTuple):
    """How a request ended; `latency_s` counts from its first attempt."""

    request: Request
    outcome: typing.Literal["served", "failed"]
    latency_s: float


class Site(typing.Protocol):
    """What callers know of a deployment."""

    @property
    def deadline_s(self) -> float:
        """How long callers wait for a response."""


class Network(typing.Protocol):
    """What callers need of the routers, balancers and hosts."""

    clock: fleet.Clock
    ports: "itertools.count[int]"
    attempts: "dict[str, Attempt]"
    results: list[Result]

    @property
    def site(self) -> Site:
        """The deployment."""

    def send(self, zone: str, segment: segments.Segment, attempt: "Attempt") -> None:
        """Send a packet of a caller of a zone."""

    def has_acknowledged(self, token: int, flow: str) -> bool:
        """Tell whether the host of a token has the request of a flow."""


class Attempt:
    """One flow of a caller for one request."""

    def __init__(self, owner: Network, request: Request, retries: int) -> None:
        self.fleet = owner
        self.request = request
        self.retries = retries
        self.started_s = owner.clock.now
        self.ended = False
        self.token = 0
        port = next(owner.ports)
        self.segment = segments.Segment(
            caller=(0x64400000 + port // 60_000, 1_024 + port % 60_000),
            target=TARGET,
            sequence=1_000,
            acknowledged=0,
            copy=0,
            token=0,
            length=0,
            opening=True,
            closing=False,
            reset=False,
        )
        self.name = name_flow(self.segment)

    def start(self) -> None:
        """Send the opening, and plan its copies and the end of the attempt."""
        clock = self.fleet.clock
        self.fleet.attempts[self.name] = self
        self._send_opening(0)
        for copy, delay_s in enumerate(OPENING_COPIES_S, 1):
            clock.schedule(delay_s, lambda number=copy: self._send_opening(number))  # type: ignore[misc]
        clock.schedule(ATTEMPT_S, self._give_up_opening)
        left_s = self.request.started_s + self.fleet.site.deadline_s - clock.now
        clock.schedule(max(0.0, left_s), self._fail)

    def open(self, token: int) -> None:
        """Take the first acceptance and send the request."""
        if not self.token and not self.ended:
            self.token = token
            self._send_request(DATA_REPEAT_S)

    def finish(self) -> None:
        """Take the response."""
        if self.ended:
            return
        self._send(sequence=1_101, acknowledged=1_500, length=0, closing=True)
        self._end("served")

    def reset(self) -> None:
        """Try again at once on a new flow, if there is time and a try left."""
        if self.ended:
            return
        if self.retries == 0:
            self._end("failed")
            return
        self.ended = True
        self.fleet.attempts.pop(self.name, None)
        Attempt(self.fleet, self.request, self.retries - 1).start()

    def _send_opening(self, copy: int) -> None:
        if not self.token and not self.ended:
            packet = self.segment._replace(copy=copy)
            self.fleet.send(self.request.zone, packet, self)

    def _send_request(self, repeat_s: float) -> None:
        if self.ended:
            return
        self._send(sequence=1_001, acknowledged=500, length=100)
        if self.fleet.has_acknowledged(self.token, self.name):
            return
        wait_s = min(2 * repeat_s, DATA_REPEAT_MAX_S)
        self.fleet.clock.schedule(repeat_s, lambda: self._send_request(wait_s))

    def _send(self, **changes: typing.Any) -> None:
        packet = self.segment._replace(opening=False, token=self.token, **changes)
        self.fleet.send(self.request.zone, packet, self)

    def _give_up_opening(self) -> None:
        if not self.token:
            self.reset()

    def _fail(self) -> None:
        if not self.ended:
            self._end("failed")

    def _end(self, outcome: typing.Literal["served", "failed"]) -> None:
        self.ended = True
        self.fleet.attempts.pop(self.name, None)
        latency_s = self.fleet.clock.now - self.request.started_s
        self.fleet.results.append(Result(self.request, outcome, latency_s))


def name_flow(segment: segments.Segment) -> str:
    """Return the caller's end of a flow as text."""
    return ":".join(map(str, segment.caller))
