"""The client's side of a tenant's quota at one proxy: it leases units from the owner of the tenant's count.

Pure. Leases, cached rejections and the circuit breaker are those of `lapisgrade.policy.account`. The count
differs: its owner reports the units in use instead of a decaying sum. While the owner does not answer, at
most `unreported_allowance` is admitted: units that are granted here and reported to the owner later.

The QUOTA guarantee: in any window of `quota_win`, all proxies together admit at most (rate x window + burst)
x (1 + excess) + extra units of a tenant, with `quota_excess` and `quota_extra` of `Slo`. Units are requests;
times are in microseconds unless another unit is named.
"""

import math
from collections.abc import Generator

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.count import LEASE_US, capacity
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import (
    AddToCounter,
    Clock,
    CommandGenerator,
    CounterOutcome,
    CounterReply,
    Plan,
    Resume,
)
from lapisgrade.policy.account import Account
from lapisgrade.policy.counter_breaker import MAX_CONSECUTIVE_FAILURES, CounterBreaker
from lapisgrade.rate import TokenBucket

# Maximum delay between the grant of a unit and its arrival at a server, in addition to a lease's duration.
MAX_GRANT_DELAY_S = 0.25
# Fraction of the unreported allowance that may be used at once. It is large because most outages of an owner
# are short.
UNREPORTED_BURST_FRACTION = 0.8
# Retry delay for a client rejected while the owner does not answer: another proxy may reach the owner.
UNREPORTED_RETRY_S = 0.3
# Interval between calls to an owner that does not answer; a new owner is available within a second.
PROBE_INTERVAL_US = 80_000
MAX_CALLS_PER_S = 200.0  # per tenant
COUNT_TTL_US = 60 * SECOND  # a field that the `AddToCounter` interface requires
NEVER_DECAYS_US = 1 << 60  # decay time for sums that must not decay


def unreported_allowance(slo: Slo, rate: float, burst: float, proxy_count: int) -> float:
    """Return the units that one proxy may admit in any window while the count's owner does not answer.

    In a window, the QUOTA guarantee allows (rate x window + burst) x (1 + excess) + extra units. The units
    that the owner grants in it, or leased before it, are at most capacity + rate x window, plus the grants
    that arrive up to `MAX_GRANT_DELAY_S` late. The remainder is divided among the proxies.

    Args:
        slo: The window and the excess that operators allow.
        rate: The tenant's limit, in units per second.
        burst: The tenant's burst, in units.
        proxy_count: Number of proxies that may be without the owner at once.
    """
    window_s = slo.quota_win / SECOND
    allowed = (rate * window_s + burst) * (1 + slo.quota_excess) + slo.quota_extra
    reported = capacity(burst, rate) + rate * window_s + rate * MAX_GRANT_DELAY_S
    return max(0.0, allowed - reported) / max(1, proxy_count)


def _plan(tenant: Tenant) -> Plan:
    """Return the tenant's limit as the plan that `Account` applies; rate and burst are 0 without one."""
    rate = float(tenant.rate_s)
    return Plan(tenant.name, rate, capacity(tenant.burst, rate) if rate else 0.0)


class OwnerBreaker(CounterBreaker):
    """Circuit breaker for the owner of one tenant's count.

    Each count has its own breaker, because its owner may be unreachable while the owners of other counts
    answer. An unreachable owner is replaced soon.
    """

    probe_interval_us = PROBE_INTERVAL_US

    def __init__(self) -> None:
        super().__init__(True)
        # The rate does not back off: there is at most one call per lease, and an overloaded owner is a single
        # machine, not a service that all tenants share.
        self.call_budget = TokenBucket(0, MAX_CALLS_PER_S, MAX_CALLS_PER_S, MAX_CALLS_PER_S)

    def record_reply(self, now_us: int, outcome: CounterOutcome, sent_us: int) -> None:
        """Count consecutive calls that the owner did not answer."""
        if outcome is CounterOutcome.ADDED:
            self.consecutive_failures = 0
        else:
            self.consecutive_failures += 1


