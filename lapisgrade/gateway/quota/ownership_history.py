"""The ownership epochs of one proxy: which proxies own a count or may still act as its owner, and since when.

Pure; times are microseconds of the proxy's clock. See `epochs` for the protocol and the states of a claim.
"""

from collections.abc import Iterable, Sequence
from itertools import pairwise

from lapisgrade.gateway.quota.epochs import ClaimState, Continuity, MembershipUpdate, Origin, OwnershipEpoch
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US, OwnerTable, eligible_owners, owner_of
from lapisgrade.gateway.rpc_messages import ProxiesByName

# Maximum number of epochs kept besides the newest, to find since when this proxy owns a count.
MAX_EARLIER_EPOCHS = 16


class OwnershipHistory:
    """The newest epoch and the earlier ones that determine which proxies may still act as owners.

    Attributes:
        name: Name of this proxy.
        incarnation: Incarnation of this process.
        fencing_token: Fencing token of the newest membership; 0 before the first.
        proxies: Live proxies of the newest membership, by name.
        eligible_owners: Those of them that may own counts.
        epochs: The epochs, oldest first; empty before the first membership.
        origin: What the first membership here implies about earlier owners; UNKNOWN again after a gap.
    """

    def __init__(self, name: str, incarnation: str, process_started_us: int) -> None:
        """Create a history without a membership.

        Args:
            name: Name of this proxy.
            incarnation: Incarnation of this process, as listed in the membership.
            process_started_us: When this process started.
        """
        self.name = name
        self.incarnation = incarnation
        self.fencing_token = 0
        self.proxies: ProxiesByName = {}
        self.eligible_owners: ProxiesByName = {}
        self.epochs: list[OwnershipEpoch] = []
        self._process_started_us = process_started_us
        self._owner_table = OwnerTable()
        self.origin = Origin.UNKNOWN

    # ---- epochs

    def advance(self, now_us: int, update: MembershipUpdate) -> None:
        """Start the epoch of a newer membership.

        If memberships before it did not arrive here, the epochs that the update lists replace the history.
        """
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
        """Return whether the newest membership here is the one before the update's."""
        return bool(self.epochs) and update.previous_fencing_token in (None, self.fencing_token)

    def _determine_origin(self, update: MembershipUpdate) -> Origin:
        """Return what the first update that arrives here implies about earlier owners."""
        if self.name not in update.proxies:
            return Origin.UNKNOWN
        _, incarnation, _ = update.proxies[self.name]
        if self.incarnation and incarnation != self.incarnation:
            # Even if this is the cluster's first membership, the earlier process of this machine that it
            # lists may have granted units.
            return Origin.PREVIOUS_INCARNATION
        return Origin.FIRST_MEMBERSHIP if update.previous_fencing_token == 0 else Origin.UNKNOWN

    # ---- owners

    def owner(self, tenant: str) -> str:
        """Return the owner of this tenant's count under the newest epoch; empty if there is none."""
        return self._owner_table.owner(tenant)

    def owns(self, tenant: str) -> bool:
        """Return whether this proxy owns this tenant's count under the newest epoch."""
        return self._owner_table.owner(tenant) == self.name

    def predecessor(self, now_us: int, tenant: str) -> str:
        """Return the proxy that must hand over this tenant's count before this proxy grants units.

        Returns:
            A proxy's name; empty if no other proxy can act as owner; this proxy's own name if that is unknown
            and it must wait for OWNERSHIP_LEASE_US to pass.
        """
        acting = self.acting_owner(now_us, tenant, self.epochs)
        if not acting and self.epochs:
            newest = self.epochs[-1]
            newest.drop_excess_claims()
            newest.mark_exclusive(tenant)
        return acting

    def acting_owner(self, now_us: int, tenant: str, epochs: Sequence[OwnershipEpoch]) -> str:
        """Return the proxy that may still act as owner under an epoch before the newest of `epochs`.

        The result has the values of `predecessor`.

        An owner that is missing from the newest membership has terminated, possibly before the count was
        handed over to it. The owner before it is therefore checked as well: that one may not have received
        the newer memberships and may still grant units.
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
        """Record that `owner` does not act for this tenant, in each epoch that it was the predecessor of."""
        for epoch in self.epochs:
            if owner_of(tenant, epoch.previous_owners) == owner:
                epoch.mark_predecessor_inactive(tenant)

    def epochs_until_last_owned(self, tenant: str, epochs: Sequence[OwnershipEpoch]) -> list[OwnershipEpoch]:
        """Return `epochs` up to the last one under which this proxy owned the count; empty without one."""
        owned = list(epochs)
        while owned and owner_of(tenant, owned[-1].owners) != self.name:
            owned.pop()
        return owned

    def exclusive_since(
        self, tenant: str, epochs: Sequence[OwnershipEpoch], last_eviction_us: int | None
    ) -> int | None:
        """Return the time since which no other proxy can have granted units of this tenant's count.

        If the first membership that arrived here still listed an earlier process of this machine, that one
        owned the count and had terminated when this process started. No other proxy has granted units since
        then, so the refill since this process started is available here. This serves clients at once when
        they return after all processes were killed.

        Args:
            tenant: Name of the tenant.
            epochs: The epochs to consider; this proxy owns the count under the last of them.
            last_eviction_us: When a count was last evicted here; None for never.

        Returns:
            A time in us; None if no proxy has ever granted units of this count.
        """
        not_before_us = -1 if last_eviction_us is None else last_eviction_us
        since_us = epochs[-1].began_us
        for epoch in reversed(epochs):
            if owner_of(tenant, epoch.owners) != self.name:
                return max(since_us, not_before_us)
            since_us = epoch.began_us
            previous = owner_of(tenant, epoch.previous_owners)
            if previous != self.name and previous in epoch.members:
                since_us += OWNERSHIP_LEASE_US  # it handed nothing over and may have granted units until then
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
    """Return the earlier epochs whose memberships did not arrive here, as if they had arrived now.

    Each owner under one of them is then asked for the count, or its lease is waited out. Otherwise a
    restarted process would not ask an owner that precedes its own last incarnation and does not know yet that
    it has been replaced.
    """
    owners_by_epoch = [previous_owners, *map(tuple, earlier_owners)]
    epochs = [
        OwnershipEpoch(now_us, 0, frozenset(owners), owners, before, Continuity.CONTINUOUS)
        for owners, before in pairwise(owners_by_epoch)
    ]
    if epochs:
        epochs[-1].continuity = Continuity.FIRST
    return epochs[::-1]
