"""Choice among servers: slow start, concurrency limit, subsets."""

import pytest
from support.limiter_settings import SECOND, SERVER_RULES
from support.limiter_simulation import ALWAYS_OK, LimiterSimulation

from lapisgrade.interface import AttemptOutcome, ServerEndpoint, ServerState
from lapisgrade.policy.latency import LATENCY_DECAY_US
from lapisgrade.policy.slow_start import SLOW_START_SHARE

READY, DRAINING, REMOVED = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def count_successes(simulation):
    return sum(1 for _, answer, _ in simulation.replies if answer is AttemptOutcome.OK)


def test_a_server_in_slow_start_gets_a_small_share():
    simulation = LimiterSimulation(8, limiters=1, servers=4, outcome_weights=ALWAYS_OK)
    for step in range(400):
        if step == 200:
            simulation.set_states(s0=REMOVED)
            simulation.set_states(s0=READY)
        simulation.submit(0, customer=f"c{step}")
        simulation.run(simulation.now + 30_000)
    attempts_at_s0 = [sent for sent in simulation.attempts[200:] if sent.name == "s0"]
    assert len(attempts_at_s0) < 0.25 * len(simulation.attempts[200:]) * 0.75


def test_servers_that_are_all_in_slow_start_get_attempts():
    """Guards against slow-start budgets that stay at zero because no server has completed any work yet."""
    simulation = LimiterSimulation(9, limiters=2, servers=2, outcome_weights=ALWAYS_OK)
    for state in (REMOVED, READY):
        simulation.set_states(s0=state, s1=state)
    for step in range(200):
        simulation.submit(step % 2, customer=f"c{step}")
        simulation.run(simulation.now + 50_000)
    assert count_successes(simulation) > 12


def test_servers_that_are_all_slow_are_not_starved():
    """Guards against a fault of an incident: as all servers were slow, the concurrency limit fell to one
    attempt, and servers were idle."""
    simulation = LimiterSimulation(12, limiters=2, servers=8, outcome_weights=ALWAYS_OK)
    simulation.draw_outcome = lambda: (AttemptOutcome.OK, 600_000)
    for step in range(1200):
        simulation.submit(step % 2, customer=f"c{step}")
        simulation.run(simulation.now + 25_000)
    assert sum(1 for sent in simulation.attempts if sent.outcome is None) >= 8


def test_the_concurrency_limit_falls_when_servers_are_removed():
    """Guards against a fault of two incidents: half of the servers were removed, and the attempts that had
    been allowed for all servers overloaded the other half."""
    simulation = LimiterSimulation(13, limiters=1, servers=6)
    pool = simulation.limiters[0].limiter.server_pool
    limit_before = pool.concurrency.value
    simulation.set_states(s0=REMOVED, s1=DRAINING, s2=REMOVED)
    assert pool.concurrency.value == pytest.approx(limit_before / 2)
    simulation.set_states(s0=READY, s1=READY, s2=READY)
    assert pool.concurrency.value == pytest.approx(limit_before / 2)


def test_many_limiters_divide_the_servers_evenly():
    """Guards against a fault of an incident: with every limiter at every server, connections ran out, and no
    limiter had enough responses of any server to judge it."""
    simulation = LimiterSimulation(16, limiters=60, servers=36)
    subsets = [host.limiter.server_pool.subset for host in simulation.limiters]
    limiters_per_server = [
        sum(1 for subset in subsets for each in subset if each.address == name)
        for name in simulation.endpoints
    ]
    assert {len(subset) for subset in subsets} == {6}
    assert set(limiters_per_server) == {10}
    removed = subsets[0][0].address
    simulation.set_states(**{removed: REMOVED})
    assert all(len(host.limiter.server_pool.subset) == 6 for host in simulation.limiters)
    assert not any(
        each.address == removed for host in simulation.limiters for each in host.limiter.server_pool.subset
    )


def test_a_server_that_rejects_one_plan_still_serves_the_others():
    """Guards against servers that are considered unhealthy and slow for all plans because they reject one
    plan as overloaded."""
    simulation = LimiterSimulation(18, limiters=1, servers=2)
    simulation.set_states(s1=REMOVED)
    simulation.draw_outcome = lambda: (AttemptOutcome.OVERLOADED, 200_000)
    for step in range(4):
        simulation.submit(0, customer=f"c{step}")
        simulation.run(simulation.now + SECOND)
    simulation.set_states(s1=READY)
    pool, times_chosen = simulation.limiters[0].limiter.server_pool, []
    for plan in (0, 1):
        operation = simulation.submit(0, plan=plan, customer="late")
        times_chosen.append(
            sum(pool.choose(operation, [], lambda server: True).address == "s0" for _ in range(400))
        )
    assert times_chosen[0] < 0.5 * times_chosen[1]


