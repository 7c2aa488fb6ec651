"""Real limiters among simulated clients, counter and servers, on a clock that the test moves."""

import heapq
from collections.abc import Callable
from random import Random
from typing import Any

from lapisgrade.interface import (
    AttemptOutcome,
    Operation,
    ServerEndpoint,
    ServerState,
)
from support.limiter_host import LimiterHost, SimulatedAttempt
from support.limiter_settings import CATEGORIES, PLANS, SECOND

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
ANSWER_LEEWAY_US = 8_000  # that an answer may be later than the operation's deadline


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
        host.attempts_by_operation[id(operation)] = []
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
