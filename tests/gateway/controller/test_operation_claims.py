"""The leader's part in keyed operations, in simulated time: batches, answers, bounds, and a leader's loss."""

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
from lapisgrade.lab.simulation.virtual_loop import CURRENT, SECOND, VirtualLoop

OWNER = "10.3.0.1:7600"
RETENTION_S = (int(Slo().key_win) + RETENTION_MARGIN_US) / SECOND
ANSWERED_S = 0.2  # in which a claim is answered where nothing is wrong

pytestmark = pytest.mark.usefixtures("silent_logging")


def claim(attempt: str, replaces: str = "", key: str = "k") -> Claim:
    return Claim("sfax", key, attempt, OWNER, replaces)


class Site:
    """Three controllers, one of which leads."""

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

    def ask(self, machine: Machine, *claims: Claim) -> list[asyncio.Task[ClaimReply]]:
        """Begin to handle claims that come at once."""
        handle = machine.controller.operation_claims.handle_claim
        token = CURRENT.set(machine.process)
        try:
            return [self.loop.create_task(handle(ClaimRequest(each))) for each in claims]
        finally:
            CURRENT.reset(token)

    def replies(self, *claims: Claim) -> list[ClaimReply]:
        """The leader's replies to claims that come at once."""
        tasks = self.ask(self.leader, *claims)
        self.loop.run_for(ANSWERED_S)
        return [task.result() for task in tasks]

    def holder(self, asked: Claim) -> str:
        return self.replies(asked)[0].attempt


@pytest.fixture
def site():
    site = Site()
    yield site
    site.loop.finish(site.cluster.processes)
    assert site.cluster.invariants.violations == []
    assert site.loop.errors == []


def test_claims_of_one_batch_and_of_later_ones_have_one_holder(site: Site):
    metrics = site.leader.controller.metrics
    assert [reply.attempt for reply in site.replies(claim("a"), claim("b"), claim("a"))] == ["a"] * 3
    assert metrics.claim_batches == 1
    assert site.replies(claim("c")) == [ClaimReply(True, "a", OWNER)]
    assert metrics.claim_batches == 1  # answered from the table
    assert site.holder(claim("b", "a")) == "b"
    assert site.holder(claim("c", "a")) == "b"
    assert (metrics.claims_granted, metrics.claims_held_by_another) == (3, 3)


def test_claims_wake_no_watcher(site: Site):
    leader = site.leader.controller
    applied = leader.metrics.entries_applied
    with mock.patch.object(leader.watch_service, "notify_watchers") as notify:
        site.replies(claim("a"))
        assert leader.metrics.entries_applied == applied + 1
        assert not notify.called


def test_malformed_claim_is_refused_and_a_follower_says_who_leads(site: Site):
    assert site.replies(claim("")) == [ClaimReply(True)]
    assert site.leader.controller.state_machine.state.operations.records == {}
    task = site.ask(site.others[0], claim("a"))[0]
    site.loop.run_for(ANSWERED_S)
    assert task.result() == ClaimReply(False, leader_address=site.leader.controller.node.address)


def test_no_more_claims_wait_than_the_bound_and_no_batch_is_larger_than_its_own(site: Site):
    metrics = site.leader.controller.metrics
    with (
        mock.patch.object(operation_claims, "MAX_WAITING_CLAIMS", 5),
        mock.patch.object(operation_claims, "MAX_BATCH_CLAIMS", 2),
    ):
        replies = site.replies(*(claim(f"a{number}", key=f"k{number}") for number in range(7)))
    assert [reply.is_known for reply in replies] == [True] * 5 + [False] * 2
    assert metrics.claim_batches == 3


def test_key_is_given_back_after_its_retention_and_not_before(site: Site):
    site.replies(claim("a"))
    site.loop.run_for(RETENTION_S - 1.0)
    site.replies(claim("x", key="other"))  # advances the table's clock
    assert site.holder(claim("b")) == "a"
    site.loop.run_for(1.0)
    assert site.holder(claim("b")) == "b"  # without another claim in between


def test_outcome_is_unknown_while_a_leader_reaches_nobody_and_the_same_claim_is_answered_later(site: Site):
    old = site.leader
    site.cluster.partition([old.name])
    task = site.ask(old, claim("a"))[0]
    site.loop.run_for(3.0)
    assert task.result().is_known is False
    assert site.leader is not old
    assert site.holder(claim("b")) == "b"  # what the old leader has is void
    site.cluster.heal()
    site.loop.run_for(2.0)
    assert site.holder(claim("a")) == "b"


def test_holders_outlive_a_loss_of_all_power_and_reach_a_newcomer_by_a_snapshot(site: Site):
    with log_limits(1, 64):
        for number in range(20):
            assert site.holder(claim(f"a{number}", key=f"k{number}")) == f"a{number}"
        machines = list(site.cluster.machines.values())
        for machine in machines:
            machine.kill(power=True)
        for machine in machines:
            machine.start()
        site.await_leader()
        newcomer = site.others[0]
        newcomer.kill(wipe=True)
        newcomer.start()
        site.loop.run_for(4.0)
        assert newcomer.controller.node.log.snapshot_index > 0
    assert site.holder(claim("b", key="k0")) == "a0"
    tables = [machine.controller.state_machine.state.operations for machine in machines]
    assert len(tables[0].records) == 20
    assert tables[0] == tables[1] == tables[2]
