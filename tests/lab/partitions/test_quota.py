"""The bound on a quota, with real processes that are partitioned, frozen and killed."""

import subprocess
import sys

import pytest
from click.testing import CliRunner
from support.loopback_network import LoopbackNetwork
from support.quota_simulation import SLO

from lapisgrade.cli.main import cli
from lapisgrade.lab.fleet.process import ROOT
from lapisgrade.lab.partitions import quota

# Runs the command line with all machines in one loopback network, 127.N, where N is the first argument.
CLI_ON_NETWORK = """
import sys
from unittest import mock
from lapisgrade.cli.main import main
from lapisgrade.lab.partitions import quota
with mock.patch.multiple(quota, FIRST_NETWORK=int(sys.argv.pop(1)), NETWORKS=1):
    main()
"""


@pytest.mark.parametrize(("seed", "case"), [(0, "owner-cut"), (1, "cut-and-killed"), (2, "owner-frozen")])
def test_the_quota_bound_holds_under_partitions_kills_and_freezes_of_processes(
    seed: int, case: str, loopback_network: LoopbackNetwork
) -> None:
    """A partitioned owner grants until its lease expires, while the other proxies restart and grant anew."""
    command = [
        sys.executable,
        "-c",
        CLI_ON_NETWORK,
        str(loopback_network.number),
        "lab",
        "partitions",
        "quota",
    ]
    options = ["--plays", "1", "--first", str(seed), "--cases", case]
    done = subprocess.run([*command, *options], cwd=ROOT, stdout=subprocess.PIPE, text=True)
    assert done.returncode == 0, done.stdout
    cells = [cell.strip() for cell in done.stdout.splitlines()[-1].split("|")]
    assert float(cells[4]) <= 1.0  # the share of the bound that the window with the most runs used
    assert float(cells[5]) > 0.5, "the tenant got less than half of its rate"


def test_max_in_window_counts_the_window_with_the_most_runs():
    assert quota.max_in_window([0.0, 1.0, 5.0, 5.1, 9.0], 5.0) == 3
    assert (quota.max_in_window([], 5.0), round(quota.quota_bound(SLO, 60, 60))) == (0, 416)


def test_an_unknown_case_is_refused_with_the_list_of_cases():
    done = CliRunner().invoke(cli, ["lab", "partitions", "quota", "--cases", "nobody"])
    assert done.exit_code == 2
    assert "no such case: nobody; known: none, owner-cut" in done.output
