"""The parts of the server pool by themselves: latency, concurrency limit, slow start, subsets."""

import pytest

from lapisgrade.interface import Placement, ServerEndpoint, ServerRules, ServerState
from lapisgrade.policy.concurrency_limit import MIN_IN_FLIGHT_PER_SERVER, ConcurrencyLimit
from lapisgrade.policy.latency import LATENCY_DECAY_US, LatencyEstimate
from lapisgrade.policy.observed_server import ObservedServer
from lapisgrade.policy.slow_start import SlowStart
from lapisgrade.policy.subset import SUBSET_SIZE, choose_subset

SECOND = 1_000_000


def server(number: int, started_us: int = 0, state: ServerState = ServerState.READY) -> ObservedServer:
    """A listed server."""
    observed = ObservedServer(f"s{number}")
    observed.endpoint = ServerEndpoint(f"s{number}", state, started_us=started_us)
    return observed


def test_a_latency_estimate_follows_what_is_seen_and_forgets_it() -> None:
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


def test_the_concurrency_limit_falls_when_latency_is_beyond_its_target_down_to_its_floor() -> None:
    limit = ConcurrencyLimit(limiter_count=1)
    limit.on_servers_changed(listed=4, ready=4, warm=4.0)
    assert limit.value == 4 * MIN_IN_FLIGHT_PER_SERVER
    limit.value = 40.0
    for i in range(1000):
        limit.on_latency(SECOND + i, latency_ratio=2.0, weight=1.0)
    assert limit.value == 4 * MIN_IN_FLIGHT_PER_SERVER


def test_the_concurrency_limit_rises_only_where_it_is_used() -> None:
    limit = ConcurrencyLimit(limiter_count=1)
    limit.on_servers_changed(listed=4, ready=4, warm=4.0)
    limit.on_latency(SECOND, latency_ratio=0.01, weight=1.0)
    assert limit.value == 4 * MIN_IN_FLIGHT_PER_SERVER
    limit.in_flight = 8
    limit.on_latency(SECOND, latency_ratio=0.01, weight=1.0)
    assert limit.value > 4 * MIN_IN_FLIGHT_PER_SERVER


def test_a_servers_weight_grows_while_it_warms_up() -> None:
    slow_start = SlowStart(ServerRules(0, 10 * SECOND, 0.2, SECOND, 3.0), Placement(0, 1, ""))
    started_us = 100 * SECOND
    weights = [slow_start.weight(server(0, started_us), started_us + i * SECOND) for i in (0, 5, 10, 20)]
    assert weights == pytest.approx([0.2, 0.6, 1.0, 1.0])


def test_a_warm_server_needs_no_budget() -> None:
    slow_start = SlowStart(ServerRules(0, 10 * SECOND, 0.2, SECOND, 3.0), Placement(0, 1, ""))
    assert slow_start.has_budget(server(0), 100 * SECOND, [])


def test_subsets_cover_all_servers_evenly() -> None:
    servers = [server(i) for i in range(4 * SUBSET_SIZE)]
    chosen = [choose_subset(servers, Placement(i, 12, "")) for i in range(12)]
    assert {len(subset) for subset in chosen} == {SUBSET_SIZE}
    counts = [sum(each in subset for subset in chosen) for each in servers]
    assert set(counts) == {3}


def test_a_subset_leaves_out_what_is_not_ready() -> None:
    servers = [server(0), server(1, state=ServerState.DRAINING), server(2, state=ServerState.REMOVED)]
    assert choose_subset(servers, Placement(0, 1, "")) == [servers[0]]
