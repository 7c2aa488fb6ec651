"""When the counter service may be called: a circuit breaker and an adaptive rate of calls."""

from lapisgrade.interface import CounterOutcome
from lapisgrade.rate import SECOND, TokenBucket

MAX_CONSECUTIVE_TIMEOUTS = 3  # that open the breaker; the design's
PROBE_INTERVAL_US = SECOND  # between calls while the breaker is open; the design's
MAX_CALL_RATE = 200.0  # calls a second that one limiter starts with and never passes: one for each operation
CALL_RATE_FACTOR = 0.03  # of the rate, that a counted call adds to it
CALL_RATE_STEP = 0.5  # calls a second that a counted call adds beside that
CALL_RATE_BACKOFF = 0.7  # of the rate that time-outs leave: one call in five or so times out in a crowd
CALL_BURST_S = 0.05  # of the rate, that may be called together; a counter's time-out or two


class CounterBreaker:
    """The counter as this limiter sees it.

    The breaker opens on a counter that does not answer, and lets a probe through now and then. The rate of
    calls backs off from one that is overloaded: asked for more than it can count, it would answer nobody
    (additive increase, multiplicative decrease). Guards also against a counter that loses answers.
    """

    probe_interval_us = PROBE_INTERVAL_US

    def __init__(self, is_available: bool) -> None:
        """Create a closed breaker; with no counter `is_available`, no call is ever allowed."""
        self.is_available = is_available
        self.consecutive_timeouts = 0
        self.next_probe_us = 0
        self.backed_off_us = 0  # when the rate was last reduced
        self.call_budget = TokenBucket(0, MAX_CALL_RATE, MAX_CALL_RATE * CALL_BURST_S, 1.0)

    @property
    def is_open(self) -> bool:
        """Whether the counter is taken to be unreachable."""
        return self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS

    def try_acquire_call(self, now_us: int) -> bool:
        """Take the right to one call, if there is one now."""
        calls = self.call_budget.read(now_us)
        if not self.is_available:
            return False
        is_due = now_us >= self.next_probe_us if self.is_open else calls >= 1
        if not is_due:
            return False
        self.call_budget.set_level(now_us, calls - 1)
        self.next_probe_us = now_us + self.probe_interval_us
        return True

    def record_reply(self, now_us: int, outcome: CounterOutcome, sent_us: int) -> None:
        """Take in how a call that was sent at `sent_us` ended."""
        calls = self.call_budget
        calls.set_level(now_us, calls.read(now_us))
        if outcome is CounterOutcome.ADDED:
            self.consecutive_timeouts = 0
            faster = calls.rate_per_s * (1 + CALL_RATE_FACTOR) + CALL_RATE_STEP
            calls.rate_per_s = min(MAX_CALL_RATE, faster)
        elif sent_us > self.backed_off_us:  # calls in flight together tell one thing
            self.consecutive_timeouts += 1
            self.backed_off_us = now_us
            calls.rate_per_s *= CALL_RATE_BACKOFF
        calls.burst = max(1.0, calls.rate_per_s * CALL_BURST_S)
