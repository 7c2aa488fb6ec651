"""The counts that this proxy owns, and how they change hands: pure.

A proxy adds to a count only under the list of live proxies that it has itself, and only while nobody else can
have been given a newer one without it. Whoever gains a count by a newer list asks the owner before for it,
and adds nothing until that one has said what it leaves, is gone, or its time is over: so no two add to one
count. What a new owner can't be told is lost, never made: such a count starts with nothing but the refill
from then on."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.quota.count import SET, Count
from lapisgrade.gateway.quota.ownership import HOLDS, OwnerTable, eligible_owners, owner_of

MOST_LISTS = 16  # lists of live proxies that are remembered, to know since when a count is owned here
NEVER = -1  # us; a time before all others
MOST_COUNTS = 4096  # counts kept; those unused for longest go, and start poor if they come back


@dataclass(slots=True)
class OwnerList:
    """One list of live proxies, as it was told here."""

    told_us: int
    fence: int
    members: frozenset[str]
    owners: tuple[str, ...]
    before: tuple[str, ...]  # the owners under the list before; empty where that is not known
    followed: bool  # whether the list before was told here too
    missed: bool  # whether lists were told here before, and the last one was not among them
    settled: set[str] = field(default_factory=set)  # tenants of which nobody else can act any more
    cleared: set[str] = field(default_factory=set)  # tenants whose owner before says that it does not act


class QuotaOwner:
    """All counts that this proxy owns, under the newest list of live proxies."""

    def __init__(self, name: str, own: str = "", began_us: int = 0) -> None:
        """`own` is this process's life, `began_us` when it began."""
        self.name, self.own, self.began = name, own, began_us
        self.counts: dict[str, Count] = {}
        self.fence = 0
        self.proxies: dict[str, tuple[str, str, str]] = {}
        self.eligible_owners: dict[str, tuple[str, str, str]] = {}
        self._lists: list[OwnerList] = []
        self.owners = OwnerTable()
        self._heir = False  # whether the first list that was told named this machine's last life
        self._first_ever = False  # whether the first list that was told is the first of the whole system
        self._departed: dict[str, Count] = {}  # counts that are another's under the newest list
        # Tenants handed over to the owner by a list that is not known here yet: until when, and its fence.
        self._released: dict[str, tuple[int, int]] = {}
        self._given: dict[str, str] = {}  # tenants handed over, and to which life of their owner
        self._evicted_us = NEVER  # when a count last went for want of room

    # ---- lists of live proxies

    def told(
        self,
        now_us: int,
        fence: int,
        proxies: dict[str, tuple[str, str, str]],
        core: Iterable[str] = (),
        prior: int | None = None,
        leaving: Iterable[str] = (),
        prior_owners: Iterable[str] = (),
        earlier_owners: Iterable[Iterable[str]] = (),
    ) -> None:
        """A newer list: counts that are another's from now on wait to be handed over. `prior` is the fence of
        the list before it (None for the one that was told last), `prior_owners` who owned counts under it,
        and `earlier_owners` under those before that one, the latest first, by which somebody may act still;
        both for a proxy that was not told the list before."""
        if fence <= self.fence:
            return
        first = not self._lists
        followed = not first and prior in (None, self.fence)
        before = tuple(self.eligible_owners) if followed else tuple(prior_owners)
        if first:
            self._heir = bool(self.own) and self.name in proxies and proxies[self.name][1] != self.own
            # A list that names an earlier life of this machine's may be the first, but that one may have
            # granted.
            self._first_ever = prior == 0 and self.name in proxies and not self._heir
        elif not followed:
            # Under a list that was not told here others may have owned what was owned here before (guards
            # against one that was cut off and grants what its count has filled up with meanwhile).
            self._lists, self._heir, self._first_ever, self.counts = [], False, False, {}
        if not followed:
            self._lists = self._untold(now_us, before, earlier_owners)
        self.fence, self.proxies = fence, proxies
        self.eligible_owners = eligible_owners(proxies, core, leaving)
        self.owners.told(self.eligible_owners)
        made = OwnerList(
            now_us,
            fence,
            frozenset(proxies),
            tuple(self.eligible_owners),
            before,
            followed or bool(self._lists),
            not first and not followed,
        )
        self._lists = [*self._lists[-MOST_LISTS:], made]
        self._departed = {tenant: each for tenant, each in self.counts.items() if not self.owns(tenant)}
        self.counts = {tenant: each for tenant, each in self.counts.items() if self.owns(tenant)}
        # Handed over by a list that is newer still: that one's owner goes on.
        self._released = {tenant: each for tenant, each in self._released.items() if each[1] > fence}
        self._given = {tenant: each for tenant, each in self._given.items() if tenant in self._released}

    def heard(self, now_us: int, news: rpc_messages.WatchReply) -> rpc_messages.ProxiesByName | None:
        """News from who leads; the newer list of live proxies in it, None without one."""
        members = news.updated_proxies(self.fence, self.proxies)
        if members is not None:
            self.told(
                now_us,
                news.fencing_token,
                members,
                news.proxies_with_controller,
                news.previous_fencing_token,
                news.terminating_proxies,
                news.previous_owners,
                news.earlier_owners,
            )
        return members

    @staticmethod
    def _untold(
        now_us: int, prior_owners: tuple[str, ...], earlier_owners: Iterable[Iterable[str]]
    ) -> list[OwnerList]:
        """The lists before, which were not told here, as if they had come just now: so whoever owned a count
        under one of them is asked, or its time waited for (guards a process that starts anew between an
        owner that has not heard that it is none any more, and its own last life)."""
        known = [prior_owners, *map(tuple, earlier_owners)]
        made = [
            OwnerList(now_us, 0, frozenset(owners), owners, before, True, False)
            for owners, before in pairwise(known)
        ]
        if made:
            made[-1].followed = False
        return made[::-1]

    def owns(self, tenant: str) -> bool:
        """Whether this tenant's count is this proxy's under the newest list."""
        return self.owners.owner(tenant) == self.name

    # ---- who acted before

    def predecessor(self, now_us: int, tenant: str) -> str:
        """Who has to hand this tenant's count over first; empty where nobody else can act any more, and this
        proxy's own name where only time can tell."""
        found = self._acting(now_us, tenant, self._lists)
        if not found and self._lists:
            settled = self._lists[-1].settled
            if len(settled) > MOST_COUNTS:
                settled.clear()
            settled.add(tenant)
        return found

    def _acting(self, now_us: int, tenant: str, lists: list[OwnerList]) -> str:
        """Who else may still act as the owner under a list before the newest of those.

        An owner that the newest list of all does not name is gone, maybe before it was handed the count: so
        who owned it before that one is looked at too (guards against one that has not heard of any of this,
        and adds on).
        """
        for each in reversed(lists):
            if tenant in each.settled or now_us - each.told_us >= HOLDS:
                return ""
            before = owner_of(tenant, each.before)
            acted = before != self.name and before in self.proxies
            if acted and tenant not in each.cleared:
                return before
            if not each.followed:
                return self.name if each.missed and before == self.name else ""
        return ""

    def gone(self, now_us: int, tenant: str, rate: float, burst: float, by: str) -> None:
        """The process of `by`, who owned the count before, has ended."""
        self.handed(now_us, tenant, rpc_messages.HandOverReply(False), rate, burst, by)

    def handed(
        self,
        now_us: int,
        tenant: str,
        reply: rpc_messages.HandOverReply,
        rate: float,
        burst: float,
        by: str,
    ) -> None:
        """What `by`, who owned the count before, says in answer to this proxy under the newest list."""
        if reply.must_wait or not self._lists or not self.owns(tenant):
            return
        settled = self._lists[-1].settled
        if tenant in settled or tenant in self.counts:
            return  # said again
        if reply.count is not None:
            settled.add(tenant)
            self._keep(now_us, tenant, Count.continued(now_us, reply.count, rate, burst))
            return
        # It does not act, and does not say that it ever had the count: the one before it may have it.
        for each in self._lists:
            if owner_of(tenant, each.before) == by and len(each.cleared) < MOST_COUNTS:
                each.cleared.add(tenant)
        if not self._acting(now_us, tenant, self._lists):
            settled.add(tenant)
            # The one before may have granted until now.
            self._keep(now_us, tenant, Count(now_us, rate, burst))

    def hand_over(self, now_us: int, ask: rpc_messages.HandOverRequest) -> rpc_messages.HandOverReply:
        """Leave a count to the owner under a list that is as new as the one here, or newer. The same is said
        again to one that asks again, as an answer may be lost."""
        wait, nothing = rpc_messages.HandOverReply(True), rpc_messages.HandOverReply(False)
        if not self._lists:
            return nothing  # a process that has just started
        if ask.fencing_token > self.fence:  # the list that names the other one is on its way here
            if not self.owns(ask.tenant) or self._acting(now_us, ask.tenant, self._lists):
                return wait
            if len(self._released) >= MOST_COUNTS:
                return wait
            self._released[ask.tenant] = now_us + HOLDS, ask.fencing_token
            if ask.tenant not in self.counts:
                self._keep(now_us, ask.tenant, self._fresh(now_us, ask, self._lists))
            return self._give(now_us, ask, self.counts[ask.tenant])
        newest, earlier = self._lists[-1], self._lists[:-1]
        if ask.fencing_token < self.fence or self.owns(ask.tenant) or newest.missed:
            return wait
        if not earlier:
            return nothing  # the process that owned it is gone
        if ask.tenant not in self._departed:
            owned = self._up_to_owned(ask.tenant, earlier)
            if not owned or self._acting(now_us, ask.tenant, owned) or len(self._departed) >= MOST_COUNTS:
                return wait
            if len(owned) < len(earlier):
                return nothing  # somebody else has owned it since, and nobody acts by those lists here
            self._departed[ask.tenant] = self._fresh(now_us, ask, earlier)
        return self._give(now_us, ask, self._departed[ask.tenant])

    def _up_to_owned(self, tenant: str, lists: list[OwnerList]) -> list[OwnerList]:
        """Those lists up to the last one by which the count was this proxy's; none where it never was."""
        lists = list(lists)
        while lists and owner_of(tenant, lists[-1].owners) != self.name:
            lists.pop()
        return lists

    def _give(
        self, now_us: int, ask: rpc_messages.HandOverRequest, count: Count
    ) -> rpc_messages.HandOverReply:
        """The count, for the first life of its owner that asks; it may have granted from it already."""
        if self._given.setdefault(ask.tenant, ask.incarnation) != ask.incarnation:
            return rpc_messages.HandOverReply(False)
        return rpc_messages.HandOverReply(False, count.handed(now_us))

    # ---- counts

    def since(self, tenant: str, lists: list[OwnerList] | None = None) -> int:
        """From when on nobody else can have taken of this tenant's count, by those lists (by all, if None),
        in us; below 0 where nobody ever has.

        Where the first list that was told still named this machine's last life, that one owned the count and
        was gone when this process began: from then on its refill is nobody else's (guards the requests that
        come back after all processes were killed).
        """
        lists = self._lists if lists is None else lists
        since = lists[-1].told_us
        for each in reversed(lists):
            if owner_of(tenant, each.owners) != self.name:
                return max(since, self._evicted_us)
            since = each.told_us
            before = owner_of(tenant, each.before)
            if before != self.name and before in each.members:
                since += HOLDS  # it gave no word, and may have granted until then
        if len(lists) <= MOST_LISTS:
            if self._first_ever and self._evicted_us == NEVER:
                return NEVER
            since = min(since, self.began) if self._heir else since
        return max(since, self._evicted_us)

    def _fresh(
        self,
        now_us: int,
        ask: rpc_messages.QuotaRequest | rpc_messages.HandOverRequest,
        lists: list[OwnerList],
    ) -> Count:
        """A count that nobody has taken of since this proxy owns it, by those lists."""
        since = self.since(ask.tenant, lists)
        if since == NEVER:
            return Count.untouched(now_us, ask.rate, ask.burst)
        return Count(since, ask.rate, ask.burst)

    def _keep(self, now_us: int, tenant: str, count: Count) -> None:
        self.counts[tenant] = count
        if len(self.counts) > MOST_COUNTS:
            del self.counts[next(iter(self.counts))]
            self._evicted_us = now_us

    def take(
        self, now_us: int, ask: rpc_messages.QuotaRequest, acts_until_us: int
    ) -> rpc_messages.QuotaReply:
        """Add to a count, where nobody else can: whoever asks may have an earlier or a later list.

        Its list only says where it looks for the owner. That nobody else adds meanwhile rests on the list
        that this proxy has itself, on its time, and on the hand-over (guards tenants whose owner stays,
        while others come and go and the list changes several times a second).
        """
        released = now_us < self._released.get(ask.tenant, (0, 0))[0]
        if (
            not ask.fencing_token
            or not ask.requester
            or now_us >= acts_until_us
            or released
            or not self.owns(ask.tenant)
            or self.predecessor(now_us, ask.tenant)
        ):
            return rpc_messages.QuotaReply(False, 0.0, 1, self.fence)
        count = self.counts.pop(ask.tenant, None)
        if count is None:
            count = self._fresh(now_us, ask, self._lists)
            count.first = now_us
        self._keep(now_us, ask.tenant, count)
        count.limited(now_us, ask.rate, ask.burst)
        count.add(now_us, ask)
        takers = count.takers_seen()
        if now_us - count.first < SET:
            # Who leases first must not take what all the others are about to ask for.
            takers = max(takers, len(self.proxies))
        return rpc_messages.QuotaReply(True, count.bucket.burst - count.bucket.level, takers, self.fence)
