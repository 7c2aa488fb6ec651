"""The owner's side of tenants' quotas at a proxy: serving calls for the counts that it owns.

Pure: driven by the proxy's shell with messages and the time, in microseconds. `update_members` or
`on_watch_reply` bring a newer membership, `add` serves a quota client's call; `answer_hand_over`,
`on_hand_over_reply` and `on_predecessor_terminated` are the two sides of a count that changes hands.
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
    """All counts that this proxy owns, under the newest membership of live proxies."""

    def __init__(self, name: str, incarnation: str = "", process_started_us: int = 0) -> None:
        """Begin without a membership; `incarnation` identifies this process."""
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
        """The newest membership's fencing token; 0 before the first."""
        return self.ownership.fencing_token

    @property
    def proxies(self) -> ProxiesByName:
        """The live proxies of the newest membership, by name."""
        return self.ownership.proxies

    @property
    def eligible_owners(self) -> ProxiesByName:
        """Those of the live proxies that own counts."""
        return self.ownership.eligible_owners

    # ---- membership

    def update_members(self, now_us: int, update: MembershipUpdate) -> None:
        """Begin the epoch of a newer membership; one that is not newer is ignored."""
        ownership = self.ownership
        if update.fencing_token <= ownership.fencing_token:
            return
        if ownership.epochs and not ownership.follows(update):
            # Under a membership that did not arrive here others may have owned what was owned here before
            # (guards against one that was cut off and grants what its count has filled up with meanwhile).
            self.counts.clear()
        ownership.advance(now_us, update)
        self._hand_over.on_new_epoch()

    def on_watch_reply(self, now_us: int, reply: WatchReply) -> ProxiesByName | None:
        """Take in a leader's reply; the newer membership in it, None without one."""
        proxies = reply.updated_proxies(self.ownership.fencing_token, self.ownership.proxies)
        if proxies is not None:
            self.update_members(now_us, MembershipUpdate.from_watch_reply(reply, proxies))
        return proxies

    def owner(self, tenant: str) -> str:
        """Return who owns this tenant's count under the newest membership; empty where nobody does."""
        return self.ownership.owner(tenant)

    def owns(self, tenant: str) -> bool:
        """Return whether this proxy owns this tenant's count under the newest membership."""
        return self.ownership.owns(tenant)

    # ---- counts that change hands

    def predecessor(self, now_us: int, tenant: str) -> str:
        """Return who has to hand this tenant's count over first; see `OwnershipHistory.predecessor`."""
        return self.ownership.predecessor(now_us, tenant)

    def on_hand_over_reply(
        self, now_us: int, request: HandOverRequest, reply: HandOverReply, predecessor: str
    ) -> None:
        """Take in the answer of `predecessor` to this proxy's `request` under the newest membership."""
        self._hand_over.on_reply(now_us, request, reply, predecessor)

    def on_predecessor_terminated(self, now_us: int, request: HandOverRequest, predecessor: str) -> None:
        """Note that the process of `predecessor`, to which `request` was sent, has ended."""
        self._hand_over.on_predecessor_terminated(now_us, request, predecessor)

    def answer_hand_over(self, now_us: int, request: HandOverRequest) -> HandOverReply:
        """Answer the new owner of a count; see `HandOver.answer`."""
        return self._hand_over.answer(now_us, request)

    # ---- serving calls

    def add(self, now_us: int, request: QuotaRequest, acts_until_us: int) -> QuotaReply:
        """Add to a count, where nobody else can: the caller may have an earlier or a later membership.

        Its membership only says where it looks for the owner. That nobody else adds meanwhile rests on the
        membership that this proxy has itself, on its lease, and on the hand-over (guards tenants whose owner
        stays, while others come and go and the membership changes several times a second).

        Args:
            now_us: the time.
            request: the quota client's call.
            acts_until_us: when this proxy's lease on the newest membership ends.

        Returns:
            The units taken of the count and how many clients lease of it; `held` is false where nothing was
            added.
        """
        if not self._may_serve(now_us, request, acts_until_us):
            return QuotaReply(False, 0.0, 1, self.ownership.fencing_token)
        count = self._count(now_us, request)
        count.set_limit(now_us, request.rate, request.burst)
        count.add(now_us, request)
        lessees = count.lessee_count()
        if now_us - count.first_request_us < LESSEE_EXPIRY_US:
            # Who leases first must not take what all the others are about to ask for.
            lessees = max(lessees, len(self.ownership.proxies))
        taken = count.bucket.burst - count.bucket.level
        return QuotaReply(True, taken, lessees, self.ownership.fencing_token)

    def _may_serve(self, now_us: int, request: QuotaRequest, acts_until_us: int) -> bool:
        is_valid = request.fencing_token and request.requester
        if not is_valid or now_us >= acts_until_us:
            return False
        if self._hand_over.is_released(now_us, request.tenant) or not self.owns(request.tenant):
            return False
        return not self.predecessor(now_us, request.tenant)

    def _count(self, now_us: int, request: QuotaRequest) -> Count:
        """Return the tenant's count, as the one used last."""
        count = self.counts.by_tenant.pop(request.tenant, None)
        if count is None:
            count = self.counts.create(now_us, request, self.ownership.epochs)
            count.first_request_us = now_us
        self.counts.store(now_us, request.tenant, count)
        return count
