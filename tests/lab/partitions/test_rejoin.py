"""The rejoin with real processes whose links are cut."""

from pathlib import Path
from random import Random

import pytest
from support.loopback_network import LoopbackNetwork

from lapisgrade.lab.partitions import rejoin
from lapisgrade.lab.partitions.fleet import RunCounter


@pytest.mark.parametrize(
    ("seed", "case"), [(100, "cut-off"), (101, "one-way"), (102, "opens-again"), (103, "leader-lost")]
)
async def test_links_cut_between_processes_and_one_route_that_keeps_both(
    seed: int, case: str, loopback_network: LoopbackNetwork, tmp_path: Path
) -> None:
    found = await rejoin.run_case(case, loopback_network.number, str(tmp_path), Random(seed))
    assert (found.violations, found.urgent_failed) == ([], 0)
    assert found.claims > 30


def test_the_checker_of_claims_detects_each_violation() -> None:
    tries = {"a": rejoin.Try(1, "m1", 1.0, 200), "b": rejoin.Try(2, "m2", 1.1, 503),
             "c": rejoin.Try(2, "m2", 2.0, 200), "d": rejoin.Try(3, "m3", 3.0, 504)}  # fmt: skip

    def ran(**at: float) -> RunCounter:
        made = RunCounter()
        for name, when in at.items():
            made[name] += 1
            made.at[name] = when
        return made

    assert rejoin.breaches(tries, ran(a=1.0), ran(c=2.1)) == []
    assert rejoin.breaches(tries, ran(), ran(a=1.0, c=2.1, d=9.0)) == []
    for old, new, wrong in (
        (ran(a=1.0, c=2.0), ran(a=1.0), "claim 1: ran 2 times"),
        (ran(a=1.0, b=1.2), ran(c=2.1), "b: answered 503, and ran"),
        (ran(a=1.0), ran(), "c: answered 200, and nobody ran it"),
        (ran(a=1.0, d=3.1), ran(c=2.1), "d: by the old route at m3, 0.900 s late"),
    ):
        assert wrong in rejoin.breaches(tries, old, new)
    assert rejoin.breaches(tries, ran(a=1.0, d=3.1), ran(c=2.1), {"m3"}) == []
