"""The choice among servers: slow start, bounds on what is in flight, subsets."""

import pytest
from support.limiter_settings import SECOND, SERVER_RULES
from support.limiter_simulation import ALWAYS_OK, LimiterSimulation

from lapisgrade.interface import AttemptOutcome, ServerEndpoint, ServerState
from lapisgrade.policy.latency import LATENCY_DECAY_US
from lapisgrade.policy.slow_start import SLOW_START_SHARE

READY, DRAINING, GONE = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def finished(simulation):
    return sum(1 for _, how, _ in simulation.replies if how is AttemptOutcome.OK)


def test_a_server_in_slow_start_gets_a_small_share():
    simulation = LimiterSimulation(8, limiters=1, servers=4, outcome_weights=ALWAYS_OK)
    for step in range(400):
        if step == 200:
            simulation.set_states(s0=GONE)
            simulation.set_states(s0=READY)
        simulation.submit(0, customer=f"c{step}")
        simulation.run(simulation.now + 30_000)
    late = [sent for sent in simulation.attempts[200:] if sent.name == "s0"]
    assert len(late) < 0.25 * len(simulation.attempts[200:]) * 0.75


def test_a_cluster_that_is_all_in_slow_start_gets_going():
    """Found by reading: with nothing carried yet the cold budget was nil for good."""
    simulation = LimiterSimulation(9, limiters=2, servers=2, outcome_weights=ALWAYS_OK)
    for state in (GONE, READY):
        simulation.set_states(s0=state, s1=state)
    for step in range(200):
        simulation.submit(step % 2, customer=f"c{step}")
        simulation.run(simulation.now + 50_000)
    assert finished(simulation) > 12


def test_servers_that_are_all_slow_are_not_starved():
    """Found in an incident: when every server was slow the bound fell to one hop, and servers idled."""
    simulation = LimiterSimulation(12, limiters=2, servers=8, outcome_weights=ALWAYS_OK)
    simulation.draw_outcome = lambda: (AttemptOutcome.OK, 600_000)
    for step in range(1200):
        simulation.submit(step % 2, customer=f"c{step}")
        simulation.run(simulation.now + 25_000)
    assert sum(1 for sent in simulation.attempts if sent.outcome is None) >= 8


def test_the_concurrency_limit_falls_with_departing_servers():
    """Found in two incidents: half the fleet went, and what had been out on it jammed the other half."""
    simulation = LimiterSimulation(13, limiters=1, servers=6)
    fleet = simulation.limiters[0].limiter.server_pool
    before = fleet.concurrency.value
    simulation.set_states(s0=GONE, s1=DRAINING, s2=GONE)
    assert fleet.concurrency.value == pytest.approx(before / 2)
    simulation.set_states(s0=READY, s1=READY, s2=READY)
    assert fleet.concurrency.value == pytest.approx(before / 2)


def test_many_limiters_divide_the_servers_evenly():
    """Found in an incident: with all limiters at all servers, connections ran out and none was known."""
    simulation = LimiterSimulation(16, limiters=60, servers=36)
    parts = [host.limiter.server_pool.subset for host in simulation.limiters]
    served = [
        sum(1 for part in parts for each in part if each.address == name) for name in simulation.endpoints
    ]
    assert {len(part) for part in parts} == {6}
    assert set(served) == {10}
    gone = parts[0][0].address
    simulation.set_states(**{gone: GONE})
    assert all(len(g.limiter.server_pool.subset) == 6 for g in simulation.limiters)
    assert not any(each.address == gone for g in simulation.limiters for each in g.limiter.server_pool.subset)


def test_a_server_that_rejects_one_plan_still_serves_the_others():
    """Found at size: servers that turned one plan away as full were held ill for all, and slow as well."""
    simulation = LimiterSimulation(18, limiters=1, servers=2)
    simulation.set_states(s1=GONE)
    simulation.draw_outcome = lambda: (AttemptOutcome.OVERLOADED, 200_000)
    for step in range(4):
        simulation.submit(0, customer=f"c{step}")
        simulation.run(simulation.now + SECOND)
    simulation.set_states(s1=READY)
    fleet, draws = simulation.limiters[0].limiter.server_pool, []
    for plan in (0, 1):
        op = simulation.submit(0, plan=plan, customer="late")
        draws.append(sum(fleet.choose(op, [], lambda server: True).address == "s0" for _ in range(400)))
    assert draws[0] < 0.5 * draws[1]


