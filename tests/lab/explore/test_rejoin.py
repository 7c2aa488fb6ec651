"""The exploration of drafts, under kills, cuts and one emptied disk at a time, in simulated time."""

import pytest

from lapisgrade.lab.explore import rejoin


def test_no_draft_is_lost_or_merged_twice_and_all_controllers_come_to_the_same() -> None:
    said: list[str] = []
    count, seed = rejoin.explore(range(10), print_line=said.append)
    assert (seed, said) == (-1, [])
    assert count > 40


@pytest.mark.parametrize("name", rejoin.DEFECTS)
def test_known_defects_are_found(name: str) -> None:
    said: list[str] = []
    assert rejoin.explore(range(16), name, said.append)[1] >= 0, name
    assert "WRONG" in said[-1]
