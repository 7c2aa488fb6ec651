"""Failures of controllers with real processes.

A leader is partitioned in both directions and in one, or is killed or loses its disk right after an
acknowledgement, and a member is down during many changes. The cases are shortened here;
`lapisgrade lab line control` runs them in full.
"""

from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest
from support.loopback_network import LoopbackNetwork

from lapisgrade.lab.partitions import control

SCALE = 0.12  # factor for the duration of the long partitions and for the hundreds of changes

RunCase = Callable[[str], Awaitable[control.CaseResult]]


@pytest.fixture
def run_case(loopback_network: LoopbackNetwork, tmp_path: Path) -> RunCase:
    """Return a function that runs one case, and checks the results that all cases must have."""

    async def run(case: str) -> control.CaseResult:
        result = await control.run_case(case, loopback_network.number, str(tmp_path), Random(7), SCALE)
        assert result.violations == []
        assert result.acknowledged > 10
        assert result.reads > 10
        return result

    return run


async def test_a_partitioned_leader_acknowledges_nothing_and_the_others_continue(
    run_case: RunCase,
) -> None:
    result = await run_case("cut")
    assert result.max_latency_s < control.STEP_TIMEOUT_S


async def test_the_history_is_linearizable_when_a_leaders_messages_are_lost(run_case: RunCase) -> None:
    await run_case("cut one way, not heard")


async def test_the_history_is_linearizable_when_a_leader_receives_no_messages(run_case: RunCase) -> None:
    await run_case("cut one way, hears nobody")


async def test_an_acknowledged_change_survives_a_kill_of_the_leader(run_case: RunCase) -> None:
    await run_case("killed right after")


async def test_an_acknowledged_change_survives_the_loss_of_the_leaders_disk(run_case: RunCase) -> None:
    await run_case("emptied right after")


async def test_a_member_that_was_down_catches_up_and_leads(run_case: RunCase) -> None:
    result = await run_case("away")
    assert result.catch_up_s < control.STEP_TIMEOUT_S
