"""A whole fleet in simulated time: clients, limiters (gates), servers, the counter and discovery, and faults.

`World(scenario).run()` plays the scenario and returns its `Result`. The limiters run the real decision module
through the real engine (or a baseline policy through the same engine); nothing of theirs is re-implemented.
"""

import resource
import time
from random import Random

from lapisgrade.interface import (
    AttemptOutcome,
    AttemptResult,
    CounterOutcome,
    CounterReply,
    CounterSettings,
    Operation,
    Placement,
    ServerEndpoint,
    ServerState,
)
from lapisgrade.lab.emulator import model, rules
from lapisgrade.lab.emulator.gate import Gate
from lapisgrade.lab.emulator.metrics import Metrics, Result
from lapisgrade.lab.emulator.scenario import Fault, Scenario
from lapisgrade.lab.emulator.sim import Sim
from lapisgrade.policy import Limiter

SECOND = 1_000_000
LAG_SPREAD = 0.5  # of the discovery lag, drawn evenly, that each limiter hears later than the lag itself
CANCEL_US = 2 * model.WIRE_US  # a cancelled hop is told as ended after a round trip
COME_BACK_LEAST_US = 100_000  # a client that is told nothing sooner comes back after this
NOTICE_US = 2 * SECOND  # discovery tells of a server that vanished this long after


