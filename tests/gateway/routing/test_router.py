"""What a proxy makes of servers that forget connections, fail in part, or say what is not so."""

import unittest
from collections import Counter
from random import Random
from unittest import mock

import attrs

from lapisgrade.decide.fleet import Attempt
from lapisgrade.gateway import SECOND, configuration, registry
from lapisgrade.gateway.configuration import Table
from lapisgrade.gateway.membership.subsets import Subsets
from lapisgrade.gateway.routing import split
from lapisgrade.gateway.routing.balancer import UpstreamCluster
from lapisgrade.gateway.routing.idle_connections import LIMIT_HOLDS_US, IdleConnections
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.routing.split import SplitChooser
from lapisgrade.gateway.settings import Slo, Span
from lapisgrade.interface import AttemptOutcome, AttemptResult, Clock

MS = 1_000


class Forgotten(unittest.TestCase):
    def setUp(self) -> None:
        self.idle_connections = IdleConnections()

    def broke(self, now: int, rested: int, took: int = 2 * MS, svc: str = "a") -> bool:
        sending = object()
        self.idle_connections.on_reuse(sending, rested)
        return self.idle_connections.on_attempt_finished(now, sending, svc, True, took)

    def test_what_runs_once_stays_off_connections_that_rested_as_long_as_one_that_was_forgotten(self) -> None:
        self.assertTrue(self.idle_connections.is_trusted(0, "a", 9 * SECOND, False))
        self.assertTrue(self.broke(SECOND, 400 * MS))
        self.assertFalse(self.idle_connections.is_trusted(SECOND, "a", 300 * MS, False))
        self.assertTrue(self.idle_connections.is_trusted(SECOND, "a", 200 * MS, False))
        self.assertTrue(self.idle_connections.is_trusted(SECOND, "b", 300 * MS, False))
        # What may be repeated goes on testing, and a lesson that nothing repeats is dropped.
        self.assertTrue(self.idle_connections.is_trusted(SECOND, "a", 9 * SECOND, True))
        self.assertTrue(self.idle_connections.is_trusted(SECOND + LIMIT_HOLDS_US, "a", 300 * MS, False))

    def test_the_shortest_rest_counts_and_a_slow_or_fresh_break_teaches_nothing(self) -> None:
        self.broke(SECOND, 400 * MS)
        self.broke(SECOND, 900 * MS)
        self.assertFalse(self.idle_connections.is_trusted(SECOND, "a", 300 * MS, False))
        self.assertFalse(self.broke(SECOND, 700 * MS, took=500 * MS, svc="b"))
        self.assertFalse(self.broke(SECOND, 10 * MS, svc="b"))
        self.assertFalse(self.idle_connections.on_attempt_finished(SECOND, object(), "b", True, 0))
        self.assertTrue(self.idle_connections.is_trusted(SECOND, "b", 9 * SECOND, False))


class Split(unittest.TestCase):
    def rule(self, *weights: float) -> configuration.Rule:
        shares = tuple(configuration.Share(f"s{i}", each) for i, each in enumerate(weights))
        action = configuration.Action(timeout=Span(SECOND), split=shares)
        return configuration.Rule("r", configuration.Match("/"), action)

    def shares(self, rule: configuration.Rule, proxies: int, requests: int) -> list[float]:
        taken = [SplitChooser(Random(seed)) for seed in range(proxies)]
        seen = Counter(each.choose(rule) for each in taken for _ in range(requests))
        return [seen[part.svc] / (proxies * requests) for part in rule.action.shares()]

    def test_each_part_gets_its_weights_share_of_few_requests_at_one_proxy_and_at_many(self) -> None:
        for proxies, requests, off in ((1, 300, 0.01), (12, 25, 0.03), (200, 2, 0.1)):
            for weights in ((90, 10), (50, 50), (1, 1, 8)):
                got = self.shares(self.rule(*weights), proxies, requests)
                for share, weight in zip(got, weights, strict=True):
                    self.assertAlmostEqual(share, weight / sum(weights), delta=off)

    def test_a_part_of_no_weight_gets_nothing_and_many_routes_are_bounded(self) -> None:
        self.assertEqual(self.shares(self.rule(0, 3, 0), 5, 50), [0.0, 1.0, 0.0])
        chooser = SplitChooser(Random(1))
        with mock.patch.object(split, "MAX_ROUTES", 3):
            for number in range(9):
                chooser.choose(attrs.evolve(self.rule(1, 1), name=f"r{number}"))
        self.assertEqual(len(chooser._offsets), 3)


