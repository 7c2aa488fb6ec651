"""The monotonic clock of a process."""

import time


def now_us() -> int:
    """Return the monotonic time in whole microseconds; unrelated to the time of day."""
    return time.monotonic_ns() // 1000
