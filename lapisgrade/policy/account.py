"""One customer's quota: its count on the counter, the lease, the local slice, and the counter's breaker."""

import math
from collections.abc import Generator
from hashlib import blake2b

from lapisgrade.interface import (
    AddToCounter,
    Clock,
    CounterOutcome,
    CounterReply,
    Operation,
    Plan,
    Resume,
    Sleep,
    Spawn,
    WakeReason,
)
from lapisgrade.rate import SECOND, DecayingSum, TokenBucket

MAX_EPOCH_US = (
    30 * SECOND
)  # us a count's name lives for; short of the counter's longest life, and seldom renewed
MAX_EPOCH_DECAYS = (
    15  # lives that an epoch lasts at most; amounts grow e-fold in each, and the counter takes up to 1e9
)
COUNTER_TTL_US = 45 * SECOND  # us; outlives its epoch, so that a limiter that is late still finds the name
RESPONSE_MARGIN_US = 6_000  # us before the hard stop; a few rounds of the host's clock
MAX_LEASE_OPERATIONS = 50  # operations; the design's cap
MAX_CONSECUTIVE_TIMEOUTS = 3  # unanswered calls in a row that open the breaker; the design's
LEASE_DURATION_US = PROBE_INTERVAL_US = (
    SECOND  # us; a lease's life, and between calls of an open breaker; the design's
)
MAX_CALL_RATE = 200.0  # calls a second that one limiter starts with, and never passes: one for each operation
CALL_RATE_INCREASE = 0.03, 0.5  # of that pace, and calls a second, that an answered call adds to it
CALL_RATE_DECREASE = (
    0.7  # of the pace that unanswered ones leave: one in five or so is then unanswered in a crowd
)
CALL_BURST_S = 0.05  # s of the pace that may go out together; a counter's time-out or two
LOCAL_SHARE_FACTOR = (
    1.5  # even slices of a quota let in while the counter is silent; the design's two overshoots
)
IN_FLIGHT_MARGIN = 0.8  # hops under a cap; the others' are known in the mean only, and a wait costs little


class CounterBreaker:
    """The counter as this limiter sees it: a breaker for a silent one, a pace for a crowded one, as, asked
    for more than it can count, it tells nobody anything (guards also against one that loses answers)."""

    probe_interval_us = PROBE_INTERVAL_US

    def __init__(self, there: bool) -> None:
        self.is_available, self.consecutive_timeouts, self.next_probe_us, self.backed_off_us = there, 0, 0, 0
        self.call_budget = TokenBucket(0, MAX_CALL_RATE, MAX_CALL_RATE * CALL_BURST_S, 1.0)

    def try_acquire_call(self, now: int) -> bool:
        """Whether a call may go out now; with the breaker open, one a while does."""
        calls = self.call_budget.read(now)
        if not self.is_available or (
            calls < 1 if self.consecutive_timeouts < MAX_CONSECUTIVE_TIMEOUTS else now < self.next_probe_us
        ):
            return False
        self.call_budget.set_level(now, calls - 1)
        self.next_probe_us = now + self.probe_interval_us
        return True

    def record_reply(self, now: int, tally: CounterOutcome, sent: int) -> None:
        calls, (share, more) = self.call_budget, CALL_RATE_INCREASE
        calls.set_level(now, calls.read(now))
        if tally is CounterOutcome.ADDED:
            self.consecutive_timeouts, calls.rate_per_s = (
                0,
                min(MAX_CALL_RATE, calls.rate_per_s * (1 + share) + more),
            )
        elif sent > self.backed_off_us:  # those that were out together tell one thing
            self.consecutive_timeouts, self.backed_off_us, calls.rate_per_s = (
                self.consecutive_timeouts + 1,
                now,
                calls.rate_per_s * CALL_RATE_DECREASE,
            )
        calls.burst = max(1.0, calls.rate_per_s * CALL_BURST_S)


class PendingOperation:
    """An operation that waits for its account's call; `let_in` is the call's word, None for silence."""

    def __init__(self, operation: Operation) -> None:
        self.operation, self.is_resolved, self.is_admitted, self.is_counted = operation, False, None, False


