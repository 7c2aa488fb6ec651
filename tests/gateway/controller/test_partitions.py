"""The control plane's worst days with real processes: a leader cut off both ways and one way, killed or
emptied right after an acknowledgement, a member that was away. In short; `lapisgrade lab line control` plays
them in full.
"""

from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest
from support.loopback_network import LoopbackNetwork

from lapisgrade.lab.partitions import control

PART = 0.12  # of the long cuts and of the hundreds of changes


Played = Callable[[str], Awaitable[control.Found]]


@pytest.fixture
def played(loopback_network: LoopbackNetwork, tmp_path: Path) -> Played:
    """Plays one case, and checks what holds for each."""

    async def play_case(case: str) -> control.Found:
        found = await control.play(case, loopback_network.number, str(tmp_path), Random(7), PART)
        assert found.wrong == []
        assert found.acknowledged > 10
        assert found.reads > 10
        return found

    return play_case


async def test_a_partitioned_leader_acknowledges_nothing_and_the_others_go_on(played: Played) -> None:
    found = await played("cut")
    assert found.longest_wait < control.WITHIN


async def test_a_leader_whose_messages_are_lost(played: Played) -> None:
    await played("cut one way, not heard")


async def test_a_leader_that_receives_no_messages(played: Played) -> None:
    await played("cut one way, hears nobody")


async def test_a_leader_killed_right_after_an_acknowledgement(played: Played) -> None:
    await played("killed right after")


async def test_a_leader_that_loses_its_disk_right_after_an_acknowledgement(played: Played) -> None:
    await played("emptied right after")


async def test_a_member_that_was_down_catches_up_and_leads(played: Played) -> None:
    found = await played("away")
    assert found.caught_up < control.WITHIN
