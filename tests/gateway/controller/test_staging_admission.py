"""The leader delays changes while many versions are staged: the rate, and the calls of operators.

The calls run against simulated controllers, whose proxies include one that never stages a version.
"""

import msgspec
import pytest

from lapisgrade.gateway.controller import staging_admission, version_activation
from lapisgrade.gateway.controller.leader_calls import DELIVER_DRAFT
from lapisgrade.gateway.controller.staging_rate import (
    PACED_INTERVAL_US,
    UNPACED_VERSIONS,
    staging_delay_us,
)
from lapisgrade.gateway.controller.state import MAX_STAGED_VERSIONS
from lapisgrade.gateway.merge.three_way import Draft, make_draft
from lapisgrade.lab.simulation.activation_schedule import ActivationSimulation
from lapisgrade.lab.simulation.clients import Client
from lapisgrade.lab.simulation.operator_call import OPERATOR_PORT, CallReply, OperatorCall
from lapisgrade.lab.simulation.virtual_loop import SECOND

CALL_TIMEOUT_S = 1.0
PROMPT_S = 0.1  # above the commit of a change that is not delayed
DRAFTS = 12  # more than the versions that may be staged, fewer than the drafts that may be merged


@pytest.mark.parametrize(
    ("staged", "proposed", "delay_us"),
    [
        (0, 0, 0),
        (UNPACED_VERSIONS - 1, 0, 0),
        (UNPACED_VERSIONS, 0, PACED_INTERVAL_US - 100_000),  # the last one was staged 0.1 s ago
        (UNPACED_VERSIONS - 1, 1, PACED_INTERVAL_US),
        (MAX_STAGED_VERSIONS - 1, 0, PACED_INTERVAL_US - 100_000),
        (MAX_STAGED_VERSIONS - 1, 1, PACED_INTERVAL_US),
        (MAX_STAGED_VERSIONS, 0, PACED_INTERVAL_US),
    ],
)
def test_a_version_is_delayed_by_the_number_that_are_staged(
    staged: int, proposed: int, delay_us: int
) -> None:
    assert staging_delay_us(SECOND, staged, proposed, SECOND - 100_000) == delay_us


def test_at_the_paced_interval_there_is_room_until_the_oldest_version_times_out() -> None:
    paced = version_activation.ACTIVATION_TIMEOUT_US // PACED_INTERVAL_US
    assert UNPACED_VERSIONS + paced <= MAX_STAGED_VERSIONS


class Caller(Client):
    """Calls the controllers, and records the replies with the time that each took."""

    def __init__(self, simulation: ActivationSimulation) -> None:
        super().__init__(simulation.cluster, "caller", "10.1.0.99")
        self.replies: dict[str, tuple[int, bytes, float]] = {}  # status, body, seconds

    def start_call(self, name: str, call: str, body: bytes, is_retried: bool = False) -> None:
        """Start a call of the leader; it is sent again after a 503 if `is_retried`."""
        self.start_task(self._call(name, call, body, is_retried))

    async def _call(self, name: str, call: str, body: bytes, is_retried: bool) -> None:
        started_us = self.loop.now_us
        while True:
            leader = self.cluster.leader()
            result = await self.endpoint.call(
                (leader.ip, OPERATOR_PORT), OperatorCall(call, "", body), CALL_TIMEOUT_S
            )
            reply = result.value_or(None)
            if isinstance(reply, CallReply) and not (is_retried and reply.status == 503):
                self.replies[name] = (reply.status, reply.body, (self.loop.now_us - started_us) / SECOND)
                return

    def update(self, name: str, base: int, pool: str) -> None:
        """Start a change that adds a pool."""
        change = {"Ver": base + 1, "Base": base, "Upsert": {"Pools": [{"Name": pool}]}}
        self.start_call(name, "conf.update", msgspec.json.encode(change))


@pytest.fixture
def simulation(logging_disabled: None) -> ActivationSimulation:
    """A cluster with a slow proxy, in which as many versions are staged as are not delayed."""
    simulation = ActivationSimulation(1)
    simulation.start()
    for operator in simulation.operators:
        operator.process.is_alive = False
    simulation.start_slow_client()
    simulation.loop.run_for(3.0)
    caller = Caller(simulation)
    for number in range(UNPACED_VERSIONS):
        caller.update(f"first-{number}", newest_version(simulation), f"first-{number}")
        simulation.loop.run_for(0.05)
    assert [status for status, _, _ in caller.replies.values()] == [200] * UNPACED_VERSIONS
    return simulation


