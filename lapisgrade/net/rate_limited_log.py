"""A log of so many lines a second at most; by default on standard error, as `HH:MM:SS NAME: TEXT`."""

import functools
import sys
import time
from collections.abc import Callable, Mapping

MAX_LINES_PER_SECOND = 20


class RateLimitedLog:
    """Prints lines, so many a second at the most; how many were left out is said in the next second."""

    __slots__ = ("_omitted", "_print", "_printed", "_second")

    def __init__(self, name: str, print_line: Callable[[str], None] | None = None) -> None:
        """`print_line` takes each line that is printed; by default it goes to standard error."""
        self._print = print_line or functools.partial(_print_to_standard_error, name)
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


def _print_to_standard_error(name: str, text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {name}: {text}", file=sys.stderr, flush=True)
