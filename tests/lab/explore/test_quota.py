"""The exploration of quotas: no seed breaks the bound, and known defects are found."""

import pytest

from lapisgrade.lab.explore import quota, quota_defects


def test_explored_no_window_sees_more_than_is_allowed():
    """59 and 384 broke the rule before an owner knew of lists of live proxies that it had missed and of
    leases that were not its own."""
    worlds = [quota.World(seed).run() for seed in (59, 384, *range(12))]
    assert [world.transcript() for world in worlds if world.is_wrong] == []
    assert max(world.max_admitted / world.max_allowed for world in worlds) > 0.7


@pytest.mark.parametrize(("name", "seeds"), quota_defects.FOUND_WITHIN.items())
def test_each_known_defect_is_found(name: str, seeds: int) -> None:
    lines: list[str] = []
    _, seed = quota.explore(range(seeds), name, lines.append)
    assert seed >= 0, name
    assert "WRONG" in lines[-1]
