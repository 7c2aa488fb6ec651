"""An adaptive limit on attempts in flight, by their latency.

The limit moves a step with each attempt that ends: up where latencies, work and queue together, are within
their target and the limit is used, down where they are beyond it (additive increase and decrease; compare
Netflix's concurrency-limits, "gradient").
"""

from lapisgrade.rate import SECOND, DecayingSum

LOAD_SHEDDING_THRESHOLD = 0.7  # of the limit in flight; the least valuable operations are rejected from here
MIN_IN_FLIGHT_PER_SERVER = 2.0  # by all limiters, that are no queue; the limit's start and floor
LIMIT_STEP = 0.1  # attempts that the limit moves by with each that ends, at most: about a tenth a round trip
TARGET_LATENCY_RATIO = 0.25  # of the latency target; the mean of an attempt, work and queue together
MAX_LATENCY_RATIO = 2.0  # of the latency target, that one attempt counts as, at most
LIMIT_DECAY_US = 2 * SECOND  # how long a latency moves the limit, a few round trips


class ConcurrencyLimit:
    """How many attempts this limiter has in flight, and how many it may have."""

    def __init__(self, limiter_count: int) -> None:
        """Create the limit of one of so many limiters; it has no value until servers are known."""
        self._limiter_count = limiter_count
        self.value = 0.0  # attempts; 0: no server was ever listed
        self.in_flight = 0
        self._warm_servers = 0.0
        self._ready_servers = 0
        self._latency_ratios = DecayingSum(LIMIT_DECAY_US)
        self._weights = DecayingSum(LIMIT_DECAY_US)

    def utilization(self) -> float:
        """The part of the limit that is in flight."""
        return self.in_flight / self.value if self.value else 1.0

    def on_servers_changed(self, listed: int, ready: int, warm: float) -> None:
        """The endpoint list has changed.

        Args:
            listed: Endpoints in the change.
            ready: Servers that are ready now.
            warm: The sum of their slow-start weights.
        """
        self._ready_servers = ready
        if not self.value:
            self.value = max(1.0, MIN_IN_FLIGHT_PER_SERVER * listed / self._limiter_count)
        # Fewer or colder servers carry less from now on, before any attempt ends (guards those that stay).
        before, self._warm_servers = self._warm_servers, warm
        if warm < before:
            self.value = max(1.0, self.value * warm / before)

    def on_latency(self, now_us: int, latency_ratio: float, weight: float) -> None:
        """An attempt has ended after `latency_ratio` of the latency target; `weight` from 0 to 1."""
        self._latency_ratios.add(now_us, weight * min(latency_ratio, MAX_LATENCY_RATIO))
        self._weights.add(now_us, weight)
        target = TARGET_LATENCY_RATIO * (self._weights.read(now_us) + 0.1)
        margin = 1 - self._latency_ratios.read(now_us) / target  # below 0: slower than the target
        if margin >= 0 and self.in_flight + 1 < LOAD_SHEDDING_THRESHOLD * self.value:
            return  # the limit is not what holds attempts back
        # When all are slow together, less in flight makes none faster (guards against idle servers).
        floor = max(1.0, MIN_IN_FLIGHT_PER_SERVER * self._ready_servers / self._limiter_count)
        self.value = max(floor, self.value + LIMIT_STEP * max(-1.0, min(1.0, margin)))
