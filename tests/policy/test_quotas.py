"""Quotas and ceilings of customers, with a counter that is there, emptied, silent or crowded."""

import pytest
from support.limiter_settings import PLANS, SECOND
from support.limiter_simulation import ALWAYS_OK, LimiterSimulation

from lapisgrade.interface import AttemptOutcome, AttemptResult, CounterOutcome
from lapisgrade.policy.counter_breaker import CounterBreaker


@pytest.mark.parametrize("seed", range(6))
def test_the_rate_limit_holds_whatever_the_counter_replies(seed):
    """Counter silent or emptied, limiters restarted, all traffic gathered on one: never past the ceiling."""
    simulation = LimiterSimulation(seed, limiters=2 + seed % 2, outcome_weights=ALWAYS_OK)
    random = simulation.random
    for step in range(600):
        simulation.is_counter_silent = step // 100 % 2 == 1
        if random.random() < 0.02:
            simulation.counts.clear()
        if random.random() < 0.02:
            simulation.start_limiter(random.randrange(simulation.limiter_count))
        gathered = step // 150 % 2 == 0
        simulation.submit(
            0 if gathered else random.randrange(simulation.limiter_count), 0, 1, "hot", random.randrange(1, 5)
        )
        simulation.run(simulation.now + 15_000)
    assert len(simulation.attempts) > 40


def test_a_quota_is_one_bucket_over_all_limiters():
    simulation = LimiterSimulation(1, outcome_weights=ALWAYS_OK)
    for step in range(300):
        simulation.submit(step % 3)
        simulation.run(simulation.now + 50_000)
    allowed = PLANS[0].burst + PLANS[0].rate * 15
    assert allowed * 0.8 <= len(simulation.attempts) <= allowed + 3


def test_a_counter_that_lost_its_data_grants_no_second_burst():
    simulation = LimiterSimulation(2, limiters=2, outcome_weights=ALWAYS_OK)
    for step in range(60):
        simulation.submit(step % 2)
        simulation.run(simulation.now + 10_000)
    before = len(simulation.attempts)
    simulation.counts.clear()
    for step in range(60):
        simulation.submit(step % 2)
        simulation.run(simulation.now + 10_000)
    assert len(simulation.attempts) - before <= PLANS[0].rate * 0.6 + 2


def test_an_unresponsive_counter_leaves_each_limiter_a_share():
    simulation = LimiterSimulation(3, outcome_weights=ALWAYS_OK)
    simulation.is_counter_silent = True
    for step in range(300):
        simulation.submit(step % 3)
        simulation.run(simulation.now + 50_000)
    allowed = PLANS[0].burst + PLANS[0].rate * 15
    assert allowed * 0.5 < len(simulation.attempts) < allowed * 2.2


def test_a_rejection_carries_retry_after():
    simulation = LimiterSimulation(4, limiters=1, outcome_weights=ALWAYS_OK)
    for _ in range(20):
        simulation.submit(0)
        simulation.run(simulation.now + 5_000)
    back = [how for _, how, _ in simulation.replies if how is not AttemptOutcome.OK]
    assert back
    assert all(0 < how.retry_after_us <= 500_000 for how in back)


def test_timed_out_calls_that_were_counted_are_returned():
    """Found in an incident with a crowded counter: what was never sent was counted, and quotas shrank."""
    simulation = LimiterSimulation(10, limiters=1, outcome_weights=ALWAYS_OK)
    simulation.counter_loss = 0.5
    for _ in range(400):
        simulation.submit(0, plan=2, units=5)
        simulation.run(simulation.now + 50_000)
    units = 5 * len(simulation.attempts)
    assert units > 0.75 * (PLANS[2].burst + PLANS[2].rate * 20)


def test_a_small_share_still_admits_one_operation():
    """Found in an incident: with many gateways a slice of a small burst never held one operation."""
    simulation = LimiterSimulation(11, limiters=12, outcome_weights=ALWAYS_OK)
    simulation.is_counter_silent = True
    simulation.submit(0, units=4)
    simulation.run(simulation.now + SECOND)
    assert len(simulation.attempts) == 1


