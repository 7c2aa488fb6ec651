"""Stores recent lists of live proxies, so that a proxy is sent only the changes from the list it has. Pure.

A list of hundreds of proxies takes several KB, and changes several times a second while ten of them restart.
"""

from collections.abc import Iterable

import msgspec

from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US
from lapisgrade.gateway.rpc_messages import ProxiesByName, ProxyListDelta

PROXY_LIST_INTERVAL_US = 150_000  # minimum interval between lists; proxies that start together share one
# Maximum number of stored lists. `earlier_owners` needs all that were replaced within OWNERSHIP_LEASE_US, and
# the current list; one more, as the commits of two lists may be closer together than their proposals.
MAX_LISTS = OWNERSHIP_LEASE_US // PROXY_LIST_INTERVAL_US + 2


class _ProxyList(msgspec.Struct, frozen=True):
    members: ProxiesByName
    owners: tuple[str, ...]  # the members that own quota counts
    since_us: int  # monotonic time at which the list was added


class ProxyListFeed:
    """The last lists of live proxies, and a cache of the deltas between them."""

    def __init__(self) -> None:
        self._lists: dict[int, _ProxyList] = {}  # by fencing token, oldest first
        self._deltas: dict[
            tuple[int, int], ProxyListDelta
        ] = {}  # by the fencing tokens of base and newest list

    def contains(self, fencing_token: int) -> bool:
        """Return whether the list with that fencing token is stored."""
        return fencing_token in self._lists

    def add(
        self, now_us: int, fencing_token: int, members: ProxiesByName, owners: Iterable[str] = ()
    ) -> None:
        """Store the current list, and which of its members own quota counts."""
        if fencing_token in self._lists:
            return
        self._lists[fencing_token] = _ProxyList(members, tuple(owners), now_us)
        while len(self._lists) > MAX_LISTS:
            del self._lists[next(iter(self._lists))]
        self._deltas = {}

    def earlier_owners(self, now_us: int, fencing_token: int) -> list[tuple[str, ...]]:
        """Return the owners under each list before `fencing_token`, the latest first.

        Includes the lists under which an owner may still act: those that were replaced less than
        `OWNERSHIP_LEASE_US` ago.
        """
        owners: list[tuple[str, ...]] = []
        later_us = [each.since_us for token, each in self._lists.items() if token >= fencing_token]
        replaced_us = min(later_us, default=now_us)
        for earlier_token in sorted((token for token in self._lists if token < fencing_token), reverse=True):
            if now_us - replaced_us >= OWNERSHIP_LEASE_US:
                break
            replaced_us = self._lists[earlier_token].since_us
            owners.append(self._lists[earlier_token].owners)
        return owners

    def delta(self, base: int, fencing_token: int) -> ProxyListDelta | None:
        """Return the changes from the list with the token `base` to the list with `fencing_token`.

        Returns None if one of the lists is not stored, or if the changes are no smaller than the list.
        """
        if base not in self._lists or fencing_token not in self._lists:
            return None
        old, new = self._lists[base].members, self._lists[fencing_token].members
        delta = self._deltas.get((base, fencing_token))
        if delta is None:
            changed = {name: member for name, member in new.items() if old.get(name) != member}
            delta = ProxyListDelta(base, changed, sorted(old.keys() - new.keys()))
            self._deltas[base, fencing_token] = delta
        return delta if len(delta.changed) + len(delta.removed) < len(new) else None
