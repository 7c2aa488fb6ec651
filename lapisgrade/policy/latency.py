"""Latency estimates from recent attempts of one kind."""

import math

from lapisgrade.rate import SECOND, DecayingSum

LATENCY_DECAY_US = 12 * SECOND  # decay time of a latency; some dozens of attempts per server
LATENCY_PRIOR_WEIGHT = 4  # weight of the initial estimate, in attempts
PRIOR_MEAN_SQUARE_RATIO = 2  # initially assumed mean of the squared latencies, in squared means
MIN_KNOWN_ATTEMPTS = 0.5  # decayed number of attempts from which an estimate is known: one that is 8 s old
MIN_VARIANCE_DIVISOR = 4  # the variance is at least the squared mean divided by this
UNITS_LATENCY_SHARE = 0.5  # assumed fraction of the latency that is proportional to the units


class LatencyEstimate:
    """Mean and standard deviation of the latencies of one category or route, in us."""

    __slots__ = ("_attempts", "_initial_us", "_latencies", "_squares", "_units")

    def __init__(self, initial_us: float) -> None:
        """Create an estimate whose mean is `initial_us` until attempts are recorded."""
        self._initial_us = initial_us
        self._latencies = DecayingSum(LATENCY_DECAY_US)
        self._squares = DecayingSum(LATENCY_DECAY_US)
        self._attempts = DecayingSum(LATENCY_DECAY_US)
        self._units = DecayingSum(LATENCY_DECAY_US)

    def add(self, now_us: int, latency_us: int, units: float) -> None:
        """Record a successful attempt."""
        self._latencies.add(now_us, latency_us)
        self._squares.add(now_us, latency_us * latency_us)
        self._attempts.add(now_us, 1)
        self._units.add(now_us, units)

    def is_known(self, now_us: int) -> bool:
        """Whether the estimate rests on recent attempts rather than on its initial value."""
        return self._attempts.read(now_us) > MIN_KNOWN_ATTEMPTS

    def mean(self, now_us: int) -> float:
        """The mean latency in us."""
        total = self._latencies.read(now_us) + LATENCY_PRIOR_WEIGHT * self._initial_us
        return total / (self._attempts.read(now_us) + LATENCY_PRIOR_WEIGHT)

    def deviation(self, now_us: int) -> float:
        """The standard deviation in us, at least half of the mean."""
        mean = self.mean(now_us)
        prior = LATENCY_PRIOR_WEIGHT * PRIOR_MEAN_SQUARE_RATIO * mean * mean
        square = (self._squares.read(now_us) + prior) / (self._attempts.read(now_us) + LATENCY_PRIOR_WEIGHT)
        return math.sqrt(max(square - mean * mean, mean * mean / MIN_VARIANCE_DIVISOR))

    def expected(self, now_us: int, units: float) -> float:
        """The expected latency in us of an attempt with `units`."""
        typical_units = (self._units.read(now_us) + units) / (self._attempts.read(now_us) + 1)
        if typical_units <= 0:
            return self.mean(now_us)
        fixed_share = 1 - UNITS_LATENCY_SHARE
        return self.mean(now_us) * (fixed_share + UNITS_LATENCY_SHARE * units / typical_units)
