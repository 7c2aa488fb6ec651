"""A tenant's quota at a proxy: the design's account, whose count is held by one of the proxies. Pure.

Leases, cached refusals and the breaker are lapisgrade.policy's. What differs is the count: it is told in
units of room, not as a sum that forgets, and without it nothing is let in but what `unseen` states.
"""

import math
from collections.abc import Generator

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.count import LEASE_US, capacity
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import AddToCounter, Clock, CounterOutcome, CounterReply, Plan
from lapisgrade.policy.account import MAX_CONSECUTIVE_TIMEOUTS, Account, CounterBreaker
from lapisgrade.rate import TokenBucket

LATE = 0.25  # s between a unit's grant and its arrival at a server, at most, beside the lease's life
STORE = 0.8  # of what may be let in unseen that may go at once; most spans without a count are short
BACK = 0.3  # s after which one refused without a count is told to come back: elsewhere there may be one
LONGEST = 5 * SECOND  # us that one is told to wait at most; beyond what clients of the deployments have
KNOCK = 80_000  # us between calls to a count that does not answer; a new owner is there within a second
CALLS = 200.0  # calls a second for one tenant, at most
COUNT_LIFE = 60 * SECOND  # us; what the interface wants told of a named count


def unseen(slo: Slo, rate: float, burst: float, limiters: int) -> float:
    """Units that one limiter of so many may let in, in any QuotaWin, without the count.

    In a window, QUOTA allows (rate x window + burst) x (1 + excess) + extra. What the owner grants in it,
    and what was leased before, is room + rate x window at most; what is late adds to it. The rest is shared
    out.
    """
    window, full = slo.quota_win / SECOND, capacity(burst, rate)
    allowed = (rate * window + burst) * (1 + slo.quota_excess) + slo.quota_extra
    seen = full + rate * window + rate * LATE
    return max(0.0, allowed - seen) / max(1, limiters)


class Breaker(CounterBreaker):
    """Of one tenant's count: its owner may be gone while the others' are there, and back in a moment."""

    probe_interval_us = KNOCK

    def __init__(self) -> None:
        super().__init__(True)
        # One call a lease, at the most; what is crowded is the owner's machine, not a service of all.
        self.call_budget = TokenBucket(0, CALLS, CALLS, CALLS)

    def record_reply(self, now: int, tally: CounterOutcome, sent: int) -> None:
        self.consecutive_timeouts = 0 if tally is CounterOutcome.ADDED else self.consecutive_timeouts + 1


