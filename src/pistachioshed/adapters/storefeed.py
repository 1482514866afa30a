"""Follows a prefix of the store for as long as the process runs."""

import asyncio
import random
import typing
from collections import abc

from pistachioshed.adapters import jsonlog
from pistachioshed.ports import store

# A waiting call is counted once. Below the platform's bound of 30 s.
WAIT_S: typing.Final = 20.0
# Changes of a release come in groups; one call brings a group.
GATHER_S: typing.Final = 0.2
RETRY_FIRST_S: typing.Final = 0.15
RETRY_MAX_S: typing.Final = 0.8  # Beliefs are current within the bounds of 3 s.

Deliver = abc.Callable[[store.WatchBatch], None]


class Feed:
    """Reads a prefix, then waits for its changes, and starts again when they are lost.

    `following` tells whether the last call was answered.

    Parameters
    ----------
    may_wait : asyncio.Event
        Set once this process should wait for changes and not only read once.
    """

    def __init__(
        self,
        name: str,
        prefix: str,
        client: store.PrefixReader,
        deliver: Deliver,
        count: abc.Callable[[str], None],
        may_wait: asyncio.Event,
    ) -> None:
        self.name = name
        self.prefix = prefix
        self.client = client
        self.deliver = deliver
        self.count = count
        self.may_wait = may_wait
        self.revision = 0
        self.following = False
        self.lost = False

    async def run(self) -> None:
        """Deliver snapshots and changes until cancelled."""
        try:
            await self._run()
        finally:
            self.client.close()

    async def _run(self) -> None:
        pause_s = RETRY_FIRST_S
        while True:
            try:
                if not self.revision:
                    await self._read()
                else:
                    await self._wait()
                pause_s = RETRY_FIRST_S
            except store.HistoryLost as error:
                self._note_lost(error)
                self.revision = 0
            except store.StoreError as error:
                self._note_lost(error)
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.0))
                pause_s = min(2 * pause_s, RETRY_MAX_S)

    async def _read(self) -> None:
        self.count("range")
        answer = await self.client.read_prefix(self.prefix)
        self._note_found()
        events = tuple(
            store.Event(pair.key, pair.value, pair.mod_revision)
            for pair in answer.pairs
        )
        self.deliver(store.WatchBatch(answer.revision, events, snapshot=True))
        self.revision = answer.revision

    async def _wait(self) -> None:
        await self.may_wait.wait()
        self.count("watch")
        batch = await self.client.wait_for_changes(self.prefix, self.revision, WAIT_S)
        self._note_found()
        self.revision = max(self.revision, batch.revision)
        if batch.events:
            self.deliver(batch)
            await asyncio.sleep(GATHER_S)

    def _note_lost(self, error: Exception) -> None:
        self.following = False
        self.count("failure")
        if not self.lost:
            self.lost = True
            jsonlog.log_failure(
                "store lost", feed=self.name, revision=self.revision, cause=str(error)
            )

    def _note_found(self) -> None:
        if not self.following:
            jsonlog.log_event("store found", feed=self.name, revision=self.revision)
        self.following = True
        self.lost = False
