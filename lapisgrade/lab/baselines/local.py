"""Rate limit with a token bucket per customer in each limiter, without a shared counter."""

from collections.abc import Generator

from lapisgrade.interface import Clock, Operation, Reject, RejectReason
from lapisgrade.lab.baselines.common import BaselinePolicy

SECOND = 1_000_000


class LocalBucketPolicy(BaselinePolicy):
    """Gives each limiter an equal share of the quota: rate and burst divided by `sharing_limiter_count`.

    Attributes:
        buckets: Tokens and the time of their last update, in us, by customer.
    """

    def __init__(self, clock: Clock, seed: int) -> None:
        super().__init__(clock, seed)
        self.buckets: dict[str, tuple[float, int]] = {}

    def handle(self, op: Operation) -> Generator:
        """Take the operation's units from the customer's bucket, and send it if there were enough."""
        now_us, limiter_count = self.clock.now_us, max(1, op.sharing_limiter_count)
        rate, burst = op.plan.rate / limiter_count, op.plan.burst / limiter_count
        tokens, updated_us = self.buckets.get(op.customer, (burst, now_us))
        tokens = min(burst, tokens + rate * (now_us - updated_us) / SECOND)
        if tokens < op.units:
            self.buckets[op.customer] = (tokens, now_us)
            retry_after_us = round((op.units - tokens) / rate * SECOND) if rate > 0 else SECOND
            yield Reject(RejectReason.RETRY_LATER, retry_after_us)
            return
        self.buckets[op.customer] = (tokens - op.units, now_us)
        yield from self.send(op)
