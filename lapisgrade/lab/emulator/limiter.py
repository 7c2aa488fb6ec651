"""One limiter in the emulator: the real decision module, or a baseline, run by the real engine.

`EmulatedLimiter` is the engine's host, as the host on sockets is in production: it sends attempts to the
emulated servers, calls the counter, answers clients and runs the policy's timers on the simulated clock. A
limiter that is killed loses its state. The front end, which routes operations to the limiters, answers the
operations that were open in it, and the rules exempt them.
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
    """The limiter with number `index`; `world` executes what its policy requests.

    Attributes:
        incarnation: Number of restarts before this process.
        policy: The decision module, or a baseline.
        unanswered: Operations without a final answer, by the operation's `id()`.
        notified_states: By address: each server's state as last notified by discovery, and the time in us of
            the notification that changed it.
        is_alive: Whether the process runs; false once it was killed.
        log_line_count: Number of lines that the policy logged.
    """

    def __init__(
        self, world: Any, index: int, incarnation: int, make_policy: Callable[[Clock, int], Any]
    ) -> None:
        """Start a limiter without servers; `make_policy` gets its clock and its index."""
        self.world, self.index, self.incarnation = world, index, incarnation
        self.clock = Clock(world.sim.now)
        self.engine = Engine(self, self.clock)
        self.policy = make_policy(self.clock, index)
        self.unanswered: dict[int, rules.OperationRecord] = {}
        self.notified_states: dict[str, tuple[ServerState, int]] = {}
        self.is_alive = True
        self.log_line_count = 0

    # ---- events, reported by the world

    def on_operation(self, record: rules.OperationRecord) -> None:
        """Start the policy's generator for an operation that arrives from a client."""
        self.unanswered[id(record.op)] = record
        self.advance_clock()
        self.engine.run(self.policy.handle(record.op), record.op)

    def on_server_list(self, endpoints: list, is_complete: bool) -> None:
        """Pass a server list of discovery to the policy; `endpoints` are all servers or the changed ones."""
        now_us = self.world.sim.now
        for endpoint in endpoints:
            known = self.notified_states.get(endpoint.address)
            if known is None or known[0] is not endpoint.state:
                self.notified_states[endpoint.address] = (endpoint.state, now_us)
        self.advance_clock()
        self.policy.update_servers(endpoints, is_complete)

    def on_attempt_finished(self, attempt: Any, result: AttemptResult) -> None:
        """Pass an attempt's result to the policy; a final result is the operation's answer."""
        self.advance_clock()
        self.policy.on_attempt_finished(attempt, result)
        record = self.unanswered.get(id(attempt.operation))
        if record is not None:
            if result.is_final:
                del self.unanswered[id(attempt.operation)]
                self.world.on_operation_finished(self, record)
            self.engine.attempt_finished(attempt, result)

    def on_client_disconnected(self, record: rules.OperationRecord) -> None:
        """Mark the operation as abandoned, and wake its generator, unless it has its answer."""
        if self.unanswered.pop(id(record.op), None) is not None:
            record.op.is_abandoned = True
            self.world.on_operation_abandoned(record)
            self.advance_clock()
            self.engine.wake(record.op, WakeReason.CLIENT_DISCONNECTED)

    def on_wakeup(self) -> None:
        """Run the timers for which the engine requested this wake-up."""
        if self.is_alive:
            self.advance_clock()
            self.engine.run_due_timers(is_wakeup=True)

    def on_counter_reply(self, task: Any, reply: CounterReply) -> None:
        """Resume the task that called the counter; a dead limiter ignores the reply."""
        if self.is_alive:
            self.advance_clock()
            self.engine.counter_replied(task, reply)

    def advance_clock(self) -> None:
        """Set the policy's clock to the simulated time, and run the timers due by then."""
        self.clock.now_us = self.world.sim.now
        self.engine.run_due_timers()

    # ---- commands of the policy; the methods of the engine's `Host`

    def send(self, attempt: Any) -> None:
        """Send an attempt to its server."""
        self.world.send(self, attempt)

    def cancel(self, attempt: Any) -> None:
        """Cancel an attempt in flight."""
        self.world.cancel(self, attempt)

    def reject(self, operation: Operation, answer: Reject) -> None:
        """Answer the client with a rejection; a second answer is passed on too, for the rules to detect."""
        record = self.unanswered.pop(id(operation), None)
        if record is None:
            record = self.world.records.get(id(operation))
            if record is None:
                return
        self.world.on_operation_rejected(
            self, record, answer.reason is RejectReason.RETRY_LATER, answer.retry_after_us
        )

    def add_to_counter(self, task: Any, add: AddToCounter) -> None:
        """Call the shared counter; `on_counter_reply` gets the reply."""
        self.world.add_to_counter(self, task, add)

    def log(self, text: str) -> None:
        """Count the line; the emulator keeps no log."""
        self.log_line_count += 1

    def schedule_wakeup(self, when_us: int) -> None:
        """Schedule `on_wakeup` at `when_us`."""
        self.world.sim.at(when_us, self.on_wakeup)
