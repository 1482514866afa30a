"""The event loop: waits, cancellation, and failures that end only their own task."""

import socket
import typing

import pytest

from pistachioshed.adapters import eventloop


class FailingLoop:
    """An event loop and the errors that it reported."""

    def __init__(self) -> None:
        self.errors: list[tuple[str, str]] = []
        self.loop = eventloop.EventLoop(self.record)

    def record(self, name: str, error: Exception) -> None:
        """Keep an error."""
        self.errors.append((name, str(error)))

    def run(self, rounds: int = 5) -> None:
        """Run some rounds, each of at most 10 ms."""
        for _ in range(rounds):
            self.loop.run_once(0.01)


@pytest.fixture
def failing() -> typing.Iterator[FailingLoop]:
    """Return a loop that is closed after the test."""
    fixture = FailingLoop()
    yield fixture
    fixture.loop.close()


def test_tasks_wake_in_the_order_of_their_deadlines(failing: FailingLoop) -> None:
    """Guard against timers that fire early or out of order."""
    woken: list[float] = []
    started_at = failing.loop.clock()

    async def sleep(seconds: float) -> None:
        await failing.loop.sleep(seconds)
        woken.append(seconds)
        assert failing.loop.clock() - started_at >= seconds

    for seconds in (0.03, 0.01, 0.02):
        failing.loop.start_task(sleep(seconds), "sleep")
    failing.loop.run_until(lambda: not failing.loop.running)
    assert woken == [0.01, 0.02, 0.03]
    assert not failing.errors


def test_a_failed_task_or_callback_does_not_end_the_others(
    failing: FailingLoop,
) -> None:
    """Guard against one unexpected error that takes the whole process down."""

    async def fail() -> None:
        raise RuntimeError("task")

    def fail_callback() -> None:
        raise RuntimeError("callback")

    steps: list[int] = []

    async def count() -> None:
        for step in range(3):
            await failing.loop.sleep(0.001)
            steps.append(step)

    left, right = socket.socketpair()
    failing.loop.add_callback(left, eventloop.READABLE, fail_callback)
    right.send(b"x")
    failing.loop.start_task(fail(), "failing task")
    failing.loop.call_soon(fail_callback)
    failing.loop.call_at(0.0, fail_callback)
    task = failing.loop.start_task(count(), "count")
    failing.loop.run_until(lambda: task.done)
    assert steps == [0, 1, 2]
    assert ("failing task", "task") in failing.errors
    assert {name for name, _ in failing.errors} == {
        "failing task",
        "callback",
        "socket",
        "timer",
    }
    failing.loop.remove_callback(left, eventloop.READABLE)
    left.close()
    right.close()


def test_a_cancelled_task_releases_its_socket(failing: FailingLoop) -> None:
    """Guard against a selector that keeps sockets of tasks that have ended."""
    left, right = socket.socketpair()
    released: list[bool] = []

    async def wait() -> None:
        try:
            await failing.loop.wait_for_socket(
                left, eventloop.READABLE, failing.loop.clock() + 60.0
            )
        finally:
            released.append(True)

    task = failing.loop.start_task(wait(), "wait")
    failing.run()
    assert left in {key.fileobj for key in failing.loop.selector.get_map().values()}
    failing.loop.cancel(task)
    failing.run()
    assert task.done and released
    assert not failing.loop.selector.get_map()
    assert not failing.errors
    left.close()
    right.close()


def test_a_wait_for_a_socket_ends_at_its_deadline(failing: FailingLoop) -> None:
    """Guard against a task that waits for a silent peer forever."""
    left, right = socket.socketpair()
    outcomes: list[str] = []

    async def wait(seconds: float) -> None:
        try:
            await failing.loop.wait_for_socket(
                left, eventloop.READABLE, failing.loop.clock() + seconds
            )
        except TimeoutError:
            outcomes.append("timeout")
        else:
            outcomes.append("readable")

    failing.loop.start_task(wait(0.01), "wait")
    failing.loop.run_until(lambda: not failing.loop.running)
    right.send(b"x")
    failing.loop.start_task(wait(60.0), "wait")
    failing.loop.run_until(lambda: not failing.loop.running)
    assert outcomes == ["timeout", "readable"]
    left.close()
    right.close()


def test_an_event_wakes_all_that_wait_and_only_once(failing: FailingLoop) -> None:
    """Guard against a wake-up that ends a later wait of the same task."""
    event = eventloop.Event(failing.loop)
    woken: list[tuple[str, bool]] = []

    async def wait(name: str) -> None:
        woken.append((name, await event.wait(failing.loop.clock() + 60.0)))
        event.clear()
        woken.append((name, await event.wait(failing.loop.clock() + 0.01)))

    for name in ("first", "second"):
        failing.loop.start_task(wait(name), name)
    failing.run()
    event.set()
    event.set()
    failing.loop.run_until(lambda: not failing.loop.running)
    assert sorted(woken) == [
        ("first", False),
        ("first", True),
        ("second", False),
        ("second", True),
    ]


def test_after_a_pause_each_task_runs_once_for_its_missed_deadline(
    failing: FailingLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a burst of repeated work when a suspended process wakes up."""
    now = [100.0]
    monkeypatch.setattr(failing.loop, "clock", lambda: now[0])
    runs: list[float] = []

    async def tick() -> None:
        while True:
            await failing.loop.sleep(0.05)
            runs.append(now[0])

    failing.loop.start_task(tick(), "tick")
    failing.loop.run_once(0.0)
    now[0] += 20.0
    failing.loop.run_once(0.0)
    failing.loop.run_once(0.0)
    assert runs == [120.0]
