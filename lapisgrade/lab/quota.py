"""Measures how far customers' admitted units exceed or fall short of their quotas.

Pure: it is called for each event, with the event's time in microseconds. Each customer has one `Quota`; all
its figures are in units:

- `max_excess`: maximum, over all windows of any length, of the units admitted less burst + rate x length. One
  pass computes it: a debt grows by each admitted unit and falls at the rate. The debt is the most that any
  window ending now holds beyond rate x length.
- `within_quota`: units admitted while a single bucket (burst, rate) held them. Units admitted beyond it take
  nothing from the bucket, as in the operators' own accounting.
- `entitled`: units that a single bucket would have admitted if it had seen every operation. `shortfall` is
  the part of them that the customer did not get: they were rejected although the quota had room.
"""

import math
from dataclasses import dataclass

SECOND = 1_000_000  # us
FIGURES = ("over_worst", "over_mean", "over_share", "beyond_share", "short_share")


@dataclass(slots=True)
class Bucket:
    """A token bucket.

    Attributes:
        rate: Units per second by which the level rises.
        burst: Largest level, in units.
        level: Units that the bucket held at `at_us`.
        at_us: Time of the level.
    """

    rate: float
    burst: float
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
    """One customer's use of its quota; the module's docstring defines the figures.

    Attributes:
        rate: The quota in units per second.
        burst: Units of the quota that can be used at once.
        admitted: Units admitted.
        within_quota: Units admitted within the quota.
        entitled: Units that the quota allowed, of those that arrived.
        max_excess: Largest excess over the quota in any window; negative if every window had room.
    """

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
        """Start with full buckets at `now_us`; `rate` is in units per second, `burst` in units."""
        self.rate, self.burst = rate, burst
        self._bucket = Bucket(rate, burst, burst, now_us)
        self._entitlement = Bucket(rate, burst, burst, now_us)
        self._debt, self._debt_us = 0.0, now_us
        self.admitted = self.within_quota = self.entitled = 0.0
        self.max_excess = -burst

    def on_arrival(self, units: float, now_us: int) -> None:
        """Record the units of an operation that arrives, admitted or not."""
        if self._entitlement.take(units, now_us):
            self.entitled += units

    def on_admission(self, units: float, now_us: int) -> None:
        """Record the units of an admitted operation.

        An operation is admitted when its first attempt is sent or, if that isn't observed, when it is known
        to have finished.
        """
        self.admitted += units
        if self._bucket.take(units, now_us):
            self.within_quota += units
        self._debt = max(0.0, self._debt - self.rate * max(0, now_us - self._debt_us) / SECOND) + units
        self._debt_us = max(self._debt_us, now_us)
        self.max_excess = max(self.max_excess, self._debt - self.burst)

    @property
    def shortfall(self) -> float:
        """Units that the quota allowed and the customer did not get."""
        return max(0.0, self.entitled - self.within_quota)


def summary(quotas: list[Quota], seconds: float) -> dict[str, float]:
    """Summarize the figures over the customers with a quota; all 0 if there are none.

    Returns:
        By the names in FIGURES: largest and mean excess of a customer in units, the largest excess as a share
        of the customer's rate x seconds, and the units beyond and short of all quotas as shares of the sum of
        rate x seconds.
    """
    limited = [usage for usage in quotas if usage.rate > 0]
    if not limited:
        return dict.fromkeys(FIGURES, 0.0)
    over = [max(0.0, usage.max_excess) for usage in limited]
    allowed = [usage.rate * seconds for usage in limited]
    return {
        "over_worst": max(over),
        "over_mean": sum(over) / len(over),
        "over_share": max(excess / units for excess, units in zip(over, allowed, strict=True)),
        "beyond_share": sum(usage.admitted - usage.within_quota for usage in limited) / sum(allowed),
        "short_share": sum(usage.shortfall for usage in limited) / sum(allowed),
    }


@dataclass(frozen=True, slots=True)
class ExcessBound:
    """Upper bounds, from docs/design/counter-loss.md, on one customer's excess over its quota.

    Attributes:
        rate: The quota in units per second.
        burst: Units of the quota that can be used at once.
        limiters: Number of limiters that the customer uses.
        units: Largest cost of an operation, in units.
        local_share: Quota that a limiter enforces while it has no counter, as a multiple of an even share:
            `LOCAL_SHARE_FACTOR` of lapisgrade/policy/account.py.
        probe_interval_s: Time between two probes of the counter by the policy's circuit breaker.
    """

    rate: float
    burst: float
    limiters: int
    units: float
    local_share: float
    probe_interval_s: float = 1.0

    @property
    def decay_s(self) -> float:
        """Time in s in which the use that the counter holds decays to 1/e, as the policy defines it."""
        return max(1.0, self.burst / self.rate)

    def healthy(self, seconds: float, max_poll_interval_s: float, response_time_s: float) -> float:
        """Return the bound in units while the counter responds.

        Args:
            seconds: Length of the run.
            max_poll_interval_s: Longest time between two counter calls of one limiter.
            response_time_s: Time in which the counter responds.
        """
        decays = max(1e-9, max_poll_interval_s / self.decay_s)
        poll_excess = (self.rate * seconds + self.burst) * (math.expm1(decays) / decays - 1)
        return self.units + self.rate * response_time_s + poll_excess

    def cut_off(self, limiters: int, seconds: float) -> float:
        """Return the bound in units for limiters that can't reach the counter.

        They use the room that the counter reported last until the circuit breaker opens, then their local
        shares until a call succeeds. If all limiters are cut off, no other limiter uses the quota's own rate
        during that time.

        Args:
            limiters: Number of limiters that are cut off.
            seconds: Time for which they are cut off.
        """
        cut_off_share, duration_s = limiters / self.limiters, seconds + 2 * self.probe_interval_s
        over = cut_off_share * (self.local_share * (self.rate * duration_s + self.burst) + 2 * self.burst)
        over += limiters * self.units
        return over - (self.rate * seconds if limiters == self.limiters else 0.0)

    def counter_emptied(self, times: int = 1) -> float:
        """Return the bound in units for a counter that loses its data, or is replaced, that many times.

        In the worst case no limiter that knew the totals is left.
        """
        return times * self.burst

    def counter_split(self, halves: int, seconds: float) -> float:
        """Return the bound in units for a counter that is split for `seconds`.

        Each of the `halves`, which may be more than two, then acts as if it were the whole counter.
        """
        return (halves - 1) * (self.rate * (seconds + self.probe_interval_s) + self.burst)
