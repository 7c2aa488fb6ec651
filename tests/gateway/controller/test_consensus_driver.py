"""How the consensus driver handles a committed entry that this release can't decode."""

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

LATER_RELEASE_COMMAND = msgspec.msgpack.encode(["?", 1])


class DriverFixture:
    """A driver whose node's next step has a write and a committed entry that can't be decoded."""

    def __init__(self) -> None:
        self.write = DurableWrite([], [], 8, 1)
        self.effects = [
            Effects(writes=[self.write], committed=[Entry(7, 1, LATER_RELEASE_COMMAND)], sends=[("b", 1)])
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
        leader_tasks = SimpleNamespace(on_applied=int, notify_watchers=int)  # `int()` has no effect
        self.driver.start(self.node, SimpleNamespace(put=self.written.append), leader_tasks)


def test_undecodable_command_does_not_discard_writes_of_the_same_step() -> None:
    """The log counts as durable up to the last write, so a discarded write would leave a hole in it."""
    fixture = DriverFixture()
    with pytest.raises(UnreadableLogError):
        fixture.driver._carry_out_effects(fixture.node)
    assert fixture.written == [fixture.write]


async def test_driver_stops_voting_leading_and_replying_after_an_undecodable_entry() -> None:
    fixture = DriverFixture()
    async with asyncio.timeout(0.5):  # below COMMIT_TIMEOUT_S: the proposal fails without waiting
        assert await fixture.driver.propose(b"") is None
    assert [str(error) for error in fixture.errors] == [
        "cannot decode log entry 7, which a later release has written: Invalid value '?' - at `$[0]`"
    ]
    fixture.driver.receive(RequestVote(2, "b", "10.0.0.2:1", 8, 1, False))
    fixture.driver.on_written([DurableWrite([], [("b", "a vote")], 8, 1)], 8, 1)
    assert not fixture.driver.is_leader()
    assert fixture.sent == []
    assert fixture.written == [fixture.write]


async def test_controller_process_ends_at_an_undecodable_entry(
    loopback_network: LoopbackNetwork, tmp_path: Path
) -> None:
    cluster = LocalCluster(1, 1, loopback_network.number, str(tmp_path))
    controller = Controller(cluster.settings("m1"))
    running = asyncio.ensure_future(controller.run())
    await cluster.until(controller.consensus.is_leader)
    assert await controller.consensus.propose(LATER_RELEASE_COMMAND) is None
    with pytest.raises(UnreadableLogError, match=r"^cannot decode log entry \d+, which a later release"):
        await running


def test_unreadable_log_is_logged_in_one_line_with_its_own_exit_code(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def run_role(name: str, path: str | None) -> None:
        raise UnreadableLogError("cannot decode log entry 7")

    monkeypatch.setattr(gateway_main, "run_role", run_role)
    assert gateway_main.main(["controller"]) == ExitCode.UNREADABLE_LOG
    assert caplog.messages == ["cannot decode log entry 7"]
