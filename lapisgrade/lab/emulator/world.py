"""A fleet in simulated time: clients, limiters, servers, the shared counter, discovery, and faults.

`World(scenario).run()` runs the scenario and returns its `Result`. The limiters run the real decision module,
or a baseline policy, in the real engine; none of that logic is reimplemented here.
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
from lapisgrade.lab.emulator.limiter import EmulatedLimiter
from lapisgrade.lab.emulator.metrics import Metrics, Result
from lapisgrade.lab.emulator.scenario import Fault, Scenario
from lapisgrade.lab.emulator.sim import Sim
from lapisgrade.policy import Limiter

SECOND = 1_000_000  # us
DISCOVERY_LAG_JITTER = 0.5  # largest extra lag of an update, as a share of the discovery lag; uniform
CANCEL_DELAY_US = 2 * model.NETWORK_DELAY_US  # a cancelled attempt ends after a round trip
MIN_CLIENT_RETRY_DELAY_US = 100_000  # shortest time from a rejection to the client's retry
REMOVAL_DETECTION_US = 2 * SECOND  # from a server's death to the update that removes it


class World:
    """The fleet of one scenario.

    All random numbers derive from the scenario's seed, which is split among the parts in a fixed order. The
    scenario starts at a simulated time of one second.

    Attributes:
        random: Random numbers of clients, discovery and faults.
        servers: Servers by name, including removed ones.
        make_policy: Creates a limiter's policy from its clock and index.
        limiters: The current incarnation of each limiter, by index.
        records: Operations whose answer is not yet overdue, by the operation's `id()`.
        attempts: Attempts in flight by `id()`: the limiter, the attempt as observed, and its job at a server;
            None until a server accepts it.
        operation_count: Number of operations that clients have sent.
        rate_factor: Factor on the scenario's request rate; differs from 1 during a surge.
        accepts_arrivals: Whether clients send operations; false once the scenario's time is over.
        is_discovery_stale: Whether discovery withholds server list updates because of a fault.
        withheld_updates: Server list updates to send once that fault ends.
        fault_servers: Servers that each fault selected, by the fault's `id()`.
    """

    def __init__(self, scenario: Scenario, make_policy=None) -> None:
        """Start the fleet and schedule the faults; `make_policy` replaces the scenario's policy."""
        self.scenario = scenario
        self.sim = Sim()
        self.sim.now = SECOND  # the limiters' clocks start well past zero, like real clocks
        seeds = Random(scenario.seed)
        self.random = Random(seeds.getrandbits(64))
        self.rules = rules.RuleChecker(scenario.server_rules)
        self.metrics = Metrics(scenario)
        self.counter = model.Counter(scenario.counter, seeds.getrandbits(64))
        self.servers: dict[str, model.Server] = {}
        for index in range(scenario.servers):
            name = f"s{index}"
            self.servers[name] = model.Server(
                name, scenario.zone_of(index), index % 4, scenario.server, seeds.getrandbits(64), 0
            )
        self.make_policy = (
            make_policy
            or {"module": self.make_module, "local": self.make_local, "central": self.make_central}[
                scenario.policy
            ]
        )
        self.limiters: list[EmulatedLimiter] = []
        for index in range(scenario.limiters):
            self.limiters.append(EmulatedLimiter(self, index, 0, self.make_policy))
            self.limiters[index].on_server_list(self.server_list(), True)
        self.records: dict[int, rules.OperationRecord] = {}
        self.attempts: dict[int, tuple[EmulatedLimiter, rules.ObservedAttempt, model.Job | None]] = {}
        self.operation_count = 0
        self.rate_factor = 1.0
        self.accepts_arrivals = True
        self.is_discovery_stale = False
        self.withheld_updates: list[ServerEndpoint] = []
        self.fault_servers: dict[int, list] = {}
        self._changed_servers: dict[int, list[model.Server]] = {}  # by time of change; removed when published
        self.customers = scenario.customer_table(seeds.getrandbits(64))
        for fault in scenario.faults:
            self.sim.at(SECOND + fault.at_us, self.apply_fault, fault)

    def make_module(self, clock, index: int):
        """Create the real decision module, for a limiter."""
        scenario = self.scenario
        placement = Placement(index, scenario.limiters, scenario.zone_of(index))
        seed = (scenario.seed * 1_000_003 + index * 7_919 + clock.now_us) % (1 << 48)
        return Limiter(
            clock,
            seed,
            placement,
            CounterSettings(scenario.uses_shared_counter, scenario.counter_timeout_us),
            scenario.categories,
            scenario.server_rules,
            scenario.permissions,
        )

    def make_local(self, clock, index: int):
        """Create the baseline policy without a shared counter, for a limiter."""
        from lapisgrade.lab.baselines.local import LocalBucketPolicy

        return LocalBucketPolicy(clock, self.scenario.seed * 7_919 + index)

    def make_central(self, clock, index: int):
        """Create the baseline policy with a counter call for each operation, for a limiter."""
        from lapisgrade.lab.baselines.central import CentralCounterPolicy

        return CentralCounterPolicy(clock, self.scenario.seed * 7_919 + index)

    # ---- the run

    def run(self) -> Result:
        """Run the scenario, and continue until the last operation's answer is overdue; return the result."""
        scenario, sim = self.scenario, self.sim
        started_s = time.perf_counter()
        end_us = SECOND + scenario.seconds_us
        sim.at(SECOND, self.send_next_operation)
        sim.at(SECOND + SECOND, self.on_second)
        sim.run(end_us)
        self.accepts_arrivals = False
        max_timeout_us = max(category.timeout_us for category in scenario.categories)
        sim.run(end_us + max_timeout_us + rules.ANSWER_GRACE_US + SECOND)
        wall_s = time.perf_counter() - started_s
        # The peak of the process since its start; Linux reports it in KiB.
        peak_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        return self.metrics.result(self, wall_s, peak_bytes)

    def send_next_operation(self) -> None:
        """Send an operation from a random customer, and schedule the next one."""
        if not self.accepts_arrivals:
            return
        scenario, random, now_us = self.scenario, self.random, self.sim.now
        customer = self.customers.pick(random)
        self.send_operation(customer, random.choices(scenario.categories, scenario.category_shares)[0], False)
        self.sim.after(
            random.expovariate(scenario.rate * self.rate_factor) * SECOND, self.send_next_operation
        )
        if now_us - SECOND >= self.scenario.seconds_us:
            self.accepts_arrivals = False

    def send_operation(self, customer, category, is_client_retry: bool) -> None:
        """Send an operation of random cost to a random one of the live limiters in the customer's set."""
        scenario, now_us = self.scenario, self.sim.now
        first_index = customer.first
        spread = min(scenario.spread, scenario.limiters)
        alive = [self.limiters[(first_index + offset) % scenario.limiters] for offset in range(spread)]
        alive = [limiter for limiter in alive if limiter.is_alive]
        units = self.random.randint(1, scenario.max_units)
        operation = Operation(
            customer.name,
            customer.plan,
            category,
            units,
            now_us,
            now_us + category.timeout_us,
            spread,
            first_index,
            is_client_retry,
        )
        self.operation_count += 1
        record = rules.OperationRecord(operation, self.operation_count)
        self.metrics.on_arrival(record)
        if not alive:  # the front end answers itself
            self.metrics.on_front_end_answer(record)
            return
        limiter = alive[self.random.randrange(len(alive))]
        self.records[id(operation)] = record
        self.sim.at(operation.deadline_us + rules.ANSWER_GRACE_US, self.on_answer_overdue, record)
        if scenario.leave_share and self.random.random() < scenario.leave_share:
            self.sim.after(self.random.random() * category.timeout_us, limiter.on_client_disconnected, record)
        self.metrics.on_operation_routed(limiter.index)
        limiter.on_operation(record)

    def on_answer_overdue(self, record: rules.OperationRecord) -> None:
        """Check that an operation past its deadline and grace period has its answer, and drop its record."""
        self.rules.now_us, self.rules.step = self.sim.now, self.sim.events
        self.rules.on_answer_overdue(record)
        if not record.answer_count and not record.is_exempt:
            self.metrics.on_unanswered(record)
        self.records.pop(id(record.op), None)

    def on_second(self) -> None:
        """End a second of the metrics, every second until the last operation's answer is overdue."""
        self.metrics.end_second(self)
        self.counter.delete_expired(self.sim.now)
        if self.accepts_arrivals or self.records:
            self.sim.after(SECOND, self.on_second)

    # ---- requests of the limiters

    def send(self, limiter: EmulatedLimiter, attempt) -> None:
        """Send an attempt to its server; it times out at the operation's deadline."""
        sim, record = self.sim, self.records.get(id(attempt.operation))
        name = attempt.server.address
        server = self.servers[name]
        observed = rules.ObservedAttempt(name, server.zone, server.cell, sim.now)
        self.rules.now_us, self.rules.step = sim.now, sim.events
        if record is not None:
            if not record.attempts:
                self.metrics.on_admission(record, sim.now)
            self.rules.on_attempt_sent(
                record, observed, limiter.notified_states.get(name, (ServerState.READY, 0))
            )
        self.metrics.on_attempt()
        self.attempts[id(attempt)] = (limiter, observed, None)
        sim.after(model.NETWORK_DELAY_US, self.on_attempt_arrived, limiter, attempt)
        sim.at(attempt.operation.deadline_us, self.on_attempt_timeout, limiter, attempt)

    def on_attempt_arrived(self, limiter: EmulatedLimiter, attempt) -> None:
        """Start or queue an attempt at its server, or schedule its rejection."""
        in_flight = self.attempts.get(id(attempt))
        if in_flight is None:
            return
        server, now_us = self.servers[attempt.server.address], self.sim.now
        rejection = model.immediate_outcome(server, now_us)
        if rejection is not None:
            count_name = "connect failed" if rejection is AttemptOutcome.CONNECT_FAILED else "rejected"
            server.counts[count_name if rejection is not AttemptOutcome.ERROR else "errors"] += 1
            delays_us = {
                AttemptOutcome.CONNECT_FAILED: model.CONNECT_FAILURE_DELAY_US,
                AttemptOutcome.ERROR: model.FAST_ERROR_DELAY_US,
            }
            self.sim.after(
                delays_us.get(rejection, model.REJECT_DELAY_US),
                self.finish_attempt,
                limiter,
                attempt,
                rejection,
            )
            return
        job = model.Job(attempt, limiter, now_us)
        self.attempts[id(attempt)] = (limiter, in_flight[1], job)
        server.counts["accepted"] += 1
        if server.running < server.capacity(now_us):
            self.start_job(server, job)
        else:
            server.queued.append(job)
        load = server.load()
        server.peak_load = max(server.peak_load, load)
        self.rules.now_us, self.rules.step = now_us, self.sim.events
        self.rules.on_server_load(server.name, load, server.capacity(now_us), server.is_cold(now_us))

    def start_job(self, server: model.Server, job: model.Job) -> None:
        """Start the execution of an accepted attempt."""
        server.running += 1
        if server.mode is model.Mode.SILENT:
            return  # the job keeps its slot; the attempt times out
        self.sim.after(server.draw_service_time_us(), self.on_job_done, server, job, server.started_us)

    def on_job_done(self, server: model.Server, job: model.Job, server_started_us: int) -> None:
        """End an execution, start queued jobs, and send the response of a job that wasn't cancelled."""
        if server.started_us != server_started_us or server.state is ServerState.REMOVED:
            return  # the job was lost: the server has restarted or was removed since it started
        server.running -= 1
        now_us = self.sim.now
        while server.queued and server.running < server.capacity(now_us):
            next_job = server.queued.popleft()
            if not next_job.is_cancelled:
                self.start_job(server, next_job)
        outcome = AttemptOutcome.ERROR if server.draw_is_error() else AttemptOutcome.OK
        server.counts["completed" if outcome is AttemptOutcome.OK else "errors"] += 1
        if not job.is_cancelled:
            self.sim.after(model.NETWORK_DELAY_US, self.finish_attempt, job.limiter, job.attempt, outcome)

    def on_attempt_timeout(self, limiter: EmulatedLimiter, attempt) -> None:
        """End an attempt that is still in flight at the operation's deadline."""
        if id(attempt) in self.attempts:
            self.finish_attempt(limiter, attempt, AttemptOutcome.TIMED_OUT)

    def cancel(self, limiter: EmulatedLimiter, attempt) -> None:
        """Cancel an attempt; a job in execution still occupies the server, without a response."""
        in_flight = self.attempts.get(id(attempt))
        if in_flight is not None and in_flight[2] is not None:
            in_flight[2].is_cancelled = True
        self.sim.after(CANCEL_DELAY_US, self.finish_attempt, limiter, attempt, AttemptOutcome.CANCELLED)

    def finish_attempt(self, limiter: EmulatedLimiter, attempt, outcome: AttemptOutcome) -> None:
        """Report the end of an attempt to its limiter, unless it has ended before or the limiter is dead.

        The result is final if it is a success, or if the operation needs no answer any more.
        """
        in_flight = self.attempts.pop(id(attempt), None)
        if in_flight is None or not limiter.is_alive:
            return
        observed = in_flight[1]
        observed.outcome = outcome
        record = self.records.get(id(attempt.operation))
        is_final = (
            outcome is AttemptOutcome.OK or record is None or id(attempt.operation) not in limiter.unanswered
        )
        limiter.on_attempt_finished(
            attempt, AttemptResult(outcome, self.sim.now - observed.sent_us, is_final)
        )

    def on_operation_finished(self, limiter: EmulatedLimiter, record: rules.OperationRecord) -> None:
        """Check and count a server's response that was passed to the client."""
        self.rules.now_us, self.rules.step = self.sim.now, self.sim.events
        self.rules.on_answer(record, False)
        self.metrics.on_finished(record, self.sim.now)

    def on_operation_rejected(
        self, limiter: EmulatedLimiter, record: rules.OperationRecord, is_retryable: bool, retry_after_us: int
    ) -> None:
        """Check and count a rejection; a share of the clients retries once, after the Retry-After time."""
        self.rules.now_us, self.rules.step = self.sim.now, self.sim.events
        self.rules.on_answer(record, is_retryable)
        self.metrics.on_rejected(record, is_retryable, retry_after_us > 0)
        scenario = self.scenario
        if (
            is_retryable
            and self.accepts_arrivals
            and self.random.random() < scenario.retry_share
            and not record.op.is_client_retry
        ):
            delay_us = max(retry_after_us, MIN_CLIENT_RETRY_DELAY_US)
            customer = self.customers.by_name[record.op.customer]
            self.sim.after(delay_us, self.send_operation, customer, record.op.category, True)

    def on_operation_abandoned(self, record: rules.OperationRecord) -> None:
        """Count an operation whose client disconnected; it needs no answer."""
        record.is_exempt = True
        self.metrics.on_abandoned(record)

    def add_to_counter(self, limiter: EmulatedLimiter, task, add) -> None:
        """Call the shared counter for a limiter's task."""
        if abs(add.amount) > 1e9:
            self.metrics.oversized_add_count += 1
        now_us, timeout_us = self.sim.now, self.scenario.counter_timeout_us
        reply_at_us, outcome, total = self.counter.call(
            limiter.index, add.counter_id, add.amount, add.ttl_us, now_us
        )
        if reply_at_us < 0 or reply_at_us - now_us > timeout_us:
            # The host on sockets also reports a time-out and drops a late reply.
            self.sim.after(
                timeout_us, limiter.on_counter_reply, task, CounterReply(CounterOutcome.TIMED_OUT, 0.0)
            )
        else:
            self.sim.at(reply_at_us, limiter.on_counter_reply, task, CounterReply(outcome, total))

    # ---- discovery

    def server_list(self) -> list[ServerEndpoint]:
        """Return the complete list of discovery, with removed servers."""
        return [server_endpoint(server) for server in self.servers.values()]

    def publish(self, servers: list[model.Server]) -> None:
        """Publish changed servers, in one update with all others that change at the same simulated time."""
        now_us = self.sim.now
        batch = self._changed_servers.get(now_us)
        if batch is None:
            batch = self._changed_servers[now_us] = []
            self.sim.at(now_us, self._publish_batch, now_us)
        batch.extend(servers)

    def _publish_batch(self, changed_us: int) -> None:
        self._send_update(self._changed_servers.pop(changed_us))

    def _send_update(self, servers: list[model.Server]) -> None:
        """Send changed servers to each limiter, after the discovery lag and a random jitter."""
        endpoints = [server_endpoint(server) for server in servers]
        if self.is_discovery_stale:
            self.withheld_updates.extend(endpoints)
            return
        lag_us = self.scenario.discovery_lag_us
        for limiter in self.limiters:
            self.sim.after(
                lag_us * (1 + DISCOVERY_LAG_JITTER * self.random.random()),
                self._deliver_update,
                limiter,
                endpoints,
            )

    def _deliver_update(self, limiter: EmulatedLimiter, endpoints: list[ServerEndpoint]) -> None:
        if limiter.is_alive:
            limiter.on_server_list(endpoints, False)

    # ---- faults

    def apply_fault(self, fault: Fault) -> None:
        """Apply a fault now, and schedule its reversal after its duration."""
        self.metrics.faults.append((self.sim.now - SECOND, fault.kind, fault.target))
        kind = fault.kind
        if kind in SERVER_FAULTS:
            for server in self.select_servers(fault):
                SERVER_FAULTS[kind](self, server, fault)
        elif kind in ("limiter_kill", "limiter_restart"):
            for limiter in self.select_limiters(fault):
                self.kill_limiter(limiter, fault.duration_us if kind == "limiter_kill" else 1)
        else:
            OTHER_FAULTS[kind](self, fault)
        if fault.duration_us and kind in FAULT_REVERSALS:
            self.sim.after(fault.duration_us, FAULT_REVERSALS[kind], self, fault)

    def select_servers(self, fault: Fault) -> list[model.Server]:
        """Return the servers that a fault targets; selected once, so that its reversal affects the same."""
        if id(fault) not in self.fault_servers:
            self.fault_servers[id(fault)] = select_targets(
                list(self.servers.values()), fault.target, self.random
            )
        return self.fault_servers[id(fault)]

    def select_limiters(self, fault: Fault) -> list[EmulatedLimiter]:
        """Return the limiters that a fault targets, among those that are alive."""
        return select_targets(
            [limiter for limiter in self.limiters if limiter.is_alive], fault.target, self.random
        )

    def kill_limiter(self, limiter: EmulatedLimiter, restart_after_us: int) -> None:
        """Kill a limiter; the front end answers its open operations, and its attempts are forgotten.

        Args:
            limiter: The limiter.
            restart_after_us: Time until its restart; 0: none.
        """
        limiter.is_alive = False
        for record in limiter.unanswered.values():
            record.is_exempt = True
            self.metrics.on_front_end_answer(record)
        limiter.unanswered.clear()
        for key, (owner, _, _) in list(self.attempts.items()):
            if owner is limiter:
                del self.attempts[key]
        if restart_after_us:
            self.sim.after(restart_after_us, self.restart_limiter, limiter.index)

    def restart_limiter(self, index: int) -> None:
        """Start a new incarnation of a limiter, with the complete server list."""
        old = self.limiters[index]
        limiter = EmulatedLimiter(self, index, old.incarnation + 1, self.make_policy)
        self.limiters[index] = limiter
        limiter.on_server_list(self.server_list(), True)


