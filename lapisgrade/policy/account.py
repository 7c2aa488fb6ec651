"""One customer's quota at one limiter: the shared count, the lease, the local share, the rate limit.

The customer's use is a decaying count on the counter service, which all limiters add to. A limiter leases
some operations at a time from it, so that most are admitted without a call; it caches a refusal until the
refill that it computed; and without an answer it admits by its local share of the quota.

An operation's way through `Account.admit`:

    rate limit -> lease -> cached refusal -> counter call (shared with all that wait) -> local share
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

COUNTER_TTL_US = 45 * SECOND  # outlives its epoch, so that a limiter that is late still finds the count
RESPONSE_MARGIN_US = 6_000  # before an operation's deadline; a few rounds of the host's clock
MAX_LEASE_OPERATIONS = 50  # operations whose units one lease may hold, at most
LEASE_DURATION_US = SECOND  # how long a lease may be used
LOCAL_SHARE_FACTOR = 1.5  # even shares of a quota admitted without the counter (docs/design.md)
IN_FLIGHT_MARGIN = (
    0.8  # attempts under a cap; the others' are known in the mean only, and a wait costs little
)
EXPIRED_USE_RATIO = 0.01  # of the burst; a count below it is forgotten
RESET_COUNT_RATIO = 0.99  # of our own use; a count below it, less the following, was reset
RESET_COUNT_UNITS = 0.1


class PendingOperation:
    """An operation that waits for its account's call of the counter."""

    __slots__ = ("is_admitted", "is_counted", "is_resolved", "operation")

    def __init__(self, operation: Operation) -> None:
        """Create the record of an operation that begins to wait."""
        self.operation = operation
        self.is_resolved = False
        self.is_admitted: bool | None = None  # None once resolved: the counter did not answer
        self.is_counted = False  # it may have been counted by a call that was not answered


