"""Simulated callers: flows that open, send requests one by one and close."""

import random
import typing

from pistachioshed.core import events
from pistachioshed.lab import fleet, history

FIRST_RETRY_DELAY_S: typing.Final = 0.3
RESPONSE_TIMEOUT_S: typing.Final = 10.0


class Load(typing.NamedTuple):
    """The load on one service: the rate of new flows and the requests of each."""

    service: str
    flows_per_s: float
    requests_per_flow: int
    think_s: float
    work_s: float
    idempotent: bool = True


class CallerCounts(typing.NamedTuple):
    """Counts of flows that opened, broke, were refused or never opened."""

    opened: int
    broken: int
    refused: int
    unopened: int


class Flow:
    """A caller's flow: one request at a time, retransmitted until answered.

    An accepted opening, a new request and a finished request each increment
    `exchange_id`, which ends the retransmissions of the previous exchange.
    """

    def __init__(self, source: "Source", number: int) -> None:
        self.source = source
        self.name = f"{source.load.service}-f{number}"
        self.key = number.to_bytes(6, "big")
        self.opening_id = number & 0xFFFFFFFF
        self.opened = False
        self.server = ""
        self.ended = False
        self.request_count = 0
        self.request: str | None = None
        self.work_s = 0.0
        self.invoked_s = 0.0
        self.exchange_id = 0

    def start(self) -> None:
        """Send the opening."""
        self.source.fleet.receivers[self.key] = self.receive
        self.invoked_s = self.source.clock.now
        self._transmit(self.exchange_id)

    def receive(self, packet: fleet.ReturnPacket) -> None:
        """Handle a packet; ignore one that does not belong to the current exchange."""
        if self.ended or packet.flow != self.name:
            return
        if packet.kind == "accepted" and not self.opened:
            self.opened = True
            self.server = packet.server
            self.source.opened += 1
            self.exchange_id += 1
            self._send_next_request()
        elif packet.kind == "refused" and not self.opened:
            self.source.refused += 1
            self._end()
        elif packet.kind == "reset" and self.opened:
            self._end_broken()
        elif packet.kind == "answer" and packet.request == self.request:
            self._finish_request(packet)

    def _send_next_request(self) -> None:
        if self.ended:
            return
        load = self.source.load
        self.request_count += 1
        self.request = f"{self.name}-r{self.request_count}"
        self.work_s = self.source.random.expovariate(1 / load.work_s)
        self.invoked_s = self.source.clock.now
        self.exchange_id += 1
        self._transmit(self.exchange_id)

    def _transmit(self, exchange_id: int, wait_s: float = FIRST_RETRY_DELAY_S) -> None:
        if self.ended or exchange_id != self.exchange_id:
            return
        if self.source.clock.now - self.invoked_s > RESPONSE_TIMEOUT_S:
            self._give_up()
            return
        kind = events.PacketKind.DATA if self.opened else events.PacketKind.OPENING
        opening_id = 0 if self.opened else self.opening_id
        request = self.request if self.opened else None
        packet = fleet.Packet(
            self.source.load.service,
            self.key,
            self.name,
            kind,
            opening_id,
            request,
            self.work_s,
            self.server,
        )
        self.source.fleet.send_packet(packet)
        self.source.clock.schedule(
            wait_s, lambda: self._transmit(exchange_id, min(2 * wait_s, 2.0))
        )

    def _finish_request(self, packet: fleet.ReturnPacket) -> None:
        now = self.source.clock.now
        self.source.latencies_s.append((self.invoked_s, now - self.invoked_s))
        self._record("ran", now, packet.request)
        self.request = None
        self.exchange_id += 1
        load = self.source.load
        if self.request_count >= load.requests_per_flow:
            self._close()
            return
        think_s = self.source.random.expovariate(1 / load.think_s)
        self.source.clock.schedule(think_s, self._send_next_request)

    def _close(self) -> None:
        packet = fleet.Packet(
            self.source.load.service,
            self.key,
            self.name,
            events.PacketKind.DATA,
            0,
            server=self.server,
        )
        self.source.fleet.send_packet(packet)
        self._end()

    def _give_up(self) -> None:
        if self.opened:
            self._end_broken()
        else:
            self.source.unopened += 1
            self._end()

    def _end_broken(self) -> None:
        self.source.broken += 1
        if self.request is not None:
            self._record("unknown", None, None)
        self._end()

    def _end(self) -> None:
        self.ended = True
        self.source.fleet.receivers.pop(self.key, None)

    def _record(
        self,
        outcome: history.Outcome,
        returned_s: float | None,
        answer: str | None,
    ) -> None:
        assert self.request is not None
        self.source.fleet.records.append(
            history.Operation(
                self.name,
                self.source.load.service,
                self.request,
                self.source.load.idempotent,
                self.invoked_s,
                returned_s,
                outcome,
                answer,
            )
        )


class Source:
    """Starts the flows of one service as a Poisson process."""

    def __init__(
        self, clock: fleet.Clock, target: fleet.Fleet, load: Load, seed: int
    ) -> None:
        self.clock = clock
        self.fleet = target
        self.load = load
        self.random = random.Random(f"{seed}-{load.service}")
        self.base_number = self.random.getrandbits(40)
        self.started = 0
        self.opened = 0
        self.broken = 0
        self.refused = 0
        self.unopened = 0
        self.latencies_s: list[tuple[float, float]] = []

    def run_until(self, end_s: float) -> None:
        """Start flows from the current time until `end_s`."""
        if self.clock.now >= end_s:
            return
        self.started += 1
        Flow(self, self.base_number + self.started * 7_919).start()
        wait_s = self.random.expovariate(self.load.flows_per_s)
        self.clock.schedule(wait_s, lambda: self.run_until(end_s))

    def get_counts(self) -> CallerCounts:
        """Return the current counts."""
        return CallerCounts(self.opened, self.broken, self.refused, self.unopened)