def test_removed_servers_and_idle_accounts_are_deleted():
    simulation = LimiterSimulation(2, outcome_weights=ALWAYS_OK)
    for step in range(400):
        simulation.submit(step % 3, plan=step % 4, customer=f"once {step}")
        if step % 4 == 0:
            simulation.endpoints[f"t{step}"] = ServerEndpoint(
                f"t{step}", ServerState.READY, "z0", 0, 1.0, "", simulation.now
            )
            simulation.set_states(**{f"t{step}": ServerState.READY})
        if step % 4 == 3:
            simulation.set_states(**{f"t{step - 3}": ServerState.REMOVED})
        simulation.run(simulation.now + SECOND // 2)
    for host in simulation.limiters:
        assert len(host.limiter.accounts) < 60
        assert len(host.limiter.server_pool.servers) < 60


def test_many_limiters_use_servers_in_slow_start_to_their_capacity():
    """With many limiters, one limiter's budget for a warming server is less than one attempt. Guards against
    warming servers that get almost no traffic, while warm servers are full and operations are rejected."""
    simulation = LimiterSimulation(19, limiters=40, servers=24, outcome_weights=ALWAYS_OK)
    restarted = {f"s{i}" for i in range(12)}
    for step in range(900):
        if step == 300:
            simulation.set_states(**dict.fromkeys(restarted, REMOVED))
            simulation.set_states(**dict.fromkeys(restarted, READY))
        simulation.submit(step % 40, customer=f"c{step}")
        simulation.run(simulation.now + SECOND // 50)
    recent_attempts = [sent for sent in simulation.attempts if sent.sent_us > simulation.now - 9 * SECOND]
    share = sum(sent.name in restarted for sent in recent_attempts) / len(recent_attempts)
    assert 0.15 < share < 0.45  # their capacity has grown from 0.35 to 0.83 by then


def test_a_small_concurrency_limit_queues_operations_that_can_be_served_in_time():
    """Guards against a limit of three attempts at which only one operation is queued at a time and all others
    are rejected."""
    simulation = LimiterSimulation(20, limiters=12)
    simulation.draw_outcome = lambda: (AttemptOutcome.OK, 120_000)
    for step in range(30):  # one attempt at a time, for 0.12 s; each operation waits at most 0.5 s
        simulation.submit(0, category=1, customer=f"c{step}")
        simulation.run(simulation.now + 20_000)
    immediate_answers = sum(
        replied_us < operation.arrived_us + 20_000 for operation, _, replied_us in simulation.replies
    )
    simulation.run(simulation.now + 2 * SECOND)
    assert simulation.limiters[0].limiter.server_pool.concurrency.value < 2.5
    assert count_successes(simulation) >= 15
    assert immediate_answers > 4  # operations that could not be served in time are rejected at once


def test_the_slow_start_budget_follows_the_load_of_warm_servers():
    """Guards against a budget that is computed from the mean over all servers, not over the warm ones: with
    half of the subset warming, it is half as large."""
    simulation = LimiterSimulation(21, limiters=1, servers=6)
    pool = simulation.limiters[0].limiter.server_pool
    restarted = ["s0", "s1", "s2"]
    simulation.set_states(**dict.fromkeys(restarted, REMOVED))
    simulation.set_states(**dict.fromkeys(restarted, READY))
    # As much work as the three warm servers complete under full load.
    pool.slow_start.completed_work.add(simulation.now, 3 * LATENCY_DECAY_US)
    server = pool.servers["s0"]
    server.last_sent_us = simulation.now
    pool.slow_start.has_budget(server, simulation.now, pool.subset)
    warming_rate = (
        SLOW_START_SHARE * SERVER_RULES.max_overload_factor * SERVER_RULES.slow_start_initial_weight
    )  # as a fraction of a warm server's work
    assert 0.8 * warming_rate < server.slow_start_budget.rate_per_s / SECOND < warming_rate
