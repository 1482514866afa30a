"""Run coroutines of the programs' event loop inside a test on asyncio."""

import asyncio
import typing
from collections import abc

from pistachioshed.adapters import eventloop

ROUND_S: typing.Final = 0.002
DEADLINE_S: typing.Final = 8.0

T = typing.TypeVar("T")


class LoopDriver:
    """An event loop that `run` advances, and the errors that its tasks raised."""

    def __init__(self) -> None:
        self.errors: list[tuple[str, Exception]] = []
        self.loop = eventloop.EventLoop(
            lambda name, error: self.errors.append((name, error))
        )

    async def run(self, coroutine: abc.Coroutine[typing.Any, typing.Any, T]) -> T:
        """Run a coroutine on the event loop; return its result or raise its error."""
        results: list[T] = []
        errors: list[Exception] = []

        async def run_and_keep() -> None:
            try:
                results.append(await coroutine)
            except Exception as error:
                errors.append(error)

        task = self.loop.start_task(run_and_keep(), "test")
        async with asyncio.timeout(DEADLINE_S):
            while not task.done:
                await self.step()
        if errors:
            raise errors[0]
        return results[0]

    async def step(self) -> None:
        """Run one round of the event loop, and one of asyncio."""
        self.loop.run_once(0.0)
        await asyncio.sleep(ROUND_S)

    async def keep_running(self) -> None:
        """Advance the event loop until cancelled."""
        while True:
            await self.step()