def server_endpoint(server: model.Server) -> ServerEndpoint:
    """Return the server's entry in the discovery list."""
    return ServerEndpoint(server.name, server.state, server.zone, server.cell, 1.0, "", server.started_us)


def select_targets(items: list, target: str, random: Random) -> list:
    """Return the items of a fault's target.

    The target is `all`, `N` (one, counted from 0), `N-M` (inclusive), or `share:F` (a random share, 0 to 1).
    """
    if target == "all":
        return items
    if target.startswith("share:"):
        count = round(float(target[6:]) * len(items))
        return random.sample(items, min(count, len(items)))
    low, _, high = target.partition("-")
    return items[int(low) : int(high or low) + 1]


def _set_mode(mode: model.Mode):
    def apply(world: World, server: model.Server, fault: Fault) -> None:
        server.mode, server.factor = mode, fault.factor

    return apply


def _kill_server(world: World, server: model.Server, fault: Fault) -> None:
    """Kill the server without draining; discovery publishes it after REMOVAL_DETECTION_US."""
    server.state = ServerState.REMOVED
    server.running = 0
    server.queued.clear()
    world.sim.after(REMOVAL_DETECTION_US, world.publish, [server])


def _drain_server(world: World, server: model.Server, fault: Fault) -> None:
    server.state = ServerState.DRAINING
    world.publish([server])
    world.sim.after(world.scenario.server_rules.drain_grace_us * 4, _remove_drained_server, world, server)


