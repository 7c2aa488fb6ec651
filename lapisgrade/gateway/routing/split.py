"""Choice among the services of a route's `Split` by weight. Does no I/O.

For each route, a proxy adds the fraction of the golden ratio to an offset in [0, 1) at each request, from a
random first value, and chooses the service whose part of the summed weights contains the offset (a
low-discrepancy sequence: Weyl 1916; Kuipers and Niederreiter, *Uniform Distribution of Sequences*, 1974).
Among n requests a service's share deviates from its weight by about 1/n, compared with 1/sqrt(n) for
independent random choices. The random first offset keeps proxies with few requests each from all starting
with the same service.
"""

from random import Random

from lapisgrade.gateway.configuration import Rule

GOLDEN_RATIO_FRACTION = (5**0.5 - 1) / 2
MAX_ROUTES = 8192  # maximum number of routes with an offset; the least recently used one is evicted


class SplitChooser:
    """Chooses the services of a proxy's requests."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._offsets: dict[str, float] = {}  # by route, in [0, 1), the least recently used first

    def choose(self, rule: Rule) -> str:
        """Return the service for the next request of a route."""
        shares = rule.action.shares()
        if len(shares) == 1:
            return shares[0].svc
        remaining = self._next_offset(rule.name) * sum(share.wt for share in shares)
        for share in shares:
            remaining -= share.wt
            if remaining < 0:
                return share.svc
        return next(share.svc for share in reversed(shares) if share.wt > 0)  # rounding error of the sum

    def _next_offset(self, route: str) -> float:
        last = self._offsets.pop(route, None)
        offset = self._random.random() if last is None else (last + GOLDEN_RATIO_FRACTION) % 1.0
        self._offsets[route] = offset
        if len(self._offsets) > MAX_ROUTES:
            del self._offsets[next(iter(self._offsets))]
        return offset
