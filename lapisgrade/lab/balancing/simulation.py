"""One run of one chooser. The same seed gives the same arrivals, work and ill servers to every chooser."""

import math
import time
from dataclasses import dataclass
from random import Random

from lapisgrade.interface import AttemptOutcome
from lapisgrade.lab.balancing.choosers import CHOOSERS, JoinIdle
from lapisgrade.lab.balancing.model import Server, Spec
from lapisgrade.lab.emulator.sim import Sim

SECOND = 1_000_000
GATHER_US = 6_000  # changes of what is out are told together, as a proxy does
WORD_BYTES = 60  # of one word between neighbours, frame and TCP's headers with it, without what it lists
ITEM_BYTES = 14  # of one server in it


@dataclass(slots=True)
class Figures:
    name: str
    requests: int
    in_aim: float  # share
    served: float  # share
    mean_ms: float
    p99_ms: float
    waited: float  # mean number waiting at a server, over those that were sent to
    far: float  # share that went to another zone
    again: float  # sendings beyond the first, a request
    words: float  # a second and limiter
    kib: float  # a second and limiter, of words
    us: float  # of this machine's time, a choice


class Request:
    __slots__ = ("at", "hops", "limiter", "over", "tried", "work")

    def __init__(self, at: int, limiter: int, work: float) -> None:
        self.at, self.limiter, self.work = at, limiter, work
        self.tried: list[int] = []
        self.over = False


