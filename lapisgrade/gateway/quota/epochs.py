"""Under which memberships a proxy owns counts, and who owned them before.

Pure; times are microseconds of the proxy's clock. An ownership epoch is the time under one membership, from
when its update arrived here; its fencing token rises with each membership that the leader commits. A proxy
grants units of a count only under its own newest epoch, and only while nobody else can have been given a
newer one without it. Each epoch keeps, for each tenant that this proxy owns, how far its claim has come:

                  reply without a count, while an earlier owner may act
        CONTESTED ------------------------------------------------------> PREDECESSOR_INACTIVE
            |                                                                      |
            |  the count is handed over, or nobody else can act any more           |
            +------------------------------> EXCLUSIVE <---------------------------+

    state                 event                                            next state, and the count
    --------------------  -----------------------------------------------  -----------------------------------
    CONTESTED,            hand-over reply with a count                     EXCLUSIVE, the count continues
    PREDECESSOR_INACTIVE  reply without a count, or the predecessor's      EXCLUSIVE, the count begins anew
                          process ended; no earlier owner may act          and empty, from now on
                          the same; an earlier owner may act               PREDECESSOR_INACTIVE, no count yet
                          hand-over reply "wait"                           unchanged
                          OWNERSHIP_LEASE_US since the epoch began, or     EXCLUSIVE at the next request, the
                          no earlier owner is a member any more            count begins at `exclusive_since`
    EXCLUSIVE             any of these                                     unchanged
    any                   newer membership                                 CONTESTED, in the new epoch

Units are granted in EXCLUSIVE alone, so that no two proxies grant units of one count. What a new owner can't
learn of a count is lost, never made: such a count begins with nothing but the refill from then on.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import pairwise

from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US, OwnerTable, eligible_owners, owner_of
from lapisgrade.gateway.rpc_messages import ProxiesByName, WatchReply

MAX_EARLIER_EPOCHS = 16  # epochs kept beside the newest, to know since when a count is owned here
MAX_CLAIMS = 4096  # tenants whose claim an epoch remembers


class ClaimState(Enum):
    """How far this proxy's claim to a tenant's count has come, within an epoch."""

    CONTESTED = auto()  # the owner before this epoch may still grant units
    PREDECESSOR_INACTIVE = auto()  # that one has replied that it does not; an owner before it may
    EXCLUSIVE = auto()  # nobody else can grant units any more


class Continuity(Enum):
    """How an epoch connects to the one before it."""

    CONTINUOUS = auto()  # the epoch before is known here
    FIRST = auto()  # nothing is known of what was before
    BRIDGED_GAP = auto()  # memberships were missed here; the update says who owned counts under them
    GAP = auto()  # memberships were missed here, and nothing is known of them

    @property
    def is_predecessor_known(self) -> bool:
        """Whether the epoch before is in the history."""
        return self in (Continuity.CONTINUOUS, Continuity.BRIDGED_GAP)

    @property
    def has_gap(self) -> bool:
        """Whether this process was under an earlier epoch, and missed one since."""
        return self in (Continuity.BRIDGED_GAP, Continuity.GAP)


class Origin(Enum):
    """What the first membership that this process learned of says about earlier owners."""

    UNKNOWN = auto()
    PREVIOUS_INCARNATION = auto()  # it names an earlier process of this machine: that one has ended
    FIRST_MEMBERSHIP = auto()  # it is the first of the whole system: nobody has owned a count before


@dataclass(slots=True, frozen=True)
class MembershipUpdate:
    """A newer membership of live proxies, as the leader of the controllers sends it."""

    fencing_token: int
    proxies: ProxiesByName
    core: Sequence[str] = ()  # those of the proxies beside which a controller runs
    previous_token: int | None = None  # of the membership before; None for the one that came here last
    leaving: Sequence[str] = ()  # those of the proxies that are shutting down
    previous_owners: Sequence[str] = ()  # who owned counts under the membership before, if that is told
    # The same of the memberships before that one, the latest first, by which somebody may still act.
    earlier_owners: Sequence[Sequence[str]] = ()

    @classmethod
    def from_watch_reply(cls, reply: WatchReply, proxies: ProxiesByName) -> "MembershipUpdate":
        """Return the update in a leader's reply, whose membership is `proxies`."""
        return cls(
            reply.fencing_token,
            proxies,
            reply.proxies_with_controller,
            reply.previous_fencing_token,
            reply.terminating_proxies,
            reply.previous_owners,
            reply.earlier_owners,
        )


