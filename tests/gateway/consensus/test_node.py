"""The rules of the consensus group one by one, on a single node that is fed by hand."""

import unittest
from itertools import combinations, product
from random import Random

from lapisgrade.lab.explore.defects import switched
from lapisgrade.lab.simulation.mutants import BY_RULE
from lapisgrade.gateway.consensus import membership
from lapisgrade.gateway.consensus.membership import (
    UNRESPONSIVE_AFTER_US,
    DISPLACED_AFTER_US,
    Group,
    Peer,
    next_voters,
)
from lapisgrade.gateway.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    InstallSnapshotReply,
    JoinRequest,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import Effects, EntriesRecord, HardState, SnapshotRecord
from lapisgrade.gateway.consensus.snapshots import CHUNK_BYTES, Assembly, Snapshot, Transfer
from lapisgrade.gateway.consensus.state import ELECTION_TIMEOUT_US, LEASE_US, RESTART_GUARD_US, Role

VOTERS = {name: f"10.0.0.{i}:1" for i, name in enumerate("abc", 1)}
NOW = 10_000_000


def node(identity: str = "a", voters: dict[str, str] = VOTERS) -> Node:
    return Node(identity, VOTERS.get(identity, "10.0.0.9:1"), Random(1), NOW, dict(voters))


def taken(one: Node) -> Effects:
    effects, one.effects = one.effects, Effects()
    return effects


def sync(one: Node) -> list:
    """All that waits is on disk; what may be said then."""
    said = []
    while one.effects.writes:
        effects = taken(one)
        for write in effects.writes:
            one.on_write_durable(one.now_us, write.last_index, write.last_term)
            for address, message in write.sends_when_durable:
                one.receive(one.now_us, message) if address == one.address else said.append(
                    (address, message)
                )
        said += effects.sends
    return said + taken(one).sends


def leader(term: int = 2) -> Node:
    """`a`, elected by `b`, whose own first entry is not committed yet."""
    one = node()
    one.term = term - 1
    one.tick(one.next_tick_us)
    ask = taken(one).sends[0][1]
    one.receive(one.now_us, RequestVoteReply(term, "b", True, True, False, False, ask.round))
    sync(one)
    one.receive(one.now_us, RequestVoteReply(term, "b", True, False))
    sync(one)
    assert one.is_leader and not one.has_committed_in_term
    return one


def reply(one: Node, name: str, match: int, success: bool = True, sent_us: int | None = None) -> None:
    sent = one.now_us if sent_us is None else sent_us
    address = VOTERS.get(name, f"10.0.1.{ord(name) % 250}:1")
    one.receive(one.now_us, AppendEntriesReply(one.term, name, address, success, match, sent))


def append(term: int, previous: tuple[int, int], entries: list[Entry], commit: int = 0) -> AppendEntries:
    return AppendEntries(term, "b", VOTERS["b"], "a", *previous, commit, 77, entries)


