"""The ownership epochs of one proxy: who owns a count, who may still act as its owner, and since when.

Pure; times are microseconds of the proxy's clock. `epochs` has the idea and the states of a claim.
"""

from collections.abc import Iterable, Sequence
from itertools import pairwise

from lapisgrade.gateway.quota.epochs import ClaimState, Continuity, MembershipUpdate, Origin, OwnershipEpoch
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US, OwnerTable, eligible_owners, owner_of
from lapisgrade.gateway.rpc_messages import ProxiesByName

MAX_EARLIER_EPOCHS = 16  # epochs kept beside the newest, to know since when a count is owned here


class OwnershipHistory:
    """The newest epoch and those before it, as far back as they say who may act as an owner."""

    def __init__(self, name: str, incarnation: str, process_started_us: int) -> None:
        """Begin without a membership.

        Args:
            name: this proxy's.
            incarnation: of this process, as the membership names it.
            process_started_us: when this process began.
        """
        self.name = name
        self.incarnation = incarnation
        self.fencing_token = 0
        self.proxies: ProxiesByName = {}
        self.eligible_owners: ProxiesByName = {}
        self.epochs: list[OwnershipEpoch] = []  # the newest last
        self._process_started_us = process_started_us
        self._owner_table = OwnerTable()
        self.origin = Origin.UNKNOWN

    # ---- epochs

    def advance(self, now_us: int, update: MembershipUpdate) -> None:
        """Begin the epoch of a newer membership."""
        is_first = not self.epochs
        follows = self.follows(update)
        previous_owners = tuple(self.eligible_owners) if follows else tuple(update.previous_owners)
        if is_first:
            self.origin = self._determine_origin(update)
        elif not follows:
            self.origin = Origin.UNKNOWN
        if not follows:
            self.epochs = _restore_epochs(now_us, previous_owners, update.earlier_owners)
        is_predecessor_known = follows or bool(self.epochs)
        self.fencing_token = update.fencing_token
        self.proxies = update.proxies
        self.eligible_owners = eligible_owners(
            update.proxies, update.proxies_with_controller, update.terminating_proxies
        )
        self._owner_table.update(self.eligible_owners)
        epoch = OwnershipEpoch(
            now_us,
            update.fencing_token,
            frozenset(update.proxies),
            tuple(self.eligible_owners),
            previous_owners,
            _continuity(is_predecessor_known, has_gap=not is_first and not follows),
        )
        self.epochs = [*self.epochs[-MAX_EARLIER_EPOCHS:], epoch]

    def follows(self, update: MembershipUpdate) -> bool:
        """Return whether the membership before that one is the newest here."""
        return bool(self.epochs) and update.previous_fencing_token in (None, self.fencing_token)

    def _determine_origin(self, update: MembershipUpdate) -> Origin:
        if self.name not in update.proxies:
            return Origin.UNKNOWN
        _, incarnation, _ = update.proxies[self.name]
        if self.incarnation and incarnation != self.incarnation:
            # A membership that names an earlier process of this machine may be the first, but that process
            # may have granted units.
            return Origin.PREVIOUS_INCARNATION
        return Origin.FIRST_MEMBERSHIP if update.previous_fencing_token == 0 else Origin.UNKNOWN

    # ---- who owns a count

    def owner(self, tenant: str) -> str:
        """Return who owns this tenant's count under the newest epoch; empty where nobody does."""
        return self._owner_table.owner(tenant)

    def owns(self, tenant: str) -> bool:
        """Return whether this proxy owns this tenant's count under the newest epoch."""
        return self._owner_table.owner(tenant) == self.name

    def predecessor(self, now_us: int, tenant: str) -> str:
        """Return who has to hand this tenant's count over first.

        Returns:
            A proxy's name; empty where nobody else can act any more, and this proxy's own name where only
            time can tell.
        """
        acting = self.acting_owner(now_us, tenant, self.epochs)
        if not acting and self.epochs:
            newest = self.epochs[-1]
            newest.drop_excess_claims()
            newest.mark_exclusive(tenant)
        return acting

    def acting_owner(self, now_us: int, tenant: str, epochs: Sequence[OwnershipEpoch]) -> str:
        """Return who else may still act as the owner under an epoch before the newest of `epochs`.

        An owner that the newest membership of all does not name has ended, maybe before it was handed the
        count: so who owned it before that one is looked at too (guards against one that does not know of any
        of this, and adds on).
        """
        for epoch in reversed(epochs):
            claim = epoch.claim(tenant)
            if claim is ClaimState.EXCLUSIVE or now_us - epoch.began_us >= OWNERSHIP_LEASE_US:
                return ""
            previous = owner_of(tenant, epoch.previous_owners)
            may_act = previous != self.name and previous in self.proxies
            if may_act and claim is ClaimState.CONTESTED:
                return previous
            if not epoch.continuity.is_predecessor_known:
                return self.name if epoch.continuity.has_gap and previous == self.name else ""
        return ""

    def mark_inactive(self, tenant: str, owner: str) -> None:
        """Note, in each epoch before which `owner` had this tenant's count, that it does not act for it."""
        for epoch in self.epochs:
            if owner_of(tenant, epoch.previous_owners) == owner:
                epoch.mark_predecessor_inactive(tenant)

    def epochs_until_last_owned(self, tenant: str, epochs: Sequence[OwnershipEpoch]) -> list[OwnershipEpoch]:
        """Return `epochs` up to the last under which the count was this proxy's; none where it never was."""
        owned = list(epochs)
        while owned and owner_of(tenant, owned[-1].owners) != self.name:
            owned.pop()
        return owned

    def exclusive_since(
        self, tenant: str, epochs: Sequence[OwnershipEpoch], last_eviction_us: int | None
    ) -> int | None:
        """Return from when on nobody else can have granted units of this tenant's count.

        Where the first membership that was learned of still named an earlier process of this machine, that
        one owned the count and had ended when this process began: from then on its refill is nobody else's
        (guards the requests that come back after all processes were killed).

        Args:
            tenant: whose count.
            epochs: by which epochs; the last of them is one under which this proxy owns the count.
            last_eviction_us: when a count was last evicted here; None for never.

        Returns:
            A time in us; None where nobody ever has granted any.
        """
        not_before_us = -1 if last_eviction_us is None else last_eviction_us
        since_us = epochs[-1].began_us
        for epoch in reversed(epochs):
            if owner_of(tenant, epoch.owners) != self.name:
                return max(since_us, not_before_us)
            since_us = epoch.began_us
            previous = owner_of(tenant, epoch.previous_owners)
            if previous != self.name and previous in epoch.members:
                since_us += OWNERSHIP_LEASE_US  # it handed nothing over, and may have granted until then
        if len(epochs) <= MAX_EARLIER_EPOCHS:
            if self.origin is Origin.FIRST_MEMBERSHIP and last_eviction_us is None:
                return None
            if self.origin is Origin.PREVIOUS_INCARNATION:
                since_us = min(since_us, self._process_started_us)
        return max(since_us, not_before_us)


def _continuity(is_predecessor_known: bool, has_gap: bool) -> Continuity:
    if has_gap:
        return Continuity.BRIDGED_GAP if is_predecessor_known else Continuity.GAP
    return Continuity.CONTINUOUS if is_predecessor_known else Continuity.FIRST


def _restore_epochs(
    now_us: int, previous_owners: tuple[str, ...], earlier_owners: Iterable[Iterable[str]]
) -> list[OwnershipEpoch]:
    """Return the epochs before, whose memberships did not arrive here, as if they had arrived just now.

    So whoever owned a count under one of them is asked, or its lease waited for (guards a process that starts
    anew between an owner that does not know yet that it is none any more, and its own last incarnation).
    """
    owners_by_epoch = [previous_owners, *map(tuple, earlier_owners)]
    epochs = [
        OwnershipEpoch(now_us, 0, frozenset(owners), owners, before, Continuity.CONTINUOUS)
        for owners, before in pairwise(owners_by_epoch)
    ]
    if epochs:
        epochs[-1].continuity = Continuity.FIRST
    return epochs[::-1]
