"""Callers that send seeded random requests over flows and record a history.

Run as `python -m standins.caller --service booking=127.0.0.1:9001=requests
--callers 20 --seconds 10 --history FILE`.
"""

import asyncio
import collections
import json
import pathlib
import random
import signal
import time
import typing
import uuid
from collections import abc

import typer

from standins import http3, sessions

MAX_ATTEMPTS: typing.Final = 3
RETRY_DELAY_S: typing.Final = 0.3
IDLE_FLOW_JITTER_S: typing.Final = 3.0
LONG_FLOW_SHARE: typing.Final = 0.4
WRITE_SHARE: typing.Final = 0.25
SHEET_SIZES_BYTES: typing.Final = (20_000, 100_000, 400_000)

Outcome = typing.Literal["ran", "not run", "unknown"]
Write = abc.Callable[[dict[str, object]], None]


class Caller:
    """A caller that uses one connection at a time."""

    def __init__(
        self,
        name: str,
        targets: abc.Sequence[sessions.Target],
        write: Write,
        executing: str,
        seed: str,
    ) -> None:
        self.name = name
        self.targets = targets
        self.write = write
        self.executing = executing
        self.rng = random.Random(seed)
        self.counts: collections.Counter[str] = collections.Counter()
        self.stopped = asyncio.Event()

    async def run(self, until_s: float) -> None:
        """Open flows one after another until `until_s` or until stopped."""
        await self._pause(self.rng.random())
        while time.monotonic() < until_s and not self.stopped.is_set():
            target = self.rng.choice(self.targets)
            long = self.rng.random() < LONG_FLOW_SHARE
            await self._run_flow(target, long, until_s)

    async def _run_flow(
        self, target: sessions.Target, long: bool, until_s: float
    ) -> None:
        count = self.rng.randint(20, 60) if long else self.rng.randint(1, 3)
        flow = sessions.Flow(target.address)
        opened_s = time.time()
        for _ in range(count):
            if time.monotonic() >= until_s or self.stopped.is_set() or flow.broken:
                break
            operation = self._choose_operation(target)
            for attempt in range(1, MAX_ATTEMPTS + 1):
                outcome = await self._run_attempt(flow, target, operation, attempt)
                # Retrying is safe only if the request is known not to have run.
                if outcome != "not run":
                    break
                await self._pause(RETRY_DELAY_S * attempt)
            if long:
                await self._pause(self.rng.random() * 0.6)
        await self._end_flow(flow, target, long, opened_s)

    async def run_idle_flow(self, until_s: float) -> None:
        """Keep one flow open, sending a request at its start and at its end."""
        target = self.rng.choice(self.targets)
        flow = sessions.Flow(target.address)
        await self._pause(self.rng.random() * IDLE_FLOW_JITTER_S)
        opened_s = time.time()
        await self._run_attempt(flow, target, self._choose_operation(target), 1)
        end_s = until_s - self.rng.random() * IDLE_FLOW_JITTER_S
        await self._pause(end_s - time.monotonic())
        if not flow.broken:
            await self._run_attempt(flow, target, self._choose_operation(target), 1)
        await self._end_flow(flow, target, True, opened_s)

    async def _end_flow(
        self,
        flow: sessions.Flow,
        target: sessions.Target,
        long: bool,
        opened_s: float,
    ) -> None:
        await flow.close()
        self.counts["flows"] += 1
        self.counts["broken"] += bool(flow.broken)
        self.write(
            {
                "flow": self.name,
                "service": target.service,
                "long": long,
                "opened": opened_s,
                "closed": time.time(),
                "broken": flow.broken,
            },
        )

    async def _run_attempt(
        self,
        flow: sessions.Flow,
        target: sessions.Target,
        operation: sessions.Operation,
        attempt: int,
    ) -> Outcome:
        invoked_s = time.time()
        request_id = operation.make_attempt_id(attempt)
        entry: dict[str, object] = {
            "caller": self.name,
            "service": target.service,
            "operation": operation.kind,
            "request": request_id,
            "idempotent": operation.method == "GET",
            "invoked": invoked_s,
            "reason": "",
        }
        outcome: Outcome = "not run"
        try:
            response = await flow.request(operation, request_id)
        except (http3.RefusedError, http3.UnopenedError) as error:
            entry["reason"] = str(error)
        except http3.LostError as error:
            outcome = "unknown"
            entry["reason"] = flow.broken = str(error)
        else:
            if "x-run" in response.headers:
                entry["reason"] = f"status {response.status}"
            else:
                outcome = "ran"
                answered_id, whole = sessions.parse_response(
                    operation, request_id, response
                )
                entry |= {"answer": answered_id, "whole": whole}
                entry["host"] = response.headers.get("x-host", "")
        self.write(entry | {"returned": time.time(), "outcome": outcome})
        self.counts[outcome] += 1
        return outcome

    def _choose_operation(self, target: sessions.Target) -> sessions.Operation:
        request_id = str(uuid.UUID(int=self.rng.getrandbits(128), version=4))
        if target.mix == "sheets":
            size = self.rng.choice(SHEET_SIZES_BYTES)
            path = f"/sheet?name={request_id}&size={size}"
            return sessions.Operation("sheet", request_id, "GET", path)
        if self.rng.random() < WRITE_SHARE:
            path = f"/{self.executing}"
            return sessions.Operation(self.executing, request_id, "POST", path)
        return sessions.Operation("lookup", request_id, "GET", "/lookup")

    async def _pause(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self.stopped.wait(), seconds)
        except TimeoutError:
            return


