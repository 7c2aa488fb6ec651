"""Simulation of one load balancer. Each one gets the same arrivals, work and unhealthy servers for a seed."""

import math
import time
from dataclasses import dataclass
from random import Random

from lapisgrade.interface import AttemptOutcome
from lapisgrade.lab.balancing.choosers import CHOOSERS, JoinIdleQueue
from lapisgrade.lab.balancing.model import Server, Spec
from lapisgrade.lab.emulator.sim import Sim

SECOND = 1_000_000
REPORT_DELAY_US = 6_000  # collects changes of the requests in flight into one report, as a proxy does
REPORT_HEADER_BYTES = 60  # size of a load report without its items, with frame and TCP headers
REPORT_ITEM_BYTES = 14  # size of the item of one server in a load report


@dataclass(slots=True)
class SimulationResult:
    """Measurements of one simulation.

    Attributes:
        name: Name of the load balancer.
        requests: Number of requests.
        in_target: Fraction of requests that were served within the latency target.
        served: Fraction of requests that were served within the client's time-out.
        mean_ms: Mean latency of served requests.
        p99_ms: 99th percentile of their latency.
        queue_length: Mean number of requests waiting at the chosen server when an attempt is sent.
        other_zone: Fraction of attempts that were sent to another zone.
        retries: Attempts beyond the first, per request.
        reports_s: Load reports sent per second and limiter.
        report_kib_s: KiB of load reports sent per second and limiter.
        choice_us: Mean time that the machine of the simulation took for one choice; not simulated time.
    """

    name: str
    requests: int
    in_target: float
    served: float
    mean_ms: float
    p99_ms: float
    queue_length: float
    other_zone: float
    retries: float
    reports_s: float
    report_kib_s: float
    choice_us: float


class Request:
    """One request of a client.

    Attributes:
        started_us: Time at which the client sent it.
        limiter: Number of the limiter that receives it.
        work: Time (us) that it takes on a server of normal speed.
        tried: Numbers of the servers that its attempts were sent to, in order.
    """

    __slots__ = ("hops", "is_over", "limiter", "started_us", "tried", "work")

    def __init__(self, started_us: int, limiter: int, work: float) -> None:
        self.started_us, self.limiter, self.work = started_us, limiter, work
        self.tried: list[int] = []
        self.is_over = False


