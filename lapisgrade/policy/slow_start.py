"""Slow start: limits the load on newly started servers while they warm up."""

from lapisgrade.interface import Placement, ServerRules
from lapisgrade.policy.latency import LATENCY_DECAY_US
from lapisgrade.policy.observed_server import ObservedServer
from lapisgrade.rate import SECOND, DecayingSum

SLOW_START_SHARE = 0.4  # used share of a warming server's allowed load; the rest covers variance and unknowns


class SlowStart:
    """Weights of warming servers, and the work budget of each."""

    def __init__(self, rules: ServerRules, placement: Placement) -> None:
        """Create the slow start of a limiter at `placement` under the service's `rules`."""
        self._rules = rules
        self._placement = placement
        self.completed_work = DecayingSum(LATENCY_DECAY_US)  # work that servers completed, in us

    def weight(self, server: ObservedServer, now_us: int) -> float:
        """The least capacity of a server in the endpoint list, as a fraction of its full capacity."""
        started_us, rules = server.require_endpoint().started_us, self._rules
        if not started_us or rules.slow_start_us <= 0 or now_us - started_us >= rules.slow_start_us:
            return 1.0
        initial = rules.slow_start_initial_weight
        return initial + (1 - initial) * max(0, now_us - started_us) / rules.slow_start_us

    def has_budget(self, server: ObservedServer, now_us: int, subset: list[ObservedServer]) -> bool:
        """Whether a server may be sent another attempt; always true for a warm server.

        The budget refills with this limiter's part of the work that servers complete, in proportion to the
        server's weight. With many limiters, one limiter's budget per overload window is less than one
        attempt. So an attempt is allowed whenever the budget is not negative, and is deducted afterwards.
        """
        weight = self.weight(server, now_us)
        if weight >= 1.0 or server.slow_start_budget is None:
            return True
        # All limiters together may always send one attempt per overload window. Otherwise servers that all
        # start at the same time would never complete any work and never get a budget.
        min_interval_us = self._placement.limiter_count * self._rules.overload_window_us
        if now_us - server.last_sent_us >= min_interval_us:
            return True
        warm_servers = sum(self.weight(each, now_us) for each in subset) or 1.0
        work_rate = self.completed_work.read(now_us) / LATENCY_DECAY_US / warm_servers
        share = SLOW_START_SHARE * self._rules.max_overload_factor * weight
        server.slow_start_budget.rate_per_s = share * work_rate * SECOND
        return server.slow_start_budget.read(now_us) >= 0
