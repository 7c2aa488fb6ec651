"""What customers got beside what their quotas allow: pure, told of each event with its time in microseconds.

One `Quota` per customer. Three figures come of it, all in units:

- `over`: the worst over all windows of any length of the units let in less burst + rate x length. One pass
  tells it: a debt that each unit raises, and that falls at the rate, is the most that any window ending
  there holds beyond rate x length.
- `inside`: units let in that a single bucket (burst, rate) still held; what is let in past it takes nothing,
  as the operators count.
- `owing`: units that one bucket which saw every operation would have let in. `short` is what the
  customer did not get of those: turned back with room.
"""

import math
from dataclasses import dataclass

SECOND = 1_000_000
FIGURES = ("over_worst", "over_mean", "over_share", "beyond_share", "short_share")


@dataclass(slots=True)
class Bucket:
    """A bucket that opens full."""

    rate: float  # units a second
    burst: float  # units
    level: float
    at_us: int

    def take(self, units: float, now_us: int) -> bool:
        """Whether it held the units; only then it gives them."""
        self.level = min(self.burst, self.level + self.rate * max(0, now_us - self.at_us) / SECOND)
        self.at_us = max(self.at_us, now_us)
        if self.level + 1e-9 < units:
            return False
        self.level -= units
        return True


class Quota:
    """One customer's use of its quota."""

    __slots__ = (
        "_asked",
        "_debt",
        "_debt_us",
        "_held",
        "admitted",
        "burst",
        "entitled",
        "max_excess",
        "rate",
        "within_quota",
    )

    def __init__(self, rate: float, burst: float, now_us: int) -> None:
        self.rate, self.burst = rate, burst
        self._held = Bucket(rate, burst, burst, now_us)
        self._asked = Bucket(rate, burst, burst, now_us)
        self._debt, self._debt_us = 0.0, now_us
        self.admitted = self.within_quota = self.entitled = 0.0
        self.max_excess = -burst

    def on_arrival(self, units: float, now_us: int) -> None:
        """An operation arrives, whatever becomes of it."""
        if self._asked.take(units, now_us):
            self.entitled += units

    def on_admission(self, units: float, now_us: int) -> None:
        """An operation was let in: its first hop went out, or it is known to have finished."""
        self.admitted += units
        if self._held.take(units, now_us):
            self.within_quota += units
        self._debt = max(0.0, self._debt - self.rate * max(0, now_us - self._debt_us) / SECOND) + units
        self._debt_us = max(self._debt_us, now_us)
        self.max_excess = max(self.max_excess, self._debt - self.burst)

    @property
    def shortfall(self) -> float:
        return max(0.0, self.entitled - self.within_quota)


def summary(quotas: list[Quota], seconds: float) -> dict[str, float]:
    """The figures over customers: worst and mean units over, and shares of rate x seconds."""
    kept = [each for each in quotas if each.rate > 0]
    if not kept:
        return dict.fromkeys(FIGURES, 0.0)
    over = [max(0.0, each.max_excess) for each in kept]
    allowed = [each.rate * seconds for each in kept]
    return {
        "over_worst": max(over),
        "over_mean": sum(over) / len(over),
        "over_share": max(o / a for o, a in zip(over, allowed, strict=True)),
        "beyond_share": sum(each.admitted - each.within_quota for each in kept) / sum(allowed),
        "short_share": sum(each.shortfall for each in kept) / sum(allowed),
    }


@dataclass(frozen=True, slots=True)
class ExcessBound:
    """The most units over that docs/design/counter-loss.md states, for one customer of `limiters` limiters
    whose operations take `units` at the most; `slices` is the module's SLICE, `knock_s` its breaker's wait.
    """

    rate: float
    burst: float
    limiters: int
    units: float
    slices: float
    knock_s: float = 1.0

    @property
    def life_s(self) -> float:
        return max(1.0, self.burst / self.rate)

    def healthy(self, seconds: float, look_s: float, answer_s: float) -> float:
        """With a counter that answers; `look_s` is the longest between two looks of one limiter."""
        lives = max(1e-9, look_s / self.life_s)
        evenly = (self.rate * seconds + self.burst) * (math.expm1(lives) / lives - 1)
        return self.units + self.rate * answer_s + evenly

    def cut_off(self, limiters: int, seconds: float) -> float:
        """So many limiters hear nothing from the counter for so long: the room last told until the breaker
        opens, then the local slices until a call is answered again. Where all are cut off, nobody else lets
        the quota's own rate in meanwhile."""
        part, lasts = limiters / self.limiters, seconds + 2 * self.knock_s
        over = part * (self.slices * (self.rate * lasts + self.burst) + 2 * self.burst)
        over += limiters * self.units
        return over - (self.rate * seconds if limiters == self.limiters else 0.0)

    def counter_emptied(self, times: int = 1) -> float:
        """The counter forgets everything, or another takes its place: at worst nobody who knew is left."""
        return times * self.burst

    def counter_split(self, halves: int, seconds: float) -> float:
        """So many halves each believe themselves whole for so long."""
        return (halves - 1) * (self.rate * (seconds + self.knock_s) + self.burst)
