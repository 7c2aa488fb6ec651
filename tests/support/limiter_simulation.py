"""Real limiters with simulated clients, counter and servers, on simulated time."""

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
ANSWER_LEEWAY_US = 8_000  # maximum time from an operation's deadline to its answer


class LimiterSimulation:
    """Simulated time, and simulated peers of the limiters.

    Attributes:
        limiters: Hosts of the limiters, by index.
        endpoints: Entry of each server in the server list, by name.
        counts: Totals in the counter, by id.
        is_counter_silent: The counter does not reply to calls.
        counter_loss: Share of the counter's replies that are lost after the count is changed.
        attempts: All attempts sent.
        replies: Operation, final answer and time of the answer, for each answered operation.
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
            f"s{number}": ServerEndpoint(f"s{number}", ServerState.READY, f"z{number % 2}", number % 3, 1.0)
            for number in range(servers)
        }
        self.rate_limits: dict[str, tuple[float, int]] = {}  # bucket level and its time, by customer
        self.attempts: list[SimulatedAttempt] = []
        self.replies: list[tuple[Operation, Any, int]] = []
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled = 0
        self.limiters: list[LimiterHost] = [None] * limiters
        for index in range(limiters):
            self.start_limiter(index)

    def schedule(self, delay_us: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call; calls due at the same time run in the order in which they were scheduled."""
        self._scheduled += 1
        heapq.heappush(self._events, (self.now + max(1, int(delay_us)), self._scheduled, call, args))

    def start_limiter(self, index: int) -> None:
        """Start a limiter, or replace it by a new process."""
        self.limiters[index] = LimiterHost(self, index)

    def set_states(self, **states: ServerState) -> None:
        """Change the state of servers, by name, in the server lists of all limiters."""
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
        index: int,
        category: int = 0,
        plan: int = 0,
        customer: str = "c0",
        units: int = 1,
        timeout_us: int | None = None,
    ) -> Operation:
        """Submit a client's operation to the limiter at `index`.

        `category` and `plan` are indexes of `CATEGORIES` and `PLANS`. `timeout_us` defaults to the category's
        time-out.
        """
        category_settings = CATEGORIES[category]
        host, deadline_us = self.limiters[index], self.now + (timeout_us or category_settings.timeout_us)
        operation = Operation(
            customer, PLANS[plan], category_settings, units, self.now, deadline_us, self.limiter_count
        )
        host.pending[id(operation)] = operation
        host.attempts_by_operation[id(operation)] = []
        self.schedule(deadline_us - self.now + ANSWER_LEEWAY_US, host.check_answered, operation)
        host.engine.run(host.limiter.handle(operation), operation)
        return operation

    def run(self, until_us: int) -> None:
        """Advance the clock, and run all events that are due."""
        while self._events and self._events[0][0] <= until_us:
            self.now, _, call, args = heapq.heappop(self._events)
            owner = getattr(call, "__self__", None)
            if isinstance(owner, LimiterHost):
                if self.limiters[owner.index] is not owner:
                    continue  # event of a replaced process
                owner.clock.now_us = self.now
                owner.engine.run_due_timers()
            call(*args)
        self.now = until_us
        for host in self.limiters:
            host.clock.now_us = until_us
            host.engine.run_due_timers()

    def draw_outcome(self) -> tuple[AttemptOutcome | None, float]:
        """Return a random outcome of an attempt, None for no response, and its delay in microseconds."""
        outcome = self.random.choices(OUTCOMES, self.outcome_weights)[0]
        return outcome, self.random.expovariate(1 / MEAN_LATENCY_US) + 1_000
