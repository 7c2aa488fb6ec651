"""One customer's quota at one limiter: shared count, lease, local share and rate limit.

A customer's use is a decaying count on the counter service, to which all limiters add. A limiter leases units
for several operations at once, so that it admits most operations without a call. It caches a rejection until
the bucket has refilled, and falls back to its local share of the quota when the counter does not reply.

`Account.admit` checks an operation in this order:

    rate limit -> lease -> cached rejection -> counter call (shared by all pending operations) -> local share
"""

import math

from lapisgrade.interface import (
    AddToCounter,
    Clock,
    CommandGenerator,
    CounterOutcome,
    CounterReply,
    Operation,
    Plan,
    Resume,
    Sleep,
    Spawn,
    WakeReason,
)
from lapisgrade.policy.counter_breaker import CounterBreaker
from lapisgrade.policy.counter_epoch import MAX_EPOCH_DECAYS, CounterEpoch
from lapisgrade.rate import SECOND, DecayingSum, TokenBucket

COUNTER_TTL_US = 45 * SECOND  # longer than an epoch, so that a limiter that is late still finds the count
RESPONSE_MARGIN_US = 6_000  # reserved before the deadline for the answer; a few ticks of the host's clock
MAX_LEASE_OPERATIONS = 50  # maximum number of operations per lease; given by the design
LEASE_DURATION_US = SECOND  # how long a lease's units may be used; given by the design
LOCAL_SHARE_FACTOR = 1.5  # local share, as a multiple of an even share of the quota (docs/design.md)
# Attempts kept free below a plan's cap: those at other limiters are estimates, and waiting costs little.
IN_FLIGHT_MARGIN = 0.8
EXPIRED_USE_RATIO = 0.01  # fraction of the burst below which an idle account's use may be discarded
# A total lower than this fraction of the own use by over RESET_COUNT_UNITS means that the counter was reset.
RESET_COUNT_RATIO = 0.99
RESET_COUNT_UNITS = 0.1


class PendingOperation:
    """An operation that waits for its account's counter call."""

    __slots__ = ("is_admitted", "is_counted", "is_resolved", "operation")

    def __init__(self, operation: Operation) -> None:
        """Create the record of an operation that starts to wait."""
        self.operation = operation
        self.is_resolved = False
        self.is_admitted: bool | None = None  # None when `is_resolved`: the counter did not reply
        self.is_counted = False  # whether a call that timed out probably counted it


