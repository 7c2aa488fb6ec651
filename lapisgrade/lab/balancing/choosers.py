"""Load balancers, one instance for each limiter.

Textbook algorithms: random; round robin; least outstanding requests of this limiter; the better of two random
servers by the last reported load (Mitzenmacher, 2001); join-idle-queue (Lu et al., 2011). `FullKnowledge`
knows all queues and speeds without delay.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from lapisgrade.gateway import registry
from lapisgrade.gateway.membership.subsets import Subsets
from lapisgrade.gateway.routing.balancer import UpstreamCluster
from lapisgrade.interface import AttemptOutcome, AttemptResult
from lapisgrade.lab.balancing.model import Server, Spec
from lapisgrade.policy.attempt import Attempt


class Chooser(Protocol):
    """A load balancer of one limiter. All times are in microseconds."""

    def choose(self, now_us: int, tried: list[int]) -> int | None:
        """Return the number of a server for an attempt, or None if no server is available.

        Args:
            now_us: Current time.
            tried: Servers that the request's previous attempts were sent to.
        """

    def on_sent(self, now_us: int, server: int) -> object:
        """Record that an attempt was sent; return a token for `on_response`."""
        ...

    def on_response(
        self, now_us: int, token: object, latency_us: int, outcome: AttemptOutcome, load: tuple[int, int]
    ) -> None:
        """Record the end of an attempt; `load` is the server's number of running and queued requests."""
        ...


class RandomChooser:
    """Chooses a server at random; base class of the other textbook algorithms.

    Attributes:
        number: Number of the limiter.
        in_flight: This limiter's requests in flight, by number of the server.
    """

    def __init__(self, spec: Spec, servers: list[Server], random: Random, number: int) -> None:
        self.spec, self.servers, self.random, self.number = spec, servers, random, number
        self.in_flight = [0] * len(servers)

    def choose(self, now_us: int, tried: list[int]) -> int | None:
        candidates = [each for each in range(len(self.servers)) if each not in tried]
        return self.pick(now_us, candidates) if candidates else None

    def pick(self, now_us: int, candidates: list[int]) -> int:
        """Return one of the candidates, which are not empty."""
        return self.random.choice(candidates)

    def on_sent(self, now_us: int, server: int) -> int:
        self.in_flight[server] += 1
        return server

    def on_response(
        self, now_us: int, server: int, latency_us: int, outcome: AttemptOutcome, load: tuple[int, int]
    ) -> None:
        self.in_flight[server] -= 1


class RoundRobin(RandomChooser):
    """Chooses the servers in turn; each limiter starts at another one."""

    turn = 0

    def pick(self, now_us: int, candidates: list[int]) -> int:
        self.turn += 1
        return candidates[(self.number + self.turn) % len(candidates)]


class LeastOutstanding(RandomChooser):
    """Chooses the server with the fewest requests in flight from this limiter, at random among equals."""

    def pick(self, now_us: int, candidates: list[int]) -> int:
        return min(candidates, key=lambda each: (self.in_flight[each], self.random.random()))


