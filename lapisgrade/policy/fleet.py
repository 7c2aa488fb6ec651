"""The servers: what is thought of each, which one an operation goes to, and how many hops may be out."""

import math
from hashlib import blake2b
from random import Random

from lapisgrade.interface import (
    AttemptOutcome,
    AttemptResult,
    Category,
    Clock,
    Operation,
    Placement,
    ServerEndpoint,
    ServerRules,
    ServerState,
)
from lapisgrade.policy.account import COUNTER_TTL_US
from lapisgrade.rate import SECOND, DecayingSum, TokenBucket

LATENCY_DECAY_US = 12 * SECOND  # us; how long what a hop took is remembered, some dozens of hops a server
LOAD_SHEDDING_THRESHOLD = 0.7  # of all room taken; the cheapest operations are turned back from here on
HEALTH_DECAY_US = 4 * SECOND  # us; how long an ill hop is held against its server
MIN_LIMITERS_PER_SUBSET = (
    3.0  # limiters that share each part at least; fewer are too uneven a load on its servers
)
LATENCY_PRIOR_WEIGHT = 4  # hops; weight of what is assumed before anything is seen
INITIAL_LATENCY_RATIO = 0.12  # of the quoted time that a hop is taken to last before any was seen
PRIOR_WEIGHT = 1.0  # hops; weight of the thought that a server is as fast as the rest
UNHEALTHY_WEIGHT = 3.0  # good hops that outweigh one ill one
UNRESPONSIVE_AFTER = 3.0  # expected durations without any answer after which a server is thought silent
SUBSET_SIZE = 6  # servers that one limiter of many sends to; few enough to know each, enough to lose some
MIN_IN_FLIGHT_PER_SERVER = (
    2.0  # hops out at one server, of all limiters, that are no queue; the bound's start and floor
)
LIMIT_STEP = 0.1  # hops that the bound moves by with each hop that lands, at most: about a tenth a round trip
TARGET_LATENCY_RATIO = 0.25  # of the quoted time; what hops may last in the mean, work and queue together
LIMIT_DECAY_US = 2 * SECOND  # us; how long a hop steers the bound, a few round trips
SLOW_START_SHARE = 0.4  # of what a cold server may be sent; the rest is for chance and for what we don't know


class LatencyEstimate:
    """What hops of one category took of late."""

    def __init__(self, guess: float) -> None:
        self.guess = guess
        self.took, self.square = DecayingSum(LATENCY_DECAY_US), DecayingSum(LATENCY_DECAY_US)
        self.hops, self.units = DecayingSum(LATENCY_DECAY_US), DecayingSum(LATENCY_DECAY_US)

    def add(self, now: int, took: int, units: float) -> None:
        self.took.add(now, took)
        self.square.add(now, took * took)
        self.hops.add(now, 1)
        self.units.add(now, units)

    def mean(self, now: int) -> float:
        return (self.took.read(now) + LATENCY_PRIOR_WEIGHT * self.guess) / (
            self.hops.read(now) + LATENCY_PRIOR_WEIGHT
        )

    def deviation(self, now: int) -> float:
        mean = self.mean(now)
        square = (self.square.read(now) + LATENCY_PRIOR_WEIGHT * 2 * mean * mean) / (
            self.hops.read(now) + LATENCY_PRIOR_WEIGHT
        )
        return math.sqrt(max(square - mean * mean, mean * mean / 4))

    def expected(self, now: int, units: float) -> float:
        # Half of a hop's time is taken to go with its units.
        typical = (self.units.read(now) + units) / (self.hops.read(now) + 1)
        return self.mean(now) * (0.5 + 0.5 * units / typical) if typical > 0 else self.mean(now)


class Attempt:
    """One sending of an operation to one server."""

    __slots__ = ("is_in_flight", "number", "operation", "sent_us", "server")

    def __init__(self, operation: Operation, server: "ObservedServer", number: int, sent: int) -> None:
        self.operation, self.server, self.number, self.sent_us, self.is_in_flight = (
            operation,
            server,
            number,
            sent,
            True,
        )


