"""`lapisgrade dump` shows folders that revision 761b3d6 wrote exactly as that revision did.

`data/stored` holds the folders: the three controllers of a cluster, each with a snapshot and entries after
it, the third also with two drafts that were kept while no leader could be reached; a controller that had just
begun; and a log with each kind of entry. `data/dump` holds what was printed.
"""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from lapisgrade.gateway.__main__ import main

DATA = Path(__file__).parent / "data"
FOLDERS = {
    "m1": "cluster/m1",
    "m2": "cluster/m2",
    "m3": "cluster/m3",
    "begun": "begun",
    "every_entry": "every_entry",
    "no_log": "no_log",
    "missing": "missing",
}


@pytest.fixture
def stored(tmp_path: Path) -> Path:
    """A copy of the stored folders, and one that is empty."""
    folder = tmp_path / "stored"
    shutil.copytree(DATA / "stored", folder)
    (folder / "no_log").mkdir()
    return folder


def transcript(code: int, out: str, err: str) -> str:
    return f"exit code {code}\n{out}" + "".join(f"stderr: {line}\n" for line in err.splitlines())


@pytest.mark.parametrize("option", ["", "--conf", "--history"])
@pytest.mark.parametrize("name", FOLDERS)
def test_dump_prints_what_it_did(name, option, stored, monkeypatch, capsys):
    monkeypatch.chdir(stored)
    code = main(["dump", FOLDERS[name], *([option] if option else [])])
    printed = capsys.readouterr()
    expected = (DATA / "dump" / f"{name}{option.replace('--', '-')}.txt").read_text()
    assert transcript(code, printed.out, printed.err) == expected


def test_dump_as_a_program(stored):
    run = subprocess.run(
        [sys.executable, "-m", "lapisgrade.gateway", "dump", "cluster/m3"],
        cwd=stored,
        env={**os.environ, "PYTHONPATH": os.getcwd()},
        capture_output=True,
        text=True,
        timeout=30,
    )
    expected = (DATA / "dump" / "m3.txt").read_text()
    assert transcript(run.returncode, run.stdout, run.stderr) == expected


def test_dump_writes_nothing(stored):
    def contents():
        return {path.relative_to(stored): path.read_bytes() for path in stored.rglob("*") if path.is_file()}

    before = contents()
    for folder in FOLDERS.values():
        main(["dump", str(stored / folder)])
    assert contents() == before