def newest_version(simulation: ActivationSimulation) -> int:
    """Return the newest version at the leader."""
    return simulation.cluster.leader().controller.state_machine.state.version


def count_dropped_versions(simulation: ActivationSimulation) -> int:
    """Return the number of versions that a controller has dropped before their activation."""
    controllers = [each.controller for each in simulation.cluster.running_machines()]
    return max(each.metrics.staged_versions_dropped for each in controllers)


def test_a_delayed_change_is_accepted_and_only_valid_changes_wait(simulation: ActivationSimulation) -> None:
    """Guards against operators who wait for a refusal, or get an error in place of the reason."""
    caller, newest = Caller(simulation), newest_version(simulation)
    caller.update("valid", newest, "a")
    caller.update("rival", newest, "b")  # on the same base: refused once the other is accepted
    caller.update("outdated", newest - 1, "c")
    invalid = {"Ver": newest + 1, "Base": newest, "Upsert": {"Ports": 7}}
    caller.start_call("invalid", "conf.update", msgspec.json.encode(invalid))
    simulation.loop.run_for(PROMPT_S)
    assert {name: reply[0] for name, reply in caller.replies.items()} == {"outdated": 412, "invalid": 400}
    simulation.loop.run_for(PACED_INTERVAL_US / SECOND)
    assert sorted(caller.replies[name][0] for name in ("valid", "rival")) == [200, 412]


def test_a_change_without_room_gets_503_and_is_not_applied(
    simulation: ActivationSimulation, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a version that is dropped, or accepted after the refusal."""
    monkeypatch.setattr(version_activation, "ACTIVATION_TIMEOUT_US", 60 * SECOND)
    caller = Caller(simulation)
    while (
        len(simulation.cluster.leader().controller.state_machine.state.staged_versions) < MAX_STAGED_VERSIONS
    ):
        newest = newest_version(simulation)
        caller.update(f"fills-{newest}", newest, f"fills-{newest}")
        simulation.loop.run_for(0.4)
    newest = newest_version(simulation)
    caller.update("refused", newest, "refused")
    simulation.loop.run_for(1.0)
    status, body, took_s = caller.replies["refused"]
    assert (status, b"too many versions" in body) == (503, True)
    assert 0.5 <= took_s < 0.5 + PROMPT_S
    monkeypatch.undo()
    simulation.loop.run_for(3.0)
    state = simulation.cluster.leader().controller.state_machine.state
    assert (state.version, state.active_version, b"refused" in state.configuration) == (newest, newest, False)
    assert count_dropped_versions(simulation) == 0


def test_the_number_of_waiting_changes_is_bounded(
    simulation: ActivationSimulation, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a flood of changes whose configurations fill the leader's memory."""
    monkeypatch.setattr(staging_admission, "MAX_WAITING_CHANGES", 2)
    caller, newest = Caller(simulation), newest_version(simulation)
    for number in range(5):
        caller.update(f"{number}", newest, f"pool-{number}")
    simulation.loop.run_for(PROMPT_S)
    assert [reply[0] for reply in caller.replies.values()] == [503] * 3
    simulation.loop.run_for(PACED_INTERVAL_US / SECOND)
    assert sorted(reply[0] for reply in caller.replies.values()) == [200, 412, 503, 503, 503]


def draft_of(simulation: ActivationSimulation, number: int) -> Draft:
    """Return a draft that adds a pool."""
    current = msgspec.json.decode(simulation.cluster.leader().controller.state_machine.state.configuration)
    return make_draft(current, {"Upsert": {"Pools": [{"Name": f"pool-{number}"}]}}, "author", "m1")


def test_drafts_that_arrive_together_wait_for_room_too(simulation: ActivationSimulation) -> None:
    """Guards against a rejoin whose merged drafts drop the versions that were staged before."""
    caller = Caller(simulation)
    for number in range(DRAFTS):
        draft = msgspec.msgpack.encode(draft_of(simulation, number))
        caller.start_call(f"draft-{number}", DELIVER_DRAFT, draft, is_retried=True)
    simulation.loop.run_for(10.0)
    assert [reply[0] for reply in caller.replies.values()] == [200] * DRAFTS
    state = simulation.cluster.leader().controller.state_machine.state
    assert all(f"pool-{number}".encode() in state.active_configuration for number in range(DRAFTS))
    assert count_dropped_versions(simulation) == 0
