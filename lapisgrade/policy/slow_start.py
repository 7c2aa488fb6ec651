"""Slow start: how much a newly started server may be sent while it warms up."""

from lapisgrade.interface import Placement, ServerRules
from lapisgrade.policy.latency import LATENCY_DECAY_US
from lapisgrade.policy.observed_server import ObservedServer
from lapisgrade.rate import SECOND, DecayingSum

SLOW_START_SHARE = 0.4  # of what a warming server may be sent; the rest is for chance and for what is unknown


class SlowStart:
    """Weights warming servers, and keeps each one's budget of work."""

    def __init__(self, rules: ServerRules, placement: Placement) -> None:
        """Create it for a limiter at `placement`, under the service's `rules`."""
        self._rules = rules
        self._placement = placement
        self.completed_work = DecayingSum(LATENCY_DECAY_US)  # us of work that servers completed

    def weight(self, server: ObservedServer, now_us: int) -> float:
        """The share of its capacity that a listed server surely has."""
        started_us, rules = server.require_endpoint().started_us, self._rules
        if not started_us or rules.slow_start_us <= 0 or now_us - started_us >= rules.slow_start_us:
            return 1.0
        initial = rules.slow_start_initial_weight
        return initial + (1 - initial) * max(0, now_us - started_us) / rules.slow_start_us

    def has_budget(self, server: ObservedServer, now_us: int, subset: list[ObservedServer]) -> bool:
        """Whether a server may be sent one more attempt; always so for one that is warm.

        The budget is this limiter's part of the work that the fleet completes, in step with the server's
        weight. One attempt is less than what one of many limiters may send within the rules' window: so it
        is allowed while the budget is not overdrawn, and paid for afterwards.
        """
        weight = self.weight(server, now_us)
        if weight >= 1.0 or server.slow_start_budget is None:
            return True
        # One now and then, by all limiters together one in the window: a fleet that starts as a whole gets
        # going.
        quiet_us = self._placement.limiter_count * self._rules.overload_window_us
        if now_us - server.last_sent_us >= quiet_us:
            return True
        warm_servers = sum(self.weight(each, now_us) for each in subset) or 1.0
        work_rate = self.completed_work.read(now_us) / LATENCY_DECAY_US / warm_servers
        share = SLOW_START_SHARE * self._rules.max_overload_factor * weight
        server.slow_start_budget.rate_per_s = share * work_rate * SECOND
        return server.slow_start_budget.read(now_us) >= 0
