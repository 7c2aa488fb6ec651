"""The rules of an operation under seeded chance, each checked at each step, and a few plain cases."""

import pytest
from support.limiter_settings import CATEGORIES, PLANS, SECOND
from support.limiter_simulation import LimiterSimulation

from lapisgrade.interface import AttemptOutcome, RejectReason, ServerState

READY, DRAINING, GONE = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def finished(simulation):
    return sum(1 for _, how, _ in simulation.replies if how is AttemptOutcome.OK)


def rejected(simulation):
    return sum(
        1
        for _, how, _ in simulation.replies
        if how is not AttemptOutcome.OK and how.reason is RejectReason.RETRY_LATER
    )


@pytest.mark.parametrize("seed", range(24))
def test_the_rules_hold_under_random_faults(seed):
    simulation = LimiterSimulation(seed, limiters=1 + seed % 4, allow_hedging=seed % 3 > 0)
    random, taken, restarted = simulation.random, 0, 0
    for _ in range(400):
        simulation.run(simulation.now + random.randrange(1_000, 60_000))
        i, event = random.randrange(simulation.limiter_count), random.random()
        if event < 0.88:
            plan = random.randrange(len(PLANS))
            timeout_us = random.randrange(30_000, 3 * SECOND) if random.random() < 0.3 else None
            category = random.randrange(len(CATEGORIES))
            customer, units = f"c{plan}{random.randrange(3)}", random.randrange(1, 5)
            op = simulation.submit(i, category, plan, customer, units, timeout_us)
            taken += 1
            if random.random() < 0.05:
                simulation.schedule(random.randrange(1, SECOND), simulation.limiters[i].disconnect, op)
        elif event < 0.94:
            name = f"s{random.randrange(6)}"
            simulation.set_states(**{name: random.choice([READY, READY, DRAINING, GONE])})
        elif event < 0.96:
            simulation.is_counter_silent = not simulation.is_counter_silent
        elif event < 0.98:
            simulation.counts.clear()  # the counter is emptied
        else:
            simulation.start_limiter(i)
            restarted += 1
    simulation.run(simulation.now + 20 * SECOND)
    assert all(not host.pending for host in simulation.limiters)
    assert finished(simulation) > 20
    assert len(simulation.replies) <= taken


def test_a_non_idempotent_operation_that_may_have_run_is_given_up():
    simulation = LimiterSimulation(5, limiters=1, outcome_weights=(0, 1, 0, 0, 0, 0))
    simulation.submit(0, category=2)
    simulation.run(simulation.now + SECOND)
    assert [how.reason for _, how, _ in simulation.replies] == [RejectReason.FAILED]
    assert len(simulation.attempts) == 1


def test_a_refused_connection_is_retried_elsewhere():
    simulation = LimiterSimulation(6, limiters=1, outcome_weights=(0, 0, 0, 1, 0, 0))
    simulation.submit(0, category=2)
    simulation.run(simulation.now + SECOND)
    assert [how.reason for _, how, _ in simulation.replies] == [RejectReason.RETRY_LATER]
    assert len(simulation.attempts) > 1


def test_an_operation_without_servers_is_rejected_at_once():
    simulation = LimiterSimulation(7, limiters=1, servers=1)
    simulation.set_states(s0=GONE)
    simulation.submit(0)
    simulation.run(simulation.now + SECOND)
    assert rejected(simulation) == 1
    assert not simulation.attempts
