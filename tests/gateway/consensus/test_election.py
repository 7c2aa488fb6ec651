"""Elections: which votes a single node requests and grants."""

from collections.abc import Callable
from random import Random

import pytest
from support.consensus_nodes import (
    NOW_US,
    VOTERS,
    append_entries,
    elected_leader,
    new_node,
    sync_disk,
    take_effects,
)

from lapisgrade.gateway.consensus.messages import (
    Entry,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import HardState, SnapshotRecord
from lapisgrade.gateway.consensus.state import Role
from lapisgrade.gateway.consensus.timing import ELECTION_TIMEOUT_US, LEASE_US, RESTART_GUARD_US
from lapisgrade.lab.explore.defects import injected
from lapisgrade.lab.simulation.defects.control_plane import FOUND_BY_UNIT_TESTS


def request_vote(**overrides) -> RequestVote:
    """Return a vote request of candidate `b` in term 5 with an empty log, except for `overrides`."""
    defaults = {
        "term": 5, "candidate": "b", "address": VOTERS["b"], "last_log_index": 0, "last_log_term": 0,
        "pre_vote": False,
    }  # fmt: skip
    return RequestVote(**{**defaults, **overrides})


def test_grants_one_vote_per_term_and_only_once_it_is_durable() -> None:
    node = new_node()
    node.receive(NOW_US, request_vote())
    assert node.state.effects.sends == []
    assert [each for write in node.state.effects.writes for each in write.records][-1] == HardState(5, "b")
    assert sync_disk(node) == [(VOTERS["b"], RequestVoteReply(5, "a", True, False))]
    node.receive(NOW_US, request_vote(candidate="c", address=VOTERS["c"]))
    assert sync_disk(node) == [(VOTERS["c"], RequestVoteReply(5, "a", False, False))]
    node.receive(NOW_US, request_vote())  # repeated request
    assert sync_disk(node)[0][1].granted


@pytest.mark.parametrize(
    ("last", "granted"),
    [
        ((0, 0), False),
        ((1, 3), False),
        ((2, 2), False),
        ((2, 3), True),
        ((1, 4), True),
    ],
)
def test_refuses_a_candidate_whose_log_is_less_up_to_date(last: tuple[int, int], granted: bool) -> None:
    node = new_node()
    node.log.append([Entry(1, 3), Entry(2, 3)])
    node.receive(NOW_US, request_vote(last_log_index=last[0], last_log_term=last[1]))
    assert sync_disk(node)[-1][1].granted == granted


def test_refuses_votes_and_keeps_its_term_while_a_leader_sends_heartbeats() -> None:
    node = new_node()
    node.receive(NOW_US, append_entries(3, (0, 0), []))
    take_effects(node)
    for elapsed_us, granted in ((ELECTION_TIMEOUT_US - 1, False), (ELECTION_TIMEOUT_US + 1, True)):
        node.receive(NOW_US + elapsed_us, request_vote())
        assert (sync_disk(node)[-1][1].granted, node.term) == (granted, 5 if granted else 3)


def test_a_newly_added_voter_votes_though_only_the_candidate_has_the_change() -> None:
    """Otherwise no leader is elected if another voter is lost before the change is committed."""
    node = new_node("z", VOTERS)
    node.receive(NOW_US, request_vote(term=2, candidate="a", pre_vote=True))
    assert sync_disk(node)[-1][1].granted
    node.receive(NOW_US, request_vote(term=2, candidate="a"))
    assert sync_disk(node)[-1][1].granted


def test_a_candidate_ignores_votes_of_nodes_that_are_not_voters() -> None:
    node = new_node()
    node.tick(node.next_tick_us)
    request = take_effects(node).sends[0][1]
    node.receive(NOW_US, RequestVoteReply(1, "emptied", True, True, False, True, request.pre_vote_round))
    assert node.state.role is Role.PRE_CANDIDATE


def test_a_restarted_node_refuses_votes_while_a_lease_may_be_valid() -> None:
    first = SnapshotRecord("a", 4, "", 0, 0, VOTERS, b"", [])
    node = Node.recover([first], VOTERS["a"], Random(1), NOW_US + 100_000, NOW_US)
    node.receive(NOW_US + RESTART_GUARD_US - 1, request_vote())
    assert not sync_disk(node)[-1][1].granted
    node.receive(NOW_US + RESTART_GUARD_US - 1, request_vote(pre_vote=True))
    assert sync_disk(node)[-1][1].unanimous_only
    node.receive(NOW_US + RESTART_GUARD_US, request_vote())
    assert sync_disk(node)[-1][1].granted
    assert RESTART_GUARD_US > LEASE_US


def test_a_recovered_vote_is_made_durable_again_before_it_is_sent() -> None:
    records = [SnapshotRecord("a", 4, "", 0, 0, VOTERS, b"", []), HardState(5, "b")]
    node = Node.recover(records, VOTERS["a"], Random(1), NOW_US, NOW_US - RESTART_GUARD_US)
    take_effects(node)
    node.receive(NOW_US, request_vote())
    assert node.state.effects.sends == []
    assert node.state.effects.writes[-1].records == [HardState(5, "b")]


def test_a_pre_vote_of_an_earlier_round_is_ignored() -> None:
    node = new_node()
    node.tick(node.next_tick_us)
    old_request = take_effects(node).sends[0][1]
    node.receive(node.state.now_us, append_entries(0, (0, 0), []))
    take_effects(node)
    node.tick(node.next_tick_us)
    request = take_effects(node).sends[0][1]
    assert old_request.pre_vote_round != request.pre_vote_round
    node.receive(
        node.state.now_us, RequestVoteReply(1, "b", True, True, False, True, old_request.pre_vote_round)
    )
    assert node.state.role is Role.PRE_CANDIDATE
    node.receive(node.state.now_us, RequestVoteReply(1, "b", True, True, False, True, request.pre_vote_round))
    assert node.state.role is Role.CANDIDATE


def test_leaders_and_candidates_never_report_that_no_lease_is_held() -> None:
    """If every voter reports that, the votes that follow are granted in spite of a lease.

    A leader may regain contact with its followers, and a candidate may become leader of its own term.
    """
    node = elected_leader()
    # Only its role keeps it from granting: contact is lost, and the candidate has a later term and log.
    node.state.now_us += ELECTION_TIMEOUT_US * 2
    node.receive(node.state.now_us, request_vote(term=3, pre_vote=True, last_log_index=9, last_log_term=9))
    assert not sync_disk(node)[-1][1].granted
    other = new_node()
    other.tick(other.next_tick_us)
    request = take_effects(other).sends[0][1]
    other.receive(
        other.state.now_us, RequestVoteReply(1, "b", True, True, False, False, request.pre_vote_round)
    )
    assert other.state.role is Role.CANDIDATE
    take_effects(other)
    other.receive(other.state.now_us, request_vote(term=3, pre_vote=True))
    reply = take_effects(other).sends[-1][1]
    assert (reply.granted, reply.lease_free) == (True, False)


def test_a_node_that_reports_no_lease_cannot_lead_a_term_before_the_requested_one() -> None:
    node = new_node()
    node.receive(NOW_US, request_vote(term=9, pre_vote=True))
    assert take_effects(node).sends[-1][1].lease_free
    assert node.term == 8


def test_a_leadership_transfer_counts_only_in_its_own_term() -> None:
    node = new_node()
    node.state.term = 4
    for message in (TimeoutNow(3, "a"), TimeoutNow(4, "b")):
        node.receive(NOW_US, message)
        assert node.state.role is Role.FOLLOWER
    node.receive(NOW_US, TimeoutNow(4, "a"))
    assert (node.state.role, node.term) == (Role.CANDIDATE, 5)
    node.receive(NOW_US, TimeoutNow(4, "a"))  # late repetition
    assert node.term == 5


@pytest.mark.parametrize(
    ("defect", "test"),
    [
        ("pre-vote-of-any-round", test_a_pre_vote_of_an_earlier_round_is_ignored),
        ("leader-grants-pre-votes", test_leaders_and_candidates_never_report_that_no_lease_is_held),
    ],
)
def test_a_defect_in_an_election_rule_is_detected(defect: str, test: Callable[[], None]) -> None:
    with injected(FOUND_BY_UNIT_TESTS, defect), pytest.raises(AssertionError):
        test()
