"""The settings file and the configuration keep their keys, units and defaults, and what is said of faults."""

import json
from pathlib import Path

import pytest

from lapisgrade.gateway.__main__ import main

from . import samples

DATA = Path(__file__).parent / "data"
FAULTS: list[dict] = json.loads((DATA / "faults.json").read_text())


def written(folder: Path, content) -> str:
    path = folder / "file.json"
    path.write_text(json.dumps(content))
    return str(path)


def test_settings_with_each_field(tmp_path):
    assert samples.read_settings(written(tmp_path, samples.SETTINGS_FILE)) == samples.SETTINGS


def test_settings_with_the_required_fields_alone(tmp_path):
    read = samples.read_settings(written(tmp_path, samples.REQUIRED_SETTINGS_FILE))
    assert read == samples.DEFAULT_SETTINGS


def test_configuration_with_each_field():
    assert samples.read_configuration(samples.CONFIGURATION_FILE) == samples.CONFIGURATION


def test_configuration_with_the_required_field_alone():
    assert samples.read_configuration({"Ver": 1}) == samples.DEFAULT_CONFIGURATION


@pytest.mark.parametrize("fault", FAULTS, ids=[each["id"] for each in FAULTS])
def test_faults_are_reported_in_the_same_words(fault, tmp_path, monkeypatch, capsys):
    """`lapisgrade check`: what is given, as kept in `data/faults.json`, and what was said of it."""
    monkeypatch.chdir(tmp_path)
    Path("file.json").write_text(fault["file"])
    code = main(fault["arguments"])
    printed = capsys.readouterr()
    assert [code, printed.out, printed.err] == [fault["code"], fault["out"], fault["err"]]