def test_departed_servers_and_idle_customers_are_forgotten():
    simulation = LimiterSimulation(2, outcome_weights=ALWAYS_OK)
    for i in range(400):
        simulation.submit(i % 3, plan=i % 4, customer=f"once {i}")
        if i % 4 == 0:
            simulation.endpoints[f"t{i}"] = ServerEndpoint(
                f"t{i}", ServerState.READY, "z0", 0, 1.0, "", simulation.now
            )
            simulation.set_states(**{f"t{i}": ServerState.READY})
        if i % 4 == 3:
            simulation.set_states(**{f"t{i - 3}": ServerState.REMOVED})
        simulation.run(simulation.now + SECOND // 2)
    for host in simulation.limiters:
        assert len(host.limiter.accounts) < 60
        assert len(host.limiter.server_pool.servers) < 60


def test_many_limiters_use_servers_in_slow_start_to_their_capacity():
    """Found on sockets at size: what one of many might send a cold server is less than one operation, and
    so all sent it next to nothing while it warmed up; warm ones were full and clients turned back."""
    simulation = LimiterSimulation(19, limiters=40, servers=24, outcome_weights=ALWAYS_OK)
    cold = {f"s{i}" for i in range(12)}
    for step in range(900):
        if step == 300:
            simulation.set_states(**dict.fromkeys(cold, GONE))
            simulation.set_states(**dict.fromkeys(cold, READY))
        simulation.submit(step % 40, customer=f"c{step}")
        simulation.run(simulation.now + SECOND // 50)
    late = [sent for sent in simulation.attempts if sent.sent_us > simulation.now - 9 * SECOND]
    share = sum(sent.name in cold for sent in late) / len(late)
    assert 0.15 < share < 0.45  # they hold from 0.35 to 0.83 of their capacity by then


def test_a_small_concurrency_limit_queues_what_will_be_served_in_time():
    """Found on sockets at size: with a bound of three hops one was held at a time, the rest turned back."""
    simulation = LimiterSimulation(20, limiters=12)
    simulation.draw_outcome = lambda: (AttemptOutcome.OK, 120_000)
    for step in range(30):  # one at a time goes out, for 0.12 s; each is held for 0.5 s at most
        simulation.submit(0, category=1, customer=f"c{step}")
        simulation.run(simulation.now + 20_000)
    at_once = sum(when < op.arrived_us + 20_000 for op, _, when in simulation.replies)
    simulation.run(simulation.now + 2 * SECOND)
    assert simulation.limiters[0].limiter.server_pool.concurrency.value < 2.5
    assert finished(simulation) >= 15
    assert at_once > 4  # the others would wait in vain, and are told so


def test_slow_start_capacity_follows_the_load_of_a_warm_server():
    """Found on sockets at size: with half of the part cold, a mean over all halved what the cold ones got."""
    simulation = LimiterSimulation(21, limiters=1, servers=6)
    fleet = simulation.limiters[0].limiter.server_pool
    cold = ["s0", "s1", "s2"]
    simulation.set_states(**dict.fromkeys(cold, GONE))
    simulation.set_states(**dict.fromkeys(cold, READY))
    fleet.slow_start.completed_work.add(
        simulation.now, 3 * LATENCY_DECAY_US
    )  # three servers' full work, as three warm ones carry
    server = fleet.servers["s0"]
    server.last_sent_us = simulation.now
    fleet.slow_start.has_budget(server, simulation.now, fleet.subset)
    even = (
        SLOW_START_SHARE * SERVER_RULES.max_overload_factor * SERVER_RULES.slow_start_initial_weight
    )  # of a warm one's work
    assert 0.8 * even < server.slow_start_budget.rate_per_s / SECOND < even
