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
    def answer(self, operation: Operation, answer: Reject) -> None: ...
    def add(self, task: "Task", add: AddToCounter) -> None: ...
    def say(self, text: str) -> None: ...
    def wake_at(self, when_us: int) -> None: ...


class Task:
    """A generator under way; `turn` tells a stale timer from a live one."""

    __slots__ = ("ended", "generator", "operation", "paused", "turn")

    def __init__(self, generator: Generator, operation: Operation | None) -> None:
        self.generator = generator
        self.operation = operation
        self.turn = 0
        self.paused = False
        self.ended = False


class Engine:
    """One limiter's generators and timers."""

    __slots__ = ("_armed", "_clock", "_host", "_order", "_ready", "_timers")

    def __init__(self, host: Host, clock: Clock) -> None:
        self._clock = clock
        self._host = host
        self._ready: deque[tuple[Task, Any]] = deque()
        self._timers: list[tuple[int, int, Task, int]] = []
        self._order = 0
        self._armed: int | None = None

    def run(self, generator: Generator, operation: Operation | None = None) -> None:
        """Start a generator and let it, and whatever it sets off, go as far as it can."""
        task = Task(generator, operation)
        if operation is not None:
            operation.task = task
        self._ready.append((task, None))
        self._drain()

    def landed(self, hop: Any, report: AttemptResult) -> None:
        """A hop has ended; the bookkeeping of the module comes first, by the caller."""
        self._give(hop.operation.task, AttemptFinished(hop, report))

    def told(self, operation: Operation, word: WakeReason) -> None:
        self._give(operation.task, word)

    def added(self, task: Task, total: CounterReply) -> None:
        self._ready.append((task, total))
        self._drain()

    def time(self, ticked: bool = False) -> None:
        """The clock has moved; run what fell due. `ticked`: the wake-up last asked for has come."""
        now_us = self._clock.now_us
        if ticked:
            self._armed = None
        while self._timers and self._timers[0][0] <= now_us:
            _, _, task, turn = heapq.heappop(self._timers)
            if task.paused and task.turn == turn:
                self._give(task, WakeReason.TIMER)
        if ticked:
            self._arm()

    def _give(self, task: Task, value: Any) -> None:
        if task.paused and not task.ended:
            task.paused = False
            self._ready.append((task, value))
            self._drain()

    def _drain(self) -> None:
        while self._ready:
            task, value = self._ready.popleft()
            self._step(task, value)

    def _step(self, task: Task, value: Any) -> None:
        """Resume a generator until it waits, ends or answers."""
        task.turn += 1
        host = self._host
        while True:
            try:
                asked = task.generator.send(value)
            except StopIteration:
                task.ended = True
                return
            except Exception:
                task.ended = True
                raise
            value = None
            if isinstance(asked, Sleep):
                task.paused = True
                self._order += 1
                due = max(asked.until_us, self._clock.now_us + 1)
                heapq.heappush(self._timers, (due, self._order, task, task.turn))
                self._arm()
                return
            if isinstance(asked, AddToCounter):
                host.add(task, asked)
                return
            if isinstance(asked, Send):
                host.send(asked.attempt)
            elif isinstance(asked, Reject):
                host.answer(task.operation, asked)
            elif isinstance(asked, Cancel):
                host.cancel(asked.attempt)
            elif isinstance(asked, Spawn):
                self._ready.append((Task(asked.generator, None), None))
            elif isinstance(asked, Resume):
                other = asked.operation.task
                if other.paused:
                    other.paused = False
                    self._ready.append((other, WakeReason.RESUMED))
            elif isinstance(asked, LogMessage):
                host.say(asked.text)
            else:
                raise TypeError(f"a generator asked for {asked!r}")

    def _arm(self) -> None:
        """Have the host wake us for the earliest timer, once."""
        timers = self._timers
        while timers and not (timers[0][2].paused and timers[0][2].turn == timers[0][3]):
            heapq.heappop(timers)
        if timers and (self._armed is None or timers[0][0] < self._armed):
            self._armed = timers[0][0]
            self._host.wake_at(self._armed)
