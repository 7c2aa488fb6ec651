"""The limiter's clock: Unix time in microseconds without steps."""

import time
from collections.abc import Callable

_NS_PER_US = 1000


def wall_clock(offset_us: int = 0, drift_ppm: float = 0.0) -> Callable[[], int]:
    """Return a clock that reads Unix time once and then advances with the monotonic clock.

    Args:
        offset_us: Offset in microseconds, for tests of clock skew.
        drift_ppm: Microseconds gained per second, for tests of clock skew.
    """
    started_ns = time.monotonic_ns()
    unix_offset_ns = time.time_ns() - started_ns
    if not drift_ppm:
        return lambda: (time.monotonic_ns() + unix_offset_ns) // _NS_PER_US + offset_us

    def drifting_clock() -> int:
        now_ns = time.monotonic_ns()
        return (
            (now_ns + unix_offset_ns) // _NS_PER_US + offset_us + int((now_ns - started_ns) * drift_ppm / 1e9)
        )

    return drifting_clock
