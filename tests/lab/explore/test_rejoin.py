"""Exploration of drafts under crashes, partitions and one wiped disk at a time, in simulated time."""

import pytest

from lapisgrade.lab.explore import rejoin


def test_no_draft_is_lost_or_merged_twice_and_all_controllers_agree() -> None:
    lines: list[str] = []
    count, seed = rejoin.explore(range(10), print_line=lines.append)
    assert (seed, lines) == (-1, [])
    assert count > 40


@pytest.mark.parametrize("name", rejoin.DEFECTS)
def test_an_injected_defect_of_drafts_is_found(name: str) -> None:
    lines: list[str] = []
    assert rejoin.explore(range(16), name, lines.append)[1] >= 0, name
    assert "WRONG" in lines[-1]
