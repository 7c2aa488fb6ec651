"""Claims of operation keys under random faults, and wrong versions to find."""

import pytest

from lapisgrade.lab.explore.defects import injected
from lapisgrade.lab.simulation.claims import simulate_claims
from lapisgrade.lab.simulation.defects.claims import CLAIMS

SEEDS = 10
DEFECT_SEEDS = 30  # in which a wrong version must be found

pytestmark = pytest.mark.usefixtures("silent_logging")


def test_no_operation_runs_twice_whatever_is_lost(subtests: pytest.Subtests) -> None:
    for seed in range(SEEDS):
        with subtests.test(seed=seed):
            simulation = simulate_claims(seed)
            assert simulation.violations == [], "\n".join(simulation.transcript())
            assert len(simulation.book.runs) > 50


@pytest.mark.parametrize("name", CLAIMS)
def test_each_wrong_version_is_found(name: str) -> None:
    with injected(CLAIMS, name):
        assert any(simulate_claims(seed).violations for seed in range(DEFECT_SEEDS))
