"""The circuit breaker and the call rate for the counter service."""

from lapisgrade.interface import CounterOutcome
from lapisgrade.policy.counter_breaker import (
    MAX_CALL_RATE,
    MAX_CONSECUTIVE_FAILURES,
    PROBE_INTERVAL_US,
    CounterBreaker,
)

SECOND = 1_000_000


def open_breaker(now_us: int) -> CounterBreaker:
    """Return a breaker that opened at about `now_us`, because all calls timed out."""
    breaker = CounterBreaker(True)
    for i in range(MAX_CONSECUTIVE_FAILURES):
        breaker.record_reply(now_us + i, CounterOutcome.TIMED_OUT, now_us + i)
    return breaker


def test_without_a_counter_no_call_is_allowed() -> None:
    assert not CounterBreaker(False).try_acquire_call(SECOND)


def test_the_breaker_opens_after_consecutive_failures_and_admits_periodic_probes() -> None:
    breaker = open_breaker(SECOND)
    assert breaker.is_open
    assert breaker.try_acquire_call(2 * SECOND)
    assert not breaker.try_acquire_call(2 * SECOND + PROBE_INTERVAL_US - 1)
    assert breaker.try_acquire_call(2 * SECOND + PROBE_INTERVAL_US)


def test_a_reply_closes_the_breaker() -> None:
    breaker = open_breaker(SECOND)
    breaker.record_reply(2 * SECOND, CounterOutcome.ADDED, 2 * SECOND - 1_000)
    assert not breaker.is_open


def test_calls_in_flight_together_count_as_one_timeout() -> None:
    breaker = CounterBreaker(True)
    for _ in range(MAX_CONSECUTIVE_FAILURES):
        breaker.record_reply(2 * SECOND, CounterOutcome.TIMED_OUT, SECOND)
    assert breaker.consecutive_failures == 1


def test_the_call_rate_backs_off_and_recovers_up_to_its_maximum() -> None:
    breaker = open_breaker(SECOND)
    assert breaker.call_budget.rate_per_s < 0.5 * MAX_CALL_RATE
    for i in range(200):
        breaker.record_reply(2 * SECOND + i, CounterOutcome.ADDED, 2 * SECOND)
    assert breaker.call_budget.rate_per_s == MAX_CALL_RATE
