"""The rejoin with real processes whose links are cut."""

import asyncio
import tempfile
import unittest
from random import Random

from lapisgrade.lab.partitions import rejoin
from lapisgrade.lab.partitions.fleet import Stamped
from support.loopback_network import reserve_loopback_network


class Rejoin(unittest.IsolatedAsyncioTestCase):
    async def test_links_cut_between_processes_and_one_route_that_keeps_both(self) -> None:
        cases = ("cut-off", "one-way", "opens-again", "leader-lost")

        async def one(seed: int, case: str) -> rejoin.Found:
            with tempfile.TemporaryDirectory() as folder, reserve_loopback_network() as network:
                return await rejoin.play(case, network.number, folder, Random(seed))

        for found in await asyncio.gather(*(one(100 + number, case) for number, case in enumerate(cases))):
            with self.subTest(found.case):
                self.assertEqual((found.wrong, found.urgent_failed), ([], 0))
                self.assertGreater(found.claims, 30)

    def test_the_checker_of_claims_sees_what_must_not_be(self) -> None:
        tries = {"a": rejoin.Try(1, "m1", 1.0, 200), "b": rejoin.Try(2, "m2", 1.1, 503),
                 "c": rejoin.Try(2, "m2", 2.0, 200), "d": rejoin.Try(3, "m3", 3.0, 504)}  # fmt: skip

        def ran(**at: float) -> Stamped:
            made = Stamped()
            for name, when in at.items():
                made[name] += 1
                made.at[name] = when
            return made

        self.assertEqual(rejoin.breaches(tries, ran(a=1.0), ran(c=2.1)), [])
        self.assertEqual(rejoin.breaches(tries, ran(), ran(a=1.0, c=2.1, d=9.0)), [])
        for old, new, wrong in (
            (ran(a=1.0, c=2.0), ran(a=1.0), "claim 1: ran 2 times"),
            (ran(a=1.0, b=1.2), ran(c=2.1), "b: answered 503, and ran"),
            (ran(a=1.0), ran(), "c: answered 200, and nobody ran it"),
            (ran(a=1.0, d=3.1), ran(c=2.1), "d: by the old route at m3, 0.900 s late"),
        ):
            self.assertIn(wrong, rejoin.breaches(tries, old, new))
        self.assertEqual(rejoin.breaches(tries, ran(a=1.0, d=3.1), ran(c=2.1), {"m3"}), [])
