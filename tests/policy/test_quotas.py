"""Quotas and rate limits of customers while the counter is available, reset, unresponsive or overloaded."""

import pytest
from support.limiter_settings import PLANS, SECOND
from support.limiter_simulation import ALWAYS_OK, LimiterSimulation

from lapisgrade.interface import AttemptOutcome, AttemptResult, CounterOutcome
from lapisgrade.policy.counter_breaker import CounterBreaker


@pytest.mark.parametrize("seed", range(6))
def test_the_rate_limit_holds_whatever_the_counter_replies(seed):
    """Guards the rate limit while the counter is silent or loses its data, limiters restart, and one limiter
    gets all traffic. The simulation checks the limit at each attempt (rule 5)."""
    simulation = LimiterSimulation(seed, limiters=2 + seed % 2, outcome_weights=ALWAYS_OK)
    random = simulation.random
    for step in range(600):
        simulation.is_counter_silent = step // 100 % 2 == 1
        if random.random() < 0.02:
            simulation.counts.clear()
        if random.random() < 0.02:
            simulation.start_limiter(random.randrange(simulation.limiter_count))
        is_sent_to_one_limiter = step // 150 % 2 == 0
        simulation.submit(
            0 if is_sent_to_one_limiter else random.randrange(simulation.limiter_count),
            0,
            1,
            "hot",
            random.randrange(1, 5),
        )
        simulation.run(simulation.now + 15_000)
    assert len(simulation.attempts) > 40


def test_all_limiters_together_admit_one_quota():
    simulation = LimiterSimulation(1, outcome_weights=ALWAYS_OK)
    for step in range(300):
        simulation.submit(step % 3)
        simulation.run(simulation.now + 50_000)
    quota = PLANS[0].burst + PLANS[0].rate * 15  # units in the 15 s of the test
    assert quota * 0.8 <= len(simulation.attempts) <= quota + 3


def test_a_counter_that_lost_its_data_grants_no_second_burst():
    simulation = LimiterSimulation(2, limiters=2, outcome_weights=ALWAYS_OK)
    for step in range(60):
        simulation.submit(step % 2)
        simulation.run(simulation.now + 10_000)
    attempts_before = len(simulation.attempts)
    simulation.counts.clear()
    for step in range(60):
        simulation.submit(step % 2)
        simulation.run(simulation.now + 10_000)
    assert len(simulation.attempts) - attempts_before <= PLANS[0].rate * 0.6 + 2


def test_an_unresponsive_counter_leaves_each_limiter_a_share():
    simulation = LimiterSimulation(3, outcome_weights=ALWAYS_OK)
    simulation.is_counter_silent = True
    for step in range(300):
        simulation.submit(step % 3)
        simulation.run(simulation.now + 50_000)
    quota = PLANS[0].burst + PLANS[0].rate * 15  # units in the 15 s of the test
    assert quota * 0.5 < len(simulation.attempts) < quota * 2.2


def test_a_rejection_carries_retry_after():
    simulation = LimiterSimulation(4, limiters=1, outcome_weights=ALWAYS_OK)
    for _ in range(20):
        simulation.submit(0)
        simulation.run(simulation.now + 5_000)
    rejections = [answer for _, answer, _ in simulation.replies if answer is not AttemptOutcome.OK]
    assert rejections
    assert all(0 < answer.retry_after_us <= 500_000 for answer in rejections)


def test_units_of_timed_out_calls_that_were_counted_are_returned():
    """In an incident, an overloaded counter counted operations that were never sent; quotas shrank."""
    simulation = LimiterSimulation(10, limiters=1, outcome_weights=ALWAYS_OK)
    simulation.counter_loss = 0.5
    for _ in range(400):
        simulation.submit(0, plan=2, units=5)
        simulation.run(simulation.now + 50_000)
    units = 5 * len(simulation.attempts)
    assert units > 0.75 * (PLANS[2].burst + PLANS[2].rate * 20)


def test_a_small_share_still_admits_one_operation():
    """In an incident with many limiters, the local share of a small burst was below one operation."""
    simulation = LimiterSimulation(11, limiters=12, outcome_weights=ALWAYS_OK)
    simulation.is_counter_silent = True
    simulation.submit(0, units=4)
    simulation.run(simulation.now + SECOND)
    assert len(simulation.attempts) == 1


