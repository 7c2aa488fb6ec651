"""The one task that owns the module and its engine; all else reaches them through its queue."""

import asyncio
import time
import traceback
from collections import Counter
from collections.abc import Callable
from typing import Any

from lapisgrade.engine import Engine, Task
from lapisgrade.interface import (
    AddToCounter,
    AttemptResult,
    Clock,
    CounterReply,
    Operation,
    Reject,
    RejectReason,
    WakeReason,
)
from lapisgrade.net import SECOND, counter, front, hops
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import (
    AttemptFinished,
    ClientDisconnected,
    ClientRequest,
    CounterCallFinished,
    Event,
    RequestReceived,
    ServersUpdated,
    TimerFired,
)
from lapisgrade.net.http import call_after_pending_io


def wall(offset_us: int = 0, drift_ppm: float = 0.0) -> Callable[[], int]:
    """Unix time in us, read once and then carried on by a clock that never steps; for tests of clocks that
    disagree, so much ahead at the start and gaining so many us in each second."""
    began = time.monotonic_ns()
    since = time.time_ns() - began
    if not drift_ppm:
        return lambda: (time.monotonic_ns() + since) // 1000 + offset_us

    def drifting() -> int:
        now = time.monotonic_ns()
        return (now + since) // 1000 + offset_us + int((now - began) * drift_ppm / 1e9)

    return drifting


class Host:
    """Brings events to the module in the order of the queue, and carries out what it asks for."""

    def __init__(
        self,
        build: Callable[[Clock], Any],
        now: Callable[[], int],
        say: Callable[[str], None],
        counts: Counter[str],
    ) -> None:
        self.now, self._say, self._counts = now, say, counts
        self._queue: asyncio.Queue[Event] = asyncio.Queue()
        self.put = self._queue.put_nowait
        self.clock = Clock(now())
        self.engine = Engine(self, self.clock)
        self.module = build(self.clock)
        self.owed: dict[ClientRequest, Operation] = {}  # without their final answer
        self._due = 0  # the wake-up asked for last
        self.pool: hops.Pool | None = None
        self.counter: counter.Counter | None = None

    async def run(self) -> None:
        bring: dict[type, Callable[[Any], None]] = {
            RequestReceived: self._taken,
            ClientDisconnected: self._left,
            AttemptFinished: self._landed,
            CounterCallFinished: self._counted,
            ServersUpdated: self._news,
            TimerFired: self._tick,
        }
        while True:
            event = await self._queue.get()
            self.clock.now_us = max(self.clock.now_us, self.now())
            try:
                bring[type(event)](event)
            except Exception:
                self._say(f"on {type(event).__name__}: {traceback.format_exc()}")
                self._counts["faults"] += 1
                self._give_up_broken()

    def _give_up_broken(self) -> None:
        """An operation whose generator broke off is given up alone, and at once (guards the others)."""
        for operation in [each for each in self.owed.values() if each.task is None or each.task.is_finished]:
            self.reject(operation, Reject(RejectReason.FAILED))

    # ---- what the sockets bring

    def _taken(self, event: RequestReceived) -> None:
        operation = event.operation
        if operation.handle.client is None:
            return  # gone already
        self.owed[operation.handle] = operation
        self._counts["operations"] += 1
        self.engine.run(self.module.handle(operation), operation)

    def _left(self, event: ClientDisconnected) -> None:
        operation = event.operation
        operation.is_abandoned = True
        if self.owed.pop(operation.handle, None) is not None:
            self._counts["operations whose client left"] += 1
            self.engine.wake(operation, WakeReason.CLIENT_GONE)

    def _landed(self, event: AttemptFinished) -> None:
        hop, ending = event.attempt, event.reason
        operation = hop.operation
        client = operation.handle.client
        message = event.message
        # A request that a server can't use is told so: no other could (guards servers against its repeats).
        if client is not None and ending in (CloseReason.ANSWERED, CloseReason.CLIENT_ERROR):
            del self.owed[operation.handle]
            self.deliver(client, message)
            client = None
        load = self.load(message) if message is not None else None
        report = AttemptResult(ending.outcome, self.clock.now_us - hop.sent_us, client is None, load)
        self.module.on_attempt_finished(hop, report)
        self.engine.attempt_finished(hop, report)

    def deliver(self, client: Any, message: Any) -> None:
        client.answer(message.head.status_code, message.body, message.size)

    load = staticmethod(hops.load_report)
    worded = staticmethod(front.worded)

    def _counted(self, event: CounterCallFinished) -> None:
        self.engine.counter_replied(event.task, CounterReply(event.reason.counter_outcome, event.total))

    def _news(self, event: ServersUpdated) -> None:
        self.module.update_servers(event.entries, event.whole)

    def _tick(self, event: TimerFired) -> None:
        self.engine.run_due_timers(ticked=event.due_us == self._due)

    # ---- what the engine wants carried out

    def send(self, hop: Any) -> None:
        self.pool.send(hop)

    def cancel(self, hop: Any) -> None:
        self.pool.cancel(hop)

    def reject(self, operation: Operation, answer: Reject) -> None:
        client = operation.handle.client
        if client is None:
            return  # it left while this was on its way
        del self.owed[operation.handle]
        status, more = self.worded(answer)
        client.answer(status, [], 0, more)

    def add_to_counter(self, task: Task, add: AddToCounter) -> None:
        self.counter.add(task, add)

    def log(self, text: str) -> None:
        self._say(text)

    def schedule_wakeup(self, when_us: int) -> None:
        self._due = when_us
        delay = max(0, when_us - self.now()) / SECOND
        asyncio.get_running_loop().call_later(
            delay, call_after_pending_io, lambda: self.put(TimerFired(when_us))
        )