class QuotaClient(Account):
    """One tenant here."""

    lease_duration_us = LEASE_US

    def __init__(self, clock: Clock, tenant: Tenant, slo: Slo, limiters: int, began_us: int) -> None:
        self.gateway_count, self.tenant = 1, tenant
        rate, now = float(tenant.rate_s), clock.now_us
        plan = Plan(tenant.name, rate, capacity(tenant.burst, rate) if rate else 0.0)
        self.clock, self.counter_breaker, self.plan, self.customer = clock, Breaker(), plan, tenant.name
        self.decay_us = SECOND
        self._reset(now, plan)
        # What is owed is owed whole; it does not fade as a decaying count's does.
        self.unreported.decay_us = 1 << 60
        self._slo = slo
        # What an earlier life of this process let in unseen must be out of the window first.
        self.ripe = began_us + slo.quota_win
        self.local_bucket = TokenBucket(now, 0.0, 0.0, 0.0)
        self.turn, self.of = 0, 0  # calls so far, and the last that may have been counted
        self.parts = (0.0, 0.0)  # of the call that is out: what it takes, and what it gives back
        self.turn_at = now  # when the last one that was refused may have room
        self.shared_by(limiters)

    def shared_by(self, limiters: int) -> None:
        """So many limiters may be without the count at once."""
        now, window = self.clock.now_us, self._slo.quota_win / SECOND
        # Most as a store, the rest as its refill: no window sees more than the whole.
        units = unseen(self._slo, self.plan.rate, self.tenant.burst, limiters)
        level = self.local_bucket.read(now)
        store = max(STORE * units, min(1.0, units))
        self.local_bucket = TokenBucket(now, (units - store) / window, store, 0.0)
        self.local_bucket.set_level(now, min(level, self.local_bucket.burst))

    def limited(self, tenant: Tenant) -> None:
        """A newer configuration's limit for it."""
        rate, now = float(tenant.rate_s), self.clock.now_us
        level = self.bucket.read(now)
        self.tenant, self.plan = (
            tenant,
            Plan(tenant.name, rate, capacity(tenant.burst, rate) if rate else 0.0),
        )
        self.bucket = TokenBucket(now, rate, self.plan.burst, min(level, self.plan.burst))

    def may_wait_for_counter(self, now: int) -> bool:
        """As the account's; but for a count that has not answered of late only the one that knocks waits."""
        return (
            self.counter_breaker.consecutive_timeouts < MAX_CONSECUTIVE_TIMEOUTS
            if self.is_calling
            else self.counter_breaker.try_acquire_call(now)
        )

    def consume(self, now: int, units: float, alone: bool = False) -> None:
        """What the owner granted takes nothing from what may be let in unseen: `unseen` is beside it."""

    def add_to_counter(self, units: float) -> Generator:
        now = self.clock.now_us
        new, owed = units + self.unreported.value, self.unreported.value
        self.unreported.value = 0.0
        self.turn += 1
        # What is taken and what comes back are told apart: who holds the count now may know of one only.
        some = units > 0
        self.parts = max(0.0, units + max(0.0, owed) if some else new), max(0.0, -owed if some else -new)
        got: CounterReply = yield AddToCounter(self.customer, new, COUNT_LIFE)
        sent, now = now, self.clock.now_us
        self.counter_breaker.record_reply(now, got.outcome, sent)
        if got.outcome is not CounterOutcome.REJECTED:
            self.of = self.turn
        if got.outcome is CounterOutcome.REJECTED:
            self.unreported.value += new - units
        elif got.outcome is CounterOutcome.ADDED:
            if not self.last_read_us:
                self.local_bucket.set_level(
                    now, self.local_bucket.burst
                )  # nothing before the count was ever seen
                self.epoch = 0  # the room is known from here on
            self.last_read_us = now
            self.bucket.set_level(now, self.plan.burst - got.total)
        else:
            self.bucket.set_level(now, self.bucket.read(now) - new)
        return got.outcome

    def ask(self, by: str, fence: int) -> rpc_messages.QuotaRequest:
        """The call that is out, as the owner is told it."""
        takes, back = self.parts
        rate, burst = float(self.tenant.rate_s), float(self.tenant.burst)
        return rpc_messages.QuotaRequest(
            self.customer, takes, by, fence, rate, burst, back, self.turn, self.of
        )

    def comes_back(self, now: int, wait: int) -> int:
        """When one that is refused may come back, in us.

        Where the count says that there is no room, each comes after the other, at this limiter's part of the
        refill (guards against all of them coming back for the same unit, to be refused once more). Where it
        says nothing, as soon as it may: another limiter may reach it.
        """
        if self.counter_breaker.consecutive_timeouts or self.bucket.read(now) >= 1.0 or not self.plan.rate:
            return wait
        step = math.ceil(self.gateway_count / self.plan.rate * SECOND)
        self.turn_at = min(max(self.turn_at + step, now + wait), now + LONGEST)
        return self.turn_at - now

    def admit_locally(self, now: int, units: float, counted: bool = False) -> int | None:
        """No word from the count: what `unseen` leaves, and nothing beyond it."""
        if self.last_read_us and now >= self.ripe and self.local_bucket.read(now) >= units:
            self.local_bucket.set_level(now, self.local_bucket.read(now) - units)
            if not counted:
                self.unreported.value += units
            return None
        if counted:
            self.unreported.value -= units
        return min(math.ceil(BACK * SECOND), self.local_bucket.wait_us(now, units))