class ObservedServer:
    """One server as this limiter sees it."""

    def __init__(self, address: str) -> None:
        self.endpoint: ServerEndpoint | None = None
        self.address, self.last_sent_us = address, 0
        self.in_flight: dict[Attempt, None] = {}
        self.unresponsive_since_us = 0  # since when hops are out and none has come back; 0: not so
        self.latency_ratio, self.latency_samples = (
            DecayingSum(LATENCY_DECAY_US),
            DecayingSum(LATENCY_DECAY_US),
        )
        self.successes, self.failures = DecayingSum(HEALTH_DECAY_US), DecayingSum(HEALTH_DECAY_US)
        self.rejections: dict[str, DecayingSum] = {}  # times turned away of late, by plan and by category
        self.slow_start_budget: TokenBucket | None = (
            None  # that it may be sent while cold, in us; below 0: sent ahead
        )

    def is_ready(self) -> bool:
        return self.endpoint is not None and self.endpoint.state is ServerState.READY

    def health(self, now: int, usual: float) -> float:
        good, ill = self.successes.read(now), self.failures.read(now)
        health = (1 + good) / (1 + good + UNHEALTHY_WEIGHT * ill)
        if self.unresponsive_since_us:
            quiet = (now - self.unresponsive_since_us) / (UNRESPONSIVE_AFTER * usual)
            health /= max(1.0, quiet) ** 3
        return health

    def load(self, now: int, usual: float) -> float:
        """Hops out, overdue ones by their age: they tell of a queue before any lands."""
        return sum(max(1.0, (now - hop.sent_us) / usual) for hop in self.in_flight)

    def score(self, now: int, usual: float) -> float:
        speed = (self.latency_samples.read(now) + PRIOR_WEIGHT) / (
            self.latency_ratio.read(now) + PRIOR_WEIGHT
        )  # of those that came back
        return speed**2 * self.health(now, usual)


