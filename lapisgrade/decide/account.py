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
from lapisgrade.sums import SECOND, Bucket, Decaying

EPOCH = 30 * SECOND  # us a count's name lives for; short of the counter's longest life, and seldom renewed
GROWTH = 15  # lives that an epoch lasts at most; amounts grow e-fold in each, and the counter takes up to 1e9
NAME_LIFE = 45 * SECOND  # us; outlives its epoch, so that a limiter that is late still finds the name
END_MARGIN = 6_000  # us before the hard stop; a few rounds of the host's clock
LEASE_MOST = 50  # operations; the design's cap
SILENT_CALLS = 3  # unanswered calls in a row that open the breaker; the design's
LEASE_LIFE = KNOCK_EVERY = SECOND  # us; a lease's life, and between calls of an open breaker; the design's
CALLS_MOST = 200.0  # calls a second that one limiter starts with, and never passes: one for each operation
CALLS_MORE = 0.03, 0.5  # of that pace, and calls a second, that an answered call adds to it
CALLS_LESS = 0.7  # of the pace that unanswered ones leave: one in five or so is then unanswered in a crowd
CALLS_AT_ONCE = 0.05  # s of the pace that may go out together; a counter's time-out or two
SLICE = 1.5  # even slices of a quota let in while the counter is silent; the design's two overshoots
OPEN_DOUBT = 0.8  # hops under a cap; the others' are known in the mean only, and a wait costs little


class Counter:
    """The counter as this limiter sees it: a breaker for a silent one, a pace for a crowded one, as, asked
    for more than it can count, it tells nobody anything (guards also against one that loses answers)."""

    knock_every = KNOCK_EVERY

    def __init__(self, there: bool) -> None:
        self.there, self.silent, self.knock_at, self.eased = there, 0, 0, 0
        self.calls = Bucket(0, CALLS_MOST, CALLS_MOST * CALLS_AT_ONCE, 1.0)

    def asks(self, now: int) -> bool:
        """Whether a call may go out now; with the breaker open, one a while does."""
        calls = self.calls.read(now)
        if not self.there or (calls < 1 if self.silent < SILENT_CALLS else now < self.knock_at):
            return False
        self.calls.put(now, calls - 1)
        self.knock_at = now + self.knock_every
        return True

    def heard(self, now: int, tally: CounterOutcome, sent: int) -> None:
        calls, (share, more) = self.calls, CALLS_MORE
        calls.put(now, calls.read(now))
        if tally is CounterOutcome.ADDED:
            self.silent, calls.rate = 0, min(CALLS_MOST, calls.rate * (1 + share) + more)
        elif sent > self.eased:  # those that were out together tell one thing
            self.silent, self.eased, calls.rate = self.silent + 1, now, calls.rate * CALLS_LESS
        calls.burst = max(1.0, calls.rate * CALLS_AT_ONCE)


class Waiting:
    """An operation that waits for its account's call; `let_in` is the call's word, None for silence."""

    def __init__(self, operation: Operation) -> None:
        self.operation, self.done, self.let_in, self.counted = operation, False, None, False


