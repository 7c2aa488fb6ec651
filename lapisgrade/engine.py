"""Drives the generators of one host: executes their commands and resumes them with events.

The engine contains no policy and performs no I/O: a `Host` executes the commands that need it. The protocol
is described in `lapisgrade.interface`. A task is in one of these states:

    ready --resumed--> (runs until it waits or finishes)
    sleeping --timer, event or Resume--> ready
    waiting for the counter --counter_replied--> ready
    waiting for a call --call_finished--> ready

Tasks are resumed in the order in which they become ready, before the call that made them ready returns.

A command that fails raises in the generator that yielded it. A generator that doesn't handle an exception
ends its task; the other ready tasks are resumed before the exception is raised to the host.
"""

import heapq
from collections import deque
from typing import Any, NamedTuple, Protocol

from lapisgrade.interface import (
    AddToCounter,
    AttemptFinished,
    AttemptResult,
    Call,
    Cancel,
    Clock,
    Command,
    CommandGenerator,
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
    """Executes commands over some transport and reports results to the engine."""

    def send(self, attempt: Any) -> None:
        """Start an attempt; its result is reported to `Engine.attempt_finished`."""

    def cancel(self, attempt: Any) -> None:
        """Cancel an attempt in flight."""

    def reject(self, operation: Any, answer: Reject) -> None:
        """Give an operation its final answer."""

    def add_to_counter(self, task: "Task", add: AddToCounter) -> None:
        """Call the counter; the reply is reported to `Engine.counter_replied`."""

    def log(self, text: str) -> None:
        """Write a line to the log."""

    def schedule_wakeup(self, when_us: int) -> None:
        """Call `Engine.run_due_timers(is_wakeup=True)` at `when_us`; replaces the previous request."""


class Caller(Protocol):
    """Calls other processes, for engines whose generators yield `Call`."""

    def call(self, task: "Task", call: Call) -> None:
        """Start a call; its result is reported to `Engine.call_finished`."""


class Task:
    """A generator that has been started."""

    __slots__ = ("generator", "is_finished", "is_sleeping", "operation", "resume_count")

    def __init__(self, generator: CommandGenerator[None], operation: Operation | None) -> None:
        """Create the task of a generator; `operation` is None for a spawned one."""
        self.generator = generator
        self.operation = operation
        self.resume_count = 0  # tells which timers are stale: those of an earlier sleep
        self.is_sleeping = False
        self.is_finished = False


class Timer(NamedTuple):
    """When to resume a task that is still sleeping; ordered by time, then by creation."""

    due_us: int
    sequence: int
    task: Task
    resume_count: int  # the task's `resume_count` when it started to sleep

    def is_active(self) -> bool:
        """Whether the task is still in the sleep that created this timer."""
        return self.task.is_sleeping and self.task.resume_count == self.resume_count


class Engine:
    """Tasks and timers of one host."""

    __slots__ = ("_caller", "_clock", "_host", "_ready", "_timer_count", "_timers", "_wakeup_us")

    def __init__(self, host: Host, clock: Clock, caller: Caller | None = None) -> None:
        """Create an engine without tasks; `host` advances `clock`, and `caller` executes each `Call`."""
        self._clock = clock
        self._host = host
        self._caller = caller
        self._ready: deque[tuple[Task, Any]] = deque()  # each task with the result or event to resume it with
        self._timers: list[Timer] = []  # a heap
        self._timer_count = 0
        self._wakeup_us: int | None = None  # time of the pending wake-up; None: none was requested

    # ---- called by the host

    def run(self, generator: CommandGenerator[None], operation: Operation | None = None) -> None:
        """Start a generator; run it and all tasks that it makes ready until they wait.

        Raises:
            Exception: A generator has failed, and its task is finished: TypeError if it yielded something
                that the engine can't execute. The other calls of the host raise in the same way.
        """
        task = Task(generator, operation)
        if operation is not None:
            operation.task = task
        self._ready.append((task, None))
        self._drain()

    def attempt_finished(self, attempt: Any, result: AttemptResult) -> None:
        """Deliver an attempt's result to its operation; the caller has already passed it to the policy."""
        self._deliver(attempt.operation.task, AttemptFinished(attempt, result))

    def wake(self, operation: Operation, reason: WakeReason) -> None:
        """Resume an operation's generator if it is sleeping."""
        self._deliver(operation.task, reason)

    def counter_replied(self, task: Task, reply: CounterReply) -> None:
        """Resume a task with the counter's reply."""
        self._ready.append((task, reply))
        self._drain()

    def call_finished(self, task: Task, result: Any) -> None:
        """Resume a task with the result of its call."""
        self._ready.append((task, result))
        self._drain()

    def run_due_timers(self, is_wakeup: bool = False) -> None:
        """Resume tasks with due timers; `is_wakeup`: the pending wake-up has occurred."""
        now_us = self._clock.now_us
        if is_wakeup:
            self._wakeup_us = None
        while self._timers and self._timers[0].due_us <= now_us:
            timer = heapq.heappop(self._timers)
            if timer.is_active():
                self._deliver(timer.task, WakeReason.TIMER)
        if is_wakeup:  # otherwise the pending wake-up is still to come, and requests the next one
            self._schedule_wakeup()

    # ---- resuming tasks

    def _deliver(self, task: Task, event: Any) -> None:
        """Resume a sleeping task with an event; drop the event if the task is not sleeping."""
        if task.is_sleeping and not task.is_finished:
            task.is_sleeping = False
            self._ready.append((task, event))
            self._drain()

    def _drain(self) -> None:
        """Resume ready tasks until none is left; then raise the first exception of a failed task."""
        first_error: Exception | None = None
        while self._ready:
            task, value = self._ready.popleft()
            try:
                self._resume(task, value)
            except Exception as error:
                first_error = first_error or error
        if first_error is not None:
            raise first_error

    def _resume(self, task: Task, value: Any) -> None:
        """Resume a task until it waits or ends."""
        task.resume_count += 1
        error: Exception | None = None
        while True:
            try:
                command = task.generator.send(value) if error is None else task.generator.throw(error)
            except StopIteration:
                task.is_finished = True
                return
            except Exception:
                task.is_finished = True
                raise
            value = error = None
            try:
                if self._starts_wait(task, command):
                    return
                self._execute(task, command)
            except Exception as failure:
                error = failure
                task.is_sleeping = False
                task.resume_count += 1  # a timer that the failed command has started is stale

    def _starts_wait(self, task: Task, command: Command) -> bool:
        """Execute a command that makes its task wait; return False for the other commands."""
        if isinstance(command, Sleep):
            self._start_timer(task, command.until_us)
        elif isinstance(command, AddToCounter):
            self._host.add_to_counter(task, command)
        elif isinstance(command, Call) and self._caller is not None:
            self._caller.call(task, command)
        else:
            return False
        return True

    def _execute(self, task: Task, command: Command) -> None:
        """Execute a command that does not make its task wait."""
        if isinstance(command, Send):
            self._host.send(command.attempt)
        elif isinstance(command, Reject):
            self._host.reject(task.operation, command)
        elif isinstance(command, Cancel):
            self._host.cancel(command.attempt)
        elif isinstance(command, Spawn):
            self._ready.append((Task(command.generator, None), None))
        elif isinstance(command, Resume):
            other = command.operation.task
            if other.is_sleeping:
                other.is_sleeping = False
                self._ready.append((other, WakeReason.RESUMED))
        elif isinstance(command, LogMessage):
            self._host.log(command.text)
        else:
            raise TypeError(f"a generator yielded {command!r}, which this engine can't execute")

    # ---- timers

    def _start_timer(self, task: Task, until_us: int) -> None:
        task.is_sleeping = True
        self._timer_count += 1
        due_us = max(until_us, self._clock.now_us + 1)
        heapq.heappush(self._timers, Timer(due_us, self._timer_count, task, task.resume_count))
        self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
        """Request a wake-up at the earliest active timer unless one is pending by then."""
        timers = self._timers
        while timers and not timers[0].is_active():
            heapq.heappop(timers)
        if timers and (self._wakeup_us is None or timers[0].due_us < self._wakeup_us):
            due_us = timers[0].due_us
            self._host.schedule_wakeup(due_us)
            self._wakeup_us = due_us