class QuotaClient(Account):
    """One tenant's quota at this proxy."""

    lease_duration_us = LEASE_US

    def __init__(
        self, clock: Clock, tenant: Tenant, slo: Slo, proxy_count: int, process_started_us: int
    ) -> None:
        """Create the client of a tenant that is new at this proxy.

        Args:
            clock: The proxy's clock.
            tenant: The tenant with its limit.
            slo: The window and the excess that operators allow.
            proxy_count: Number of proxies that may be without the owner at once.
            process_started_us: When this process started.
        """
        now_us = clock.now_us
        self.sharing_limiter_count = 1
        self.tenant = tenant
        self.clock = clock
        self.counter_breaker = OwnerBreaker()
        self.plan = _plan(tenant)
        self.customer = tenant.name
        self.decay_us = SECOND
        self._reset(now_us, self.plan)
        # Unreported units must not decay, unlike those of a decaying counter.
        self.unreported.decay_us = NEVER_DECAYS_US
        self._slo = slo
        # Units that an earlier process of this machine admitted unreported must first leave the window.
        self._unreported_allowed_from_us = process_started_us + slo.quota_win
        self.local_bucket = TokenBucket(now_us, 0.0, 0.0, 0.0)
        self._call_number = 0
        self._last_counted_call = 0  # number of the last call that the owner may have counted
        self.taken_units = 0.0  # units that the call in progress takes
        self.returned_units = 0.0  # units that the call in progress returns
        self._next_retry_us = now_us  # retry time given to the last rejected request
        self.set_proxy_count(proxy_count)

    # ---- limits

    def set_proxy_count(self, proxy_count: int) -> None:
        """Set the number of proxies that may be without the owner at once and share the allowance."""
        now_us = self.clock.now_us
        window_s = self._slo.quota_win / SECOND
        # The burst and its refill over one window add up to the allowance, so no window exceeds it.
        units = unreported_allowance(self._slo, self.plan.rate, self.tenant.burst, proxy_count)
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

        While the owner does not answer, only the probing request waits.
        """
        breaker = self.counter_breaker
        if self.is_calling:
            return breaker.consecutive_failures < MAX_CONSECUTIVE_FAILURES
        return breaker.try_acquire_call(now_us)

    def consume(self, now_us: int, units: float, is_local: bool = False) -> None:
        """Do nothing: granted units are not charged to the unreported allowance."""

    def admit_locally(self, now_us: int, units: float, is_counted: bool = False) -> int | None:
        """Admit a request from the unreported allowance, if it suffices, because the owner does not answer.

        Args:
            now_us: The current time.
            units: Units of the request.
            is_counted: Whether the owner may have counted these units in the call that timed out.

        Returns:
            None if the request is admitted, else the delay in us before a retry.
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

    def put_back(self, now_us: int, units: float) -> None:
        """Take back units that were granted within `MAX_GRANT_DELAY_S` and are not used.

        They become part of the lease again; without one, the next call returns them to the count.
        """
        if self.lease_expires_us > now_us:
            self.leased_units += units
        else:
            self.unreported.value -= units

    def retry_after_us(self, now_us: int, wait_us: int, deadline_us: int) -> int:
        """Return the delay in us after which a rejected request may retry.

        If the count is exhausted, retries are spaced at this proxy's share of the refill; otherwise they
        would all return for the same unit and be rejected again. If the owner does not answer, the delay is
        the minimum, because another proxy may reach the owner.

        Args:
            now_us: The current time.
            wait_us: Minimum delay.
            deadline_us: When the caller's time ends; a caller that has none left by its turn takes no turn.
        """
        has_units = self.bucket.read(now_us) >= 1.0
        if self.counter_breaker.consecutive_failures or has_units or not self.plan.rate:
            return wait_us
        step_us = math.ceil(self.sharing_limiter_count / self.plan.rate * SECOND)
        earliest_us = max(self._next_retry_us + step_us, now_us + wait_us)
        if earliest_us <= deadline_us:
            self._next_retry_us = earliest_us
        return earliest_us - now_us

    # ---- calls to the owner

    def run_counter_calls(self) -> CommandGenerator[None]:
        """Call the owner as `Account` does; requests don't keep waiting for a call that has failed."""
        try:
            yield from super().run_counter_calls()
        except Exception:
            for pending in self.pending:
                pending.is_resolved = True
                yield Resume(pending.operation)
            self.pending.clear()
            raise
        finally:
            self.is_calling = False

    def add_to_counter(self, units: float) -> Generator[AddToCounter, CounterReply, CounterOutcome]:
        """Add `units` and the unreported units to the count, and return the outcome of the call.

        Negative units are returned to the count. The unreported units of a rejected call are kept for the
        next one.
        """
        unreported = self.unreported.value
        added = units + unreported
        self.unreported.value = 0.0
        self._begin_call(units, unreported)
        sent_us = self.clock.now_us
        # The tenant's name takes the place of the counter's id; the I/O layer finds the owner by it.
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
            # Without a reply, the owner may have counted the units.
            self.bucket.set_level(now_us, self.bucket.read(now_us) - added)
        return reply.outcome

    def _begin_call(self, units: float, unreported: float) -> None:
        """Number the call and split it into taken and returned units.

        They are sent separately because the owner may accept only the taken ones: it may not know the grant
        that the others are returned from.
        """
        self._call_number += 1
        if units > 0:
            self.taken_units = max(0.0, units + max(0.0, unreported))
            self.returned_units = max(0.0, -unreported)
        else:
            self.taken_units = max(0.0, units + unreported)
            self.returned_units = max(0.0, -(units + unreported))

    def _record_total(self, now_us: int, total: float) -> None:
        """Record the units in use that the owner reports."""
        if not self.last_read_us:
            # Nothing was admitted before the first reply of the owner.
            self.local_bucket.set_level(now_us, self.local_bucket.burst)
            self.is_level_known = True
        self.last_read_us = now_us
        self.bucket.set_level(now_us, self.plan.burst - total)

    def quota_request(self, proxy: str, fencing_token: int) -> rpc_messages.QuotaRequest:
        """Return the message that sends the call in progress to the count's owner.

        Args:
            proxy: Name of this proxy.
            fencing_token: Fencing token of the membership under which the owner was found.
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
