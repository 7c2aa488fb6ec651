"""The servers: what is thought of each, which one an operation goes to, and how many hops may be out."""

import math
from hashlib import blake2b
from random import Random

from lapisgrade.decide.account import NAME_LIFE
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
from lapisgrade.sums import SECOND, Bucket, Decaying

PACE_LIFE = 12 * SECOND  # us; how long what a hop took is remembered, some dozens of hops a server
SHED_FROM = 0.7  # of all room taken; the cheapest operations are turned back from here on
HEALTH_LIFE = 4 * SECOND  # us; how long an ill hop is held against its server
LIMITERS_FEW = 3.0  # limiters that share each part at least; fewer are too uneven a load on its servers
PRIOR = 4  # hops; weight of what is assumed before anything is seen
FIRST_GUESS = 0.12  # of the quoted time that a hop is taken to last before any was seen
SOUND = 1.0  # hops; weight of the thought that a server is as fast as the rest
SICK = 3.0  # good hops that outweigh one ill one
QUIET = 3.0  # expected durations without any answer after which a server is thought silent
PART = 6  # servers that one limiter of many sends to; few enough to know each, enough to lose some
HOPS_LEAST = 2.0  # hops out at one server, of all limiters, that are no queue; the bound's start and floor
STEER = 0.1  # hops that the bound moves by with each hop that lands, at most: about a tenth a round trip
GOOD_TIME = 0.25  # of the quoted time; what hops may last in the mean, work and queue together
STEER_LIFE = 2 * SECOND  # us; how long a hop steers the bound, a few round trips
COLD_SHARE = 0.4  # of what a cold server may be sent; the rest is for chance and for what we don't know


class LatencyEstimate:
    """What hops of one category took of late."""

    def __init__(self, guess: float) -> None:
        self.guess = guess
        self.took, self.square = Decaying(PACE_LIFE), Decaying(PACE_LIFE)
        self.hops, self.units = Decaying(PACE_LIFE), Decaying(PACE_LIFE)

    def add(self, now: int, took: int, units: float) -> None:
        self.took.add(now, took)
        self.square.add(now, took * took)
        self.hops.add(now, 1)
        self.units.add(now, units)

    def mean(self, now: int) -> float:
        return (self.took.read(now) + PRIOR * self.guess) / (self.hops.read(now) + PRIOR)

    def deviation(self, now: int) -> float:
        mean = self.mean(now)
        square = (self.square.read(now) + PRIOR * 2 * mean * mean) / (self.hops.read(now) + PRIOR)
        return math.sqrt(max(square - mean * mean, mean * mean / 4))

    def expected(self, now: int, units: float) -> float:
        # Half of a hop's time is taken to go with its units.
        typical = (self.units.read(now) + units) / (self.hops.read(now) + 1)
        return self.mean(now) * (0.5 + 0.5 * units / typical) if typical > 0 else self.mean(now)


class Attempt:
    """One sending of an operation to one server."""

    __slots__ = ("number", "operation", "out", "sent", "server")

    def __init__(self, operation: Operation, server: "Server", number: int, sent: int) -> None:
        self.operation, self.server, self.number, self.sent, self.out = operation, server, number, sent, True


class Server:
    """One server as this limiter sees it."""

    def __init__(self, address: str) -> None:
        self.entry: ServerEndpoint | None = None
        self.address, self.last_sent = address, 0
        self.out: dict[Attempt, None] = {}
        self.silent_from = 0  # since when hops are out and none has come back; 0: not so
        self.stretch, self.hops = Decaying(PACE_LIFE), Decaying(PACE_LIFE)
        self.good, self.ill = Decaying(HEALTH_LIFE), Decaying(HEALTH_LIFE)
        self.full: dict[str, Decaying] = {}  # times turned away of late, by plan and by category
        self.work: Bucket | None = None  # that it may be sent while cold, in us; below 0: sent ahead

    def ready(self) -> bool:
        return self.entry is not None and self.entry.state is ServerState.READY

    def health(self, now: int, usual: float) -> float:
        good, ill = self.good.read(now), self.ill.read(now)
        health = (1 + good) / (1 + good + SICK * ill)
        if self.silent_from:
            quiet = (now - self.silent_from) / (QUIET * usual)
            health /= max(1.0, quiet) ** 3
        return health

    def load(self, now: int, usual: float) -> float:
        """Hops out, overdue ones by their age: they tell of a queue before any lands."""
        return sum(max(1.0, (now - hop.sent) / usual) for hop in self.out)

    def standing(self, now: int, usual: float) -> float:
        speed = (self.hops.read(now) + SOUND) / (self.stretch.read(now) + SOUND)  # of those that came back
        return speed**2 * self.health(now, usual)


