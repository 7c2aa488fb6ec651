"""The bound on a quota with real processes that are cut off, frozen and killed."""

import asyncio
import sys
import unittest

from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.lab.fleet.process import ROOT
from lapisgrade.lab.partitions import quota as partitioned
from support.loopback_network import reserve_loopback_network
from support.quota_simulation import SLO

# The command line, with the plays' machines on the network that its first argument names.
CLI_ON_NETWORK = """
import sys
from unittest import mock
from lapisgrade.cli.main import main
from lapisgrade.lab.partitions import quota
with mock.patch.multiple(quota, NET=int(sys.argv.pop(1)), NETS=1):
    main()
"""


class Plays(unittest.IsolatedAsyncioTestCase):
    """With processes: an owner behind a cut grants on until its time is over, while all others start anew."""

    async def test_the_bound_holds_over_cuts_and_kills_of_processes(self):
        async def one(seed: int, case: str) -> list[str]:
            told = ("lab", "partitions", "quota", "--plays", "1", "--first", str(seed), "--cases", case)
            with reserve_loopback_network() as network:
                running = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-c", CLI_ON_NETWORK, str(network.number), *told),
                    cwd=ROOT,
                    stdout=asyncio.subprocess.PIPE,
                )
                said = (await running.communicate())[0].decode()
            self.assertEqual(running.returncode, 0, said)
            return [each.strip() for each in said.splitlines()[-1].split("|")]

        cases = ("owner-cut", "cut-and-killed", "owner-frozen")
        for row in await asyncio.gather(*(one(seed, case) for seed, case in enumerate(cases))):
            with self.subTest(row[1]):
                self.assertLessEqual(float(row[4]), 1.0)
                self.assertGreater(float(row[5]), 0.5, "the load was not carried")

    def test_the_worst_window_is_found(self):
        self.assertEqual(partitioned.most([0.0, 1.0, 5.0, 5.1, 9.0], 5.0), 3)
        self.assertEqual((partitioned.most([], 5.0), round(partitioned.allowed(SLO, 60, 60))), (0, 416))

    def test_the_command_names_its_cases(self):
        done = CliRunner().invoke(cli, ["lab", "partitions", "quota", "--cases", "nobody"])
        self.assertEqual(done.exit_code, 2)
        self.assertIn("no such case: nobody; known: none, owner-cut", done.output)
