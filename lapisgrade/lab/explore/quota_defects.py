"""Wrong versions of the quota, each of which an exploration must find."""

import msgspec

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.quota import client, count, owned_counts
from lapisgrade.gateway.quota.count import Count
from lapisgrade.gateway.quota.epochs import MembershipUpdate, Origin
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.lab.explore.defects import Defect, Defects

FOREVER = 1 << 60  # us
_add, _update_members, _unreported_allowance = (
    QuotaOwner.add,
    QuotaOwner.update_members,
    client.unreported_allowance,
)


class Full(Count):
    """A count that begins anew is full, and keeps nothing back."""

    def __init__(self, exclusive_since_us: int, rate: float, burst: float) -> None:
        super().__init__(exclusive_since_us, rate, burst)
        self.bucket.level, self.exclusive_since_us = self.bucket.burst, exclusive_since_us - count.LEASE_US


def _any_fence(
    self: QuotaOwner, now_us: int, ask: rpc_messages.QuotaRequest, lease_expires_us: int
) -> rpc_messages.QuotaReply:
    """What was asked for under another list counts as well, and an owner that was cut off grants on."""
    return _add(self, now_us, msgspec.structs.replace(ask, fencing_token=self.fencing_token), FOREVER)


def _never_expires(
    self: QuotaOwner, now_us: int, ask: rpc_messages.QuotaRequest, lease_expires_us: int
) -> rpc_messages.QuotaReply:
    """An owner that was cut off grants on."""
    return _add(self, now_us, ask, FOREVER)


def _asks_nobody(
    self: QuotaOwner, now_us: int, ask: rpc_messages.QuotaRequest, lease_expires_us: int
) -> rpc_messages.QuotaReply:
    """A new owner waits for nobody's word."""
    if self.owns(ask.tenant) and self.predecessor(now_us, ask.tenant):
        empty = rpc_messages.HandedCount(0.0, 0.0, count.LEASE_US)
        wants = rpc_messages.HandOverRequest(ask.tenant, self.name, self.fencing_token, ask.rate, ask.burst)
        self.on_hand_over_reply(now_us, wants, rpc_messages.HandOverReply(False, empty), "")
    return _add(self, now_us, ask, lease_expires_us)


def _forgets_last_incarnation(self: QuotaOwner, now_us: int, update: MembershipUpdate) -> None:
    """A process that is started anew under the first membership begins its counts full once more."""
    _update_members(self, now_us, update)
    if not self.ownership.epochs[0].previous_owners:
        self.ownership.origin = Origin.FIRST_MEMBERSHIP


def _forgets_leases(self: Count, now_us: int, ask: rpc_messages.QuotaRequest) -> None:
    """What is leased and may not be spent yet takes no room."""
    self.bucket.set_level(now_us, self.bucket.read(now_us) - ask.units + ask.returned_units)


# Seeds of `explore.quota`, from 0 on, among which each is found; "never-expires" is found by `data_plane`.
FOUND_WITHIN = {
    "starts-full": 8,
    "any-fence": 8,
    "undivided": 8,
    "asks-nobody": 16,
    "forgets-last-life": 64,
    "forgets-leases": 32,
}
DEFECTS: Defects = {
    "starts-full": Defect(owned_counts, "Count", Full),
    "any-fence": Defect(QuotaOwner, "add", _any_fence),
    "undivided": Defect(
        client,
        "unreported_allowance",
        lambda slo, rate, burst, limiters: _unreported_allowance(slo, rate, burst, 1),
    ),
    "asks-nobody": Defect(QuotaOwner, "add", _asks_nobody),
    "forgets-last-life": Defect(QuotaOwner, "update_members", _forgets_last_incarnation),
    "forgets-leases": Defect(Count, "add", _forgets_leases),
    "never-expires": Defect(QuotaOwner, "add", _never_expires),
}