class World:
    """The fleet of one scenario. Chance comes from one seed, split among the parts in a fixed order."""

    def __init__(self, scenario: Scenario, make=None) -> None:
        self.scenario = sc = scenario
        self.sim = Sim()
        self.sim.now = SECOND  # the module's clocks start well past zero, as real ones do
        chance = Random(sc.seed)
        self.random = Random(chance.getrandbits(64))
        self.rules = rules.Rules(sc.server_rules)
        self.metrics = Metrics(sc)
        self.counter = model.Counter(sc.counter, chance.getrandbits(64))
        self.servers: dict[str, model.Server] = {}
        for i in range(sc.servers):
            name = f"s{i}"
            self.servers[name] = model.Server(
                name, sc.zone_of(i), i % 4, sc.server, chance.getrandbits(64), 0
            )
        self.make = make or {"module": self.module, "local": self.local, "central": self.central}[sc.policy]
        self.gates: list[Gate] = []
        for i in range(sc.limiters):
            self.gates.append(Gate(self, i, 0, self.make))
            self.gates[i].listed(self.entries(), True)
        self.records: dict[int, rules.Record] = {}
        self.hops: dict[int, tuple[Gate, rules.Hop, model.Job | None]] = {}
        self.number = 0
        self.surge = 1.0
        self.arriving = True  # clients send until the scenario's time is up
        self.held_news = False  # discovery holds what changes, while it lags wrongly
        self.news: list[ServerEndpoint] = []
        self.picked: dict[int, list] = {}  # what each fault hit, by the fault's id
        self._batches: dict[int, list[model.Server]] = {}  # news of servers, by the instant they changed
        self.customers = sc.customer_table(chance.getrandbits(64))
        for fault in sc.faults:
            self.sim.at(SECOND + fault.at_us, self.fault, fault)

    def module(self, clock, index: int):
        sc = self.scenario
        post = Placement(index, sc.limiters, sc.zone_of(index))
        seed = (sc.seed * 1_000_003 + index * 7_919 + clock.now_us) % (1 << 48)
        return Limiter(
            clock,
            seed,
            post,
            CounterSettings(sc.uses_shared_counter, sc.counter_timeout_us),
            sc.categories,
            sc.server_rules,
            sc.permissions,
        )

    def local(self, clock, index: int):
        from lapisgrade.lab.baselines.local import LocalBucketPolicy

        return LocalBucketPolicy(clock, self.scenario.seed * 7_919 + index)

    def central(self, clock, index: int):
        from lapisgrade.lab.baselines.central import CentralCounterPolicy

        return CentralCounterPolicy(clock, self.scenario.seed * 7_919 + index)

    # ---- the run

    def run(self) -> Result:
        sc, sim = self.scenario, self.sim
        began = time.perf_counter()
        end = SECOND + sc.seconds_us
        sim.at(SECOND, self.arrive)
        sim.at(SECOND + SECOND, self.second)
        sim.run(end)
        self.arriving = False
        longest = max(each.timeout_us for each in sc.categories)
        sim.run(end + longest + rules.GRACE_US + SECOND)
        wall = time.perf_counter() - began
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024  # the process's, in bytes on Linux
        return self.metrics.result(self, wall, peak)

    def arrive(self) -> None:
        """One operation from a client, and the next set by the clock."""
        if not self.arriving:
            return
        sc, random, now = self.scenario, self.random, self.sim.now
        customer = self.customers.pick(random)
        self.take(customer, random.choices(sc.categories, sc.category_shares)[0], False)
        self.sim.after(random.expovariate(sc.rate * self.surge) * SECOND, self.arrive)
        if now - SECOND >= self.scenario.seconds_us:
            self.arriving = False

    def take(self, customer, category, retried: bool) -> None:
        sc, now = self.scenario, self.sim.now
        first = customer.first
        spread = min(sc.spread, sc.limiters)
        live = [self.gates[(first + k) % sc.limiters] for k in range(spread)]
        live = [gate for gate in live if gate.alive]
        units = self.random.randint(1, sc.max_units)
        op = Operation(
            customer.name,
            customer.plan,
            category,
            units,
            now,
            now + category.timeout_us,
            spread,
            first,
            retried,
        )
        self.number += 1
        record = rules.Record(op, self.number)
        self.metrics.arrived(record)
        if not live:
            self.metrics.front(record)  # no limiter of its set is alive: the front answers it
            return
        gate = live[self.random.randrange(len(live))]
        self.records[id(op)] = record
        self.sim.at(op.deadline_us + rules.GRACE_US, self.due, record)
        if sc.leave_share and self.random.random() < sc.leave_share:
            self.sim.after(self.random.random() * category.timeout_us, gate.leave, record)
        self.metrics.taken(gate.index)
        gate.take(record)

    def due(self, record: rules.Record) -> None:
        self.rules.now, self.rules.step = self.sim.now, self.sim.events
        self.rules.due(record)
        if not record.answers and not record.exempt:
            self.metrics.lost(record)
        self.records.pop(id(record.op), None)

    def second(self) -> None:
        self.metrics.second(self)
        self.counter.forget(self.sim.now)
        if self.arriving or self.records:
            self.sim.after(SECOND, self.second)

    # ---- what the gates ask for

    def send(self, gate: Gate, hop) -> None:
        sim, record = self.sim, self.records.get(id(hop.operation))
        name = hop.server.address
        server = self.servers[name]
        seen = rules.Hop(name, server.zone, server.cell, sim.now)
        self.rules.now, self.rules.step = sim.now, sim.events
        if record is not None:
            if not record.hops:
                self.metrics.on_admission(record, sim.now)
            self.rules.sent(record, seen, gate.told.get(name, (ServerState.READY, 0)))
        self.metrics.hop()
        self.hops[id(hop)] = (gate, seen, None)
        sim.after(model.WIRE_US, self.reach, gate, hop)
        sim.at(hop.operation.deadline_us, self.time_out, gate, hop)

    def reach(self, gate: Gate, hop) -> None:
        kept = self.hops.get(id(hop))
        if kept is None:
            return
        server, now = self.servers[hop.server.address], self.sim.now
        refused = model.outcome_at_server(server, now)
        if refused is not None:
            counted = "no connection" if refused is AttemptOutcome.CONNECT_FAILED else "turned away"
            server.counts[counted if refused is not AttemptOutcome.ERROR else "errors"] += 1
            delay = {
                AttemptOutcome.CONNECT_FAILED: model.NO_CONNECTION_US,
                AttemptOutcome.ERROR: model.FAST_ERROR_US,
            }
            self.sim.after(delay.get(refused, model.REFUSE_US), self.land, gate, hop, refused)
            return
        job = model.Job(hop, gate, now)
        self.hops[id(hop)] = (gate, kept[1], job)
        server.counts["taken"] += 1
        if server.at_work < server.room(now):
            self.start(server, job)
        else:
            server.waiting.append(job)
        held = server.held()
        server.most_held = max(server.most_held, held)
        self.rules.now, self.rules.step = now, self.sim.events
        self.rules.held(server.name, held, server.room(now), server.cold(now))

    def start(self, server: model.Server, job: model.Job) -> None:
        server.at_work += 1
        if server.mode is model.Mode.SILENT:
            return  # it holds the work and never answers; its hop times out
        self.sim.after(server.service_us(), self.done, server, job, server.started_us)

    def done(self, server: model.Server, job: model.Job, life: int) -> None:
        if server.started_us != life or server.state is ServerState.REMOVED:
            return  # of an earlier life of the server
        server.at_work -= 1
        now = self.sim.now
        while server.waiting and server.at_work < server.room(now):
            waiting = server.waiting.popleft()
            if not waiting.cancelled:
                self.start(server, waiting)
        outcome = AttemptOutcome.ERROR if server.ends_in_error() else AttemptOutcome.OK
        server.counts["finished" if outcome is AttemptOutcome.OK else "errors"] += 1
        if not job.cancelled:
            self.sim.after(model.WIRE_US, self.land, job.done, job.hop, outcome)

    def time_out(self, gate: Gate, hop) -> None:
        if id(hop) in self.hops:
            self.land(gate, hop, AttemptOutcome.TIMED_OUT)

    def cancel(self, gate: Gate, hop) -> None:
        kept = self.hops.get(id(hop))
        if kept is not None and kept[2] is not None:
            kept[2].cancelled = True
        self.sim.after(CANCEL_US, self.land, gate, hop, AttemptOutcome.CANCELLED)

    def land(self, gate: Gate, hop, outcome: AttemptOutcome) -> None:
        kept = self.hops.pop(id(hop), None)
        if kept is None or not gate.alive:
            return
        seen = kept[1]
        seen.ended = outcome
        record = self.records.get(id(hop.operation))
        closed = outcome is AttemptOutcome.OK or record is None or id(hop.operation) not in gate.owed
        gate.landed(hop, AttemptResult(outcome, self.sim.now - seen.sent_us, closed))

    def finished(self, gate: Gate, record: rules.Record) -> None:
        """A server's answer went through to the client: the operation is finished."""
        self.rules.now, self.rules.step = self.sim.now, self.sim.events
        self.rules.answered(record, False)
        self.metrics.finished(record, self.sim.now)

    def answered(self, gate: Gate, record: rules.Record, turned_back: bool, come_back_us: int) -> None:
        self.rules.now, self.rules.step = self.sim.now, self.sim.events
        self.rules.answered(record, turned_back)
        self.metrics.answered(record, turned_back, come_back_us > 0)
        sc = self.scenario
        if (
            turned_back
            and self.arriving
            and self.random.random() < sc.retry_share
            and not record.op.is_client_retry
        ):
            wait = max(come_back_us, COME_BACK_LEAST_US)
            customer = self.customers.by_name[record.op.customer]
            self.sim.after(wait, self.take, customer, record.op.category, True)

    def left(self, record: rules.Record) -> None:
        record.exempt = True
        self.metrics.left(record)

    def add(self, gate: Gate, task, add) -> None:
        if abs(add.amount) > 1e9:
            self.metrics.counter_refused += 1
        now, waits = self.sim.now, self.scenario.counter_timeout_us
        came, tally, total = self.counter.call(gate.index, add.counter_id, add.amount, add.ttl_us, now)
        if came < 0 or came - now > waits:
            # As the host on sockets does: past its time-out a call is told silent; a late total is dropped.
            self.sim.after(waits, gate.counted, task, CounterReply(CounterOutcome.TIMED_OUT, 0.0))
        else:
            self.sim.at(came, gate.counted, task, CounterReply(tally, total))

    # ---- discovery

    def entries(self) -> list[ServerEndpoint]:
        return [entry(server) for server in self.servers.values()]

    def tell(self, servers: list[model.Server]) -> None:
        """Discovery tells of these servers: with all others that change at the same instant, in one list."""
        now = self.sim.now
        batch = self._batches.get(now)
        if batch is None:
            batch = self._batches[now] = []
            self.sim.at(now, self._flush, now)
        batch.extend(servers)

    def _flush(self, when: int) -> None:
        self._send_news(self._batches.pop(when))

    def _send_news(self, servers: list[model.Server]) -> None:
        """Discovery tells every limiter of these servers, each after the lag and a little more."""
        entries = [entry(server) for server in servers]
        if self.held_news:
            self.news.extend(entries)
            return
        lag = self.scenario.discovery_lag_us
        for gate in self.gates:
            self.sim.after(lag * (1 + LAG_SPREAD * self.random.random()), self._told, gate, entries)

    def _told(self, gate: Gate, entries: list[ServerEndpoint]) -> None:
        if gate.alive:
            gate.listed(entries, False)

    # ---- faults

    def fault(self, fault: Fault) -> None:
        self.metrics.faults.append((self.sim.now - SECOND, fault.kind, fault.target))
        kind = fault.kind
        if kind in FAULTS_OF_SERVERS:
            for server in self.pick_servers(fault):
                FAULTS_OF_SERVERS[kind](self, server, fault)
        elif kind in ("limiter_kill", "limiter_restart"):
            for gate in self.pick_limiters(fault):
                self.kill_gate(gate, fault.duration_us if kind == "limiter_kill" else 1)
        else:
            FAULTS_ELSEWHERE[kind](self, fault)
        if fault.duration_us and kind in UNDONE:
            self.sim.after(fault.duration_us, UNDONE[kind], self, fault)

    def pick_servers(self, fault: Fault) -> list[model.Server]:
        """The servers a fault names; the same ones again when it is undone."""
        if id(fault) not in self.picked:
            self.picked[id(fault)] = pick(list(self.servers.values()), fault.target, self.random)
        return self.picked[id(fault)]

    def pick_limiters(self, fault: Fault) -> list[Gate]:
        return pick([gate for gate in self.gates if gate.alive], fault.target, self.random)

    def kill_gate(self, gate: Gate, back_after_us: int) -> None:
        gate.alive = False
        for record in gate.owed.values():
            record.exempt = True
            self.metrics.front(record)
        gate.owed.clear()
        for key, (owner, _, _) in list(self.hops.items()):
            if owner is gate:
                del self.hops[key]
        if back_after_us:
            self.sim.after(back_after_us, self.restart_gate, gate.index)

    def restart_gate(self, index: int) -> None:
        old = self.gates[index]
        gate = Gate(self, index, old.life + 1, self.make)
        self.gates[index] = gate
        gate.listed(self.entries(), True)


