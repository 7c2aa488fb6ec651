"""The rules of an operation, checked at each step of a simulation with random faults, and single cases."""

import pytest
from support.limiter_settings import CATEGORIES, PLANS, SECOND
from support.limiter_simulation import LimiterSimulation

from lapisgrade.interface import AttemptOutcome, RejectReason, ServerState

READY, DRAINING, REMOVED = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def count_successes(simulation):
    return sum(1 for _, answer, _ in simulation.replies if answer is AttemptOutcome.OK)


def count_rejections(simulation):
    """Return the number of operations whose client was advised to retry later."""
    return sum(
        1
        for _, answer, _ in simulation.replies
        if answer is not AttemptOutcome.OK and answer.reason is RejectReason.RETRY_LATER
    )


@pytest.mark.parametrize("seed", range(24))
def test_the_rules_hold_under_random_faults(seed):
    simulation = LimiterSimulation(seed, limiters=1 + seed % 4, allow_hedging=seed % 3 > 0)
    random, submitted, restarted = simulation.random, 0, 0
    for _ in range(400):
        simulation.run(simulation.now + random.randrange(1_000, 60_000))
        limiter_index, event_draw = random.randrange(simulation.limiter_count), random.random()
        if event_draw < 0.88:
            plan = random.randrange(len(PLANS))
            timeout_us = random.randrange(30_000, 3 * SECOND) if random.random() < 0.3 else None
            category = random.randrange(len(CATEGORIES))
            customer, units = f"c{plan}{random.randrange(3)}", random.randrange(1, 5)
            operation = simulation.submit(limiter_index, category, plan, customer, units, timeout_us)
            submitted += 1
            if random.random() < 0.05:
                simulation.schedule(
                    random.randrange(1, SECOND), simulation.limiters[limiter_index].disconnect, operation
                )
        elif event_draw < 0.94:
            name = f"s{random.randrange(6)}"
            simulation.set_states(**{name: random.choice([READY, READY, DRAINING, REMOVED])})
        elif event_draw < 0.96:
            simulation.is_counter_silent = not simulation.is_counter_silent
        elif event_draw < 0.98:
            simulation.counts.clear()  # the counter loses its data
        else:
            simulation.start_limiter(limiter_index)  # restarts it
            restarted += 1
    simulation.run(simulation.now + 20 * SECOND)
    assert all(not host.pending for host in simulation.limiters)
    assert count_successes(simulation) > 20
    assert len(simulation.replies) <= submitted


def test_a_non_idempotent_operation_that_may_have_run_fails():
    simulation = LimiterSimulation(5, limiters=1, outcome_weights=(0, 1, 0, 0, 0, 0))
    simulation.submit(0, category=2)
    simulation.run(simulation.now + SECOND)
    assert [answer.reason for _, answer, _ in simulation.replies] == [RejectReason.FAILED]
    assert len(simulation.attempts) == 1


def test_a_refused_connection_is_retried():
    simulation = LimiterSimulation(6, limiters=1, outcome_weights=(0, 0, 0, 1, 0, 0))
    simulation.submit(0, category=2)
    simulation.run(simulation.now + SECOND)
    assert [answer.reason for _, answer, _ in simulation.replies] == [RejectReason.RETRY_LATER]
    assert len(simulation.attempts) > 1


def test_an_operation_without_servers_is_rejected_at_once():
    simulation = LimiterSimulation(7, limiters=1, servers=1)
    simulation.set_states(s0=REMOVED)
    simulation.submit(0)
    simulation.run(simulation.now + SECOND)
    assert count_rejections(simulation) == 1
    assert not simulation.attempts
