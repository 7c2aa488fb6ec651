"""`lapisgrade dump` prints data folders of revision 761b3d6 exactly as that revision did.

`data/stored` contains the folders: the three controllers of a cluster, each with a snapshot and log entries
after it, the third also with two drafts stored while no leader was reachable; a controller that had just
started; and a log with every type of entry. `data/dump` contains the expected output.
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
    """Return a folder with a copy of the stored folders and an empty folder `no_log`."""
    folder = tmp_path / "stored"
    shutil.copytree(DATA / "stored", folder)
    (folder / "no_log").mkdir()
    return folder


def transcript(code: int, out: str, err: str) -> str:
    return f"exit code {code}\n{out}" + "".join(f"stderr: {line}\n" for line in err.splitlines())


@pytest.mark.parametrize("option", ["", "--conf", "--history"])
@pytest.mark.parametrize("name", FOLDERS)
def test_dump_output_is_unchanged(name, option, stored, monkeypatch, capsys):
    monkeypatch.chdir(stored)
    code = main(["dump", FOLDERS[name], *([option] if option else [])])
    printed = capsys.readouterr()
    expected = (DATA / "dump" / f"{name}{option.replace('--', '-')}.txt").read_text()
    assert transcript(code, printed.out, printed.err) == expected


def test_dump_output_of_the_program_is_unchanged(stored):
    completed = subprocess.run(
        [sys.executable, "-m", "lapisgrade.gateway", "dump", "cluster/m3"],
        cwd=stored,
        env={**os.environ, "PYTHONPATH": os.getcwd()},
        capture_output=True,
        text=True,
        timeout=30,
    )
    expected = (DATA / "dump" / "m3.txt").read_text()
    assert transcript(completed.returncode, completed.stdout, completed.stderr) == expected


def test_dump_does_not_change_the_folders(stored):
    def contents():
        return {path.relative_to(stored): path.read_bytes() for path in stored.rglob("*") if path.is_file()}

    before = contents()
    for folder in FOLDERS.values():
        main(["dump", str(stored / folder)])
    assert contents() == before
