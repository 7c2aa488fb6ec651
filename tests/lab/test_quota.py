"""Excess over quotas in emulated fleets, compared with the bound in docs/design.md; and its measurement."""

import math

import pytest

from lapisgrade.lab import quota
from lapisgrade.lab.emulator import scenario
from lapisgrade.lab.emulator.world import World

SECOND = 1_000_000  # us
SPREAD = """
[run]
seconds = {seconds}
limiters = {limiters}
servers = 12
customers = 4
rate = {rate}
spread = {limiters}
skew = 0
seed = {seed}
[servers]
capacity = 400
[clients]
retry_share = 0
leave_share = 0
[[plan]]
rate = 20
burst = 40
"""


def run_fleet(limiters: int, demand: float, seconds: int = 30, seed: int = 1):
    """Run four customers with a quota of 20 units/s each; `demand` is their load as a multiple of it."""
    text = SPREAD.format(limiters=limiters, rate=4 * 20 * demand / 1.5, seconds=seconds, seed=seed)
    return World(scenario.parse(text, "spread.toml")).run()


def bound(limiters: int, seconds: int, calls: int, rate: float = 20, burst: float = 40) -> float:
    """Return the bound of docs/design.md in units, for the four customers of SPREAD.

    The longest time between two calls of a limiter isn't measured; their mean stands for it. An operation
    costs at most 2 units, and the counter responds within 3 ms.
    """
    decays = limiters * 4 * seconds / calls * rate / burst
    return 2 + rate * 0.003 + (rate * seconds + burst) * (math.expm1(decays) / decays - 1)


@pytest.mark.parametrize("limiters", [1, 3, 10, 40])
@pytest.mark.parametrize("demand", [0.8, 1.5, 5.0])
def test_excess_and_shortfall_stay_within_their_bounds_for_any_number_of_limiters(limiters, demand):
    result = run_fleet(limiters, demand)
    assert result.broken == 0
    assert result.ends["lost"] == 0
    assert result.quotas["over_share"] <= 0.05, result.quotas
    assert result.quotas["over_worst"] <= bound(limiters, 30, result.counter_calls)
    assert result.quotas["short_share"] <= 0.03, result.quotas


def test_the_excess_does_not_grow_over_many_counter_keys():
    result = run_fleet(10, 1.5, seconds=200)
    assert result.quotas["over_worst"] <= 0.02 * 200 * 20, result.quotas
    assert result.quotas["short_share"] <= 0.02, result.quotas


def test_a_customer_of_one_limiter_loses_nothing_when_its_counter_key_changes():
    result = run_fleet(1, 1.5, seconds=100)
    assert result.quotas["short_share"] <= 0.005, result.quotas


def test_max_excess_is_the_maximum_over_windows_of_any_length():
    usage = quota.Quota(10.0, 5.0, 0)
    for at_s in (0, 1, 2, 3):  # 12 units per second, two more than the rate
        usage.on_admission(12, at_s * SECOND)
    assert usage.max_excess == pytest.approx(4 * 12 - 3 * 10 - 5)
    usage.on_admission(1, 100 * SECOND)  # after a long idle time the maximum remains
    assert usage.max_excess == pytest.approx(13)
    assert usage.admitted == 49
    assert usage.within_quota == 1


def test_the_shortfall_is_what_a_single_bucket_would_have_admitted():
    usage = quota.Quota(1.0, 4.0, 0)
    for _ in range(3):
        usage.on_arrival(2, 0)
    usage.on_admission(2, 0)
    assert usage.entitled == 4
    assert usage.shortfall == 2
    assert quota.summary([usage], 10)["short_share"] == pytest.approx(0.2)
    assert quota.summary([], 10)["over_worst"] == 0
