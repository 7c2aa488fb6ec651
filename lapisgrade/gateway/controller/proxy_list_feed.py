"""Remembers the last lists of live proxies, to send a proxy only the changes from the list it has. Pure.

A list of hundreds of proxies takes some KB, and changes several times a second while ten of them restart.
"""

from collections.abc import Iterable

import msgspec

from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US
from lapisgrade.gateway.rpc_messages import ProxiesByName, ProxyListDelta

MAX_LISTS = 12  # lists that are remembered: about two seconds' worth, at the leader's highest rate


class _ProxyList(msgspec.Struct, frozen=True):
    members: ProxiesByName
    owners: tuple[str, ...]  # the members that own counts
    since_us: int


class ProxyListFeed:
    """The last lists, by the fence that each is in force under."""

    def __init__(self) -> None:
        self._lists: dict[int, _ProxyList] = {}  # in the order in which they came
        self._deltas: dict[tuple[int, int], ProxyListDelta] = {}  # to the newest list, by base and fence

    def knows(self, fence: int) -> bool:
        """Return whether that list is remembered."""
        return fence in self._lists

    def remember(self, now_us: int, fence: int, members: ProxiesByName, owners: Iterable[str] = ()) -> None:
        """Take in the list that is in force now, and which of its members own counts."""
        if fence in self._lists:
            return
        self._lists[fence] = _ProxyList(members, tuple(owners), now_us)
        while len(self._lists) > MAX_LISTS:
            del self._lists[next(iter(self._lists))]
        self._deltas = {}

    def earlier_owners(self, now_us: int, fence: int) -> list[tuple[str, ...]]:
        """Return who owned counts under the lists before `fence`, the latest first.

        Goes back as far as an owner may still act by a list: `OWNERSHIP_LEASE_US` after the next one came.
        """
        owners: list[tuple[str, ...]] = []
        later = [each.since_us for each_fence, each in self._lists.items() if each_fence >= fence]
        replaced_us = min(later, default=now_us)
        for earlier_fence in sorted((each for each in self._lists if each < fence), reverse=True):
            if now_us - replaced_us >= OWNERSHIP_LEASE_US:
                break
            replaced_us = self._lists[earlier_fence].since_us
            owners.append(self._lists[earlier_fence].owners)
        return owners

    def delta(self, base: int, fence: int) -> ProxyListDelta | None:
        """Return the changes from the list `base` to the list `fence`.

        None where one of them is not remembered, or where the changes are no smaller than the list.
        """
        if base not in self._lists or fence not in self._lists:
            return None
        old, new = self._lists[base].members, self._lists[fence].members
        delta = self._deltas.get((base, fence))
        if delta is None:
            changed = {name: each for name, each in new.items() if old.get(name) != each}
            delta = ProxyListDelta(base, changed, sorted(old.keys() - new.keys()))
            self._deltas[base, fence] = delta
        return delta if len(delta.changed) + len(delta.removed) < len(new) else None
