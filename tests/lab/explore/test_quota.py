"""The exploration of quotas: no seed breaks the bound, and known defects are found."""

import unittest

from lapisgrade.lab.explore import quota, quota_defects


class Explored(unittest.TestCase):
    def test_explored_no_window_sees_more_than_is_allowed(self):
        """59 and 384 broke the rule before an owner knew of lists of live proxies that it had missed and of
        leases that were not its own."""
        worlds = [quota.World(seed).run() for seed in (59, 384, *range(12))]
        self.assertEqual([world.transcript() for world in worlds if world.wrong], [])
        self.assertGreater(max(world.worst / world.bound for world in worlds), 0.7)

    def test_each_known_defect_is_found(self):
        for name, seeds in quota_defects.FOUND_WITHIN.items():
            lines: list[str] = []
            _, seed = quota.explore(range(seeds), name, lines.append)
            self.assertGreaterEqual(seed, 0, name)
            self.assertIn("WRONG", lines[-1])
