"""The limiter's time: Unix time in us that never steps."""

import time
from collections.abc import Callable

_NS_PER_US = 1000


def wall_clock(offset_us: int = 0, drift_ppm: float = 0.0) -> Callable[[], int]:
    """Unix time in us, read once and then advanced by the monotonic clock.

    For tests of clocks that disagree it may be `offset_us` ahead at the start, and gain `drift_ppm` us in
    each second.
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
