"""Which proxy owns the count of a tenant: rendezvous hashing over the membership.

Pure. Every proxy and controller computes the same owner from the same membership.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import TypeVar

# us that a proxy may act as an owner under a membership, from its last answered watch request on.
OWNERSHIP_LEASE_US = 1_800_000

MAX_CACHED_OWNERS = 8192  # tenants whose owners are cached
MAX_JOINED = 24  # proxies that may join at once before the cache is rather emptied

Member = TypeVar("Member")


def owner_of(tenant: str, proxies: Iterable[str]) -> str:
    """Return the name of the proxy that owns this tenant's count; empty where there is none.

    Drawn by the tenant's key (rendezvous hashing: Thaler and Ravishankar, 1998): where a proxy joins or
    leaves, only the counts that it gains or had change hands.
    """
    return max(proxies, default="", key=lambda name: _weight(tenant, name))


def _weight(tenant: str, name: str) -> bytes:
    return blake2b(f"{tenant} {name}".encode(), digest_size=8).digest()


class OwnerTable:
    """Owners by tenant under the newest membership, as `owner_of` finds them, cached across updates.

    A proxy that joins is weighed against each cached owner alone, and one that leaves evicts only the tenants
    that it owned: an update costs by its changes, not by all proxies (guards proxies of hundreds, each of
    which would weigh all for each tenant anew as ten others restart).
    """

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        self._owners: dict[str, tuple[bytes, str]] = {}  # by tenant: the owner's weight and name

    def update(self, names: Iterable[str]) -> None:
        """Make these proxies the ones that own counts."""
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
        """Return the owner of this tenant's count; empty where there is none."""
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
    """Return those of the proxies that own counts.

    One that is about to end owns none where there are others, so that its counts are handed over while it
    lives. Nor does one beside a controller: a machine whose loss may cost the leader must not cost counts
    beside it.

    Args:
        proxies: the live proxies, by name.
        proxies_with_controller: names of the proxies beside which a controller runs.
        terminating_proxies: names of the proxies that are shutting down.
    """
    staying = {name: each for name, each in proxies.items() if name not in terminating_proxies} or proxies
    return {name: each for name, each in staying.items() if name not in proxies_with_controller} or staying
