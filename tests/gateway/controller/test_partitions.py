"""The control plane's worst days with real processes: a leader cut off both ways and one way, killed or
emptied right after an acknowledgement, a member that was away. In short; `lapisgrade lab line control` plays
them in full.
"""

import tempfile
from random import Random

from support.loopback_network import reserve_loopback_network

from lapisgrade.lab.partitions import control
from lapisgrade.lab.partitions.control import play

PART = 0.12  # of the long cuts and of the hundreds of changes


async def played(case: str) -> control.Found:
    with tempfile.TemporaryDirectory() as folder, reserve_loopback_network() as network:
        found = await play(case, network.number, folder, Random(7), PART)
    assert found.wrong == []
    assert found.acknowledged > 10
    assert found.reads > 10
    return found


async def test_a_partitioned_leader_acknowledges_nothing_and_the_others_go_on() -> None:
    found = await played("cut")
    assert found.longest_wait < control.WITHIN


async def test_a_leader_whose_messages_are_lost() -> None:
    await played("cut one way, not heard")


async def test_a_leader_that_receives_no_messages() -> None:
    await played("cut one way, hears nobody")


async def test_a_leader_killed_right_after_an_acknowledgement() -> None:
    await played("killed right after")


async def test_a_leader_that_loses_its_disk_right_after_an_acknowledgement() -> None:
    await played("emptied right after")


async def test_a_member_that_was_down_catches_up_and_leads() -> None:
    found = await played("away")
    assert found.caught_up < control.WITHIN
