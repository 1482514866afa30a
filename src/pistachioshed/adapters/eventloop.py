"""Run coroutines that wait for sockets, events and times in one thread.

The forwarder uses this loop in place of `asyncio`, whose import alone takes longer than
all the rest of its start.
"""

import collections
import heapq
import itertools
import selectors
import socket
import time
import types
import typing
from collections import abc

READABLE: typing.Final = selectors.EVENT_READ
WRITABLE: typing.Final = selectors.EVENT_WRITE

# Long enough that a service that always fails takes little processor time.
SERVICE_RESTART_S: typing.Final = 0.5

Callback = abc.Callable[[], None]
Run = abc.Coroutine[None, bool | None, None]
"""A coroutine that receives from each wait whether it was woken before the deadline."""

HandleError = abc.Callable[[str, Exception], None]
"""Report an error that ended a task or a callback, given its name."""


class Cancelled(BaseException):
    """Raised inside a task that is cancelled, at the point where it waits."""


class Task:
    """A coroutine that runs on a loop.

    `waits` counts how often it has been suspended, so that a wake-up that arrives too
    late for a wait does not end the next one.
    """

    __slots__ = ("cancelled", "coroutine", "done", "name", "waits")

    def __init__(self, coroutine: Run, name: str) -> None:
        self.coroutine = coroutine
        self.name = name
        self.waits = 0
        self.done = False
        self.cancelled = False


