"""The quota client of a proxy: the units in its requests, and Retry-After of rejected requests."""

import pytest
from support.quota_simulation import SECOND, SLO

from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.client import QuotaClient
from lapisgrade.interface import Clock, CounterOutcome, CounterReply


def test_taken_and_returned_units_are_sent_separately():
    clock = Clock(10 * SECOND)
    client = QuotaClient(clock, Tenant("t", rate_s=10, burst=5), SLO, 4, 0)
    sent_fields = []
    for units, unreported, outcome in (
        (5.0, 0.0, CounterOutcome.ADDED), (4.0, -3.0, CounterOutcome.TIMED_OUT),
        (1.0, 2.0, CounterOutcome.REJECTED),
        (-2.0, 0.0, CounterOutcome.ADDED), (-2.0, 5.0, CounterOutcome.ADDED),
    ):  # fmt: skip
        client.unreported.value = unreported
        call = client.add_to_counter(units)
        next(call)
        request = client.quota_request("x", 7)
        sent_fields.append(
            (request.units, request.returned_units, request.sequence_number, request.returned_from)
        )
        with pytest.raises(StopIteration):
            call.send(CounterReply(outcome, 0.0))
    assert sent_fields == [
        (5.0, 0.0, 1, 0),
        (4.0, 3.0, 2, 1),
        (3.0, 0.0, 3, 2),
        (0.0, 2.0, 4, 2),
        (3.0, 0.0, 5, 4),
    ]


def test_retry_after_grows_when_the_count_is_exhausted_and_not_when_it_is_unreachable():
    clock = Clock(10 * SECOND)
    client = QuotaClient(clock, Tenant("t", rate_s=10, burst=5), SLO, 4, 0)
    client.sharing_limiter_count = 4
    client.bucket.set_level(clock.now_us, -1.0)
    deadline_us = clock.now_us + 5 * SECOND
    delays_us = [client.retry_after_us(clock.now_us, 200_000, deadline_us) for _ in range(4)]
    assert delays_us == [400_000, 800_000, 1_200_000, 1_600_000]
    # Units are available again, so the delay is the minimum.
    assert client.retry_after_us(clock.now_us + 9 * SECOND, 300_000, deadline_us) == 300_000
    client.bucket.set_level(clock.now_us, -500.0)
    # Callers whose turn is after their deadline take none, so the turns do not grow beyond the deadlines.
    delays_us = [client.retry_after_us(clock.now_us, 200_000, deadline_us) for _ in range(50)]
    assert delays_us[-1] == delays_us[-2] <= 5 * SECOND + 400_000
    assert len(set(delays_us)) == 9  # one caller each 0.4 s from 2 s to 4.8 s, and those beyond
    long_delay_us = client.retry_after_us(clock.now_us, 200_000, clock.now_us + 60 * SECOND)
    assert client.retry_after_us(clock.now_us, 200_000, clock.now_us + 60 * SECOND) == long_delay_us + 400_000
    client.counter_breaker.consecutive_failures = 1
    assert [client.retry_after_us(clock.now_us, 300_000, deadline_us) for _ in range(3)] == [300_000] * 3