def test_units_reported_afterwards_are_corrected():
    simulation = LimiterSimulation(14, limiters=1)
    host, store = simulation.limiters[0], PLANS[0]
    simulation.draw_outcome = lambda: (AttemptOutcome.OK, 5_000)
    for _ in range(2):
        op = simulation.submit(0)
        simulation.run(simulation.now + 4_000)
        for sent in host.attempts_of[id(op)]:
            sent.outcome = AttemptOutcome.OK
            host.limiter.on_attempt_finished(
                sent.attempt, AttemptResult(AttemptOutcome.OK, 4_000, True, settled_units=4.0)
            )
            del host.pending[id(op)]
        simulation.run(simulation.now + 10_000)
    lease = 3  # a half of the seven units that were left after the first
    left = host.limiter.accounts["c0"].bucket.level
    assert left == pytest.approx(store.burst - 4 - lease, abs=0.1)


def test_one_call_of_the_counter_shows_recent_use():
    """Found at size: a limiter that seldom looks could not tell from a total when it was used up."""
    simulation = LimiterSimulation(15, limiters=12, outcome_weights=ALWAYS_OK)
    simulation.run(simulation.now + 20 * SECOND)
    for _ in range(2):
        before = len(simulation.attempts)
        for i in range(12):
            simulation.submit(i)
            simulation.run(simulation.now + 5_000)
        assert abs(len(simulation.attempts) - before - PLANS[0].burst) <= 1
        simulation.run(simulation.now + 25 * SECOND)


def test_the_share_of_a_rate_limit_fills_from_the_start():
    """Found at size: each limiter turned back a customer's first operations under a ceiling."""
    simulation = LimiterSimulation(17, limiters=1, outcome_weights=ALWAYS_OK)
    simulation.run(simulation.now + 2 * SECOND)
    simulation.submit(0, plan=1, units=4)
    simulation.run(simulation.now + SECOND)
    assert len(simulation.attempts) == 1


def test_amounts_stay_within_what_the_counter_accepts():
    """A store that fills within two seconds makes what is added grow fast; it must not pass 1e9."""
    simulation = LimiterSimulation(5, outcome_weights=ALWAYS_OK)
    for _ in range(400):
        simulation.submit(simulation.random.randrange(3), 0, 3, units=2)
        simulation.run(simulation.now + 100_000)
    assert len(simulation.attempts) > 300 * PLANS[3].rate / 20


def test_an_overloaded_counter_is_called_at_the_rate_it_can_serve():
    """Four limiters want 400 calls a second of one that takes 150: no flood and then nothing."""
    now, free, answered, silent, due = SECOND, 0, 0, 0, []
    counters = [CounterBreaker(True) for _ in range(4)]
    while now < 20 * SECOND:
        now += 2_500
        for when, counter, *heard in [each for each in due if each[0] <= now]:
            counter.record_reply(when, *heard)
        due = [each for each in due if each[0] > now]
        counter = counters[now // 2_500 % 4]
        if counter.try_acquire_call(now):
            free = max(now, free) + SECOND // 150
            in_time = free - now <= 30_000
            answered += in_time
            silent += not in_time
            due.append(
                (
                    min(free, now + 30_000),
                    counter,
                    CounterOutcome.ADDED if in_time else CounterOutcome.TIMED_OUT,
                    now,
                )
            )
    assert answered > 55 * 20
    assert silent < 0.4 * answered


def test_a_skipped_call_goes_by_the_last_known_capacity():
    """A customer gathered on one limiter, whose slice is half its quota, gets all of it in a crowd."""
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
    finished = [answer for _, answer, _ in simulation.replies if answer is AttemptOutcome.OK]
    assert len(finished) == 13
    for _ in range(20):
        simulation.submit(0, plan=3)
    simulation.run(simulation.now + SECOND)
    assert (
        sum(answer is AttemptOutcome.OK for _, answer, _ in simulation.replies) <= 13 + 14
    )  # no more than the quota
