"""The counts that a proxy owns, a bounded number of them.

Pure. A count begins here when its tenant is first asked for, as full as it may be by who owned it before.
"""

from collections.abc import Sequence

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.quota.count import Count
from lapisgrade.gateway.quota.epochs import OwnershipEpoch
from lapisgrade.gateway.quota.ownership_history import OwnershipHistory

MAX_COUNTS = 4096  # counts kept; those unused for longest are evicted, and begin empty if they come back


class OwnedCounts:
    """Counts by tenant, the one used last at the end."""

    def __init__(self, ownership: OwnershipHistory) -> None:
        self.by_tenant: dict[str, Count] = {}
        self.last_eviction_us: int | None = None  # when a count was last evicted
        self._ownership = ownership

    def clear(self) -> None:
        """Drop all counts."""
        self.by_tenant = {}

    def store(self, now_us: int, tenant: str, count: Count) -> None:
        """Keep the tenant's count as the one used last; evict the one unused for longest if too many."""
        self.by_tenant[tenant] = count
        if len(self.by_tenant) > MAX_COUNTS:
            del self.by_tenant[next(iter(self.by_tenant))]
            self.last_eviction_us = now_us

    def create(
        self,
        now_us: int,
        request: rpc_messages.QuotaRequest | rpc_messages.HandOverRequest,
        epochs: Sequence[OwnershipEpoch],
    ) -> Count:
        """Return a count that nobody has taken of since this proxy owns it, by those epochs."""
        since_us = self._ownership.exclusive_since(request.tenant, epochs, self.last_eviction_us)
        if since_us is None:
            return Count.full(now_us, request.rate, request.burst)
        return Count(since_us, request.rate, request.burst)

    def take_over(
        self,
        now_us: int,
        request: rpc_messages.HandOverRequest,
        handed: rpc_messages.HandedCount | None,
    ) -> None:
        """Keep a count that the owner before has left, as its answer to `request` says.

        Without one it begins anew and empty: the owner before may have granted units until now.
        """
        if handed is None:
            count = Count(now_us, request.rate, request.burst)
        else:
            count = Count.from_hand_over(now_us, handed, request.rate, request.burst)
        self.store(now_us, request.tenant, count)

    def remove_not_owned(self) -> dict[str, Count]:
        """Remove the counts that others own under the newest epoch, and return them by tenant."""
        owns = self._ownership.owns
        departed = {tenant: each for tenant, each in self.by_tenant.items() if not owns(tenant)}
        self.by_tenant = {tenant: each for tenant, each in self.by_tenant.items() if owns(tenant)}
        return departed
