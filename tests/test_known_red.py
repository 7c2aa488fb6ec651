"""Only tests listed as known failures are left out of a run; they are reported, and stale entries fail it."""

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
    """Run pytest on a sample project and return its exit code and output."""
    tests = folder / "tests"
    tests.mkdir()
    (folder / "pyproject.toml").write_text(SETTINGS.format(support=Path(__file__).parent))
    (folder / known_red.FILE_NAME).write_text(listed)
    (tests / "conftest.py").write_text(CONFTEST)
    (tests / "test_sample.py").write_text(TESTS)
    command = (sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments)
    completed = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    return completed.returncode, completed.stdout + completed.stderr


@pytest.mark.parametrize("workers", ["0", "2"])
def test_only_listed_tests_are_reported_instead_of_run(tmp_path, workers):
    listed = f"# a comment\n\n{ENTRY}\n{PARAMETRIZED_ENTRY}"
    exit_code, output = run_sample(tmp_path, listed, "-n", workers, "--dist", "worksteal")
    assert exit_code == 0, output
    assert "2 passed, 2 xfailed" in output
    assert "known failures: 2 not run (KNOWN-RED.txt)" in output
    assert "tests/test_sample.py::test_red (issue 62): assert False" in output
    assert "tests/test_sample.py::test_each[two] (issue 62): assert False" in output


def test_failure_of_an_unlisted_test_fails_the_run(tmp_path):
    exit_code, output = run_sample(tmp_path, ENTRY)
    assert exit_code == 1, output
    assert "1 failed, 2 passed, 1 xfailed" in output


@pytest.mark.parametrize("workers", ["0", "2"])
@pytest.mark.parametrize("name", ["::test_gone", "::test_each", ""])
def test_entry_without_a_collected_test_fails_a_full_run(tmp_path, workers, name):
    stale_entry = ENTRY.replace("::test_red", name)
    listed = f"{ENTRY}\n{PARAMETRIZED_ENTRY}\n{stale_entry}"
    exit_code, output = run_sample(tmp_path, listed, "-n", workers, "--dist", "worksteal")
    assert exit_code == 1, output
    assert "2 passed, 2 xfailed" in output
    assert "KNOWN-RED.txt: entries whose test was not collected" in output


def test_entry_of_another_file_is_ignored_when_one_file_is_run(tmp_path):
    other_file_entry = ENTRY.replace("test_sample.py", "test_elsewhere.py")
    listed = f"{ENTRY}\n{PARAMETRIZED_ENTRY}\n{other_file_entry}"
    exit_code, output = run_sample(tmp_path, listed, "tests/test_sample.py")
    assert exit_code == 0, output


def test_option_runs_the_listed_tests(tmp_path):
    exit_code, output = run_sample(tmp_path, f"{ENTRY}\n{PARAMETRIZED_ENTRY}", known_red.RUN_OPTION)
    assert exit_code == 1, output
    assert "2 failed, 2 passed" in output


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (
            ENTRY.replace("issue: 62\n", ""),
            "line 1: an entry must have the non-empty lines test, command, seen, issue",
        ),
        (ENTRY.replace("62", ""), "line 1: an entry must have the non-empty lines"),
        (ENTRY + "more: of it\n", "line 5: expected one of the keys test, command, seen, issue"),
        (ENTRY + "issue: 63\n", "line 5: expected one of the keys"),
        ("tests/test_sample.py::test_red\n", "line 1: expected one of the keys"),
        (f"{ENTRY}\n{ENTRY}", "line 6: test tests/test_sample.py::test_red has more than one entry"),
    ],
)
def test_malformed_file_raises_an_error_with_the_line_number(text, message):
    with pytest.raises(known_red.KnownRedError) as caught:
        known_red.parse(text)
    assert message in str(caught.value)


def test_malformed_file_is_a_usage_error(tmp_path):
    exit_code, output = run_sample(tmp_path, "test: one\n")
    assert exit_code == pytest.ExitCode.USAGE_ERROR, output
    assert "KNOWN-RED.txt: line 1: an entry must have the non-empty lines" in output