class Fleet:
    """The list of servers, and what is thought of each."""

    def __init__(
        self, clock: Clock, random: Random, post: Placement, duties: ServerRules, categories: list
    ) -> None:
        self.clock, self.random, self.post, self.duties = clock, random, post, duties
        self.servers: dict[str, Server] = {}
        self.paces = {each.name: LatencyEstimate(FIRST_GUESS * each.latency_target_us) for each in categories}
        self.carried = Decaying(PACE_LIFE)  # us of work that came back well
        self.part: list[Server] = []  # those that this limiter sends to
        self.bound = self.out = self.warm = 0.0  # hops out at all servers, by this limiter; warm servers
        self.lasted, self.landings = Decaying(STEER_LIFE), Decaying(STEER_LIFE)

    def listed(self, entries: list[ServerEndpoint], whole: bool) -> None:
        now = self.clock.now_us
        for server in self.servers.values() if whole else ():
            server.entry = None
        for entry in entries:
            server = self.servers.setdefault(entry.address, Server(entry.address))
            old, server.entry = server.entry, entry
            if entry.started_us and (old is None or old.started_us != entry.started_us):
                server.work = Bucket(now, 0.0, 0.0, 0.0)
                server.silent_from, server.ill.value = 0, 0.0
        # One that is gone is forgotten when nothing of it is to come (guards memory, and the parts' sizes).
        self.servers = {name: each for name, each in self.servers.items() if each.out or (now - each.last_sent
            < NAME_LIFE) or (each.entry and each.entry.state is not ServerState.REMOVED)}  # fmt: skip
        self.divide()
        if not self.bound:
            self.bound = max(1.0, HOPS_LEAST * len(entries) / self.post.limiter_count)
        # Fewer or colder servers carry less from now on, before any hop tells (guards those that stay).
        was, self.warm = self.warm, sum(self.warmth(each, now) for each in self.ready())
        if self.warm < was:
            self.bound = max(1.0, self.bound * self.warm / was)

    def ready(self) -> list[Server]:
        return [each for each in self.servers.values() if each.ready()]

    def divide(self) -> None:
        """Choose this limiter's part of a large fleet: a round of limiters shares out a shuffle of it."""
        rounds = max(1, min(len(self.servers) // PART, int(self.post.limiter_count / LIMITERS_FEW)))
        turn, place = divmod(self.post.limiter_index, rounds)
        order = sorted(self.servers.values(), key=lambda each: blake2b(
            f"{each.address} {turn}".encode(), digest_size=8).digest())  # fmt: skip
        start = place * len(order) // rounds
        ready = [each for each in order[start:] + order[:start] if each.ready()]
        self.part = ready[: -(-len(order) // rounds)]

    def usual(self, category: Category) -> float:
        return self.paces[category.name].mean(self.clock.now_us)  # us that a hop of it lasts, on the whole

    def expected(self, op: Operation) -> float:
        return self.paces[op.category.name].expected(self.clock.now_us, op.units)

    def warmth(self, server: Server, now: int) -> float:
        """The share of its capacity that a server surely has."""
        started, duties = server.entry.started_us, self.duties
        if not started or duties.slow_start_us <= 0 or now - started >= duties.slow_start_us:
            return 1.0
        return (
            duties.slow_start_initial_weight
            + (1 - duties.slow_start_initial_weight) * max(0, now - started) / duties.slow_start_us
        )

    def cold_room(self, server: Server, now: int) -> bool:
        """Whether a cold server may be sent this much more, by our part of the fleet's work."""
        warmth = self.warmth(server, now)
        if warmth >= 1.0 or server.work is None:
            return True
        # One now and then, by all limiters together one in the span of the rule: a fleet all cold gets going.
        if now - server.last_sent >= self.post.limiter_count * self.duties.overload_window_us:
            return True
        warm = sum(self.warmth(each, now) for each in self.part) or 1.0  # the part's, in warm servers
        rate = self.carried.read(now) / PACE_LIFE / warm
        server.work.rate = COLD_SHARE * self.duties.max_overload_factor * warmth * rate * SECOND
        # What one of many may send in that span is less than one operation: it is paid for afterwards.
        return server.work.read(now) >= 0

    def fullness(self) -> float:
        return self.out / self.bound if self.bound else 1.0

    def draw(self, op: Operation, tried: list[Server], allowed) -> Server | None:
        """Draw one at random, odds in step with the room that each is thought to have."""
        now, usual = self.clock.now_us, self.usual(op.category)
        names, choices, odds = (op.plan.name, op.category.name), [], []
        for server in self.part:
            if not allowed(server) or not self.cold_room(server, now):
                continue
            room = server.entry.weight * self.warmth(server, now) * server.standing(now, usual)
            full = min(server.full[name].read(now) if name in server.full else 0.0 for name in names)
            room /= (1 + server.load(now, usual)) ** 2 * (1 + SICK * full) ** 2
            choices.append(server)
            odds.append(room * (0.05 if server in tried else 1.0))
        return self.random.choices(choices, odds)[0] if choices else None

    def sent(self, hop: Attempt) -> None:
        server = hop.server
        server.out[hop], server.last_sent = None, hop.sent
        self.out += 1
        if not server.silent_from:
            server.silent_from = hop.sent
        if server.work is not None:
            server.work.put(hop.sent, server.work.read(hop.sent) - self.expected(hop.operation))

    def landed(self, hop: Attempt, report: AttemptResult) -> None:
        server, now, category = hop.server, self.clock.now_us, hop.operation.category
        took, outcome, hop.out = report.duration_us, report.outcome, False
        del server.out[hop]
        self.out -= 1
        if (
            outcome
            in (
                AttemptOutcome.OK,
                AttemptOutcome.ERROR,
                AttemptOutcome.INVALID_REQUEST,
                AttemptOutcome.OVERLOADED,
            )
            or not server.out
        ):
            server.silent_from = now if server.out else 0
        if (
            outcome is AttemptOutcome.OVERLOADED
        ):  # it may have room for others (guards one plan that is turned away)
            for name in (hop.operation.plan.name, category.name):
                server.full.setdefault(name, Decaying(PACE_LIFE)).add(now, 1)
        if outcome in (AttemptOutcome.OVERLOADED, AttemptOutcome.INVALID_REQUEST, AttemptOutcome.NOT_SENT):
            return
        usual = self.expected(hop.operation)
        if outcome is AttemptOutcome.OK:
            self.paces[category.name].add(now, took, hop.operation.units)
            self.carried.add(now, usual)
            server.good.add(now, 1)
        elif outcome is not AttemptOutcome.CANCELLED or took > QUIET * usual:
            server.ill.add(now, 1)
        if outcome is AttemptOutcome.OK or took > usual:
            server.stretch.add(now, min(took / usual, 10.0))
            server.hops.add(now, 1)
            # A bad server's hops say little of the fleet; beside the others, so that all slow together count.
            mean = sum(each.standing(now, usual) for each in self.part) / max(1, len(self.part))
            blame = min(1.0, server.standing(now, usual) / mean) if mean else 1.0
            self.lasted.add(now, blame * min(took / category.latency_target_us, 2.0))
            self.landings.add(now, blame)
            good = 1 - self.lasted.read(now) / (GOOD_TIME * (self.landings.read(now) + 0.1))
            if good < 0 or self.out + 1 >= SHED_FROM * self.bound:
                # When all are slow together, less out makes none faster (guards against idle servers).
                least = max(1.0, HOPS_LEAST * len(self.ready()) / self.post.limiter_count)
                self.bound = max(least, self.bound + STEER * max(-1.0, min(1.0, good)))