class Votes(unittest.TestCase):
    def ask(self, **over) -> RequestVote:
        asked = {
            "term": 5, "candidate": "b", "address": VOTERS["b"], "last_index": 0, "last_term": 0,
            "pre_vote": False,
        }  # fmt: skip
        return RequestVote(**{**asked, **over})

    def test_one_vote_a_term_and_only_once_it_is_on_disk(self) -> None:
        one = node()
        one.receive(NOW, self.ask())
        self.assertEqual(one.effects.sends, [])
        self.assertEqual(
            [each for write in one.effects.writes for each in write.records][-1], HardState(5, "b")
        )
        self.assertEqual(sync(one), [(VOTERS["b"], RequestVoteReply(5, "a", True, False))])
        one.receive(NOW, self.ask(candidate="c", address=VOTERS["c"]))
        self.assertEqual(sync(one), [(VOTERS["c"], RequestVoteReply(5, "a", False, False))])
        one.receive(NOW, self.ask())  # the same again
        self.assertTrue(sync(one)[0][1].granted)

    def test_no_vote_for_a_log_that_lacks_what_this_one_holds(self) -> None:
        for last, granted in (
            ((0, 0), False),
            ((1, 3), False),
            ((2, 2), False),
            ((2, 3), True),
            ((1, 4), True),
        ):
            with self.subTest(last=last):
                one = node()
                one.log.append([Entry(1, 3), Entry(2, 3)])
                one.receive(NOW, self.ask(last_index=last[0], last_term=last[1]))
                self.assertEqual(sync(one)[-1][1].granted, granted)

    def test_no_vote_while_a_leader_is_heard_and_the_term_stays(self) -> None:
        one = node()
        one.receive(NOW, append(3, (0, 0), []))
        taken(one)
        for at, granted in ((ELECTION_TIMEOUT_US - 1, False), (ELECTION_TIMEOUT_US + 1, True)):
            one.receive(NOW + at, self.ask())
            self.assertEqual((sync(one)[-1][1].granted, one.term), (granted, 5 if granted else 3))

    def test_one_that_was_just_let_in_votes_though_only_the_candidate_knows_of_it(self) -> None:
        """Else a leader that let it in, and lost another before that was committed, is never elected."""
        one = node("z", VOTERS)
        one.receive(NOW, self.ask(term=2, candidate="a", pre_vote=True))
        self.assertTrue(sync(one)[-1][1].granted)
        one.receive(NOW, self.ask(term=2, candidate="a"))
        self.assertTrue(sync(one)[-1][1].granted)

    def test_a_candidate_counts_no_vote_of_a_disk_that_it_does_not_know(self) -> None:
        one = node()
        one.tick(one.next_tick_us)
        asked = taken(one).sends[0][1]
        one.receive(NOW, RequestVoteReply(1, "emptied", True, True, False, True, asked.round))
        self.assertIs(one.role, Role.PRE_CANDIDATE)

    def test_one_that_was_started_anew_may_hold_up_a_lease(self) -> None:
        first = SnapshotRecord("a", 4, "", 0, 0, VOTERS, b"", [])
        one = Node.recover([first], VOTERS["a"], Random(1), NOW + 100_000, NOW)
        one.receive(NOW + RESTART_GUARD_US - 1, self.ask())
        self.assertFalse(sync(one)[-1][1].granted)
        one.receive(NOW + RESTART_GUARD_US - 1, self.ask(pre_vote=True))
        self.assertTrue(sync(one)[-1][1].unanimous_only)
        one.receive(NOW + RESTART_GUARD_US, self.ask())
        self.assertTrue(sync(one)[-1][1].granted)
        self.assertGreater(RESTART_GUARD_US, LEASE_US)

    def test_a_vote_that_was_read_and_not_synced_is_written_anew_before_it_is_said_again(self) -> None:
        records = [SnapshotRecord("a", 4, "", 0, 0, VOTERS, b"", []), HardState(5, "b")]
        one = Node.recover(records, VOTERS["a"], Random(1), NOW, NOW - RESTART_GUARD_US)
        taken(one)
        one.receive(NOW, self.ask())
        self.assertEqual(one.effects.sends, [])
        self.assertEqual(one.effects.writes[-1].records, [HardState(5, "b")])

    def test_a_pre_vote_of_an_earlier_round_counts_for_nothing(self) -> None:
        self.late_pre_vote()

    def late_pre_vote(self) -> None:
        one = node()
        one.tick(one.next_tick_us)
        old = taken(one).sends[0][1]
        one.receive(one.now_us, append(0, (0, 0), []))
        taken(one)
        one.tick(one.next_tick_us)
        asked = taken(one).sends[0][1]
        self.assertNotEqual(old.round, asked.round)
        one.receive(one.now_us, RequestVoteReply(1, "b", True, True, False, True, old.round))
        self.assertIs(one.role, Role.PRE_CANDIDATE)
        one.receive(one.now_us, RequestVoteReply(1, "b", True, True, False, True, asked.round))
        self.assertIs(one.role, Role.CANDIDATE)

    def test_a_leader_and_a_candidate_never_say_that_no_lease_is_held(self) -> None:
        self.pre_vote_of_leader()

    def pre_vote_of_leader(self) -> None:
        one = leader()
        one.now_us += ELECTION_TIMEOUT_US * 2
        one.receive(one.now_us, self.ask(term=3, pre_vote=True, last_index=9, last_term=9))
        self.assertFalse(sync(one)[-1][1].granted)
        other = node()
        other.tick(other.next_tick_us)
        asked = taken(other).sends[0][1]
        other.receive(other.now_us, RequestVoteReply(1, "b", True, True, False, False, asked.round))
        self.assertIs(other.role, Role.CANDIDATE)
        taken(other)
        other.receive(other.now_us, self.ask(term=3, pre_vote=True))
        answer = taken(other).sends[-1][1]
        self.assertEqual((answer.granted, answer.idle), (True, False))

    def test_who_says_that_no_lease_is_held_can_not_come_to_lead_in_that_term(self) -> None:
        one = node()
        one.receive(NOW, self.ask(term=9, pre_vote=True))
        self.assertTrue(taken(one).sends[-1][1].idle)
        self.assertEqual(one.term, 8)

    def test_a_transfer_counts_in_its_own_term_alone(self) -> None:
        one = node()
        one.term = 4
        for message in (TimeoutNow(3, "a"), TimeoutNow(4, "b")):
            one.receive(NOW, message)
            self.assertIs(one.role, Role.FOLLOWER)
        one.receive(NOW, TimeoutNow(4, "a"))
        self.assertEqual((one.role, one.term), (Role.CANDIDATE, 5))
        one.receive(NOW, TimeoutNow(4, "a"))  # once more, late
        self.assertEqual(one.term, 5)


