"""Tests that are known to fail are passed over and printed, they alone, and no entry outlives its test."""

import subprocess
import sys
from pathlib import Path

import pytest
from support import known_red

ENTRY = """test: tests/test_sample.py::test_red
command: pytest tests/test_sample.py, no seed
seen: assert False
issue: 62
"""
PARAMETRIZED_ENTRY = ENTRY.replace("::test_red", "::test_each[two]")
CONFTEST = """
import pytest
from support import known_red


def pytest_addoption(parser):
    known_red.add_option(parser)


def pytest_configure(config):
    config.pluginmanager.register(known_red.KnownRedPlugin(config), "known-red")
"""
TESTS = """
import pytest


def test_red():
    assert False


def test_red_too():
    assert True


@pytest.mark.parametrize("name", ["one", "two"])
def test_each(name):
    assert name == "one"
"""
SETTINGS = '[tool.pytest.ini_options]\ntestpaths = ["tests"]\npythonpath = ["{support}"]\n'


def run_sample(folder: Path, listed: str, *arguments: str) -> tuple[int, str]:
    """Run pytest on a project of its own; its exit code, and what it printed."""
    tests = folder / "tests"
    tests.mkdir()
    (folder / "pyproject.toml").write_text(SETTINGS.format(support=Path(__file__).parent))
    (folder / known_red.FILE_NAME).write_text(listed)
    (tests / "conftest.py").write_text(CONFTEST)
    (tests / "test_sample.py").write_text(TESTS)
    command = (sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments)
    got = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    return got.returncode, got.stdout + got.stderr


@pytest.mark.parametrize("workers", ["0", "2"])
def test_exactly_the_listed_tests_are_passed_over_and_printed(tmp_path, workers):
    listed = f"# a comment\n\n{ENTRY}\n{PARAMETRIZED_ENTRY}"
    code, printed = run_sample(tmp_path, listed, "-n", workers, "--dist", "worksteal")
    assert code == 0, printed
    assert "2 passed, 2 xfailed" in printed
    assert "known red: 2 passed over (KNOWN-RED.txt)" in printed
    assert "tests/test_sample.py::test_red (issue 62): assert False" in printed
    assert "tests/test_sample.py::test_each[two] (issue 62): assert False" in printed


def test_a_test_that_is_not_listed_fails_the_run(tmp_path):
    code, printed = run_sample(tmp_path, ENTRY)
    assert code == 1, printed
    assert "1 failed, 2 passed, 1 xfailed" in printed


@pytest.mark.parametrize("workers", ["0", "2"])
@pytest.mark.parametrize("name", ["::test_gone", "::test_each", ""])
def test_an_entry_without_a_test_fails_a_run_of_the_whole_suite(tmp_path, workers, name):
    gone = ENTRY.replace("::test_red", name)
    listed = f"{ENTRY}\n{PARAMETRIZED_ENTRY}\n{gone}"
    code, printed = run_sample(tmp_path, listed, "-n", workers, "--dist", "worksteal")
    assert code == 1, printed
    assert "2 passed, 2 xfailed" in printed
    assert "KNOWN-RED.txt: no such test was collected" in printed


def test_an_entry_of_another_file_is_no_matter_where_one_file_is_run(tmp_path):
    elsewhere = ENTRY.replace("test_sample.py", "test_elsewhere.py")
    listed = f"{ENTRY}\n{PARAMETRIZED_ENTRY}\n{elsewhere}"
    code, printed = run_sample(tmp_path, listed, "tests/test_sample.py")
    assert code == 0, printed


def test_listed_tests_run_where_it_is_asked_for(tmp_path):
    code, printed = run_sample(tmp_path, f"{ENTRY}\n{PARAMETRIZED_ENTRY}", known_red.RUN_OPTION)
    assert code == 1, printed
    assert "2 failed, 2 passed" in printed


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (ENTRY.replace("issue: 62\n", ""), "line 1: an entry has the lines test, command, seen, issue"),
        (ENTRY.replace("62", ""), "line 1: an entry has the lines"),
        (ENTRY + "more: of it\n", "line 5: not one of test, command, seen, issue"),
        (ENTRY + "issue: 63\n", "line 5: not one of"),
        ("tests/test_sample.py::test_red\n", "line 1: not one of"),
        (f"{ENTRY}\n{ENTRY}", "line 6: tests/test_sample.py::test_red stands twice"),
    ],
)
def test_a_malformed_file_is_one_message_with_its_line(text, message):
    with pytest.raises(known_red.KnownRedError) as caught:
        known_red.parse(text)
    assert message in str(caught.value)


def test_a_malformed_file_ends_the_run_before_any_test(tmp_path):
    code, printed = run_sample(tmp_path, "test: one\n")
    assert code == pytest.ExitCode.USAGE_ERROR, printed
    assert "KNOWN-RED.txt: line 1: an entry has the lines" in printed
