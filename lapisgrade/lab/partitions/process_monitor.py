"""Monitors the processes of a fleet: resource usage, unexpected ends, logged exceptions, and own stalls."""

import asyncio
import contextlib
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from lapisgrade.lab.partitions.fleet import Fleet
from lapisgrade.lab.partitions.operation_history import History

SAMPLE_INTERVAL_S = 0.25  # between checks of all processes
MAX_SAMPLE_DELAY_S = 1.0  # a check that is later than this shows that this process was stalled
MAX_LOG_LINES = 8  # last lines of the log that are shown of a process that ended by itself
MAX_TRACEBACK_LINES = 20  # lines that are shown of a logged exception
MAX_RESIDENT_MB = 200  # resident memory of a process; the operators' machines have no more
MAX_DESCRIPTORS = 475  # open descriptors of a process

OnUnexpectedEnd = Callable[[str, str, asyncio.subprocess.Process], None]
"""Called with the role, the machine and the process."""


@dataclass(slots=True)
class Usage:
    """Maximum resource usage of any process: resident memory in MiB, and open descriptors."""

    resident_mb: float = 0.0
    descriptors: int = 0


@dataclass(slots=True)
class ProcessMonitor:
    """Checks all processes of a fleet at intervals, and records violations in the history.

    Attributes:
        fleet: Fleet under test.
        history: Where violations and stalls are recorded.
        max_descriptors: Maximum number of open descriptors of a process.
        usage: Maximum resource usage of any process.
        expected_ends: Ids of processes whose end is expected, or was recorded.
        on_unexpected_end: Called once for each other process that has ended.
    """

    fleet: Fleet
    history: History
    max_descriptors: int = MAX_DESCRIPTORS
    usage: Usage = field(default_factory=Usage)
    expected_ends: set[int] = field(default_factory=set)
    on_unexpected_end: OnUnexpectedEnd = lambda role, name, process: None

    async def run(self) -> None:
        """Check all processes, and whether this process was stalled, until cancelled."""
        checked_s = time.monotonic()
        while True:
            for (role, name), process in list(self.fleet.running.items()):
                self._check(role, name, process)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            previous_s, checked_s = checked_s, time.monotonic()
            if checked_s - previous_s > SAMPLE_INTERVAL_S + MAX_SAMPLE_DELAY_S:
                self.history.stalls.append((previous_s, checked_s))

    def log_tail(self, role: str, name: str) -> str:
        """Return the last `MAX_LOG_LINES` lines of a process's log as one line."""
        log = Path(self.fleet.folder) / f"{name}-{role}.log"
        return " | ".join(log.read_text(errors="replace").splitlines()[-MAX_LOG_LINES:])

    def find_logged_exceptions(self) -> list[str]:
        """Return a description of each log with an exception that the process has contained or ended by."""
        found = []
        for log in sorted(Path(self.fleet.folder).glob("*.log")):
            lines = log.read_text(errors="replace").splitlines()
            starts = [number for number, line in enumerate(lines) if line.startswith("Traceback")]
            if starts:
                first = max(0, starts[0] - 1)  # the line before it says what has failed
                found.append(f"{log.stem} logged: {' | '.join(lines[first : first + MAX_TRACEBACK_LINES])}")
        return found

    def _check(self, role: str, name: str, process: asyncio.subprocess.Process) -> None:
        """Record a process's resource usage, or its unexpected end."""
        if process.returncode is not None:
            if process.pid not in self.expected_ends:
                self.expected_ends.add(process.pid)
                self.on_unexpected_end(role, name, process)
            return
        with contextlib.suppress(OSError):  # it ended during the check
            self._record_usage(f"{role} of {name}", Path("/proc") / str(process.pid))

    def _record_usage(self, process: str, folder: Path) -> None:
        """Record the usage of the process with the /proc folder `folder`; report the first excess of a limit.

        Raises:
            OSError: The process has ended.
        """
        descriptors = len(os.listdir(folder / "fd"))
        status = (folder / "status").read_text()
        lines = [line for line in status.splitlines() if line.startswith("VmRSS:")]
        resident_mb = int(lines[0].split()[1]) / 1024 if lines else 0.0
        if descriptors > self.max_descriptors >= self.usage.descriptors:
            self.history.process_violations.append(
                f"{process} has {descriptors} open descriptors, more than {self.max_descriptors}"
            )
        if resident_mb > MAX_RESIDENT_MB >= self.usage.resident_mb:
            self.history.process_violations.append(
                f"{process} uses {resident_mb:.0f} MB, more than {MAX_RESIDENT_MB}"
            )
        self.usage.descriptors = max(self.usage.descriptors, descriptors)
        self.usage.resident_mb = max(self.usage.resident_mb, resident_mb)
