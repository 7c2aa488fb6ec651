"""Latency estimate of a service or a route, for rates at which few recent attempts exist. Does no I/O."""

from lapisgrade.policy.latency import LatencyEstimate

LONG_TERM_ATTEMPTS = 100


class ServiceLatency(LatencyEstimate):
    """An estimate that falls back to the mean of its last attempts, once they are no longer recent.

    A guess from before the first attempt has no weight after it.
    """

    __slots__ = ("_attempt_count",)

    def __init__(self, initial_us: float) -> None:
        """Create an estimate whose mean is `initial_us` until an attempt is recorded."""
        super().__init__(initial_us)
        self._attempt_count = 0

    def add(self, now_us: int, latency_us: int, units: float) -> None:
        """Record a successful attempt."""
        self._attempt_count = min(self._attempt_count + 1, LONG_TERM_ATTEMPTS)
        self._initial_us += (latency_us - self._initial_us) / self._attempt_count
        super().add(now_us, latency_us, units)