class Simulation:
    def __init__(self, spec: Spec, name: str) -> None:
        self.spec, self.name, self.kind, self.sim = spec, name, CHOOSERS[name], Sim()
        self.sim.now = SECOND
        chance = Random(spec.seed)
        self.arrivals, self.works, self.luck = (Random(chance.getrandbits(64)) for _ in range(3))
        speeds = spec.speeds or (1.0,)
        self.servers = [
            Server(each, f"z{each % spec.zones}", speeds[(each // spec.zones) % len(speeds)])
            for each in range(spec.servers)
        ]
        self.limiters = [
            self.kind.make(spec, self.servers, Random(chance.getrandbits(64)), each)
            for each in range(spec.limiters)
        ]
        # Clients are hashed onto limiters: the shares are uneven, as the platform's are.
        self.weights = [0.5 + chance.random() for _ in range(spec.limiters)]
        self.took: list[int] = []
        self.requests = self.sent = self.far = self.waiting = self.words = self.bytes = 0
        self.spent = 0.0
        self.telling: set[int] = set()

    def run(self) -> Figures:
        spec, ends = self.spec, SECOND + int(self.spec.seconds * SECOND)
        if spec.unhealthy_share:
            ill = self.luck.sample(self.servers, round(spec.unhealthy_share * spec.servers))
            self.sim.at(SECOND + (ends - SECOND) // 4, self.turn, ill, True)
            self.sim.at(SECOND + 3 * (ends - SECOND) // 4, self.turn, ill, False)
        at = float(SECOND)
        while (at := at + self.arrivals.expovariate(spec.rate) * SECOND) < ends:
            limiter = self.arrivals.choices(range(spec.limiters), self.weights)[0]
            work = spec.work_us * self.works.lognormvariate(-(spec.sigma**2) / 2, spec.sigma)
            self.sim.at(int(at), self.arrive, Request(int(at), limiter, work))
        self.sim.run(ends + spec.ends_us + SECOND)
        took = sorted(self.took) or [0]
        return Figures(
            self.name,
            self.requests,
            sum(each <= spec.aim_us for each in self.took) / max(1, self.requests),
            len(self.took) / max(1, self.requests),
            sum(took) / len(took) / 1000,
            took[min(len(took) - 1, math.ceil(0.99 * len(took)))] / 1000,
            self.waiting / max(1, self.sent),
            self.far / max(1, self.sent),
            self.sent / max(1, self.requests) - 1,
            self.words / spec.limiters / spec.seconds,
            self.bytes / spec.limiters / spec.seconds / 1024,
            self.spent / max(1, self.sent) * SECOND,
        )

    def turn(self, servers: list[Server], ill: bool) -> None:
        for each in servers:
            each.ill = ill

    # ---- a request

    def arrive(self, request: Request) -> None:
        self.requests += 1
        self.send(request)

    def send(self, request: Request) -> None:
        now, limiter = self.sim.now, self.limiters[request.limiter]
        began = time.perf_counter()
        number = limiter.choose(now, request.tried)
        self.spent += time.perf_counter() - began
        if number is None:
            return
        server = self.servers[number]
        request.tried.append(number)
        server.present += 1
        self.sent += 1
        self.waiting += len(server.queue)
        far = server.zone != self.spec.zone(request.limiter)
        self.far += far
        token = limiter.sent(now, number)
        self.tell(request.limiter)
        way = self.spec.far_us if far else self.spec.near_us
        self.sim.after(way, self.reach, request, server, token, now, way)

    def reach(self, request: Request, server: Server, token, sent: int, way: int) -> None:
        spec = self.spec
        if server.ill and self.luck.random() < spec.fails:
            self.answer(request, server, token, sent, way, AttemptOutcome.ERROR)
        elif server.running < spec.slots:
            self.start(request, server, token, sent, way)
        elif len(server.queue) < spec.queue:
            server.queue.append((request, token, sent, way))
        else:
            self.answer(request, server, token, sent, way, AttemptOutcome.OVERLOADED)

    def start(self, request: Request, server: Server, token, sent: int, way: int) -> None:
        server.running += 1
        self.sim.after(request.work * server.speed, self.done, request, server, token, sent, way)

    def done(self, request: Request, server: Server, token, sent: int, way: int) -> None:
        server.running -= 1
        self.answer(request, server, token, sent, way, AttemptOutcome.OK)
        if server.queue:
            self.start(server.queue[0][0], server, *server.queue.pop(0)[1:])
        elif self.kind.joins:
            other: JoinIdle = self.luck.choice(self.limiters)
            self.sim.after(way, other.idle.setdefault, server.number)

    def answer(
        self, request: Request, server: Server, token, sent: int, way: int, outcome: AttemptOutcome
    ) -> None:
        server.present -= 1
        load = (server.running, len(server.queue))
        self.sim.after(way, self.landed, request, token, sent, outcome, load)

    def landed(
        self, request: Request, token, sent: int, outcome: AttemptOutcome, load: tuple[int, int]
    ) -> None:
        now = self.sim.now
        self.limiters[request.limiter].landed(now, token, now - sent, outcome, load)
        self.tell(request.limiter)
        if outcome is AttemptOutcome.OK:
            if now - request.at <= self.spec.ends_us:
                self.took.append(now - request.at)
        elif len(request.tried) < self.spec.tries and now - request.at < self.spec.ends_us:
            self.send(request)

    # ---- words between neighbours

    def tell(self, limiter: int) -> None:
        if self.kind.talks and limiter not in self.telling:
            self.telling.add(limiter)
            self.sim.after(GATHER_US, self.told, limiter)

    def told(self, limiter: int) -> None:
        self.telling.discard(limiter)
        own = self.limiters[limiter]
        out, ill = own.cluster.in_flight(), own.cluster.unhealthy_servers(self.sim.now)
        for name in own.subsets.neighbours:
            self.words += 1
            self.bytes += WORD_BYTES + ITEM_BYTES * (len(out) + len(ill))
            self.sim.after(self.spec.near_us, self.heard, int(name[1:]), own.subsets.name, out, ill)

    def heard(self, limiter: int, by: str, out: dict[str, int], ill: list[str]) -> None:
        self.limiters[limiter].subsets.on_load_report(self.sim.now, by, out, ill)


def comparison_table(spec: Spec, names: list[str]) -> list[str]:
    """A Markdown table, one chooser a row; `gap` is what full sight has in aim beyond it."""
    rows = {name: Simulation(spec, name).run() for name in names}
    best = rows.get("full-sight")
    out = [
        "| chooser | in aim | gap | served | mean ms | p99 ms | waiting | other zone | again | "
        "words/s | KiB/s | us a choice |",
        "| --- " * 12 + "|",
    ]
    for each in rows.values():
        gap = f"{best.in_aim - each.in_aim:.3f}" if best else ""
        out.append(
            f"| {each.name} | {each.in_aim:.3f} | {gap} | {each.served:.3f} | {each.mean_ms:.0f} | "
            f"{each.p99_ms:.0f} | {each.waited:.2f} | {each.far:.2f} | {each.again:.3f} | {each.words:.1f} | "
            f"{each.kib:.2f} | {each.us:.0f} |"
        )
    return out
