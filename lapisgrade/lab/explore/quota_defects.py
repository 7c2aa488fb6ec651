"""Known defects of the quota, each of which an exploration must find."""

import msgspec

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.quota import client, count, owned_counts
from lapisgrade.gateway.quota.count import Count
from lapisgrade.gateway.quota.epochs import MembershipUpdate, Origin
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.lab.explore.defects import Defect, Defects

NEVER_US = 1 << 60  # end of a lease that never expires
_add, _update_members, _unreported_allowance = (
    QuotaOwner.add,
    QuotaOwner.update_members,
    client.unreported_allowance,
)


class InitiallyFullCount(Count):
    """A new count starts with its full burst, and reserves nothing for earlier grants."""

    def __init__(self, exclusive_since_us: int, rate: float, burst: float) -> None:
        super().__init__(exclusive_since_us, rate, burst)
        self.bucket.level, self.exclusive_since_us = self.bucket.burst, exclusive_since_us - count.LEASE_US


def _add_with_any_fencing_token(
    self: QuotaOwner, now_us: int, request: rpc_messages.QuotaRequest, lease_expires_us: int
) -> rpc_messages.QuotaReply:
    """An owner accepts requests with any fencing token, and its lease never expires."""
    return _add(self, now_us, msgspec.structs.replace(request, fencing_token=self.fencing_token), NEVER_US)


def _add_with_expired_lease(
    self: QuotaOwner, now_us: int, request: rpc_messages.QuotaRequest, lease_expires_us: int
) -> rpc_messages.QuotaReply:
    """An isolated owner continues to grant: its lease never expires."""
    return _add(self, now_us, request, NEVER_US)


def _add_without_hand_over(
    self: QuotaOwner, now_us: int, request: rpc_messages.QuotaRequest, lease_expires_us: int
) -> rpc_messages.QuotaReply:
    """A new owner doesn't wait for the previous owner's hand-over."""
    if self.owns(request.tenant) and self.predecessor(now_us, request.tenant):
        empty = rpc_messages.HandedCount(0.0, 0.0, count.LEASE_US)
        hand_over = rpc_messages.HandOverRequest(
            request.tenant, self.name, self.fencing_token, request.rate, request.burst
        )
        self.on_hand_over_reply(now_us, hand_over, rpc_messages.HandOverReply(False, empty), "")
    return _add(self, now_us, request, lease_expires_us)


def _update_members_forgetting_incarnation(self: QuotaOwner, now_us: int, update: MembershipUpdate) -> None:
    """A process that restarts under the first membership starts its counts with their full burst."""
    _update_members(self, now_us, update)
    if not self.ownership.epochs[0].previous_owners:
        self.ownership.origin = Origin.FIRST_MEMBERSHIP


def _add_without_reserving_leases(self: Count, now_us: int, request: rpc_messages.QuotaRequest) -> None:
    """Leased units that are not spent yet don't count against the bucket."""
    self.bucket.set_level(now_us, self.bucket.read(now_us) - request.units + request.returned_units)


# Number of seeds of `explore.quota`, from 0, that find each defect. `data_plane` finds "never-expires".
SEEDS_TO_FIND = {
    "starts-full": 8,
    "any-fence": 8,
    "undivided": 8,
    "asks-nobody": 16,
    "forgets-last-life": 64,
    "forgets-leases": 32,
}
DEFECTS: Defects = {
    "starts-full": Defect(owned_counts, "Count", InitiallyFullCount),
    "any-fence": Defect(QuotaOwner, "add", _add_with_any_fencing_token),
    "undivided": Defect(
        client,
        "unreported_allowance",
        lambda slo, rate, burst, limiters: _unreported_allowance(slo, rate, burst, 1),
    ),
    "asks-nobody": Defect(QuotaOwner, "add", _add_without_hand_over),
    "forgets-last-life": Defect(QuotaOwner, "update_members", _update_members_forgetting_incarnation),
    "forgets-leases": Defect(Count, "add", _add_without_reserving_leases),
    "never-expires": Defect(QuotaOwner, "add", _add_with_expired_lease),
}
