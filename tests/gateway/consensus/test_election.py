"""Elections: who votes for whom, on a single node that is fed by hand."""

from collections.abc import Callable
from random import Random

import pytest

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
from lapisgrade.lab.explore.defects import switched
from lapisgrade.lab.simulation.mutants import BY_RULE
from support.consensus_nodes import NOW, VOTERS, append, leader, node, sync, taken


def ask(**over) -> RequestVote:
    asked = {
        "term": 5, "candidate": "b", "address": VOTERS["b"], "last_log_index": 0, "last_log_term": 0,
        "pre_vote": False,
    }  # fmt: skip
    return RequestVote(**{**asked, **over})


def test_one_vote_a_term_and_only_once_it_is_on_disk() -> None:
    one = node()
    one.receive(NOW, ask())
    assert one.state.effects.sends == []
    assert [each for write in one.state.effects.writes for each in write.records][-1] == HardState(5, "b")
    assert sync(one) == [(VOTERS["b"], RequestVoteReply(5, "a", True, False))]
    one.receive(NOW, ask(candidate="c", address=VOTERS["c"]))
    assert sync(one) == [(VOTERS["c"], RequestVoteReply(5, "a", False, False))]
    one.receive(NOW, ask())  # the same again
    assert sync(one)[0][1].granted


def test_no_vote_for_a_log_that_lacks_what_this_one_holds(subtests: pytest.Subtests) -> None:
    for last, granted in (
        ((0, 0), False),
        ((1, 3), False),
        ((2, 2), False),
        ((2, 3), True),
        ((1, 4), True),
    ):
        with subtests.test(last=last):
            one = node()
            one.log.append([Entry(1, 3), Entry(2, 3)])
            one.receive(NOW, ask(last_log_index=last[0], last_log_term=last[1]))
            assert sync(one)[-1][1].granted == granted


def test_no_vote_while_a_leader_is_heard_and_the_term_stays() -> None:
    one = node()
    one.receive(NOW, append(3, (0, 0), []))
    taken(one)
    for at, granted in ((ELECTION_TIMEOUT_US - 1, False), (ELECTION_TIMEOUT_US + 1, True)):
        one.receive(NOW + at, ask())
        assert (sync(one)[-1][1].granted, one.term) == (granted, 5 if granted else 3)


def test_one_that_was_just_let_in_votes_though_only_the_candidate_knows_of_it() -> None:
    """Else a leader that let it in, and lost another before that was committed, is never elected."""
    one = node("z", VOTERS)
    one.receive(NOW, ask(term=2, candidate="a", pre_vote=True))
    assert sync(one)[-1][1].granted
    one.receive(NOW, ask(term=2, candidate="a"))
    assert sync(one)[-1][1].granted


def test_a_candidate_counts_no_vote_of_a_disk_that_it_does_not_know() -> None:
    one = node()
    one.tick(one.next_tick_us)
    asked = taken(one).sends[0][1]
    one.receive(NOW, RequestVoteReply(1, "emptied", True, True, False, True, asked.pre_vote_round))
    assert one.state.role is Role.PRE_CANDIDATE


def test_one_that_was_started_anew_may_hold_up_a_lease() -> None:
    first = SnapshotRecord("a", 4, "", 0, 0, VOTERS, b"", [])
    one = Node.recover([first], VOTERS["a"], Random(1), NOW + 100_000, NOW)
    one.receive(NOW + RESTART_GUARD_US - 1, ask())
    assert not sync(one)[-1][1].granted
    one.receive(NOW + RESTART_GUARD_US - 1, ask(pre_vote=True))
    assert sync(one)[-1][1].unanimous_only
    one.receive(NOW + RESTART_GUARD_US, ask())
    assert sync(one)[-1][1].granted
    assert RESTART_GUARD_US > LEASE_US


def test_a_vote_that_was_read_and_not_synced_is_written_anew_before_it_is_said_again() -> None:
    records = [SnapshotRecord("a", 4, "", 0, 0, VOTERS, b"", []), HardState(5, "b")]
    one = Node.recover(records, VOTERS["a"], Random(1), NOW, NOW - RESTART_GUARD_US)
    taken(one)
    one.receive(NOW, ask())
    assert one.state.effects.sends == []
    assert one.state.effects.writes[-1].records == [HardState(5, "b")]


def test_a_pre_vote_of_an_earlier_round_counts_for_nothing() -> None:
    one = node()
    one.tick(one.next_tick_us)
    old = taken(one).sends[0][1]
    one.receive(one.state.now_us, append(0, (0, 0), []))
    taken(one)
    one.tick(one.next_tick_us)
    asked = taken(one).sends[0][1]
    assert old.pre_vote_round != asked.pre_vote_round
    one.receive(one.state.now_us, RequestVoteReply(1, "b", True, True, False, True, old.pre_vote_round))
    assert one.state.role is Role.PRE_CANDIDATE
    one.receive(one.state.now_us, RequestVoteReply(1, "b", True, True, False, True, asked.pre_vote_round))
    assert one.state.role is Role.CANDIDATE


def test_a_leader_and_a_candidate_never_say_that_no_lease_is_held() -> None:
    one = leader()
    one.state.now_us += ELECTION_TIMEOUT_US * 2
    one.receive(one.state.now_us, ask(term=3, pre_vote=True, last_log_index=9, last_log_term=9))
    assert not sync(one)[-1][1].granted
    other = node()
    other.tick(other.next_tick_us)
    asked = taken(other).sends[0][1]
    other.receive(
        other.state.now_us, RequestVoteReply(1, "b", True, True, False, False, asked.pre_vote_round)
    )
    assert other.state.role is Role.CANDIDATE
    taken(other)
    other.receive(other.state.now_us, ask(term=3, pre_vote=True))
    answer = taken(other).sends[-1][1]
    assert (answer.granted, answer.lease_free) == (True, False)


def test_who_says_that_no_lease_is_held_can_not_come_to_lead_in_that_term() -> None:
    one = node()
    one.receive(NOW, ask(term=9, pre_vote=True))
    assert taken(one).sends[-1][1].lease_free
    assert one.term == 8


def test_a_transfer_counts_in_its_own_term_alone() -> None:
    one = node()
    one.state.term = 4
    for message in (TimeoutNow(3, "a"), TimeoutNow(4, "b")):
        one.receive(NOW, message)
        assert one.state.role is Role.FOLLOWER
    one.receive(NOW, TimeoutNow(4, "a"))
    assert (one.state.role, one.term) == (Role.CANDIDATE, 5)
    one.receive(NOW, TimeoutNow(4, "a"))  # once more, late
    assert one.term == 5


@pytest.mark.parametrize(
    ("defect", "test"),
    [
        ("pre-vote-of-any-round", test_a_pre_vote_of_an_earlier_round_counts_for_nothing),
        ("leader-grants-pre-votes", test_a_leader_and_a_candidate_never_say_that_no_lease_is_held),
    ],
)
def test_a_defect_in_these_rules_is_found(defect: str, test: Callable[[], None]) -> None:
    with switched(BY_RULE, defect), pytest.raises(AssertionError):
        test()
