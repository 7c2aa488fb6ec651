"""Real limiters among simulated clients, counter and servers, on a clock that the test moves.

`LimiterSimulation` has the clock, the list of servers, the counter and what was sent. A `LimiterHost` is the
host of one limiter; it checks the rules of an operation at each step:

1. an operation has one final answer, in time, and no attempt after it;
2. a repeat is sent only as the category's repeat safety allows;
3. a draining server gets no attempt after its grace;
5. a customer's rate limit is exceeded by no more than its slack.
"""

import heapq
from collections.abc import Callable
from random import Random
from typing import Any

from lapisgrade.engine import Engine
from lapisgrade.interface import (
    AddToCounter,
    AttemptOutcome,
    AttemptResult,
    Category,
    Clock,
    CounterOutcome,
    CounterReply,
    CounterSettings,
    DeduplicationScope,
    Operation,
    Permissions,
    Placement,
    Plan,
    Reject,
    RejectReason,
    RepeatSafety,
    ServerEndpoint,
    ServerRules,
    ServerState,
    WakeReason,
)
from lapisgrade.policy import Limiter

SECOND = 1_000_000
SERVER_RULES = ServerRules(250_000, 15 * SECOND, 0.2, SECOND, 3.0)
CATEGORIES = [
    Category("look", RepeatSafety.IDEMPOTENT, SECOND, 2 * SECOND, 1.0),
    Category(
        "file", RepeatSafety.DEDUPLICATED, 2 * SECOND, 5 * SECOND, 4.0, 0.2, DeduplicationScope.ZONE, 900_000
    ),
    Category("burn", RepeatSafety.NON_IDEMPOTENT, 2 * SECOND, 8 * SECOND, 3.0, 0.2),
]
PLANS = [
    Plan("small", 2.0, 8.0, overage_cost=0.5),
    Plan("capped", 9.0, 20.0, rate_limit_per_s=18.0, rate_limit_burst=40.0, rate_limit_slack=4.0),
    Plan("narrow", 5.0, 10.0, max_in_flight=2),
    Plan("quick", 12.0, 14.0),
]
OUTCOMES = [
    AttemptOutcome.OK,
    AttemptOutcome.ERROR,
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_LOST,
    None,  # no response
]
OUTCOME_WEIGHTS = (70, 8, 6, 6, 5, 5)
ALWAYS_OK = (1, 0, 0, 0, 0, 0)
MEAN_LATENCY_US = 120_000
COUNTER_TIMEOUT_US = 30_000
ANSWER_LEEWAY_US = 8_000  # that an answer may be later than the operation's deadline
CANCELLATION_US = 2_000


