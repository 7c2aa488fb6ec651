"""Tests that fail because of a known fault: `KNOWN-RED.txt` lists them; runs pass over and print them.

A listed test is not run, whatever it would give; a run of the whole suite fails where a listed test is not
collected, so that an entry can't outlive its test or be misspelt.
"""

from collections.abc import Iterator
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import pytest

FILE_NAME = "KNOWN-RED.txt"
RUN_OPTION = "--run-known-red"
PARTIAL_RUN_OPTIONS = ("ignore", "ignore_glob", "lf", "collectonly")  # with which not all tests are seen
_COLLECTED = "known_red_collected"  # what a worker of pytest-xdist tells the run that it belongs to


class KnownRedError(Exception):
    """The file can't be read; the message says what is wrong, and in which line."""


@dataclass(frozen=True, slots=True)
class KnownRedTest:
    """One entry.

    Attributes:
        test: The id of the test, as pytest prints it.
        command: What fails, with its seed.
        seen: What was seen.
        issue: The issue's number.
    """

    test: str
    command: str
    seen: str
    issue: str


KEYS = tuple(field.name for field in fields(KnownRedTest))


def parse(text: str) -> dict[str, KnownRedTest]:
    """Return the entries of a file by the ids of their tests.

    Raises:
        KnownRedError: A line is none of an entry, or an entry is not whole or stands twice.
    """
    entries: dict[str, KnownRedTest] = {}
    for number, block in _blocks(text):
        if tuple(block) != KEYS or not all(block.values()):
            raise KnownRedError(f"line {number}: an entry has the lines {', '.join(KEYS)}, in this order")
        entry = KnownRedTest(**block)
        if entry.test in entries:
            raise KnownRedError(f"line {number}: {entry.test} stands twice")
        entries[entry.test] = entry
    return entries


def _blocks(text: str) -> Iterator[tuple[int, dict[str, str]]]:
    """Yield each entry's lines by their keys, with the number of the first one."""
    begins_at, block = 0, {}
    for number, line in enumerate([*text.splitlines(), ""], 1):
        if line.startswith("#"):
            continue
        if not line.strip():
            if block:
                yield begins_at, block
            block = {}
            continue
        key, separator, value = line.partition(":")
        if not separator or key not in KEYS or key in block:
            raise KnownRedError(f"line {number}: not one of {', '.join(KEYS)}, each once")
        begins_at = begins_at if block else number
        block[key] = value.strip()


def add_option(parser: pytest.Parser) -> None:
    """Add the option that has listed tests run."""
    parser.addoption(RUN_OPTION, action="store_true", help=f"run the tests that {FILE_NAME} lists too")


class KnownRedPlugin:
    """Passes over the listed tests; in a run with workers, each of them has one of these."""

    def __init__(self, config: pytest.Config) -> None:
        """Read the file at the root of the repository.

        Raises:
            pytest.UsageError: The file can't be read.
        """
        try:
            self._entries = parse((Path(config.rootpath) / FILE_NAME).read_text())
        except (OSError, KnownRedError) as error:
            raise pytest.UsageError(f"{FILE_NAME}: {error}") from None
        self._config = config
        self._collected: set[str] = set()  # of the listed tests

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the listed tests as not to be run."""
        listed = [item for item in items if item.nodeid in self._entries]
        self._collected |= {item.nodeid for item in listed}
        if hasattr(self._config, "workeroutput"):
            self._config.workeroutput[_COLLECTED] = sorted(self._collected)
        if self._config.getoption(RUN_OPTION):
            return
        for item in listed:
            issue = self._entries[item.nodeid].issue
            item.add_marker(pytest.mark.xfail(run=False, reason=f"{FILE_NAME}, issue {issue}"))

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        """Take in what a worker collected."""
        self._collected.update(getattr(node, "workeroutput", {}).get(_COLLECTED, ()))

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail a run of the whole suite that did not collect a listed test."""
        if self._missing():
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print what was passed over, and entries without a test."""
        if self._collected and not self._config.getoption(RUN_OPTION):
            terminalreporter.section(f"known red: {len(self._collected)} passed over ({FILE_NAME})")
            for name in sorted(self._collected):
                entry = self._entries[name]
                terminalreporter.line(f"{name} (issue {entry.issue}): {entry.seen}")
        if missing := self._missing():
            terminalreporter.section(f"{FILE_NAME}: no such test was collected", red=True)
            for name in missing:
                terminalreporter.line(name)

    def _missing(self) -> list[str]:
        """Return the listed tests that a run of the whole suite did not collect."""
        is_whole = self._config.args_source is pytest.Config.ArgsSource.TESTPATHS and not any(
            self._config.getoption(name, False) for name in PARTIAL_RUN_OPTIONS
        )
        return sorted(set(self._entries) - self._collected) if is_whole else []
