"""Retry budget: limits the retries and hedges that a proxy sends. Does no I/O.

In any RetryWindow, the attempts at servers beyond the first of each request, summed over all proxies, must
not exceed RetryRatio x requests + RetryExtra. Each proxy spends at most a share for its own requests, and its
part of the extra once it has run for a window. So the sum stays within the limit when proxies start,
terminate or are partitioned.
"""

from collections import deque

from lapisgrade.gateway.settings import Slo

# Share of RetryRatio that a proxy spends. It is below 1, as some of the requests never reach a server.
RETRY_RATIO_SHARE = 0.85
RETRY_EXTRA_SHARE = 0.6  # share of RetryExtra that all proxies together spend
# Maximum number of requests, and of retries, that are counted per window: a proxy's requests in a window.
MAX_TIMESTAMPS = 4096
RETRY_RESERVE_SHARE = 0.5  # share of the budget earned by requests that early hedges leave to retries


class RetryBudget:
    """One service's retry budget at one proxy; times are in us."""

    __slots__ = ("_requests", "_retries", "_slo", "_started_us", "proxy_count")

    def __init__(self, slo: Slo, started_us: int, proxy_count: int = 1) -> None:
        """Create the budget of a service.

        Args:
            slo: The service level objectives, with RetryWindow, RetryRatio and RetryExtra.
            started_us: When this process started.
            proxy_count: Number of live proxies, which share RetryExtra.
        """
        self._slo = slo
        self._started_us = started_us
        self.proxy_count = proxy_count
        self._requests: deque[int] = deque(maxlen=MAX_TIMESTAMPS)
        self._retries: deque[int] = deque(maxlen=MAX_TIMESTAMPS)

    def on_request(self, now_us: int) -> None:
        """Add a request's share to the budget."""
        self._requests.append(now_us)

    def available(self, now_us: int) -> float:
        """Return the number of retries that may be sent now."""
        window_start_us = now_us - self._slo.retry_window
        for times in (self._requests, self._retries):
            while times and times[0] < window_start_us:
                times.popleft()
        return self._earned() + self._extra_allowance(window_start_us) - len(self._retries)

    def try_spend(self, now_us: int, is_early_hedge: bool = False) -> bool:
        """Charge one attempt if the budget allows it.

        An early hedge, which starts before the attempt in flight is overdue, leaves a part of the budget to
        retries, without which requests fail.

        Returns:
            Whether the attempt may be sent.
        """
        reserve = RETRY_RESERVE_SHARE * self._earned() if is_early_hedge else 0.0
        if self.available(now_us) < 1 + reserve:
            return False
        self._retries.append(now_us)
        return True

    def _earned(self) -> float:
        return RETRY_RATIO_SHARE * self._slo.retry_ratio * len(self._requests)

    def _extra_allowance(self, window_start_us: int) -> float:
        # In the first window there is no extra: a process that terminated just before this one started may
        # have spent this proxy's part.
        if self._started_us >= window_start_us:
            return 0.0
        return RETRY_EXTRA_SHARE * self._slo.retry_extra / max(1, self.proxy_count)
