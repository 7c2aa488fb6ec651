"""How a count changes hands: the new owner asks the one before for it.

Pure. `HandOver.answer` is the old owner's side, `on_reply` and `on_predecessor_terminated` are the new
owner's; `epochs` has the states of a claim and their transitions. The old owner grants no more units of a
count once it has answered with it, and gives it to one incarnation of the new owner alone.
"""

from collections.abc import Sequence

import msgspec

from lapisgrade.gateway.quota.count import Count
from lapisgrade.gateway.quota.epochs import ClaimState, OwnershipEpoch
from lapisgrade.gateway.quota.owned_counts import MAX_COUNTS, OwnedCounts
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US
from lapisgrade.gateway.quota.ownership_history import OwnershipHistory
from lapisgrade.gateway.rpc_messages import HandOverReply, HandOverRequest

WAIT = HandOverReply(True)  # the count can't be given, and somebody may still act for it
NO_COUNT = HandOverReply(False)  # this proxy does not act for the count, and has nothing to give


class Release(msgspec.Struct, frozen=True):
    """A count was handed over to its owner by a membership that is not known here yet."""

    expires_us: int  # nothing is granted of it here until then
    fencing_token: int  # of that membership


class HandOver:
    """Hand-overs of the counts of one proxy, to and from other proxies."""

    def __init__(self, ownership: OwnershipHistory, counts: OwnedCounts) -> None:
        self._ownership = ownership
        self._counts = counts
        self._departed_counts: dict[str, Count] = {}  # counts that others own under the newest epoch
        self._released: dict[str, Release] = {}  # by tenant
        self._recipients: dict[str, str] = {}  # tenants handed over, and to which incarnation of their owner

    def on_new_epoch(self) -> None:
        """Take over from the epoch before: counts that others own now wait to be handed over."""
        self._departed_counts = self._counts.remove_not_owned()
        # Handed over by a membership that is newer still: that one's owner goes on.
        newest = self._ownership.fencing_token
        self._released = {
            tenant: each for tenant, each in self._released.items() if each.fencing_token > newest
        }
        self._recipients = {
            tenant: each for tenant, each in self._recipients.items() if tenant in self._released
        }

    # ---- the new owner's side

    def on_predecessor_terminated(self, now_us: int, request: HandOverRequest, predecessor: str) -> None:
        """Note that the process of the owner before, to which `request` was sent, has ended."""
        self.on_reply(now_us, request, NO_COUNT, predecessor)

    def on_reply(self, now_us: int, request: HandOverRequest, reply: HandOverReply, predecessor: str) -> None:
        """Take in the answer of `predecessor` to this proxy's request under the newest epoch."""
        ownership, tenant = self._ownership, request.tenant
        if reply.must_wait or not ownership.epochs or not ownership.owns(tenant):
            return
        newest = ownership.epochs[-1]
        if newest.claim(tenant) is ClaimState.EXCLUSIVE or tenant in self._counts.by_tenant:
            return  # a repeated answer
        if reply.count is not None:
            newest.mark_exclusive(tenant)
            self._counts.take_over(now_us, request, reply.count)
            return
        # It does not act, and does not say that it ever had the count: the one before it may have it.
        ownership.mark_inactive(tenant, predecessor)
        if not ownership.acting_owner(now_us, tenant, ownership.epochs):
            newest.mark_exclusive(tenant)
            self._counts.take_over(now_us, request, None)

    # ---- the old owner's side

    def is_released(self, now_us: int, tenant: str) -> bool:
        """Return whether the count was handed over by a membership that is not known here yet."""
        release = self._released.get(tenant)
        return release is not None and now_us < release.expires_us

    def answer(self, now_us: int, request: HandOverRequest) -> HandOverReply:
        """Leave a count to its owner under an epoch that is as new as the newest here, or newer.

        One that asks again is answered the same again, as an answer may be lost.
        """
        ownership = self._ownership
        if not ownership.epochs:
            return NO_COUNT  # a process that has just started
        if request.fencing_token > ownership.fencing_token:
            return self._release(now_us, request)
        if request.fencing_token < ownership.fencing_token or ownership.owns(request.tenant):
            return WAIT
        return self._give_departed(now_us, request)

    def _release(self, now_us: int, request: HandOverRequest) -> HandOverReply:
        """Give a count that this proxy owns; the membership that names the asker is on its way here."""
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
        """Give a count that the asker owns under the newest epoch, which both know."""
        newest, earlier = self._ownership.epochs[-1], self._ownership.epochs[:-1]
        if newest.continuity.has_gap:
            return WAIT
        if not earlier:
            return NO_COUNT  # the process that owned it has ended
        if request.tenant not in self._departed_counts:
            refusal = self._refusal(now_us, request.tenant, earlier)
            if refusal is not None:
                return refusal
            self._departed_counts[request.tenant] = self._counts.create(now_us, request, earlier)
        return self._give_count(now_us, request, self._departed_counts[request.tenant])

    def _refusal(self, now_us: int, tenant: str, earlier: Sequence[OwnershipEpoch]) -> HandOverReply | None:
        """Return the reply where this proxy can't begin a count to give; None where it can."""
        ownership = self._ownership
        owned = ownership.epochs_until_last_owned(tenant, earlier)
        if (
            not owned
            or ownership.acting_owner(now_us, tenant, owned)
            or len(self._departed_counts) >= MAX_COUNTS
        ):
            return WAIT
        if len(owned) < len(earlier):
            return NO_COUNT  # somebody else has owned it since, and nobody acts by those epochs here
        return None

    def _give_count(self, now_us: int, request: HandOverRequest, count: Count) -> HandOverReply:
        """Give the count to the first incarnation of its owner that asks; it may have granted units of it."""
        if self._recipients.setdefault(request.tenant, request.incarnation) != request.incarnation:
            return NO_COUNT
        return HandOverReply(False, count.to_hand_over(now_us))
