"""The monotonic clock of a process."""

import time


def now_us() -> int:
    """Return whole microseconds; they never step back, and say nothing of the time of day."""
    return time.monotonic_ns() // 1000
