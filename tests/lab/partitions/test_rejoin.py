"""Merge of edits made on both sides of a partition, with real processes whose links are cut."""

from pathlib import Path
from random import Random

import pytest
from support.loopback_network import LoopbackNetwork

from lapisgrade.lab.partitions import rejoin
from lapisgrade.lab.partitions.fleet import RunCounter


@pytest.mark.parametrize(
    ("seed", "case"), [(100, "cut-off"), (101, "one-way"), (102, "opens-again"), (103, "leader-lost")]
)
async def test_edits_of_both_sides_are_merged_after_a_partition_between_processes(
    seed: int, case: str, loopback_network: LoopbackNetwork, tmp_path: Path
) -> None:
    result = await rejoin.run_case(case, loopback_network.number, str(tmp_path), Random(seed))
    assert (result.violations, result.urgent_failed) == ([], 0)
    assert result.claims > 30


def test_the_checker_of_claims_detects_each_violation() -> None:
    attempts = {"a": rejoin.Attempt(1, "m1", 1.0, 200), "b": rejoin.Attempt(2, "m2", 1.1, 503),
             "c": rejoin.Attempt(2, "m2", 2.0, 200), "d": rejoin.Attempt(3, "m3", 3.0, 504)}  # fmt: skip

    def ran(**started_s: float) -> RunCounter:
        """Return a server's runs: one of each attempt named, at the time given in s."""
        runs = RunCounter()
        for try_id, at_s in started_s.items():
            runs[try_id] += 1
            runs.started_s[try_id] = at_s
        return runs

    assert rejoin.find_violations(attempts, ran(a=1.0), ran(c=2.1)) == []
    assert rejoin.find_violations(attempts, ran(), ran(a=1.0, c=2.1, d=9.0)) == []
    for old, new, violation in (
        (ran(a=1.0, c=2.0), ran(a=1.0), "claim 1: ran 2 times"),
        (ran(a=1.0, b=1.2), ran(c=2.1), "b: answered 503, but a server ran it"),
        (ran(a=1.0), ran(), "c: answered 200, but no server ran it"),
        (
            ran(a=1.0, d=3.1),
            ran(c=2.1),
            "d: used the old route at m3 0.900 s after the first run on the new one",
        ),
    ):
        assert violation in rejoin.find_violations(attempts, old, new)
    assert rejoin.find_violations(attempts, ran(a=1.0, d=3.1), ran(c=2.1), {"m3"}) == []
