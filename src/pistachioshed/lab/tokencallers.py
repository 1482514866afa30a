"""Simulated callers that open one flow per request, retransmit and retry."""

import itertools
import typing

from pistachioshed.core import segments
from pistachioshed.lab import fleet

TARGET: typing.Final = (0xC6120001, 443)
# Callers of the users' system retransmit an opening twice, then give up the attempt.
OPENING_RETRANSMIT_DELAYS_S: typing.Final = (0.2, 0.6)
OPENING_TIMEOUT_S: typing.Final = 1.4
DATA_RETRANSMIT_DELAY_S: typing.Final = 0.2
MAX_DATA_RETRANSMIT_DELAY_S: typing.Final = 1.6
MAX_RETRIES: typing.Final = 2


class Request(typing.NamedTuple):
    """A request of a caller, common to all its attempts."""

    number: int
    zone: str
    started_s: float
    work_s: float


class Result(typing.NamedTuple):
    """Outcome of a request; `latency_s` is measured from its first attempt."""

    request: Request
    outcome: typing.Literal["served", "failed"]
    latency_s: float


class Site(typing.Protocol):
    """The parameters of a deployment that callers use."""

    @property
    def deadline_s(self) -> float:
        """Time in seconds that callers wait for a response."""


class Network(typing.Protocol):
    """Interface to the simulated routers, balancers and hosts that callers use."""

    clock: fleet.Clock
    caller_ports: "itertools.count[int]"
    attempts: "dict[str, Attempt]"
    results: list[Result]

    @property
    def site(self) -> Site:
        """The parameters of the deployment."""

    def send(self, zone: str, segment: segments.Segment, attempt: "Attempt") -> None:
        """Send a packet of a caller that is in a zone."""

    def has_acknowledged(self, token: int, flow: str) -> bool:
        """Return whether the host of a token has received the request of a flow."""


class Attempt:
    """One attempt of a caller at a request, on a flow of its own."""

    def __init__(self, network: Network, request: Request, retries: int) -> None:
        self.network = network
        self.request = request
        self.retries = retries
        self.started_s = network.clock.now
        self.ended = False
        self.token = 0
        port = next(network.caller_ports)
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
        """Send the opening; schedule its retransmissions and the timeouts."""
        clock = self.network.clock
        self.network.attempts[self.name] = self
        self._send_opening(0)
        for copy, delay_s in enumerate(OPENING_RETRANSMIT_DELAYS_S, 1):
            clock.schedule(delay_s, lambda number=copy: self._send_opening(number))  # type: ignore[misc]
        clock.schedule(OPENING_TIMEOUT_S, self._handle_opening_timeout)
        remaining_s = self.request.started_s + self.network.site.deadline_s - clock.now
        clock.schedule(max(0.0, remaining_s), self._fail)

    def receive_acceptance(self, token: int) -> None:
        """Send the request after the first acceptance; ignore any further one."""
        if not self.token and not self.ended:
            self.token = token
            self._send_request(DATA_RETRANSMIT_DELAY_S)

    def receive_response(self) -> None:
        """Acknowledge the response, close the flow and record the result."""
        if self.ended:
            return
        self._send(sequence=1_101, acknowledged=1_500, length=0, closing=True)
        self._end("served")

    def retry_or_fail(self) -> None:
        """Retry at once on a new flow, or fail the request if no retry is left.

        The deadline of the request applies to the new attempt too.
        """
        if self.ended:
            return
        if self.retries == 0:
            self._end("failed")
            return
        self.ended = True
        self.network.attempts.pop(self.name, None)
        Attempt(self.network, self.request, self.retries - 1).start()

    def _send_opening(self, copy: int) -> None:
        if not self.token and not self.ended:
            packet = self.segment._replace(copy=copy)
            self.network.send(self.request.zone, packet, self)

    def _send_request(self, retransmit_delay_s: float) -> None:
        if self.ended:
            return
        self._send(sequence=1_001, acknowledged=500, length=100)
        if self.network.has_acknowledged(self.token, self.name):
            return
        next_delay_s = min(2 * retransmit_delay_s, MAX_DATA_RETRANSMIT_DELAY_S)
        self.network.clock.schedule(
            retransmit_delay_s, lambda: self._send_request(next_delay_s)
        )

    def _send(self, **changes: typing.Any) -> None:
        packet = self.segment._replace(opening=False, token=self.token, **changes)
        self.network.send(self.request.zone, packet, self)

    def _handle_opening_timeout(self) -> None:
        if not self.token:
            self.retry_or_fail()

    def _fail(self) -> None:
        if not self.ended:
            self._end("failed")

    def _end(self, outcome: typing.Literal["served", "failed"]) -> None:
        self.ended = True
        self.network.attempts.pop(self.name, None)
        latency_s = self.network.clock.now - self.request.started_s
        self.network.results.append(Result(self.request, outcome, latency_s))


def name_flow(segment: segments.Segment) -> str:
    """Return the caller's address and port of a flow as text."""
    return ":".join(map(str, segment.caller))
