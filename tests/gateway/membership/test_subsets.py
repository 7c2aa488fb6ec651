"""Which proxies are coupled, and which servers they share: the same for everybody, and steady."""

import unittest

from lapisgrade.gateway.membership.subsets import GROUP, Subsets, groups, spread

SECOND = 1_000_000


def live_proxies(names) -> dict[str, tuple[str, str, str]]:
    return {name: (f"{name}:1", "0", "z") for name in names}


class Coupled(unittest.TestCase):
    def test_everybody_cuts_the_same_groups_and_shares_all_servers_out(self):
        names = [f"c{number}" for number in range(32)]
        cut = groups(names)
        self.assertEqual(sorted(name for group in cut for name in group), sorted(names))
        self.assertLessEqual(max(map(len, cut)), GROUP)
        shares, servers = [], [f"i-{number}" for number in range(23)]
        for turn, group in enumerate(cut):
            one = Subsets(group[0], "z")
            one.told(live_proxies(names))
            self.assertEqual((one.turn, {group[0], *one.neighbours}), (turn, set(group)))
            shares += one.share(servers)
        self.assertEqual(sorted(shares), sorted(servers))

    def test_one_server_or_proxy_more_or_fewer_moves_few_of_the_others(self):
        for count, turns in ((44, 5), (97, 16), (23, 6)):
            names = [f"i-{number}" for number in range(count)]
            of = {name: turn for turn, share in enumerate(spread(names, turns)) for name in share}
            moved = []
            for gone in names:
                left = [name for name in names if name != gone]
                cut = spread(left, turns)
                self.assertLessEqual(max(map(len, cut)) - min(map(len, cut)), 1)
                moved.append(sum(name not in cut[of[name]] for name in left))
            self.assertLess(sum(moved) / count, 0.1 * count)

    def test_a_neighbours_word_fades_and_a_strangers_is_not_kept(self):
        one = Subsets("a", "z")
        one.told(live_proxies(["a", "b"]))
        one.heard(0, "b", {"i-1": 2})
        one.heard(0, "x", {"i-1": 9})
        self.assertEqual((one.out(SECOND, "i-1"), one.known(SECOND)), (2, True))
        self.assertEqual((one.out(2 * SECOND, "i-1"), one.known(2 * SECOND)), (0, False))


if __name__ == "__main__":
    unittest.main()
