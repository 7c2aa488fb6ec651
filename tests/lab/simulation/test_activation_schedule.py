"""How long acknowledged changes take to become active while proxies or leaders fail."""

import pytest

from lapisgrade.lab.simulation.activation_schedule import FAULTS, simulate_activations

SEEDS = 4

pytestmark = pytest.mark.usefixtures("logging_disabled")


@pytest.mark.parametrize("fault", FAULTS)
def test_each_acknowledged_change_is_active_within_apply(fault: str) -> None:
    """Guards against changes that wait without bound because their versions are dropped before they can be
    activated (review/7), or because each new leader starts their time-outs again."""
    for seed in range(SEEDS):
        simulation = simulate_activations(seed, fault)
        assert simulation.violations == [], f"seed {seed}\n" + "\n".join(simulation.transcript())
        assert simulation.count_acknowledged_changes() > 20
