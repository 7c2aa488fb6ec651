"""A leader's commit, lease and changes of voters, on a single node that is fed by hand."""

import unittest

from lapisgrade.gateway.consensus.messages import (
    Entry,
    JoinRequest,
    RequestVoteReply,
)
from lapisgrade.gateway.consensus.timing import LEASE_US
from lapisgrade.lab.explore.defects import switched
from lapisgrade.lab.simulation.mutants import BY_RULE
from support.consensus_nodes import VOTERS, leader, node, reply, sync, taken


class Leader(unittest.TestCase):
    def test_it_commits_by_an_entry_of_its_own_term_alone(self) -> None:
        one = node()
        one.log.append([Entry(1, 1, b"x")])
        one.state.term = 1
        one.tick(one.next_tick_us)
        asked = taken(one).sends[0][1]
        one.receive(
            one.state.now_us, RequestVoteReply(2, "b", True, True, False, False, asked.pre_vote_round)
        )
        sync(one)
        one.receive(one.state.now_us, RequestVoteReply(2, "b", True, False))
        sync(one)
        reply(one, "b", 1)
        self.assertEqual((one.commit_index, one.has_committed_in_term), (0, False))
        reply(one, "b", 2)
        self.assertEqual((one.commit_index, one.has_committed_in_term), (2, True))

    def test_its_own_disk_counts_once_it_has_the_entry(self) -> None:
        one = leader()
        reply(one, "b", one.log.last_index)
        one.propose(b"x")
        reply(one, "b", one.log.last_index)
        self.assertLess(one.commit_index, one.log.last_index)
        sync(one)
        self.assertEqual(one.commit_index, one.log.last_index)

    def test_its_lease_runs_from_when_it_asked(self) -> None:
        one = leader()
        sent = one.state.now_us
        one.state.now_us += 200_000
        reply(one, "b", one.log.last_index, sent_us=sent)
        self.assertTrue(one.has_lease())
        one.state.now_us = sent + LEASE_US + 1
        self.assertFalse(one.has_lease())

    def test_a_learner_holds_up_neither_lease_nor_commit(self) -> None:
        one = leader()
        one.receive(one.state.now_us, JoinRequest("z", "10.0.0.9:1"))
        reply(one, "z", one.log.last_index)
        self.assertEqual(one.commit_index, 0)
        one.state.now_us += LEASE_US + 1
        reply(one, "z", one.log.last_index)
        self.assertFalse(one.has_lease())

    def test_no_change_of_voters_before_an_entry_of_its_own_is_committed(self) -> None:
        self.change_before_own_entry()

    def change_before_own_entry(self) -> None:
        one = leader()
        one.receive(one.state.now_us, JoinRequest("z", "10.0.0.9:1"))
        reply(one, "z", one.log.last_index)
        one.tick(one.next_tick_us)
        self.assertEqual(one.voters, VOTERS)
        reply(one, "b", one.log.last_index)
        one.tick(one.next_tick_us)
        self.assertIn("z", one.voters)

    def test_it_ends_when_a_majority_is_not_heard(self) -> None:
        one = leader()
        reply(one, "b", one.log.last_index)
        for _ in range(6):
            one.tick(one.next_tick_us)
        self.assertFalse(one.is_leader)

    def test_a_change_before_an_entry_of_its_own_is_found(self) -> None:
        with switched(BY_RULE, "change-before-own-entry"), self.assertRaises(AssertionError):
            self.change_before_own_entry()
