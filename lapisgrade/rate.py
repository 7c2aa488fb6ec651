"""Sums and stores that change with time alone. Arithmetic: nothing here decides, no figure is tuned."""

import math

SECOND = 1_000_000  # us


class DecayingSum:
    """A sum that forgets: what was added counts 1/e after `life`."""

    __slots__ = ("decay_us", "updated_us", "value")

    def __init__(self, life: int, value: float = 0.0) -> None:
        self.decay_us, self.value, self.updated_us = life, value, 0

    def read(self, now: int) -> float:
        if now > self.updated_us:
            self.value *= math.exp((self.updated_us - now) / self.decay_us)
            self.updated_us = now
        return self.value

    def add(self, now: int, amount: float) -> None:
        self.value = self.read(now) + amount


class TokenBucket:
    """A store of units that fills at a rate up to a burst."""

    __slots__ = ("burst", "level", "rate_per_s", "updated_us")

    def __init__(self, now: int, rate: float, burst: float, level: float) -> None:
        self.rate_per_s, self.burst, self.level, self.updated_us = rate, burst, level, now

    def read(self, now: int) -> float:
        return min(self.burst, self.level + self.rate_per_s * (now - self.updated_us) / SECOND)

    def set_level(self, now: int, level: float) -> None:
        self.level, self.updated_us = level, now

    def wait_us(self, now: int, units: float) -> int:
        return (
            max(0, math.ceil((units - self.read(now)) / self.rate_per_s * SECOND))
            if self.rate_per_s > 0
            else SECOND
        )
