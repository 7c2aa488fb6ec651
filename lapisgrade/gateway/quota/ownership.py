"""Maps each tenant to the proxy that owns its count: rendezvous hashing over the membership.

Pure. Every proxy and controller computes the same owner from the same membership.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import TypeVar

# Duration for which a proxy may act as an owner after it sends a watch request that is answered.
OWNERSHIP_LEASE_US = 1_800_000

MAX_CACHED_OWNERS = 8192  # maximum number of tenants in the cache; it is cleared when full
# An update in which more proxies join clears the cache, instead of comparing each cached owner with all of
# them.
MAX_JOINED = 24

Member = TypeVar("Member")


def owner_of(tenant: str, proxies: Iterable[str]) -> str:
    """Return the name of the proxy that owns this tenant's count; empty if there are no proxies.

    Uses rendezvous hashing of the tenant's name (Thaler and Ravishankar, 1998): when a proxy joins or leaves,
    only the counts that it gains or loses change owners.
    """
    return max(proxies, default="", key=lambda name: _weight(tenant, name))


def _weight(tenant: str, name: str) -> bytes:
    return blake2b(f"{tenant} {name}".encode(), digest_size=8).digest()


class OwnerTable:
    """Cache of the results of `owner_of` under the newest membership, kept across updates.

    A joining proxy is compared with each cached owner only, and a leaving proxy evicts only the tenants that
    it owned, so the cost of an update depends on the change and not on the number of proxies. Otherwise, in a
    fleet of hundreds, each proxy would hash all proxies again for every tenant whenever ten of them restart.
    """

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        self._owners: dict[str, tuple[bytes, str]] = {}  # weight and name of the owner, by tenant

    def update(self, names: Iterable[str]) -> None:
        """Replace the set of proxies that own counts."""
        before = self.names
        self.names = frozenset(names)
        left = before - self.names
        joined = self.names - before
        if len(joined) > MAX_JOINED:
            self._owners = {}
            return
        for tenant, owner in list(self._owners.items()):
            if owner[1] in left:
                del self._owners[tenant]
            elif joined:
                self._owners[tenant] = max(owner, *((_weight(tenant, name), name) for name in joined))

    def owner(self, tenant: str) -> str:
        """Return the owner of this tenant's count; empty if there are no proxies."""
        owner = self._owners.get(tenant)
        if owner is None:
            if not self.names:
                return ""
            if len(self._owners) >= MAX_CACHED_OWNERS:
                self._owners.clear()
            owner = max((_weight(tenant, name), name) for name in self.names)
            self._owners[tenant] = owner
        return owner[1]


def eligible_owners(
    proxies: dict[str, Member],
    proxies_with_controller: Iterable[str],
    terminating_proxies: Iterable[str] = (),
) -> dict[str, Member]:
    """Return the proxies that may own counts.

    If others remain, a terminating proxy owns none, so that its counts are handed over before it exits. If
    others remain, neither does a proxy on the same machine as a controller, so that the loss of one machine
    does not take both the leader and counts.

    Args:
        proxies: Live proxies by name.
        proxies_with_controller: Names of the proxies that share their machine with a controller.
        terminating_proxies: Names of the proxies that are shutting down.
    """
    staying = {name: each for name, each in proxies.items() if name not in terminating_proxies} or proxies
    return {name: each for name, each in staying.items() if name not in proxies_with_controller} or staying
