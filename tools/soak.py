"""Run seeded soak tests of real forwarder processes under injected faults.

A test disturbs forwarders by signals and their store by a proxy, changes the
configuration and the hosts, and checks the promises by what callers and hosts observe.
"""

import argparse
import asyncio
import collections
import os
import pathlib
import sys
import tempfile
import time
import typing
from collections import abc

from standins import operatorrecords, packetflows
from tools import soakfaults, soakfleet

FAULTS_S: typing.Final = 12.0
START_S: typing.Final = 1.0
# The users' bounds: a change is in force after 3 s, which is checked only if forwarder
# and store were undisturbed for 4 s; requests are served within 12 s after faults.
IN_FORCE_S: typing.Final = 3.0
UNDISTURBED_S: typing.Final = 4.0
RECOVERY_S: typing.Final = 12.0
RECOVERY_REQUESTS: typing.Final = 40
REQUEST_PAUSE_S: typing.Final = 0.05
LONG_FLOW_S: typing.Final = 1.5
LONG_FLOW_SHARE: typing.Final = 0.1
CHANGING_TARGET_SHARE: typing.Final = 0.2
FRESH_SEED_LIMIT: typing.Final = 1_000_000_000


class Soak:
    """One run of the soak test, its request outcomes and its broken promises.

    `judged_count` counts the openings and resets at undisturbed times, which are those
    that the bounds on changes apply to.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.fleet = soakfleet.SoakFleet(seed, folder)
        self.faults = soakfaults.FaultInjector(self.fleet)
        self.draw = self.fleet.draw
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.judged_count = 0

    async def run(self) -> None:
        """Run the test, stop everything that it started and check the results."""
        try:
            await self.fleet.start()
            await asyncio.sleep(START_S)
            faults_task = asyncio.create_task(self.faults.inject(FAULTS_S))
            senders = [
                self.send_requests(caller, faults_task) for caller in self.fleet.callers
            ]
            await asyncio.gather(faults_task, *senders)
            await self.check_recovery()
        finally:
            await self.fleet.stop()
        self.violations += self.faults.violations
        self.check_arrivals()
        self.check_refusals()
        self.check_executions()

    async def send_requests(
        self, caller: packetflows.Caller, faults_task: "asyncio.Task[None]"
    ) -> None:
        """Send one request after the other until all injected faults have ended."""
        while not faults_task.done():
            hold_s = LONG_FLOW_S if self.draw.random() < LONG_FLOW_SHARE else 0.0
            if self.draw.random() < CHANGING_TARGET_SHARE:
                target = operatorrecords.parse_target(soakfleet.CHANGING_TARGET)
                await caller.request(target, self.build_body())
            else:
                await self.request(caller, hold_s)
            await asyncio.sleep(self.draw.uniform(0, 2 * REQUEST_PAUSE_S))

    async def request(
        self, caller: packetflows.Caller, hold_s: float = 0.0
    ) -> packetflows.Outcome:
        """Send one request and check its response."""
        service, target = self.draw.choice(list(soakfleet.TARGETS.items()))
        body = self.build_body()
        outcome, response = await caller.request(
            operatorrecords.parse_target(target), body, hold_s
        )
        self.outcomes[outcome] += 1
        if outcome == "served" and response != body + b"@" + service.encode():
            self.violations.append(
                f"{body!r} for {service}: wrong response {response!r}"
            )
        return outcome

    def build_body(self) -> bytes:
        """Return the body of a new request."""
        return f"request-{self.draw.getrandbits(64):016x}".encode()

    async def check_recovery(self) -> None:
        """Check that requests are all served within the recovery time after faults."""
        deadline = self.fleet.now() + RECOVERY_S
        consecutive = 0
        while consecutive < RECOVERY_REQUESTS:
            outcome = await self.request(self.draw.choice(self.fleet.callers))
            consecutive = consecutive + 1 if outcome == "served" else 0
            if self.fleet.now() > deadline:
                self.violations.append(
                    "requests are not all served after the recovery time"
                )
                return

    def is_undisturbed(self, forwarder: str, at: float) -> bool:
        """Return whether forwarder and store were undisturbed before a time."""
        harms = (*self.fleet.disturbances[forwarder], *self.fleet.store_disturbances)
        return not any(
            disturbance.start <= at and at - disturbance.end <= UNDISTURBED_S
            for disturbance in harms
        )

    def find_route_states(self, at: float) -> set[bool]:
        """Return which states of the changing target's route are valid at a time.

        These are the state in force `IN_FORCE_S` before and all written since; True
        means that the target was routed.
        """
        states = {
            state
            for changed_at, state in self.fleet.route_changes
            if 0 <= at - changed_at
        }
        earlier = [
            state
            for changed_at, state in self.fleet.route_changes
            if at - changed_at > IN_FORCE_S
        ]
        later = {
            state
            for changed_at, state in self.fleet.route_changes
            if 0 <= at - changed_at <= IN_FORCE_S
        }
        return {earlier[-1], *later} if earlier else states

    def was_evacuated(self, arrival: packetflows.Arrival) -> bool:
        """Return whether an evacuation of a flow's zone must have been in force."""
        return any(
            span.start + IN_FORCE_S < arrival.at < span.end
            for span in self.fleet.evacuations[self.fleet.zones[arrival.host]]
        )

    def check_arrivals(self) -> None:
        """Check each flow's service, and that no flow uses an ended host or route."""
        targets = {
            operatorrecords.parse_target(target): service
            for service, target in soakfleet.TARGETS.items()
        }
        changing = operatorrecords.parse_target(soakfleet.CHANGING_TARGET)
        targets[changing] = "booking"
        for arrival in self.fleet.arrivals:
            if targets[arrival.target] != arrival.service:
                self.violations.append(f"flow reached the wrong service: {arrival}")
            if not self.is_undisturbed(arrival.forwarder, arrival.at):
                continue
            self.judged_count += 1
            if self.was_evacuated(arrival):
                self.violations.append(f"flow opened in an evacuated zone: {arrival}")
            ended_at = self.fleet.announced_ends.get(arrival.host, arrival.at)
            if arrival.at - ended_at > IN_FORCE_S:
                self.violations.append(
                    f"flow reached a host that had announced its end: {arrival}"
                )
            routed = self.find_route_states(arrival.at)
            if arrival.target == changing and True not in routed:
                self.violations.append(
                    f"flow followed a route that was removed: {arrival}"
                )

    def check_refusals(self) -> None:
        """Check that no opening is refused whose route exists."""
        changing = operatorrecords.parse_target(soakfleet.CHANGING_TARGET)
        for refusal in self.fleet.refusals:
            if refusal.forwarder not in self.fleet.disturbances:
                # The reset came from a host that had crashed.
                continue
            if refusal.target != changing:
                continue
            if not self.is_undisturbed(refusal.forwarder, refusal.at):
                continue
            self.judged_count += 1
            if False not in self.find_route_states(refusal.at):
                self.violations.append(
                    f"opening refused although its route exists: {refusal}"
                )

    def check_executions(self) -> None:
        """Check that no request ran twice; these callers never repeat a request."""
        for body, count in self.fleet.execution_counts.items():
            if count > 1:
                self.violations.append(f"{body!r} ran {count} times")


