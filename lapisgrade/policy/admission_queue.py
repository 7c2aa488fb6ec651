"""The queue in which operations wait for capacity before their first attempt, and load shedding by value.

The higher the utilization of the concurrency limit, the more valuable an operation must be to be admitted.
An operation that is not admitted immediately waits for a short time, as most queued operations are admitted
soon. If the queue is too long to be served in that time, the operation is rejected immediately.
"""

from collections.abc import Callable

from lapisgrade.interface import Clock, CommandGenerator, Operation, Sleep
from lapisgrade.policy.account import RESPONSE_MARGIN_US, Account
from lapisgrade.policy.concurrency_limit import LOAD_SHEDDING_THRESHOLD
from lapisgrade.policy.latency import LATENCY_DECAY_US
from lapisgrade.policy.server_pool import ServerPool
from lapisgrade.rate import DecayingSum

MAX_QUEUE_RATIO = 0.25  # maximum wait for capacity, as a fraction of the latency target
QUEUE_POLL_US = 10_000  # interval between checks for capacity


class AdmissionQueue:
    """Operations of one limiter that wait for capacity."""

    def __init__(self, clock: Clock, server_pool: ServerPool) -> None:
        """Create an empty queue for the servers of `server_pool`."""
        self._clock = clock
        self._server_pool = server_pool
        self.length = 0
        self._values = DecayingSum(LATENCY_DECAY_US)  # of recent operations, each per us of server work
        self._operations = DecayingSum(LATENCY_DECAY_US)  # number of recent operations

    def wait_for_servers(self, operation: Operation, account: Account) -> CommandGenerator[bool]:
        """Wait for capacity of the servers and the account; returns whether there is any."""
        threshold = self._shedding_threshold(operation)

        def has_capacity() -> bool:
            is_below_threshold = self._server_pool.concurrency.utilization() < threshold
            return is_below_threshold and self._has_account_capacity(operation, account)

        return (yield from self._wait_until(operation, has_capacity))

    def wait_for_account(self, operation: Operation, account: Account) -> CommandGenerator[bool]:
        """Wait for room under the account's cap on attempts in flight; returns whether there is any."""

        def has_capacity() -> bool:
            return self._has_account_capacity(operation, account)

        return (yield from self._wait_until(operation, has_capacity))

    def _has_account_capacity(self, operation: Operation, account: Account) -> bool:
        mean_us = self._server_pool.mean_latency_us(operation.category)
        return account.has_capacity(operation.units, mean_us)

    def _shedding_threshold(self, operation: Operation) -> float:
        """The utilization from which an operation is not admitted, by its value among recent operations."""
        now_us, category = self._clock.now_us, operation.category
        expected_us = self._server_pool.expected_latency_us(operation)
        value = category.value * operation.plan.value_factor * operation.units / expected_us
        self._values.add(now_us, value)
        self._operations.add(now_us, 1)
        relative_value = min(1.0, value * self._operations.read(now_us) / self._values.read(now_us))
        return LOAD_SHEDDING_THRESHOLD + (1 - LOAD_SHEDDING_THRESHOLD) * relative_value

    def _wait_until(self, operation: Operation, has_capacity: Callable[[], bool]) -> CommandGenerator[bool]:
        """Wait for capacity; return False after too long a wait, or at once if the queue is full."""
        max_wait_us = int(MAX_QUEUE_RATIO * operation.category.latency_target_us)
        latest_us = min(self._clock.now_us + max_wait_us, operation.deadline_us - RESPONSE_MARGIN_US)
        mean_us = self._server_pool.mean_latency_us(operation.category)
        is_queued, is_ready = False, False
        while not operation.is_abandoned:
            now_us = self._clock.now_us
            is_ready = has_capacity()
            if is_ready or now_us >= latest_us:
                break
            if not is_queued and self._is_full(mean_us, latest_us - now_us):
                break
            self.length += not is_queued
            is_queued = True
            yield Sleep(min(now_us + QUEUE_POLL_US, latest_us))
        self.length -= is_queued
        return is_ready

    def _is_full(self, mean_us: float, remaining_us: int) -> bool:
        """Whether serving the queued operations would take all of the remaining time."""
        return self.length * mean_us >= self._server_pool.concurrency.value * remaining_us
