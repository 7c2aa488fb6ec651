"""Ownership epochs: under which memberships a proxy owns counts, and the states of its claims to them.

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
learn of a count is lost, never made: such a count begins with nothing but the refill from then on. The
transitions are made by `ownership_history` (a request, a newer membership) and `hand_over` (replies).
"""

from collections.abc import Sequence
from enum import Enum, auto

import msgspec

from lapisgrade.gateway.rpc_messages import ProxiesByName, WatchReply

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


class MembershipUpdate(msgspec.Struct, frozen=True):
    """A newer membership of live proxies, as the leader of the controllers sends it."""

    fencing_token: int
    proxies: ProxiesByName
    proxies_with_controller: Sequence[str] = ()  # those of the proxies beside which a controller runs
    previous_fencing_token: int | None = (
        None  # of the membership before; None for the one that came here last
    )
    terminating_proxies: Sequence[str] = ()  # those of the proxies that are shutting down
    previous_owners: Sequence[str] = ()  # who owned counts under the membership before, if it is sent
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


class OwnershipEpoch(msgspec.Struct):
    """One membership of live proxies, since it arrived here."""

    began_us: int
    fencing_token: int
    members: frozenset[str]
    owners: tuple[str, ...]  # those of the members that own counts
    previous_owners: tuple[str, ...]  # the owners under the epoch before; empty where that is not known
    continuity: Continuity
    _exclusive: set[str] = msgspec.field(default_factory=set)  # tenants
    _predecessor_inactive: set[str] = msgspec.field(default_factory=set)  # tenants

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
