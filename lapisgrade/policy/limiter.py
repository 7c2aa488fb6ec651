"""The door: takes operations, and decides on each until its one final answer."""

from collections.abc import Callable, Generator
from random import Random

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
from lapisgrade.policy.account import RESPONSE_MARGIN_US, Account, CounterBreaker
from lapisgrade.policy.fleet import (
    LATENCY_DECAY_US,
    LOAD_SHEDDING_THRESHOLD,
    Attempt,
    ObservedServer,
    ServerPool,
)
from lapisgrade.rate import SECOND, DecayingSum

OVERDUE_DEVIATIONS = 3.0  # deviations above the mean that a hop may last before another is tried
MAX_QUEUE_RATIO = 0.25  # of the quoted time that an operation may wait at the door for room or a slot
QUEUE_POLL_US = 10_000  # us between looks for room, while held at the door


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
        self.clock, self.permissions, self.started_us = clock, leave, clock.now_us
        self.counter_breaker = CounterBreaker(desk.is_available)
        self.accounts: dict[str, Account] = {}
        self.random = Random(seed)  # the one source of chance, for the host as well
        self.server_pool = ServerPool(clock, self.random, post, duties, categories)
        self.update_servers, self.queue_length = (
            self.server_pool.update,
            0,
        )  # held: operations waiting at the door
        self._value, self._valued = DecayingSum(LATENCY_DECAY_US), DecayingSum(LATENCY_DECAY_US)

    def on_attempt_finished(self, hop: Attempt, report: AttemptResult) -> None:
        account = self.account(hop.operation)
        account.in_flight -= 1
        if report.settled_units:  # settled afterwards
            account.unreported.add(self.clock.now_us, report.settled_units - hop.operation.units)
        self.server_pool.on_attempt_finished(hop, report)

    def account(self, op: Operation) -> Account:
        accounts, now = self.accounts, self.clock.now_us
        account = accounts.pop(op.customer, None) or Account(
            self.clock, self.counter_breaker, op, self.started_us
        )
        accounts[op.customer], account.last_used_us = account, now
        oldest = next(iter(accounts.values()))  # the one not used for longest; each new one may push one out
        if oldest.is_expired(now):
            del accounts[oldest.customer]
        return account

    def handle(self, op: Operation) -> Generator:
        account = self.account(op)
        if not (yield from self._wait_for_capacity(op, account)):
            return (yield from self._reject(op, self.server_pool.usual_latency_us(op.category)))
        wait = yield from account.admit(op)
        if op.is_abandoned or (wait is not None and not self._admit_overage(op, account)):
            return (yield from self._reject(op, wait))
        # The call has just told what the others let in: under a cap on open hops, look again.
        if not (
            yield from self._wait_until(
                op, lambda: account.has_capacity(op.units, self.server_pool.usual_latency_us(op.category))
            )
        ):
            account.unreported.add(self.clock.now_us, -op.units)
            return (yield from self._reject(op, self.server_pool.usual_latency_us(op.category)))
        yield from self.serve(op, account)

    def _wait_for_capacity(self, op: Operation, account: Account) -> Generator:
        """Hold the operation at the door, for a while, until there is room: the cheapest wait for most."""
        now, fleet = self.clock.now_us, self.server_pool
        value = op.category.value * op.plan.value_factor * op.units / fleet.expected_latency_us(op)
        self._value.add(now, value)
        self._valued.add(now, 1)
        worth = min(1.0, value * self._valued.read(now) / self._value.read(now))
        full = LOAD_SHEDDING_THRESHOLD + (1 - LOAD_SHEDDING_THRESHOLD) * worth
        usual = fleet.usual_latency_us

        def has_room() -> bool:
            return fleet.utilization() < full and account.has_capacity(op.units, usual(op.category))

        return (yield from self._wait_until(op, has_room))

    def _wait_until(self, op: Operation, ready: Callable[[], bool]) -> Generator:
        """Wait at the door until it is ready, or too late, or too many wait already."""
        latest = min(
            self.clock.now_us + int(MAX_QUEUE_RATIO * op.category.latency_target_us),
            op.deadline_us - RESPONSE_MARGIN_US,
        )
        held, room, usual = False, False, self.server_pool.usual_latency_us(op.category)
        while not op.is_abandoned:
            now, room = self.clock.now_us, ready()
            # So many that are held leave, one by one, before the latest; more would wait in vain.
            if (
                room
                or now >= latest
                or (not held and self.queue_length * usual >= self.server_pool.limit * (latest - now))
            ):
                break
            self.queue_length += not held
            held = True
            yield Sleep(min(now + QUEUE_POLL_US, latest))
        self.queue_length -= held
        return room

    def _admit_overage(self, op: Operation, account: Account) -> bool:
        """Beyond the quota: let in where that earns more than it costs and servers have room."""
        now, pays = self.clock.now_us, op.plan.overage_value > op.plan.overage_cost
        if (
            pays := pays
            and self.server_pool.utilization() <= LOAD_SHEDDING_THRESHOLD / 2
            and account.rate_limit_bucket.read(now) >= op.units
        ):
            account.consume(now, op.units)
        return pays

    def _reject(self, op: Operation, wait: float | None) -> Generator:
        if not op.is_abandoned:
            yield Reject(RejectReason.RETRY_LATER, min(self.permissions.max_retry_after_us, int(wait)))

    def serve(self, op: Operation, account: Account) -> Generator:
        """Hops until one finishes the operation or none may follow."""
        category, fleet = op.category, self.server_pool
        stop, late = op.deadline_us - RESPONSE_MARGIN_US, op.arrived_us + category.latency_target_us
        hops, ran = [], []  # all hops; those that may have run, or may still

        def allowed(server: ObservedServer) -> bool:
            """Rule 2: where a further hop may go."""
            if not ran or category.repeat_safety is RepeatSafety.IDEMPOTENT:
                return True
            if category.repeat_safety is RepeatSafety.NON_IDEMPOTENT:
                return False
            first = ran[0]
            if self.clock.now_us + RESPONSE_MARGIN_US >= first.sent_us + category.deduplication_window_us:
                return False
            was, entry = first.server.endpoint, server.endpoint
            if category.deduplication_scope is DeduplicationScope.ALL or was is None:
                return category.deduplication_scope is DeduplicationScope.ALL or server is first.server
            return (
                was.zone == entry.zone
                if category.deduplication_scope is DeduplicationScope.ZONE
                else was.cell == entry.cell
            )

        while True:
            now = self.clock.now_us
            out = [hop for hop in hops if hop.is_in_flight]
            more = len(hops) < self.permissions.max_attempts and (not out or self.permissions.may_hedge)
            more = more and now < (min(stop, late) if hops else stop)
            server = fleet.choose(op, [hop.server for hop in hops], allowed) if more else None
            if server is None and not out:
                break
            if server is not None:
                hop = Attempt(op, server, len(hops), now)
                hops.append(hop)
                ran.append(hop)
                account.in_flight += 1
                fleet.on_attempt_started(hop)
                yield Send(hop)
            patience = int(
                fleet.expected_latency_us(op)
                + OVERDUE_DEVIATIONS * fleet.latencies[category.name].deviation(now)
            )
            again = (
                now + patience if server is not None and len(hops) < self.permissions.max_attempts else stop
            )
            while True:
                word = yield Sleep(min(again, stop))
                if word is WakeReason.CLIENT_GONE:
                    return (yield from self._cancel_all(hops))
                if word is WakeReason.RESPONSE_STARTED:
                    stop = again = self.clock.now_us + 3600 * SECOND
                    continue
                if word is WakeReason.TIMER:
                    now = self.clock.now_us
                    if now >= stop:
                        yield Reject(RejectReason.FAILED)
                        return (yield from self._cancel_all(hops))
                    if (
                        category.repeat_safety is RepeatSafety.NON_IDEMPOTENT
                        or now >= late
                        or not self.permissions.may_cancel
                    ):
                        again = stop
                    elif (
                        fleet.utilization() > LOAD_SHEDDING_THRESHOLD
                    ):  # a copy now would only lengthen the queues
                        again = now + patience
                    elif self.permissions.may_hedge:
                        break
                    else:
                        yield from self._cancel_all(hops)
                        again = stop
                    continue
                hop, report = word.attempt, word.result
                if report.is_final:
                    return (yield from self._cancel_all(hops))
                if report.outcome.never_ran:
                    ran.remove(hop)
                if not any(each.is_in_flight for each in hops):
                    break
        safe = not ran or category.repeat_safety is RepeatSafety.IDEMPOTENT
        if safe or (
            category.repeat_safety is RepeatSafety.DEDUPLICATED
            and category.deduplication_scope is DeduplicationScope.ALL
        ):
            yield from self._reject(op, fleet.usual_latency_us(category))
        else:
            yield Reject(RejectReason.FAILED)

    def _cancel_all(self, hops: list[Attempt]) -> Generator:
        for hop in hops:
            if hop.is_in_flight and self.permissions.may_cancel:
                yield Cancel(hop)