class Account:
    """One customer: what is known of its count, the lease, the local slice, ceiling share, open hops."""

    lease_duration_us = LEASE_DURATION_US

    def __init__(self, clock: Clock, counter: CounterBreaker, first: Operation, started: int) -> None:
        now, plan, self.gateway_count = clock.now_us, first.plan, first.gateway_count
        self.clock, self.counter_breaker, self.plan, self.customer = clock, counter, plan, first.customer
        # What is taken counts 1/e after the time the store takes to fill, on the counter too.
        self.decay_us = max(SECOND, int(plan.burst / plan.rate * SECOND)) if plan.rate > 0 else SECOND
        self._reset(now, plan)
        share = LOCAL_SHARE_FACTOR / self.gateway_count
        self.local_bucket = TokenBucket(now, plan.rate * share, plan.burst * share, plan.burst * share)
        # Split evenly, and empty when this limiter starts, whatever an earlier life spent (guards rule 5).
        rate, burst = plan.rate_limit_per_s / self.gateway_count, plan.rate_limit_burst / self.gateway_count
        if rate > 0:
            self.rate_limit_bucket = TokenBucket(started, rate, burst, 0.0)

    def _reset(self, now: int, plan: Plan) -> None:
        self.bucket = TokenBucket(
            now, plan.rate, plan.burst, plan.burst
        )  # the quota's, as the totals tell it
        self.epoch_us = min(MAX_EPOCH_US, MAX_EPOCH_DECAYS * self.decay_us)  # us that an epoch lasts
        self.counter_id, self.epoch, self.last_read_us, self.leased_units, self.lease_expires_us = (
            0,
            -1,
            0,
            0.0,
            0,
        )
        # The count as read; our part of it; what is to be added to it; what of our part is to be put back.
        self.total_use, self.own_use, self.unreported, self.to_restore = (
            DecayingSum(self.decay_us) for _ in range(4)
        )
        self.rate_limit_bucket = TokenBucket(0, 0.0, math.inf, math.inf)
        self.in_flight, self.is_calling, self.last_used_us = 0, False, now
        self.pending: list[PendingOperation] = []

    def has_capacity(self, units: float, lasts: float) -> bool:
        """Whether the cap on open hops leaves a slot, beside what the others likely have out by their use."""
        now = self.clock.now_us
        others = max(0.0, self.total_use.read(now) - self.own_use.read(now)) * lasts / self.decay_us / units
        return (
            not self.plan.max_in_flight
            or self.in_flight + others < self.plan.max_in_flight - IN_FLIGHT_MARGIN
        )

    def is_expired(self, now: int) -> bool:
        """Whether nothing is lost with it, as the counter has forgotten it too (guards memory)."""
        out = (
            self.in_flight
            or self.pending
            or self.is_calling
            or self.rate_limit_bucket.read(now) < self.rate_limit_bucket.burst
        )
        return (
            not out
            and now - self.last_used_us > COUNTER_TTL_US
            and self.total_use.read(now) < 0.01 * self.plan.burst
        )

    def admit(self, op: Operation) -> Generator:
        """Let the operation in (None), or tell how long until there may be room for it."""
        now, units = self.clock.now_us, op.units
        if self.rate_limit_bucket.read(now) < units:
            return self.rate_limit_bucket.wait_us(now, units)
        if self.plan.rate <= 0:
            return self.consume(now, units)
        if self.lease_expires_us <= now and self.leased_units:
            self.unreported.add(now, -self.leased_units)  # the next call gives the leftover back
            self.leased_units = 0.0
        if self.leased_units >= units:
            self.leased_units -= units
            return self.consume(now, units)
        if self.bucket.read(now) < units:
            return self.bucket.wait_us(now, units)  # a cached refusal, until the refill that was computed
        if not self.may_wait_for_counter(now):
            return self.admit_locally(now, units)
        waiting = PendingOperation(op)
        self.pending.append(waiting)
        if not self.is_calling:
            self.is_calling = True
            yield Spawn(self.run_counter_calls())
        while not waiting.is_resolved:
            word = yield Sleep(op.deadline_us - RESPONSE_MARGIN_US)
            if word is not WakeReason.RESUMED and not waiting.is_resolved:
                self.pending.remove(waiting)
                return 0  # the client has left, or is about to
        now = self.clock.now_us
        if waiting.is_admitted is None:
            # A silent call was mostly counted: it goes in, or is taken back (guards against counting twice).
            return self.admit_locally(now, units, waiting.is_counted)
        if not waiting.is_admitted:
            return self.bucket.wait_us(now, units)
        if self.rate_limit_bucket.read(now) < units:
            self.unreported.add(now, -units)
            return self.rate_limit_bucket.wait_us(now, units)
        return self.consume(now, units)

    def may_wait_for_counter(self, now: int) -> bool:
        """Whether an operation waits for the counter's word: a call is out, or may go out now."""
        return self.is_calling or self.counter_breaker.try_acquire_call(now)

    def consume(self, now: int, units: float, alone: bool = False) -> None:
        level = self.local_bucket.read(now) - units
        self.local_bucket.set_level(now, level if alone else max(0.0, level))
        self.rate_limit_bucket.set_level(now, self.rate_limit_bucket.read(now) - units)

    def admit_locally(self, now: int, units: float, counted: bool = False) -> int | None:
        """No word from the counter: the local slice decides, and the count is told later."""
        # A full slice lets in any one, and owes the rest (guards calm customers of very many limiters).
        needs, room, rate = (
            min(units, self.local_bucket.burst),
            self.local_bucket.read(now),
            self.local_bucket.rate_per_s,
        )
        if self.last_read_us and self.counter_breaker.consecutive_timeouts < MAX_CONSECUTIVE_TIMEOUTS:
            # It is crowded, not gone: what it told of late, with the others' use as it was, says more.
            count, own = max(self.total_use.read(now), 1e-9), self.own_use.read(now)
            share = min(1.0, LOCAL_SHARE_FACTOR * max(1 / self.gateway_count, own / count))
            needs, rate = min(units, self.plan.burst * share), self.plan.rate * share
            room = min(
                self.plan.burst, self.unclamped_level(now) - self.estimated_use_of_others(now)
            ) * share - self.unreported.read(now)
        let_in = room >= needs
        if let_in != counted and self.counter_breaker.is_available:
            self.unreported.add(now, units if let_in else -units)
        return self.consume(now, units, alone=True) if let_in else math.ceil((needs - room) / rate * SECOND)

    def unclamped_level(self, now: int) -> float:
        return self.bucket.level + self.plan.rate * (now - self.bucket.updated_us) / SECOND

    def estimated_use_of_others(self, now: int) -> float:
        """What the others take since the last look, at the pace that the count told of then."""
        lives = (now - self.last_read_us) / self.decay_us if self.last_read_us else 0.0
        return (
            max(0.0, self.total_use.read(now) - self.own_use.read(now))
            * math.exp(min(MAX_EPOCH_DECAYS, lives))
            * lives
        )

    def run_counter_calls(self) -> Generator:
        """One call at a time; all that arrive meanwhile share it."""
        while self.pending:
            units = self.pending[0].operation.units
            room = self.bucket.read(self.clock.now_us) if self.epoch >= 0 else 0.0
            want = min(MAX_LEASE_OPERATIONS, max(1, int(room / (2 * self.gateway_count * units)))) * units
            answer = yield from self.add_to_counter(want)
            now = self.clock.now_us
            if answer is not CounterOutcome.ADDED:
                if answer is CounterOutcome.TIMED_OUT:
                    self.unreported.add(now, units - want)
                for waiting in self.pending:
                    waiting.is_resolved, waiting.is_counted = (
                        True,
                        answer is CounterOutcome.TIMED_OUT and waiting is self.pending[0],
                    )
                    yield Resume(waiting.operation)
                self.pending.clear()
                break
            short = min(want, max(0.0, -self.bucket.level))
            granted = want - short
            while self.pending and self.pending[0].operation.units <= granted:
                waiting = self.pending.pop(0)
                granted -= waiting.operation.units
                waiting.is_resolved = waiting.is_admitted = True
                yield Resume(waiting.operation)
            if short:
                self.bucket.level += short
                while self.pending and self.pending[0].operation.units > self.bucket.read(now):
                    waiting = self.pending.pop(0)
                    waiting.is_resolved, waiting.is_admitted = True, False
                    yield Resume(waiting.operation)
                self.bucket.level -= short
                yield from self.add_to_counter(-short - granted)
            elif granted:
                self.leased_units, self.lease_expires_us = (
                    self.leased_units + granted,
                    now + self.lease_duration_us,
                )
        self.is_calling = False

    def add_to_counter(self, units: float) -> Generator:
        """Add to the count, with what is owed, and bring the store up to date from the total."""
        now = self.clock.now_us
        if now // self.epoch_us != self.epoch:
            self.epoch = now // self.epoch_us
            digest = blake2b(f"{self.customer} {self.epoch}".encode(), digest_size=8).digest()
            self.counter_id = int.from_bytes(digest, "big") >> 1
            self.to_restore.add(
                now, self.own_use.read(now) - self.to_restore.read(now)
            )  # each puts its own part back
        # What is put back was taken before, and is no new use; what is owed is new to all.
        new, back = units + self.unreported.read(now), self.to_restore.read(now)
        self.unreported.value = self.to_restore.value = 0.0
        started, sent = self.epoch * self.epoch_us, now
        got: CounterReply = yield AddToCounter(
            self.counter_id, (new + back) * math.exp((sent - started) / self.decay_us), COUNTER_TTL_US
        )
        now = self.clock.now_us
        self.counter_breaker.record_reply(now, got.outcome, sent)
        if got.outcome is CounterOutcome.REJECTED:
            self.unreported.add(now, new - units)
            self.to_restore.add(now, back)
            return got.outcome
        new, back = (each * math.exp((sent - now) / self.decay_us) for each in (new, back))
        # A silent call was mostly counted: what it carried is taken, and what we know holds.
        before, level = self.total_use.read(now), self.unclamped_level(now)
        if got.outcome is CounterOutcome.ADDED:
            known, before = before, got.total * math.exp((started - now) / self.decay_us) - new
            if before < 0.99 * self.own_use.read(now) - 0.1:
                started = now  # the count was emptied, but for this
                self.to_restore.add(now, self.own_use.read(now) - back)
            # Of the others' use since our last look a part is forgotten: taken as even it was so much more
            # (guards against a leak that grows with the limiters). A count emptied, or not yet put back, says
            # less than we know: then they went on as before. A store surely holds what the count leaves.
            lives = (now - self.last_read_us) / self.decay_us if self.last_read_us else 0.0
            forgot = lives / -math.expm1(-lives) if lives > 0 else 1.0
            others = (before - known) * forgot
            if before < known:
                others = self.estimated_use_of_others(now) if self.last_read_us < started else 0.0
                before = known + others / forgot
            level, self.last_read_us = max(level - others, self.plan.burst - before), now
        self.bucket.set_level(now, min(self.plan.burst, level) - new)
        self.total_use.value = before + new
        self.own_use.add(now, new)
        return got.outcome
