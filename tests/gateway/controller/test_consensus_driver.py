"""What the consensus driver does with a step whose committed entry this release can't read."""

import asyncio
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from support.loopback_network import LoopbackNetwork

from lapisgrade.gateway import __main__ as gateway_main
from lapisgrade.gateway.cli.exit_codes import ExitCode
from lapisgrade.gateway.consensus.messages import Entry, RequestVote
from lapisgrade.gateway.consensus.records import DurableWrite, Effects
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver, ConsensusObserver
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.controller.server import Controller
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.errors import UnreadableLogError
from lapisgrade.gateway.local_cluster import LocalCluster

COMMAND_OF_A_LATER_RELEASE = msgspec.msgpack.encode(["?", 1])


class Driven:
    """A driver whose node's next step has a write and a committed entry that can't be read."""

    def __init__(self) -> None:
        self.write = DurableWrite([], [], 8, 1)
        self.effects = [
            Effects(
                writes=[self.write], committed=[Entry(7, 1, COMMAND_OF_A_LATER_RELEASE)], sends=[("b", 1)]
            )
        ]
        self.written: list[DurableWrite] = []
        self.sent: list[tuple[str, object]] = []
        self.errors: list[UnreadableLogError] = []
        self.node = SimpleNamespace(
            address="10.0.0.1:1",
            propose=lambda data, announces_commit: (9, 1),
            take_effects=lambda: self.effects.pop() if self.effects else Effects(),
        )
        self.driver = ConsensusDriver(
            StateMachine(),
            lambda *sent: self.sent.append(sent),
            lambda: 0,
            ControllerMetrics(),
            ConsensusObserver(),
            self.errors.append,
        )
        leader_tasks = SimpleNamespace(on_applied=int, notify_watchers=int)
        self.driver.start(self.node, SimpleNamespace(put=self.written.append), leader_tasks)


def test_a_command_of_a_later_release_loses_no_write_of_the_same_step() -> None:
    """The log counts as durable up to the last write; one that is never written is a hole in it."""
    driven = Driven()
    with pytest.raises(UnreadableLogError):
        driven.driver._carry_out_effects(driven.node)
    assert driven.written == [driven.write]


async def test_a_driver_that_can_not_apply_an_entry_neither_votes_nor_leads_nor_answers() -> None:
    driven = Driven()
    async with asyncio.timeout(0.5):  # below COMMIT_TIMEOUT_S: the outcome is not waited for
        assert await driven.driver.propose(b"") is None
    assert [str(error) for error in driven.errors] == [
        "entry 7 of the log can't be read, a later release wrote it: Invalid value '?' - at `$[0]`"
    ]
    driven.driver.receive(RequestVote(2, "b", "10.0.0.2:1", 8, 1, False))
    driven.driver.on_written([DurableWrite([], [("b", "a vote")], 8, 1)], 8, 1)
    assert not driven.driver.is_leader()
    assert driven.sent == []
    assert driven.written == [driven.write]


async def test_a_controller_ends_at_an_entry_that_it_can_not_apply(
    loopback_network: LoopbackNetwork, tmp_path: Path
) -> None:
    cluster = LocalCluster(1, 1, loopback_network.number, str(tmp_path))
    controller = Controller(cluster.settings("m1"))
    running = asyncio.ensure_future(controller.run())
    await cluster.until(controller.consensus.is_leader)
    assert await controller.consensus.propose(COMMAND_OF_A_LATER_RELEASE) is None
    with pytest.raises(UnreadableLogError, match=r"^entry \d+ of the log can't be read"):
        await running


def test_a_process_that_ends_at_an_unreadable_log_says_so_in_one_line(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def run_role(name: str, path: str | None) -> None:
        raise UnreadableLogError("entry 7 of the log can't be read")

    monkeypatch.setattr(gateway_main, "run_role", run_role)
    assert gateway_main.main(["controller"]) == ExitCode.UNREADABLE_LOG
    assert caplog.messages == ["entry 7 of the log can't be read"]
