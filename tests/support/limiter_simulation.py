"""Real limiters among simulated clients, counter and servers, on a clock that the test moves."""

import heapq
from random import Random

from lapisgrade.engine import Engine
from lapisgrade.interface import (
    AttemptOutcome,
    AttemptResult,
    Category,
    Clock,
    CounterOutcome,
    CounterReply,
    CounterSettings,
    DeduplicationScope,
    Operation,
    Permissions,
    Placement,
    Plan,
    RejectReason,
    RepeatSafety,
    ServerEndpoint,
    ServerRules,
    ServerState,
    WakeReason,
)
from lapisgrade.policy import Limiter

SECOND = 1_000_000


DUTIES = ServerRules(250_000, 15 * SECOND, 0.2, SECOND, 3.0)


CATEGORIES = [
    Category("look", RepeatSafety.IDEMPOTENT, SECOND, 2 * SECOND, 1.0),
    Category(
        "file", RepeatSafety.DEDUPLICATED, 2 * SECOND, 5 * SECOND, 4.0, 0.2, DeduplicationScope.ZONE, 900_000
    ),
    Category("burn", RepeatSafety.NON_IDEMPOTENT, 2 * SECOND, 8 * SECOND, 3.0, 0.2),
]


PLANS = [
    Plan("small", 2.0, 8.0, overage_cost=0.5),
    Plan("capped", 9.0, 20.0, rate_limit_per_s=18.0, rate_limit_burst=40.0, rate_limit_slack=4.0),
    Plan("narrow", 5.0, 10.0, max_in_flight=2),
    Plan("quick", 12.0, 14.0),
]


class World:
    """Clients, counter and servers of chance around real limiters; checks each rule at each step."""

    def __init__(self, seed, limiters=3, servers=6, second_copies=True, chances=(70, 8, 6, 6, 5, 5)):
        self.random, self.now, self.queue, self.order = Random(seed), 7 * SECOND, [], 0
        self.limiters, self.second_copies, self.chances = limiters, second_copies, chances
        self.counts, self.silent, self.lossy, self.gates = {}, False, 0.0, [None] * limiters
        self.entries = {
            f"s{i}": ServerEndpoint(f"s{i}", ServerState.READY, f"z{i % 2}", i % 3, 1.0)
            for i in range(servers)
        }
        self.stores, self.answers, self.ran = {}, [], []
        for i in range(limiters):
            self.start(i)

    def at(self, delay, call, *args):
        self.order += 1
        heapq.heappush(self.queue, (self.now + max(1, int(delay)), self.order, call, args))

    def start(self, i):
        self.gates[i] = Gate(self, i)

    def list(self, **states):
        for name, state in states.items():
            old = self.entries[name]
            started = (
                self.now
                if state is ServerState.READY and old.state is not ServerState.READY
                else old.started_us
            )
            self.entries[name] = ServerEndpoint(name, state, old.zone, old.cell, old.weight, "", started)
            for gate in self.gates:
                gate.told[name] = (state, self.now)
                gate.module.update_servers([self.entries[name]], False)

    def arrive(self, i, category=0, plan=0, customer="c0", units=1, budget=None):
        kind = CATEGORIES[category]
        gate, ends = self.gates[i], self.now + (budget or kind.timeout_us)
        op = Operation(customer, PLANS[plan], kind, units, self.now, ends, self.limiters)
        gate.owed[id(op)] = op
        gate.hops[id(op)] = []
        self.at(ends - self.now + 8_000, gate.overdue, op)
        gate.engine.run(gate.module.handle(op), op)
        return op

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.queue)
            owner = getattr(call, "__self__", None)
            if isinstance(owner, Gate):
                if self.gates[owner.index] is not owner:
                    continue  # of an earlier life
                owner.clock.now_us = self.now
                owner.engine.run_due_timers()
            call(*args)
        self.now = until
        for gate in self.gates:
            gate.clock.now_us = until
            gate.engine.run_due_timers()

    def chance(self):
        """How a hop ends, and when."""
        ends = [
            AttemptOutcome.OK,
            AttemptOutcome.ERROR,
            AttemptOutcome.OVERLOADED,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.CONNECTION_LOST,
            None,
        ]
        outcome = self.random.choices(ends, self.chances)[0]
        return outcome, self.random.expovariate(1 / 120_000) + 1_000


