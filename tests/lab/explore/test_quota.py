"""Exploration of quotas: no seed exceeds the bound, and injected defects are found."""

import pytest

from lapisgrade.lab.explore import quota, quota_defects


def test_no_window_admits_more_requests_than_the_quota_allows():
    """Seeds 59 and 384 had a violation when an owner ignored lists of live proxies that it had missed, and
    leases that other owners had granted."""
    worlds = [quota.World(seed).run() for seed in (59, 384, *range(12))]
    assert [world.transcript() for world in worlds if world.has_violation] == []
    assert max(world.max_admitted / world.max_allowed for world in worlds) > 0.7


@pytest.mark.parametrize(("name", "seed_count"), quota_defects.SEEDS_TO_FIND.items())
def test_an_injected_defect_of_the_quota_is_found(name: str, seed_count: int) -> None:
    lines: list[str] = []
    _, seed = quota.explore(range(seed_count), name, lines.append)
    assert seed >= 0, name
    assert "WRONG" in lines[-1]