@dataclass(slots=True)
class OwnershipEpoch:
    """One membership of live proxies, since it arrived here."""

    began_us: int
    fencing_token: int
    members: frozenset[str]
    owners: tuple[str, ...]  # those of the members that own counts
    previous_owners: tuple[str, ...]  # the owners under the epoch before; empty where that is not known
    continuity: Continuity
    _exclusive: set[str] = field(default_factory=set)  # tenants
    _predecessor_inactive: set[str] = field(default_factory=set)  # tenants

    def claim(self, tenant: str) -> ClaimState:
        """Return how far this proxy's claim to the tenant's count has come."""
        if tenant in self._exclusive:
            return ClaimState.EXCLUSIVE
        if tenant in self._predecessor_inactive:
            return ClaimState.PREDECESSOR_INACTIVE
        return ClaimState.CONTESTED

    def mark_exclusive(self, tenant: str) -> None:
        """Nobody else can grant units of this tenant's count any more."""
        self._exclusive.add(tenant)

    def mark_predecessor_inactive(self, tenant: str) -> None:
        """The owner before this epoch does not act for this tenant."""
        if len(self._predecessor_inactive) < MAX_CLAIMS:
            self._predecessor_inactive.add(tenant)

    def drop_excess_claims(self) -> None:
        """Forget which claims are exclusive, where they are too many; each is found again when needed."""
        if len(self._exclusive) > MAX_CLAIMS:
            self._exclusive.clear()


class OwnershipHistory:
    """The newest epoch and those before it, as far back as they say who may act as an owner."""

    def __init__(self, name: str, incarnation: str, began_us: int) -> None:
        """Begin without a membership.

        Args:
            name: this proxy's.
            incarnation: of this process, as the membership names it.
            began_us: when this process began.
        """
        self.name = name
        self.incarnation = incarnation
        self.fencing_token = 0
        self.proxies: ProxiesByName = {}
        self.eligible_owners: ProxiesByName = {}
        self.epochs: list[OwnershipEpoch] = []  # the newest last
        self._began_us = began_us
        self._owner_table = OwnerTable()
        self.origin = Origin.UNKNOWN

    # ---- epochs

    def advance(self, now_us: int, update: MembershipUpdate) -> None:
        """Begin the epoch of a newer membership."""
        is_first = not self.epochs
        follows = self.follows(update)
        previous_owners = tuple(self.eligible_owners) if follows else tuple(update.previous_owners)
        if is_first:
            self.origin = self._origin_by(update)
        elif not follows:
            self.origin = Origin.UNKNOWN
        if not follows:
            self.epochs = _restore_epochs(now_us, previous_owners, update.earlier_owners)
        is_predecessor_known = follows or bool(self.epochs)
        self.fencing_token = update.fencing_token
        self.proxies = update.proxies
        self.eligible_owners = eligible_owners(update.proxies, update.core, update.leaving)
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
        return bool(self.epochs) and update.previous_token in (None, self.fencing_token)

    def _origin_by(self, update: MembershipUpdate) -> Origin:
        if self.name not in update.proxies:
            return Origin.UNKNOWN
        _, incarnation, _ = update.proxies[self.name]
        if self.incarnation and incarnation != self.incarnation:
            # A membership that names an earlier process of this machine may be the first, but that process
            # may have granted units.
            return Origin.PREVIOUS_INCARNATION
        return Origin.FIRST_MEMBERSHIP if update.previous_token == 0 else Origin.UNKNOWN

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

    def last_owned(self, tenant: str, epochs: Sequence[OwnershipEpoch]) -> list[OwnershipEpoch]:
        """Return `epochs` up to the last under which the count was this proxy's; none where it never was."""
        owned = list(epochs)
        while owned and owner_of(tenant, owned[-1].owners) != self.name:
            owned.pop()
        return owned

    def exclusive_since(
        self, tenant: str, epochs: Sequence[OwnershipEpoch], evicted_us: int | None
    ) -> int | None:
        """Return from when on nobody else can have granted units of this tenant's count.

        Where the first membership that was learned of still named an earlier process of this machine, that
        one owned the count and had ended when this process began: from then on its refill is nobody else's
        (guards the requests that come back after all processes were killed).

        Args:
            tenant: whose count.
            epochs: by which epochs; the last of them is one under which this proxy owns the count.
            evicted_us: when a count was last evicted here; None for never.

        Returns:
            A time in us; None where nobody ever has granted any.
        """
        not_before_us = -1 if evicted_us is None else evicted_us
        since_us = epochs[-1].began_us
        for epoch in reversed(epochs):
            if owner_of(tenant, epoch.owners) != self.name:
                return max(since_us, not_before_us)
            since_us = epoch.began_us
            previous = owner_of(tenant, epoch.previous_owners)
            if previous != self.name and previous in epoch.members:
                since_us += OWNERSHIP_LEASE_US  # it handed nothing over, and may have granted until then
        if len(epochs) <= MAX_EARLIER_EPOCHS:
            if self.origin is Origin.FIRST_MEMBERSHIP and evicted_us is None:
                return None
            if self.origin is Origin.PREVIOUS_INCARNATION:
                since_us = min(since_us, self._began_us)
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
