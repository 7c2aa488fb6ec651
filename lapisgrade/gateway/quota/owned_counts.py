"""A bounded store of the counts that a proxy owns.

Pure. A count is created at its tenant's first request, with the level that its ownership history allows.
"""

from collections.abc import Sequence

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.quota.count import Count
from lapisgrade.gateway.quota.epochs import OwnershipEpoch
from lapisgrade.gateway.quota.ownership_history import OwnershipHistory

# Maximum number of stored counts. The least recently used one is evicted; if needed again, it starts empty.
MAX_COUNTS = 4096


class OwnedCounts:
    """Counts by tenant, the least recently used first."""

    def __init__(self, ownership: OwnershipHistory) -> None:
        self.by_tenant: dict[str, Count] = {}
        self.last_eviction_us: int | None = None  # when a count was last evicted
        self._ownership = ownership

    def clear(self) -> None:
        """Drop all counts."""
        self.by_tenant = {}

    def store(self, now_us: int, tenant: str, count: Count) -> None:
        """Store the tenant's count as the most recently used; evict the least recently used if full."""
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
        """Return a new count that this proxy owns under `epochs` and has granted no units of."""
        since_us = self._ownership.exclusive_since(request.tenant, epochs, self.last_eviction_us)
        if since_us is None:
            return Count.full(now_us, request.rate, request.burst)
        return Count(since_us, request.rate, request.burst)

    def take_over(
        self,
        now_us: int,
        request: rpc_messages.HandOverRequest,
        handed_count: rpc_messages.HandedCount | None,
    ) -> None:
        """Store the count that the previous owner handed over in reply to `request`.

        If it handed none over, a new count starts empty: the previous owner may have granted units until now.
        """
        if handed_count is None:
            count = Count(now_us, request.rate, request.burst)
        else:
            count = Count.from_hand_over(now_us, handed_count, request.rate, request.burst)
        self.store(now_us, request.tenant, count)

    def remove_not_owned(self) -> dict[str, Count]:
        """Remove the counts that other proxies own under the newest epoch and return them by tenant."""
        owns = self._ownership.owns
        departed = {tenant: each for tenant, each in self.by_tenant.items() if not owns(tenant)}
        self.by_tenant = {tenant: each for tenant, each in self.by_tenant.items() if owns(tenant)}
        return departed
