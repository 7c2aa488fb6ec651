"""One tenant's count as its owner stores it: a token bucket and the leases on it.

Pure. Units are requests, as the tenant's limit counts them; times are microseconds of the owner's clock.

The bound: in any time window, at most the count's capacity plus its refill is spent. Leased units that may
be unspent therefore reduce the level that the bucket may have. A new count starts empty and reserves half of
its capacity for the duration of one lease, because units that a previous owner granted may still be unspent.
"""

import msgspec

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.rate import TokenBucket

# Duration of a lease; long enough for an election of the controllers' leader.
LEASE_US = 3 * SECOND
# Maximum fraction of the capacity that all leases together hold, however long they last; set by the design.
MAX_LEASED_FRACTION = 0.5
# A quota client counts as a lessee of the tenant until this time after its last lease.
LESSEE_EXPIRY_US = LEASE_US + SECOND
PREVIOUS_OWNER = ""  # pseudo-lessee that holds the sum of all leases granted by the previous owner


def capacity(burst: float, rate: float) -> float:
    """Return the units that a full count holds, for a limit of `burst` units and `rate` units a second."""
    return max(1.0, burst or rate)


class Lease(msgspec.Struct, frozen=True):
    """The units of a count that one quota client has leased.

    Attributes:
        granted_us: When the client last took units.
        unspent: Upper bound on the granted units that are not spent yet.
        returnable: Upper bound on the granted units that the client may still return.
        request_number: Sequence number of the client's last request, which a return refers to.
    """

    granted_us: int = 0
    unspent: float = 0.0
    returnable: float = 0.0
    request_number: int = 0


NO_LEASE = Lease()


class Count:
    """A token bucket and the leases on it. A new count is empty and reserves half of its capacity.

    Attributes:
        bucket: The token bucket. Its level may be negative.
        exclusive_since_us: Time since which no other proxy can have granted units of this count. The
            reservation lasts for `LEASE_US` from then on.
        first_request_us: Time of the first request to this owner, or of the hand-over to it.
        leases: Leases by the name of the quota client's proxy.
    """

    __slots__ = ("bucket", "exclusive_since_us", "first_request_us", "leases")

    def __init__(self, exclusive_since_us: int, rate: float, burst: float) -> None:
        """Create an empty count; no other proxy can have granted units since `exclusive_since_us`."""
        self.bucket = TokenBucket(exclusive_since_us, rate, capacity(burst, rate), 0.0)
        self.exclusive_since_us = exclusive_since_us
        self.first_request_us = exclusive_since_us
        self.leases: dict[str, Lease] = {}

    @classmethod
    def full(cls, now_us: int, rate: float, burst: float) -> "Count":
        """Return a full count with nothing reserved; no units of it have ever been leased."""
        count = cls(now_us - LEASE_US, rate, burst)  # backdated, so that the reservation has ended
        count.bucket.set_level(now_us, count.bucket.burst)
        count.first_request_us = now_us
        return count

    @classmethod
    def from_hand_over(
        cls, now_us: int, handed_count: rpc_messages.HandedCount, rate: float, burst: float
    ) -> "Count":
        """Return a count that continues the one that the previous owner handed over."""
        reserved_us = min(max(0, handed_count.reserve_us), LEASE_US)
        # Backdated, so that the remaining reservation continues.
        count = cls(now_us - LEASE_US + reserved_us, rate, burst)
        count.bucket.set_level(now_us, min(max(0.0, handed_count.level), count.bucket.burst))
        count.first_request_us = now_us
        if handed_count.outstanding_grants > 0:
            count.leases[PREVIOUS_OWNER] = Lease(now_us, handed_count.outstanding_grants)
        return count

    def to_hand_over(self, now_us: int) -> rpc_messages.HandedCount:
        """Return the state that the next owner continues from."""
        reserved_us = max(0, LEASE_US - (now_us - self.exclusive_since_us))
        return rpc_messages.HandedCount(self.bucket.read(now_us), self._leased_units(now_us), reserved_us)

    def set_limit(self, now_us: int, rate: float, burst: float) -> None:
        """Apply a newer limit. The level stays the same, up to the new capacity."""
        bucket = self.bucket
        if bucket.rate_per_s != rate or bucket.burst != capacity(burst, rate):
            bucket.set_level(now_us, bucket.read(now_us))
            bucket.rate_per_s = rate
            bucket.burst = capacity(burst, rate)

    def add(self, now_us: int, request: rpc_messages.QuotaRequest) -> None:
        """Grant the requested units and put back the returned units of earlier grants."""
        previous = self.leases.pop(request.requester, NO_LEASE)
        units = max(0.0, request.units)
        returned = self._returned_units(request, previous)
        lease = self._next_lease(now_us, request.sequence_number, units, returned, previous)
        self.leases[request.requester] = lease
        self._drop_expired(now_us)
        reserved = self._leased_units(now_us) - lease.unspent
        if now_us - self.exclusive_since_us < LEASE_US:
            # Units that the previous owner leased may still be unspent.
            reserved = max(reserved, MAX_LEASED_FRACTION * self.bucket.burst)
        available = min(max(0.0, self.bucket.burst - reserved), self.bucket.read(now_us))
        self.bucket.set_level(now_us, available - units + returned)

    @staticmethod
    def _returned_units(request: rpc_messages.QuotaRequest, previous: Lease) -> float:
        """Return how many of the request's returned units are accepted.

        At most the units that this count granted in reply to the client's previous request are accepted.
        Otherwise a lease from a previous owner, or from a request that never arrived here, would add units to
        this count.
        """
        if not request.returned_from or request.returned_from != previous.request_number:
            return 0.0
        return min(max(0.0, request.returned_units), previous.returnable)

    @staticmethod
    def _next_lease(
        now_us: int, request_number: int, units: float, returned: float, previous: Lease
    ) -> Lease:
        """Return the client's lease after a request that takes `units` and puts `returned` back.

        A client that takes more units has spent its last grant or returns the rest with this request. One of
        the units that it takes is spent at once, by the request that caused the call. It is not counted as
        unspent, because spent units must not reserve capacity: with many proxies that each call rarely, they
        would use up a small tenant's capacity.
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
        """Return the units of all current leases that may be unspent."""
        return sum(each.unspent for each in self.leases.values() if now_us - each.granted_us < LEASE_US)

    def lessee_count(self) -> int:
        """Return the number of quota clients that lease units from this count."""
        return len(self.leases.keys() - {PREVIOUS_OWNER})
