"""One limiter in the emulator: the real decision module (or a baseline) run by the real engine.

The emulated limiter hosts the module as the socket-based host does in production: it sends attempts to the
emulated servers, calls the counter, answers clients and runs the module's timers on the simulated clock. A
limiter that is killed loses its state. The front end answers its open operations, and the rules exempt them.
"""

from collections.abc import Callable
from typing import Any

from lapisgrade.engine import Engine
from lapisgrade.interface import (
    AddToCounter,
    AttemptResult,
    Clock,
    CounterReply,
    Operation,
    Reject,
    RejectReason,
    ServerState,
    WakeReason,
)
from lapisgrade.lab.emulator import rules


class EmulatedLimiter:
    """Limiter `index` in its `incarnation`; `world` carries out what the module requests.

    Attributes:
        unanswered: Operations without a final answer, by the operation's `id()`.
        notified_states: State of each server as last notified by discovery, and the time of its last change.
        log_line_count: Lines that the module logged.
    """

    def __init__(
        self, world: Any, index: int, incarnation: int, make_policy: Callable[[Clock, int], Any]
    ) -> None:
        self.world, self.index, self.incarnation = world, index, incarnation
        self.clock = Clock(world.sim.now)
        self.engine = Engine(self, self.clock)
        self.module = make_policy(self.clock, index)
        self.unanswered: dict[int, rules.OperationRecord] = {}
        self.notified_states: dict[str, tuple[ServerState, int]] = {}
        self.is_alive = True
        self.log_line_count = 0

    # ---- events from the world

    def on_operation(self, record: rules.OperationRecord) -> None:
        """Handle an operation that arrives from a client."""
        self.unanswered[id(record.op)] = record
        self.advance_clock()
        self.engine.run(self.module.handle(record.op), record.op)

    def on_server_list(self, entries: list, is_complete: bool) -> None:
        """Handle a server list of discovery, complete or with the changed servers only."""
        now = self.world.sim.now
        for entry in entries:
            old = self.notified_states.get(entry.address)
            if old is None or old[0] is not entry.state:
                self.notified_states[entry.address] = (entry.state, now)
        self.advance_clock()
        self.module.update_servers(entries, is_complete)

    def on_attempt_finished(self, attempt: Any, result: AttemptResult) -> None:
        self.advance_clock()
        self.module.on_attempt_finished(attempt, result)
        record = self.unanswered.get(id(attempt.operation))
        if record is not None:
            if result.is_final:
                del self.unanswered[id(attempt.operation)]
                self.world.on_operation_finished(self, record)
            self.engine.attempt_finished(attempt, result)

    def on_client_disconnected(self, record: rules.OperationRecord) -> None:
        """Abandon the operation if it has no answer yet."""
        if self.unanswered.pop(id(record.op), None) is not None:
            record.op.is_abandoned = True
            self.world.on_operation_abandoned(record)
            self.advance_clock()
            self.engine.wake(record.op, WakeReason.CLIENT_DISCONNECTED)

    def on_wakeup(self) -> None:
        if self.is_alive:
            self.advance_clock()
            self.engine.run_due_timers(is_wakeup=True)

    def on_counter_reply(self, task: Any, reply: CounterReply) -> None:
        if self.is_alive:
            self.advance_clock()
            self.engine.counter_replied(task, reply)

    def advance_clock(self) -> None:
        """Set the module's clock to the simulated time, and run the timers due by then."""
        self.clock.now_us = self.world.sim.now
        self.engine.run_due_timers()

    # ---- requests of the module (the engine's Host)

    def send(self, attempt: Any) -> None:
        self.world.send(self, attempt)

    def cancel(self, attempt: Any) -> None:
        self.world.cancel(self, attempt)

    def reject(self, operation: Operation, answer: Reject) -> None:
        record = self.unanswered.pop(id(operation), None)
        if record is None:
            record = self.world.records.get(id(operation))
            if record is None:
                return
        self.world.on_operation_rejected(
            self, record, answer.reason is RejectReason.RETRY_LATER, answer.retry_after_us
        )

    def add_to_counter(self, task: Any, add: AddToCounter) -> None:
        self.world.add_to_counter(self, task, add)

    def log(self, text: str) -> None:
        self.log_line_count += 1

    def schedule_wakeup(self, when_us: int) -> None:
        self.world.sim.at(when_us, self.on_wakeup)
