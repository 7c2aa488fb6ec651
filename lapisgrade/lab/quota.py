"""Measures how far customers' admitted units exceed or fall short of their quotas.

Pure: called for each event, with its time in microseconds. One `Quota` per customer, all figures in units:

- `max_excess`: maximum over all windows of any length of the units admitted less burst + rate x length. One
  pass computes it: a debt grows by each admitted unit and falls at the rate; it is the most that any window
  ending now holds beyond rate x length.
- `within_quota`: units admitted while a single bucket (burst, rate) held them. Units admitted beyond it take
  nothing from the bucket, as in the operators' own accounting.
- `entitled`: units that a single bucket would have admitted if it had seen every operation. `shortfall` is
  the part of them that the customer did not get: rejected although the quota had room.
"""

import math
from dataclasses import dataclass

SECOND = 1_000_000
FIGURES = ("over_worst", "over_mean", "over_share", "beyond_share", "short_share")


@dataclass(slots=True)
class Bucket:
    """A token bucket."""

    rate: float  # units per second
    burst: float  # units
    level: float
    at_us: int

    def take(self, units: float, now_us: int) -> bool:
        """Take the units if the bucket holds them all; return whether it did."""
        self.level = min(self.burst, self.level + self.rate * max(0, now_us - self.at_us) / SECOND)
        self.at_us = max(self.at_us, now_us)
        if self.level + 1e-9 < units:
            return False
        self.level -= units
        return True


class Quota:
    """One customer's use of its quota."""

    __slots__ = (
        "_bucket",
        "_debt",
        "_debt_us",
        "_entitlement",
        "admitted",
        "burst",
        "entitled",
        "max_excess",
        "rate",
        "within_quota",
    )

    def __init__(self, rate: float, burst: float, now_us: int) -> None:
        self.rate, self.burst = rate, burst
        self._bucket = Bucket(rate, burst, burst, now_us)
        self._entitlement = Bucket(rate, burst, burst, now_us)
        self._debt, self._debt_us = 0.0, now_us
        self.admitted = self.within_quota = self.entitled = 0.0
        self.max_excess = -burst

    def on_arrival(self, units: float, now_us: int) -> None:
        """Record an operation that arrives, admitted or not."""
        if self._entitlement.take(units, now_us):
            self.entitled += units

    def on_admission(self, units: float, now_us: int) -> None:
        """Record an operation that is admitted: its first attempt is sent, or it has finished."""
        self.admitted += units
        if self._bucket.take(units, now_us):
            self.within_quota += units
        self._debt = max(0.0, self._debt - self.rate * max(0, now_us - self._debt_us) / SECOND) + units
        self._debt_us = max(self._debt_us, now_us)
        self.max_excess = max(self.max_excess, self._debt - self.burst)

    @property
    def shortfall(self) -> float:
        return max(0.0, self.entitled - self.within_quota)


def summary(quotas: list[Quota], seconds: float) -> dict[str, float]:
    """Summarize the figures over customers: maximum and mean excess, and shares of rate x seconds."""
    limited = [each for each in quotas if each.rate > 0]
    if not limited:
        return dict.fromkeys(FIGURES, 0.0)
    over = [max(0.0, each.max_excess) for each in limited]
    allowed = [each.rate * seconds for each in limited]
    return {
        "over_worst": max(over),
        "over_mean": sum(over) / len(over),
        "over_share": max(o / a for o, a in zip(over, allowed, strict=True)),
        "beyond_share": sum(each.admitted - each.within_quota for each in limited) / sum(allowed),
        "short_share": sum(each.shortfall for each in limited) / sum(allowed),
    }


@dataclass(frozen=True, slots=True)
class ExcessBound:
    """Upper bounds, from docs/design/counter-loss.md, on one customer's excess over its quota.

    Attributes:
        rate: Units per second.
        burst: Units.
        limiters: Number of limiters that the customer uses.
        units: Largest cost of an operation.
        local_share: Factor on a limiter's local share while it has no counter: LOCAL_SHARE_FACTOR.
        probe_interval_s: Time between probes of the module's circuit breaker.
    """

    rate: float
    burst: float
    limiters: int
    units: float
    local_share: float
    probe_interval_s: float = 1.0

    @property
    def lifetime_s(self) -> float:
        return max(1.0, self.burst / self.rate)

    def healthy(self, seconds: float, max_poll_interval_s: float, response_time_s: float) -> float:
        """Return the bound while the counter responds.

        Args:
            seconds: Length of the run.
            max_poll_interval_s: Longest time between two counter calls of one limiter.
            response_time_s: Time until the counter responds.
        """
        lifetimes = max(1e-9, max_poll_interval_s / self.lifetime_s)
        poll_excess = (self.rate * seconds + self.burst) * (math.expm1(lifetimes) / lifetimes - 1)
        return self.units + self.rate * response_time_s + poll_excess

    def cut_off(self, limiters: int, seconds: float) -> float:
        """Return the bound for limiters that can't reach the counter.

        They use the room last reported until the circuit breaker opens, then their local shares until a call
        succeeds. If all limiters are cut off, no other limiter uses the quota's own rate during that time.

        Args:
            limiters: Number of limiters cut off.
            seconds: Duration.
        """
        share, duration_s = limiters / self.limiters, seconds + 2 * self.probe_interval_s
        over = share * (self.local_share * (self.rate * duration_s + self.burst) + 2 * self.burst)
        over += limiters * self.units
        return over - (self.rate * seconds if limiters == self.limiters else 0.0)

    def counter_emptied(self, times: int = 1) -> float:
        """Return the bound for a counter that loses its data or is replaced `times` times.

        In the worst case no limiter that knew the totals is left.
        """
        return times * self.burst

    def counter_split(self, halves: int, seconds: float) -> float:
        """Return the bound for a counter split into `halves` that each act as the whole one for `seconds`."""
        return (halves - 1) * (self.rate * (seconds + self.probe_interval_s) + self.burst)
