"""The attempts of one admitted operation: retries, hedges, cancellations, and its final answer.

`OperationAttempts.run` is a state machine:

| state | on | next |
| --- | --- | --- |
| SELECTING | an attempt starts, or none may start but others are in flight | WAITING |
| SELECTING | no attempt may start and none is in flight | the operation is rejected |
| WAITING | the last attempt in flight ends without a final answer | SELECTING (a retry) |
| WAITING | attempts are overdue and a hedge is allowed | SELECTING (a hedge) |
| WAITING | attempts are overdue and must be cancelled before a retry | CANCELLING |
| CANCELLING | all attempts in flight are cancelled | WAITING |
| WAITING | the deadline expires | TIMED_OUT: the operation fails, attempts in flight are cancelled |
| WAITING | the client disconnects or has its answer | FINISHED: attempts in flight are cancelled |
"""

from enum import Enum, auto

from lapisgrade.interface import (
    AttemptFinished,
    Cancel,
    Clock,
    CommandGenerator,
    DeduplicationScope,
    Event,
    Operation,
    Permissions,
    Reject,
    RejectReason,
    RepeatSafety,
    Send,
    Sleep,
    WakeReason,
)
from lapisgrade.policy.account import RESPONSE_MARGIN_US, Account
from lapisgrade.policy.attempt import Attempt
from lapisgrade.policy.concurrency_limit import LOAD_SHEDDING_THRESHOLD
from lapisgrade.policy.observed_server import ObservedServer
from lapisgrade.policy.server_pool import ServerPool
from lapisgrade.rate import SECOND

OVERDUE_DEVIATIONS = 3.0  # standard deviations above the expected latency from which an attempt is overdue
STREAM_TIMEOUT_US = 3600 * SECOND  # time-out of a streamed response that has started


class State(Enum):
    """State of an operation's attempts; see the table above."""

    SELECTING = auto()
    WAITING = auto()
    CANCELLING = auto()
    TIMED_OUT = auto()
    FINISHED = auto()


def reject_for_retry(
    operation: Operation, permissions: Permissions, wait_us: float
) -> CommandGenerator[None]:
    """Reject an operation and advise its client to retry after `wait_us`."""
    if not operation.is_abandoned:
        yield Reject(RejectReason.RETRY_LATER, min(permissions.max_retry_after_us, int(wait_us)))


