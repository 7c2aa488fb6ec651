"""Ownership epochs: the memberships under which a proxy owns counts, and the states of its claims to them.

Pure; times are microseconds of the proxy's clock. An ownership epoch is the period under one membership,
starting when this proxy receives its update. The fencing token increases with each membership that the leader
commits. A proxy grants units of a count only under its own newest epoch, and only while its ownership lease
rules out that another proxy acts under a newer membership. Each epoch stores the state of this proxy's claim
to each tenant's count:

                  reply without a count while an earlier owner may act
        CONTESTED ------------------------------------------------------> PREDECESSOR_INACTIVE
            |                                                                      |
            |  count handed over, or no other proxy can act as owner               |
            +------------------------------> EXCLUSIVE <---------------------------+

    state                 event                                            next state and count
    --------------------  -----------------------------------------------  -----------------------------------
    CONTESTED,            hand-over reply with a count                     EXCLUSIVE, count continues
    PREDECESSOR_INACTIVE  reply without a count, or predecessor process    EXCLUSIVE, new empty count that
                          terminated; no earlier owner may act             starts now
                          same event, but an earlier owner may act         PREDECESSOR_INACTIVE, no count yet
                          hand-over reply "wait"                           unchanged
                          OWNERSHIP_LEASE_US since the epoch began, or     EXCLUSIVE at the next request, new
                          no earlier owner is still a member               count starts at `exclusive_since`
    EXCLUSIVE             any of these                                     unchanged
    any                   newer membership                                 CONTESTED, in the new epoch

Units are granted in EXCLUSIVE only, so two proxies never grant units of the same count. If a new owner cannot
recover the state of a count, units are lost but never duplicated: the new count starts empty and only has the
refill from then on. The transitions are made by `ownership_history` (requests and newer memberships) and
`hand_over` (replies).
"""

from collections.abc import Sequence
from enum import Enum, auto

import msgspec

from lapisgrade.gateway.rpc_messages import ProxiesByName, WatchReply

MAX_CLAIMS = 4096  # maximum number of tenants per claim state that an epoch stores


class ClaimState(Enum):
    """State of this proxy's claim to a tenant's count within an epoch."""

    CONTESTED = auto()  # the owner under the previous epoch may still grant units
    PREDECESSOR_INACTIVE = auto()  # that owner does not act any more; an earlier owner may
    EXCLUSIVE = auto()  # no other proxy can grant units


class Continuity(Enum):
    """How an epoch connects to the previous one."""

    CONTINUOUS = auto()  # the previous epoch is known
    FIRST = auto()  # no earlier epoch is known
    BRIDGED_GAP = auto()  # this proxy missed memberships; the update lists their owners
    GAP = auto()  # this proxy missed memberships, and their owners are unknown

    @property
    def is_predecessor_known(self) -> bool:
        """Whether the previous epoch is in the history."""
        return self in (Continuity.CONTINUOUS, Continuity.BRIDGED_GAP)

    @property
    def has_gap(self) -> bool:
        """Whether this process had an earlier epoch and missed memberships since."""
        return self in (Continuity.BRIDGED_GAP, Continuity.GAP)


class Origin(Enum):
    """What the first membership that this process received implies about earlier owners."""

    UNKNOWN = auto()
    PREVIOUS_INCARNATION = auto()  # it names an earlier process of this machine, which has terminated
    FIRST_MEMBERSHIP = auto()  # it is the first membership of the cluster: no count has had an owner


class MembershipUpdate(msgspec.Struct, frozen=True):
    """A newer membership of live proxies, as the leader of the controllers sends it.

    Attributes:
        fencing_token: Fencing token of this membership.
        proxies: The live proxies by name.
        proxies_with_controller: The proxies that share their machine with a controller.
        previous_fencing_token: Fencing token of the previous membership; None if that is the newest one that
            arrived here.
        terminating_proxies: The proxies that are shutting down.
        previous_owners: The eligible owners under the previous membership, if sent.
        earlier_owners: The eligible owners under each membership before that, newest first, as far back as
            a proxy may still act under one.
    """

    fencing_token: int
    proxies: ProxiesByName
    proxies_with_controller: Sequence[str] = ()
    previous_fencing_token: int | None = None
    terminating_proxies: Sequence[str] = ()
    previous_owners: Sequence[str] = ()
    earlier_owners: Sequence[Sequence[str]] = ()

    @classmethod
    def from_watch_reply(cls, reply: WatchReply, proxies: ProxiesByName) -> "MembershipUpdate":
        """Return the update in a leader's reply that has the membership `proxies`."""
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
    """The period under one membership of live proxies.

    Attributes:
        began_us: When the membership arrived here.
        fencing_token: Fencing token of the membership.
        members: Names of the live proxies.
        owners: The members that own counts.
        previous_owners: The owners under the previous epoch; empty if unknown.
        continuity: How this epoch connects to the previous one.
    """

    began_us: int
    fencing_token: int
    members: frozenset[str]
    owners: tuple[str, ...]
    previous_owners: tuple[str, ...]
    continuity: Continuity
    _exclusive: set[str] = msgspec.field(default_factory=set)  # tenants whose claim is EXCLUSIVE
    # Tenants whose claim is PREDECESSOR_INACTIVE, unless it is EXCLUSIVE as well.
    _predecessor_inactive: set[str] = msgspec.field(default_factory=set)

    def claim(self, tenant: str) -> ClaimState:
        """Return the state of this proxy's claim to the tenant's count."""
        if tenant in self._exclusive:
            return ClaimState.EXCLUSIVE
        if tenant in self._predecessor_inactive:
            return ClaimState.PREDECESSOR_INACTIVE
        return ClaimState.CONTESTED

    def mark_exclusive(self, tenant: str) -> None:
        """Record that no other proxy can grant units of this tenant's count."""
        self._exclusive.add(tenant)

    def mark_predecessor_inactive(self, tenant: str) -> None:
        """Record that the owner under the previous epoch does not act for this tenant.

        If `MAX_CLAIMS` tenants are recorded already, the claim stays CONTESTED.
        """
        if len(self._predecessor_inactive) < MAX_CLAIMS:
            self._predecessor_inactive.add(tenant)

    def drop_excess_claims(self) -> None:
        """Drop all exclusive claims if there are too many; each is computed again when needed."""
        if len(self._exclusive) > MAX_CLAIMS:
            self._exclusive.clear()
