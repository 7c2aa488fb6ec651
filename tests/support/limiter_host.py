"""The host of one limiter under test, which checks the rules of an operation at each step.

1. An operation has one final answer, in time, and no attempt after it.
2. A repeat is sent only as the category's repeat safety allows.
3. A draining server gets no attempt after its grace.
5. A customer's rate limit is exceeded by no more than its slack.
"""

from typing import TYPE_CHECKING, Any

from lapisgrade.engine import Engine
from lapisgrade.interface import (
    AddToCounter,
    AttemptOutcome,
    AttemptResult,
    Clock,
    CounterOutcome,
    CounterReply,
    CounterSettings,
    Operation,
    Permissions,
    Placement,
    Reject,
    RejectReason,
    RepeatSafety,
    ServerState,
    WakeReason,
)
from lapisgrade.policy import Limiter
from support.limiter_settings import CATEGORIES, SECOND, SERVER_RULES

if TYPE_CHECKING:
    from support.limiter_simulation import LimiterSimulation

COUNTER_TIMEOUT_US = 30_000
CANCELLATION_US = 2_000


class SimulatedAttempt:
    """An attempt as the servers saw it; `outcome` is None while it is in flight."""

    def __init__(self, attempt: Any, name: str, sent_us: int) -> None:
        self.attempt, self.name, self.sent_us = attempt, name, sent_us
        self.outcome: AttemptOutcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have executed the operation."""
        return not (self.outcome and self.outcome.never_ran)


class LimiterHost:
    """The host of one limiter under test, which checks the rules at each step.

    Attributes:
        pending: Operations without a final answer, by id().
        attempts_by_operation: Each operation's attempts, by its id().
        known_states: Each server's state as this limiter knows it, and since when.
        log_lines: What the limiter logged.
    """

    def __init__(self, simulation: "LimiterSimulation", index: int) -> None:
        self.simulation, self.index, self.clock = simulation, index, Clock(simulation.now)
        self.engine = Engine(self, self.clock)
        self.pending: dict[int, Operation] = {}
        self.attempts_by_operation: dict[int, list[SimulatedAttempt]] = {}
        self.known_states: dict[str, tuple[ServerState, int]] = {}
        self.log_lines: list[str] = []
        self.limiter = Limiter(
            self.clock,
            simulation.random.getrandbits(40),
            Placement(index, simulation.limiter_count, "z0"),
            CounterSettings(True, COUNTER_TIMEOUT_US),
            CATEGORIES,
            SERVER_RULES,
            Permissions(4, True, simulation.allow_hedging, False, 500_000),
        )
        self.limiter.update_servers(list(simulation.endpoints.values()), True)

    # What the engine asks of its host

    def send(self, attempt: Any) -> None:
        """Send an attempt, if the rules allow it, and draw how it ends."""
        operation, simulation = attempt.operation, self.simulation
        earlier = self.attempts_by_operation[id(operation)]
        self._check_attempt(operation, earlier, attempt.server.address)
        if not earlier and operation.plan.rate_limit_per_s:
            self._check_rate_limit(operation)
        sent = SimulatedAttempt(attempt, attempt.server.address, simulation.now)
        earlier.append(sent)
        simulation.attempts.append(sent)
        outcome, after_us = simulation.draw_outcome()
        if outcome is None or after_us > operation.deadline_us - simulation.now:
            outcome, after_us = AttemptOutcome.TIMED_OUT, operation.deadline_us - simulation.now
        simulation.schedule(after_us, self._finish_attempt, operation, sent, outcome)

    def cancel(self, attempt: Any) -> None:
        """The attempt ends as cancelled, unless something else comes first."""
        for sent in self.attempts_by_operation[id(attempt.operation)]:
            if sent.attempt is attempt:
                cancelled = (attempt.operation, sent, AttemptOutcome.CANCELLED)
                self.simulation.schedule(CANCELLATION_US, self._finish_attempt, *cancelled)

    def reject(self, operation: Operation, answer: Reject) -> None:
        """The limiter's own final answer."""
        assert self.pending.pop(id(operation), None) is operation, "rule 1: a second final answer"
        may_have_run = any(each.may_have_run for each in self.attempts_by_operation[id(operation)])
        if answer.reason is RejectReason.RETRY_LATER and may_have_run:
            assert operation.category.repeat_safety is RepeatSafety.IDEMPOTENT, (
                "rule 2: told the client to retry what may have run"
            )
        self.simulation.replies.append((operation, answer, self.simulation.now))

    def add_to_counter(self, task: Any, add: AddToCounter) -> None:
        """Call the counter, which replies later, or not at all."""
        simulation = self.simulation
        assert abs(add.amount) <= 1e9, "more than the counter accepts"
        if simulation.is_counter_silent:
            timed_out = CounterReply(CounterOutcome.TIMED_OUT)
            simulation.schedule(COUNTER_TIMEOUT_US, self._on_counter_reply, task, timed_out)
            return
        simulation.counts[add.counter_id] = simulation.counts.get(add.counter_id, 0.0) + add.amount
        reply = CounterReply(CounterOutcome.ADDED, simulation.counts[add.counter_id])
        if simulation.random.random() < simulation.counter_loss:
            reply = CounterReply(CounterOutcome.TIMED_OUT)
        simulation.schedule(simulation.random.randrange(800, 4_000), self._on_counter_reply, task, reply)

    def log(self, text: str) -> None:
        """Keep a log line."""
        self.log_lines.append(text)

    def schedule_wakeup(self, when_us: int) -> None:
        """Run the engine's timers then."""
        self.simulation.schedule(when_us - self.simulation.now, self._on_timer)

    # What the simulation does

    def disconnect(self, operation: Operation) -> None:
        """The client disconnects before its answer."""
        if self.pending.pop(id(operation), None) is not None:
            operation.is_abandoned = True
            self.engine.wake(operation, WakeReason.CLIENT_DISCONNECTED)

    def check_answered(self, operation: Operation) -> None:
        """The operation must have its final answer by now."""
        assert id(operation) not in self.pending, "rule 1: no final answer in time"

    def _check_attempt(self, operation: Operation, earlier: list[SimulatedAttempt], server: str) -> None:
        simulation, category = self.simulation, operation.category
        assert id(operation) in self.pending, "rule 1: an attempt after the final answer"
        assert simulation.now < operation.deadline_us, "rule 1: an attempt after the deadline"
        effective = [each for each in earlier if each.may_have_run]
        if category.repeat_safety is RepeatSafety.NON_IDEMPOTENT:
            assert not effective, "rule 2: a non-idempotent operation sent twice"
        if category.repeat_safety is RepeatSafety.DEDUPLICATED and effective:
            first, zone = effective[0], simulation.endpoints[server].zone
            assert zone == simulation.endpoints[first.name].zone, "rule 2: sent outside the scope"
            assert simulation.now <= first.sent_us + category.deduplication_window_us, (
                "rule 2: sent after the deduplication window"
            )
        assert simulation.allow_hedging or all(each.outcome for each in earlier), (
            "two attempts in flight at once"
        )
        state, since_us = self.known_states.get(server, (ServerState.READY, 0))
        is_allowed = state is ServerState.READY or simulation.now <= since_us + SERVER_RULES.drain_grace_us
        assert is_allowed, "rule 3: an attempt after the drain grace"

    def _check_rate_limit(self, operation: Operation) -> None:
        """Rule 5: the first attempt of each operation takes its units."""
        now, plan = self.simulation.now, operation.plan
        full = (plan.rate_limit_burst, now)
        level, since_us = self.simulation.rate_limits.get(operation.customer, full)
        filled = level + plan.rate_limit_per_s * (now - since_us) / SECOND
        level = min(plan.rate_limit_burst, filled) - operation.units
        assert level >= -plan.rate_limit_slack, "rule 5: the rate limit is exceeded"
        self.simulation.rate_limits[operation.customer] = (level, now)

    def _finish_attempt(self, operation: Operation, sent: SimulatedAttempt, outcome: AttemptOutcome) -> None:
        if sent.outcome is not None:
            return
        sent.outcome = outcome
        is_settled = outcome is AttemptOutcome.OK or id(operation) not in self.pending
        result = AttemptResult(outcome, self.simulation.now - sent.sent_us, is_settled)
        self.limiter.on_attempt_finished(sent.attempt, result)
        if id(operation) in self.pending:
            if is_settled:
                del self.pending[id(operation)]
                self.simulation.replies.append((operation, AttemptOutcome.OK, self.simulation.now))
            self.engine.attempt_finished(sent.attempt, result)

    def _on_counter_reply(self, task: Any, reply: CounterReply) -> None:
        self.engine.counter_replied(task, reply)

    def _on_timer(self) -> None:
        self.engine.run_due_timers(is_wakeup=True)
