"""Decaying sums and token buckets.

This module contains arithmetic only, no decisions and no tuned constants. Times are integers in microseconds.
"""

import math

SECOND = 1_000_000  # us


class DecayingSum:
    """An exponentially decaying sum: an amount decays to 1/e in `decay_us`."""

    __slots__ = ("decay_us", "updated_us", "value")

    def __init__(self, decay_us: int, value: float = 0.0) -> None:
        """Create a sum of `value` at time 0."""
        self.decay_us = decay_us
        self.value = value
        self.updated_us = 0

    def read(self, now_us: int) -> float:
        """The sum at `now_us`, or at the last update if that is later."""
        if now_us > self.updated_us:
            self.value *= math.exp((self.updated_us - now_us) / self.decay_us)
            self.updated_us = now_us
        return self.value

    def add(self, now_us: int, amount: float) -> None:
        """Add an amount at `now_us`."""
        self.value = self.read(now_us) + amount


class TokenBucket:
    """A level that fills at `rate_per_s` up to `burst` units; it may be negative."""

    __slots__ = ("burst", "level", "rate_per_s", "updated_us")

    def __init__(self, now_us: int, rate_per_s: float, burst: float, level: float) -> None:
        """Create a bucket that holds `level` units at `now_us`."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = level
        self.updated_us = now_us

    def read(self, now_us: int) -> float:
        """The level at `now_us`, in units."""
        return min(self.burst, self.level + self.rate_per_s * (now_us - self.updated_us) / SECOND)

    def set_level(self, now_us: int, level: float) -> None:
        """Set the level at `now_us`, in units."""
        self.level = level
        self.updated_us = now_us

    def wait_us(self, now_us: int, units: float) -> int:
        """Time in us until the level reaches `units`; one second if the bucket does not fill."""
        if self.rate_per_s <= 0:
            return SECOND
        return max(0, math.ceil((units - self.read(now_us)) / self.rate_per_s * SECOND))
