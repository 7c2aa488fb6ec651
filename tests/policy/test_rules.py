"""The rules of an operation under seeded chance, each checked at each step, and a few plain cases."""

import pytest
from support.limiter_simulation import CATEGORIES, PLANS, SECOND, World

from lapisgrade.interface import AttemptOutcome, RejectReason, ServerState

READY, DRAINING, GONE = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def finished(world):
    return sum(1 for _, how, _ in world.answers if how is AttemptOutcome.OK)


def turned_back(world):
    return sum(
        1
        for _, how, _ in world.answers
        if how is not AttemptOutcome.OK and how.reason is RejectReason.RETRY_LATER
    )


@pytest.mark.parametrize("seed", range(24))
def test_the_rules_hold_under_random_faults(seed):
    world = World(seed, limiters=1 + seed % 4, second_copies=seed % 3 > 0)
    random, taken, restarted = world.random, 0, 0
    for _ in range(400):
        world.run(world.now + random.randrange(1_000, 60_000))
        i, event = random.randrange(world.limiters), random.random()
        if event < 0.88:
            plan = random.randrange(len(PLANS))
            budget = random.randrange(30_000, 3 * SECOND) if random.random() < 0.3 else None
            category = random.randrange(len(CATEGORIES))
            customer, units = f"c{plan}{random.randrange(3)}", random.randrange(1, 5)
            op = world.arrive(i, category, plan, customer, units, budget)
            taken += 1
            if random.random() < 0.05:
                world.at(random.randrange(1, SECOND), world.gates[i].leave, op)
        elif event < 0.94:
            name = f"s{random.randrange(6)}"
            world.list(**{name: random.choice([READY, READY, DRAINING, GONE])})
        elif event < 0.96:
            world.silent = not world.silent
        elif event < 0.98:
            world.counts.clear()  # the counter is emptied
        else:
            world.start(i)
            restarted += 1
    world.run(world.now + 20 * SECOND)
    assert all(not gate.owed for gate in world.gates)
    assert finished(world) > 20 and len(world.answers) <= taken


def test_a_non_idempotent_operation_that_may_have_run_is_given_up():
    world = World(5, limiters=1, chances=(0, 1, 0, 0, 0, 0))
    world.arrive(0, category=2)
    world.run(world.now + SECOND)
    assert [how.reason for _, how, _ in world.answers] == [RejectReason.FAILED] and len(world.ran) == 1


def test_a_refused_connection_is_retried_elsewhere():
    world = World(6, limiters=1, chances=(0, 0, 0, 1, 0, 0))
    world.arrive(0, category=2)
    world.run(world.now + SECOND)
    assert [how.reason for _, how, _ in world.answers] == [RejectReason.RETRY_LATER] and len(world.ran) > 1


def test_an_operation_without_servers_is_rejected_at_once():
    world = World(7, limiters=1, servers=1)
    world.list(s0=GONE)
    world.arrive(0)
    world.run(world.now + SECOND)
    assert turned_back(world) == 1 and not world.ran
