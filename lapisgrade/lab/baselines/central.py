"""A call to the shared counter for every operation: a count per customer and window of one second."""

from collections.abc import Generator
from hashlib import blake2b

from lapisgrade.interface import AddToCounter, CounterOutcome, Operation, Reject, RejectReason
from lapisgrade.lab.baselines.common import BaselinePolicy

SECOND = 1_000_000
WINDOW = SECOND  # us; a count's window: a quota's rate for a second, and its burst on top
LIFE = 2 * SECOND  # us a window's count lives at the counter, past its end


class CentralCounterPolicy(BaselinePolicy):
    """Asks the counter before each operation; a counter that does not answer turns the operation back."""

    def handle(self, op: Operation) -> Generator:
        window = self.clock.now_us // WINDOW
        name = int.from_bytes(blake2b(f"{op.customer}/{window}".encode(), digest_size=6).digest(), "big")
        total = yield AddToCounter(name, float(op.units), LIFE)
        if total.outcome is not CounterOutcome.ADDED:
            yield Reject(RejectReason.RETRY_LATER, WINDOW)
            return
        if total.total > op.plan.rate * WINDOW / SECOND + op.plan.burst:
            yield Reject(RejectReason.RETRY_LATER, WINDOW - self.clock.now_us % WINDOW)
            return
        yield from self.send(op)
