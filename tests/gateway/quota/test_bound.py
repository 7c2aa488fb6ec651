"""What all proxies together admit, against the stated bound, in simulated time."""

from random import Random

import pytest

from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.client import unreported_allowance
from lapisgrade.gateway.quota.epochs import MembershipUpdate
from lapisgrade.gateway.quota.ownership import owner_of
from support.quota_simulation import SECOND, SLO, Proxy, World, live_proxies


def test_a_tenant_inside_its_quota_is_not_refused(subtests: pytest.Subtests):
    for proxies in (1, 3, 14):
        with subtests.test(proxies=proxies):
            world = World(proxies)
            world.run(3, 38)
            world.refused = 0
            world.run(15, 38)
            assert world.refused <= 3


def test_a_small_tenant_of_many_limiters_is_not_refused():
    world = World(96, 8.0, 8.0)
    world.run(6, 5)
    world.refused = 0
    world.run(30, 5)
    assert world.refused <= 3


def test_only_the_probing_request_waits_for_an_unresponsive_count():
    world = World(3)
    world.run(8, 30)
    one = next(each for each in world.proxies.values() if not each.quota_owner.owns("t"))
    one.dark = True
    world.run(1.5, 30, [one.name])
    world.run(1.0, 60, [one.name])
    assert len(one.quota_client.pending) <= 1


def test_the_bound_holds_at_eight_times_the_usual_and_the_quota_is_used(subtests: pytest.Subtests):
    for proxies in (1, 14, 96):
        with subtests.test(proxies=proxies):
            world = World(proxies)
            world.run(12, 300)
            assert world.worst() <= world.bound
            assert len(world.let) > 0.85 * 60 * 12


def test_the_bound_holds_when_half_or_all_proxies_reach_no_owner(subtests: pytest.Subtests):
    for dark in (7, 14):
        with subtests.test(dark=dark):
            world = World(14)
            world.run(6, 300)
            for name in world.names[:dark]:
                world.proxies[name].dark = True
            world.run(8, 300)
            for each in world.proxies.values():
                each.dark = False
            world.run(6, 300)
            assert world.worst() <= world.bound


def test_the_bound_holds_through_hand_overs_and_mass_restarts():
    world = World(14)
    for turn in range(6):
        world.run(1.5, 300)
        gone = {owner_of("t", live_proxies(world.names)), world.names[turn]}
        for name in gone:
            world.proxies.pop(name, None)
        world.tell([name for name in world.names if name in world.proxies])
        world.run(1.0, 300)
        for name in gone:
            world.proxies[name] = Proxy(world, name)
        world.tell(world.names)
    assert world.worst() <= world.bound


def all_killed(world: World, down: float, until_told: float, heirs: bool = True) -> None:
    """Every process dies, is started again, and is told the old list of live proxies first, then the new
    one."""
    old = dict(world.lives)
    world.proxies.clear()
    world.events.clear()
    world.now += int(down * SECOND)
    world.lives = {name: old.get(name, 0) + 1 for name in world.names}
    world.proxies = {name: Proxy(world, name) for name in world.names}
    world.run(until_told, 300)
    for each in world.proxies.values():
        each.quota_owner.update_members(
            world.now,
            MembershipUpdate(world.fence, live_proxies(world.names, old if heirs else world.lives)),
        )
    world.run(0.15, 300)
    world.tell(world.names)


def test_the_bound_holds_when_all_are_killed_repeatedly():
    for seed in range(8):
        world = World(14, seed=seed)
        chance = Random(seed)
        for _ in range(4):
            world.run(chance.random() * 3, 300)
            all_killed(world, chance.random(), chance.random())
        world.run(6, 300)
        assert world.worst() <= world.bound, f"seed {seed}"


def test_after_all_were_killed_the_refill_since_the_start_is_available_at_once():
    """Guards those who come back: their requests of a second meet a count that was nobody else's."""
    served = []
    for heirs in (True, False):
        world = World(14, 96.0, 96.0)
        world.run(4, 60)
        before = len(world.let)
        all_killed(world, 0.5, 0.8, heirs)
        world.run(0.5, 300)
        served.append(len(world.let) - before)
    assert served[0] > 1.5 * served[1]


def test_a_proxy_that_never_reached_the_count_admits_nothing():
    world = World(2)
    for each in world.proxies.values():
        each.dark = True
    world.run(3, 20)
    assert world.let == []


def test_a_lowered_limit_takes_effect():
    world = World(3)
    world.run(4, 300)
    world.tenant = Tenant("t", ("k",), None, 20.0, 20.0)
    for each in world.proxies.values():
        each.quota_client.set_limit(world.tenant)
    world.run(5, 300)
    world.let.clear()
    world.run(8, 300)
    assert world.worst() <= world.bound


def test_the_unreported_allowance_is_as_documented():
    # (60 x 5 + 60) x 1.1 + 20 - 60 - 300 - 15, among 14
    assert unreported_allowance(SLO, 60.0, 60.0, 14) == pytest.approx((396 + 20 - 375) / 14, abs=5e-8)
