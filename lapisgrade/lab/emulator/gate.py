"""One limiter in the emulator: the real decision module (or a baseline) driven by the real engine.

The gate is the module's host, as the sockets are in service: it sends hops to the servers of the world,
calls the counter, answers clients and keeps the module's timers on the simulated clock. A gate that dies
loses its state; its clients' open operations are answered by the front, and are no concern of the rules.
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


class Gate:
    """Limiter `index` in its `life`; `world` carries out what it asks for."""

    def __init__(self, world: Any, index: int, life: int, make: Callable[[Clock, int], Any]) -> None:
        self.world, self.index, self.life = world, index, life
        self.clock = Clock(world.sim.now)
        self.engine = Engine(self, self.clock)
        self.module = make(self.clock, index)
        self.owed: dict[int, rules.Record] = {}  # by the operation's id
        self.told: dict[str, tuple[ServerState, int]] = {}  # what discovery told it of each server, and when
        self.alive = True
        self.said = 0

    # ---- what comes in

    def take(self, record: rules.Record) -> None:
        """An operation arrives from a client."""
        self.owed[id(record.op)] = record
        self.now()
        self.engine.run(self.module.handle(record.op), record.op)

    def listed(self, entries: list, whole: bool) -> None:
        now = self.world.sim.now
        for entry in entries:
            old = self.told.get(entry.address)
            if old is None or old[0] is not entry.state:
                self.told[entry.address] = (entry.state, now)
        self.now()
        self.module.update_servers(entries, whole)

    def landed(self, hop: Any, report: AttemptResult) -> None:
        self.now()
        self.module.on_attempt_finished(hop, report)
        record = self.owed.get(id(hop.operation))
        if record is not None:
            if report.is_final:
                del self.owed[id(hop.operation)]
                self.world.finished(self, record)
            self.engine.attempt_finished(hop, report)

    def leave(self, record: rules.Record) -> None:
        """The client goes early."""
        if self.owed.pop(id(record.op), None) is not None:
            record.op.is_abandoned = True
            self.world.left(record)
            self.now()
            self.engine.wake(record.op, WakeReason.CLIENT_DISCONNECTED)

    def tick(self) -> None:
        if self.alive:
            self.now()
            self.engine.run_due_timers(is_wakeup=True)

    def counted(self, task: Any, total: CounterReply) -> None:
        if self.alive:
            self.now()
            self.engine.counter_replied(task, total)

    def now(self) -> None:
        self.clock.now_us = self.world.sim.now
        self.engine.run_due_timers()

    # ---- what the module asks for (the engine's Host)

    def send(self, hop: Any) -> None:
        self.world.send(self, hop)

    def cancel(self, hop: Any) -> None:
        self.world.cancel(self, hop)

    def reject(self, operation: Operation, answer: Reject) -> None:
        record = self.owed.pop(id(operation), None)
        if record is None:
            record = self.world.records.get(id(operation))
            if record is None:
                return
        self.world.answered(self, record, answer.reason is RejectReason.RETRY_LATER, answer.retry_after_us)

    def add_to_counter(self, task: Any, add: AddToCounter) -> None:
        self.world.add(self, task, add)

    def log(self, text: str) -> None:
        self.said += 1

    def schedule_wakeup(self, when_us: int) -> None:
        self.world.sim.at(when_us, self.tick)
