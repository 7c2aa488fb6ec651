"""Wrong versions of the quota, each of which an exploration must find."""

from typing import Any

import msgspec

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.quota import client, count, owner
from lapisgrade.gateway.quota.count import Count
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.lab.explore.defects import Defects

FOREVER = 1 << 60  # us
_take, _told, _unseen = QuotaOwner.take, QuotaOwner.told, client.unseen


class Full(Count):
    """A count that begins anew is full, and keeps nothing back."""

    def __init__(self, since_us: int, rate: float, burst: float) -> None:
        super().__init__(since_us, rate, burst)
        self.bucket.level, self.born = self.bucket.burst, since_us - count.LEASE


def _any_fence(
    self: QuotaOwner, now_us: int, ask: rpc_messages.QuotaRequest, acts_until_us: int
) -> rpc_messages.QuotaReply:
    """What was asked for under another list counts as well, and an owner that was cut off grants on."""
    return _take(self, now_us, msgspec.structs.replace(ask, fencing_token=self.fence), FOREVER)


def _never_expires(
    self: QuotaOwner, now_us: int, ask: rpc_messages.QuotaRequest, acts_until_us: int
) -> rpc_messages.QuotaReply:
    """An owner that was cut off grants on."""
    return _take(self, now_us, ask, FOREVER)


def _asks_nobody(
    self: QuotaOwner, now_us: int, ask: rpc_messages.QuotaRequest, acts_until_us: int
) -> rpc_messages.QuotaReply:
    """A new owner waits for nobody's word."""
    if self.owns(ask.tenant) and self.predecessor(now_us, ask.tenant):
        empty = rpc_messages.HandedCount(0.0, 0.0, count.LEASE)
        self.handed(now_us, ask.tenant, rpc_messages.HandOverReply(False, empty), ask.rate, ask.burst, "")
    return _take(self, now_us, ask, acts_until_us)


def _forgets_last_life(self: QuotaOwner, *told: Any, **more: Any) -> None:
    """A process that is started anew under the first list of all begins its counts full once more."""
    _told(self, *told, **more)
    self._first_ever = self._first_ever or self._lists[0].before == ()


def _forgets_leases(self: Count, now_us: int, ask: rpc_messages.QuotaRequest) -> None:
    """What is leased and may not be spent yet takes no room."""
    self.bucket.put(now_us, self.bucket.read(now_us) - ask.units + ask.returned_units)


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
    "starts-full": (owner, "Count", Full),
    "any-fence": (QuotaOwner, "take", _any_fence),
    "undivided": (client, "unseen", lambda slo, rate, burst, limiters: _unseen(slo, rate, burst, 1)),
    "asks-nobody": (QuotaOwner, "take", _asks_nobody),
    "forgets-last-life": (QuotaOwner, "told", _forgets_last_life),
    "forgets-leases": (Count, "add", _forgets_leases),
    "never-expires": (QuotaOwner, "take", _never_expires),
}
