"""Proxies beside controllers, their real shells in simulated time, and wrong versions that must be found."""

import pytest

from lapisgrade.lab.explore import data_plane as explored
from lapisgrade.lab.explore.defects import injected
from lapisgrade.lab.simulation import data_plane_mutants
from lapisgrade.lab.simulation.data_plane import played

SEEDS = 10

pytestmark = pytest.mark.usefixtures("silent_logging")


def test_versions_counts_quotas_and_departures_survive_faults(
    subtests: pytest.Subtests,
) -> None:
    sent = grants = 0
    for seed in range(SEEDS):
        with subtests.test(seed=seed):
            play = played(seed)
            assert play.wrong == [], "\n".join(play.transcript())
            sent, grants = sent + len(play.sent_us), grants + play.grants
    assert sent > 200 * SEEDS
    assert grants > 500 * SEEDS


def test_a_seed_replays_exactly() -> None:
    first, second = played(3), played(3)
    assert (first.cluster.said, first.sent_us) == (second.cluster.said, second.sent_us)


@pytest.mark.parametrize("name", explored.DEFECTS)
def test_each_wrong_version_is_found(name: str) -> None:
    begin, many = data_plane_mutants.FOUND_FROM.get(name, (0, 12))
    with injected(explored.DEFECTS, name):
        found = next((seed for seed in range(begin, begin + many) if played(seed).wrong), None)
        assert found is not None, f"{name} survived {many} seeds from {begin} on"


def test_the_exploration_reports_what_led_to_a_violation() -> None:
    lines: list[str] = []
    _, seed = explored.explore(range(2), "old-fence", lines.append)
    assert seed >= 0
    assert "WRONG" in lines[-1]
