"""Circuit breaker and adaptive call rate for the counter service."""

from lapisgrade.interface import CounterOutcome
from lapisgrade.rate import SECOND, TokenBucket

MAX_CONSECUTIVE_FAILURES = 3  # failed calls in a row that open the breaker; given by the design
PROBE_INTERVAL_US = SECOND  # interval between calls while the breaker is open; given by the design
MAX_CALL_RATE = 200.0  # calls per second, initially and at most; allows one call per operation
CALL_RATE_FACTOR = 0.03  # relative increase of the call rate per successful call
CALL_RATE_STEP = 0.5  # absolute increase per successful call, in calls per second
CALL_RATE_BACKOFF = 0.7  # factor on the rate per failed call; under overload about one call in five times out
CALL_BURST_S = 0.05  # burst of calls, as seconds at the call rate; one or two time-outs of a counter call


class CounterBreaker:
    """Circuit breaker and call rate of one limiter.

    The breaker opens when the counter does not reply, and then admits periodic probes. The call rate backs
    off from an overloaded counter, which would otherwise reply in time to no call at all (additive increase,
    multiplicative decrease). This also covers a counter whose replies are lost, and one that rejects calls.
    """

    probe_interval_us = PROBE_INTERVAL_US

    def __init__(self, is_available: bool) -> None:
        """Create a closed breaker; if no counter `is_available`, it allows no calls."""
        self.is_available = is_available
        self.consecutive_failures = 0
        self.next_probe_us = 0
        self.last_backoff_us = 0  # when the rate was last reduced
        self.call_budget = TokenBucket(0, MAX_CALL_RATE, MAX_CALL_RATE * CALL_BURST_S, 1.0)

    @property
    def is_open(self) -> bool:
        """Whether the counter is considered unreachable."""
        return self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES

    def try_acquire_call(self, now_us: int) -> bool:
        """Reserve one call; returns whether it is allowed now."""
        allowed_calls = self.call_budget.read(now_us)
        if not self.is_available:
            return False
        is_due = now_us >= self.next_probe_us if self.is_open else allowed_calls >= 1
        if not is_due:
            return False
        self.call_budget.set_level(now_us, allowed_calls - 1)
        self.next_probe_us = now_us + self.probe_interval_us
        return True

    def record_reply(self, now_us: int, outcome: CounterOutcome, sent_us: int) -> None:
        """Record the outcome of a call that was sent at `sent_us`."""
        budget = self.call_budget
        budget.set_level(now_us, budget.read(now_us))
        if outcome is CounterOutcome.ADDED:
            self.consecutive_failures = 0
            increased_rate = budget.rate_per_s * (1 + CALL_RATE_FACTOR) + CALL_RATE_STEP
            budget.rate_per_s = min(MAX_CALL_RATE, increased_rate)
        elif sent_us > self.last_backoff_us:  # calls that were in flight together count as one failure
            self.consecutive_failures += 1
            self.last_backoff_us = now_us
            budget.rate_per_s *= CALL_RATE_BACKOFF
        budget.burst = max(1.0, budget.rate_per_s * CALL_BURST_S)