async def run_seed(seed: int, folder: pathlib.Path) -> Soak:
    """Run the soak test with one seed."""
    soak = Soak(seed, folder)
    await soak.run()
    return soak


def print_result(seed: int, soak: Soak, folder: pathlib.Path) -> bool:
    """Print the result of a seed; return whether the run kept the promises."""
    counts = " ".join(
        f"{name} {count}" for name, count in sorted(soak.outcomes.items())
    )
    verdict = "failed" if soak.violations else "kept"
    print(f"seed {seed}: {verdict}; {counts}; judged {soak.judged_count}", flush=True)
    for violation in soak.violations[:5]:
        print(f"  {violation}")
    if soak.violations:
        print(f"  logs in {folder}; faults: {'; '.join(soak.faults.log)}")
    return not soak.violations


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--fresh", action="store_true", help="derive the first seed from the clock"
    )
    parser.add_argument("--logs", type=pathlib.Path, help="directory for the logs")
    options = parser.parse_args(arguments)
    root = options.logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    passed = True
    first = options.first
    if options.fresh:
        first = time.time_ns() // 1_000_000 % FRESH_SEED_LIMIT
    for seed in range(first, first + options.count):
        folder = root / f"seed-{seed}"
        os.makedirs(folder, exist_ok=True)
        passed = (
            print_result(seed, asyncio.run(run_seed(seed, folder)), folder) and passed
        )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