def _remove_drained_server(world: World, server: model.Server) -> None:
    if server.state is ServerState.DRAINING:
        server.state = ServerState.REMOVED
        world.publish([server])


def _restart_server(world: World, server: model.Server, fault: Fault | None = None) -> None:
    server.restart(world.sim.now)
    world.publish([server])


# By fault kind: function that applies the fault to one server.
SERVER_FAULTS = {
    "server_kill": _kill_server,
    "server_drain": _drain_server,
    "server_restart": _restart_server,
    "server_slow": _set_mode(model.Mode.SLOW),
    "server_failing": _set_mode(model.Mode.FAILING),
    "server_fast_errors": _set_mode(model.Mode.FAST_ERRORS),
    "server_silent": _set_mode(model.Mode.SILENT),
    "server_well": _set_mode(model.Mode.NORMAL),
}


def _set_counter(attribute: str, value):
    def apply(world: World, fault: Fault) -> None:
        setattr(world.counter, attribute, value)

    return apply


def _restart_counter(world: World, fault: Fault) -> None:
    world.counter.restart()


def _cut_off_counter(world: World, fault: Fault) -> None:
    world.counter.unreachable_from = {limiter.index for limiter in world.select_limiters(fault)}


def _split_counter(world: World, fault: Fault) -> None:
    world.counter.split_from = world.scenario.limiters // 2
    world.counter.stores = [world.counter.stores[0], dict(world.counter.stores[0])]


