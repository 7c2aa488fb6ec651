"""Several limiters, as processes and emulated, whose counter is lost, cut off, emptied, split or lies.

Units over a quota, over any window, are held to the bound of docs/design/counter-loss.md; a hard ceiling is
never passed by more than its slack, whatever the counter does (the checker's rule 5, the emulator's too).
"""

import asyncio

import pytest

from lapisgrade.lab.emulator import scenario
from lapisgrade.lab.emulator.world import World
from lapisgrade.lab.fleet import checker, history, test_bed
from lapisgrade.lab.quota import ExcessBound
from lapisgrade.policy.account import LOCAL_SHARE_FACTOR
from lapisgrade.policy.counter_breaker import PROBE_INTERVAL_US

BASE = """
[run]
name = "loss"
seconds = {seconds}
limiters = {limiters}
servers = {servers}
customers = {customers}
rate = {rate}
spread = {spread}
skew = 0
seed = {seed}
[servers]
capacity = 400
median_ms = 10
[clients]
retry_share = 0
leave_share = 0
[[category]]
name = "read"
hard_stop_ms = 1000
[[plan]]
name = "basic"
rate = 20
burst = 40
[[plan]]
name = "pro"
rate = 40
burst = 80
ceiling_rate = 50
ceiling_burst = 100
ceiling_slack = 10
"""
ASKED = 45  # units a second that each customer asks for: more than either plan allows
UNITS = 2
LOOK_S, ANSWER_S = 1.0, 0.05  # the longest between two looks that the plays here come to; the calls' time-out


def fault(at_s: float, kind: str, for_s: float = 0.0, target: str = "all") -> str:
    return f'[[fault]]\nat_s = {at_s}\nkind = "{kind}"\ntarget = "{target}"\nfor_s = {for_s}\n'


def text(
    *faults: str, seconds: float, limiters: int, customers: int = 6, spread: int = 0, seed: int = 3
) -> str:
    made = BASE.format(
        seconds=seconds,
        limiters=limiters,
        customers=customers,
        spread=spread or limiters,
        servers=max(4, limiters // 5),
        rate=customers * ASKED / 1.5,
        seed=seed,
    )
    return made + "".join(faults)


def bound(rate: float, burst: float, limiters: int) -> ExcessBound:
    return ExcessBound(rate, burst, limiters, UNITS, LOCAL_SHARE_FACTOR, PROBE_INTERVAL_US / 1e6)


def most(case: str, seconds: float, limiters: int, lasts: float) -> dict[str, float]:
    """The stated bound of each plan, for a case that lasts so long."""
    made = {}
    for plan, rate, burst in (("basic", 20, 40), ("pro", 40, 80)):
        each = bound(rate, burst, limiters)
        made[plan] = (
            each.healthy(seconds, LOOK_S, ANSWER_S)
            + {
                "lost": each.cut_off(limiters, lasts),
                "half": each.cut_off(limiters // 2, lasts),
                "emptied": each.counter_emptied(2),
                "split": each.counter_split(2, lasts),
                "lies": each.cut_off(limiters, lasts),
            }[case]
        )
    return made


PLAYS = {
    "lost": (fault(1, "surge", 3) + "factor = 2\n", fault(2, "counter_lost", 2)),  # at the peak of a surge
    "half": (fault(2, "counter_cut", 2, "0-1"),),
    "emptied": (fault(2, "counter_swap"), fault(3, "counter_restart")),
    # a limiter restarts in the midst of it
    "split": (fault(1.5, "counter_split", 2.5), fault(2, "limiter_kill", 0.3, "0")),
    "lies": (fault(1.5, "counter_stale", 1), fault(3, "counter_spoilt", 1)),
}
LASTS = {"lost": 2, "half": 2, "emptied": 0, "split": 2.5, "lies": 3.5}


@pytest.mark.parametrize("case", list(PLAYS))
def test_processes_keep_the_bound_and_every_rate_limit(case, tmp_path):
    scenario_text = text(*PLAYS[case], seconds=5.5, limiters=4)
    parsed = scenario.parse(scenario_text, "loss.toml")
    files = asyncio.run(test_bed.run(parsed, scenario_text, "loss.toml", tmp_path))
    got = checker.check(history.merged(files))
    assert got.ok, got.breaches[:5]
    assert got.ends["finished"] > 200
    assert set(got.quotas) == {"basic", "pro"}
    for plan, worst in most(case, 5.5, 4, LASTS[case]).items():
        assert got.quotas[plan]["over_worst"] <= worst, (plan, worst, got.quotas[plan])


@pytest.mark.parametrize("case", ["lost", "half", "emptied", "split"])
@pytest.mark.parametrize("limiters", [10, 100, 1000])
def test_emulated_fleets_keep_the_bound_at_scale(case, limiters):
    faults = {
        "lost": fault(5, "counter_lost", 6),
        "half": fault(5, "counter_cut", 6, f"0-{limiters // 2 - 1}"),
        "emptied": fault(5, "counter_restart") + fault(6, "counter_restart"),
        "split": fault(5, "counter_split", 6),
    }[case]
    spread = min(limiters, 20)
    scenario_text = text(faults, seconds=14, limiters=limiters, spread=spread)
    got = World(scenario.parse(scenario_text, "loss.toml")).run()
    assert not got.broken, got.breaches[:3]
    basic, pro = most(case, 14, spread, 6).values()
    assert got.quotas["over_worst"] <= max(basic, pro), got.quotas
