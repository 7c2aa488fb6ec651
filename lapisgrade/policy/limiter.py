"""One limiter's decisions on an operation, from its arrival to its final answer."""

from random import Random

from lapisgrade.interface import (
    AttemptResult,
    Category,
    Clock,
    CommandGenerator,
    CounterSettings,
    Operation,
    Permissions,
    Placement,
    ServerEndpoint,
    ServerRules,
)
from lapisgrade.policy.account import Account
from lapisgrade.policy.admission_queue import AdmissionQueue
from lapisgrade.policy.attempt import Attempt
from lapisgrade.policy.concurrency_limit import LOAD_SHEDDING_THRESHOLD
from lapisgrade.policy.counter_breaker import CounterBreaker
from lapisgrade.policy.operation_attempts import OperationAttempts, reject_for_retry
from lapisgrade.policy.server_pool import ServerPool

MAX_OVERAGE_UTILIZATION = LOAD_SHEDDING_THRESHOLD / 2  # utilization up to which overage is admitted


class Limiter:
    """The policy of one limiter; a host drives it as described in `lapisgrade.interface`."""

    def __init__(
        self,
        clock: Clock,
        seed: int,
        placement: Placement,
        counter_settings: CounterSettings,
        categories: list[Category],
        rules: ServerRules,
        permissions: Permissions,
    ) -> None:
        """Create a limiter without servers.

        Args:
            clock: Advanced by the host.
            seed: Seed of all random choices, including the host's.
            placement: The limiter's index, the number of limiters, and the zone.
            counter_settings: Availability of the counter.
            categories: All categories of operations.
            rules: The service's rules on draining and slow start.
            permissions: What the limiter may do with operations.
        """
        self.clock = clock
        self.permissions = permissions
        self.started_us = clock.now_us
        self.random = Random(seed)
        self.counter_breaker = CounterBreaker(counter_settings.is_available)
        self.accounts: dict[str, Account] = {}  # by customer, least recently used first
        self.server_pool = ServerPool(clock, self.random, placement, rules, categories)
        self.queue = AdmissionQueue(clock, self.server_pool)

    def update_servers(self, endpoints: list[ServerEndpoint], is_complete: bool) -> None:
        """Apply changes of the endpoint list, or a complete list."""
        self.server_pool.update(endpoints, is_complete)

    def on_attempt_finished(self, attempt: Attempt, result: AttemptResult) -> None:
        """Record the result of an attempt; the host calls this before it resumes the operation."""
        operation = attempt.operation
        account = self.account(operation)
        account.in_flight -= 1
        if result.settled_units:
            account.unreported.add(self.clock.now_us, result.settled_units - operation.units)
        self.server_pool.on_attempt_finished(attempt, result)

    def account(self, operation: Operation) -> Account:
        """The account of an operation's customer, created if there is none; may delete an expired account."""
        now_us = self.clock.now_us
        account = self.accounts.pop(operation.customer, None)
        if account is None:
            account = Account(self.clock, self.counter_breaker, operation, self.started_us)
        self.accounts[operation.customer] = account
        account.last_used_us = now_us
        oldest = next(iter(self.accounts.values()))
        if oldest.is_expired(now_us):  # one account per call is enough, as each call adds at most one
            del self.accounts[oldest.customer]
        return account

    def handle(self, operation: Operation) -> CommandGenerator[None]:
        """Handle an operation: admit it and run its attempts, or reject it."""
        account = self.account(operation)
        if not (yield from self.queue.wait_for_servers(operation, account)):
            yield from self._reject_overloaded(operation)
            return
        wait_us = yield from account.admit(operation)
        if operation.is_abandoned:
            return
        if wait_us is not None and not self._admit_overage(operation, account):
            yield from reject_for_retry(operation, self.permissions, wait_us)
            return
        # The counter's reply may have raised the estimate of other limiters' attempts: check the cap again.
        if not (yield from self.queue.wait_for_account(operation, account)):
            account.unreported.add(self.clock.now_us, -operation.units)
            yield from self._reject_overloaded(operation)
            return
        attempts = OperationAttempts(self.clock, self.server_pool, self.permissions, account, operation)
        yield from attempts.run()

    def _admit_overage(self, operation: Operation, account: Account) -> bool:
        """Admit use beyond the quota if it earns more than it costs and servers have capacity."""
        plan, now_us = operation.plan, self.clock.now_us
        if plan.overage_value <= plan.overage_cost:
            return False
        if self.server_pool.concurrency.utilization() > MAX_OVERAGE_UTILIZATION:
            return False
        if account.rate_limit_bucket.read(now_us) < operation.units:  # also holds beyond the quota
            return False
        account.consume(now_us, operation.units)
        return True

    def _reject_overloaded(self, operation: Operation) -> CommandGenerator[None]:
        wait_us = self.server_pool.mean_latency_us(operation.category)
        yield from reject_for_retry(operation, self.permissions, wait_us)
