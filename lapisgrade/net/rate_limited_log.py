"""A rate-limited log, by default on standard error with lines of the form `HH:MM:SS NAME: TEXT`."""

import functools
import sys
import time
from collections.abc import Callable, Mapping

MAX_LINES_PER_SECOND = 20


class RateLimitedLog:
    """Prints at most `MAX_LINES_PER_SECOND` lines; the next line of a later second reports omitted lines."""

    __slots__ = ("_omitted", "_print", "_printed", "_second")

    def __init__(self, name: str, print_line: Callable[[str], None] | None = None) -> None:
        """`print_line` prints each line; the default prints to standard error."""
        self._print = print_line or functools.partial(_print_to_standard_error, name)
        self._second = 0  # second of the last line, on the monotonic clock
        self._printed = 0  # lines in that second, printed or omitted
        self._omitted = 0  # lines omitted in that second

    def write(self, text: str) -> None:
        """Print a line, or count it as omitted if the limit is exceeded."""
        second = int(time.monotonic())
        if second != self._second:
            if self._omitted:
                self._print(f"{self._omitted} log lines omitted by the rate limit")
            self._second = second
            self._printed = 0
            self._omitted = 0
        self._printed += 1
        if self._printed <= MAX_LINES_PER_SECOND:
            self._print(text)
        else:
            self._omitted += 1

    def write_counts(self, counts: Mapping[str, int]) -> None:
        """Print all counters on one line, regardless of the rate limit."""
        self._print("counts: " + ", ".join(f"{name} {counts[name]}" for name in sorted(counts)))


def _print_to_standard_error(name: str, text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {name}: {text}", file=sys.stderr, flush=True)