def entry(server: model.Server) -> ServerEndpoint:
    """A server as discovery lists it."""
    return ServerEndpoint(server.name, server.state, server.zone, server.cell, 1.0, "", server.started_us)


def pick(items: list, target: str, random: Random) -> list:
    """The items a fault's target names: `all`, `N` (one), `N-M` (a range), or `share:F` (a share by
    chance)."""
    if target == "all":
        return items
    if target.startswith("share:"):
        count = round(float(target[6:]) * len(items))
        return random.sample(items, min(count, len(items)))
    low, _, high = target.partition("-")
    return items[int(low) : int(high or low) + 1]


def _set_mode(mode: model.Mode):
    def act(world: World, server: model.Server, fault: Fault) -> None:
        server.mode, server.factor = mode, fault.factor

    return act


def _vanish(world: World, server: model.Server, fault: Fault) -> None:
    """Gone without a word; discovery tells after a while."""
    server.state = ServerState.REMOVED
    server.at_work = 0
    server.waiting.clear()
    world.sim.after(NOTICE_US, world.tell, [server])


def _drain(world: World, server: model.Server, fault: Fault) -> None:
    server.state = ServerState.DRAINING
    world.tell([server])
    world.sim.after(world.scenario.server_rules.drain_grace_us * 4, _gone, world, server)


