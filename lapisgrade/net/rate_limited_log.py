"""The limiter's log on standard error, for the people on call: `HH:MM:SS NAME: TEXT`."""

import sys
import time
from collections.abc import Mapping

MAX_LINES_PER_SECOND = 20


class RateLimitedLog:
    """Prints lines, so many a second at the most; how many were left out is said in the next second."""

    __slots__ = ("_name", "_omitted", "_printed", "_second")

    def __init__(self, name: str) -> None:
        self._name = name
        self._second = 0
        self._printed = 0  # in that second
        self._omitted = 0

    def write(self, text: str) -> None:
        """Print a line, or count it as left out."""
        second = int(time.monotonic())
        if second != self._second:
            if self._omitted:
                self._print(f"{self._omitted} lines left out")
            self._second = second
            self._printed = 0
            self._omitted = 0
        self._printed += 1
        if self._printed <= MAX_LINES_PER_SECOND:
            self._print(text)
        else:
            self._omitted += 1

    def write_counts(self, counts: Mapping[str, int]) -> None:
        """Print all counters on one line, whatever else was printed in this second."""
        self._print("counts: " + ", ".join(f"{name} {counts[name]}" for name in sorted(counts)))

    def _print(self, text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {self._name}: {text}", file=sys.stderr, flush=True)
