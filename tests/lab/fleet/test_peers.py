"""Failure detection between limiters as real processes; a limiter loads it only with a file of peers."""

import asyncio
import subprocess
import sys

import pytest
from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.lab.emulator import scenario
from lapisgrade.lab.fleet import checker, history, test_bed
from lapisgrade.lab.fleet.process import ROOT
from lapisgrade.members import site
from lapisgrade.settings import MalformedInputError

SCENARIO = """
[run]
name = "peers"
seconds = 8
limiters = 4
servers = 3
customers = 4
rate = 40
spread = 4
skew = 0
peers = true
[clients]
retry_share = 0
leave_share = 0
[[category]]
name = "read"
hard_stop_ms = 800
[[plan]]
name = "basic"
rate = 20
burst = 40
[[party]]
name = "two"
limiters = "0-1"
servers = "0-2"
counter = true
"""
KILL = '[[fault]]\nat_s = 0.5\nkind = "limiter_kill"\ntarget = "3"\nfor_s = 5\n'
PEER_CUT = '[[fault]]\nat_s = 0.3\nkind = "link_cut"\nlink = "peer"\ntarget = "0"\nfor_s = 5.0\n'


def logs(folder) -> list[str]:
    """Return the logs of all limiters of the run in `folder`, by index."""
    return [(folder / f"limiter-{index}" / "log").read_text() for index in range(4)]


@pytest.mark.parametrize(
    ("faults", "failed", "observers"),
    [(KILL, 3, (0, 1, 2)), (PEER_CUT, 0, (1, 2, 3))],
    ids=["killed", "cut off"],
)
def test_limiters_detect_failed_and_recovered_peers_and_keep_every_rule(faults, failed, observers, tmp_path):
    scenario_text = SCENARIO + faults
    files = asyncio.run(
        test_bed.run(scenario.parse(scenario_text, "peers.toml"), scenario_text, "peers.toml", tmp_path)
    )
    findings = checker.check(history.merged(files))
    assert findings.ok, findings.breaches[:5]
    assert findings.ends["finished"] > 200
    for index in observers:
        log = logs(tmp_path)[index]
        assert f"limiter lg-{failed} is dead" in log, log[-2000:]
        assert f"limiter lg-{failed} lives" in log.split(f"limiter lg-{failed} is dead")[-1]
        assert "peer frames read" in log
        assert "Traceback" not in log


def test_the_program_without_a_membership_file_imports_no_membership():
    code = (
        "import sys, lapisgrade.__main__, lapisgrade.bench_adapter.bench\n"
        "print([m for m in sys.modules if m.startswith(('lapisgrade.members', 'lapisgrade.peers', "
        "'lapisgrade.lab', 'lapisgrade.fakes', 'msgspec', 'click'))])"
    )
    result = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert result.stdout.strip() == "[]", result.stdout + result.stderr
    deploy = (ROOT / "deploy" / "balancer.toml").read_text()
    assert "--site" not in deploy
    assert "peers" not in deploy


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "no table"),
        ("[peers]\n", "peers.listen is not a host and a port"),
        ("[peers", "peers.toml: "),
        ('[peers]\nlisten = "127.0.0.1:1"\nseeds = ["here"]\n', "a seed is not a host and a port"),
        ('[peers]\nlisten = "127.0.0.1:1"\nport = 3\n', "peers.port is unknown"),
        ('[peers]\nlisten = "127.0.0.1:1"\nseeds = 3\n', "not a list"),
    ],
)
def test_an_invalid_membership_file_is_rejected_without_a_traceback(text, message, tmp_path):
    path = tmp_path / "peers.toml"
    path.write_text(text)
    with pytest.raises(MalformedInputError, match=message):
        site.read_settings(str(path))
    sample = str(ROOT / "deploy" / "sample.json")
    result = CliRunner().invoke(cli, ["serve", sample, "--site", str(path)])
    assert result.exit_code == 2
    assert "Traceback" not in result.output
    assert site.read_settings(str(ROOT / "deploy" / "peers.toml")).listen == ("127.0.0.1", 7400)
