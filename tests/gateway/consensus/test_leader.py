"""Commits, lease and voter changes of a single leader."""

import pytest
from support.consensus_nodes import VOTERS, append_reply, elected_leader, new_node, sync_disk, take_effects

from lapisgrade.gateway.consensus.messages import (
    Entry,
    JoinRequest,
    RequestVoteReply,
)
from lapisgrade.gateway.consensus.timing import LEASE_US
from lapisgrade.lab.explore.defects import injected
from lapisgrade.lab.simulation.defects.control_plane import FOUND_BY_UNIT_TESTS


def test_commits_only_through_an_entry_of_its_own_term() -> None:
    node = new_node()
    node.log.append([Entry(1, 1, b"x")])
    node.state.term = 1
    node.tick(node.next_tick_us)
    request = take_effects(node).sends[0][1]
    node.receive(
        node.state.now_us, RequestVoteReply(2, "b", True, True, False, False, request.pre_vote_round)
    )
    sync_disk(node)
    node.receive(node.state.now_us, RequestVoteReply(2, "b", True, False))
    sync_disk(node)
    append_reply(node, "b", 1)
    assert (node.commit_index, node.has_committed_in_term) == (0, False)
    append_reply(node, "b", 2)
    assert (node.commit_index, node.has_committed_in_term) == (2, True)


def test_counts_itself_towards_the_majority_only_once_the_entry_is_durable() -> None:
    node = elected_leader()
    append_reply(node, "b", node.log.last_index)
    node.propose(b"x")
    append_reply(node, "b", node.log.last_index)
    assert node.commit_index < node.log.last_index
    sync_disk(node)
    assert node.commit_index == node.log.last_index


def test_the_lease_starts_when_the_request_was_sent() -> None:
    node = elected_leader()
    sent_us = node.state.now_us
    node.state.now_us += 200_000
    append_reply(node, "b", node.log.last_index, sent_us=sent_us)
    assert node.has_lease()
    node.state.now_us = sent_us + LEASE_US + 1
    assert not node.has_lease()


def test_a_learner_advances_neither_the_lease_nor_the_commit_index() -> None:
    node = elected_leader()
    node.receive(node.state.now_us, JoinRequest("z", "10.0.0.9:1"))
    append_reply(node, "z", node.log.last_index)
    assert node.commit_index == 0
    node.state.now_us += LEASE_US + 1
    append_reply(node, "z", node.log.last_index)
    assert not node.has_lease()


def test_changes_no_voters_before_an_entry_of_its_own_term_is_committed() -> None:
    node = elected_leader()
    node.receive(node.state.now_us, JoinRequest("z", "10.0.0.9:1"))
    append_reply(node, "z", node.log.last_index)
    node.tick(node.next_tick_us)
    assert node.voters == VOTERS
    append_reply(node, "b", node.log.last_index)
    node.tick(node.next_tick_us)
    assert "z" in node.voters


def test_steps_down_when_no_majority_replies() -> None:
    node = elected_leader()
    append_reply(node, "b", node.log.last_index)
    for _ in range(6):
        node.tick(node.next_tick_us)
    assert not node.is_leader


def test_a_defect_that_changes_voters_too_early_is_detected() -> None:
    with injected(FOUND_BY_UNIT_TESTS, "change-before-own-entry"), pytest.raises(AssertionError):
        test_changes_no_voters_before_an_entry_of_its_own_term_is_committed()