class LimiterSimulation:
    """Simulated time, and all that limiters talk to.

    Attributes:
        limiters: The hosts of the limiters, by index.
        endpoints: Every server's entry in the list, by name.
        counts: The counter's data.
        is_counter_silent: The counter answers nothing.
        counter_loss: The share of the counter's replies that are lost, once it has counted.
        attempts: Every attempt that was sent.
        replies: Operation, final answer and its time, of each that has one.
    """

    def __init__(
        self,
        seed: int,
        limiters: int = 3,
        servers: int = 6,
        allow_hedging: bool = True,
        outcome_weights: tuple[int, ...] = OUTCOME_WEIGHTS,
    ) -> None:
        self.random, self.now = Random(seed), 7 * SECOND
        self.limiter_count, self.allow_hedging = limiters, allow_hedging
        self.outcome_weights = outcome_weights
        self.counts: dict[int, float] = {}
        self.is_counter_silent, self.counter_loss = False, 0.0
        self.endpoints = {
            f"s{i}": ServerEndpoint(f"s{i}", ServerState.READY, f"z{i % 2}", i % 3, 1.0)
            for i in range(servers)
        }
        self.rate_limits: dict[str, tuple[float, int]] = {}  # by customer: level, and when
        self.attempts: list[SimulatedAttempt] = []
        self.replies: list[tuple[Operation, Any, int]] = []
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled = 0
        self.limiters: list[LimiterHost] = [None] * limiters
        for i in range(limiters):
            self.start_limiter(i)

    def schedule(self, delay_us: float, call: Callable[..., None], *args: Any) -> None:
        """Call it after that time; calls of one moment come in the order that they were scheduled in."""
        self._scheduled += 1
        heapq.heappush(self._events, (self.now + max(1, int(delay_us)), self._scheduled, call, args))

    def start_limiter(self, i: int) -> None:
        """Start that limiter, or replace it by a new process."""
        self.limiters[i] = LimiterHost(self, i)

    def set_states(self, **states: ServerState) -> None:
        """Give servers, by name, a new state in the list that every limiter has."""
        for name, state in states.items():
            old = self.endpoints[name]
            restarted = state is ServerState.READY and old.state is not ServerState.READY
            started_us = self.now if restarted else old.started_us
            endpoint = ServerEndpoint(name, state, old.zone, old.cell, old.weight, "", started_us)
            self.endpoints[name] = endpoint
            for host in self.limiters:
                host.known_states[name] = (state, self.now)
                host.limiter.update_servers([endpoint], False)

    def submit(
        self,
        i: int,
        category: int = 0,
        plan: int = 0,
        customer: str = "c0",
        units: int = 1,
        timeout_us: int | None = None,
    ) -> Operation:
        """A client's operation arrives at that limiter."""
        kind = CATEGORIES[category]
        host, deadline_us = self.limiters[i], self.now + (timeout_us or kind.timeout_us)
        operation = Operation(customer, PLANS[plan], kind, units, self.now, deadline_us, self.limiter_count)
        host.pending[id(operation)] = operation
        host.attempts_of[id(operation)] = []
        self.schedule(deadline_us - self.now + ANSWER_LEEWAY_US, host.check_answered, operation)
        host.engine.run(host.limiter.handle(operation), operation)
        return operation

    def run(self, until_us: int) -> None:
        """Move the clock, and do all that is due by then."""
        while self._events and self._events[0][0] <= until_us:
            self.now, _, call, args = heapq.heappop(self._events)
            owner = getattr(call, "__self__", None)
            if isinstance(owner, LimiterHost):
                if self.limiters[owner.index] is not owner:
                    continue  # of a process that was replaced
                owner.clock.now_us = self.now
                owner.engine.run_due_timers()
            call(*args)
        self.now = until_us
        for host in self.limiters:
            host.clock.now_us = until_us
            host.engine.run_due_timers()

    def draw_outcome(self) -> tuple[AttemptOutcome | None, float]:
        """How an attempt ends, and after how many us; no outcome for no response."""
        outcome = self.random.choices(OUTCOMES, self.outcome_weights)[0]
        return outcome, self.random.expovariate(1 / MEAN_LATENCY_US) + 1_000


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
        attempts_of: Each operation's attempts, by its id().
        known_states: Each server's state as this limiter knows it, and since when.
        log_lines: What the limiter logged.
    """

    def __init__(self, simulation: LimiterSimulation, index: int) -> None:
        self.simulation, self.index, self.clock = simulation, index, Clock(simulation.now)
        self.engine = Engine(self, self.clock)
        self.pending: dict[int, Operation] = {}
        self.attempts_of: dict[int, list[SimulatedAttempt]] = {}
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
        earlier = self.attempts_of[id(operation)]
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
        for sent in self.attempts_of[id(attempt.operation)]:
            if sent.attempt is attempt:
                cancelled = (attempt.operation, sent, AttemptOutcome.CANCELLED)
                self.simulation.schedule(CANCELLATION_US, self._finish_attempt, *cancelled)

    def reject(self, operation: Operation, answer: Reject) -> None:
        """The limiter's own final answer."""
        assert self.pending.pop(id(operation), None) is operation, "rule 1: a second final answer"
        may_have_run = any(each.may_have_run for each in self.attempts_of[id(operation)])
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
            self.engine.wake(operation, WakeReason.CLIENT_GONE)

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
        self.engine.run_due_timers(ticked=True)
