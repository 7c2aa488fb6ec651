"""Proxies that share one tenant's quota, in simulated time."""

from random import Random

from lapisgrade.engine import Engine
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.client import QuotaClient
from lapisgrade.gateway.quota.epochs import MembershipUpdate
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.quota.ownership import owner_of
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import Clock, CounterOutcome, CounterReply, Operation, Reject

SECOND = 1_000_000


SLO = Slo()


def live_proxies(names, lives=None) -> dict[str, tuple[str, str, str]]:
    lives = lives or {}
    return {name: (f"10.0.0.{number}:1", str(lives.get(name, 0)), "z") for number, name in enumerate(names)}


class Proxy:
    """A quota client and an owner; what it lets in is written down with its time."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name, self.clock = world, name, Clock(world.now)
        self.engine = Engine(self, self.clock)
        self.quota_owner = QuotaOwner(name, str(world.lives.get(name, 0)), world.now)
        self.quota_client = QuotaClient(self.clock, world.tenant, SLO, len(world.names), world.now)
        self.dark = False  # hears no owner
        self.timer = None

    def request(self) -> None:
        self.clock.now_us = self.world.now
        op = Operation("t", None, None, 1.0, self.world.now, self.world.now + 2 * SECOND, 1)

        def run():
            wait = yield from self.quota_client.admit(op)
            if wait is None:
                self.world.let.append(self.world.now)
            else:
                self.world.refused += 1

        self.engine.run(run(), op)

    def add_to_counter(self, task, add) -> None:
        world = self.world
        name = owner_of("t", self.quota_owner.proxies)
        ask = self.quota_client.quota_request(self.name, self.quota_owner.fencing_token)
        other = world.proxies.get(name)
        total = CounterReply(CounterOutcome.TIMED_OUT)
        if other is not None and not self.dark and not other.dark:
            taken = other.quota_owner.add(world.now, ask, world.acts_until.get(name, world.now + SECOND))
            total = (
                CounterReply(CounterOutcome.ADDED, taken.total)
                if taken.is_accepted
                else CounterReply(CounterOutcome.REJECTED)
            )
            if taken.is_accepted:
                self.quota_client.gateway_count = taken.active_limiters
        world.later(
            2000 if total.outcome is not CounterOutcome.TIMED_OUT else 250_000,
            lambda: self.added(task, total),
        )

    def added(self, task, total: CounterReply) -> None:
        if self.world.proxies.get(self.name) is self:
            self.clock.now_us = self.world.now
            self.engine.counter_replied(task, total)

    def reject(self, operation, answer: Reject) -> None: ...
    def send(self, hop) -> None: ...
    def cancel(self, hop) -> None: ...
    def log(self, text: str) -> None: ...

    def schedule_wakeup(self, when_us: int) -> None:
        def wake() -> None:
            self.clock.now_us = self.world.now
            self.engine.run_due_timers(ticked=True)

        self.world.later(max(0, when_us - self.world.now), wake)


class World:
    def __init__(self, proxies: int, rate: float = 60.0, burst: float = 60.0, seed: int = 1) -> None:
        self.now, self.random, self.order = 10 * SECOND, Random(seed), 0
        self.tenant = Tenant("t", ("k",), None, rate, burst)
        self.names = [f"c{number}" for number in range(proxies)]
        self.events: list = []
        self.let: list[int] = []
        self.refused = 0
        self.acts_until: dict[str, int] = {}
        self.lives: dict[str, int] = {}
        self.proxies = {name: Proxy(self, name) for name in self.names}
        self.fence = 0
        self.tell(self.names)

    def tell(self, names, to=None) -> None:
        self.fence += 1
        for each in self.proxies.values():
            if to is None or each.name in to:
                each.quota_owner.update_members(
                    self.now, MembershipUpdate(self.fence, live_proxies(names, self.lives))
                )

    def later(self, wait: int, call) -> None:
        self.order += 1
        self.events.append((self.now + wait, self.order, call))

    def run(self, seconds: float, a_second: float, to=None) -> None:
        """Requests of the tenant, by chance at any proxy, so many a second."""
        ends = self.now + int(seconds * SECOND)
        ask = self.now
        while self.now < ends:
            self.events.sort(key=lambda each: each[:2])
            at = self.events[0][0] if self.events else ends
            if ask <= at:
                self.now = max(self.now, ask)
                ask += int(self.random.expovariate(a_second) * SECOND) + 1
                names = [name for name in to or self.proxies if name in self.proxies]
                self.proxies[self.random.choice(names)].request()
            else:
                self.now = max(self.now, at)
                self.events.pop(0)[2]()

    def worst(self) -> int:
        """The most that was let in, in any QuotaWin."""
        most, first = 0, 0
        for last, at in enumerate(self.let):
            while self.let[first] <= at - SLO.quota_win:
                first += 1
            most = max(most, last - first + 1)
        return most

    @property
    def bound(self) -> float:
        tenant = self.tenant
        return (tenant.rate_s * 5 + tenant.burst) * (1 + SLO.quota_excess) + SLO.quota_extra
