"""Pytest plugin for known failures: it reports the tests listed in `KNOWN-RED.txt` instead of running them.

A listed test is never run, even if it would pass. A run of the full suite fails if a listed test is not
collected, which detects misspelt entries and entries whose test was removed.
"""

from collections.abc import Iterator
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import pytest

FILE_NAME = "KNOWN-RED.txt"
RUN_OPTION = "--run-known-red"
# Pytest options with which a run does not collect or run every test.
PARTIAL_RUN_OPTIONS = ("ignore", "ignore_glob", "lf", "collectonly")
# Key in a pytest-xdist worker's output for the listed tests that the worker collected.
_WORKER_OUTPUT_KEY = "known_red_collected"


class KnownRedError(Exception):
    """The file is malformed; the message names the line and the error."""


@dataclass(frozen=True, slots=True)
class KnownRedTest:
    """An entry of the file. The field names are the keys in the file.

    Attributes:
        test: Test id, as pytest prints it.
        command: Command that fails, with its seed.
        seen: Observed failure.
        issue: Issue number.
    """

    test: str
    command: str
    seen: str
    issue: str


KEYS = tuple(field.name for field in fields(KnownRedTest))


def parse(text: str) -> dict[str, KnownRedTest]:
    """Return the entries of a file by test id.

    Raises:
        KnownRedError: A line is not part of an entry, or an entry is incomplete or duplicate.
    """
    entries: dict[str, KnownRedTest] = {}
    for number, block in _parse_blocks(text):
        if tuple(block) != KEYS or not all(block.values()):
            raise KnownRedError(
                f"line {number}: an entry must have the non-empty lines {', '.join(KEYS)}, in this order"
            )
        entry = KnownRedTest(**block)
        if entry.test in entries:
            raise KnownRedError(f"line {number}: test {entry.test} has more than one entry")
        entries[entry.test] = entry
    return entries


def _parse_blocks(text: str) -> Iterator[tuple[int, dict[str, str]]]:
    """Yield the number of the first line and the values by key, for each entry."""
    first_line_number, block = 0, {}
    for number, line in enumerate([*text.splitlines(), ""], 1):
        if line.startswith("#"):
            continue
        if not line.strip():
            if block:
                yield first_line_number, block
            block = {}
            continue
        key, separator, value = line.partition(":")
        if not separator or key not in KEYS or key in block:
            raise KnownRedError(
                f"line {number}: expected one of the keys {', '.join(KEYS)}, each once per entry"
            )
        first_line_number = first_line_number if block else number
        block[key] = value.strip()


def add_option(parser: pytest.Parser) -> None:
    """Add the option that also runs the listed tests."""
    parser.addoption(RUN_OPTION, action="store_true", help=f"run the tests listed in {FILE_NAME} as well")


class KnownRedPlugin:
    """Reports the listed tests instead of running them; each pytest-xdist worker has its own instance."""

    def __init__(self, config: pytest.Config) -> None:
        """Read the file at the root of the repository.

        Raises:
            pytest.UsageError: The file can't be read or is malformed.
        """
        try:
            self._entries = parse((Path(config.rootpath) / FILE_NAME).read_text())
        except (OSError, KnownRedError) as error:
            raise pytest.UsageError(f"{FILE_NAME}: {error}") from None
        self._config = config
        self._collected: set[str] = set()  # ids of the listed tests that were collected

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the listed tests as expected failures that are not run."""
        listed = [item for item in items if item.nodeid in self._entries]
        self._collected |= {item.nodeid for item in listed}
        if hasattr(self._config, "workeroutput"):
            self._config.workeroutput[_WORKER_OUTPUT_KEY] = sorted(self._collected)
        if self._config.getoption(RUN_OPTION):
            return
        for item in listed:
            issue = self._entries[item.nodeid].issue
            item.add_marker(pytest.mark.xfail(run=False, reason=f"{FILE_NAME}, issue {issue}"))

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        """Add the listed tests that a worker collected."""
        self._collected.update(getattr(node, "workeroutput", {}).get(_WORKER_OUTPUT_KEY, ()))

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail a run of the full suite that did not collect every listed test."""
        if self._uncollected_tests():
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the listed tests that were not run, and the entries whose test was not collected."""
        if self._collected and not self._config.getoption(RUN_OPTION):
            terminalreporter.section(f"known failures: {len(self._collected)} not run ({FILE_NAME})")
            for name in sorted(self._collected):
                entry = self._entries[name]
                terminalreporter.line(f"{name} (issue {entry.issue}): {entry.seen}")
        if uncollected := self._uncollected_tests():
            terminalreporter.section(f"{FILE_NAME}: entries whose test was not collected", red=True)
            for name in uncollected:
                terminalreporter.line(name)

    def _uncollected_tests(self) -> list[str]:
        """Return the listed tests that a run of the full suite did not collect; none for a partial run."""
        is_full_run = self._config.args_source is pytest.Config.ArgsSource.TESTPATHS and not any(
            self._config.getoption(name, False) for name in PARTIAL_RUN_OPTIONS
        )
        return sorted(set(self._entries) - self._collected) if is_full_run else []
