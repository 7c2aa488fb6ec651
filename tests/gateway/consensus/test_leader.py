"""A leader's commit, lease and changes of voters, on a single node that is fed by hand."""

import pytest

from lapisgrade.gateway.consensus.messages import (
    Entry,
    JoinRequest,
    RequestVoteReply,
)
from lapisgrade.gateway.consensus.timing import LEASE_US
from lapisgrade.lab.explore.defects import switched
from lapisgrade.lab.simulation.mutants import BY_RULE
from support.consensus_nodes import VOTERS, leader, node, reply, sync, taken


def test_it_commits_by_an_entry_of_its_own_term_alone() -> None:
    one = node()
    one.log.append([Entry(1, 1, b"x")])
    one.state.term = 1
    one.tick(one.next_tick_us)
    asked = taken(one).sends[0][1]
    one.receive(one.state.now_us, RequestVoteReply(2, "b", True, True, False, False, asked.pre_vote_round))
    sync(one)
    one.receive(one.state.now_us, RequestVoteReply(2, "b", True, False))
    sync(one)
    reply(one, "b", 1)
    assert (one.commit_index, one.has_committed_in_term) == (0, False)
    reply(one, "b", 2)
    assert (one.commit_index, one.has_committed_in_term) == (2, True)


def test_its_own_disk_counts_once_it_has_the_entry() -> None:
    one = leader()
    reply(one, "b", one.log.last_index)
    one.propose(b"x")
    reply(one, "b", one.log.last_index)
    assert one.commit_index < one.log.last_index
    sync(one)
    assert one.commit_index == one.log.last_index


def test_its_lease_runs_from_when_it_asked() -> None:
    one = leader()
    sent = one.state.now_us
    one.state.now_us += 200_000
    reply(one, "b", one.log.last_index, sent_us=sent)
    assert one.has_lease()
    one.state.now_us = sent + LEASE_US + 1
    assert not one.has_lease()


def test_a_learner_holds_up_neither_lease_nor_commit() -> None:
    one = leader()
    one.receive(one.state.now_us, JoinRequest("z", "10.0.0.9:1"))
    reply(one, "z", one.log.last_index)
    assert one.commit_index == 0
    one.state.now_us += LEASE_US + 1
    reply(one, "z", one.log.last_index)
    assert not one.has_lease()


def test_no_change_of_voters_before_an_entry_of_its_own_is_committed() -> None:
    one = leader()
    one.receive(one.state.now_us, JoinRequest("z", "10.0.0.9:1"))
    reply(one, "z", one.log.last_index)
    one.tick(one.next_tick_us)
    assert one.voters == VOTERS
    reply(one, "b", one.log.last_index)
    one.tick(one.next_tick_us)
    assert "z" in one.voters


def test_it_ends_when_a_majority_is_not_heard() -> None:
    one = leader()
    reply(one, "b", one.log.last_index)
    for _ in range(6):
        one.tick(one.next_tick_us)
    assert not one.is_leader


def test_a_change_before_an_entry_of_its_own_is_found() -> None:
    with switched(BY_RULE, "change-before-own-entry"), pytest.raises(AssertionError):
        test_no_change_of_voters_before_an_entry_of_its_own_is_committed()
