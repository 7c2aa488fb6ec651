"""A proxy's side of one tenant's quota: it leases units of the tenant's count, which one proxy owns.

Pure. Leases, cached refusals and the breaker are those of `lapisgrade.policy.account`. What differs is the
count: its owner reports the units taken, not a sum that decays, and without the owner nothing is admitted
but what `unreported_allowance` states.

The bound (QUOTA): in any window of `quota_win`, all proxies together admit at most (rate x window + burst) x
(1 + excess) + extra units of a tenant. Units are requests; times are microseconds, where no other unit is
named.
"""

import math
from collections.abc import Generator

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.count import LEASE_US, capacity
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import AddToCounter, Clock, CounterOutcome, CounterReply, Plan
from lapisgrade.policy.account import Account
from lapisgrade.policy.counter_breaker import MAX_CONSECUTIVE_TIMEOUTS, CounterBreaker
from lapisgrade.rate import TokenBucket

# s between a unit's grant and its arrival at a server, at most, beside the time that a lease lasts.
MAX_GRANT_DELAY_S = 0.25
# Of the unreported allowance, what may be used at once; most spans without the owner are short.
UNREPORTED_BURST_FRACTION = 0.8
# s after which a client rejected without the owner may retry: another proxy may reach the owner.
UNREPORTED_RETRY_S = 0.3
# The longest Retry-After; beyond the time that the deployments' clients have.
MAX_RETRY_AFTER_US = 5 * SECOND
# us between calls to an owner that does not answer; a new one is there within a second.
PROBE_INTERVAL_US = 80_000
MAX_CALLS_PER_S = 200.0  # for one tenant
COUNT_TTL_US = 60 * SECOND  # what the interface wants stated of a named count
NEVER_DECAYS_US = 1 << 60


def unreported_allowance(slo: Slo, rate: float, burst: float, limiters: int) -> float:
    """Return the units that one limiter of so many may admit, in any window, without the count's owner.

    In a window, QUOTA allows (rate x window + burst) x (1 + excess) + extra. What the owner grants in it,
    and what was leased before, is capacity + rate x window at most; what is late adds to it. The rest is
    shared out.

    Args:
        slo: the window, and the excess that the operators allow.
        rate: the tenant's, in units a second.
        burst: the tenant's, in units.
        limiters: how many proxies may be without the owner at once.
    """
    window_s = slo.quota_win / SECOND
    allowed = (rate * window_s + burst) * (1 + slo.quota_excess) + slo.quota_extra
    reported = capacity(burst, rate) + rate * window_s + rate * MAX_GRANT_DELAY_S
    return max(0.0, allowed - reported) / max(1, limiters)


def _plan(tenant: Tenant) -> Plan:
    rate = float(tenant.rate_s)
    return Plan(tenant.name, rate, capacity(tenant.burst, rate) if rate else 0.0)


class OwnerBreaker(CounterBreaker):
    """The breaker of one tenant's count: its owner may be away while others' are there, and soon be back."""

    probe_interval_us = PROBE_INTERVAL_US

    def __init__(self) -> None:
        super().__init__(True)
        # One call a lease, at the most; what is crowded is the owner's machine, not a service of all.
        self.call_budget = TokenBucket(0, MAX_CALLS_PER_S, MAX_CALLS_PER_S, MAX_CALLS_PER_S)

    def record_reply(self, now: int, outcome: CounterOutcome, sent_us: int) -> None:
        """Count the calls in a row that the owner did not answer."""
        if outcome is CounterOutcome.ADDED:
            self.consecutive_timeouts = 0
        else:
            self.consecutive_timeouts += 1


