"""Runs the generators of one limiter: resumes them with results and keeps their timers.

Mechanism only. It knows no protocol: a desk carries out what the generators ask for.
"""

import heapq
from collections import deque
from collections.abc import Generator
from typing import Any, Protocol

from lapisgrade.interface import (
    AddToCounter,
    AttemptFinished,
    AttemptResult,
    Cancel,
    Clock,
    CounterReply,
    LogMessage,
    Operation,
    Reject,
    Resume,
    Send,
    Sleep,
    Spawn,
    WakeReason,
)


class Host(Protocol):
    """Carries out what is asked for, on whatever wire there is."""

    def send(self, hop: Any) -> None: ...
    def cancel(self, hop: Any) -> None: ...
    def reject(self, operation: Operation, answer: Reject) -> None: ...
    def add_to_counter(self, task: "Task", add: AddToCounter) -> None: ...
    def log(self, text: str) -> None: ...
    def schedule_wakeup(self, when_us: int) -> None: ...


class Task:
    """A generator under way; `turn` tells a stale timer from a live one."""

    __slots__ = ("generator", "is_finished", "is_sleeping", "operation", "resumptions")

    def __init__(self, generator: Generator, operation: Operation | None) -> None:
        self.generator = generator
        self.operation = operation
        self.resumptions = 0
        self.is_sleeping = False
        self.is_finished = False


class Engine:
    """One limiter's generators and timers."""

    __slots__ = ("_clock", "_host", "_ready", "_timer_count", "_timers", "_wakeup_us")

    def __init__(self, host: Host, clock: Clock) -> None:
        self._clock = clock
        self._host = host
        self._ready: deque[tuple[Task, Any]] = deque()
        self._timers: list[tuple[int, int, Task, int]] = []
        self._timer_count = 0
        self._wakeup_us: int | None = None

    def run(self, generator: Generator, operation: Operation | None = None) -> None:
        """Start a generator and let it, and whatever it sets off, go as far as it can."""
        task = Task(generator, operation)
        if operation is not None:
            operation.task = task
        self._ready.append((task, None))
        self._drain()

    def attempt_finished(self, hop: Any, report: AttemptResult) -> None:
        """A hop has ended; the bookkeeping of the module comes first, by the caller."""
        self._deliver(hop.operation.task, AttemptFinished(hop, report))

    def wake(self, operation: Operation, word: WakeReason) -> None:
        self._deliver(operation.task, word)

    def counter_replied(self, task: Task, total: CounterReply) -> None:
        self._ready.append((task, total))
        self._drain()

    def run_due_timers(self, ticked: bool = False) -> None:
        """The clock has moved; run what fell due. `ticked`: the wake-up last asked for has come."""
        now_us = self._clock.now_us
        if ticked:
            self._wakeup_us = None
        while self._timers and self._timers[0][0] <= now_us:
            _, _, task, turn = heapq.heappop(self._timers)
            if task.is_sleeping and task.resumptions == turn:
                self._deliver(task, WakeReason.TIMER)
        if ticked:
            self._schedule_wakeup()

    def _deliver(self, task: Task, value: Any) -> None:
        if task.is_sleeping and not task.is_finished:
            task.is_sleeping = False
            self._ready.append((task, value))
            self._drain()

    def _drain(self) -> None:
        while self._ready:
            task, value = self._ready.popleft()
            self._step(task, value)

    def _step(self, task: Task, value: Any) -> None:
        """Resume a generator until it waits, ends or answers."""
        task.resumptions += 1
        host = self._host
        while True:
            try:
                asked = task.generator.send(value)
            except StopIteration:
                task.is_finished = True
                return
            except Exception:
                task.is_finished = True
                raise
            value = None
            if isinstance(asked, Sleep):
                task.is_sleeping = True
                self._timer_count += 1
                due = max(asked.until_us, self._clock.now_us + 1)
                heapq.heappush(self._timers, (due, self._timer_count, task, task.resumptions))
                self._schedule_wakeup()
                return
            if isinstance(asked, AddToCounter):
                host.add_to_counter(task, asked)
                return
            if isinstance(asked, Send):
                host.send(asked.attempt)
            elif isinstance(asked, Reject):
                host.reject(task.operation, asked)
            elif isinstance(asked, Cancel):
                host.cancel(asked.attempt)
            elif isinstance(asked, Spawn):
                self._ready.append((Task(asked.generator, None), None))
            elif isinstance(asked, Resume):
                other = asked.operation.task
                if other.is_sleeping:
                    other.is_sleeping = False
                    self._ready.append((other, WakeReason.RESUMED))
            elif isinstance(asked, LogMessage):
                host.log(asked.text)
            else:
                raise TypeError(f"a generator asked for {asked!r}")

    def _schedule_wakeup(self) -> None:
        """Have the host wake us for the earliest timer, once."""
        timers = self._timers
        while timers and not (timers[0][2].is_sleeping and timers[0][2].resumptions == timers[0][3]):
            heapq.heappop(timers)
        if timers and (self._wakeup_us is None or timers[0][0] < self._wakeup_us):
            self._wakeup_us = timers[0][0]
            self._host.schedule_wakeup(self._wakeup_us)
