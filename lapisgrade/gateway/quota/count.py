"""One tenant's count, as its owner keeps it: pure. A bucket of room, and what of it is leased to whom."""

from dataclasses import dataclass

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.sums import Bucket

LEASE = 3 * SECOND  # us that a lease lives; an election fits. Half the room at most is leased, however long
LEASED = 0.5  # of the room: what leases together hold at most, by the design
SET = LEASE + SECOND  # us after its last lease that a limiter counts as one of a tenant's
PREVIOUS_OWNER = ""  # the taker that stands for all leases of the owner before, together


def room(burst: float, rate: float) -> float:
    """Units that a full count holds."""
    return max(1.0, burst or rate)


@dataclass(slots=True, frozen=True)
class Taker:
    """One limiter that takes of a count."""

    at: int = 0  # us, its last take
    left: float = 0.0  # of that, at most, not spent
    gave: float = 0.0  # of that, what has not come back
    turn: int = 0


NOBODY = Taker()


class Count:
    """What is leased and may not be spent yet takes the room of what could be granted, so that no window sees
    more than the room and its refill. A new count is empty, and keeps half of the room back for a lease's
    life, as what an owner before it granted may still be spent."""

    __slots__ = ("born", "bucket", "first", "takers")

    def __init__(self, since_us: int, rate: float, burst: float) -> None:
        self.bucket, self.born = Bucket(since_us, rate, room(burst, rate), 0.0), since_us
        self.first = since_us  # the first take
        self.takers: dict[str, Taker] = {}

    @classmethod
    def untouched(cls, now_us: int, rate: float, burst: float) -> "Count":
        """One that nobody has ever taken of: full, and nothing is kept back."""
        count = cls(now_us - LEASE, rate, burst)
        count.bucket.put(now_us, count.bucket.burst)
        count.first = now_us
        return count

    @classmethod
    def continued(cls, now_us: int, handed: rpc_messages.HandedCount, rate: float, burst: float) -> "Count":
        """One that goes on where its owner before left off."""
        count = cls(now_us - LEASE + min(max(0, handed.reserve_us), LEASE), rate, burst)
        count.bucket.put(now_us, min(max(0.0, handed.level), count.bucket.burst))
        count.first = now_us
        if handed.outstanding_grants > 0:
            count.takers[PREVIOUS_OWNER] = Taker(now_us, handed.outstanding_grants)
        return count

    def handed(self, now_us: int) -> rpc_messages.HandedCount:
        """What the next owner goes on with."""
        leased = sum(each.left for each in self.takers.values() if now_us - each.at < LEASE)
        kept_back = max(0, LEASE - (now_us - self.born))
        return rpc_messages.HandedCount(self.bucket.read(now_us), leased, kept_back)

    def limited(self, now_us: int, rate: float, burst: float) -> None:
        """A newer limit: the level stays as it is, in the new room."""
        bucket = self.bucket
        if bucket.rate != rate or bucket.burst != room(burst, rate):
            bucket.put(now_us, bucket.read(now_us))
            bucket.rate, bucket.burst = rate, room(burst, rate)

    def add(self, now_us: int, ask: rpc_messages.QuotaRequest) -> None:
        """Take units, and put back what was granted before and not spent."""
        bucket, had = self.bucket, self.takers.pop(ask.requester, NOBODY)
        units = max(0.0, ask.units)
        # Only what this very count granted with the call before, and no more of it, comes back (guards
        # against a lease of the last owner's, or of a call that never got here, made units of this one).
        back = (
            min(max(0.0, ask.returned_units), had.gave)
            if ask.returned_from and ask.returned_from == had.turn
            else 0.0
        )
        # Who takes again has spent what it took, or gives the rest back with this.
        # One of what it takes is for the request that made it ask, and is spent at once (guards a tenant of
        # many limiters, each of which asks seldom: its room must not be held by what is spent already).
        left, gave = (units - 1.0, units) if units else (had.left - back, had.gave - back)
        left = max(0.0, left)
        self.takers[ask.requester] = Taker(now_us, left, gave, ask.sequence_number)
        self.takers = {name: each for name, each in self.takers.items() if now_us - each.at < SET}
        leased = sum(each.left for each in self.takers.values() if now_us - each.at < LEASE) - left
        if now_us - self.born < LEASE:
            leased = max(leased, LEASED * bucket.burst)  # the last owner's may be out
        bucket.put(now_us, min(max(0.0, bucket.burst - leased), bucket.read(now_us)) - units + back)

    def takers_seen(self) -> int:
        """How many limiters lease of it."""
        return len(self.takers.keys() - {PREVIOUS_OWNER})