def _gone(world: World, server: model.Server) -> None:
    if server.state is ServerState.DRAINING:
        server.state = ServerState.REMOVED
        world.tell([server])


def _restart(world: World, server: model.Server, fault: Fault | None = None) -> None:
    server.restart(world.sim.now)
    world.tell([server])


FAULTS_OF_SERVERS = {
    "server_kill": _vanish,
    "server_drain": _drain,
    "server_restart": _restart,
    "server_slow": _set_mode(model.Mode.SLOW),
    "server_failing": _set_mode(model.Mode.FAILING),
    "server_fast_errors": _set_mode(model.Mode.FAST_ERRORS),
    "server_silent": _set_mode(model.Mode.SILENT),
    "server_well": _set_mode(model.Mode.WELL),
}


def _counter(attribute: str, value):
    def act(world: World, fault: Fault) -> None:
        setattr(world.counter, attribute, value)

    return act


def _counter_restart(world: World, fault: Fault) -> None:
    world.counter.restart()


def _counter_cut(world: World, fault: Fault) -> None:
    world.counter.cut = {gate.index for gate in world.pick_limiters(fault)}


def _split(world: World, fault: Fault) -> None:
    world.counter.split = world.scenario.limiters // 2
    world.counter.stores = [world.counter.stores[0], dict(world.counter.stores[0])]


def _surge(world: World, fault: Fault) -> None:
    world.surge = fault.factor


def _hold_news(world: World, fault: Fault) -> None:
    world.held_news = True


def _release_news(world: World, fault: Fault) -> None:
    world.held_news = False
    news, world.news = world.news, []
    if news:
        for gate in world.gates:
            world.sim.after(world.scenario.discovery_lag_us, world._told, gate, news)


FAULTS_ELSEWHERE = {
    "counter_lost": _counter("down", True),
    "counter_back": _counter("down", False),
    "counter_slow": _counter("mode", model.Mode.SLOW),
    "counter_well": _counter("mode", model.Mode.WELL),
    "counter_restart": _counter_restart,
    "counter_cut": _counter_cut,
    "counter_split": _split,
    "surge": _surge,
    "discovery_stale": _hold_news,
}


def _undo_servers(world: World, fault: Fault) -> None:
    for server in world.pick_servers(fault):
        if fault.kind == "server_kill":
            _restart(world, server)
        else:
            server.mode, server.factor = model.Mode.WELL, 1.0


UNDONE = {
    "server_kill": _undo_servers,
    "server_slow": _undo_servers,
    "server_failing": _undo_servers,
    "server_fast_errors": _undo_servers,
    "server_silent": _undo_servers,
    "counter_lost": FAULTS_ELSEWHERE["counter_back"],
    "counter_slow": FAULTS_ELSEWHERE["counter_well"],
    "counter_cut": lambda world, fault: setattr(world.counter, "cut", set()),
    "counter_split": lambda world, fault: setattr(world.counter, "split", None),
    "surge": lambda world, fault: setattr(world, "surge", 1.0),
    "discovery_stale": _release_news,
}