class ServerPool:
    """The list of servers, and what is thought of each."""

    def __init__(
        self, clock: Clock, random: Random, post: Placement, duties: ServerRules, categories: list
    ) -> None:
        self.clock, self.random, self.placement, self.rules = clock, random, post, duties
        self.servers: dict[str, ObservedServer] = {}
        self.latencies = {
            each.name: LatencyEstimate(INITIAL_LATENCY_RATIO * each.latency_target_us) for each in categories
        }
        self._completed_work = DecayingSum(LATENCY_DECAY_US)  # us of work that came back well
        self.subset: list[ObservedServer] = []  # those that this limiter sends to
        self.limit = self.in_flight = self._warm_servers = (
            0.0  # hops out at all servers, by this limiter; warm servers
        )
        self._latency_sum, self._latency_weight = DecayingSum(LIMIT_DECAY_US), DecayingSum(LIMIT_DECAY_US)

    def update(self, entries: list[ServerEndpoint], whole: bool) -> None:
        now = self.clock.now_us
        for server in self.servers.values() if whole else ():
            server.endpoint = None
        for entry in entries:
            server = self.servers.setdefault(entry.address, ObservedServer(entry.address))
            old, server.endpoint = server.endpoint, entry
            if entry.started_us and (old is None or old.started_us != entry.started_us):
                server.slow_start_budget = TokenBucket(now, 0.0, 0.0, 0.0)
                server.unresponsive_since_us, server.failures.value = 0, 0.0
        # One that is gone is forgotten when nothing of it is to come (guards memory, and the parts' sizes).
        self.servers = {
            name: each
            for name, each in self.servers.items()
            if each.in_flight
            or now - each.last_sent_us < COUNTER_TTL_US
            or (each.endpoint and each.endpoint.state is not ServerState.REMOVED)
        }
        self.choose_subset()
        if not self.limit:
            self.limit = max(1.0, MIN_IN_FLIGHT_PER_SERVER * len(entries) / self.placement.limiter_count)
        # Fewer or colder servers carry less from now on, before any hop tells (guards those that stay).
        was, self._warm_servers = (
            self._warm_servers,
            sum(self.slow_start_weight(each, now) for each in self.ready_servers()),
        )
        if self._warm_servers < was:
            self.limit = max(1.0, self.limit * self._warm_servers / was)

    def ready_servers(self) -> list[ObservedServer]:
        return [each for each in self.servers.values() if each.is_ready()]

    def choose_subset(self) -> None:
        """Choose this limiter's part of a large fleet: a round of limiters shares out a shuffle of it."""
        rounds = max(
            1,
            min(
                len(self.servers) // SUBSET_SIZE, int(self.placement.limiter_count / MIN_LIMITERS_PER_SUBSET)
            ),
        )
        turn, place = divmod(self.placement.limiter_index, rounds)
        order = sorted(self.servers.values(), key=lambda each: blake2b(
            f"{each.address} {turn}".encode(), digest_size=8).digest())  # fmt: skip
        start = place * len(order) // rounds
        ready = [each for each in order[start:] + order[:start] if each.is_ready()]
        self.subset = ready[: -(-len(order) // rounds)]

    def usual_latency_us(self, category: Category) -> float:
        return self.latencies[category.name].mean(
            self.clock.now_us
        )  # us that a hop of it lasts, on the whole

    def expected_latency_us(self, op: Operation) -> float:
        return self.latencies[op.category.name].expected(self.clock.now_us, op.units)

    def slow_start_weight(self, server: ObservedServer, now: int) -> float:
        """The share of its capacity that a server surely has."""
        started, duties = server.endpoint.started_us, self.rules
        if not started or duties.slow_start_us <= 0 or now - started >= duties.slow_start_us:
            return 1.0
        return (
            duties.slow_start_initial_weight
            + (1 - duties.slow_start_initial_weight) * max(0, now - started) / duties.slow_start_us
        )

    def has_slow_start_budget(self, server: ObservedServer, now: int) -> bool:
        """Whether a cold server may be sent this much more, by our part of the fleet's work."""
        warmth = self.slow_start_weight(server, now)
        if warmth >= 1.0 or server.slow_start_budget is None:
            return True
        # One now and then, by all limiters together one in the span of the rule: a fleet all cold gets going.
        if now - server.last_sent_us >= self.placement.limiter_count * self.rules.overload_window_us:
            return True
        warm = (
            sum(self.slow_start_weight(each, now) for each in self.subset) or 1.0
        )  # the part's, in warm servers
        rate = self._completed_work.read(now) / LATENCY_DECAY_US / warm
        server.slow_start_budget.rate_per_s = (
            SLOW_START_SHARE * self.rules.max_overload_factor * warmth * rate * SECOND
        )
        # What one of many may send in that span is less than one operation: it is paid for afterwards.
        return server.slow_start_budget.read(now) >= 0

    def utilization(self) -> float:
        return self.in_flight / self.limit if self.limit else 1.0

    def choose(self, op: Operation, tried: list[ObservedServer], allowed) -> ObservedServer | None:
        """Draw one at random, odds in step with the room that each is thought to have."""
        now, usual = self.clock.now_us, self.usual_latency_us(op.category)
        names, choices, odds = (op.plan.name, op.category.name), [], []
        for server in self.subset:
            if not allowed(server) or not self.has_slow_start_budget(server, now):
                continue
            room = server.endpoint.weight * self.slow_start_weight(server, now) * server.score(now, usual)
            full = min(
                server.rejections[name].read(now) if name in server.rejections else 0.0 for name in names
            )
            room /= (1 + server.load(now, usual)) ** 2 * (1 + UNHEALTHY_WEIGHT * full) ** 2
            choices.append(server)
            odds.append(room * (0.05 if server in tried else 1.0))
        return self.random.choices(choices, odds)[0] if choices else None

    def on_attempt_started(self, hop: Attempt) -> None:
        server = hop.server
        server.in_flight[hop], server.last_sent_us = None, hop.sent_us
        self.in_flight += 1
        if not server.unresponsive_since_us:
            server.unresponsive_since_us = hop.sent_us
        if server.slow_start_budget is not None:
            server.slow_start_budget.set_level(
                hop.sent_us,
                server.slow_start_budget.read(hop.sent_us) - self.expected_latency_us(hop.operation),
            )

    def on_attempt_finished(self, hop: Attempt, report: AttemptResult) -> None:
        server, now, category = hop.server, self.clock.now_us, hop.operation.category
        took, outcome, hop.is_in_flight = report.duration_us, report.outcome, False
        del server.in_flight[hop]
        self.in_flight -= 1
        if (
            outcome
            in (
                AttemptOutcome.OK,
                AttemptOutcome.ERROR,
                AttemptOutcome.INVALID_REQUEST,
                AttemptOutcome.OVERLOADED,
            )
            or not server.in_flight
        ):
            server.unresponsive_since_us = now if server.in_flight else 0
        if (
            outcome is AttemptOutcome.OVERLOADED
        ):  # it may have room for others (guards one plan that is turned away)
            for name in (hop.operation.plan.name, category.name):
                server.rejections.setdefault(name, DecayingSum(LATENCY_DECAY_US)).add(now, 1)
        if outcome in (AttemptOutcome.OVERLOADED, AttemptOutcome.INVALID_REQUEST, AttemptOutcome.NOT_SENT):
            return
        usual = self.expected_latency_us(hop.operation)
        if outcome is AttemptOutcome.OK:
            self.latencies[category.name].add(now, took, hop.operation.units)
            self._completed_work.add(now, usual)
            server.successes.add(now, 1)
        elif outcome is not AttemptOutcome.CANCELLED or took > UNRESPONSIVE_AFTER * usual:
            server.failures.add(now, 1)
        if outcome is AttemptOutcome.OK or took > usual:
            server.latency_ratio.add(now, min(took / usual, 10.0))
            server.latency_samples.add(now, 1)
            # A bad server's hops say little of the fleet; beside the others, so that all slow together count.
            mean = sum(each.score(now, usual) for each in self.subset) / max(1, len(self.subset))
            blame = min(1.0, server.score(now, usual) / mean) if mean else 1.0
            self._latency_sum.add(now, blame * min(took / category.latency_target_us, 2.0))
            self._latency_weight.add(now, blame)
            good = 1 - self._latency_sum.read(now) / (
                TARGET_LATENCY_RATIO * (self._latency_weight.read(now) + 0.1)
            )
            if good < 0 or self.in_flight + 1 >= LOAD_SHEDDING_THRESHOLD * self.limit:
                # When all are slow together, less out makes none faster (guards against idle servers).
                least = max(
                    1.0, MIN_IN_FLIGHT_PER_SERVER * len(self.ready_servers()) / self.placement.limiter_count
                )
                self.limit = max(least, self.limit + LIMIT_STEP * max(-1.0, min(1.0, good)))
