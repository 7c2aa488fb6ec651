"""Cached owners of counts across memberships."""

from random import Random

from lapisgrade.gateway.quota.ownership import OwnerTable, owner_of


def test_cached_owners_match_owner_of_across_memberships() -> None:
    tenants = [f"tenant-{i}" for i in range(60)]
    for seed in range(20):
        random, table = Random(seed), OwnerTable()
        names = {f"edge-{i}" for i in range(40)}
        for step in range(30):
            table.update(names)
            for tenant in random.sample(tenants, 40):
                assert table.owner(tenant) == owner_of(tenant, names), f"{seed} {step}"
            leaving = random.sample(sorted(names), min(len(names), random.choice((0, 1, 10, 80))))
            joining = random.sample(range(80), random.choice((0, 1, 10, 60)))
            names = names.difference(leaving) | {f"edge-{i}" for i in joining}


def test_no_proxy_owns_a_count_without_live_proxies() -> None:
    assert OwnerTable().owner("t") == ""