class QuotaClient(Account):
    """One tenant's quota at this proxy."""

    lease_duration_us = LEASE_US

    def __init__(
        self, clock: Clock, tenant: Tenant, slo: Slo, limiters: int, process_started_us: int
    ) -> None:
        """Begin for a tenant that is new here; `process_started_us` is when this process began."""
        now_us = clock.now_us
        self.gateway_count = 1
        self.tenant = tenant
        self.clock = clock
        self.counter_breaker = OwnerBreaker()
        self.plan = _plan(tenant)
        self.customer = tenant.name
        self.decay_us = SECOND
        self._reset(now_us, self.plan)
        # What is to be reported stays whole; it does not fade as a decaying count's does.
        self.unreported.decay_us = NEVER_DECAYS_US
        self._slo = slo
        # What an earlier process of this machine admitted unreported must be out of the window first.
        self._unreported_allowed_from_us = process_started_us + slo.quota_win
        self.local_bucket = TokenBucket(now_us, 0.0, 0.0, 0.0)
        self._call_number = 0
        self._last_counted_call = 0  # the number of the last call that the owner may have counted
        self.taken_units = 0.0  # by the call in progress
        self.returned_units = 0.0  # by the call in progress
        self._next_retry_us = now_us  # when the last one that was rejected may find a unit
        self.set_limiter_count(limiters)

    # ---- limits

    def set_limiter_count(self, limiters: int) -> None:
        """Share the unreported allowance among so many limiters: they may be without the owner at once."""
        now_us = self.clock.now_us
        window_s = self._slo.quota_win / SECOND
        # Most as a burst, the rest as its refill: no window sees more than the whole.
        units = unreported_allowance(self._slo, self.plan.rate, self.tenant.burst, limiters)
        level = self.local_bucket.read(now_us)
        burst = max(UNREPORTED_BURST_FRACTION * units, min(1.0, units))
        self.local_bucket = TokenBucket(now_us, (units - burst) / window_s, burst, 0.0)
        self.local_bucket.set_level(now_us, min(level, self.local_bucket.burst))

    def set_limit(self, tenant: Tenant) -> None:
        """Apply the limit of a newer configuration."""
        now_us = self.clock.now_us
        level = self.bucket.read(now_us)
        self.tenant = tenant
        self.plan = _plan(tenant)
        self.bucket = TokenBucket(now_us, self.plan.rate, self.plan.burst, min(level, self.plan.burst))

    # ---- admission

    def may_wait_for_counter(self, now_us: int) -> bool:
        """Return whether a request waits for the owner.

        While that does not answer, only the probing one does.
        """
        breaker = self.counter_breaker
        if self.is_calling:
            return breaker.consecutive_timeouts < MAX_CONSECUTIVE_TIMEOUTS
        return breaker.try_acquire_call(now_us)

    def consume(self, now_us: int, units: float, is_local: bool = False) -> None:
        """Do nothing: what the owner granted is no part of the unreported allowance, which is beside it."""

    def admit_locally(self, now_us: int, units: float, is_counted: bool = False) -> int | None:
        """Admit by the unreported allowance, as the owner does not answer.

        Args:
            now_us: the time.
            units: what the request takes.
            is_counted: whether the call that timed out may have been counted with these units.

        Returns:
            None where it is admitted, else the us until it may retry.
        """
        is_allowed = self.last_read_us and now_us >= self._unreported_allowed_from_us
        if is_allowed and self.local_bucket.read(now_us) >= units:
            self.local_bucket.set_level(now_us, self.local_bucket.read(now_us) - units)
            if not is_counted:
                self.unreported.value += units
            return None
        if is_counted:
            self.unreported.value -= units
        return min(math.ceil(UNREPORTED_RETRY_S * SECOND), self.local_bucket.wait_us(now_us, units))

    def retry_after_us(self, now_us: int, wait_us: int) -> int:
        """Return when one that is rejected may retry, in us from now_us.

        Where the count has no units left, each retries after the other, at this limiter's part of the refill
        (guards against all of them coming back for the same unit, to be rejected once more). Where the owner
        does not answer, as soon as it may: another limiter may reach it.

        Args:
            now_us: the time.
            wait_us: the least that it must wait.
        """
        has_units = self.bucket.read(now_us) >= 1.0
        if self.counter_breaker.consecutive_timeouts or has_units or not self.plan.rate:
            return wait_us
        step_us = math.ceil(self.gateway_count / self.plan.rate * SECOND)
        earliest_us = max(self._next_retry_us + step_us, now_us + wait_us)
        self._next_retry_us = min(earliest_us, now_us + MAX_RETRY_AFTER_US)
        return self._next_retry_us - now_us

    # ---- calls to the owner

    def add_to_counter(self, units: float) -> Generator[AddToCounter, CounterReply, CounterOutcome]:
        """Add units to the count, with what is to be reported; negative units are given back."""
        unreported = self.unreported.value
        added = units + unreported
        self.unreported.value = 0.0
        self._begin_call(units, unreported)
        sent_us = self.clock.now_us
        # The tenant's name stands for the counter's id: the shell finds the owner by it.
        reply = yield AddToCounter(self.customer, added, COUNT_TTL_US)  # type: ignore[arg-type]
        now_us = self.clock.now_us
        self.counter_breaker.record_reply(now_us, reply.outcome, sent_us)
        if reply.outcome is CounterOutcome.REJECTED:
            self.unreported.value += added - units
            return reply.outcome
        self._last_counted_call = self._call_number
        if reply.outcome is CounterOutcome.ADDED:
            self._record_total(now_us, reply.total)
        else:
            self.bucket.set_level(now_us, self.bucket.read(now_us) - added)
        return reply.outcome

    def _begin_call(self, units: float, unreported: float) -> None:
        """Tell apart what the call takes and what it gives back: its owner may know of one of them only."""
        self._call_number += 1
        if units > 0:
            self.taken_units = max(0.0, units + max(0.0, unreported))
            self.returned_units = max(0.0, -unreported)
        else:
            self.taken_units = max(0.0, units + unreported)
            self.returned_units = max(0.0, -(units + unreported))

    def _record_total(self, now_us: int, total: float) -> None:
        """Note how many units the owner says are taken of the count."""
        if not self.last_read_us:
            # Nothing was admitted before the owner was first reached.
            self.local_bucket.set_level(now_us, self.local_bucket.burst)
            self.is_level_known = True
        self.last_read_us = now_us
        self.bucket.set_level(now_us, self.plan.burst - total)

    def quota_request(self, proxy: str, fencing_token: int) -> rpc_messages.QuotaRequest:
        """Return the message of the call in progress, to the count's owner.

        Args:
            proxy: this proxy's name.
            fencing_token: of the membership that names the owner.
        """
        return rpc_messages.QuotaRequest(
            self.customer,
            self.taken_units,
            proxy,
            fencing_token,
            float(self.tenant.rate_s),
            float(self.tenant.burst),
            self.returned_units,
            self._call_number,
            self._last_counted_call,
        )
