"""Failure detection: direct probes, probes for other members, and absent VMs."""

import random
import typing
from collections import abc

RELAY_TIMEOUT_S: typing.Final = 1.0
FIRST_ROUND_PINGS: typing.Final = 8
FIRST_ROUND_S: typing.Final = 1.0
# Limits the traffic to absent VMs when a whole zone is unreachable. With 8 nodes, every
# VM of an unreachable zone is pinged in each round.
REJOIN_PINGS: typing.Final = 4


class Relay(typing.NamedTuple):
    """A ping sent on behalf of another member, and how to relay its ack."""

    origin: str
    number: int
    expires_at: float


class FailureDetector:
    """Choose members to ping and match acks to pings."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.order: list[str] = []
        self.last_number = 0
        self.target: str | None = None
        self.number = 0
        self.sent_at = 0.0
        self.helpers: tuple[str, ...] = ()
        self.relays: dict[int, Relay] = {}

    def allocate_number(self) -> int:
        """Return a new ping number; 0 is for pings whose ack is not awaited."""
        self.last_number += 1
        return self.last_number

    def choose_target(self, live: abc.Collection[str]) -> str | None:
        """Return the next member to ping, each once per shuffled round."""
        while self.order:
            name = self.order.pop()
            if name in live:
                return name
        self.order = sorted(live)
        self.rng.shuffle(self.order)
        return self.order.pop() if self.order else None

    def start(self, target: str, now: float) -> int:
        """Start probing a member and return the number of its ping."""
        self.target = target
        self.number = self.allocate_number()
        self.sent_at = now
        self.helpers = ()
        return self.number

    def choose_helpers(self, live: abc.Iterable[str], count: int) -> tuple[str, ...]:
        """Return the members to ask for an indirect probe."""
        others = sorted(name for name in live if name != self.target)
        self.helpers = tuple(self.rng.sample(others, min(count, len(others))))
        return self.helpers

    def stop(self) -> None:
        """Stop waiting for an ack."""
        self.target = None

    def handle_ack(self, sender: str, number: int) -> None:
        """Process an ack; only those of the target and its helpers count."""
        if number == self.number and (sender == self.target or sender in self.helpers):
            self.target = None

    def add_relay(self, origin: str, number: int, now: float) -> int:
        """Register a ping on behalf of another member and return its number."""
        own_number = self.allocate_number()
        self.relays[own_number] = Relay(origin, number, now + RELAY_TIMEOUT_S)
        return own_number

    def pop_relay(self, number: int) -> Relay | None:
        """Remove and return the relay of a ping, or None if there is none."""
        return self.relays.pop(number, None)

    def expire_relays(self, now: float) -> None:
        """Remove relays whose ping was not acknowledged in time."""
        for number in [n for n, relay in self.relays.items() if relay.expires_at < now]:
            del self.relays[number]


class Rejoiner:
    """Choose absent VMs to ping, so that they join or rejoin."""

    def __init__(self, rng: random.Random, interval_s: float) -> None:
        self.rng = rng
        self.interval_s = interval_s
        self.order: list[str] = []
        self.first_round_at: float | None = None
        self.next_at = 0.0

    def choose_targets(self, absent: abc.Set[str], now: float) -> list[str]:
        """Return the VMs to ping now, each once per shuffled round."""
        if not absent or now < self.next_at:
            return []
        self.next_at = now + self.interval_s
        count = REJOIN_PINGS
        if self.first_round_at is None:
            self.first_round_at = now
            count = FIRST_ROUND_PINGS
        chosen: list[str] = []
        while len(chosen) < min(count, len(absent)):
            if not self.order:
                self.order = sorted(absent - set(chosen))
                self.rng.shuffle(self.order)
            name = self.order.pop()
            if name in absent and name not in chosen:
                chosen.append(name)
        return chosen

    def has_ended_first_round(self, now: float) -> bool:
        """Return whether the VMs of the first round had time to answer."""
        return (
            self.first_round_at is not None
            and now >= self.first_round_at + FIRST_ROUND_S
        )