def parse_target(text: str) -> sessions.Target:
    """Parse SERVICE=IP:PORT=MIX."""
    service, address, mix = text.split("=")
    host, _, port = address.rpartition(":")
    if mix not in ("requests", "sheets"):
        raise typer.BadParameter(f"{mix!r} is neither requests nor sheets")
    return sessions.Target(service, (host, int(port)), mix)  # type: ignore[arg-type]


async def run_callers(
    callers: abc.Sequence[Caller],
    idle_callers: abc.Sequence[Caller],
    seconds: float,
) -> None:
    """Run active and idle callers concurrently for `seconds` or until SIGTERM."""
    loop = asyncio.get_running_loop()

    def stop() -> None:
        for caller in (*callers, *idle_callers):
            caller.stopped.set()

    loop.add_signal_handler(signal.SIGTERM, stop)
    until_s = time.monotonic() + seconds
    await asyncio.gather(
        *(caller.run(until_s) for caller in callers),
        *(idle_caller.run_idle_flow(until_s) for idle_caller in idle_callers),
    )


def run(
    service: typing.Annotated[
        list[str],
        typer.Option(help="SERVICE=IP:PORT=MIX, mix requests or sheets, repeated."),
    ],
    history: typing.Annotated[
        pathlib.Path, typer.Option(help="JSON Lines file to append to.")
    ],
    callers: typing.Annotated[int, typer.Option(help="Number of callers.")] = 10,
    idle: typing.Annotated[int, typer.Option(help="Number of idle flows.")] = 0,
    seconds: typing.Annotated[
        float, typer.Option(help="Duration of the run in seconds.")
    ] = 10.0,
    executing: typing.Annotated[
        str,
        typer.Option(help="Non-idempotent request: reservation or confirmation."),
    ] = "reservation",
    seed: typing.Annotated[int, typer.Option(help="Seed of the random generator.")] = 1,
    prefix: typing.Annotated[
        str, typer.Option(help="Prefix of caller names.")
    ] = "caller",
) -> None:
    """Run callers and print their total counts as one JSON line."""
    targets = [parse_target(text) for text in service]
    counts: collections.Counter[str] = collections.Counter()
    with history.open("a", buffering=1) as file:

        def write(entry: dict[str, object]) -> None:
            file.write(json.dumps(entry) + "\n")

        def make_caller(name: str) -> Caller:
            return Caller(name, targets, write, executing, f"{seed}/{name}")

        async def start() -> None:
            active_callers = [
                make_caller(f"{prefix}-{number}") for number in range(callers)
            ]
            idle_callers = [
                make_caller(f"{prefix}-idle-{number}") for number in range(idle)
            ]
            await run_callers(active_callers, idle_callers, seconds)
            for caller in (*active_callers, *idle_callers):
                counts.update(caller.counts)

        asyncio.run(start())
    print(json.dumps(dict(counts)), flush=True)


if __name__ == "__main__":
    typer.run(run)
