"""One tenant's count, as its owner keeps it: a token bucket, and what of it is leased to whom.

Pure. Units are requests, as the tenant's limit counts them; times are microseconds of the owner's clock.

The bound: no window sees more than the count's capacity and its refill. For that, units that are leased and
may not be spent yet reduce what the bucket may hold. A count that begins anew is empty, and reserves half of
its capacity for a lease's time, as what an owner before granted may still be spent.
"""

import msgspec

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.rate import TokenBucket

LEASE_US = 3 * SECOND  # us that a lease lasts; an election fits
MAX_LEASED_FRACTION = 0.5  # of the capacity: what leases together hold at most, however long, by the design
LESSEE_EXPIRY_US = LEASE_US + SECOND  # us after its last lease that a quota client is one of a tenant's
PREVIOUS_OWNER = ""  # the lessee that stands for all leases of the owner before, together


def capacity(burst: float, rate: float) -> float:
    """Return the units that a full count holds, for a limit of `burst` units and `rate` units a second."""
    return max(1.0, burst or rate)


class Lease(msgspec.Struct, frozen=True):
    """What one quota client has leased of a count."""

    granted_us: int = 0  # when it last took units
    unspent: float = 0.0  # units of that, at most, that are not spent yet
    returnable: float = 0.0  # units of that, at most, that may still be given back
    request_number: int = 0  # of the client's call that was granted


NO_LEASE = Lease()


class Count:
    """A token bucket with the leases on it. A new one is empty, and reserves half of its capacity."""

    __slots__ = ("bucket", "exclusive_since_us", "first_request_us", "leases")

    def __init__(self, exclusive_since_us: int, rate: float, burst: float) -> None:
        """Begin anew at `exclusive_since_us`, the time since which no other proxy can grant units."""
        self.bucket = TokenBucket(exclusive_since_us, rate, capacity(burst, rate), 0.0)
        self.exclusive_since_us = exclusive_since_us
        self.first_request_us = exclusive_since_us
        self.leases: dict[str, Lease] = {}  # by the quota client's name

    @classmethod
    def full(cls, now_us: int, rate: float, burst: float) -> "Count":
        """Return a count of which nobody has ever leased: full, with nothing reserved."""
        count = cls(now_us - LEASE_US, rate, burst)
        count.bucket.set_level(now_us, count.bucket.burst)
        count.first_request_us = now_us
        return count

    @classmethod
    def from_hand_over(
        cls, now_us: int, handed: rpc_messages.HandedCount, rate: float, burst: float
    ) -> "Count":
        """Return a count that continues the one which its owner before has handed over."""
        reserved_us = min(max(0, handed.reserve_us), LEASE_US)
        count = cls(now_us - LEASE_US + reserved_us, rate, burst)
        count.bucket.set_level(now_us, min(max(0.0, handed.level), count.bucket.burst))
        count.first_request_us = now_us
        if handed.outstanding_grants > 0:
            count.leases[PREVIOUS_OWNER] = Lease(now_us, handed.outstanding_grants)
        return count

    def to_hand_over(self, now_us: int) -> rpc_messages.HandedCount:
        """Return what the next owner continues with."""
        reserved_us = max(0, LEASE_US - (now_us - self.exclusive_since_us))
        return rpc_messages.HandedCount(self.bucket.read(now_us), self._leased_units(now_us), reserved_us)

    def set_limit(self, now_us: int, rate: float, burst: float) -> None:
        """Apply a newer limit: the level stays as it is, in the new capacity."""
        bucket = self.bucket
        if bucket.rate_per_s != rate or bucket.burst != capacity(burst, rate):
            bucket.set_level(now_us, bucket.read(now_us))
            bucket.rate_per_s = rate
            bucket.burst = capacity(burst, rate)

    def add(self, now_us: int, request: rpc_messages.QuotaRequest) -> None:
        """Take units, and put back what was granted before and not spent."""
        previous = self.leases.pop(request.requester, NO_LEASE)
        units = max(0.0, request.units)
        returned = self._returned_units(request, previous)
        lease = self._next_lease(now_us, request.sequence_number, units, returned, previous)
        self.leases[request.requester] = lease
        self._drop_expired(now_us)
        reserved = self._leased_units(now_us) - lease.unspent
        if now_us - self.exclusive_since_us < LEASE_US:
            # Leases of the last owner's may still be spent.
            reserved = max(reserved, MAX_LEASED_FRACTION * self.bucket.burst)
        available = min(max(0.0, self.bucket.burst - reserved), self.bucket.read(now_us))
        self.bucket.set_level(now_us, available - units + returned)

    @staticmethod
    def _returned_units(request: rpc_messages.QuotaRequest, previous: Lease) -> float:
        """Return the units that are put back.

        Only what this very count granted with the call before, and no more of it, comes back (guards against
        a lease of the last owner's, or of a call that never got here, made units of this one).
        """
        if not request.returned_from or request.returned_from != previous.request_number:
            return 0.0
        return min(max(0.0, request.returned_units), previous.returnable)

    @staticmethod
    def _next_lease(
        now_us: int, request_number: int, units: float, returned: float, previous: Lease
    ) -> Lease:
        """Return the client's lease after a call that takes `units` and puts `returned` back.

        A client that takes again has spent what it took, or gives the rest back with this call. One of the
        units that it takes is for the request that made it call, and is spent at once (guards a tenant of
        many limiters, each of which calls seldom: units that are spent must not reserve capacity).
        """
        if units:
            return Lease(now_us, max(0.0, units - 1.0), units, request_number)
        unspent = max(0.0, previous.unspent - returned)
        return Lease(now_us, unspent, previous.returnable - returned, request_number)

    def _drop_expired(self, now_us: int) -> None:
        self.leases = {
            name: lease for name, lease in self.leases.items() if now_us - lease.granted_us < LESSEE_EXPIRY_US
        }

    def _leased_units(self, now_us: int) -> float:
        """Return the units of all leases that have not ended and may not be spent yet."""
        return sum(each.unspent for each in self.leases.values() if now_us - each.granted_us < LEASE_US)

    def lessee_count(self) -> int:
        """Return how many quota clients lease units of this count."""
        return len(self.leases.keys() - {PREVIOUS_OWNER})