class Account:
    """One customer's count, lease, local share, rate limit and attempts in flight at this limiter."""

    lease_duration_us = LEASE_DURATION_US

    def __init__(
        self, clock: Clock, counter_breaker: CounterBreaker, first_operation: Operation, started_us: int
    ) -> None:
        """Create an account for the customer of an operation.

        Args:
            clock: The limiter's clock.
            counter_breaker: The limiter's circuit breaker for the counter.
            first_operation: Its customer, plan and number of limiters are the account's.
            started_us: When this limiter started.
        """
        plan = first_operation.plan
        self.sharing_limiter_count = first_operation.sharing_limiter_count
        self.clock = clock
        self.counter_breaker = counter_breaker
        self.plan = plan
        self.customer = first_operation.customer
        # Use decays to 1/e in the time in which the bucket fills, here and on the counter.
        self.decay_us = max(SECOND, int(plan.burst / plan.rate * SECOND)) if plan.rate > 0 else SECOND
        self._reset(clock.now_us, plan)
        share = LOCAL_SHARE_FACTOR / self.sharing_limiter_count
        local_burst = plan.burst * share
        self.local_bucket = TokenBucket(clock.now_us, plan.rate * share, local_burst, local_burst)
        # An even share of the rate limit; its bucket starts empty, so that a restart grants no second burst.
        rate = plan.rate_limit_per_s / self.sharing_limiter_count
        if rate > 0:
            burst = plan.rate_limit_burst / self.sharing_limiter_count
            self.rate_limit_bucket = TokenBucket(started_us, rate, burst, 0.0)

    def _reset(self, now_us: int, plan: Plan) -> None:
        """Set the state of an account without any known use, attempts or rate limit."""
        self.bucket = TokenBucket(now_us, plan.rate, plan.burst, plan.burst)  # quota left at the last total
        self.counter_epoch = CounterEpoch(self.customer, self.decay_us)
        self.is_level_known = False  # whether a counter call was made; until then the bucket is assumed full
        self.last_read_us = 0  # arrival time of the last total; 0: none yet
        self.leased_units = 0.0  # units of the lease that are not used yet
        self.lease_expires_us = 0
        self.total_use = DecayingSum(self.decay_us)  # the last total plus this limiter's additions since
        self.own_use = DecayingSum(self.decay_us)  # this limiter's part of `total_use`
        self.unreported = DecayingSum(self.decay_us)  # use to be added to the count with the next call
        self.to_restore = DecayingSum(self.decay_us)  # own use that is missing from a new count
        self.rate_limit_bucket = TokenBucket(0, 0.0, math.inf, math.inf)
        self.in_flight = 0
        self.is_calling = False  # whether `run_counter_calls` is running
        self.last_used_us = now_us
        self.pending: list[PendingOperation] = []  # oldest first

    def has_capacity(self, units: float, latency_us: float) -> bool:
        """Whether the plan's cap on attempts in flight allows another attempt of `units`.

        The attempts in flight at other limiters are estimated from their use and the mean `latency_us`.
        """
        now_us = self.clock.now_us
        others_use = max(0.0, self.total_use.read(now_us) - self.own_use.read(now_us))
        others_in_flight = others_use * latency_us / self.decay_us / units
        cap = self.plan.max_in_flight
        return not cap or self.in_flight + others_in_flight < cap - IN_FLIGHT_MARGIN

    def is_expired(self, now_us: int) -> bool:
        """Whether the account may be deleted to save memory: the counter has dropped its use too."""
        if self.in_flight or self.pending or self.is_calling:
            return False
        if self.rate_limit_bucket.read(now_us) < self.rate_limit_bucket.burst:
            return False
        if now_us - self.last_used_us <= COUNTER_TTL_US:
            return False
        return self.total_use.read(now_us) < EXPIRED_USE_RATIO * self.plan.burst

    # ---- admission

    def admit(self, operation: Operation) -> CommandGenerator[int | None]:
        """Admit or reject an operation.

        Returns:
            None if it is admitted; else the time in us until there may be capacity for it.
        """
        now_us, units = self.clock.now_us, operation.units
        if self.rate_limit_bucket.read(now_us) < units:
            return self.rate_limit_bucket.wait_us(now_us, units)
        if self.plan.rate <= 0 or self._take_from_lease(now_us, units):
            self.consume(now_us, units)
            return None
        if self.bucket.read(now_us) < units:
            return self.bucket.wait_us(now_us, units)  # a cached rejection
        if not self.may_wait_for_counter(now_us):
            return self.admit_locally(now_us, units)
        pending = PendingOperation(operation)
        self.pending.append(pending)
        if not self.is_calling:
            self.is_calling = True
            yield Spawn(self.run_counter_calls())
        while not pending.is_resolved:
            reason = yield Sleep(operation.deadline_us - RESPONSE_MARGIN_US)
            if reason is not WakeReason.RESUMED and not pending.is_resolved:
                self.pending.remove(pending)
                return 0  # client disconnected or deadline near: reject without the counter's reply
        return self._admit_by_reply(pending)

    def _take_from_lease(self, now_us: int, units: float) -> bool:
        if self.lease_expires_us <= now_us and self.leased_units:
            self.unreported.add(now_us, -self.leased_units)  # the next call returns the unused units
            self.leased_units = 0.0
        if self.leased_units < units:
            return False
        self.leased_units -= units
        return True

    def _admit_by_reply(self, pending: PendingOperation) -> int | None:
        """Admit or reject a pending operation according to the counter's reply."""
        now_us, units = self.clock.now_us, pending.operation.units
        if pending.is_admitted is None:
            # A call that timed out was probably counted. So the operation is either admitted without
            # reporting its units again, or rejected and its units are returned; nothing is counted twice.
            return self.admit_locally(now_us, units, pending.is_counted)
        if not pending.is_admitted:
            return self.bucket.wait_us(now_us, units)
        if self.rate_limit_bucket.read(now_us) < units:
            self.unreported.add(now_us, -units)
            return self.rate_limit_bucket.wait_us(now_us, units)
        self.consume(now_us, units)
        return None

    def may_wait_for_counter(self, now_us: int) -> bool:
        """Whether an operation may wait for the counter: a call is in flight or allowed now."""
        return self.is_calling or self.counter_breaker.try_acquire_call(now_us)

    def consume(self, now_us: int, units: float, is_local: bool = False) -> None:
        """Deduct an admitted operation's units; `is_local`: it was admitted without the counter."""
        level = self.local_bucket.read(now_us) - units
        self.local_bucket.set_level(now_us, level if is_local else max(0.0, level))
        self.rate_limit_bucket.set_level(now_us, self.rate_limit_bucket.read(now_us) - units)

    def admit_locally(self, now_us: int, units: float, is_counted: bool = False) -> int | None:
        """Admit or reject an operation by the local share and report its units to the counter later.

        Args:
            now_us: The current time.
            units: The operation's units.
            is_counted: Whether the counter has probably counted the operation already.

        Returns:
            None if it is admitted; else the time in us until there may be capacity for it.
        """
        if self.last_read_us and not self.counter_breaker.is_open:
            required, available, rate = self._share_of_last_total(now_us, units)
        else:
            # A full share admits an operation of any size and goes into debt: with very many limiters a share
            # may be less than one operation, and customers with little traffic would be locked out.
            required = min(units, self.local_bucket.burst)
            available = self.local_bucket.read(now_us)
            rate = self.local_bucket.rate_per_s
        is_admitted = available >= required
        if is_admitted != is_counted and self.counter_breaker.is_available:
            self.unreported.add(now_us, units if is_admitted else -units)
        if is_admitted:
            self.consume(now_us, units, is_local=True)
            return None
        return math.ceil((required - available) / rate * SECOND)

    def _share_of_last_total(self, now_us: int, units: float) -> tuple[float, float, float]:
        """Required units, available units and refill rate, estimated from the last total.

        Used while the counter is overloaded but reachable: its last total, with the other limiters' use
        extrapolated, is a better estimate than an even share.
        """
        total_use, own_use = max(self.total_use.read(now_us), 1e-9), self.own_use.read(now_us)
        share = min(1.0, LOCAL_SHARE_FACTOR * max(1 / self.sharing_limiter_count, own_use / total_use))
        required = min(units, self.plan.burst * share)
        remaining = self.unclamped_level(now_us) - self.estimated_use_of_others(now_us)
        available = min(self.plan.burst, remaining) * share - self.unreported.read(now_us)
        return required, available, self.plan.rate * share

    def unclamped_level(self, now_us: int) -> float:
        """The bucket's level, not limited by its burst."""
        return self.bucket.level + self.plan.rate * (now_us - self.bucket.updated_us) / SECOND

    def estimated_use_of_others(self, now_us: int) -> float:
        """Estimated use by other limiters since the last total, at their rate until then."""
        decays = (now_us - self.last_read_us) / self.decay_us if self.last_read_us else 0.0
        others_use = max(0.0, self.total_use.read(now_us) - self.own_use.read(now_us))
        return others_use * math.exp(min(MAX_EPOCH_DECAYS, decays)) * decays

    # ---- counter calls

    def run_counter_calls(self) -> CommandGenerator[None]:
        """Call the counter, one call at a time, until no operation is pending; pending ones share a call."""
        while self.pending:
            first_units = self.pending[0].operation.units
            requested = self._units_to_request(first_units)
            outcome = yield from self.add_to_counter(requested)
            if outcome is not CounterOutcome.ADDED:
                yield from self._resolve_without_counter(first_units - requested, outcome)
                break
            yield from self._resolve_by_total(requested)
        self.is_calling = False

    def _units_to_request(self, units: float) -> float:
        """Units to request: half of an even share of the remaining quota, for at least one operation."""
        level = self.bucket.read(self.clock.now_us) if self.is_level_known else 0.0
        operations = max(1, int(level / (2 * self.sharing_limiter_count * units)))
        return min(MAX_LEASE_OPERATIONS, operations) * units

    def _resolve_without_counter(self, correction: float, outcome: CounterOutcome) -> CommandGenerator[None]:
        """Resolve pending operations by the local share; `correction` is unreported use after a time-out."""
        is_timeout = outcome is CounterOutcome.TIMED_OUT
        if is_timeout:
            self.unreported.add(self.clock.now_us, correction)
        for pending in self.pending:
            pending.is_resolved = True
            pending.is_counted = is_timeout and pending is self.pending[0]
            yield Resume(pending.operation)
        self.pending.clear()

    def _resolve_by_total(self, requested: float) -> CommandGenerator[None]:
        """Admit pending operations within the granted units; lease the rest or return it."""
        now_us = self.clock.now_us
        missing = min(requested, max(0.0, -self.bucket.level))
        granted = requested - missing
        while self.pending and self.pending[0].operation.units <= granted:
            pending = self.pending.pop(0)
            granted -= pending.operation.units
            yield self._resolve(pending, is_admitted=True)
        if missing:
            self.bucket.level += missing  # the level once the missing units are returned
            while self.pending and self.pending[0].operation.units > self.bucket.read(now_us):
                yield self._resolve(self.pending.pop(0), is_admitted=False)
            self.bucket.level -= missing
            yield from self.add_to_counter(-missing - granted)
        elif granted:
            self.leased_units += granted
            self.lease_expires_us = now_us + self.lease_duration_us

    @staticmethod
    def _resolve(pending: PendingOperation, is_admitted: bool) -> Resume:
        pending.is_resolved = True
        pending.is_admitted = is_admitted
        return Resume(pending.operation)

    def add_to_counter(self, units: float) -> CommandGenerator[CounterOutcome]:
        """Add units and unreported use to the count, update the bucket from the total; return the outcome."""
        sent_us = self.clock.now_us
        self.is_level_known = True
        epoch = self.counter_epoch
        if epoch.enter(sent_us):  # every limiter restores its own use in a new epoch
            self.to_restore.add(sent_us, self.own_use.read(sent_us) - self.to_restore.read(sent_us))
        # Unreported use is new to all limiters. Restored use is not: it was counted before.
        added = units + self.unreported.read(sent_us)
        restored = self.to_restore.read(sent_us)
        self.unreported.value = 0.0
        self.to_restore.value = 0.0
        epoch_start_us = epoch.start_us
        amount = (added + restored) * epoch.growth(sent_us)
        reply: CounterReply = yield AddToCounter(epoch.counter_id, amount, COUNTER_TTL_US)
        now_us = self.clock.now_us
        self.counter_breaker.record_reply(now_us, reply.outcome, sent_us)
        if reply.outcome is CounterOutcome.REJECTED:
            self.unreported.add(now_us, added - units)
            self.to_restore.add(now_us, restored)
            return reply.outcome
        decay = math.exp((sent_us - now_us) / self.decay_us)
        added *= decay
        restored *= decay
        # A call that timed out was probably counted: its units are added to the last known total.
        use, level = self.total_use.read(now_us), self.unclamped_level(now_us)
        if reply.outcome is CounterOutcome.ADDED:
            use = reply.total * math.exp((epoch_start_us - now_us) / self.decay_us) - added
            use, level = self._apply_total(now_us, use, level, restored, epoch_start_us)
        self.bucket.set_level(now_us, min(self.plan.burst, level) - added)
        self.total_use.value = use + added
        self.own_use.add(now_us, added)
        return reply.outcome

    def _apply_total(
        self, now_us: int, use: float, level: float, restored: float, count_started_us: int
    ) -> tuple[float, float]:
        """Compute the use and the bucket's level from a total.

        Args:
            now_us: The current time.
            use: The use of all limiters according to the total, without the units added by this call.
            level: The bucket's level as known before the call.
            restored: Own use that the call restored.
            count_started_us: The start of the count's epoch.

        Returns:
            The use of all limiters and the bucket's level, both without the units added by this call.
        """
        known_use = self.total_use.read(now_us)
        if use < RESET_COUNT_RATIO * self.own_use.read(now_us) - RESET_COUNT_UNITS:
            count_started_us = now_us  # the count was reset and holds only this call
            self.to_restore.add(now_us, self.own_use.read(now_us) - restored)
        # Part of the others' use since the last total has decayed: at a constant rate it was the totals'
        # difference times `decay_factor`; ignoring this would leak quota, more so with more limiters. A total
        # that was reset or is not yet restored is too low, so the others are assumed to continue at their
        # previous rate. The bucket holds at least what the total leaves of the burst.
        decays = (now_us - self.last_read_us) / self.decay_us if self.last_read_us else 0.0
        decay_factor = decays / -math.expm1(-decays) if decays > 0 else 1.0
        others_use = (use - known_use) * decay_factor
        if use < known_use:
            has_lost_use = self.last_read_us < count_started_us
            others_use = self.estimated_use_of_others(now_us) if has_lost_use else 0.0
            use = known_use + others_use / decay_factor
        self.last_read_us = now_us
        return use, max(level - others_use, self.plan.burst - use)