class TwoChoices(RandomChooser):
    """Chooses the better of two random servers by reported load plus this limiter's requests in flight."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.reported_load = [0] * len(self.servers)

    def pick(self, now_us: int, candidates: list[int]) -> int:
        return min(
            self.random.sample(candidates, min(2, len(candidates))),
            key=lambda each: self.reported_load[each] + self.in_flight[each],
        )

    def on_response(
        self, now_us: int, server: int, latency_us: int, outcome: AttemptOutcome, load: tuple[int, int]
    ) -> None:
        super().on_response(now_us, server, latency_us, outcome, load)
        self.reported_load[server] = sum(load)


class JoinIdleQueue(RandomChooser):
    """Chooses a server from the limiter's queue of idle servers; at random if it is empty.

    A server with a free slot joins the queue of one limiter.
    """

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.idle: dict[int, None] = {}

    def pick(self, now_us: int, candidates: list[int]) -> int:
        for each in list(self.idle):
            del self.idle[each]
            if each in candidates:
                return each
        return self.random.choice(candidates)


class FullKnowledge(RandomChooser):
    """Chooses by the current outstanding requests, speed and health of all servers, at no cost."""

    def pick(self, now_us: int, candidates: list[int]) -> int:
        zone = self.spec.zone(self.number)

        def expected_us(number: int) -> float:
            """Estimate the latency; an unhealthy server counts as ten times as slow."""
            server = self.servers[number]
            rounds_waited = max(0, server.outstanding + 1 - self.spec.slots) / self.spec.slots
            network_us = 2 * (self.spec.far_us if server.zone != zone else self.spec.near_us)
            return (
                server.slowdown * self.spec.work_us * (1 + rounds_waited) * (10 if server.is_unhealthy else 1)
                + network_us
            )

        return min(candidates, key=lambda each: (expected_us(each), self.random.random()))


class GatewayChooser:
    """The gateway's own balancer."""

    def __init__(self, spec: Spec, servers: list[Server], random: Random, number: int) -> None:
        self.spec, self.number = spec, number
        self.subsets = Subsets(spec.name(number), spec.zone(number))
        self.subsets.update_members(
            {spec.name(each): ("", "", spec.zone(each)) for each in range(spec.limiters)}
        )
        self.cluster = UpstreamCluster(random, spec.zone(number), self.subsets)
        self.latency = self.cluster.latency(0, "r")  # all requests have one route
        self.number_by_name = {each.name: each.number for each in servers}
        # All servers are registered from the start, under one address that is never connected to.
        for each in servers:
            self.cluster.update(
                0, registry.Server(each.name, "s", "10.0.0.1:1", each.zone, spec.slots, "up", 1)
            )
        self.names = [each.name for each in servers]

    def choose(self, now_us: int, tried: list[int]) -> int | None:
        tried_servers = [self.cluster.servers[self.names[each]] for each in tried]
        server = self.cluster.choose(now_us, self.latency.mean(now_us), tried_servers)
        return None if server is None else self.number_by_name[server.address]

    def on_sent(self, now_us: int, server: int) -> Attempt:
        attempt = Attempt(None, self.cluster.servers[self.names[server]], 0, now_us)
        self.cluster.on_attempt_started(now_us, attempt)
        return attempt

    def on_response(
        self, now_us: int, attempt: Attempt, latency_us: int, outcome: AttemptOutcome, load: tuple[int, int]
    ) -> None:
        reported = {"running": load[0], "waiting": load[1], "slots": self.spec.slots}
        self.cluster.on_attempt_finished(
            now_us, attempt, AttemptResult(outcome, latency_us, reported), self.latency
        )


@dataclass(slots=True)
class ChooserKind:
    """A load balancer and what it needs from the simulation.

    Attributes:
        make: Its class; called with the parameters, the servers, a random generator and the limiter's number.
        exchanges_loads: Whether neighbouring limiters report their requests in flight to each other.
        uses_idle_queue: Whether idle servers join a limiter's queue.
        description: Short description.
    """

    make: type
    exchanges_loads: bool = False
    uses_idle_queue: bool = False
    description: str = field(default="")


CHOOSERS = {
    "random": ChooserKind(RandomChooser, description="random"),
    "round-robin": ChooserKind(RoundRobin, description="round robin"),
    "least-out": ChooserKind(LeastOutstanding, description="least outstanding requests of this limiter"),
    "two-choices": ChooserKind(TwoChoices, description="better of two by last reported load"),
    "join-idle": ChooserKind(JoinIdleQueue, uses_idle_queue=True, description="join-idle-queue"),
    "own": ChooserKind(GatewayChooser, exchanges_loads=True, description="the gateway's own"),
    "full-sight": ChooserKind(FullKnowledge, description="knows all servers without delay"),
}
"""Load balancers by the name that the command line and the table use."""
