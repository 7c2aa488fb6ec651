"""The budget of retries and hedges: what one proxy may send beyond the first attempt of each request. Pure.

The rule counts, over all proxies, the attempts beyond the first of each request that reach a server in any
RetryWindow, against RetryRatio x the requests + RetryExtra. Each proxy keeps to its own requests' share, and
to its part of the extra once it has run for a window: so the sum keeps to the rule whichever proxies start,
end or are partitioned.
"""

from collections import deque

from lapisgrade.gateway.settings import Slo

OWN_RATIO_SHARE = 0.85  # of the ratio that a proxy spends of its own requests; some of them never arrive
EXTRA_SHARE = 0.6  # of the extra that all proxies together spend
MAX_TIMES = 4096  # that are remembered; a proxy's requests in a window
RETRY_RESERVE = 0.5  # of what requests pay in that is kept for retries, where a hedge is early


class RetryBudget:
    """One service's retry budget at one proxy; times are in us."""

    __slots__ = ("_requests", "_retries", "_slo", "_started_us", "proxy_count")

    def __init__(self, slo: Slo, started_us: int, proxy_count: int = 1) -> None:
        self._slo = slo
        self._started_us = started_us
        self.proxy_count = proxy_count
        self._requests: deque[int] = deque(maxlen=MAX_TIMES)
        self._retries: deque[int] = deque(maxlen=MAX_TIMES)

    def on_request(self, now_us: int) -> None:
        """A request has come: it pays its share in."""
        self._requests.append(now_us)

    def available(self, now_us: int) -> float:
        """How many retries may be sent now."""
        window_start_us = now_us - self._slo.retry_window
        for times in (self._requests, self._retries):
            while times and times[0] < window_start_us:
                times.popleft()
        return self._paid_in() + self._extra(window_start_us) - len(self._retries)

    def try_spend(self, now_us: int, is_early_hedge: bool = False) -> bool:
        """Charge one attempt where the budget allows it; whether it may be sent.

        An early hedge leaves a part of the budget to retries, which a request can't do without.
        """
        reserve = RETRY_RESERVE * self._paid_in() if is_early_hedge else 0.0
        if self.available(now_us) < 1 + reserve:
            return False
        self._retries.append(now_us)
        return True

    def _paid_in(self) -> float:
        return OWN_RATIO_SHARE * self._slo.retry_ratio * len(self._requests)

    def _extra(self, window_start_us: int) -> float:
        # A process that ended just before this one started may have spent its part of the extra.
        if self._started_us >= window_start_us:
            return 0.0
        return EXTRA_SHARE * self._slo.retry_extra / max(1, self.proxy_count)
