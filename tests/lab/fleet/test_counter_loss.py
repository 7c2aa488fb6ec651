"""Several limiters, real and emulated, whose counter is lost, cut off, emptied, split or returns wrong sums.

Units over a quota in any window stay within the bound of docs/design/counter-loss.md. A rate limit is never
exceeded by more than its slack, whatever the counter does (rule 5 of the checker and of the emulator).
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
REQUESTED_UNITS_PER_S = 45  # by each customer: more than either plan allows
MAX_UNITS = 2  # largest cost of an operation; costs are uniform from 1, so their mean is 1.5
# Maximum interval between a limiter's calls of the counter in these runs, and the time-out of a call.
MAX_CALL_INTERVAL_S, CALL_TIMEOUT_S = 1.0, 0.05


def fault(at_s: float, kind: str, for_s: float = 0.0, target: str = "all") -> str:
    """Return the text of a fault in a scenario."""
    return f'[[fault]]\nat_s = {at_s}\nkind = "{kind}"\ntarget = "{target}"\nfor_s = {for_s}\n'


def text(
    *faults: str, seconds: float, limiters: int, customers: int = 6, spread: int = 0, seed: int = 3
) -> str:
    """Return the text of a scenario with these faults; a customer uses all limiters without a `spread`."""
    scenario_text = BASE.format(
        seconds=seconds,
        limiters=limiters,
        customers=customers,
        spread=spread or limiters,
        servers=max(4, limiters // 5),
        rate=customers * REQUESTED_UNITS_PER_S / 1.5,
        seed=seed,
    )
    return scenario_text + "".join(faults)


def bound(rate: float, burst: float, limiters: int) -> ExcessBound:
    """Return the bounds of the excess of a plan whose customers use `limiters` limiters."""
    return ExcessBound(rate, burst, limiters, MAX_UNITS, LOCAL_SHARE_FACTOR, PROBE_INTERVAL_US / 1e6)


def stated_bounds(case: str, seconds: float, limiters: int, duration_s: float) -> dict[str, float]:
    """Return the stated bound of each plan, in units, for a fault that lasts `duration_s`."""
    bounds = {}
    for plan, rate, burst in (("basic", 20, 40), ("pro", 40, 80)):
        plan_bound = bound(rate, burst, limiters)
        bounds[plan] = (
            plan_bound.healthy(seconds, MAX_CALL_INTERVAL_S, CALL_TIMEOUT_S)
            + {
                "lost": plan_bound.cut_off(limiters, duration_s),
                "half": plan_bound.cut_off(limiters // 2, duration_s),
                "emptied": plan_bound.counter_emptied(2),
                "split": plan_bound.counter_split(2, duration_s),
                "lies": plan_bound.cut_off(limiters, duration_s),
            }[case]
        )
    return bounds


FAULTS = {
    "lost": (fault(1, "surge", 3) + "factor = 2\n", fault(2, "counter_lost", 2)),  # during a surge
    "half": (fault(2, "counter_cut", 2, "0-1"),),
    "emptied": (fault(2, "counter_swap"), fault(3, "counter_restart")),
    # a limiter restarts during the split
    "split": (fault(1.5, "counter_split", 2.5), fault(2, "limiter_kill", 0.3, "0")),
    "lies": (fault(1.5, "counter_stale", 1), fault(3, "counter_spoilt", 1)),
}
DURATIONS_S = {"lost": 2, "half": 2, "emptied": 0, "split": 2.5, "lies": 3.5}


@pytest.mark.parametrize("case", list(FAULTS))
def test_processes_keep_the_bound_and_every_rate_limit(case, tmp_path):
    scenario_text = text(*FAULTS[case], seconds=5.5, limiters=4)
    parsed = scenario.parse(scenario_text, "loss.toml")
    files = asyncio.run(test_bed.run(parsed, scenario_text, "loss.toml", tmp_path))
    findings = checker.check(history.merged(files))
    assert findings.ok, findings.breaches[:5]
    assert findings.ends["finished"] > 200
    assert set(findings.quotas) == {"basic", "pro"}
    for plan, limit in stated_bounds(case, 5.5, 4, DURATIONS_S[case]).items():
        assert findings.quotas[plan]["over_worst"] <= limit, (plan, limit, findings.quotas[plan])


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
    findings = World(scenario.parse(scenario_text, "loss.toml")).run()
    assert not findings.broken, findings.breaches[:3]
    basic, pro = stated_bounds(case, 14, spread, 6).values()
    assert findings.quotas["over_worst"] <= max(basic, pro), findings.quotas
