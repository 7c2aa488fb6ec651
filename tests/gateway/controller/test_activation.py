"""A new tenant is known to every proxy from one moment: what one has taken, none refuses afterwards.

The leader's watch and state machine and the proxies' routers in simulated time: news that comes late or not
at all, proxies that freeze, start anew or are cut off, leaders that change, several tenants at once.
"""

import unittest

from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.lab.explore.activation import DEFECTS, World, conf, explore
from lapisgrade.lab.explore.watch_proxy import MS
from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.controller.commands import Activate, ConfigurationChange, LiveProxies, encode_command
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.version_activation import (
    ACTIVATION_TIMEOUT_US,
    MERGED_VERSION_DELAY_US,
    ProxyStatus,
)
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.watch_timing import MISSED_VERSION_AFTER_US


class Activation(unittest.TestCase):
    def test_what_one_proxy_has_served_none_denies_through_partitions_pauses_restarts_and_new_leaders(
        self,
    ) -> None:
        calls = 0
        for seed in range(24):
            world = World(seed).run()
            self.assertEqual(world.refused_after_acceptance, [], f"seed {seed}")
            self.assertEqual(
                world.accepted_after_refusal, [], f"seed {seed}: withdrawn, refused, and taken again"
            )
            self.assertIn(0, world.first_refused_us)
            calls += world.call_count
            self.assertEqual(
                len(world.first_accepted_us), world.tenant_count, f"seed {seed}: a tenant was never let in"
            )
        self.assertGreater(calls, 10_000)

    def test_known_defects_in_the_activation_rule_are_detected(self) -> None:
        """Known defects put in on purpose are found within the same seeds, and told with what led to them."""
        for name in DEFECTS:
            lines: list[str] = []
            _, seed = explore(range(24), name, lines.append)
            self.assertGreaterEqual(seed, 0, name)
            self.assertIn("WRONG", lines[-1])
        self.assertEqual(explore(range(2))[1], -1)  # switched off again

    def test_the_explore_command_reports_its_findings(self) -> None:
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

    def test_activation_waits_for_all_live_proxies_within_a_bound(self) -> None:
        state_machine = StateMachine()
        state_machine.apply(1, encode_command(ConfigurationChange(True, conf(1, 0, 1))))
        state_machine.apply(2, encode_command(LiveProxies({"a": ("p", "1", "z"), "b": ("p", "1", "z")})))
        one = Watch(SECOND, 0)
        one.become_leader(0, 1, state_machine.state)

        def asks(now: int, name: str, held: int) -> None:
            one.reply_if_changed(
                now,
                rpc_messages.WatchRequest(name, "p", "1", "z", 0, "1+", 9, 2, staged_version=held),
                state_machine.state,
                [],
            )

        asks(0, "a", 1)
        self.assertIsNone(one.activation(MS, state_machine.state))
        asks(2 * MS, "b", 1)
        self.assertEqual(one.activation(3 * MS, state_machine.state), Activate(1))
        self.assertIsNone(one.activation(4 * MS, state_machine.state))  # it is under way
        state_machine.apply(3, encode_command(Activate(1)))
        self.assertEqual(state_machine.state.active_version, 1)
        # The next one meets a proxy that is silent: it comes into force when that one must doubt.
        state_machine.apply(4, encode_command(ConfigurationChange(True, conf(2, 1, 2))))
        self.assertIsNone(one.activation(SECOND, state_machine.state))
        asks(SECOND, "a", 2)
        self.assertIsNone(one.activation(SECOND + MISSED_VERSION_AFTER_US, state_machine.state))
        self.assertEqual(one.activation(SECOND + ACTIVATION_TIMEOUT_US, state_machine.state), Activate(2))

    def test_rejected_changes_are_never_staged_nor_activated(self) -> None:
        state_machine = StateMachine()
        state_machine.apply(1, encode_command(ConfigurationChange(True, conf(1, 0, 1))))
        answers = [
            state_machine.apply(2, encode_command(ConfigurationChange(True, conf(2, 1, 2)))).status,
            state_machine.apply(
                3, encode_command(ConfigurationChange(True, conf(3, 1, 3)))
            ).status,  # on the same base
            state_machine.apply(
                4, encode_command(ConfigurationChange(True, b'{"Ver":9,"Base":2,"Ports":7}'))
            ).status,
            state_machine.apply(
                5, encode_command(ConfigurationChange(True, conf(2, 1, 2)))
            ).status,  # the same again
        ]
        self.assertEqual(answers, [200, 412, 400, 200])
        self.assertEqual(list(state_machine.state.staged_versions), [1, 2])
        one = Watch(SECOND, 0)
        one.become_leader(0, 1, state_machine.state)
        news = one.reply_if_changed(
            0, rpc_messages.WatchRequest("a", "p", "1", "z", 0, "", 0, 0), state_machine.state, []
        )
        self.assertEqual(
            (news.active_version, news.active_configuration, list(news.staged_versions)), (0, None, [1, 2])
        )

    def test_consecutive_changes_are_activated_one_by_one_with_one_proxy_unreachable(
        self,
    ) -> None:
        state_machine = StateMachine()
        one = Watch(SECOND, 0)
        one.proxies["dark"] = ProxyStatus("p", "1", "z", 0)
        moments = {}
        for now in range(0, 4 * SECOND, 100 * MS):
            if now % (500 * MS) == 0:
                ver = state_machine.state.version + 1
                state_machine.apply(ver, encode_command(ConfigurationChange(True, conf(ver, ver - 1, 1))))
            order = one.activation(now, state_machine.state)
            if order is not None:
                moments[order.version] = now
                state_machine.apply(100 + order.version, encode_command(order))
        self.assertEqual(
            {ver: at - (ver - 1) * 500 * MS for ver, at in moments.items()},
            dict.fromkeys(range(1, 7), ACTIVATION_TIMEOUT_US),
        )

    def test_a_merged_version_waits_for_proxies_that_were_partitioned_with_a_draft(self) -> None:
        """Guards claims at a proxy that was counted out over the break and has not asked since the heal."""
        state = StateMachine().state
        state.staged_versions, state.merged_versions = {5: b"{}"}, [5]
        one = Watch(SECOND, 0)
        one.proxies = {"a": ProxyStatus("p", "1", "z", SECOND, staged_version=7)}
        self.assertIsNone(one.activation(SECOND, state))
        state.staged_versions[7] = b"{}"  # acknowledged on top of it: goes by the merged one too
        self.assertIsNone(one.activation(SECOND + MERGED_VERSION_DELAY_US - 1, state))
        self.assertEqual(one.activation(SECOND + MERGED_VERSION_DELAY_US, state), Activate(7))
        one.proxies["b"] = ProxyStatus("p", "1", "z", SECOND, staged_version=4)  # it asked, and lacks both
        self.assertIsNone(one.activation(SECOND + ACTIVATION_TIMEOUT_US - 1, state))
        self.assertEqual(one.activation(SECOND + ACTIVATION_TIMEOUT_US, state), Activate(5))
        self.assertLess(MERGED_VERSION_DELAY_US, ACTIVATION_TIMEOUT_US)


if __name__ == "__main__":
    unittest.main()
