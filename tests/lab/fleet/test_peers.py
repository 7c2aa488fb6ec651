"""Limiters that know of one another, as real processes; and that nothing of it is there where it is off."""

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

SCENE = """
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
KILLED = '[[fault]]\nat_s = 0.5\nkind = "limiter_kill"\ntarget = "3"\nfor_s = 5\n'
APART = '[[fault]]\nat_s = 0.3\nkind = "link_cut"\nlink = "peer"\ntarget = "0"\nfor_s = 5.0\n'


def logs(folder) -> list[str]:
    return [(folder / f"limiter-{i}" / "log").read_text() for i in range(4)]


@pytest.mark.parametrize(
    ("faults", "dead", "by"), [(KILLED, 3, (0, 1, 2)), (APART, 0, (1, 2, 3))], ids=["killed", "cut off"]
)
def test_limiters_detect_failed_and_recovered_peers_and_keep_every_rule(faults, dead, by, tmp_path):
    said = SCENE + faults
    files = asyncio.run(test_bed.run(scenario.parse(said, "peers.toml"), said, "peers.toml", tmp_path))
    got = checker.check(history.merged(files))
    assert got.ok, got.breaches[:5]
    assert got.ends["finished"] > 200
    for index in by:
        log = logs(tmp_path)[index]
        assert f"limiter lg-{dead} is dead" in log, log[-2000:]
        assert f"limiter lg-{dead} lives" in log.split(f"limiter lg-{dead} is dead")[-1]
        assert "peer frames read" in log
        assert "Traceback" not in log


def test_the_program_without_a_membership_file_imports_no_membership():
    code = (
        "import sys, lapisgrade.__main__, lapisgrade.bench_adapter.bench\n"
        "print([m for m in sys.modules if m.startswith(('lapisgrade.members', 'lapisgrade.peers', "
        "'lapisgrade.lab', 'lapisgrade.fakes', 'msgspec', 'click'))])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
    deploy = (ROOT / "deploy" / "balancer.toml").read_text()
    assert "--site" not in deploy
    assert "peers" not in deploy


@pytest.mark.parametrize(
    ("text", "what"),
    [
        ("", "no table"),
        ("[peers]\n", "peers.listen is not a host and a port"),
        ("[peers", "peers.toml: "),
        ('[peers]\nlisten = "127.0.0.1:1"\nseeds = ["here"]\n', "a seed is not a host and a port"),
        ('[peers]\nlisten = "127.0.0.1:1"\nport = 3\n', "peers.port is unknown"),
        ('[peers]\nlisten = "127.0.0.1:1"\nseeds = 3\n', "not a list"),
    ],
)
def test_an_invalid_membership_file_is_rejected_in_one_line(text, what, tmp_path):
    path = tmp_path / "peers.toml"
    path.write_text(text)
    with pytest.raises(MalformedInputError, match=what):
        site.read_settings(str(path))
    sample = str(ROOT / "deploy" / "sample.json")
    done = CliRunner().invoke(cli, ["serve", sample, "--site", str(path)])
    assert done.exit_code == 2
    assert "Traceback" not in done.output
    assert site.read_settings(str(ROOT / "deploy" / "peers.toml")).listen == ("127.0.0.1", 7400)