class Leader(unittest.TestCase):
    def test_it_commits_by_an_entry_of_its_own_term_alone(self) -> None:
        one = node()
        one.log.append([Entry(1, 1, b"x")])
        one.term = 1
        one.tick(one.next_tick_us)
        asked = taken(one).sends[0][1]
        one.receive(one.now_us, RequestVoteReply(2, "b", True, True, False, False, asked.round))
        sync(one)
        one.receive(one.now_us, RequestVoteReply(2, "b", True, False))
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
        sent = one.now_us
        one.now_us += 200_000
        reply(one, "b", one.log.last_index, sent_us=sent)
        self.assertTrue(one.has_lease())
        one.now_us = sent + LEASE_US + 1
        self.assertFalse(one.has_lease())

    def test_a_learner_holds_up_neither_lease_nor_commit(self) -> None:
        one = leader()
        one.receive(one.now_us, JoinRequest("z", "10.0.0.9:1"))
        reply(one, "z", one.log.last_index)
        self.assertEqual(one.commit_index, 0)
        one.now_us += LEASE_US + 1
        reply(one, "z", one.log.last_index)
        self.assertFalse(one.has_lease())

    def test_no_change_of_voters_before_an_entry_of_its_own_is_committed(self) -> None:
        self.change_before_own_entry()

    def change_before_own_entry(self) -> None:
        one = leader()
        one.receive(one.now_us, JoinRequest("z", "10.0.0.9:1"))
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

    def test_wrong_versions_of_these_rules_are_found(self) -> None:
        votes = Votes()
        for name, rule in (
            ("pre-vote-of-any-round", votes.late_pre_vote),
            ("leader-grants-pre-votes", votes.pre_vote_of_leader),
            ("change-before-own-entry", self.change_before_own_entry),
        ):
            with self.subTest(name=name), switched(BY_RULE, name), self.assertRaises(AssertionError):
                rule()


class Follower(unittest.TestCase):
    def test_a_start_counts_nothing_as_on_disk_before_it_has_written_it_anew(self) -> None:
        first = SnapshotRecord("a", 3, "b", 0, 0, VOTERS, b"", [Entry(1, 3)])
        records = [first, EntriesRecord([Entry(2, 3, b"x")], 1)]
        one = Node.recover(records, VOTERS["a"], Random(1), NOW)
        self.assertEqual((one.log.last_index, one.durable_index, one.commit_index), (2, 0, 1))
        self.assertEqual([each.index for each in taken(one).committed], [1])
        one.receive(NOW, append(3, (2, 3), []))
        self.assertEqual(taken(one).sends[-1][1].match, 0)
        one.on_write_durable(NOW, 2, 3)
        self.assertEqual(taken(one).sends[-1][1].match, 2)

    def test_entries_of_another_leader_go_with_all_after_them(self) -> None:
        one = node()
        one.receive(NOW, append(3, (0, 0), [Entry(1, 3), Entry(2, 3, b"old"), Entry(3, 3)]))
        sync(one)
        self.assertEqual(one.durable_index, 3)
        one.receive(NOW, append(4, (1, 3), [Entry(2, 4, b"new")]))
        self.assertEqual([(each.index, each.term) for each in one.log.entries], [(1, 3), (2, 4)])
        self.assertEqual(one.durable_index, 1)

    def test_an_earlier_message_that_comes_again_takes_nothing_away(self) -> None:
        one = node()
        first = append(3, (0, 0), [Entry(1, 3)])
        one.receive(NOW, first)
        one.receive(NOW, append(3, (1, 3), [Entry(2, 3)], 2))
        one.receive(NOW, first)
        self.assertEqual((one.log.last_index, one.commit_index), (2, 2))

    def test_it_refuses_what_does_not_join_its_log_and_what_is_no_leader_s_message(self) -> None:
        one = node()
        one.receive(NOW, append(3, (4, 3), [Entry(5, 3)]))
        self.assertFalse(taken(one).sends[-1][1].success)
        one.receive(NOW, append(3, (0, 0), [Entry(1, 3), Entry(7, 3)]))
        self.assertEqual(one.log.last_index, 0)

    def test_a_learner_that_hears_nobody_looks_for_the_leader_anew(self) -> None:
        one = node("z", {})
        one.receive(NOW, AppendEntries(3, "b", VOTERS["b"], "z", 0, 0, 0, 1))
        self.assertEqual(one.leader, "b")
        one.tick(one.next_tick_us)
        self.assertEqual((one.leader, one.leader_address), ("", ""))