def test_units_settled_afterwards_replace_the_estimated_units():
    simulation = LimiterSimulation(14, limiters=1)
    host, plan = simulation.limiters[0], PLANS[0]
    simulation.draw_outcome = lambda: (AttemptOutcome.OK, 5_000)
    for _ in range(2):
        operation = simulation.submit(0)
        simulation.run(simulation.now + 4_000)
        for sent in host.attempts_by_operation[id(operation)]:
            sent.outcome = AttemptOutcome.OK
            host.limiter.on_attempt_finished(
                sent.attempt, AttemptResult(AttemptOutcome.OK, 4_000, True, settled_units=4.0)
            )
            del host.pending[id(operation)]
        simulation.run(simulation.now + 10_000)
    lease = 3  # half of the seven units left after the first operation
    level = host.limiter.accounts["c0"].bucket.level
    assert level == pytest.approx(plan.burst - 4 - lease, abs=0.1)


def test_a_limiter_that_rarely_calls_the_counter_sees_recent_use():
    """A limiter that rarely reads the total could not tell when the quota was used up."""
    simulation = LimiterSimulation(15, limiters=12, outcome_weights=ALWAYS_OK)
    simulation.run(simulation.now + 20 * SECOND)
    for _ in range(2):
        attempts_before = len(simulation.attempts)
        for limiter_index in range(12):
            simulation.submit(limiter_index)
            simulation.run(simulation.now + 5_000)
        assert abs(len(simulation.attempts) - attempts_before - PLANS[0].burst) <= 1
        simulation.run(simulation.now + 25 * SECOND)


def test_the_share_of_a_rate_limit_fills_from_the_limiters_start():
    """Each limiter of many rejected the first operations of a customer with a rate limit."""
    simulation = LimiterSimulation(17, limiters=1, outcome_weights=ALWAYS_OK)
    simulation.run(simulation.now + 2 * SECOND)
    simulation.submit(0, plan=1, units=4)
    simulation.run(simulation.now + SECOND)
    assert len(simulation.attempts) == 1


def test_amounts_stay_within_the_counters_range():
    """With a bucket that fills in under 2 s, the amounts grow fast; the counter accepts at most 1e9."""
    simulation = LimiterSimulation(5, outcome_weights=ALWAYS_OK)
    for _ in range(400):
        simulation.submit(simulation.random.randrange(3), 0, 3, units=2)
        simulation.run(simulation.now + 100_000)
    assert len(simulation.attempts) > 300 * PLANS[3].rate / 20


def test_an_overloaded_counter_is_called_at_the_rate_it_can_serve():
    """Four limiters want 400 calls/s of a counter that serves 150/s. If they did not reduce their rate, each
    call would wait longer than its time-out of 30 ms and none would be answered."""
    now_us, counter_free_us, answered, timed_out, pending_replies = SECOND, 0, 0, 0, []
    breakers = [CounterBreaker(True) for _ in range(4)]
    while now_us < 20 * SECOND:
        now_us += 2_500
        for replied_us, breaker, *result in [each for each in pending_replies if each[0] <= now_us]:
            breaker.record_reply(replied_us, *result)
        pending_replies = [each for each in pending_replies if each[0] > now_us]
        breaker = breakers[now_us // 2_500 % 4]
        if breaker.try_acquire_call(now_us):
            counter_free_us = max(now_us, counter_free_us) + SECOND // 150
            is_in_time = counter_free_us - now_us <= 30_000
            answered += is_in_time
            timed_out += not is_in_time
            pending_replies.append(
                (
                    min(counter_free_us, now_us + 30_000),
                    breaker,
                    CounterOutcome.ADDED if is_in_time else CounterOutcome.TIMED_OUT,
                    now_us,
                )
            )
    assert answered > 55 * 20
    assert timed_out < 0.4 * answered


def test_without_a_counter_call_the_last_total_decides():
    """A customer with all traffic on one limiter, whose local share is half of the quota, gets the full quota
    while the counter is overloaded."""
    simulation = LimiterSimulation(1, limiters=3, outcome_weights=ALWAYS_OK)
    simulation.submit(0, plan=3)
    simulation.run(simulation.now + SECOND)
    host = simulation.limiters[0]
    host.limiter.counter_breaker.try_acquire_call, host.limiter.server_pool.concurrency.value = (
        lambda now: False,
        99.0,
    )
    for _ in range(12):
        simulation.submit(0, plan=3)
    simulation.run(simulation.now + 2 * SECOND)
    succeeded = [answer for _, answer, _ in simulation.replies if answer is AttemptOutcome.OK]
    assert len(succeeded) == 13
    for _ in range(20):
        simulation.submit(0, plan=3)
    simulation.run(simulation.now + SECOND)
    assert (
        sum(answer is AttemptOutcome.OK for _, answer, _ in simulation.replies) <= 13 + 14
    )  # no more than the quota
