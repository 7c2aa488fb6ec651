"""A new tenant is known to every carrier from one moment: what one has taken, none refuses afterwards.

The leader's telegraph and ledger and the carriers' junctions in simulated time: news that comes late or not
at all, carriers that freeze, start anew or are cut off, leaders that change, several tenants at once.
"""

import unittest

from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.lab.explore.first_train import DEFECTS, MS, World, conf, explore
from lapisgrade.railway import SECOND, talk, telegraph
from lapisgrade.railway.signalbox.ledger import Cast, Change, Ledger, encoded
from lapisgrade.railway.telegraph import DOUBT, MOMENT, Telegraph


class FirstTrain(unittest.TestCase):
    def test_what_one_carrier_has_taken_none_refuses_through_cuts_freezes_starts_and_new_leaders(
        self,
    ) -> None:
        calls = 0
        for seed in range(24):
            world = World(seed).run()
            self.assertEqual(world.refused_after, [], f"seed {seed}")
            self.assertEqual(world.taken_after, [], f"seed {seed}: withdrawn, refused, and taken again")
            self.assertIn(0, world.refused)
            calls += world.calls
            self.assertEqual(len(world.taken), world.tenants, f"seed {seed}: a tenant was never let in")
        self.assertGreater(calls, 10_000)

    def test_each_part_of_the_rule_is_needed(self) -> None:
        """Known defects put in on purpose are found within the same seeds, and told with what led to them."""
        for name in DEFECTS:
            lines: list[str] = []
            _, seed = explore(range(24), name, lines.append)
            self.assertGreaterEqual(seed, 0, name)
            self.assertIn("WRONG", lines[-1])
        self.assertEqual(explore(range(2))[1], -1)  # switched off again

    def test_the_command_says_what_it_found(self) -> None:
        for what, unit in (("log", "changes"), ("rejoin", "entries")):
            done = CliRunner().invoke(cli, ["lab", "explore", what, "--seeds", "1"])
            self.assertEqual((done.exit_code, done.output.count("\n")), (0, 1), done.output)
            self.assertIn(f"{unit}, 1 seeds, none wrong", done.output)
        done = CliRunner().invoke(cli, ["lab", "explore", "log", "--defect", "never-doubts"])
        self.assertEqual(done.exit_code, 2)
        self.assertIn("known: lying-disk, commits-alone, says-before-written", done.output)
        done = CliRunner().invoke(cli, ["lab", "explore", "--seeds", "2"])
        self.assertEqual((done.exit_code, done.output.count("\n")), (0, 1), done.output)
        done = CliRunner().invoke(cli, ["lab", "explore", "--seeds", "24", "--defect", "never-doubts"])
        self.assertEqual(done.exit_code, 1)
        self.assertIn("WRONG", done.output)

    def test_the_moment_waits_for_all_who_live_and_for_none_of_them_for_ever(self) -> None:
        ledger = Ledger()
        ledger.take(1, encoded(Change(True, conf(1, 0, 1))))
        ledger.take(2, encoded(Cast({"a": ("p", "1", "z"), "b": ("p", "1", "z")})))
        one = Telegraph(SECOND, 0)
        one.lead(0, 1, ledger.state)

        def asks(now: int, name: str, held: int) -> None:
            one.news(now, talk.Ask(name, "p", "1", "z", 0, "1+", 9, 2, held=held), ledger.state, [])

        asks(0, "a", 1)
        self.assertIsNone(one.force(MS, ledger.state))
        asks(2 * MS, "b", 1)
        self.assertEqual(one.force(3 * MS, ledger.state), telegraph.Force(1))
        self.assertIsNone(one.force(4 * MS, ledger.state))  # it is under way
        ledger.take(3, encoded(telegraph.Force(1)))
        self.assertEqual(ledger.state.acting_ver, 1)
        # The next one meets a carrier that is silent: it comes into force when that one must doubt.
        ledger.take(4, encoded(Change(True, conf(2, 1, 2))))
        self.assertIsNone(one.force(SECOND, ledger.state))
        asks(SECOND, "a", 2)
        self.assertIsNone(one.force(SECOND + DOUBT, ledger.state))
        self.assertEqual(one.force(SECOND + MOMENT, ledger.state), telegraph.Force(2))

    def test_what_was_refused_or_lost_its_race_is_never_held_nor_ordered(self) -> None:
        ledger = Ledger()
        ledger.take(1, encoded(Change(True, conf(1, 0, 1))))
        answers = [
            ledger.take(2, encoded(Change(True, conf(2, 1, 2)))).status,
            ledger.take(3, encoded(Change(True, conf(3, 1, 3)))).status,  # on the same base
            ledger.take(4, encoded(Change(True, b'{"Ver":9,"Base":2,"Ports":7}'))).status,
            ledger.take(5, encoded(Change(True, conf(2, 1, 2)))).status,  # the same again
        ]
        self.assertEqual(answers, [200, 412, 400, 200])
        self.assertEqual(list(ledger.state.staged), [1, 2])
        one = Telegraph(SECOND, 0)
        one.lead(0, 1, ledger.state)
        news = one.news(0, talk.Ask("a", "p", "1", "z", 0, "", 0, 0), ledger.state, [])
        self.assertEqual((news.ver, news.conf, list(news.staged)), (0, None, [1, 2]))

    def test_changes_that_follow_each_other_come_into_force_one_by_one_where_one_carrier_is_dark(
        self,
    ) -> None:
        ledger = Ledger()
        one = Telegraph(SECOND, 0)
        one.carriers["dark"] = telegraph.Carrier("p", "1", "z", 0)
        moments = {}
        for now in range(0, 4 * SECOND, 100 * MS):
            if now % (500 * MS) == 0:
                ver = ledger.state.ver + 1
                ledger.take(ver, encoded(Change(True, conf(ver, ver - 1, 1))))
            order = one.force(now, ledger.state)
            if order is not None:
                moments[order.ver] = now
                ledger.take(100 + order.ver, encoded(order))
        self.assertEqual(
            {ver: at - (ver - 1) * 500 * MS for ver, at in moments.items()},
            dict.fromkeys(range(1, 7), MOMENT),
        )

    def test_a_merged_version_waits_for_those_who_were_cut_off_with_a_draft(self) -> None:
        """Guards claims at a carrier that was counted out over the break and has not asked since the heal."""
        state = Ledger().state
        state.staged, state.merged = {5: b"{}"}, [5]
        one = Telegraph(SECOND, 0)
        one.carriers = {"a": telegraph.Carrier("p", "1", "z", SECOND, held=7)}
        self.assertIsNone(one.force(SECOND, state))
        state.staged[7] = b"{}"  # acknowledged on top of it: goes by the merged one too
        self.assertIsNone(one.force(SECOND + telegraph.REJOINS - 1, state))
        self.assertEqual(one.force(SECOND + telegraph.REJOINS, state), telegraph.Force(7))
        one.carriers["b"] = telegraph.Carrier("p", "1", "z", SECOND, held=4)  # it asked, and lacks both
        self.assertIsNone(one.force(SECOND + MOMENT - 1, state))
        self.assertEqual(one.force(SECOND + MOMENT, state), telegraph.Force(5))
        self.assertLess(telegraph.REJOINS, MOMENT)


if __name__ == "__main__":
    unittest.main()
