"""The server pool: capacity of servers, choice of a server, limit on all attempts in flight."""

from collections.abc import Callable
from random import Random

from lapisgrade.interface import (
    AttemptOutcome,
    AttemptResult,
    Category,
    Clock,
    Operation,
    Placement,
    ServerEndpoint,
    ServerRules,
    ServerState,
)
from lapisgrade.policy.attempt import Attempt
from lapisgrade.policy.concurrency_limit import ConcurrencyLimit
from lapisgrade.policy.latency import LATENCY_DECAY_US, LatencyEstimate
from lapisgrade.policy.observed_server import UNHEALTHY_WEIGHT, UNRESPONSIVE_RATIO, ObservedServer
from lapisgrade.policy.slow_start import SlowStart
from lapisgrade.policy.subset import choose_subset
from lapisgrade.rate import SECOND, DecayingSum, TokenBucket

INITIAL_LATENCY_RATIO = 0.12  # assumed latency before the first attempt, as a fraction of the target
REMOVED_SERVER_RETENTION_US = 45 * SECOND  # retention of a removed server after its last attempt
TRIED_SERVER_WEIGHT = 0.05  # factor on the odds of a server that already had an attempt of the operation
MAX_LATENCY_RATIO = 10.0  # upper bound on one attempt's latency, in expected latencies

RESPONSE_OUTCOMES = (
    AttemptOutcome.OK,
    AttemptOutcome.ERROR,
    AttemptOutcome.INVALID_REQUEST,
    AttemptOutcome.OVERLOADED,
)
HEALTH_NEUTRAL_OUTCOMES = (AttemptOutcome.OVERLOADED, AttemptOutcome.INVALID_REQUEST, AttemptOutcome.NOT_SENT)


