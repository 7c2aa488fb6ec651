"""The leader's part in keyed operations, in simulated time: batches, replies, limits, and leader failures."""

import asyncio
from random import Random
from unittest import mock

import pytest

from lapisgrade.gateway.controller import operation_claims
from lapisgrade.gateway.controller.operation_claims import RETENTION_MARGIN_US
from lapisgrade.gateway.operations.table import Claim
from lapisgrade.gateway.rpc_messages import ClaimReply, ClaimRequest
from lapisgrade.gateway.settings import Slo
from lapisgrade.lab.simulation.cluster import Cluster
from lapisgrade.lab.simulation.log_limits import log_limits
from lapisgrade.lab.simulation.machine import Machine
from lapisgrade.lab.simulation.virtual_loop import CURRENT_PROCESS, SECOND, VirtualLoop

OWNER = "10.3.0.1:7600"
RETENTION_S = (int(Slo().key_win) + RETENTION_MARGIN_US) / SECOND
REPLY_S = 0.2  # maximum time until a claim is answered, without faults

pytestmark = pytest.mark.usefixtures("logging_disabled")


def claim(attempt: str, replaces: str = "", key: str = "k") -> Claim:
    return Claim("sfax", key, attempt, OWNER, replaces)


class Site:
    """Three simulated controllers, one of which leads."""

    def __init__(self) -> None:
        self.loop = VirtualLoop(Random(1))
        self.cluster = Cluster(self.loop, 3)
        self.await_leader()

    def await_leader(self) -> None:
        assert self.loop.run_until(self.cluster.has_established_leader, 6.0)

    @property
    def leader(self) -> Machine:
        return self.cluster.leader()

    @property
    def others(self) -> list[Machine]:
        return [machine for machine in self.cluster.machines.values() if machine is not self.leader]

    def send(self, machine: Machine, *claims: Claim) -> list[asyncio.Task[ClaimReply]]:
        """Start handling claims that arrive at the same time."""
        handle = machine.controller.operation_claims.handle_claim
        token = CURRENT_PROCESS.set(machine.process)
        try:
            return [self.loop.create_task(handle(ClaimRequest(each))) for each in claims]
        finally:
            CURRENT_PROCESS.reset(token)

    def replies(self, *claims: Claim) -> list[ClaimReply]:
        """Return the leader's replies to claims that arrive at the same time."""
        tasks = self.send(self.leader, *claims)
        self.loop.run_for(REPLY_S)
        return [task.result() for task in tasks]

    def holder(self, claim: Claim) -> str:
        """Return the attempt that holds the claim's key, by the leader's reply."""
        return self.replies(claim)[0].attempt


@pytest.fixture
def site():
    site = Site()
    yield site
    site.loop.finish(site.cluster.processes)
    assert site.cluster.invariants.violations == []
    assert site.loop.errors == []


def test_claims_of_one_key_have_one_holder_within_a_batch_and_across_batches(site: Site):
    metrics = site.leader.controller.metrics
    assert [reply.attempt for reply in site.replies(claim("a"), claim("b"), claim("a"))] == ["a"] * 3
    assert metrics.claim_batches == 1
    assert site.replies(claim("c")) == [ClaimReply(True, "a", OWNER)]
    assert metrics.claim_batches == 1  # answered from the table
    assert site.holder(claim("b", "a")) == "b"
    assert site.holder(claim("c", "a")) == "b"
    assert (metrics.claims_granted, metrics.claims_held_by_another) == (3, 3)


def test_claims_do_not_notify_watchers(site: Site):
    leader = site.leader.controller
    applied = leader.metrics.entries_applied
    with mock.patch.object(leader.watch_service, "notify_watchers") as notify:
        site.replies(claim("a"))
        assert leader.metrics.entries_applied == applied + 1
        assert not notify.called


def test_malformed_claim_is_rejected_and_a_follower_redirects_to_the_leader(site: Site):
    assert site.replies(claim("")) == [ClaimReply(True)]
    assert site.leader.controller.state_machine.state.operations.records == {}
    task = site.send(site.others[0], claim("a"))[0]
    site.loop.run_for(REPLY_S)
    assert task.result() == ClaimReply(False, leader_address=site.leader.controller.node.address)


def test_waiting_claims_and_batch_size_are_limited(site: Site):
    metrics = site.leader.controller.metrics
    with (
        mock.patch.object(operation_claims, "MAX_WAITING_CLAIMS", 5),
        mock.patch.object(operation_claims, "MAX_BATCH_CLAIMS", 2),
    ):
        replies = site.replies(*(claim(f"a{number}", key=f"k{number}") for number in range(7)))
    assert [reply.is_known for reply in replies] == [True] * 5 + [False] * 2
    assert metrics.claim_batches == 3


def test_key_is_released_after_its_retention_and_not_before(site: Site):
    site.replies(claim("a"))
    site.loop.run_for(RETENTION_S - 1.0)
    site.replies(claim("x", key="other"))  # advances the table's clock
    assert site.holder(claim("b")) == "a"
    site.loop.run_for(1.0)
    assert site.holder(claim("b")) == "b"  # without another claim in between


def test_outcome_is_unknown_at_a_partitioned_leader_and_the_claim_is_answered_after_the_heal(site: Site):
    old = site.leader
    site.cluster.partition([old.name])
    task = site.send(old, claim("a"))[0]
    site.loop.run_for(3.0)
    assert task.result().is_known is False
    assert site.leader is not old
    assert site.holder(claim("b")) == "b"  # the old leader's entry was never committed
    site.cluster.heal()
    site.loop.run_for(2.0)
    assert site.holder(claim("a")) == "b"


def test_holders_survive_a_power_loss_of_all_machines_and_reach_an_empty_disk_by_snapshot(site: Site):
    with log_limits(1, 64):
        for number in range(20):
            assert site.holder(claim(f"a{number}", key=f"k{number}")) == f"a{number}"
        machines = list(site.cluster.machines.values())
        for machine in machines:
            machine.kill(power=True)
        for machine in machines:
            machine.start()
        site.await_leader()
        wiped = site.others[0]
        wiped.kill(wipe=True)
        wiped.start()
        site.loop.run_for(4.0)
        assert wiped.controller.node.log.snapshot_index > 0
    assert site.holder(claim("b", key="k0")) == "a0"
    tables = [machine.controller.state_machine.state.operations for machine in machines]
    assert len(tables[0].records) == 20
    assert tables[0] == tables[1] == tables[2]
