"""The bound on the units that all proxies together admit (the QUOTA guarantee), in simulated time."""

from random import Random

import pytest
from support.quota_simulation import SECOND, SLO, QuotaSimulation, SimulatedProxy, live_proxies

from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.client import unreported_allowance
from lapisgrade.gateway.quota.epochs import MembershipUpdate
from lapisgrade.gateway.quota.ownership import owner_of


@pytest.mark.parametrize("proxies", [1, 3, 14])
def test_a_tenant_within_its_quota_is_not_rejected(proxies: int):
    simulation = QuotaSimulation(proxies)
    simulation.run(3, 38)
    simulation.rejected = 0
    simulation.run(15, 38)
    assert simulation.rejected <= 3


def test_a_small_tenant_at_many_proxies_is_not_rejected():
    simulation = QuotaSimulation(96, 8.0, 8.0)
    simulation.run(6, 5)
    simulation.rejected = 0
    simulation.run(30, 5)
    assert simulation.rejected <= 3


def test_only_the_probing_request_waits_for_an_unresponsive_owner():
    simulation = QuotaSimulation(3)
    simulation.run(8, 30)
    proxy = next(each for each in simulation.proxies.values() if not each.quota_owner.owns("t"))
    proxy.is_isolated = True
    simulation.run(1.5, 30, [proxy.name])
    simulation.run(1.0, 60, [proxy.name])
    assert len(proxy.quota_client.pending) <= 1


@pytest.mark.parametrize("proxies", [1, 14, 96])
def test_the_bound_holds_and_the_quota_is_used_under_overload(proxies: int):
    simulation = QuotaSimulation(proxies)
    simulation.run(12, 300)  # requests per second: eight times the usual 38, five times the limit
    assert simulation.max_admitted() <= simulation.bound
    assert len(simulation.admitted_us) > 0.85 * 60 * 12


@pytest.mark.parametrize("isolated", [7, 14])
def test_the_bound_holds_when_half_or_all_proxies_reach_no_owner(isolated: int):
    simulation = QuotaSimulation(14)
    simulation.run(6, 300)
    for name in simulation.names[:isolated]:
        simulation.proxies[name].is_isolated = True
    simulation.run(8, 300)
    for proxy in simulation.proxies.values():
        proxy.is_isolated = False
    simulation.run(6, 300)
    assert simulation.max_admitted() <= simulation.bound


def test_the_bound_holds_through_hand_overs_and_mass_restarts():
    simulation = QuotaSimulation(14)
    for index in range(6):
        simulation.run(1.5, 300)
        killed = {owner_of("t", live_proxies(simulation.names)), simulation.names[index]}
        for name in killed:
            simulation.proxies.pop(name, None)
        simulation.update_members([name for name in simulation.names if name in simulation.proxies])
        simulation.run(1.0, 300)
        for name in killed:
            simulation.proxies[name] = SimulatedProxy(simulation, name)
        simulation.update_members(simulation.names)
    assert simulation.max_admitted() <= simulation.bound


def restart_all_proxies(
    simulation: QuotaSimulation, down_s: float, until_update_s: float, lists_old_incarnations: bool = True
) -> None:
    """Kill and restart all processes; each receives the old membership first and the new one later.

    Args:
        simulation: The simulation.
        down_s: Time in s without any process.
        until_update_s: Time in s from the restart until the processes receive the old membership.
        lists_old_incarnations: Whether that membership lists the killed processes, not their successors.
    """
    old_incarnations = dict(simulation.incarnations)
    simulation.proxies.clear()
    simulation.events.clear()
    simulation.now += int(down_s * SECOND)
    simulation.incarnations = {name: old_incarnations.get(name, 0) + 1 for name in simulation.names}
    simulation.proxies = {name: SimulatedProxy(simulation, name) for name in simulation.names}
    simulation.run(until_update_s, 300)
    for proxy in simulation.proxies.values():
        proxy.quota_owner.update_members(
            simulation.now,
            MembershipUpdate(
                simulation.fencing_token,
                live_proxies(
                    simulation.names, old_incarnations if lists_old_incarnations else simulation.incarnations
                ),
            ),
        )
    simulation.run(0.15, 300)
    simulation.update_members(simulation.names)


def test_the_bound_holds_when_all_proxies_are_killed_repeatedly():
    for seed in range(8):
        simulation = QuotaSimulation(14, seed=seed)
        random = Random(seed)
        for _ in range(4):
            simulation.run(random.random() * 3, 300)
            restart_all_proxies(simulation, random.random(), random.random())
        simulation.run(6, 300)
        assert simulation.max_admitted() <= simulation.bound, f"seed {seed}"


def test_after_all_proxies_were_killed_the_refill_since_the_start_is_available_at_once():
    """Guards against rejecting clients that return at once after a restart of all proxies.

    If the first membership lists the earlier incarnations, no other proxy can have used the refill.
    """
    admitted_counts = []
    for lists_old_incarnations in (True, False):
        simulation = QuotaSimulation(14, 96.0, 96.0)
        simulation.run(4, 60)
        count_before = len(simulation.admitted_us)
        restart_all_proxies(simulation, 0.5, 0.8, lists_old_incarnations)
        simulation.run(0.5, 300)
        admitted_counts.append(len(simulation.admitted_us) - count_before)
    assert admitted_counts[0] > 1.5 * admitted_counts[1]


def test_a_proxy_that_never_reached_the_owner_admits_nothing():
    simulation = QuotaSimulation(2)
    for proxy in simulation.proxies.values():
        proxy.is_isolated = True
    simulation.run(3, 20)
    assert simulation.admitted_us == []


def test_a_lowered_limit_takes_effect():
    simulation = QuotaSimulation(3)
    simulation.run(4, 300)
    simulation.tenant = Tenant("t", ("k",), None, 20.0, 20.0)
    for proxy in simulation.proxies.values():
        proxy.quota_client.set_limit(simulation.tenant)
    simulation.run(5, 300)
    simulation.admitted_us.clear()
    simulation.run(8, 300)
    assert simulation.max_admitted() <= simulation.bound


def test_the_unreported_allowance_is_as_documented():
    # Allowed: (60 x 5 + 60) x 1.1 + 20 = 396 + 20. Granted by the owner: 60 + 60 x 5, and 60 x 0.25 late,
    # in all 375. The rest is divided among 14 proxies.
    assert unreported_allowance(SLO, 60.0, 60.0, 14) == pytest.approx((396 + 20 - 375) / 14, abs=5e-8)
