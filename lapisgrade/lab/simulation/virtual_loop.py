"""An asyncio event loop in simulated time that assigns each callback to a simulated process.

A callback belongs to the process in whose context it was scheduled. Callbacks of a killed process are
dropped, and those of a frozen process are delayed until it resumes.
"""

import asyncio
import contextlib
import heapq
from collections.abc import Callable, Coroutine
from contextvars import ContextVar, copy_context
from random import Random
from typing import Any

SECOND = 1_000_000  # us


class Process:
    """One simulated process, from its start to its exit.

    Attributes:
        frozen_until_us: Time (of the loop) until which its callbacks are delayed.
        skew_us: Offset of its steady clock from the loop's.
        tasks: Its tasks, including those that have ended.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_alive = True
        self.frozen_until_us = 0
        self.skew_us = 0
        self.tasks: list[asyncio.Task] = []
        self._pace = 1.0  # rate of its steady clock relative to the loop's
        self._pace_since_us = 0

    def set_pace(self, pace: float, now_us: int) -> None:
        """Change the rate of the steady clock from now on, without a step in its time."""
        self.skew_us = self.clock_us(now_us) - now_us
        self._pace, self._pace_since_us = pace, now_us

    def clock_us(self, now_us: int) -> int:
        """Return the time of the process's steady clock when the loop's is `now_us`."""
        gained_us = round((self._pace - 1.0) * (now_us - self._pace_since_us))
        return now_us + self.skew_us + gained_us


CURRENT_PROCESS: ContextVar[Process | None] = ContextVar("process", default=None)


class VirtualLoop(asyncio.AbstractEventLoop):
    """An event loop in simulated time; `errors` collects the unhandled exceptions."""

    def __init__(self, random: Random) -> None:
        self.now_us = 10 * SECOND
        self.random = random
        self.errors: list[str] = []
        self.callback_count = 0  # number of callbacks run, a measure of the simulation's cost
        self._event_count = 0  # orders the callbacks that are due at the same time
        self._events: list[tuple[int, int, asyncio.Handle, Process | None]] = []
        self._tasks: list[asyncio.Task] = []

    # ---- the interface of asyncio's event loops

    def time(self) -> float:
        """Return the simulated time (s)."""
        return self.now_us / SECOND

    def get_debug(self) -> bool:
        """Return False: asyncio's debug mode is off."""
        return False

    def is_running(self) -> bool:
        """Return True."""
        return True

    def is_closed(self) -> bool:
        """Return False."""
        return False

    def create_future(self) -> asyncio.Future:
        """Create a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine, *, name: str | None = None, context: Any = None) -> asyncio.Task:
        """Start a task in the current process."""
        task = asyncio.Task(coro, loop=self, name=name, context=context)
        process = CURRENT_PROCESS.get()
        (process.tasks if process is not None else self._tasks).append(task)
        return task

    def call_soon(self, callback: Callable, *args: Any, context: Any = None) -> asyncio.Handle:
        """Schedule a callback for the current time."""
        return self._schedule(asyncio.Handle(callback, args, self, context), self.now_us)

    def call_later(self, delay: float, callback: Callable, *args: Any, context: Any = None) -> asyncio.Handle:
        """Schedule a callback in `delay` s."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(self, when: float, callback: Callable, *args: Any, context: Any = None) -> asyncio.Handle:
        """Schedule a callback at the time `when` (s)."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        return self._schedule(handle, max(self.now_us, round(when * SECOND)))

    def _timer_handle_cancelled(self, handle: asyncio.Handle) -> None:
        """Do nothing: `_run_next` skips cancelled handles."""

    def run_in_executor(self, executor: Any, func: Callable, *args: Any) -> asyncio.Future:
        """Run a blocking call on a simulated `executor`, which determines its duration."""
        return executor.submit_to(self, func, args)

    def call_exception_handler(self, context: dict) -> None:
        """Record an unhandled exception, but not the destruction of a pending task of a killed process."""
        error = context.get("exception")
        if error is not None or "destroyed" not in context.get("message", ""):
            self.errors.append(f"{context.get('message')}: {error!r}")

    # ---- control of the simulation

    def schedule(
        self, delay_us: int, process: Process | None, callback: Callable, *args: Any
    ) -> asyncio.Handle:
        """Schedule a callback in `delay_us`, in the context of `process`."""
        context = copy_context()
        context.run(CURRENT_PROCESS.set, process)
        handle = asyncio.Handle(callback, args, self, context)
        return self._schedule(handle, self.now_us + delay_us)

    def _schedule(self, handle: asyncio.Handle, at_us: int) -> asyncio.Handle:
        self._event_count += 1
        process = handle._context.get(CURRENT_PROCESS)  # asyncio has no public attribute for it
        heapq.heappush(self._events, (at_us, self._event_count, handle, process))
        return handle

    def run_for(self, seconds: float) -> None:
        """Run for that many simulated seconds."""
        end_us = self.now_us + round(seconds * SECOND)
        asyncio._set_running_loop(self)
        try:
            while self._events and self._events[0][0] <= end_us:
                self._run_next()
        finally:
            asyncio._set_running_loop(None)
        self.now_us = end_us

    def _run_next(self) -> None:
        at_us, _, handle, process = heapq.heappop(self._events)
        self.now_us = max(self.now_us, at_us)
        if handle.cancelled():
            return
        if process is not None:
            if not process.is_alive:
                return
            frozen_us = process.frozen_until_us - self.now_us
            if frozen_us > 0:
                self._event_count += 1
                heapq.heappush(self._events, (process.frozen_until_us, self._event_count, handle, process))
                return
        self.callback_count += 1
        handle._run()

    def run_until(self, condition: Callable[[], bool], timeout_s: float, step_s: float = 0.01) -> bool:
        """Run until the condition holds, checked every `step_s`; return False on a time-out."""
        end_us = self.now_us + round(timeout_s * SECOND)
        while not condition():
            if self.now_us >= end_us:
                return False
            self.run_for(step_s)
        return True

    def finish(self, processes: list[Process]) -> None:
        """Kill the processes and close all tasks, at the end of a simulation."""
        self._events.clear()
        for process in processes:
            process.is_alive = False
        for task in [*self._tasks, *(each for process in processes for each in process.tasks)]:
            task._log_destroy_pending = False
            if not task.done():
                with contextlib.suppress(RuntimeError, ValueError):  # it awaits in close(), or is running
                    task.get_coro().close()
