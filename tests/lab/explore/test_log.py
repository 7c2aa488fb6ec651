"""Exploration of the replicated log: acknowledged commands survive crashes, partitions and a wiped disk."""

import pytest

from lapisgrade.lab.explore import log


@pytest.mark.parametrize("seed", range(30))
def test_acknowledged_commands_survive_crashes_partitions_and_one_wiped_disk(seed: int) -> None:
    cluster = log.simulate(seed)
    assert cluster.violations == []
    assert len(cluster.nodes[cluster.leader()].voters) == 3


@pytest.mark.parametrize("seed", range(8))
def test_acknowledged_commands_survive_faults_of_five_voters(seed: int) -> None:
    assert log.simulate(100 + seed, "abcde").violations == []


@pytest.mark.parametrize("name", log.DEFECTS)
def test_an_injected_defect_of_the_log_is_found(name: str) -> None:
    """Checks that the exploration can find violations: without this, finding none proves nothing."""
    lines: list[str] = []
    assert log.explore(range(20), name, lines.append)[1] >= 0, name
    assert "WRONG" in lines[-1]