class Simulation:
    """One run of one load balancer.

    Attributes:
        spec: The parameters.
        name: Name of the load balancer in `CHOOSERS`.
        weights: Relative rates of the requests at the limiters.
        latencies_us: Latencies of the requests that were served within the client's time-out.
        far_attempts: Number of attempts that were sent to another zone.
        queued: Sum, over all attempts, of the requests that waited at the server when the attempt was sent.
        choice_s: Time that this machine took for all choices.
        due_reports: Limiters whose next load report is scheduled.
    """

    def __init__(self, spec: Spec, name: str) -> None:
        self.spec, self.name, self.kind, self.sim = spec, name, CHOOSERS[name], Sim()
        self.sim.now = SECOND
        random = Random(spec.seed)
        self.arrival_random, self.work_random, self.fault_random = (
            Random(random.getrandbits(64)) for _ in range(3)
        )
        slowdowns = spec.slowdowns or (1.0,)
        self.servers = [
            Server(each, f"z{each % spec.zones}", slowdowns[(each // spec.zones) % len(slowdowns)])
            for each in range(spec.servers)
        ]
        self.limiters = [
            self.kind.make(spec, self.servers, Random(random.getrandbits(64)), each)
            for each in range(spec.limiters)
        ]
        # Clients are hashed to limiters, so the limiters' shares of the load differ, as in production.
        self.weights = [0.5 + random.random() for _ in range(spec.limiters)]
        self.latencies_us: list[int] = []
        self.requests = self.attempts = self.far_attempts = self.queued = self.reports = self.report_bytes = 0
        self.choice_s = 0.0
        self.due_reports: set[int] = set()

    def run(self) -> SimulationResult:
        """Run the simulation."""
        spec, end_us = self.spec, SECOND + int(self.spec.seconds * SECOND)
        if spec.unhealthy_share:
            unhealthy = self.fault_random.sample(self.servers, round(spec.unhealthy_share * spec.servers))
            self.sim.at(SECOND + (end_us - SECOND) // 4, self.set_unhealthy, unhealthy, True)
            self.sim.at(SECOND + 3 * (end_us - SECOND) // 4, self.set_unhealthy, unhealthy, False)
        arrival_us = float(SECOND)
        while (arrival_us := arrival_us + self.arrival_random.expovariate(spec.rate) * SECOND) < end_us:
            limiter = self.arrival_random.choices(range(spec.limiters), self.weights)[0]
            # The mean of the log-normal factor is 1, so the mean work is `work_us`.
            work = spec.work_us * self.work_random.lognormvariate(-(spec.sigma**2) / 2, spec.sigma)
            self.sim.at(int(arrival_us), self.arrive, Request(int(arrival_us), limiter, work))
        self.sim.run(end_us + spec.timeout_us + SECOND)
        latencies_us = sorted(self.latencies_us) or [0]
        return SimulationResult(
            self.name,
            self.requests,
            sum(each <= spec.latency_target_us for each in self.latencies_us) / max(1, self.requests),
            len(self.latencies_us) / max(1, self.requests),
            sum(latencies_us) / len(latencies_us) / 1000,
            latencies_us[min(len(latencies_us) - 1, math.ceil(0.99 * len(latencies_us)))] / 1000,
            self.queued / max(1, self.attempts),
            self.far_attempts / max(1, self.attempts),
            self.attempts / max(1, self.requests) - 1,
            self.reports / spec.limiters / spec.seconds,
            self.report_bytes / spec.limiters / spec.seconds / 1024,
            self.choice_s / max(1, self.attempts) * SECOND,
        )

    def set_unhealthy(self, servers: list[Server], is_unhealthy: bool) -> None:
        """Make servers unhealthy or healthy."""
        for each in servers:
            each.is_unhealthy = is_unhealthy

    # ---- a request

    def arrive(self, request: Request) -> None:
        """Handle a new request at its limiter."""
        self.requests += 1
        self.send(request)

    def send(self, request: Request) -> None:
        """Send an attempt; without an available server the request ends without a response."""
        now_us, limiter = self.sim.now, self.limiters[request.limiter]
        started_s = time.perf_counter()
        number = limiter.choose(now_us, request.tried)
        self.choice_s += time.perf_counter() - started_s
        if number is None:
            return
        server = self.servers[number]
        request.tried.append(number)
        server.outstanding += 1
        self.attempts += 1
        self.queued += len(server.queue)
        is_far = server.zone != self.spec.zone(request.limiter)
        self.far_attempts += is_far
        token = limiter.on_sent(now_us, number)
        self.schedule_load_report(request.limiter)
        network_us = self.spec.far_us if is_far else self.spec.near_us
        self.sim.after(network_us, self.arrive_at_server, request, server, token, now_us, network_us)

    def arrive_at_server(
        self, request: Request, server: Server, token, sent_us: int, network_us: int
    ) -> None:
        """Run, queue or reject an attempt at its server, which fails some attempts while it is unhealthy.

        Args:
            request: The request.
            server: The server.
            token: Result of the limiter's `on_sent`.
            sent_us: Time at which the limiter sent the attempt.
            network_us: One-way network latency between limiter and server.
        """
        spec = self.spec
        if server.is_unhealthy and self.fault_random.random() < spec.failure_share:
            self.respond(request, server, token, sent_us, network_us, AttemptOutcome.ERROR)
        elif server.running < spec.slots:
            self.start_run(request, server, token, sent_us, network_us)
        elif len(server.queue) < spec.queue:
            server.queue.append((request, token, sent_us, network_us))
        else:
            self.respond(request, server, token, sent_us, network_us, AttemptOutcome.OVERLOADED)

    def start_run(self, request: Request, server: Server, token, sent_us: int, network_us: int) -> None:
        """Run an attempt in a free slot."""
        server.running += 1
        self.sim.after(
            request.work * server.slowdown, self.finish_run, request, server, token, sent_us, network_us
        )

    def finish_run(self, request: Request, server: Server, token, sent_us: int, network_us: int) -> None:
        """Respond, and run the next queued attempt; else a server may join a random limiter's idle queue."""
        server.running -= 1
        self.respond(request, server, token, sent_us, network_us, AttemptOutcome.OK)
        if server.queue:
            self.start_run(server.queue[0][0], server, *server.queue.pop(0)[1:])
        elif self.kind.uses_idle_queue:
            limiter: JoinIdleQueue = self.fault_random.choice(self.limiters)
            self.sim.after(network_us, limiter.idle.setdefault, server.number)

    def respond(
        self, request: Request, server: Server, token, sent_us: int, network_us: int, outcome: AttemptOutcome
    ) -> None:
        """Send an attempt's response, with the server's current load, to the limiter."""
        server.outstanding -= 1
        load = (server.running, len(server.queue))
        self.sim.after(network_us, self.on_response, request, token, sent_us, outcome, load)

    def on_response(
        self, request: Request, token, sent_us: int, outcome: AttemptOutcome, load: tuple[int, int]
    ) -> None:
        """Handle a response at the limiter; retry a failed request unless its tries or time are used up."""
        now_us = self.sim.now
        self.limiters[request.limiter].on_response(now_us, token, now_us - sent_us, outcome, load)
        self.schedule_load_report(request.limiter)
        if outcome is AttemptOutcome.OK:
            if now_us - request.started_us <= self.spec.timeout_us:
                self.latencies_us.append(now_us - request.started_us)
        elif len(request.tried) < self.spec.tries and now_us - request.started_us < self.spec.timeout_us:
            self.send(request)

    # ---- load reports between neighbours

    def schedule_load_report(self, limiter: int) -> None:
        """Send a load report after `REPORT_DELAY_US`, unless one is due already."""
        if self.kind.exchanges_loads and limiter not in self.due_reports:
            self.due_reports.add(limiter)
            self.sim.after(REPORT_DELAY_US, self.send_load_report, limiter)

    def send_load_report(self, limiter: int) -> None:
        """Send the limiter's requests in flight and unhealthy servers to its neighbours."""
        self.due_reports.discard(limiter)
        sender = self.limiters[limiter]
        in_flight, unhealthy = sender.cluster.in_flight(), sender.cluster.unhealthy_servers(self.sim.now)
        for name in sender.subsets.neighbours:
            self.reports += 1
            self.report_bytes += REPORT_HEADER_BYTES + REPORT_ITEM_BYTES * (len(in_flight) + len(unhealthy))
            self.sim.after(
                self.spec.near_us,
                self.on_load_report,
                int(name[1:]),
                sender.subsets.name,
                in_flight,
                unhealthy,
            )

    def on_load_report(
        self, limiter: int, sender: str, in_flight: dict[str, int], unhealthy: list[str]
    ) -> None:
        """Handle a neighbour's load report at a limiter."""
        self.limiters[limiter].subsets.on_load_report(self.sim.now, sender, in_flight, unhealthy)


def comparison_table(spec: Spec, names: list[str]) -> list[str]:
    """Simulate load balancers and return a Markdown table with a row for each.

    The column `gap` is how much the fraction within the target is below that of `full-sight`.
    """
    results = {name: Simulation(spec, name).run() for name in names}
    best = results.get("full-sight")
    lines = [
        "| chooser | in target | gap | served | mean ms | p99 ms | queue length | other zone | retries | "
        "reports/s | KiB/s | us per choice |",
        "| --- " * 12 + "|",
    ]
    for each in results.values():
        gap = f"{best.in_target - each.in_target:.3f}" if best else ""
        lines.append(
            f"| {each.name} | {each.in_target:.3f} | {gap} | {each.served:.3f} | {each.mean_ms:.0f} | "
            f"{each.p99_ms:.0f} | {each.queue_length:.2f} | {each.other_zone:.2f} | {each.retries:.3f} | "
            f"{each.reports_s:.1f} | {each.report_kib_s:.2f} | {each.choice_us:.0f} |"
        )
    return lines
