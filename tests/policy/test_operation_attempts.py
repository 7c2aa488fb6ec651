"""Decisions on an operation's attempts; each test drives the generator without an engine."""

from random import Random

import pytest

from lapisgrade.interface import (
    AttemptFinished,
    AttemptOutcome,
    AttemptResult,
    Cancel,
    Category,
    Clock,
    DeduplicationScope,
    Operation,
    Permissions,
    Placement,
    Plan,
    Reject,
    RejectReason,
    RepeatSafety,
    Send,
    ServerEndpoint,
    ServerRules,
    ServerState,
    Sleep,
    WakeReason,
)
from lapisgrade.policy.account import RESPONSE_MARGIN_US, Account
from lapisgrade.policy.counter_breaker import CounterBreaker
from lapisgrade.policy.operation_attempts import OperationAttempts
from lapisgrade.policy.server_pool import ServerPool

SECOND = 1_000_000
LATENCY_TARGET_US = SECOND
TIMEOUT_US = 2 * SECOND
ALL_ALLOWED = Permissions(
    max_attempts=3, may_cancel=True, may_hedge=True, may_probe=False, max_retry_after_us=SECOND
)


class Driver:
    """Drives one operation's attempts as the engine does; records what they send, cancel and reject."""

    def __init__(
        self,
        safety: RepeatSafety = RepeatSafety.IDEMPOTENT,
        permissions: Permissions = ALL_ALLOWED,
        zones: tuple[str, ...] = ("z0", "z0", "z1", "z1"),
    ) -> None:
        self.clock = Clock(100 * SECOND)
        category = Category(
            "c", safety, LATENCY_TARGET_US, TIMEOUT_US, 1.0, 0.0, DeduplicationScope.ZONE, TIMEOUT_US
        )
        now_us = self.clock.now_us
        self.operation = Operation("u", Plan("p", 0.0, 0.0), category, 1.0, now_us, now_us + TIMEOUT_US, 1)
        rules = ServerRules(0, 0, 1.0, SECOND, 3.0)
        self.pool = ServerPool(self.clock, Random(1), Placement(0, 1, "z0"), rules, [category])
        self.pool.update(
            [ServerEndpoint(f"s{i}", ServerState.READY, zone) for i, zone in enumerate(zones)], True
        )
        account = Account(self.clock, CounterBreaker(False), self.operation, 0)
        attempts = OperationAttempts(self.clock, self.pool, permissions, account, self.operation)
        self.generator = attempts.run()
        self.sent: list = []
        self.cancelled: list = []
        self.rejected: Reject | None = None
        self.wakeup_us = 0
        self.is_finished = False
        self.resume(None)

    def resume(self, event: WakeReason | AttemptFinished | None) -> None:
        """Resume with an event and carry out commands until the generator sleeps or returns."""
        try:
            command = self.generator.send(event)
            while not isinstance(command, Sleep):
                if isinstance(command, Send):
                    self.sent.append(command.attempt)
                elif isinstance(command, Cancel):
                    self.cancelled.append(command.attempt)
                else:
                    assert isinstance(command, Reject)
                    self.rejected = command
                command = self.generator.send(None)
            self.wakeup_us = command.until_us
        except StopIteration:
            self.is_finished = True

    def time_out(self) -> None:
        """Advance the clock to the end of the sleep."""
        self.clock.now_us = self.wakeup_us
        self.resume(WakeReason.TIMER)

    def finish(self, number: int, outcome: AttemptOutcome) -> None:
        """Finish the attempt with index `number`; only `OK` is a final answer."""
        attempt = self.sent[number]
        is_final = outcome is AttemptOutcome.OK
        result = AttemptResult(outcome, self.clock.now_us - attempt.sent_us + 1, is_final)
        self.pool.on_attempt_finished(attempt, result)
        self.resume(AttemptFinished(attempt, result))


def test_a_successful_attempt_finishes_the_operation() -> None:
    driver = Driver()
    driver.finish(0, AttemptOutcome.OK)
    assert driver.is_finished
    assert len(driver.sent) == 1
    assert driver.rejected is None


def test_an_overdue_attempt_is_hedged_at_another_server() -> None:
    driver = Driver()
    driver.time_out()
    assert len({attempt.server.address for attempt in driver.sent}) == 2
    assert not driver.cancelled


def test_a_successful_hedge_cancels_the_first_attempt() -> None:
    driver = Driver()
    driver.time_out()
    driver.finish(1, AttemptOutcome.OK)
    assert driver.is_finished
    assert driver.cancelled == [driver.sent[0]]


