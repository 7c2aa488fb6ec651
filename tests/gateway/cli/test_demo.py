"""`system-demo`: it serves all that it asks for, and says what was not served."""

import contextlib
import functools
import io
import logging
import unittest
from unittest import mock

from lapisgrade.gateway.cli import demo
from lapisgrade.gateway.local_cluster import LocalCluster
from support.loopback_network import reserve_loopback_network


class Demonstration(unittest.IsolatedAsyncioTestCase):
    def test_what_was_not_served_is_told_with_why_and_where(self) -> None:
        load = demo.LoadResult()
        load.add(0.25, "m2", TimeoutError())
        load.add(0.5, "m1", TimeoutError())
        self.assertEqual(load.failure_lines(), ["  not served: 2 with TimeoutError (no whole answer), "
                                        "the first after 0.25 s at proxy m2"])  # fmt: skip

    def setUp(self) -> None:
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def test_the_demo_serves_all_five_times_over(self) -> None:
        network = self.enterContext(reserve_loopback_network())
        cluster = functools.partial(LocalCluster, net=network.number)
        self.enterContext(mock.patch.object(demo, "LocalCluster", cluster))
        for _ in range(5):
            said: list[str] = []
            with contextlib.redirect_stderr(io.StringIO()):
                status = await demo.run_demo(1.0, said.append)
            self.assertEqual(status, 0, "\n".join(said))
