"""The log's core explored in simulated time: what was acknowledged stays, whoever is killed, cut or
emptied."""

import unittest
from unittest import mock

from lapisgrade.gateway.consensus import compaction
from lapisgrade.lab.explore import log
from lapisgrade.lab.explore.cluster import Cluster


class Explored(unittest.TestCase):
    def test_what_was_acknowledged_outlives_kills_cuts_and_one_emptied_disk(self):
        for seed in range(30):
            with self.subTest(seed=seed):
                cluster = log.play(seed)
                self.assertEqual(cluster.wrong, [])
                self.assertEqual(len(cluster.controllers[cluster.leader()].voters), 3)

    def test_five_voters(self):
        for seed in range(8):
            with self.subTest(seed=seed):
                self.assertEqual(log.play(100 + seed, "abcde").wrong, [])

    def test_known_defects_are_found(self):
        """Guards the exploration itself."""
        for name in log.DEFECTS:
            said = []
            self.assertGreaterEqual(log.explore(range(20), name, said.append)[1], 0, name)
            self.assertIn("WRONG", said[-1])


class Voters(unittest.TestCase):
    def test_all_that_were_killed_together_have_a_leader_again_at_once(self):
        """And one whose earlier life may hold up a lease does not vote while a voter is not heard."""
        cluster = Cluster(5)
        cluster.run(2)
        for each in "abc":
            cluster.kill(each)
        for each in "abc":
            cluster.start(each)
        cluster.run(0.3)
        self.assertTrue(cluster.leader())
        old = cluster.leader()
        others = [each for each in "abc" if each != old]
        cluster.cut = {(old, others[0]), (others[0], old)}
        cluster.run(0.3)  # the leader's lease now rests on the other one alone
        cluster.kill(others[1])
        cluster.start(others[1])
        for _ in range(20):
            cluster.run(0.02)
            leased = [
                each
                for each, controller in cluster.controllers.items()
                if controller.is_leader and controller.has_lease()
            ]
            self.assertLessEqual(len(leased), 1)

    def test_an_empty_disk_does_not_vote_before_it_is_let_in(self):
        cluster = Cluster(1)
        cluster.run(2)
        cluster.propose(b"x")
        cluster.run(0.1)
        holder = next(name for name in "abc" if name != cluster.leader())
        for each in "abc":
            cluster.kill(each, wipe=each != holder)
        for each in "abc":
            cluster.start(each, identity=f"{each}new")
        cluster.run(5)
        self.assertEqual(cluster.leader(), "")  # two of three disks are lost: nobody may pretend to know

    def test_a_lost_controller_is_replaced_by_an_empty_one_elsewhere_and_may_come_back(self):
        cluster = Cluster(2)
        cluster.run(2)
        cluster.propose(b"x")
        cluster.run(0.1)
        gone = next(name for name in "abc" if name != cluster.leader())
        cluster.kill(gone)
        cluster.start("d", identity="new")
        cluster.run(4)
        voters = cluster.controllers[cluster.leader()].voters
        self.assertEqual(sorted(voters), sorted({*"abc"} - {gone} | {"new"}))
        cluster.start(gone)
        cluster.run(3)
        self.assertIn(cluster.controllers[cluster.leader()].term, cluster.leaders)
        self.assertIn(gone, cluster.controllers[cluster.leader()].voters)

    def test_a_leader_that_ends_in_order_hands_over_at_once(self):
        cluster = Cluster(6)
        cluster.run(2)
        cluster.propose(b"x")
        cluster.run(0.2)
        old = cluster.leader()
        cluster.controllers[old].step_down()
        cluster.drain(old)
        self.assertFalse(cluster.controllers[old].is_leader)
        cluster.run(0.06)
        self.assertNotIn(cluster.leader(), ("", old))
        cluster.propose(b"y")
        cluster.run(0.2)
        self.assertIn(b"y", cluster.acked)

    def test_a_leader_that_nobody_hears_says_nothing_any_more(self):
        cluster = Cluster(3)
        cluster.run(2)
        old = cluster.leader()
        cluster.cut = {(old, each) for each in "abc" if each != old}
        cluster.run(0.6)
        self.assertFalse(cluster.controllers[old].has_lease())
        cluster.run(1.5)
        self.assertFalse(cluster.controllers[old].is_leader)
        self.assertNotIn(cluster.leader(), ("", old))

    def test_a_snapshot_reaches_a_controller_that_lacks_the_entries(self):
        with mock.patch.object(compaction, "MAX_LOG_ENTRIES", 8):
            cluster = Cluster(4)
            cluster.run(2)
            away = next(name for name in "abc" if name != cluster.leader())
            cluster.kill(away)
            for number in range(30):
                cluster.propose(b"%d" % number)
                cluster.run(0.02)
            self.assertGreater(cluster.controllers[cluster.leader()].log.snapshot_index, 8)
            cluster.start(away)
            cluster.run(3)
            self.assertEqual(
                cluster.controllers[away].commit_index, cluster.controllers[cluster.leader()].commit_index
            )


if __name__ == "__main__":
    unittest.main()
