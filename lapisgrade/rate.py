"""Quantities that change with time alone: decaying sums and token buckets.

Arithmetic only: nothing here decides, and no figure here is tuned. Times are whole microseconds.
"""

import math

SECOND = 1_000_000  # us


class DecayingSum:
    """A sum that fades: what was added counts 1/e after `decay_us`."""

    __slots__ = ("decay_us", "updated_us", "value")

    def __init__(self, decay_us: int, value: float = 0.0) -> None:
        """Create a sum of `value` at time 0."""
        self.decay_us = decay_us
        self.value = value
        self.updated_us = 0

    def read(self, now_us: int) -> float:
        """The sum now; a time before the last read is taken to be that."""
        if now_us > self.updated_us:
            self.value *= math.exp((self.updated_us - now_us) / self.decay_us)
            self.updated_us = now_us
        return self.value

    def add(self, now_us: int, amount: float) -> None:
        """Add to the sum now."""
        self.value = self.read(now_us) + amount


class TokenBucket:
    """A level of units that fills at a rate up to a burst; it may be drawn below 0."""

    __slots__ = ("burst", "level", "rate_per_s", "updated_us")

    def __init__(self, now_us: int, rate_per_s: float, burst: float, level: float) -> None:
        """Create a bucket that holds `level` units now."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = level
        self.updated_us = now_us

    def read(self, now_us: int) -> float:
        """The level now, in units."""
        return min(self.burst, self.level + self.rate_per_s * (now_us - self.updated_us) / SECOND)

    def set_level(self, now_us: int, level: float) -> None:
        """Set the level now, in units."""
        self.level = level
        self.updated_us = now_us

    def wait_us(self, now_us: int, units: float) -> int:
        """How long until the level reaches so many units; a second where it never fills."""
        if self.rate_per_s <= 0:
            return SECOND
        return max(0, math.ceil((units - self.read(now_us)) / self.rate_per_s * SECOND))
