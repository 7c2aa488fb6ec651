"""The gateway's load balancer against textbook algorithms: the same arrivals, few of them at each limiter."""

from lapisgrade.lab.balancing.model import Spec
from lapisgrade.lab.balancing.simulation import Simulation, comparison_table


def test_the_gateways_balancer_beats_the_textbook_algorithms() -> None:
    spec = Spec(limiters=24, servers=32, load=0.7, seconds=8)
    results = {
        name: Simulation(spec, name).run() for name in ("two-choices", "join-idle", "own", "full-sight")
    }
    best = results["full-sight"].in_target
    gap_to_best = {name: best - result.in_target for name, result in results.items()}
    assert gap_to_best["own"] < gap_to_best["join-idle"]
    assert gap_to_best["own"] < 0.3 * gap_to_best["two-choices"]
    assert results["own"].other_zone < 0.25  # traffic between zones costs money


def test_failing_servers_are_ejected_without_health_checks_and_used_again() -> None:
    spec = Spec(limiters=24, servers=32, load=0.5, unhealthy_share=0.15, failure_share=0.9, seconds=8)
    own, random = (Simulation(spec, name).run() for name in ("own", "random"))
    assert own.retries < 0.6 * random.retries
    assert own.served > 0.995


def test_the_same_seed_gives_the_same_run() -> None:
    spec = Spec(limiters=6, servers=9, seconds=2)
    first, second = (Simulation(spec, "own").run() for _ in range(2))
    first.choice_us = second.choice_us = 0.0
    assert first == second
    assert len(comparison_table(spec, ["random", "full-sight"])) == 4
