"""Claims of operation keys under random faults, and wrong versions to find."""

import pytest

from lapisgrade.lab.explore.defects import injected
from lapisgrade.lab.simulation.claims import simulate_claims
from lapisgrade.lab.simulation.defects.claims import CLAIMS

SEEDS = 10
FIRST_SEEDS = {"time-of-other-leaders": 8}  # of the search for a wrong version, where it isn't 0
DEFECT_SEEDS = 10

pytestmark = pytest.mark.usefixtures("silent_logging")


def test_no_operation_runs_twice_whatever_is_lost(subtests: pytest.Subtests) -> None:
    for seed in range(SEEDS):
        with subtests.test(seed=seed):
            simulation = simulate_claims(seed)
            assert simulation.violations == [], "\n".join(simulation.transcript())
            assert len(simulation.book.runs) > 50


@pytest.mark.parametrize("name", CLAIMS)
def test_each_wrong_version_is_found(name: str) -> None:
    first = FIRST_SEEDS.get(name, 0)
    with injected(CLAIMS, name):
        assert any(simulate_claims(seed).violations for seed in range(first, first + DEFECT_SEEDS))