class Timer:
    """A callback that runs at a time unless it is cancelled."""

    __slots__ = ("callback", "due_at")

    def __init__(self, due_at: float, callback: Callback) -> None:
        self.due_at = due_at
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Do not run the callback."""
        self.callback = None


@types.coroutine
def _suspend() -> abc.Generator[None, bool | None, bool]:
    """Suspend the current task; return whether it was woken before its deadline."""
    return bool((yield))


class EventLoop:
    """Schedule tasks, timers and socket callbacks.

    Parameters
    ----------
    handle_error : callable
        Receives the errors that tasks and callbacks do not handle. The loop goes on.

    Attributes
    ----------
    running : set of Task
        The tasks that have not ended.
    """

    def __init__(self, handle_error: HandleError) -> None:
        self.handle_error = handle_error
        self.clock = time.monotonic
        self.selector = selectors.DefaultSelector()
        self.ready: collections.deque[Callback] = collections.deque()
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_numbers = itertools.count()
        self.running: set[Task] = set()
        self.current: Task | None = None

    def run_until(self, is_finished: abc.Callable[[], bool]) -> None:
        """Run until a condition holds, which is checked after each round."""
        while not is_finished():
            self.run_once()

    def run_once(self, wait_max_s: float | None = None) -> None:
        """Wait for the next event, at most the given time, and handle what is due."""
        wait_s = 0.0 if self.ready else self._find_wait(wait_max_s)
        for key, mask in self.selector.select(wait_s):
            callbacks: dict[int, Callback] = key.data
            for event in (READABLE, WRITABLE):
                # An earlier callback of this round may have removed this one.
                if mask & event and event in callbacks:
                    self._call("socket", callbacks[event])
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            _, _, timer = heapq.heappop(self.timers)
            if timer.callback is not None:
                self._call("timer", timer.callback)
        for _ in range(len(self.ready)):
            self._call("callback", self.ready.popleft())

    def close(self) -> None:
        """Cancel all tasks and close the selector; sockets stay open."""
        for task in list(self.running):
            self.cancel(task)
        while self.ready:
            self._call("callback", self.ready.popleft())
        self.selector.close()

    def call_soon(self, callback: Callback) -> None:
        """Run a callback in the next round; signal handlers may call this."""
        self.ready.append(callback)

    def call_at(self, due_at: float, callback: Callback) -> Timer:
        """Run a callback at a time of `clock`."""
        timer = Timer(due_at, callback)
        heapq.heappush(self.timers, (due_at, next(self.timer_numbers), timer))
        return timer

    def start_task(self, coroutine: Run, name: str) -> Task:
        """Run a coroutine as a task from the next round on."""
        task = Task(coroutine, name)
        self.running.add(task)
        self.ready.append(lambda: self._resume(task, None))
        return task

    def start_service(
        self,
        run: abc.Callable[[], Run],
        name: str,
    ) -> Task:
        """Run a coroutine function as a task, and again after each unexpected error."""
        return self.start_task(self._keep_running(run, name), name)

    def cancel(self, task: Task) -> None:
        """Raise `Cancelled` inside a task, unless it has ended."""
        if task.done or task.cancelled:
            return
        task.cancelled = True
        if task is not self.current:
            self.ready.append(lambda: self._resume(task, False))

    def add_callback(self, sock: socket.socket, event: int, callback: Callback) -> None:
        """Call a function whenever a socket is readable or writable."""
        try:
            callbacks = self.selector.get_key(sock).data
        except KeyError:
            self.selector.register(sock, event, {event: callback})
            return
        callbacks[event] = callback
        self.selector.modify(sock, sum(callbacks), callbacks)

    def remove_callback(self, sock: socket.socket, event: int) -> None:
        """Undo `add_callback`; do nothing if there is no such callback."""
        try:
            callbacks = self.selector.get_key(sock).data
        except (KeyError, ValueError, RuntimeError):
            return
        callbacks.pop(event, None)
        if callbacks:
            self.selector.modify(sock, sum(callbacks), callbacks)
        else:
            self.selector.unregister(sock)

    def wake(self, sock: socket.socket) -> None:
        """Call the callbacks of a socket as if it were ready."""
        try:
            callbacks = self.selector.get_key(sock).data
        except KeyError:
            return
        for callback in list(callbacks.values()):
            callback()

    async def sleep(self, seconds: float) -> None:
        """Suspend the current task for a time."""
        await self.suspend(lambda wake: None, self.clock() + seconds)

    async def wait_for_socket(
        self, sock: socket.socket, event: int, deadline: float
    ) -> None:
        """Suspend the current task until a socket is readable or writable.

        Raises
        ------
        TimeoutError
            If that does not happen before the deadline.
        """

        def arm(wake: Callback) -> None:
            self.add_callback(sock, event, wake)

        try:
            is_woken = await self.suspend(arm, deadline)
        finally:
            self.remove_callback(sock, event)
        if not is_woken:
            raise TimeoutError

    async def suspend(
        self, arm: abc.Callable[[Callback], None], deadline: float | None
    ) -> bool:
        """Suspend the current task until it is woken or the deadline has passed.

        Parameters
        ----------
        arm : callable
            Called with the function that wakes the task.
        deadline : float or None
            A time of `clock`, or None to wait for as long as it takes.

        Returns
        -------
        bool
            Whether the task was woken.
        """
        task = self.current
        assert task is not None
        if task.cancelled:
            raise Cancelled
        number = task.waits

        def make_wake(is_woken: bool) -> Callback:
            def wake() -> None:
                if task.waits == number and not task.done:
                    self._resume(task, is_woken)

            return wake

        # The callbacks of sockets and timers run outside of tasks, so that a task can
        # be resumed in them directly.
        wake = make_wake(True)
        arm(lambda: self.ready.append(wake))
        timer = None
        if deadline is not None:
            timer = self.call_at(deadline, make_wake(False))
        try:
            return await _suspend()
        finally:
            if timer is not None:
                timer.cancel()

    async def _keep_running(
        self,
        run: abc.Callable[[], Run],
        name: str,
    ) -> None:
        while True:
            try:
                await run()
                return
            except Exception as error:
                self.handle_error(name, error)
            await self.sleep(SERVICE_RESTART_S)

    def _find_wait(self, wait_max_s: float | None) -> float | None:
        while self.timers and self.timers[0][2].callback is None:
            heapq.heappop(self.timers)
        if not self.timers:
            return wait_max_s
        wait_s = max(0.0, self.timers[0][0] - self.clock())
        return wait_s if wait_max_s is None else min(wait_s, wait_max_s)

    def _resume(self, task: Task, is_woken: bool | None) -> None:
        """Run a task until its next wait; `is_woken` is None at its start."""
        if task.done:
            return
        task.waits += 1
        previous, self.current = self.current, task
        try:
            if task.cancelled:
                task.coroutine.throw(Cancelled())
            else:
                task.coroutine.send(is_woken)
        except (StopIteration, Cancelled):
            self._end(task)
        except Exception as error:
            self._end(task)
            self.handle_error(task.name, error)
        finally:
            self.current = previous

    def _end(self, task: Task) -> None:
        task.done = True
        self.running.discard(task)

    def _call(self, name: str, callback: Callback) -> None:
        try:
            callback()
        except Exception as error:
            self.handle_error(name, error)


class Event:
    """A condition that tasks wait for; `set` wakes all tasks that wait."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.is_set = False
        self.wakes: list[Callback] = []

    def set(self) -> None:
        """Set the condition and wake the tasks that wait for it."""
        self.is_set = True
        wakes, self.wakes = self.wakes, []
        for wake in wakes:
            wake()

    def clear(self) -> None:
        """Make tasks wait again."""
        self.is_set = False

    async def wait(self, deadline: float | None = None) -> bool:
        """Wait until the condition is set; return False after the deadline."""
        if self.is_set:
            return True
        return await self.loop.suspend(self.wakes.append, deadline)
