"""Hand-over of a count: the new owner requests it from the previous owner.

Pure. `HandOver.answer` is the previous owner's side; `on_reply` and `on_predecessor_terminated` are the new
owner's. See `epochs` for the states of a claim and their transitions. Once the previous owner has replied
with a count, it grants no more units of it. It gives the count to only one incarnation of the new owner.
"""

from collections.abc import Sequence

import msgspec

from lapisgrade.gateway.quota.count import Count
from lapisgrade.gateway.quota.epochs import ClaimState, OwnershipEpoch
from lapisgrade.gateway.quota.owned_counts import MAX_COUNTS, OwnedCounts
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US
from lapisgrade.gateway.quota.ownership_history import OwnershipHistory
from lapisgrade.gateway.rpc_messages import HandOverReply, HandOverRequest

WAIT = HandOverReply(True)  # the count cannot be handed over, and a proxy may still act as its owner
# This proxy does not act as the owner and has no count to hand over; an owner before it may still act.
NO_COUNT = HandOverReply(False)


class Release(msgspec.Struct, frozen=True):
    """A hand-over of a count to its owner under a membership that has not arrived here yet.

    Attributes:
        expires_us: Until then, this proxy grants no units of the count.
        fencing_token: Fencing token of that membership.
    """

    expires_us: int
    fencing_token: int


class HandOver:
    """Hand-overs of counts between one proxy and the others."""

    def __init__(self, ownership: OwnershipHistory, counts: OwnedCounts) -> None:
        self._ownership = ownership
        self._counts = counts
        self._departed_counts: dict[str, Count] = {}  # counts that other proxies own now, by tenant
        self._released: dict[str, Release] = {}  # by tenant
        self._recipients: dict[str, str] = {}  # incarnation of the new owner that received it, by tenant

    def on_new_epoch(self) -> None:
        """Keep the counts that other proxies own now, until their owners request them."""
        self._departed_counts = self._counts.remove_not_owned()
        # A count released under a still newer membership remains with its owner under that one.
        newest = self._ownership.fencing_token
        self._released = {
            tenant: each for tenant, each in self._released.items() if each.fencing_token > newest
        }
        self._recipients = {
            tenant: each for tenant, each in self._recipients.items() if tenant in self._released
        }

    # ---- the new owner's side

    def on_predecessor_terminated(self, now_us: int, request: HandOverRequest, predecessor: str) -> None:
        """Record that the predecessor's process, to which `request` was sent, has terminated."""
        self.on_reply(now_us, request, NO_COUNT, predecessor)

    def on_reply(self, now_us: int, request: HandOverRequest, reply: HandOverReply, predecessor: str) -> None:
        """Process the reply of `predecessor` to this proxy's request under the newest epoch."""
        ownership, tenant = self._ownership, request.tenant
        if reply.must_wait or not ownership.epochs or not ownership.owns(tenant):
            return
        newest = ownership.epochs[-1]
        if newest.claim(tenant) is ClaimState.EXCLUSIVE or tenant in self._counts.by_tenant:
            return  # duplicate reply
        if reply.count is not None:
            newest.mark_exclusive(tenant)
            self._counts.take_over(now_us, request, reply.count)
            return
        # The predecessor does not act and may never have had the count: an earlier owner may have it.
        ownership.mark_inactive(tenant, predecessor)
        if not ownership.acting_owner(now_us, tenant, ownership.epochs):
            newest.mark_exclusive(tenant)
            self._counts.take_over(now_us, request, None)

    # ---- the previous owner's side

    def is_released(self, now_us: int, tenant: str) -> bool:
        """Return whether the count was handed over under a membership that has not arrived here yet."""
        release = self._released.get(tenant)
        return release is not None and now_us < release.expires_us

    def answer(self, now_us: int, request: HandOverRequest) -> HandOverReply:
        """Hand over a count to its owner under an epoch at least as new as the newest here; others must wait.

        A repeated request of the same incarnation gets the count again, because the first reply may have been
        lost.
        """
        ownership = self._ownership
        if not ownership.epochs:
            return NO_COUNT  # this process has just started
        if request.fencing_token > ownership.fencing_token:
            return self._release(now_us, request)
        if request.fencing_token < ownership.fencing_token or ownership.owns(request.tenant):
            return WAIT
        return self._give_departed(now_us, request)

    def _release(self, now_us: int, request: HandOverRequest) -> HandOverReply:
        """Hand over a count owned here; the membership that names the requester has not arrived yet."""
        ownership, tenant = self._ownership, request.tenant
        if not ownership.owns(tenant) or ownership.acting_owner(now_us, tenant, ownership.epochs):
            return WAIT
        if len(self._released) >= MAX_COUNTS:
            return WAIT
        self._released[tenant] = Release(now_us + OWNERSHIP_LEASE_US, request.fencing_token)
        if tenant not in self._counts.by_tenant:
            self._counts.store(now_us, tenant, self._counts.create(now_us, request, ownership.epochs))
        return self._give_count(now_us, request, self._counts.by_tenant[tenant])

    def _give_departed(self, now_us: int, request: HandOverRequest) -> HandOverReply:
        """Hand over a count that the requester owns under the newest epoch, which both know."""
        newest, earlier = self._ownership.epochs[-1], self._ownership.epochs[:-1]
        if newest.continuity.has_gap:
            return WAIT
        if not earlier:
            return NO_COUNT  # the process that owned it has terminated
        if request.tenant not in self._departed_counts:
            refusal = self._refusal(now_us, request.tenant, earlier)
            if refusal is not None:
                return refusal
            self._departed_counts[request.tenant] = self._counts.create(now_us, request, earlier)
        return self._give_count(now_us, request, self._departed_counts[request.tenant])

    def _refusal(self, now_us: int, tenant: str, earlier: Sequence[OwnershipEpoch]) -> HandOverReply | None:
        """Return the reply if this proxy cannot create a count to hand over; None if it can."""
        ownership = self._ownership
        owned = ownership.epochs_until_last_owned(tenant, earlier)
        if (
            not owned
            or ownership.acting_owner(now_us, tenant, owned)
            or len(self._departed_counts) >= MAX_COUNTS
        ):
            return WAIT
        if len(owned) < len(earlier):
            return NO_COUNT  # another proxy has owned it since, and no other owner acts under these epochs
        return None

    def _give_count(self, now_us: int, request: HandOverRequest, count: Count) -> HandOverReply:
        """Hand the count over to the first incarnation of its owner only: it may have granted units of it."""
        if self._recipients.setdefault(request.tenant, request.incarnation) != request.incarnation:
            return NO_COUNT
        return HandOverReply(False, count.to_hand_over(now_us))
