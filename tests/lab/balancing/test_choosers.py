"""The choice of a server where few requests pass each limiter, against textbook ways on the same arrivals."""

from lapisgrade.lab.balancing.model import Spec
from lapisgrade.lab.balancing.simulation import Simulation, comparison_table


def test_the_gateways_balancer_beats_every_textbook_one() -> None:
    spec = Spec(limiters=24, servers=32, load=0.7, seconds=8)
    rows = {name: Simulation(spec, name).run() for name in ("two-choices", "join-idle", "own", "full-sight")}
    best = rows["full-sight"].in_aim
    gap = {name: best - each.in_aim for name, each in rows.items()}
    assert gap["own"] < gap["join-idle"]
    assert gap["own"] < 0.3 * gap["two-choices"]
    assert rows["own"].far < 0.25  # bytes between zones are priced


def test_failing_servers_are_ejected_without_health_checks_and_used_again() -> None:
    spec = Spec(limiters=24, servers=32, load=0.5, unhealthy_share=0.15, fails=0.9, seconds=8)
    own, chance = (Simulation(spec, name).run() for name in ("own", "random"))
    assert own.again < 0.6 * chance.again
    assert own.served > 0.995


def test_the_same_seed_gives_the_same_run() -> None:
    spec = Spec(limiters=6, servers=9, seconds=2)
    one, two = (Simulation(spec, "own").run() for _ in range(2))
    one.us = two.us = 0.0
    assert one == two
    assert len(comparison_table(spec, ["random", "full-sight"])) == 4
