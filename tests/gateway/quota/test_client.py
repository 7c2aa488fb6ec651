"""A proxy's client of a count: what it asks for, and when refused requests may come back."""

import pytest
from support.quota_simulation import SECOND, SLO

from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.client import QuotaClient
from lapisgrade.interface import Clock, CounterOutcome, CounterReply


def test_a_quota_client_reports_taken_and_returned_units_apart():
    clock = Clock(10 * SECOND)
    one = QuotaClient(clock, Tenant("t", rate_s=10, burst=5), SLO, 4, 0)
    calls = []
    for units, owed, tally in (
        (5.0, 0.0, CounterOutcome.ADDED), (4.0, -3.0, CounterOutcome.TIMED_OUT),
        (1.0, 2.0, CounterOutcome.REJECTED),
        (-2.0, 0.0, CounterOutcome.ADDED), (-2.0, 5.0, CounterOutcome.ADDED),
    ):  # fmt: skip
        one.unreported.value = owed
        adding = one.add_to_counter(units)
        next(adding)
        ask = one.quota_request("x", 7)
        calls.append((ask.units, ask.returned_units, ask.sequence_number, ask.returned_from))
        with pytest.raises(StopIteration):
            adding.send(CounterReply(tally, 0.0))
    assert calls == [(5.0, 0.0, 1, 0), (4.0, 3.0, 2, 1), (3.0, 0.0, 3, 2), (0.0, 2.0, 4, 2), (3.0, 0.0, 5, 4)]


def test_retry_after_grows_when_the_count_is_exhausted_and_not_when_it_is_unreachable():
    clock = Clock(10 * SECOND)
    one = QuotaClient(clock, Tenant("t", rate_s=10, burst=5), SLO, 4, 0)
    one.gateway_count = 4
    one.bucket.set_level(clock.now_us, -1.0)
    told = [one.retry_after_us(clock.now_us, 200_000) for _ in range(4)]
    assert told == [400_000, 800_000, 1_200_000, 1_600_000]
    assert (
        one.retry_after_us(clock.now_us + 9 * SECOND, 300_000) == 300_000
    )  # room again: nobody is before it
    one.bucket.set_level(clock.now_us, -500.0)
    assert max(one.retry_after_us(clock.now_us, 200_000) for _ in range(50)) <= 5 * SECOND
    one.counter_breaker.consecutive_timeouts = 1
    assert [one.retry_after_us(clock.now_us, 300_000) for _ in range(3)] == [300_000] * 3
