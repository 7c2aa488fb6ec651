"""Keys, units, defaults and error messages of the settings file and the configuration are unchanged."""

import json
from pathlib import Path

import pytest

from lapisgrade.gateway.__main__ import main

from . import samples

DATA = Path(__file__).parent / "data"
FAULTS: list[dict] = json.loads((DATA / "faults.json").read_text())


def write_json(folder: Path, content) -> str:
    path = folder / "file.json"
    path.write_text(json.dumps(content))
    return str(path)


def test_settings_with_every_field(tmp_path):
    assert samples.read_settings(write_json(tmp_path, samples.SETTINGS_FILE)) == samples.SETTINGS


def test_settings_with_only_required_fields(tmp_path):
    read = samples.read_settings(write_json(tmp_path, samples.REQUIRED_SETTINGS_FILE))
    assert read == samples.DEFAULT_SETTINGS


def test_configuration_with_every_field():
    assert samples.read_configuration(samples.CONFIGURATION_FILE) == samples.CONFIGURATION


def test_configuration_with_only_the_required_field():
    assert samples.read_configuration({"Ver": 1}) == samples.DEFAULT_CONFIGURATION


@pytest.mark.parametrize("fault", FAULTS, ids=[entry["id"] for entry in FAULTS])
def test_error_messages_are_unchanged(fault, tmp_path, monkeypatch, capsys):
    """`lapisgrade check` gives the exit code and output recorded in `data/faults.json` for each input."""
    monkeypatch.chdir(tmp_path)
    Path("file.json").write_text(fault["file"])
    code = main(fault["arguments"])
    printed = capsys.readouterr()
    assert [code, printed.out, printed.err] == [fault["code"], fault["out"], fault["err"]]