class Account:
    """One customer: what is known of its count, the lease, the local slice, ceiling share, open hops."""

    lease_life = LEASE_LIFE

    def __init__(self, clock: Clock, counter: Counter, first: Operation, started: int) -> None:
        now, plan, self.gateways = clock.now_us, first.plan, first.gateway_count
        self.clock, self.counter, self.plan, self.customer = clock, counter, plan, first.customer
        # What is taken counts 1/e after the time the store takes to fill, on the counter too.
        self.life = max(SECOND, int(plan.burst / plan.rate * SECOND)) if plan.rate > 0 else SECOND
        self._begin(now, plan)
        share = SLICE / self.gateways
        self.slice = Bucket(now, plan.rate * share, plan.burst * share, plan.burst * share)
        # Split evenly, and empty when this limiter starts, whatever an earlier life spent (guards rule 5).
        rate, burst = plan.rate_limit_per_s / self.gateways, plan.rate_limit_burst / self.gateways
        if rate > 0:
            self.ceiling = Bucket(started, rate, burst, 0.0)

    def _begin(self, now: int, plan: Plan) -> None:
        self.store = Bucket(now, plan.rate, plan.burst, plan.burst)  # the quota's, as the totals tell it
        self.lasts = min(EPOCH, GROWTH * self.life)  # us that an epoch lasts
        self.name, self.epoch, self.looked, self.lease, self.lease_ends = 0, -1, 0, 0.0, 0
        # The count as read; our part of it; what is to be added to it; what of our part is to be put back.
        self.count, self.own, self.owed, self.back = (Decaying(self.life) for _ in range(4))
        self.ceiling = Bucket(0, 0.0, math.inf, math.inf)
        self.open, self.calling, self.used = 0, False, now
        self.queue: list[Waiting] = []

    def slot(self, units: float, lasts: float) -> bool:
        """Whether the cap on open hops leaves a slot, beside what the others likely have out by their use."""
        now = self.clock.now_us
        others = max(0.0, self.count.read(now) - self.own.read(now)) * lasts / self.life / units
        return not self.plan.max_in_flight or self.open + others < self.plan.max_in_flight - OPEN_DOUBT

    def spent(self, now: int) -> bool:
        """Whether nothing is lost with it, as the counter has forgotten it too (guards memory)."""
        out = self.open or self.queue or self.calling or self.ceiling.read(now) < self.ceiling.burst
        return not out and now - self.used > NAME_LIFE and self.count.read(now) < 0.01 * self.plan.burst

    def admit(self, op: Operation) -> Generator:
        """Let the operation in (None), or tell how long until there may be room for it."""
        now, units = self.clock.now_us, op.units
        if self.ceiling.read(now) < units:
            return self.ceiling.wait(now, units)
        if self.plan.rate <= 0:
            return self.take(now, units)
        if self.lease_ends <= now and self.lease:
            self.owed.add(now, -self.lease)  # the next call gives the leftover back
            self.lease = 0.0
        if self.lease >= units:
            self.lease -= units
            return self.take(now, units)
        if self.store.read(now) < units:
            return self.store.wait(now, units)  # a cached refusal, until the refill that was computed
        if not self.waits(now):
            return self.alone(now, units)
        waiting = Waiting(op)
        self.queue.append(waiting)
        if not self.calling:
            self.calling = True
            yield Spawn(self.call())
        while not waiting.done:
            word = yield Sleep(op.deadline_us - END_MARGIN)
            if word is not WakeReason.RESUMED and not waiting.done:
                self.queue.remove(waiting)
                return 0  # the client has left, or is about to
        now = self.clock.now_us
        if waiting.let_in is None:
            # A silent call was mostly counted: it goes in, or is taken back (guards against counting twice).
            return self.alone(now, units, waiting.counted)
        if not waiting.let_in:
            return self.store.wait(now, units)
        if self.ceiling.read(now) < units:
            self.owed.add(now, -units)
            return self.ceiling.wait(now, units)
        return self.take(now, units)

    def waits(self, now: int) -> bool:
        """Whether an operation waits for the counter's word: a call is out, or may go out now."""
        return self.calling or self.counter.asks(now)

    def take(self, now: int, units: float, alone: bool = False) -> None:
        level = self.slice.read(now) - units
        self.slice.put(now, level if alone else max(0.0, level))
        self.ceiling.put(now, self.ceiling.read(now) - units)

    def alone(self, now: int, units: float, counted: bool = False) -> int | None:
        """No word from the counter: the local slice decides, and the count is told later."""
        # A full slice lets in any one, and owes the rest (guards calm customers of very many limiters).
        needs, room, rate = min(units, self.slice.burst), self.slice.read(now), self.slice.rate
        if self.looked and self.counter.silent < SILENT_CALLS:
            # It is crowded, not gone: what it told of late, with the others' use as it was, says more.
            count, own = max(self.count.read(now), 1e-9), self.own.read(now)
            share = min(1.0, SLICE * max(1 / self.gateways, own / count))
            needs, rate = min(units, self.plan.burst * share), self.plan.rate * share
            room = min(self.plan.burst, self.filled(now) - self.went_on(now)) * share - self.owed.read(now)
        let_in = room >= needs
        if let_in != counted and self.counter.there:
            self.owed.add(now, units if let_in else -units)
        return self.take(now, units, alone=True) if let_in else math.ceil((needs - room) / rate * SECOND)

    def filled(self, now: int) -> float:
        return self.store.level + self.plan.rate * (now - self.store.at) / SECOND

    def went_on(self, now: int) -> float:
        """What the others take since the last look, at the pace that the count told of then."""
        lives = (now - self.looked) / self.life if self.looked else 0.0
        return max(0.0, self.count.read(now) - self.own.read(now)) * math.exp(min(GROWTH, lives)) * lives

    def call(self) -> Generator:
        """One call at a time; all that arrive meanwhile share it."""
        while self.queue:
            units = self.queue[0].operation.units
            room = self.store.read(self.clock.now_us) if self.epoch >= 0 else 0.0
            want = min(LEASE_MOST, max(1, int(room / (2 * self.gateways * units)))) * units
            answer = yield from self.add(want)
            now = self.clock.now_us
            if answer is not CounterOutcome.ADDED:
                if answer is CounterOutcome.TIMED_OUT:
                    self.owed.add(now, units - want)
                for waiting in self.queue:
                    waiting.done, waiting.counted = (
                        True,
                        answer is CounterOutcome.TIMED_OUT and waiting is self.queue[0],
                    )
                    yield Resume(waiting.operation)
                self.queue.clear()
                break
            short = min(want, max(0.0, -self.store.level))
            granted = want - short
            while self.queue and self.queue[0].operation.units <= granted:
                waiting = self.queue.pop(0)
                granted -= waiting.operation.units
                waiting.done = waiting.let_in = True
                yield Resume(waiting.operation)
            if short:
                self.store.level += short
                while self.queue and self.queue[0].operation.units > self.store.read(now):
                    waiting = self.queue.pop(0)
                    waiting.done, waiting.let_in = True, False
                    yield Resume(waiting.operation)
                self.store.level -= short
                yield from self.add(-short - granted)
            elif granted:
                self.lease, self.lease_ends = self.lease + granted, now + self.lease_life
        self.calling = False

    def add(self, units: float) -> Generator:
        """Add to the count, with what is owed, and bring the store up to date from the total."""
        now = self.clock.now_us
        if now // self.lasts != self.epoch:
            self.epoch = now // self.lasts
            digest = blake2b(f"{self.customer} {self.epoch}".encode(), digest_size=8).digest()
            self.name = int.from_bytes(digest, "big") >> 1
            self.back.add(now, self.own.read(now) - self.back.read(now))  # each puts its own part back
        # What is put back was taken before, and is no new use; what is owed is new to all.
        new, back = units + self.owed.read(now), self.back.read(now)
        self.owed.value = self.back.value = 0.0
        started, sent = self.epoch * self.lasts, now
        got: CounterReply = yield AddToCounter(
            self.name, (new + back) * math.exp((sent - started) / self.life), NAME_LIFE
        )
        now = self.clock.now_us
        self.counter.heard(now, got.outcome, sent)
        if got.outcome is CounterOutcome.REJECTED:
            self.owed.add(now, new - units)
            self.back.add(now, back)
            return got.outcome
        new, back = (each * math.exp((sent - now) / self.life) for each in (new, back))
        # A silent call was mostly counted: what it carried is taken, and what we know holds.
        before, level = self.count.read(now), self.filled(now)
        if got.outcome is CounterOutcome.ADDED:
            known, before = before, got.total * math.exp((started - now) / self.life) - new
            if before < 0.99 * self.own.read(now) - 0.1:
                started = now  # the count was emptied, but for this
                self.back.add(now, self.own.read(now) - back)
            # Of the others' use since our last look a part is forgotten: taken as even it was so much more
            # (guards against a leak that grows with the limiters). A count emptied, or not yet put back, says
            # less than we know: then they went on as before. A store surely holds what the count leaves.
            lives = (now - self.looked) / self.life if self.looked else 0.0
            forgot = lives / -math.expm1(-lives) if lives > 0 else 1.0
            others = (before - known) * forgot
            if before < known:
                others = self.went_on(now) if self.looked < started else 0.0
                before = known + others / forgot
            level, self.looked = max(level - others, self.plan.burst - before), now
        self.store.put(now, min(self.plan.burst, level) - new)
        self.count.value = before + new
        self.own.add(now, new)
        return got.outcome