class Fenced(unittest.TestCase):
    """A version that drafts from both sides of a break made is held ready and not in force yet."""

    def table(self, ver: int, claims: str, looks: str) -> Table:
        rules = [
            {
                "Name": name,
                "Mode": mode,
                "Match": {"Pfx": f"/{name}/"},
                "Action": {"Svc": svc, "Timeout": "1s"},
            }
            for name, mode, svc in (
                ("claim", "mutate", claims),
                ("desk", "mutate", "a"),
                ("look", "idem", looks),
            )
        ]
        conf = {
            "Ver": ver,
            "Ports": [{"Vhost": "h", "Policy": rules}],
            "Pools": [{"Name": "a"}, {"Name": "b"}],
        }
        return Table(configuration.read(conf))

    def test_what_runs_once_on_a_merged_route_waits_for_it_and_all_else_goes_on(self) -> None:
        router = Router(Clock(SECOND), 1, Slo(), "z", "c")
        router.activate(self.table(1, "a", "a"))
        router.tables.confirmed_us = SECOND

        def met(path: str) -> "int | str":
            found = router.match(SECOND, "h", path, "")
            return found if isinstance(found, int) else found[0].action.svc

        router.tables.stage(self.table(2, "b", "b"))
        self.assertEqual([met("/claim/1"), met("/desk/1"), met("/look/1")], ["a", "a", "a"])
        router.tables.stage(self.table(3, "b", "b"), is_merged=True)
        self.assertEqual([met("/claim/1"), met("/desk/1"), met("/look/1")], [503, "a", "a"])
        router.activate(router.tables.staged[3])
        self.assertEqual([met("/claim/1"), met("/desk/1"), met("/look/1")], ["b", "a", "b"])
        self.assertEqual(router.tables.merged_versions, set())


class Blamed(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = UpstreamCluster(Random(1), "z", Subsets("l", "z"))
        for name in ("s1", "s2"):
            self.cluster.update(0, registry.Server(name, "a", "10.0.0.1:1", "z", 2, "up", 1))
        self.latency = self.cluster.latency("r", 400 * MS)

    def end(self, now: int, name: str, outcome: AttemptOutcome, blame: float = 1.0) -> None:
        attempt = Attempt(None, self.cluster.servers[name], 0, now - 50 * MS)
        self.cluster.on_attempt_started(now - 50 * MS, attempt)
        self.cluster.on_attempt_finished(now, attempt, AttemptResult(outcome, 50 * MS), self.latency, blame)

    def taken(self, now: int) -> float:
        names = [self.cluster.choose(now, 50 * MS, []).address for _ in range(200)]
        return names.count("s1") / 200

    def test_a_server_that_fails_is_left_for_a_second_and_tried_again(self) -> None:
        for _ in range(8):
            self.end(SECOND, "s1", AttemptOutcome.ERROR)
            self.end(SECOND, "s2", AttemptOutcome.OK)
        self.assertEqual(self.taken(SECOND), 0.0)
        self.assertEqual(self.taken(SECOND + 900 * MS), 0.0)
        # Well again, it is used as soon as the other's slots are taken.
        for _ in range(2):
            self.cluster.on_attempt_started(
                20 * SECOND, Attempt(None, self.cluster.servers["s2"], 0, 20 * SECOND)
            )
        self.assertEqual(self.taken(20 * SECOND), 1.0)

    def test_neighbours_doubts_bend_the_choice_and_neither_one_nor_all_of_them_shut_a_sound_server_off(
        self,
    ) -> None:
        subsets = self.cluster._subsets
        subsets.told({name: ("10.0.0.9:1", "", "z") for name in ("l", "a", "b", "c")})
        self.assertEqual(self.cluster.unhealthy_servers(SECOND), [])
        for name in "abc":
            subsets.heard(SECOND, name, {}, [])
        subsets.heard(SECOND, "a", {}, ["s1"])
        self.assertGreater(self.taken(SECOND), 0.2)
        subsets.heard(SECOND, "b", {}, ["s1"])
        self.assertEqual(self.taken(SECOND), 0.0)
        for _ in range(2):
            self.cluster.on_attempt_started(SECOND, Attempt(None, self.cluster.servers["s2"], 0, SECOND))
        subsets.heard(SECOND, "c", {}, ["s1"])
        # Its own good answers weigh more than what the others say.
        for _ in range(12):
            self.end(SECOND, "s1", AttemptOutcome.OK)
        self.assertGreater(self.cluster.servers["s1"].confidence(SECOND, 3), 0.7)
        self.assertEqual(self.taken(SECOND), 1.0)

    def test_a_connection_that_was_forgotten_does_not_shut_a_sound_server_off(self) -> None:
        for _ in range(3):
            self.end(SECOND, "s1", AttemptOutcome.CONNECTION_LOST, 0.3)
            self.end(SECOND, "s1", AttemptOutcome.OK)
            self.end(SECOND, "s2", AttemptOutcome.OK)
        self.assertGreater(self.cluster.servers["s1"].health(SECOND, 50 * MS), 0.5)
        self.assertEqual(self.cluster.servers["s1"].ejected_until_us, 0)


if __name__ == "__main__":
    unittest.main()
