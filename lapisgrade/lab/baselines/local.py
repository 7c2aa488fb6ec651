"""A token bucket per customer in each limiter, holding the customer's quota divided among its limiters."""

from collections.abc import Generator

from lapisgrade.interface import Clock, Operation, Reject, RejectReason
from lapisgrade.lab.baselines.common import BaselinePolicy

SECOND = 1_000_000


class LocalBucketPolicy(BaselinePolicy):
    """No counter: each limiter admits its share, `rate / gateways` a second, `burst / gateways` at once."""

    def __init__(self, clock: Clock, seed: int) -> None:
        super().__init__(clock, seed)
        self.buckets: dict[str, tuple[float, int]] = {}

    def handle(self, op: Operation) -> Generator:
        now, share = self.clock.now_us, max(1, op.gateway_count)
        rate, burst = op.plan.rate / share, op.plan.burst / share
        level, at = self.buckets.get(op.customer, (burst, now))
        level = min(burst, level + rate * (now - at) / SECOND)
        if level < op.units:
            self.buckets[op.customer] = (level, now)
            wait = round((op.units - level) / rate * SECOND) if rate > 0 else SECOND
            yield Reject(RejectReason.RETRY_LATER, wait)
            return
        self.buckets[op.customer] = (level - op.units, now)
        yield from self.send(op)
