"""Further tries: what one proxy may send beyond the first of each request. Pure.

The rule counts, over all proxies, arrivals beyond the first of each request in some RetryWindow against
RetryRatio x the requests + RetryExtra. Each proxy keeps to its own requests' share, and to its part of the
extra once it has lived for a window: so the sum keeps to the rule whoever starts, ends or is cut off.
"""

from collections import deque

from lapisgrade.gateway.settings import Slo

OWN = 0.85  # of the ratio that a proxy spends of its own requests; some of them never arrive
EXTRA = 0.6  # of the extra that all proxies together spend
MOST = 4096  # times that are remembered; a proxy's requests in a window
SPARED = 0.5  # of what requests pay in that is kept for retries, where a hedge is not yet due


class RetryBudget:
    """Of one service."""

    __slots__ = ("_began", "_more", "_requests", "_slo", "limiters")

    def __init__(self, slo: Slo, began_us: int) -> None:
        self._slo, self._began, self.limiters = slo, began_us, 1
        self._requests: deque[int] = deque(maxlen=MOST)
        self._more: deque[int] = deque(maxlen=MOST)

    def request(self, now_us: int) -> None:
        self._requests.append(now_us)

    def left(self, now_us: int) -> float:
        since = now_us - self._slo.retry_window
        for times in (self._requests, self._more):
            while times and times[0] < since:
                times.popleft()
        # A life that ended just before this one may have spent its part of the extra.
        extra = EXTRA * self._slo.retry_extra / max(1, self.limiters) if self._began < since else 0.0
        return OWN * self._slo.retry_ratio * len(self._requests) + extra - len(self._more)

    def spend(self, now_us: int, spare: bool = False) -> bool:
        """Whether one more may go out; it counts as sent then. A `spare` one leaves half to those that a
        request can't do without."""
        reserve = SPARED * OWN * self._slo.retry_ratio * len(self._requests) if spare else 0.0
        if self.left(now_us) < 1 + reserve:
            return False
        self._more.append(now_us)
        return True
