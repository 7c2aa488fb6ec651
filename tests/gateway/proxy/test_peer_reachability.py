"""Which other machines a proxy reaches."""

import unittest
from random import Random
from types import SimpleNamespace

from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.peer_reachability import ISOLATED_AFTER_US, PeerReachability


class PeerReachabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_us = 10 * ISOLATED_AFTER_US
        context = ProxyContext(SimpleNamespace(ip="10.0.0.1"), Random(1), lambda: self.now_us)
        self.reachability = PeerReachability(context)

    def test_a_proxy_that_no_other_machine_replies_to_is_isolated_where_others_live(self) -> None:
        self.assertTrue(self.reachability.is_isolated(2))
        self.assertFalse(self.reachability.is_isolated(1))
        self.reachability.on_reply(("10.0.0.2", 1))
        self.assertFalse(self.reachability.is_isolated(2))
        self.now_us += ISOLATED_AFTER_US + 1
        self.assertTrue(self.reachability.is_isolated(2))

    def test_on_its_own_machine_only_a_leaders_reply_counts(self) -> None:
        self.reachability.on_reply(("10.0.0.1", 1))
        self.assertTrue(self.reachability.is_isolated(2))
        self.reachability.on_reply(("10.0.0.1", 1), is_leader=True)
        self.assertFalse(self.reachability.is_isolated(2))

    def test_a_proxy_whose_machine_refuses_is_terminated_until_it_is_reached(self) -> None:
        self.reachability.on_call_finished("p2", is_refused=True)
        self.assertEqual(self.reachability.terminated, {"p2"})
        self.reachability.on_call_finished("p2", is_refused=False)
        self.assertEqual(self.reachability.terminated, set())


if __name__ == "__main__":
    unittest.main()