class OperationAttempts:
    """Decides on all attempts of one operation."""

    __slots__ = (
        "_account",
        "_attempts",
        "_clock",
        "_deadline_us",
        "_may_have_run",
        "_operation",
        "_overdue_after_us",
        "_overdue_at_us",
        "_permissions",
        "_server_pool",
        "_target_us",
    )

    def __init__(
        self,
        clock: Clock,
        server_pool: ServerPool,
        permissions: Permissions,
        account: Account,
        operation: Operation,
    ) -> None:
        """Create the attempts of an operation that has just been admitted."""
        self._clock = clock
        self._server_pool = server_pool
        self._permissions = permissions
        self._account = account
        self._operation = operation
        self._attempts: list[Attempt] = []
        self._may_have_run: list[Attempt] = []  # attempts that were or may be executed
        self._deadline_us = operation.deadline_us - RESPONSE_MARGIN_US
        self._target_us = operation.arrived_us + operation.category.latency_target_us
        self._overdue_after_us = 0  # time from an attempt's start until it is overdue
        self._overdue_at_us = 0  # when to decide on the attempts in flight

    def run(self) -> CommandGenerator[None]:
        """Yield commands until an attempt finishes the operation or no further attempt is allowed."""
        while True:
            server = self._select_server()
            if server is None and not self._in_flight():
                yield from self._reject()
                return
            if server is not None:
                yield Send(self._start_attempt(server))
            self._schedule_overdue(has_started=server is not None)
            state = State.WAITING
            while state is not State.SELECTING:
                event = yield Sleep(min(self._overdue_at_us, self._deadline_us))
                state = self._on_event(event)
                if state is State.TIMED_OUT:
                    yield Reject(RejectReason.FAILED)
                if state in (State.CANCELLING, State.TIMED_OUT, State.FINISHED):
                    yield from self._cancel_in_flight()
                if state in (State.TIMED_OUT, State.FINISHED):
                    return

    def _on_event(self, event: Event) -> State:
        if event is WakeReason.CLIENT_DISCONNECTED:
            return State.FINISHED
        if event is WakeReason.RESPONSE_STARTED:
            self._deadline_us = self._overdue_at_us = self._clock.now_us + STREAM_TIMEOUT_US
            return State.WAITING
        if event is WakeReason.TIMER:
            is_timed_out = self._clock.now_us >= self._deadline_us
            return State.TIMED_OUT if is_timed_out else self._on_overdue()
        assert isinstance(event, AttemptFinished)  # RESUMED only occurs while waiting for the counter
        return self._on_attempt_finished(event)

    # ---- the next attempt

    def _in_flight(self) -> list[Attempt]:
        return [attempt for attempt in self._attempts if attempt.is_in_flight]

    def _may_attempt(self) -> bool:
        """Whether permissions and time allow another attempt."""
        if len(self._attempts) >= self._permissions.max_attempts:
            return False
        if self._in_flight() and not self._permissions.may_hedge:
            return False
        latest_us = min(self._deadline_us, self._target_us) if self._attempts else self._deadline_us
        return self._clock.now_us < latest_us

    def _select_server(self) -> ObservedServer | None:
        if not self._may_attempt():
            return None
        tried = [attempt.server for attempt in self._attempts]
        return self._server_pool.choose(self._operation, tried, self._may_repeat_at)

    def _may_repeat_at(self, server: ObservedServer) -> bool:
        """Whether a server may get the operation, given where it may have run: no second effect (rule 2)."""
        category = self._operation.category
        if not self._may_have_run or category.repeat_safety is RepeatSafety.IDEMPOTENT:
            return True
        if category.repeat_safety is RepeatSafety.NON_IDEMPOTENT:
            return False
        first_attempt = self._may_have_run[0]
        deduplication_ends_us = first_attempt.sent_us + category.deduplication_window_us
        if self._clock.now_us + RESPONSE_MARGIN_US >= deduplication_ends_us:
            return False
        if category.deduplication_scope is DeduplicationScope.ALL:
            return True
        first_server: ObservedServer = first_attempt.server
        if first_server.endpoint is None:
            return server is first_server
        if category.deduplication_scope is DeduplicationScope.ZONE:
            return first_server.endpoint.zone == server.require_endpoint().zone
        return first_server.endpoint.cell == server.require_endpoint().cell

    def _start_attempt(self, server: ObservedServer) -> Attempt:
        attempt = Attempt(self._operation, server, len(self._attempts), self._clock.now_us)
        self._attempts.append(attempt)
        self._may_have_run.append(attempt)
        self._account.in_flight += 1
        self._server_pool.on_attempt_started(attempt)
        return attempt

    # ---- overdue attempts

    def _schedule_overdue(self, has_started: bool) -> None:
        """Set when the attempts in flight are overdue; the deadline if no further attempt is allowed."""
        now_us, category = self._clock.now_us, self._operation.category
        expected_us = self._server_pool.expected_latency_us(self._operation)
        deviation_us = self._server_pool.latencies[category.name].deviation(now_us)
        self._overdue_after_us = int(expected_us + OVERDUE_DEVIATIONS * deviation_us)
        if has_started and len(self._attempts) < self._permissions.max_attempts:
            self._overdue_at_us = now_us + self._overdue_after_us
        else:
            self._overdue_at_us = self._deadline_us

    def _on_overdue(self) -> State:
        """Decide on overdue attempts, and when to check them again."""
        now_us = self._clock.now_us
        is_non_idempotent = self._operation.category.repeat_safety is RepeatSafety.NON_IDEMPOTENT
        if is_non_idempotent or now_us >= self._target_us or not self._permissions.may_cancel:
            self._overdue_at_us = self._deadline_us
            return State.WAITING
        if self._server_pool.concurrency.utilization() > LOAD_SHEDDING_THRESHOLD:
            self._overdue_at_us = now_us + self._overdue_after_us  # a hedge would lengthen the queues
            return State.WAITING
        if self._permissions.may_hedge:
            return State.SELECTING
        self._overdue_at_us = self._deadline_us
        return State.CANCELLING

    # ---- end of an attempt or the operation

    def _on_attempt_finished(self, event: AttemptFinished) -> State:
        if event.result.is_final:
            return State.FINISHED
        if event.result.outcome.never_ran:
            self._may_have_run.remove(event.attempt)
        return State.WAITING if self._in_flight() else State.SELECTING

    def _cancel_in_flight(self) -> CommandGenerator[None]:
        for attempt in self._attempts:
            if attempt.is_in_flight and self._permissions.may_cancel:
                yield Cancel(attempt)

    def _is_safe_to_repeat(self) -> bool:
        """Whether the client may retry: the operation was not executed, or a repeat is safe."""
        category = self._operation.category
        if not self._may_have_run or category.repeat_safety is RepeatSafety.IDEMPOTENT:
            return True
        is_deduplicated = category.repeat_safety is RepeatSafety.DEDUPLICATED
        return is_deduplicated and category.deduplication_scope is DeduplicationScope.ALL

    def _reject(self) -> CommandGenerator[None]:
        """Reject the operation after attempts without a final answer."""
        if self._is_safe_to_repeat():
            wait_us = self._server_pool.mean_latency_us(self._operation.category)
            yield from reject_for_retry(self._operation, self._permissions, wait_us)
        else:
            yield Reject(RejectReason.FAILED)
