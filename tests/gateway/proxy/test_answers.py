"""Answers and their owners, on sockets before unruly servers, and wrong versions that must be found."""

import logging
import unittest
from contextlib import ExitStack
from unittest import mock

from support.loopback_network import reserve_loopback_network
from lapisgrade.lab.answers import MUTANTS, Found, Try, play


class Answers(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def test_a_response_ends_its_own_request_and_non_idempotent_requests_run_once(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                network = self.enterContext(reserve_loopback_network())
                found = await play(seed, network.number)
                self.assertEqual(found.wrong(), [])
                statuses = [each.status for each in found.tries.values()]
                self.assertGreater(statuses.count(200), 50)

    async def test_each_wrong_version_is_found(self) -> None:
        for name, patches in MUTANTS.items():
            with self.subTest(name=name), ExitStack() as stack:
                for where, what, bad in patches:
                    stack.enter_context(mock.patch.object(where, what, bad))
                network = stack.enter_context(reserve_loopback_network())
                found = await play(9, network.number)
                self.assertGreater(len(found.wrong()), 0, f"{name} was not found")


class Judge(unittest.TestCase):
    """What the plays are judged by."""

    def test_each_kind_of_violation_is_reported(self) -> None:
        good = Try(True, 200, b"/claim/1 a", True)
        for one, ran, arrived in (
            (good, 2, 2),
            (Try(True, 503), 1, 1),
            (Try(False, 200, b"/stock/1 b", True), 1, 1),
            (Try(False, 200, b"/stock/1 a", False), 1, 1),
            (good, 0, 1),
            (Try(False, 502), 1, 3),
        ):
            with self.subTest(one=one, ran=ran):
                found = Found({"a": one})
                found.ran["a"], found.arrived["a"] = ran, arrived
                self.assertEqual(len(found.wrong()), 1)
        found = Found({"a": good})
        found.ran["a"] = found.arrived["a"] = 1
        self.assertEqual(found.wrong(), [])
        found.arrived["z"] = 1
        self.assertEqual(found.wrong(), ["z came to a server, and no client sent it"])


if __name__ == "__main__":
    unittest.main()
