"""The door: takes operations, and decides on each until its one final answer."""

from collections.abc import Callable, Generator
from random import Random

from lapisgrade.decide.account import END_MARGIN, Account, Counter
from lapisgrade.decide.fleet import PACE_LIFE, SHED_FROM, Attempt, Fleet, Server
from lapisgrade.interface import (
    AttemptResult,
    Cancel,
    Category,
    Clock,
    CounterSettings,
    DeduplicationScope,
    Operation,
    Permissions,
    Placement,
    Reject,
    RejectReason,
    RepeatSafety,
    Send,
    ServerRules,
    Sleep,
    WakeReason,
)  # fmt: skip
from lapisgrade.sums import SECOND, Decaying

PATIENCE = 3.0  # deviations above the mean that a hop may last before another is tried
HOLD = 0.25  # of the quoted time that an operation may wait at the door for room or a slot
POLL = 10_000  # us between looks for room, while held at the door


class Limiter:
    """The door: takes operations, and decides on each until its one final answer."""

    def __init__(
        self,
        clock: Clock,
        seed: int,
        post: Placement,
        desk: CounterSettings,
        categories: list[Category],
        duties: ServerRules,
        leave: Permissions,
    ) -> None:
        self.clock, self.leave, self.started = clock, leave, clock.now_us
        self.counter = Counter(desk.is_available)
        self.accounts: dict[str, Account] = {}
        self.random = Random(seed)  # the one source of chance, for the host as well
        self.fleet = Fleet(clock, self.random, post, duties, categories)
        self.listed, self.held = self.fleet.listed, 0  # held: operations waiting at the door
        self.value, self.valued = Decaying(PACE_LIFE), Decaying(PACE_LIFE)

    def landed(self, hop: Attempt, report: AttemptResult) -> None:
        account = self.account(hop.operation)
        account.open -= 1
        if report.settled_units:  # settled afterwards
            account.owed.add(self.clock.now_us, report.settled_units - hop.operation.units)
        self.fleet.landed(hop, report)

    def account(self, op: Operation) -> Account:
        accounts, now = self.accounts, self.clock.now_us
        account = accounts.pop(op.customer, None) or Account(self.clock, self.counter, op, self.started)
        accounts[op.customer], account.used = account, now
        oldest = next(iter(accounts.values()))  # the one not used for longest; each new one may push one out
        if oldest.spent(now):
            del accounts[oldest.customer]
        return account

    def operation(self, op: Operation) -> Generator:
        account = self.account(op)
        if not (yield from self.enter(op, account)):
            return (yield from self.turn_back(op, self.fleet.usual(op.category)))
        wait = yield from account.admit(op)
        if op.is_abandoned or (wait is not None and not self.pays_beyond(op, account)):
            return (yield from self.turn_back(op, wait))
        # The call has just told what the others let in: under a cap on open hops, look again.
        if not (yield from self.hold(op, lambda: account.slot(op.units, self.fleet.usual(op.category)))):
            account.owed.add(self.clock.now_us, -op.units)
            return (yield from self.turn_back(op, self.fleet.usual(op.category)))
        yield from self.serve(op, account)

    def enter(self, op: Operation, account: Account) -> Generator:
        """Hold the operation at the door, for a while, until there is room: the cheapest wait for most."""
        now, fleet = self.clock.now_us, self.fleet
        value = op.category.value * op.plan.value_factor * op.units / fleet.expected(op)
        self.value.add(now, value)
        self.valued.add(now, 1)
        worth = min(1.0, value * self.valued.read(now) / self.value.read(now))
        full = SHED_FROM + (1 - SHED_FROM) * worth
        return (yield from self.hold(
            op, lambda: fleet.fullness() < full and account.slot(op.units, fleet.usual(op.category))
        ))  # fmt: skip

    def hold(self, op: Operation, ready: Callable[[], bool]) -> Generator:
        """Wait at the door until it is ready, or too late, or too many wait already."""
        latest = min(
            self.clock.now_us + int(HOLD * op.category.latency_target_us), op.deadline_us - END_MARGIN
        )
        held, room, usual = False, False, self.fleet.usual(op.category)
        while not op.is_abandoned:
            now, room = self.clock.now_us, ready()
            # So many that are held leave, one by one, before the latest; more would wait in vain.
            if room or now >= latest or (not held and self.held * usual >= self.fleet.bound * (latest - now)):
                break
            self.held += not held
            held = True
            yield Sleep(min(now + POLL, latest))
        self.held -= held
        return room

    def pays_beyond(self, op: Operation, account: Account) -> bool:
        """Beyond the quota: let in where that earns more than it costs and servers have room."""
        now, pays = self.clock.now_us, op.plan.overage_value > op.plan.overage_cost
        if pays := pays and self.fleet.fullness() <= SHED_FROM / 2 and account.ceiling.read(now) >= op.units:
            account.take(now, op.units)
        return pays

    def turn_back(self, op: Operation, wait: float | None) -> Generator:
        if not op.is_abandoned:
            yield Reject(RejectReason.RETRY_LATER, min(self.leave.max_retry_after_us, int(wait)))

    def serve(self, op: Operation, account: Account) -> Generator:
        """Hops until one finishes the operation or none may follow."""
        category, fleet = op.category, self.fleet
        stop, late = op.deadline_us - END_MARGIN, op.arrived_us + category.latency_target_us
        hops, ran = [], []  # all hops; those that may have run, or may still

        def allowed(server: Server) -> bool:
            """Rule 2: where a further hop may go."""
            if not ran or category.repeat_safety is RepeatSafety.IDEMPOTENT:
                return True
            if category.repeat_safety is RepeatSafety.NON_IDEMPOTENT:
                return False
            first = ran[0]
            if self.clock.now_us + END_MARGIN >= first.sent + category.deduplication_window_us:
                return False
            was, entry = first.server.entry, server.entry
            if category.deduplication_scope is DeduplicationScope.ALL or was is None:
                return category.deduplication_scope is DeduplicationScope.ALL or server is first.server
            return (
                was.zone == entry.zone
                if category.deduplication_scope is DeduplicationScope.ZONE
                else was.cell == entry.cell
            )

        while True:
            now = self.clock.now_us
            out = [hop for hop in hops if hop.out]
            more = len(hops) < self.leave.max_attempts and (not out or self.leave.may_hedge)
            more = more and now < (min(stop, late) if hops else stop)
            server = fleet.draw(op, [hop.server for hop in hops], allowed) if more else None
            if server is None and not out:
                break
            if server is not None:
                hop = Attempt(op, server, len(hops), now)
                hops.append(hop)
                ran.append(hop)
                account.open += 1
                fleet.sent(hop)
                yield Send(hop)
            patience = int(fleet.expected(op) + PATIENCE * fleet.paces[category.name].deviation(now))
            again = now + patience if server is not None and len(hops) < self.leave.max_attempts else stop
            while True:
                word = yield Sleep(min(again, stop))
                if word is WakeReason.CLIENT_GONE:
                    return (yield from self.call_off(hops))
                if word is WakeReason.RESPONSE_STARTED:
                    stop = again = self.clock.now_us + 3600 * SECOND
                    continue
                if word is WakeReason.TIMER:
                    now = self.clock.now_us
                    if now >= stop:
                        yield Reject(RejectReason.FAILED)
                        return (yield from self.call_off(hops))
                    if (
                        category.repeat_safety is RepeatSafety.NON_IDEMPOTENT
                        or now >= late
                        or not self.leave.may_cancel
                    ):
                        again = stop
                    elif fleet.fullness() > SHED_FROM:  # a copy now would only lengthen the queues
                        again = now + patience
                    elif self.leave.may_hedge:
                        break
                    else:
                        yield from self.call_off(hops)
                        again = stop
                    continue
                hop, report = word.attempt, word.result
                if report.is_final:
                    return (yield from self.call_off(hops))
                if report.outcome.never_ran:
                    ran.remove(hop)
                if not any(each.out for each in hops):
                    break
        safe = not ran or category.repeat_safety is RepeatSafety.IDEMPOTENT
        if safe or (
            category.repeat_safety is RepeatSafety.DEDUPLICATED
            and category.deduplication_scope is DeduplicationScope.ALL
        ):
            yield from self.turn_back(op, fleet.usual(category))
        else:
            yield Reject(RejectReason.FAILED)

    def call_off(self, hops: list[Attempt]) -> Generator:
        for hop in hops:
            if hop.out and self.leave.may_cancel:
                yield Cancel(hop)
