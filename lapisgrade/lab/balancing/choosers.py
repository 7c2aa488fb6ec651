"""Ways to choose a server, each as one limiter's: `choose` names one, `sent` and `landed` say the rest.

Textbook ways: random; round robin; least outstanding of the own; the better of two by what was last told
(Mitzenmacher, 2001); join-idle-queue (Lu et al., 2011). `FullSight` knows every queue and all speeds at once.
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
    def choose(self, now: int, tried: list[int]) -> int | None:
        """A server's number, None where all are taken up."""

    def sent(self, now: int, server: int) -> object: ...

    def landed(
        self, now: int, token: object, took: int, outcome: AttemptOutcome, load: tuple[int, int]
    ) -> None: ...


class Blind:
    """By chance; what others build on."""

    def __init__(self, spec: Spec, servers: list[Server], random: Random, number: int) -> None:
        self.spec, self.servers, self.random, self.number = spec, servers, random, number
        self.out = [0] * len(servers)

    def choose(self, now: int, tried: list[int]) -> int | None:
        fit = [each for each in range(len(self.servers)) if each not in tried]
        return self.pick(now, fit) if fit else None

    def pick(self, now: int, fit: list[int]) -> int:
        return self.random.choice(fit)

    def sent(self, now: int, server: int) -> int:
        self.out[server] += 1
        return server

    def landed(
        self, now: int, server: int, took: int, outcome: AttemptOutcome, load: tuple[int, int]
    ) -> None:
        self.out[server] -= 1


class RoundRobin(Blind):
    turn = 0

    def pick(self, now: int, fit: list[int]) -> int:
        self.turn += 1
        return fit[(self.number + self.turn) % len(fit)]


class LeastOut(Blind):
    def pick(self, now: int, fit: list[int]) -> int:
        return min(fit, key=lambda each: (self.out[each], self.random.random()))


class TwoChoices(Blind):
    """The better of two by its own word in its last answer to us, and by what we have out."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.told = [0] * len(self.servers)

    def pick(self, now: int, fit: list[int]) -> int:
        return min(
            self.random.sample(fit, min(2, len(fit))), key=lambda each: self.told[each] + self.out[each]
        )

    def landed(
        self, now: int, server: int, took: int, outcome: AttemptOutcome, load: tuple[int, int]
    ) -> None:
        super().landed(now, server, took, outcome, load)
        self.told[server] = sum(load)


class JoinIdle(Blind):
    """Servers with a free slot put themselves on one limiter's list; where that is empty, by chance."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.idle: dict[int, None] = {}

    def pick(self, now: int, fit: list[int]) -> int:
        for each in list(self.idle):
            del self.idle[each]
            if each in fit:
                return each
        return self.random.choice(fit)


class FullSight(Blind):
    """Knows what is at every server and on its way there, all speeds, and who is ill, at no cost."""

    def pick(self, now: int, fit: list[int]) -> int:
        zone = self.spec.zone(self.number)

        def takes(each: int) -> float:
            server = self.servers[each]
            wait = max(0, server.present + 1 - self.spec.slots) / self.spec.slots
            far = 2 * (self.spec.far_us if server.zone != zone else self.spec.near_us)
            return server.speed * self.spec.work_us * (1 + wait) * (10 if server.ill else 1) + far

        return min(fit, key=lambda each: (takes(each), self.random.random()))


class Own:
    """The system's chooser."""

    def __init__(self, spec: Spec, servers: list[Server], random: Random, number: int) -> None:
        self.spec, self.number = spec, number
        self.subsets = Subsets(spec.name(number), spec.zone(number))
        self.subsets.update_members(
            {spec.name(each): ("", "", spec.zone(each)) for each in range(spec.limiters)}
        )
        self.cluster = UpstreamCluster(random, spec.zone(number), self.subsets)
        self.latency = self.cluster.latency("r", spec.aim_us)
        self.numbers = {each.name: each.number for each in servers}
        for each in servers:
            self.cluster.update(
                0, registry.Server(each.name, "s", "10.0.0.1:1", each.zone, spec.slots, "up", 1)
            )
        self.names = [each.name for each in servers]

    def choose(self, now: int, tried: list[int]) -> int | None:
        already = [self.cluster.servers[self.names[each]] for each in tried]
        server = self.cluster.choose(now, self.latency.mean(now), already)
        return None if server is None else self.numbers[server.address]

    def sent(self, now: int, server: int) -> Attempt:
        attempt = Attempt(None, self.cluster.servers[self.names[server]], 0, now)
        self.cluster.on_attempt_started(now, attempt)
        return attempt

    def landed(
        self, now: int, attempt: Attempt, took: int, outcome: AttemptOutcome, load: tuple[int, int]
    ) -> None:
        told = {"running": load[0], "waiting": load[1], "slots": self.spec.slots}
        self.cluster.on_attempt_finished(now, attempt, AttemptResult(outcome, took, told), self.latency)


@dataclass(slots=True)
class Named:
    make: type
    talks: bool = False  # neighbours tell each other what they have out
    joins: bool = False  # idle servers join a limiter's list
    what: str = field(default="")


CHOOSERS = {
    "random": Named(Blind, what="by chance"),
    "round-robin": Named(RoundRobin, what="one after another"),
    "least-out": Named(LeastOut, what="fewest of its own out"),
    "two-choices": Named(TwoChoices, what="the better of two by their last word"),
    "join-idle": Named(JoinIdle, joins=True, what="idle servers come to a list"),
    "own": Named(Own, talks=True, what="the system's"),
    "full-sight": Named(FullSight, what="knows all at once"),
}
