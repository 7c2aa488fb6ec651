"""Which service of a route's `Split` takes a request, by the services' weights. Pure.

Each proxy walks the weights by the golden ratio from an offset of its own (a low-discrepancy sequence: Weyl
1916; Kuipers and Niederreiter, *Uniform Distribution of Sequences*, 1974). So among n requests here a
service's share is off its weight's by some 1/n, not by 1/sqrt(n) as with a draw for each, and proxies that
see few requests each don't all begin with the same service.
"""

from random import Random

from lapisgrade.gateway.configuration import Rule

GOLDEN_RATIO_FRACTION = (5**0.5 - 1) / 2
MAX_ROUTES = 8192  # whose offset is remembered; the one used for longest ago begins anew


class SplitChooser:
    """Chooses the services of one proxy's requests."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._offsets: dict[str, float] = {}  # by route, from 0 to below 1; the one used last is the last

    def choose(self, rule: Rule) -> str:
        """The service for the next request of that route."""
        shares = rule.action.shares()
        if len(shares) == 1:
            return shares[0].svc
        remaining = self._next_offset(rule.name) * sum(share.wt for share in shares)
        for share in shares:
            remaining -= share.wt
            if remaining < 0:
                return share.svc
        return next(share.svc for share in reversed(shares) if share.wt > 0)  # the sum was rounded

    def _next_offset(self, route: str) -> float:
        last = self._offsets.pop(route, None)
        offset = self._random.random() if last is None else (last + GOLDEN_RATIO_FRACTION) % 1.0
        self._offsets[route] = offset
        if len(self._offsets) > MAX_ROUTES:
            del self._offsets[next(iter(self._offsets))]
        return offset