class Gate:
    """One limiter under test, and what the rules say of it."""

    def __init__(self, world, index):
        self.world, self.index, self.clock = world, index, Clock(world.now)
        self.engine = Engine(self, self.clock)
        self.owed, self.hops, self.told, self.said = {}, {}, {}, []
        self.module = Limiter(
            self.clock,
            world.random.getrandbits(40),
            Placement(index, world.limiters, "z0"),
            CounterSettings(True, 30_000),
            CATEGORIES,
            DUTIES,
            Permissions(4, True, world.second_copies, False, 500_000),
        )
        self.module.update_servers(list(world.entries.values()), True)

    def send(self, hop):
        op, world, name = hop.operation, self.world, hop.server.address
        hops = self.hops[id(op)]
        assert id(op) in self.owed and world.now < op.deadline_us, "rule 1: a hop for what has its answer"
        live = [each for each in hops if not (each.ended and each.ended.never_ran)]
        if op.category.repeat_safety is RepeatSafety.NON_IDEMPOTENT:
            assert not live, "rule 2: an unrepeatable operation sent twice"
        if op.category.repeat_safety is RepeatSafety.DEDUPLICATED and live:
            first, zone = live[0], world.entries[name].zone
            assert zone == world.entries[first.name].zone, "rule 2: sent outside the group"
            assert world.now <= first.sent + op.category.deduplication_window_us, (
                "rule 2: sent after it is forgotten"
            )
        assert world.second_copies or all(each.ended for each in hops), "two hops out at once"
        state, since = self.told.get(name, (ServerState.READY, 0))
        assert state is ServerState.READY or world.now <= since + DUTIES.drain_grace_us, "rule 3"
        if not hops and op.plan.rate_limit_per_s:
            store = world.stores.setdefault(op.customer, [op.plan.rate_limit_burst, world.now])
            filled = store[0] + op.plan.rate_limit_per_s * (world.now - store[1]) / SECOND
            store[:] = min(op.plan.rate_limit_burst, filled) - op.units, world.now
            assert store[0] >= -op.plan.rate_limit_slack, "rule 5"
        sent = Sent(hop, name, world.now)
        hops.append(sent)
        world.ran.append(sent)
        outcome, after = world.chance()
        if outcome is None or after > op.deadline_us - world.now:
            outcome, after = AttemptOutcome.TIMED_OUT, op.deadline_us - world.now
        world.at(after, self.land, op, sent, outcome)

    def land(self, op, sent, outcome):
        if sent.ended is not None:
            return
        sent.ended = outcome
        closed = outcome is AttemptOutcome.OK or id(op) not in self.owed
        report = AttemptResult(outcome, self.world.now - sent.sent, closed)
        self.module.on_attempt_finished(sent.hop, report)
        if id(op) in self.owed:
            if closed:
                del self.owed[id(op)]
                self.world.answers.append((op, AttemptOutcome.OK, self.world.now))
            self.engine.attempt_finished(sent.hop, report)

    def cancel(self, hop):
        for sent in self.hops[id(hop.operation)]:
            if sent.hop is hop:
                self.world.at(2_000, self.land, hop.operation, sent, AttemptOutcome.CANCELLED)

    def reject(self, op, answer):
        assert self.owed.pop(id(op), None) is op, "rule 1: a second final answer"
        live = [each for each in self.hops[id(op)] if not (each.ended and each.ended.never_ran)]
        if answer.reason is RejectReason.RETRY_LATER and live:
            assert op.category.repeat_safety is RepeatSafety.IDEMPOTENT, (
                "rule 2: turned back what may have run"
            )
        self.world.answers.append((op, answer, self.world.now))

    def overdue(self, op):
        assert id(op) not in self.owed, "rule 1: no final answer in time"

    def leave(self, op):
        """The client goes early."""
        if self.owed.pop(id(op), None) is not None:
            op.is_abandoned = True
            self.engine.wake(op, WakeReason.CLIENT_GONE)

    def add_to_counter(self, task, add):
        world = self.world
        assert abs(add.amount) <= 1e9, "more than the counter takes"
        if world.silent:
            world.at(30_000, self.counted, task, CounterReply(CounterOutcome.TIMED_OUT))
            return
        world.counts[add.counter_id] = world.counts.get(add.counter_id, 0.0) + add.amount
        total = CounterReply(CounterOutcome.ADDED, world.counts[add.counter_id])
        if world.random.random() < world.lossy:
            total = CounterReply(CounterOutcome.TIMED_OUT)
        world.at(world.random.randrange(800, 4_000), self.counted, task, total)

    def counted(self, task, total):
        self.engine.counter_replied(task, total)

    def log(self, text):
        self.said.append(text)

    def schedule_wakeup(self, when_us):
        self.world.at(when_us - self.world.now, self.tick)

    def tick(self):
        self.engine.run_due_timers(ticked=True)


class Sent:
    """A hop as the world saw it."""

    def __init__(self, hop, name, sent):
        self.hop, self.name, self.sent, self.ended = hop, name, sent, None
