"""The server pool's parts, each by itself: latency, concurrency limit, slow start, subsets."""

import pytest

from lapisgrade.interface import Placement, ServerEndpoint, ServerRules, ServerState
from lapisgrade.policy.concurrency_limit import MIN_IN_FLIGHT_PER_SERVER, ConcurrencyLimit
from lapisgrade.policy.latency import LATENCY_DECAY_US, LatencyEstimate
from lapisgrade.policy.observed_server import ObservedServer
from lapisgrade.policy.slow_start import SlowStart
from lapisgrade.policy.subset import SUBSET_SIZE, choose_subset

SECOND = 1_000_000


def listed_server(number: int, started_us: int = 0, state: ServerState = ServerState.READY) -> ObservedServer:
    """Return a server that is in the endpoint list."""
    server = ObservedServer(f"s{number}")
    server.endpoint = ServerEndpoint(f"s{number}", state, started_us=started_us)
    return server


def test_a_latency_estimate_follows_recent_attempts_and_returns_to_its_initial_value() -> None:
    estimate = LatencyEstimate(100_000.0)
    assert estimate.mean(SECOND) == 100_000
    for _ in range(100):
        estimate.add(SECOND, 20_000, 1.0)
    assert 20_000 < estimate.mean(SECOND) < 30_000
    assert estimate.mean(SECOND + 20 * LATENCY_DECAY_US) == pytest.approx(100_000, rel=0.01)


def test_the_expected_latency_grows_with_units() -> None:
    estimate = LatencyEstimate(100_000.0)
    for _ in range(100):
        estimate.add(SECOND, 100_000, 2.0)
    assert estimate.expected(SECOND, 1.0) < estimate.expected(SECOND, 2.0) < estimate.expected(SECOND, 4.0)


def test_the_concurrency_limit_falls_to_its_minimum_when_latency_exceeds_the_target() -> None:
    limit = ConcurrencyLimit(limiter_count=1)
    limit.on_servers_changed(endpoint_count=4, ready_count=4, warm_weight=4.0)
    assert limit.value == 4 * MIN_IN_FLIGHT_PER_SERVER
    limit.value = 40.0
    for i in range(1000):
        limit.on_latency(SECOND + i, latency_ratio=2.0, weight=1.0)
    assert limit.value == 4 * MIN_IN_FLIGHT_PER_SERVER


def test_the_concurrency_limit_rises_only_when_it_is_in_use() -> None:
    limit = ConcurrencyLimit(limiter_count=1)
    limit.on_servers_changed(endpoint_count=4, ready_count=4, warm_weight=4.0)
    limit.on_latency(SECOND, latency_ratio=0.01, weight=1.0)
    assert limit.value == 4 * MIN_IN_FLIGHT_PER_SERVER
    limit.in_flight = 8
    limit.on_latency(SECOND, latency_ratio=0.01, weight=1.0)
    assert limit.value > 4 * MIN_IN_FLIGHT_PER_SERVER


def test_a_servers_weight_grows_while_it_warms_up() -> None:
    slow_start = SlowStart(ServerRules(0, 10 * SECOND, 0.2, SECOND, 3.0), Placement(0, 1, ""))
    started_us = 100 * SECOND
    weights = [
        slow_start.weight(listed_server(0, started_us), started_us + age_s * SECOND)
        for age_s in (0, 5, 10, 20)
    ]
    assert weights == pytest.approx([0.2, 0.6, 1.0, 1.0])


def test_a_warm_server_needs_no_budget() -> None:
    slow_start = SlowStart(ServerRules(0, 10 * SECOND, 0.2, SECOND, 3.0), Placement(0, 1, ""))
    assert slow_start.has_budget(listed_server(0), 100 * SECOND, [])


def test_subsets_cover_all_servers_evenly() -> None:
    servers = [listed_server(i) for i in range(4 * SUBSET_SIZE)]
    subsets = [choose_subset(servers, Placement(i, 12, "")) for i in range(12)]
    assert {len(subset) for subset in subsets} == {SUBSET_SIZE}
    limiters_per_server = [sum(each in subset for subset in subsets) for each in servers]
    assert set(limiters_per_server) == {3}


def test_a_subset_excludes_servers_that_are_not_ready() -> None:
    servers = [
        listed_server(0),
        listed_server(1, state=ServerState.DRAINING),
        listed_server(2, state=ServerState.REMOVED),
    ]
    assert choose_subset(servers, Placement(0, 1, "")) == [servers[0]]
