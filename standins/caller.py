"""Callers: seeded mixes of requests over long and short flows, with a history.

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

from standins import hosts, http3

KEEPALIVE_S: typing.Final = 2.0
REQUEST_TIMEOUT_S: typing.Final = 10.0
DEADLINE_MS: typing.Final = 5_000
MAX_TRIES: typing.Final = 3
RETRY_PAUSE_S: typing.Final = 0.3
LONG_SHARE: typing.Final = 0.4
WRITE_SHARE: typing.Final = 0.25
SHEET_SIZES: typing.Final = (20_000, 100_000, 400_000)

Outcome = typing.Literal["ran", "not run", "unknown"]
Write = abc.Callable[[dict[str, object]], None]


class Target(typing.NamedTuple):
    """A service's address and the mix that it is asked for."""

    service: str
    address: http3.Address
    mix: typing.Literal["requests", "sheets"]


class Operation(typing.NamedTuple):
    """One request to be made, possibly in several tries."""

    kind: str
    request_id: str
    method: str
    path: str

    def name_attempt(self, attempt: int) -> str:
        """Return the request id of one try, so that each can be judged by itself."""
        return f"{self.request_id}.{attempt}"


class Flow:
    """A caller's session: one connection at a time, reopened when its host drains."""

    def __init__(self, address: http3.Address) -> None:
        self.address = address
        self.client: http3.Client | None = None
        self.keepalive: asyncio.Task[None] | None = None
        self.broken = ""

    async def request(self, operation: Operation, request_id: str) -> http3.Response:
        """Send a request over the connection, or over a new one."""
        if self.client is not None and not self.client.usable:
            if self.client.terminated is not None:
                self.broken = "terminated while idle"
            await self.close()
        if self.client is None:
            self.client = await http3.open_connection(self.address)
            self.keepalive = asyncio.create_task(send_keepalives(self.client))
        return await self.client.request(
            operation.method,
            operation.path,
            {"x-request-id": request_id, "x-deadline-ms": str(DEADLINE_MS)},
            REQUEST_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Close the connection, if there is one."""
        if self.keepalive is not None:
            self.keepalive.cancel()
        if self.client is not None:
            await http3.close_connection(self.client)
        self.client = None


async def send_keepalives(client: http3.Client) -> None:
    """Ping the server until the connection ends."""
    while client.terminated is None:
        await asyncio.sleep(KEEPALIVE_S)
        client.send_keepalive()


class Caller:
    """One caller; it uses one connection at a time."""

    def __init__(
        self,
        name: str,
        targets: abc.Sequence[Target],
        write: Write,
        executing: str,
        seed: str,
    ) -> None:
        self.name = name
        self.targets = targets
        self.write = write
        self.executing = executing
        self.choose = random.Random(seed)
        self.counts: collections.Counter[str] = collections.Counter()
        self.stopped = asyncio.Event()

    async def run(self, until_s: float) -> None:
        """Open flows one after the other until the time or a stop."""
        await self._pause(self.choose.random())
        while time.monotonic() < until_s and not self.stopped.is_set():
            target = self.choose.choice(self.targets)
            long = self.choose.random() < LONG_SHARE
            await self._run_flow(target, long, until_s)

    async def _run_flow(self, target: Target, long: bool, until_s: float) -> None:
        count = self.choose.randint(20, 60) if long else self.choose.randint(1, 3)
        flow = Flow(target.address)
        opened_s = time.time()
        for _ in range(count):
            if time.monotonic() >= until_s or self.stopped.is_set() or flow.broken:
                break
            operation = self._plan(target)
            for attempt in range(1, MAX_TRIES + 1):
                outcome = await self._try(flow, target, operation, attempt)
                # A repetition is safe only when the request certainly did not run.
                if outcome != "not run":
                    break
                await self._pause(RETRY_PAUSE_S * attempt)
            if long:
                await self._pause(self.choose.random() * 0.6)
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

    async def _try(
        self,
        flow: Flow,
        target: Target,
        operation: Operation,
        attempt: int,
    ) -> Outcome:
        invoked_s = time.time()
        request_id = operation.name_attempt(attempt)
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
                answer, whole = read_answer(operation, request_id, response)
                entry |= {"answer": answer, "whole": whole}
                entry["host"] = response.headers.get("x-host", "")
        self.write(entry | {"returned": time.time(), "outcome": outcome})
        self.counts[outcome] += 1
        return outcome

    def _plan(self, target: Target) -> Operation:
        request_id = str(uuid.UUID(int=self.choose.getrandbits(128), version=4))
        if target.mix == "sheets":
            size = self.choose.choice(SHEET_SIZES)
            path = f"/sheet?name={request_id}&size={size}"
            return Operation("sheet", request_id, "GET", path)
        if self.choose.random() < WRITE_SHARE:
            path = f"/{self.executing}"
            return Operation(self.executing, request_id, "POST", path)
        return Operation("lookup", request_id, "GET", "/lookup")

    async def _pause(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self.stopped.wait(), seconds)
        except TimeoutError:
            return


def read_answer(
    operation: Operation,
    request_id: str,
    response: http3.Response,
) -> tuple[str | None, bool]:
    """Return the request that a response answers, and whether it is whole."""
    if operation.kind == "sheet":
        size = int(operation.path.rpartition("=")[2])
        content = hosts.make_sheet(operation.request_id, size)
        # A sheet's content is derived from its name, so a wrong one shows.
        answers = response.body[:64] == content[:64]
        return request_id if answers else None, response.body == content
    try:
        return str(json.loads(response.body)["request"]), True
    except (ValueError, KeyError):
        return None, False


def parse_target(text: str) -> Target:
    """Parse SERVICE=IP:PORT=MIX."""
    service, address, mix = text.split("=")
    host, _, port = address.rpartition(":")
    if mix not in ("requests", "sheets"):
        raise typer.BadParameter(f"{mix!r} is neither requests nor sheets")
    return Target(service, (host, int(port)), mix)  # type: ignore[arg-type]


async def run_callers(callers: abc.Sequence[Caller], seconds: float) -> None:
    """Run callers side by side until the time or SIGTERM."""
    loop = asyncio.get_running_loop()

    def stop() -> None:
        for caller in callers:
            caller.stopped.set()

    loop.add_signal_handler(signal.SIGTERM, stop)
    until_s = time.monotonic() + seconds
    await asyncio.gather(*(caller.run(until_s) for caller in callers))


def run(
    service: typing.Annotated[
        list[str],
        typer.Option(help="SERVICE=IP:PORT=MIX, mix requests or sheets, repeated."),
    ],
    history: typing.Annotated[pathlib.Path, typer.Option(help="JSON lines file.")],
    callers: typing.Annotated[int, typer.Option(help="How many callers.")] = 10,
    seconds: typing.Annotated[float, typer.Option(help="How long.")] = 10.0,
    executing: typing.Annotated[
        str,
        typer.Option(help="Non-idempotent request: reservation or confirmation."),
    ] = "reservation",
    seed: typing.Annotated[int, typer.Option(help="Seed of all choices.")] = 1,
    prefix: typing.Annotated[str, typer.Option(help="Prefix of names.")] = "caller",
) -> None:
    """Run callers and print their counts as one JSON line."""
    targets = [parse_target(text) for text in service]
    counts: collections.Counter[str] = collections.Counter()
    with history.open("a", buffering=1) as file:

        def write(entry: dict[str, object]) -> None:
            file.write(json.dumps(entry) + "\n")

        async def start() -> None:
            crew = [
                Caller(
                    f"{prefix}-{number}", targets, write, executing, f"{seed}/{number}"
                )
                for number in range(callers)
            ]
            await run_callers(crew, seconds)
            for caller in crew:
                counts.update(caller.counts)

        asyncio.run(start())
    print(json.dumps(dict(counts)), flush=True)


if __name__ == "__main__":
    typer.run(run)
