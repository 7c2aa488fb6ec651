"""Rate limit with a call to the shared counter for every operation; one count per customer and second."""

from collections.abc import Generator
from hashlib import blake2b

from lapisgrade.interface import AddToCounter, CounterOutcome, Operation, Reject, RejectReason
from lapisgrade.lab.baselines.common import BaselinePolicy

SECOND = 1_000_000
WINDOW_US = SECOND  # a window admits the quota's rate for one second plus its burst
COUNT_TTL_US = 2 * SECOND  # how long the counter keeps a window's count, longer than the window


class CentralCounterPolicy(BaselinePolicy):
    """Calls the counter before each operation; rejects the operation if the counter does not reply."""

    def handle(self, op: Operation) -> Generator:
        """Add the operation to the customer's count; send it if the count is within the quota."""
        window = self.clock.now_us // WINDOW_US
        name = int.from_bytes(blake2b(f"{op.customer}/{window}".encode(), digest_size=6).digest(), "big")
        reply = yield AddToCounter(name, float(op.units), COUNT_TTL_US)
        if reply.outcome is not CounterOutcome.ADDED:
            yield Reject(RejectReason.RETRY_LATER, WINDOW_US)
            return
        if reply.total > op.plan.rate * WINDOW_US / SECOND + op.plan.burst:
            yield Reject(RejectReason.RETRY_LATER, WINDOW_US - self.clock.now_us % WINDOW_US)
            return
        yield from self.send(op)
