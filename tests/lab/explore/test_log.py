"""The exploration of the consensus log: what was acknowledged outlives kills, cuts and an emptied disk."""

import pytest

from lapisgrade.lab.explore import log


@pytest.mark.parametrize("seed", range(30))
def test_what_was_acknowledged_outlives_kills_cuts_and_one_emptied_disk(seed: int) -> None:
    cluster = log.simulate(seed)
    assert cluster.violations == []
    assert len(cluster.nodes[cluster.leader()].voters) == 3


@pytest.mark.parametrize("seed", range(8))
def test_five_voters(seed: int) -> None:
    assert log.simulate(100 + seed, "abcde").violations == []


@pytest.mark.parametrize("name", log.DEFECTS)
def test_known_defects_are_found(name: str) -> None:
    """Guards the exploration itself."""
    said: list[str] = []
    assert log.explore(range(20), name, said.append)[1] >= 0, name
    assert "WRONG" in said[-1]