class ServerPool:
    """The servers of the endpoint list, as observed by one limiter."""

    def __init__(
        self,
        clock: Clock,
        random: Random,
        placement: Placement,
        rules: ServerRules,
        categories: list[Category],
    ) -> None:
        """Create an empty pool; `update` adds servers."""
        self.clock = clock
        self.random = random
        self.placement = placement
        self.servers: dict[str, ObservedServer] = {}  # by address
        self.subset: list[ObservedServer] = []  # servers that this limiter sends to
        self.latencies = {
            each.name: LatencyEstimate(INITIAL_LATENCY_RATIO * each.latency_target_us) for each in categories
        }
        self.slow_start = SlowStart(rules, placement)
        self.concurrency = ConcurrencyLimit(placement.limiter_count)

    # ---- endpoint list

    def update(self, endpoints: list[ServerEndpoint], is_complete: bool) -> None:
        """Apply changes of the endpoint list, or, if it `is_complete`, replace it."""
        now_us = self.clock.now_us
        if is_complete:
            for server in self.servers.values():
                server.endpoint = None
        for endpoint in endpoints:
            self._update_server(endpoint, now_us)
        self._forget_removed(now_us)
        self.subset = choose_subset(self.servers.values(), self.placement)
        ready = [server for server in self.servers.values() if server.is_ready()]
        warm_weight = sum(self.slow_start.weight(server, now_us) for server in ready)
        self.concurrency.on_servers_changed(len(endpoints), len(ready), warm_weight)

    def _update_server(self, endpoint: ServerEndpoint, now_us: int) -> None:
        server = self.servers.setdefault(endpoint.address, ObservedServer(endpoint.address))
        previous, server.endpoint = server.endpoint, endpoint
        if endpoint.started_us and (previous is None or previous.started_us != endpoint.started_us):
            server.slow_start_budget = TokenBucket(now_us, 0.0, 0.0, 0.0)
            server.unresponsive_since_us = 0
            server.failures.value = 0.0

    def _forget_removed(self, now_us: int) -> None:
        """Delete removed, idle servers to bound memory and keep subset sizes correct."""
        self.servers = {
            address: server
            for address, server in self.servers.items()
            if server.in_flight
            or now_us - server.last_sent_us < REMOVED_SERVER_RETENTION_US
            or (server.endpoint and server.endpoint.state is not ServerState.REMOVED)
        }

    # ---- latency

    def mean_latency_us(self, category: Category) -> float:
        """The mean latency of a category's attempts."""
        return self.latencies[category.name].mean(self.clock.now_us)

    def expected_latency_us(self, operation: Operation) -> float:
        """The expected latency of an attempt, given the operation's units."""
        return self.latencies[operation.category.name].expected(self.clock.now_us, operation.units)

    # ---- choice of a server

    def choose(
        self,
        operation: Operation,
        tried: list[ObservedServer],
        is_allowed: Callable[[ObservedServer], bool],
    ) -> ObservedServer | None:
        """Choose a server at random, with odds proportional to its estimated free capacity.

        Args:
            operation: The operation to send.
            tried: Servers of its previous attempts.
            is_allowed: Whether the operation may be sent to a given server.

        Returns:
            The server; None if no server is eligible.
        """
        now_us, mean_us = self.clock.now_us, self.mean_latency_us(operation.category)
        candidates: list[ObservedServer] = []
        odds: list[float] = []
        for server in self.subset:
            if not is_allowed(server) or not self.slow_start.has_budget(server, now_us, self.subset):
                continue
            free_capacity = self._free_capacity(server, operation, now_us, mean_us)
            candidates.append(server)
            odds.append(free_capacity * (TRIED_SERVER_WEIGHT if server in tried else 1.0))
        return self.random.choices(candidates, odds)[0] if candidates else None

    def _free_capacity(
        self, server: ObservedServer, operation: Operation, now_us: int, mean_us: float
    ) -> float:
        capacity = server.require_endpoint().weight * self.slow_start.weight(server, now_us)
        capacity *= server.score(now_us, mean_us)
        # A server that rejects one plan or category may still have capacity for others.
        rejections = min(
            server.rejections[name].read(now_us) if name in server.rejections else 0.0
            for name in (operation.plan.name, operation.category.name)
        )
        load = server.load(now_us, mean_us)
        return capacity / ((1 + load) ** 2 * (1 + UNHEALTHY_WEIGHT * rejections) ** 2)

    # ---- attempts

    def on_attempt_started(self, attempt: Attempt) -> None:
        """Record that an attempt is sent."""
        server, now_us = attempt.server, attempt.sent_us
        server.in_flight[attempt] = None
        server.last_sent_us = now_us
        self.concurrency.in_flight += 1
        if not server.unresponsive_since_us:
            server.unresponsive_since_us = now_us
        budget = server.slow_start_budget
        if budget is not None:
            budget.set_level(now_us, budget.read(now_us) - self.expected_latency_us(attempt.operation))

    def on_attempt_finished(self, attempt: Attempt, result: AttemptResult) -> None:
        """Record the result of an attempt."""
        server, now_us, outcome = attempt.server, self.clock.now_us, result.outcome
        attempt.is_in_flight = False
        del server.in_flight[attempt]
        self.concurrency.in_flight -= 1
        if outcome in RESPONSE_OUTCOMES or not server.in_flight:
            server.unresponsive_since_us = now_us if server.in_flight else 0
        if outcome is AttemptOutcome.OVERLOADED:
            # Counted by both: the server may lack capacity for the plan or for the category.
            for name in (attempt.operation.plan.name, attempt.operation.category.name):
                server.rejections.setdefault(name, DecayingSum(LATENCY_DECAY_US)).add(now_us, 1)
        if outcome not in HEALTH_NEUTRAL_OUTCOMES:
            self._record_health(attempt, result, now_us)

    def _record_health(self, attempt: Attempt, result: AttemptResult, now_us: int) -> None:
        server, operation, latency_us = attempt.server, attempt.operation, result.duration_us
        is_ok = result.outcome is AttemptOutcome.OK
        expected_us = self.expected_latency_us(operation)
        if is_ok:
            self.latencies[operation.category.name].add(now_us, latency_us, operation.units)
            self.slow_start.completed_work.add(now_us, expected_us)
            server.successes.add(now_us, 1)
        elif result.outcome is not AttemptOutcome.CANCELLED or latency_us > UNRESPONSIVE_RATIO * expected_us:
            server.failures.add(now_us, 1)
        if is_ok or latency_us > expected_us:
            server.latency_ratio.add(now_us, min(latency_us / expected_us, MAX_LATENCY_RATIO))
            server.latency_samples.add(now_us, 1)
            weight = self._latency_weight(server, now_us, expected_us)
            self.concurrency.on_latency(now_us, latency_us / operation.category.latency_target_us, weight)

    def _latency_weight(self, server: ObservedServer, now_us: int, mean_us: float) -> float:
        """The weight from 0 to 1 of a server's latency in the concurrency limit.

        Low for a server that scores below average. If all servers are slow, their latencies count fully.
        """
        mean_score = sum(each.score(now_us, mean_us) for each in self.subset) / max(1, len(self.subset))
        return min(1.0, server.score(now_us, mean_us) / mean_score) if mean_score else 1.0
