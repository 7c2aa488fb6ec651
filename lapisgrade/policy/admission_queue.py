"""Where operations wait, before their first attempt, for capacity: load shedding by value.

The more of the concurrency limit is in flight, the more valuable an operation must be to be admitted. One
that is not admitted at once waits a while, as most that wait are admitted soon; more than can be admitted in
that time are rejected at once.
"""

from collections.abc import Callable

from lapisgrade.interface import Clock, CommandGenerator, Operation, Sleep
from lapisgrade.policy.account import RESPONSE_MARGIN_US, Account
from lapisgrade.policy.concurrency_limit import LOAD_SHEDDING_THRESHOLD
from lapisgrade.policy.latency import LATENCY_DECAY_US
from lapisgrade.policy.server_pool import ServerPool
from lapisgrade.rate import DecayingSum

MAX_QUEUE_RATIO = 0.25  # of the latency target, that an operation may wait for capacity
QUEUE_POLL_US = 10_000  # between looks for capacity


class AdmissionQueue:
    """The operations of one limiter that wait for capacity."""

    def __init__(self, clock: Clock, server_pool: ServerPool) -> None:
        """Create an empty queue before the servers of `server_pool`."""
        self._clock = clock
        self._server_pool = server_pool
        self.length = 0
        self._values = DecayingSum(LATENCY_DECAY_US)  # of operations, for each us of a server's work
        self._operations = DecayingSum(LATENCY_DECAY_US)

    def wait_for_servers(self, operation: Operation, account: Account) -> CommandGenerator[bool]:
        """Wait until servers and the account's cap have capacity; returns whether they do."""
        threshold = self._shedding_threshold(operation)

        def has_capacity() -> bool:
            is_below = self._server_pool.concurrency.utilization() < threshold
            return is_below and self._has_account_capacity(operation, account)

        return (yield from self._wait_until(operation, has_capacity))

    def wait_for_account(self, operation: Operation, account: Account) -> CommandGenerator[bool]:
        """Wait until the account's cap on attempts in flight has capacity; returns whether it does."""

        def has_capacity() -> bool:
            return self._has_account_capacity(operation, account)

        return (yield from self._wait_until(operation, has_capacity))

    def _has_account_capacity(self, operation: Operation, account: Account) -> bool:
        usual_us = self._server_pool.usual_latency_us(operation.category)
        return account.has_capacity(operation.units, usual_us)

    def _shedding_threshold(self, operation: Operation) -> float:
        """The utilization from which the operation is not admitted, by its value among others of late."""
        now_us, category = self._clock.now_us, operation.category
        expected_us = self._server_pool.expected_latency_us(operation)
        value = category.value * operation.plan.value_factor * operation.units / expected_us
        self._values.add(now_us, value)
        self._operations.add(now_us, 1)
        relative_value = min(1.0, value * self._operations.read(now_us) / self._values.read(now_us))
        return LOAD_SHEDDING_THRESHOLD + (1 - LOAD_SHEDDING_THRESHOLD) * relative_value

    def _wait_until(self, operation: Operation, has_capacity: Callable[[], bool]) -> CommandGenerator[bool]:
        """Wait until there is capacity, or it is too late, or too many wait already."""
        longest_us = int(MAX_QUEUE_RATIO * operation.category.latency_target_us)
        latest_us = min(self._clock.now_us + longest_us, operation.deadline_us - RESPONSE_MARGIN_US)
        usual_us = self._server_pool.usual_latency_us(operation.category)
        is_queued, is_ready = False, False
        while not operation.is_abandoned:
            now_us = self._clock.now_us
            is_ready = has_capacity()
            if is_ready or now_us >= latest_us:
                break
            if not is_queued and self._is_full(usual_us, latest_us - now_us):
                break
            self.length += not is_queued
            is_queued = True
            yield Sleep(min(now_us + QUEUE_POLL_US, latest_us))
        self.length -= is_queued
        return is_ready

    def _is_full(self, usual_us: float, left_us: int) -> bool:
        """Whether those that wait, leaving one by one, take all the time that is left."""
        return self.length * usual_us >= self._server_pool.concurrency.value * left_us
