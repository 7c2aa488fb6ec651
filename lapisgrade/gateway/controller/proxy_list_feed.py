"""What a proxy is sent of a newer list of live proxies, by the one that it has: pure, held by the leader.

The list of hundreds is some KB; where ten of them restart it changes several times a second, for each of
them. Who has one of the last few lists is told the changes alone.
"""

from collections.abc import Iterable

from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US
from lapisgrade.gateway.rpc_messages import Members, ProxyListDelta

MOST_LISTS = 12  # lists that are remembered: what is put into the log in two seconds, about


class ProxyListFeed:
    """The last few lists, by their fences."""

    def __init__(self) -> None:
        self._lists: dict[int, Members] = {}
        self._owners: dict[
            int, tuple[int, tuple[str, ...]]
        ] = {}  # by fence: when it came, and who owned counts
        self._deltas: dict[tuple[int, int], ProxyListDelta] = {}  # by base and fence

    def knows(self, fence: int) -> bool:
        """Whether that list is remembered."""
        return fence in self._lists

    def told(self, now_us: int, fence: int, members: Members, owners: Iterable[str] = ()) -> None:
        """That list is in force, and those of it own counts."""
        if fence in self._lists:
            return
        self._lists[fence] = members
        self._owners[fence] = now_us, tuple(owners)
        while len(self._lists) > MOST_LISTS:
            oldest = next(iter(self._lists))
            del self._lists[oldest], self._owners[oldest]
        self._deltas = {}

    def earlier_owners(self, now_us: int, prior: int) -> list[tuple[str, ...]]:
        """Who owned counts under the lists before `prior`, the latest first, as far back as an owner may act
        by one still: until `OWNERSHIP_LEASE_US` after the next list came."""
        out: list[tuple[str, ...]] = []
        next_us = min((at for fence, (at, _) in self._owners.items() if fence >= prior), default=now_us)
        for fence in sorted((each for each in self._owners if each < prior), reverse=True):
            if now_us - next_us >= OWNERSHIP_LEASE_US:
                break
            next_us, owners = self._owners[fence]
            out.append(owners)
        return out

    def delta(self, base: int, fence: int) -> ProxyListDelta | None:
        """The changes from one list to another; None where either is not remembered, or the delta would hold
        as much as the list."""
        old, new = self._lists.get(base), self._lists.get(fence)
        if old is None or new is None:
            return None
        made = self._deltas.get((base, fence))
        if made is None:
            changed = {name: each for name, each in new.items() if old.get(name) != each}
            made = ProxyListDelta(base, changed, sorted(old.keys() - new.keys()))
            self._deltas[base, fence] = made
        return made if len(made.changed) + len(made.left) < len(new) else None
