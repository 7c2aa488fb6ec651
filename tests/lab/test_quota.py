"""Quotas over the whole fleet, emulated, against the bound of docs/design.md; and how they are measured."""

import math

import pytest

from lapisgrade.lab import quota
from lapisgrade.lab.emulator import scenario
from lapisgrade.lab.emulator.world import World

SECOND = 1_000_000
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


def play(limiters: int, demand: float, seconds: int = 30, seed: int = 1):
    text = SPREAD.format(limiters=limiters, rate=4 * 20 * demand / 1.5, seconds=seconds, seed=seed)
    return World(scenario.parse(text, "spread.toml")).run()


def bound(limiters: int, seconds: int, calls: int, rate: float = 20, burst: float = 40) -> float:
    """The most over of docs/design.md, with the mean time between two looks of a limiter for the longest."""
    lives = limiters * 4 * seconds / calls * rate / burst
    return 2 + rate * 0.003 + (rate * seconds + burst) * (math.expm1(lives) / lives - 1)


@pytest.mark.parametrize("limiters", [1, 3, 10, 40])
@pytest.mark.parametrize("demand", [0.8, 1.5, 5.0])
def test_quotas_do_not_leak_with_the_number_of_limiters(limiters, demand):
    got = play(limiters, demand)
    assert got.broken == 0
    assert got.ends["lost"] == 0
    assert got.quotas["over_share"] <= 0.05, got.quotas
    assert got.quotas["over_worst"] <= bound(limiters, 30, got.counter_calls)
    assert got.quotas["short_share"] <= 0.03, got.quotas


def test_the_excess_does_not_grow_over_many_counter_keys():
    got = play(10, 1.5, seconds=200)
    assert got.quotas["over_worst"] <= 0.02 * 200 * 20, got.quotas
    assert got.quotas["short_share"] <= 0.02, got.quotas


def test_a_customer_of_one_limiter_loses_nothing_when_its_counter_key_changes():
    got = play(1, 1.5, seconds=100)
    assert got.quotas["short_share"] <= 0.005, got.quotas


def test_the_worst_window_is_found_whatever_its_length():
    each = quota.Quota(10.0, 5.0, 0)
    for at_s in (0, 1, 2, 3):  # 12 a second: each second two more than the rate
        each.on_admission(12, at_s * SECOND)
    assert each.max_excess == pytest.approx(4 * 12 - 3 * 10 - 5)
    each.on_admission(1, 100 * SECOND)  # long idle: the worst stays the worst
    assert each.max_excess == pytest.approx(13)
    assert each.admitted == 49
    assert each.within_quota == 1


def test_the_shortfall_is_what_a_single_bucket_would_have_admitted():
    each = quota.Quota(1.0, 4.0, 0)
    for _ in range(3):
        each.on_arrival(2, 0)
    each.on_admission(2, 0)
    assert each.entitled == 4
    assert each.shortfall == 2
    assert quota.summary([each], 10)["short_share"] == pytest.approx(0.2)
    assert quota.summary([], 10)["over_worst"] == 0