def test_without_hedging_an_overdue_attempt_is_cancelled_and_then_retried() -> None:
    driver = Driver(permissions=Permissions(3, True, False, False, SECOND))
    driver.time_out()
    assert driver.cancelled == [driver.sent[0]]
    assert len(driver.sent) == 1
    driver.finish(0, AttemptOutcome.CANCELLED)
    assert len(driver.sent) == 2


def test_no_hedge_starts_when_utilization_is_high() -> None:
    driver = Driver()
    driver.pool.concurrency.value = 1.0
    driver.time_out()
    assert len(driver.sent) == 1
    assert driver.clock.now_us < driver.wakeup_us < driver.operation.deadline_us - RESPONSE_MARGIN_US


def test_a_non_idempotent_operation_is_never_hedged() -> None:
    driver = Driver(RepeatSafety.NON_IDEMPOTENT)
    driver.time_out()
    driver.time_out()
    assert len(driver.sent) == 1
    assert driver.is_finished
    assert driver.rejected == Reject(RejectReason.FAILED)


@pytest.mark.parametrize(
    ("outcome", "attempt_count"),
    [
        (AttemptOutcome.OVERLOADED, 2),
        (AttemptOutcome.CONNECT_FAILED, 2),
        (AttemptOutcome.NOT_SENT, 2),
        (AttemptOutcome.ERROR, 1),
        (AttemptOutcome.CONNECTION_LOST, 1),
    ],
)
def test_a_non_idempotent_operation_is_retried_only_if_it_was_not_executed(
    outcome: AttemptOutcome, attempt_count: int
) -> None:
    driver = Driver(RepeatSafety.NON_IDEMPOTENT)
    driver.finish(0, outcome)
    assert len(driver.sent) == attempt_count
    assert driver.is_finished == (attempt_count == 1)


def test_a_deduplicated_operation_is_retried_only_in_the_zone_of_its_first_attempt() -> None:
    for _ in range(8):
        driver = Driver(RepeatSafety.DEDUPLICATED)
        driver.finish(0, AttemptOutcome.ERROR)
        first_zone, second_zone = (attempt.server.endpoint.zone for attempt in driver.sent)
        assert first_zone == second_zone


def test_a_deduplicated_operation_that_may_have_run_fails_if_no_server_is_left() -> None:
    driver = Driver(RepeatSafety.DEDUPLICATED, zones=("z0",))
    driver.pool.update([ServerEndpoint("s0", ServerState.REMOVED, "z0")], False)
    driver.finish(0, AttemptOutcome.ERROR)
    assert driver.rejected == Reject(RejectReason.FAILED)


def test_after_the_last_allowed_attempt_the_client_is_advised_to_retry() -> None:
    driver = Driver()
    for number in range(ALL_ALLOWED.max_attempts):
        driver.finish(number, AttemptOutcome.OVERLOADED)
    assert driver.is_finished
    assert driver.rejected is not None
    assert driver.rejected.reason is RejectReason.RETRY_LATER
    assert 0 < driver.rejected.retry_after_us <= ALL_ALLOWED.max_retry_after_us


def test_no_retry_starts_after_the_latency_target() -> None:
    driver = Driver()
    driver.clock.now_us += LATENCY_TARGET_US
    driver.finish(0, AttemptOutcome.OVERLOADED)
    assert len(driver.sent) == 1
    assert driver.is_finished


def test_at_the_deadline_the_operation_fails_and_its_attempts_are_cancelled() -> None:
    driver = Driver(permissions=Permissions(1, True, True, False, SECOND))
    driver.time_out()
    assert driver.clock.now_us == driver.operation.deadline_us - RESPONSE_MARGIN_US
    assert driver.rejected == Reject(RejectReason.FAILED)
    assert driver.cancelled == driver.sent


def test_a_response_that_has_started_is_not_cancelled_at_the_deadline() -> None:
    driver = Driver()
    driver.resume(WakeReason.RESPONSE_STARTED)
    assert driver.wakeup_us > driver.operation.deadline_us
    assert not driver.is_finished


def test_a_client_disconnect_cancels_the_attempts_without_an_answer() -> None:
    driver = Driver()
    driver.resume(WakeReason.CLIENT_DISCONNECTED)
    assert driver.is_finished
    assert driver.cancelled == driver.sent
    assert driver.rejected is None