class Account:
    """One customer at this limiter: its count, lease, local share, rate limit and attempts in flight."""

    lease_duration_us = LEASE_DURATION_US

    def __init__(
        self, clock: Clock, counter_breaker: CounterBreaker, first: Operation, started_us: int
    ) -> None:
        """Create the account of a customer's first operation here.

        Args:
            clock: The limiter's.
            counter_breaker: The limiter's.
            first: Says who the customer is, its plan, and over how many limiters it is spread.
            started_us: When this limiter started.
        """
        plan = first.plan
        self.gateway_count = first.gateway_count
        self.clock = clock
        self.counter_breaker = counter_breaker
        self.plan = plan
        self.customer = first.customer
        # Use counts 1/e after the time that the bucket takes to fill, on the counter too.
        self.decay_us = max(SECOND, int(plan.burst / plan.rate * SECOND)) if plan.rate > 0 else SECOND
        self._reset(clock.now_us, plan)
        share = LOCAL_SHARE_FACTOR / self.gateway_count
        local_burst = plan.burst * share
        self.local_bucket = TokenBucket(clock.now_us, plan.rate * share, local_burst, local_burst)
        # Split evenly, and empty at start (guards against a second burst after a restart).
        rate = plan.rate_limit_per_s / self.gateway_count
        if rate > 0:
            burst = plan.rate_limit_burst / self.gateway_count
            self.rate_limit_bucket = TokenBucket(started_us, rate, burst, 0.0)

    def _reset(self, now_us: int, plan: Plan) -> None:
        """Begin with nothing known of the count."""
        self.bucket = TokenBucket(now_us, plan.rate, plan.burst, plan.burst)  # the quota's, by the totals
        self.counter_epoch = CounterEpoch(self.customer, self.decay_us)
        self.is_level_known = False  # whether the bucket says more than the plan, as a call was made
        self.last_read_us = 0  # when the last total arrived; 0: never
        self.leased_units = 0.0
        self.lease_expires_us = 0
        self.total_use = DecayingSum(self.decay_us)  # the last total, with what we added since
        self.own_use = DecayingSum(self.decay_us)  # our part of it
        self.unreported = DecayingSum(self.decay_us)  # what is to be added to it
        self.to_restore = DecayingSum(self.decay_us)  # what of our part a new count has not got yet
        self.rate_limit_bucket = TokenBucket(0, 0.0, math.inf, math.inf)
        self.in_flight = 0
        self.is_calling = False
        self.last_used_us = now_us
        self.pending: list[PendingOperation] = []

    def has_capacity(self, units: float, latency_us: float) -> bool:
        """Whether the plan's cap on attempts in flight leaves room for one of so many units.

        What other limiters have in flight is estimated from their use.
        """
        now_us = self.clock.now_us
        others_use = max(0.0, self.total_use.read(now_us) - self.own_use.read(now_us))
        others = others_use * latency_us / self.decay_us / units
        cap = self.plan.max_in_flight
        return not cap or self.in_flight + others < cap - IN_FLIGHT_MARGIN

    def is_expired(self, now_us: int) -> bool:
        """Whether nothing is lost with it, as the counter has forgotten it too (guards memory)."""
        if self.in_flight or self.pending or self.is_calling:
            return False
        if self.rate_limit_bucket.read(now_us) < self.rate_limit_bucket.burst:
            return False
        if now_us - self.last_used_us <= COUNTER_TTL_US:
            return False
        return self.total_use.read(now_us) < EXPIRED_USE_RATIO * self.plan.burst

    # ---- admission

    def admit(self, operation: Operation) -> CommandGenerator[int | None]:
        """Admit an operation, or say when it may be.

        Returns:
            None if it is admitted; else the us until there may be capacity for it.
        """
        now_us, units = self.clock.now_us, operation.units
        if self.rate_limit_bucket.read(now_us) < units:
            return self.rate_limit_bucket.wait_us(now_us, units)
        if self.plan.rate <= 0 or self._take_from_lease(now_us, units):
            self.consume(now_us, units)
            return None
        if self.bucket.read(now_us) < units:
            return self.bucket.wait_us(now_us, units)  # a cached refusal
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
                return 0  # the client has gone, or the deadline is near: refused without the counter's answer
        return self._admit_by_reply(pending)

    def _take_from_lease(self, now_us: int, units: float) -> bool:
        if self.lease_expires_us <= now_us and self.leased_units:
            self.unreported.add(now_us, -self.leased_units)  # the next call gives the rest back
            self.leased_units = 0.0
        if self.leased_units < units:
            return False
        self.leased_units -= units
        return True

    def _admit_by_reply(self, pending: PendingOperation) -> int | None:
        """Admit or refuse an operation that waited for the counter, by the counter's answer."""
        now_us, units = self.clock.now_us, pending.operation.units
        if pending.is_admitted is None:
            # A call that timed out was mostly counted: the operation is admitted, or its units are given
            # back (guards against counting twice).
            return self.admit_locally(now_us, units, pending.is_counted)
        if not pending.is_admitted:
            return self.bucket.wait_us(now_us, units)
        if self.rate_limit_bucket.read(now_us) < units:
            self.unreported.add(now_us, -units)
            return self.rate_limit_bucket.wait_us(now_us, units)
        self.consume(now_us, units)
        return None

    def may_wait_for_counter(self, now_us: int) -> bool:
        """Whether an operation waits for the counter: a call is in flight, or may be made now."""
        return self.is_calling or self.counter_breaker.try_acquire_call(now_us)

    def consume(self, now_us: int, units: float, is_local: bool = False) -> None:
        """Take an admitted operation's units; `is_local`: admitted without the counter."""
        level = self.local_bucket.read(now_us) - units
        self.local_bucket.set_level(now_us, level if is_local else max(0.0, level))
        self.rate_limit_bucket.set_level(now_us, self.rate_limit_bucket.read(now_us) - units)

    def admit_locally(self, now_us: int, units: float, is_counted: bool = False) -> int | None:
        """Admit or refuse by the local share, without the counter; the units are reported to it later.

        Args:
            now_us: The present time.
            units: What the operation takes.
            is_counted: Whether the counter has likely counted it already.

        Returns:
            None if it is admitted; else the us until there may be capacity for it.
        """
        if self.last_read_us and not self.counter_breaker.is_open:
            required, available, rate = self._share_of_last_total(now_us, units)
        else:
            # A full share admits any one, and owes the rest (guards calm customers of very many limiters).
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
        """What is required, what is available and its rate, by the last total.

        The counter is overloaded, not gone: its last total, with the others' use as it was, says more than
        an even share.
        """
        total, own = max(self.total_use.read(now_us), 1e-9), self.own_use.read(now_us)
        share = min(1.0, LOCAL_SHARE_FACTOR * max(1 / self.gateway_count, own / total))
        required = min(units, self.plan.burst * share)
        left = self.unclamped_level(now_us) - self.estimated_use_of_others(now_us)
        available = min(self.plan.burst, left) * share - self.unreported.read(now_us)
        return required, available, self.plan.rate * share

    def unclamped_level(self, now_us: int) -> float:
        """The bucket's level, as if it had no burst."""
        return self.bucket.level + self.plan.rate * (now_us - self.bucket.updated_us) / SECOND

    def estimated_use_of_others(self, now_us: int) -> float:
        """Estimated use by other limiters since the last total, at the rate seen until then."""
        decays = (now_us - self.last_read_us) / self.decay_us if self.last_read_us else 0.0
        others = max(0.0, self.total_use.read(now_us) - self.own_use.read(now_us))
        return others * math.exp(min(MAX_EPOCH_DECAYS, decays)) * decays

    # ---- calls of the counter

    def run_counter_calls(self) -> CommandGenerator[None]:
        """Call the counter, one call at a time, until no operation waits; all that wait share a call."""
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
        """A lease on a part of what is left, in operations of so many units; at least one."""
        level = self.bucket.read(self.clock.now_us) if self.is_level_known else 0.0
        operations = max(1, int(level / (2 * self.gateway_count * units)))
        return min(MAX_LEASE_OPERATIONS, operations) * units

    def _resolve_without_counter(self, correction: float, outcome: CounterOutcome) -> CommandGenerator[None]:
        """Let all that wait be admitted locally; `correction`: of what a call that timed out likely added."""
        is_timeout = outcome is CounterOutcome.TIMED_OUT
        if is_timeout:
            self.unreported.add(self.clock.now_us, correction)
        for pending in self.pending:
            pending.is_resolved = True
            pending.is_counted = is_timeout and pending is self.pending[0]
            yield Resume(pending.operation)
        self.pending.clear()

    def _resolve_by_total(self, requested: float) -> CommandGenerator[None]:
        """Grant what the total leaves of the request; lease the rest, or give it back."""
        now_us = self.clock.now_us
        missing = min(requested, max(0.0, -self.bucket.level))
        granted = requested - missing
        while self.pending and self.pending[0].operation.units <= granted:
            pending = self.pending.pop(0)
            granted -= pending.operation.units
            yield self._resolve(pending, is_admitted=True)
        if missing:
            self.bucket.level += missing
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
        """Add to the count, with what is unreported, and bring the bucket up to date from the total.

        Returns:
            The `CounterOutcome`.
        """
        sent_us = self.clock.now_us
        self.is_level_known = True
        epoch = self.counter_epoch
        if epoch.enter(sent_us):  # every limiter restores its own part of the count there
            self.to_restore.add(sent_us, self.own_use.read(sent_us) - self.to_restore.read(sent_us))
        # What is restored was used before, and is no new use; what is unreported is new to all.
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
        # A call that timed out was mostly counted: what it carried is taken, and what was known holds.
        use, level = self.total_use.read(now_us), self.unclamped_level(now_us)
        if reply.outcome is CounterOutcome.ADDED:
            use = reply.total * math.exp((epoch_start_us - now_us) / self.decay_us) - added
            use, level = self._apply_total(now_us, use, level, restored, epoch_start_us)
        self.bucket.set_level(now_us, min(self.plan.burst, level) - added)
        self.total_use.value = use + added
        self.own_use.add(now_us, added)
        return reply.outcome

    def _apply_total(
        self, now_us: int, use: float, level: float, restored: float, counting_since_us: int
    ) -> tuple[float, float]:
        """Compute use and bucket level from a total.

        Args:
            now_us: The present time.
            use: The use by the total, without what the call added.
            level: The bucket's level by what was known before.
            restored: What the call restored of our part.
            counting_since_us: The start of the count's epoch.

        Returns:
            The use of all limiters and the bucket's level, both without what the call added.
        """
        known = self.total_use.read(now_us)
        if use < RESET_COUNT_RATIO * self.own_use.read(now_us) - RESET_COUNT_UNITS:
            counting_since_us = now_us  # the count was reset, but for this call
            self.to_restore.add(now_us, self.own_use.read(now_us) - restored)
        # Of the others' use since the last total a part has decayed: as if it was even, it was so much more
        # (guards against a leak that grows with the limiters). A count that was reset, or is not restored
        # yet, says less than is known: then the others went on as before. The bucket surely holds what the
        # count leaves.
        decays = (now_us - self.last_read_us) / self.decay_us if self.last_read_us else 0.0
        decayed = decays / -math.expm1(-decays) if decays > 0 else 1.0
        others = (use - known) * decayed
        if use < known:
            has_lost_use = self.last_read_us < counting_since_us
            others = self.estimated_use_of_others(now_us) if has_lost_use else 0.0
            use = known + others / decayed
        self.last_read_us = now_us
        return use, max(level - others, self.plan.burst - use)
