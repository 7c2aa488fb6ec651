"""Proxies beside controllers, their real shells in simulated time, and wrong versions that must be found."""

import logging
import unittest

from lapisgrade.lab.explore import data_plane as explored
from lapisgrade.lab.explore.defects import switched
from lapisgrade.lab.simulation import data_plane_mutants
from lapisgrade.lab.simulation.data_plane import played

SEEDS = 10


class DataPlane(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_versions_counts_quotas_and_leaving_servers_are_kept_through_troubles(self) -> None:
        sent = grants = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                play = played(seed)
                self.assertEqual(play.wrong, [], "\n".join(play.transcript()))
                sent, grants = sent + len(play.sent_us), grants + play.grants
        self.assertGreater(sent, 200 * SEEDS)
        self.assertGreater(grants, 500 * SEEDS)

    def test_a_seed_replays_exactly(self) -> None:
        first, second = played(3), played(3)
        self.assertEqual((first.cluster.said, first.sent_us), (second.cluster.said, second.sent_us))

    def test_each_wrong_version_is_found(self) -> None:
        for name in explored.DEFECTS:
            begin, many = data_plane_mutants.FOUND_FROM.get(name, (0, 12))
            with self.subTest(name=name), switched(explored.DEFECTS, name):
                found = next((seed for seed in range(begin, begin + many) if played(seed).wrong), None)
                self.assertIsNotNone(found, f"{name} survived {many} seeds from {begin} on")

    def test_the_exploration_tells_what_led_to_it(self) -> None:
        lines: list[str] = []
        _, seed = explored.explore(range(2), "old-fence", lines.append)
        self.assertGreaterEqual(seed, 0)
        self.assertIn("WRONG", lines[-1])
