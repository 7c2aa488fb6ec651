"""Proxies and controllers in simulated time, and injected defects that must be found."""

import pytest

from lapisgrade.lab.explore import data_plane as explored
from lapisgrade.lab.explore.defects import injected
from lapisgrade.lab.simulation.data_plane import simulate
from lapisgrade.lab.simulation.defects import data_plane as data_plane_defects

SEEDS = 10  # number of random simulations

pytestmark = pytest.mark.usefixtures("logging_disabled")


def test_versions_counters_quotas_and_departures_are_correct_under_faults(
    subtests: pytest.Subtests,
) -> None:
    sent = counter_adds = 0
    for seed in range(SEEDS):
        with subtests.test(seed=seed):
            simulation = simulate(seed)
            assert simulation.violations == [], "\n".join(simulation.transcript())
            sent, counter_adds = sent + len(simulation.sent_us), counter_adds + simulation.counter_adds
    assert sent > 200 * SEEDS
    assert counter_adds > 500 * SEEDS


def test_a_seed_replays_exactly() -> None:
    first, second = simulate(3), simulate(3)
    assert (first.cluster.transcript_lines, first.sent_us) == (
        second.cluster.transcript_lines,
        second.sent_us,
    )


@pytest.mark.parametrize("name", explored.DEFECTS)
def test_an_injected_defect_of_the_data_plane_is_found(name: str) -> None:
    first, count = data_plane_defects.FIRST_SEED_AND_COUNT.get(name, (0, 12))
    with injected(explored.DEFECTS, name):
        found = next((seed for seed in range(first, first + count) if simulate(seed).violations), None)
        assert found is not None, f"{name} was not found in {count} seeds from {first} on"


def test_the_exploration_prints_the_transcript_up_to_a_violation() -> None:
    lines: list[str] = []
    first, _ = data_plane_defects.FIRST_SEED_AND_COUNT["old-fence"]
    _, seed = explored.explore(range(first, first + 3), "old-fence", lines.append)
    assert seed >= 0
    assert "WRONG" in lines[-1]
