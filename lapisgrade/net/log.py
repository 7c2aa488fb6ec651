"""Lines for the people on call, on standard error, and the counters."""

import sys
import time
from collections import Counter

LINES_A_SECOND = 20


class Log:
    """Prints lines, so many a second at the most; what was left out is counted and said."""

    __slots__ = ("_left_out", "_name", "_printed", "_second")

    def __init__(self, name: str) -> None:
        self._name, self._second, self._printed, self._left_out = name, 0, 0, 0

    def say(self, text: str) -> None:
        second = int(time.monotonic())
        if second != self._second:
            if self._left_out:
                self._print(f"{self._left_out} lines left out")
            self._second, self._printed, self._left_out = second, 0, 0
        self._printed += 1
        if self._printed <= LINES_A_SECOND:
            self._print(text)
        else:
            self._left_out += 1

    def counts(self, counts: Counter[str]) -> None:
        """All counters on one line, whatever else was said."""
        self._print("counts: " + ", ".join(f"{name} {counts[name]}" for name in sorted(counts)))

    def _print(self, text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {self._name}: {text}", file=sys.stderr, flush=True)
