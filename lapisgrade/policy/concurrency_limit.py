"""An adaptive limit on attempts in flight, derived from their latency.

Each finished attempt moves the limit by up to one step: up if latencies (service and queueing time) are
within the target and the limit is in use, down if they exceed it (additive increase and decrease; compare
Netflix's concurrency-limits, "gradient").
"""

from lapisgrade.rate import SECOND, DecayingSum

LOAD_SHEDDING_THRESHOLD = 0.7  # utilization from which the least valuable operations are rejected
MIN_IN_FLIGHT_PER_SERVER = 2.0  # of all limiters, processed without queueing; initial and minimum limit
LIMIT_STEP = 0.1  # maximum change of the limit per finished attempt, in attempts; about 10 % per round trip
TARGET_LATENCY_RATIO = 0.25  # desired mean service plus queueing time, as a fraction of the latency target
MAX_LATENCY_RATIO = 2.0  # upper bound on one attempt's latency, in latency targets
LIMIT_DECAY_US = 2 * SECOND  # how long a latency affects the limit; a few round trips


class ConcurrencyLimit:
    """The attempts that this limiter has in flight, and their limit."""

    def __init__(self, limiter_count: int) -> None:
        """Create the limit of one of `limiter_count` limiters; it is 0 until servers are known."""
        self._limiter_count = limiter_count
        self.value = 0.0  # attempts; 0 until a server has been listed
        self.in_flight = 0
        self._warm_weight = 0.0
        self._ready_count = 0
        self._latency_ratios = DecayingSum(LIMIT_DECAY_US)
        self._weights = DecayingSum(LIMIT_DECAY_US)

    def utilization(self) -> float:
        """The fraction of the limit that is in flight; 1 while the limit is 0."""
        return self.in_flight / self.value if self.value else 1.0

    def on_servers_changed(self, endpoint_count: int, ready_count: int, warm_weight: float) -> None:
        """Adapt the limit to a change of the endpoint list.

        Args:
            endpoint_count: Number of endpoints in the change.
            ready_count: Number of servers that are ready now.
            warm_weight: Sum of the slow-start weights of the ready servers.
        """
        self._ready_count = ready_count
        if not self.value:
            self.value = max(1.0, MIN_IN_FLIGHT_PER_SERVER * endpoint_count / self._limiter_count)
        # Protect the remaining servers when others leave or restart, before finished attempts show the loss.
        previous_weight, self._warm_weight = self._warm_weight, warm_weight
        if warm_weight < previous_weight:
            self.value = max(1.0, self.value * warm_weight / previous_weight)

    def on_latency(self, now_us: int, latency_ratio: float, weight: float) -> None:
        """Record an attempt that took `latency_ratio` latency targets, with a weight from 0 to 1."""
        self._latency_ratios.add(now_us, weight * min(latency_ratio, MAX_LATENCY_RATIO))
        self._weights.add(now_us, weight)
        target_sum = TARGET_LATENCY_RATIO * (self._weights.read(now_us) + 0.1)  # never 0
        margin = 1 - self._latency_ratios.read(now_us) / target_sum  # negative: slower than the target
        if margin >= 0 and self.in_flight + 1 < LOAD_SHEDDING_THRESHOLD * self.value:
            return  # the limit does not hold back any attempts
        # If all servers are slow, fewer attempts do not speed them up and would leave servers idle.
        floor = max(1.0, MIN_IN_FLIGHT_PER_SERVER * self._ready_count / self._limiter_count)
        self.value = max(floor, self.value + LIMIT_STEP * max(-1.0, min(1.0, margin)))