def _start_surge(world: World, fault: Fault) -> None:
    world.rate_factor = fault.factor


def _withhold_updates(world: World, fault: Fault) -> None:
    world.is_discovery_stale = True


def _release_updates(world: World, fault: Fault) -> None:
    world.is_discovery_stale = False
    updates, world.withheld_updates = world.withheld_updates, []
    if updates:
        for limiter in world.limiters:
            world.sim.after(world.scenario.discovery_lag_us, world._deliver_update, limiter, updates)


# By fault kind: function that applies a fault of the counter, the clients or discovery.
OTHER_FAULTS = {
    "counter_lost": _set_counter("is_down", True),
    "counter_back": _set_counter("is_down", False),
    "counter_slow": _set_counter("mode", model.Mode.SLOW),
    "counter_well": _set_counter("mode", model.Mode.NORMAL),
    "counter_restart": _restart_counter,
    "counter_cut": _cut_off_counter,
    "counter_split": _split_counter,
    "surge": _start_surge,
    "discovery_stale": _withhold_updates,
}


def _restore_servers(world: World, fault: Fault) -> None:
    for server in world.select_servers(fault):
        if fault.kind == "server_kill":
            _restart_server(world, server)
        else:
            server.mode, server.factor = model.Mode.NORMAL, 1.0


# By fault kind: function that reverts the fault after its duration. Other kinds last, and a killed limiter's
# restart is scheduled when it is killed.
FAULT_REVERSALS = {
    "server_kill": _restore_servers,
    "server_slow": _restore_servers,
    "server_failing": _restore_servers,
    "server_fast_errors": _restore_servers,
    "server_silent": _restore_servers,
    "counter_lost": OTHER_FAULTS["counter_back"],
    "counter_slow": OTHER_FAULTS["counter_well"],
    "counter_cut": lambda world, fault: setattr(world.counter, "unreachable_from", set()),
    "counter_split": lambda world, fault: setattr(world.counter, "split_from", None),
    "surge": lambda world, fault: setattr(world, "rate_factor", 1.0),
    "discovery_stale": _release_updates,
}
