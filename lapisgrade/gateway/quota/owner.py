"""The owner's side of tenant quotas at a proxy: serves requests for the counts that it owns.

Pure: the proxy's I/O layer passes in messages and the time, in microseconds. `update_members` and
`on_watch_reply` apply a newer membership, and `add` serves a quota client's request. In a hand-over,
`answer_hand_over` is the previous owner's side; `on_hand_over_reply` and `on_predecessor_terminated` are the
new owner's.
"""

from lapisgrade.gateway.quota.count import LESSEE_EXPIRY_US, Count
from lapisgrade.gateway.quota.epochs import MembershipUpdate
from lapisgrade.gateway.quota.hand_over import HandOver
from lapisgrade.gateway.quota.owned_counts import OwnedCounts
from lapisgrade.gateway.quota.ownership_history import OwnershipHistory
from lapisgrade.gateway.rpc_messages import (
    HandOverReply,
    HandOverRequest,
    ProxiesByName,
    QuotaReply,
    QuotaRequest,
    WatchReply,
)


class QuotaOwner:
    """The counts that this proxy owns under the newest membership of live proxies."""

    def __init__(self, name: str, incarnation: str = "", process_started_us: int = 0) -> None:
        """Create an owner without a membership.

        Args:
            name: Name of this proxy.
            incarnation: Incarnation of this process, as listed in the membership.
            process_started_us: When this process started.
        """
        self.ownership = OwnershipHistory(name, incarnation, process_started_us)
        self.counts = OwnedCounts(self.ownership)
        self._hand_over = HandOver(self.ownership, self.counts)

    @property
    def name(self) -> str:
        """This proxy's name."""
        return self.ownership.name

    @property
    def incarnation(self) -> str:
        """This process's incarnation."""
        return self.ownership.incarnation

    @property
    def fencing_token(self) -> int:
        """The fencing token of the newest membership; 0 before the first."""
        return self.ownership.fencing_token

    @property
    def proxies(self) -> ProxiesByName:
        """The live proxies of the newest membership, by name."""
        return self.ownership.proxies

    @property
    def eligible_owners(self) -> ProxiesByName:
        """The live proxies that own counts, by name."""
        return self.ownership.eligible_owners

    # ---- membership

    def update_members(self, now_us: int, update: MembershipUpdate) -> None:
        """Start the epoch of a newer membership; ignore one that is not newer."""
        ownership = self.ownership
        if update.fencing_token <= ownership.fencing_token:
            return
        if ownership.epochs and not ownership.follows(update):
            # Under a missed membership, another proxy may have owned a count that is stored here. If kept, it
            # would have refilled during a partition while that proxy granted the same units.
            self.counts.clear()
        ownership.advance(now_us, update)
        self._hand_over.on_new_epoch()

    def on_watch_reply(self, now_us: int, reply: WatchReply) -> ProxiesByName | None:
        """Apply a leader's reply and return the newer membership in it, or None."""
        proxies = reply.updated_proxies(self.ownership.fencing_token, self.ownership.proxies)
        if proxies is not None:
            self.update_members(now_us, MembershipUpdate.from_watch_reply(reply, proxies))
        return proxies

    def owner(self, tenant: str) -> str:
        """Return the owner of this tenant's count under the newest membership; empty if there is none."""
        return self.ownership.owner(tenant)

    def owns(self, tenant: str) -> bool:
        """Return whether this proxy owns this tenant's count under the newest membership."""
        return self.ownership.owns(tenant)

    # ---- hand-overs

    def predecessor(self, now_us: int, tenant: str) -> str:
        """Return the proxy that must hand over the count first; see `OwnershipHistory.predecessor`."""
        return self.ownership.predecessor(now_us, tenant)

    def on_hand_over_reply(
        self, now_us: int, request: HandOverRequest, reply: HandOverReply, predecessor: str
    ) -> None:
        """Process the reply of `predecessor` to this proxy's `request` under the newest membership."""
        self._hand_over.on_reply(now_us, request, reply, predecessor)

    def on_predecessor_terminated(self, now_us: int, request: HandOverRequest, predecessor: str) -> None:
        """Record that the process of `predecessor`, to which `request` was sent, has terminated."""
        self._hand_over.on_predecessor_terminated(now_us, request, predecessor)

    def answer_hand_over(self, now_us: int, request: HandOverRequest) -> HandOverReply:
        """Answer the new owner of a count; see `HandOver.answer`."""
        return self._hand_over.answer(now_us, request)

    # ---- requests of quota clients

    def add(self, now_us: int, request: QuotaRequest, lease_expires_us: int) -> QuotaReply:
        """Grant units of a count if this proxy is its exclusive owner, whatever the requester's membership.

        The requester uses its membership only to find the owner. Exclusive ownership depends on this proxy's
        own membership, its lease, and the hand-over. A request under another membership is therefore not
        rejected: otherwise a tenant whose owner stays the same would be rejected whenever other proxies join
        and leave and the membership changes several times a second.

        Args:
            now_us: The current time.
            request: The quota client's request.
            lease_expires_us: When this proxy's ownership lease under the newest membership expires.

        Returns:
            The units in use and the number of lessees; `is_accepted` is false if nothing was counted.
        """
        if not self._may_serve(now_us, request, lease_expires_us):
            return QuotaReply(False, 0.0, 1, self.ownership.fencing_token)
        count = self._count(now_us, request)
        count.set_limit(now_us, request.rate, request.burst)
        count.add(now_us, request)
        lessees = count.lessee_count()
        if now_us - count.first_request_us < LESSEE_EXPIRY_US:
            # The first lessee must leave units for the other proxies, which are about to lease as well.
            lessees = max(lessees, len(self.ownership.proxies))
        units_in_use = count.bucket.burst - count.bucket.level
        return QuotaReply(True, units_in_use, lessees, self.ownership.fencing_token)

    def _may_serve(self, now_us: int, request: QuotaRequest, lease_expires_us: int) -> bool:
        """Return whether the request is valid and this proxy is the exclusive owner of the count now."""
        is_valid = request.fencing_token and request.requester
        if not is_valid or now_us >= lease_expires_us:
            return False
        if self._hand_over.is_released(now_us, request.tenant) or not self.owns(request.tenant):
            return False
        return not self.predecessor(now_us, request.tenant)

    def _count(self, now_us: int, request: QuotaRequest) -> Count:
        """Return the tenant's count and mark it as the most recently used."""
        count = self.counts.by_tenant.pop(request.tenant, None)
        if count is None:
            count = self.counts.create(now_us, request, self.ownership.epochs)
            count.first_request_us = now_us
        self.counts.store(now_us, request.tenant, count)
        return count
