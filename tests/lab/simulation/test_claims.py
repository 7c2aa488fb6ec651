"""Claims of operation keys under random faults, and injected defects that must be found."""

import pytest

from lapisgrade.lab.explore.defects import injected
from lapisgrade.lab.simulation.claims import simulate_claims
from lapisgrade.lab.simulation.defects.claims import CLAIM_DEFECTS

SEEDS = 10  # number of random simulations
DEFECT_SEEDS = 30  # number of seeds, of which one must find an injected defect

pytestmark = pytest.mark.usefixtures("logging_disabled")


def test_no_operation_runs_twice_under_faults(subtests: pytest.Subtests) -> None:
    for seed in range(SEEDS):
        with subtests.test(seed=seed):
            simulation = simulate_claims(seed)
            assert simulation.violations == [], "\n".join(simulation.transcript())
            assert len(simulation.claim_history.runs) > 50


@pytest.mark.parametrize("name", CLAIM_DEFECTS)
def test_an_injected_defect_of_claims_is_found(name: str) -> None:
    with injected(CLAIM_DEFECTS, name):
        assert any(simulate_claims(seed).violations for seed in range(DEFECT_SEEDS))