class Snapshots(unittest.TestCase):
    def transferred(self, lose=lambda turn: False, again=lambda turn: False) -> tuple[bytes, int]:
        state = bytes(range(256)) * (3 * CHUNK_BYTES // 256) + b"end"
        transfer = Transfer(Snapshot(9, 2, VOTERS, state))
        assembly, turns = Assembly(), 0
        while True:
            turns += 1
            piece = InstallSnapshot(
                3, "b", "b:1", "a", 9, 2, VOTERS, transfer.piece(), 1, transfer.offset, len(state)
            )
            transfer.sent_us = 1
            if lose(turns):
                continue
            whole = assembly.take(piece)
            if again(turns):
                whole = assembly.take(piece) or whole
            if whole is not None:
                self.assertEqual(whole, state)
                return whole, turns
            transfer.wanted(9, len(assembly.data))

    def test_it_comes_whole_in_pieces_whatever_is_lost_or_comes_twice(self) -> None:
        self.assertEqual(self.transferred()[1], 4)
        self.assertEqual(self.transferred(lose=lambda turn: turn in (2, 3))[1], 6)
        self.transferred(again=lambda turn: True)

    def test_one_piece_is_under_way_at_a_time_and_the_snapshot_stays_the_same(self) -> None:
        one = leader()
        reply(one, "b", one.log.last_index)
        one.compact(b"s" * (2 * CHUNK_BYTES + 5))
        sync(one)
        reply(one, "c", 0, success=False)
        pieces = [each for _, each in taken(one).sends if isinstance(each, InstallSnapshot)]
        one.tick(one.next_tick_us)
        pieces += [each for _, each in taken(one).sends if isinstance(each, InstallSnapshot)]
        self.assertEqual([each.offset for each in pieces], [0])
        one.propose(b"x")
        sync(one)
        reply(one, "b", one.log.last_index)
        one.compact(b"t")  # the reader goes on with what it began
        taken(one)
        one.receive(
            one.now_us,
            InstallSnapshotReply(one.term, "c", VOTERS["c"], pieces[0].index, CHUNK_BYTES, one.now_us),
        )
        (piece,) = [each for _, each in taken(one).sends if isinstance(each, InstallSnapshot)]
        self.assertEqual(
            (piece.index, piece.offset, piece.data), (pieces[0].index, CHUNK_BYTES, b"s" * CHUNK_BYTES)
        )

    def test_the_log_keeps_more_while_a_snapshot_is_under_way(self) -> None:
        one = leader()
        reply(one, "b", one.log.last_index)
        one.compact(b"s")
        reply(one, "c", 0, success=False)
        self.assertTrue(one.transferring)

    def test_a_snapshot_keeps_the_voters(self) -> None:
        one = leader()
        reply(one, "b", one.log.last_index)
        one.receive(one.now_us, JoinRequest("z", "10.0.0.9:1"))
        reply(one, "z", one.log.last_index)
        one.tick(one.next_tick_us)
        sync(one)
        for name in "bz":
            reply(one, name, one.log.last_index)
        self.assertIn("z", one.voters)
        one.compact(b"s")
        self.assertIn("z", one.voters)
        self.assertIn("z", one.snapshot_record().voters)


class Members(unittest.TestCase):
    def group(self, size: int, **peers) -> Group:
        names = "abcdefgh"[:size]
        voters = {name: f"10.0.0.{i}:1" for i, name in enumerate(names, 1)}
        known = {name: Peer(address, 7, NOW) for name, address in voters.items() if name != "a"}
        known.update(peers)
        return Group(NOW, "a", voters["a"], voters, known, set(), 7)

    def test_no_change_leaves_fewer_caught_up_members_than_a_majority(self) -> None:
        """Every mix of states of the others, with and without new ones."""
        states = {
            "well": (7, NOW),
            "behind": (3, NOW),
            "silent": (7, NOW - UNRESPONSIVE_AFTER_US - 1),
        }
        made = 0
        for size, newcomers in product((1, 2, 3, 4, 5, 6), (0, 1, 2)):
            for mix in product(states, repeat=size - 1 + newcomers):
                group = self.group(size)
                names = [*list(group.voters)[1:], *"xy"[:newcomers]]
                for name, state in zip(names, mix, strict=True):
                    match, heard = states[state]
                    address = group.voters.get(name, f"10.0.9.{ord(name)}:1")
                    group.peers[name] = Peer(address, match, heard)
                voters = next_voters(group)
                if voters is None:
                    continue
                made += 1
                ready = {"a"} | {name for name, each in zip(names, mix, strict=True) if each == "well"}
                self.assertGreater(2 * len(ready & set(voters)), len(voters), (size, mix, voters))
                self.assertLessEqual(len(set(voters) ^ set(group.voters)), 1)
        self.assertGreater(made, 100)

    def test_majorities_before_and_after_a_change_share_a_member(self) -> None:
        for size in (1, 2, 3, 4, 5, 6, 8):
            before = "abcdefgh"[:size]
            for after in (before[:-1], before + "z"):
                if not after:
                    continue
                some = combinations(before, size // 2 + 1)
                others = list(combinations(after, len(after) // 2 + 1))
                self.assertTrue(all(set(one) & set(other) for one in some for other in others))

    def test_an_emptied_disk_at_a_voter_s_address_takes_the_voter_s_place(self) -> None:
        group = self.group(3, z=Peer("10.0.0.2:1", 0, NOW))
        group.peers["b"].last_contact_us = NOW - DISPLACED_AFTER_US - 1
        self.assertEqual(set(next_voters(group)), {"a", "c"})

    def test_a_late_message_of_an_earlier_disk_displaces_nobody(self) -> None:
        group = self.group(3, z=Peer("10.0.0.2:1", 0, NOW))
        group.peers["b"].last_contact_us = NOW - DISPLACED_AFTER_US // 2  # it speaks every heartbeat
        self.assertIsNone(next_voters(group))

    def test_a_silent_voter_is_replaced_only_where_another_offers_itself(self) -> None:
        group = self.group(3)
        group.peers["b"].last_contact_us = NOW - UNRESPONSIVE_AFTER_US - 1
        self.assertIsNone(next_voters(group))
        group.peers["z"] = Peer("10.0.0.9:1", 7, NOW)
        self.assertEqual(set(next_voters(group)), {"a", "c"})

    def test_one_that_leaves_is_let_go_where_three_stay(self) -> None:
        for size, goes in ((3, False), (4, True), (5, True)):
            group = self.group(size)
            group.leaving.add("b")
            after = next_voters(group)
            self.assertEqual(after is not None and "b" not in after, goes)

    def test_one_that_leaves_is_not_taken_in(self) -> None:
        group = self.group(3, z=Peer("10.0.0.9:1", 7, NOW))
        group.leaving.add("z")
        self.assertIsNone(next_voters(group))

    def test_the_rule_is_what_refuses(self) -> None:
        group = self.group(3, z=Peer("10.0.0.9:1", 7, NOW))
        group.peers["b"].last_contact_us = NOW - UNRESPONSIVE_AFTER_US - 1
        group.peers["c"].match_index = 3
        self.assertIsNone(next_voters(group))
        self.assertEqual(set(membership._wanted(group)), {"a", "c"})


if __name__ == "__main__":
    unittest.main()
