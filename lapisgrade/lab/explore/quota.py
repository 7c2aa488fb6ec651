"""Exploration of the quota: a tenant that requests many times its limit never exceeds the QUOTA guarantee.

The guarantee holds over all limiters in any window. The exploration runs the production code of quota
clients, count owners, the leader's watch and the log's lists of live proxies in simulated time, with
partitions, frozen owners, processes killed one by one or all at once, leader changes, seconds without a
leader, late and lost replies, and lists of live proxies that reach each limiter at a different time. A run is
reproducible from its seed. Known defects can be injected, and each must be detected (`quota_defects`).
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import Any, Self

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.ownership import owner_of
from lapisgrade.lab.explore import activation
from lapisgrade.lab.explore.activation import MESSAGE_LOSS
from lapisgrade.lab.explore.exploration import (
    NO_SEED,
    Exploration,
    ExplorationResult,
    Print,
    print_nothing,
)
from lapisgrade.lab.explore.quota_defects import DEFECTS
from lapisgrade.lab.explore.quota_limiter import SLO, TENANT, Limiter
from lapisgrade.lab.explore.watch_proxy import MS, Proxy
from lapisgrade.lab.partitions.quota import max_in_window, quota_bound

UNIT = "requests"
ISOLATION_US = 2600 * MS  # long enough for the leader to remove an isolated limiter from the live proxies
TERMINATION_GRACE_US = 2600 * MS  # from the start of a graceful shutdown to the end of the process
DEMAND_FACTOR = 7.5  # the tenant's request rate as a multiple of its limit
RATES_AND_BURSTS = ((24.0, 24.0), (60.0, 60.0), (12.0, 40.0), (40.0, 8.0))  # requests/s, and requests
OWNER_FAULT_RATE = 0.6  # fraction of the faults that hit the count's owner
MAX_TRANSCRIPT_LINES = 30

FAULTS = (
    "isolated",
    "partitioned group",
    "frozen",
    "killed",
    "all killed",
    "leader lost",
    "graceful shutdown",
    "owner returns as the next is isolated",
)


class World(activation.World):
    """The leader of `activation.World`, and limiters that apply the rate limit of one tenant.

    This load replaces the calls of many tenants through the proxies' routes.
    """

    PROXY = Limiter
    proxies: list[Limiter]  # type: ignore[assignment]

    def __init__(self, seed: int, limiters: int = 8, tenant: Tenant | None = None) -> None:
        """Start a leader and `limiters` limiters; without a `tenant`, the seed selects its rate and burst."""
        rate, burst = Random(seed).choice(RATES_AND_BURSTS)
        self.tenant = tenant or Tenant(TENANT, ("k",), None, rate, burst)
        self.admitted_us: list[float] = []  # times of the admitted requests
        self.refused_count = 0
        self.granted_by: dict[int, set[str]] = {}  # owners that granted, by fencing token
        self.newest_grant = (0, "")  # the highest fencing token of any grant, and its owner
        self.stale_grant = ""  # description of a grant with an older token than another owner's before it
        self.leaderless_until_us = 0
        super().__init__(seed, limiters)

    def limiter_named(self, name: str) -> Limiter | None:
        """Return the limiter with that name, or None."""
        return next((limiter for limiter in self.proxies if limiter.name == name), None)

    def on_request_decided(self, is_admitted: bool) -> None:
        """Record the decision on a request."""
        if is_admitted:
            self.admitted_us.append(self.sim.now)
        else:
            self.refused_count += 1

    def on_granted(self, name: str, fencing_token: int) -> None:
        """Record a grant, and whether another owner has granted with a newer fencing token before."""
        names = self.granted_by.setdefault(fencing_token, set())
        if name not in names:
            names.add(name)
            self.note(f"{name} grants with fencing token {fencing_token}")
        newest, newest_by = self.newest_grant
        if fencing_token < newest and name != newest_by:
            self.stale_grant = (
                f"{name} grants with fencing token {fencing_token}, after {newest_by} with {newest}"
            )
        self.newest_grant = max(self.newest_grant, (fencing_token, name))

    # ---- network, faults and clients

    def deliver(self, proxy: Proxy, handler: Callable[..., None], *args: Any) -> None:
        """Deliver as the base class does, while there is a leader."""
        if self.sim.now >= self.leaderless_until_us:
            super().deliver(proxy, handler, *args)

    def deliver_between(
        self, sender: Limiter, receiver: Limiter, handler: Callable[..., object], *args: Any
    ) -> None:
        """Deliver between limiters; isolated limiters reach each other, but none of the others."""
        is_same_side = (sender.name in self.isolated) == (receiver.name in self.isolated)
        if is_same_side and self.random.random() > MESSAGE_LOSS:
            self.sim.after(self.random.choice((1, 1, 2, 5, 40, 140)) * MS, handler, *args)

    def inject_fault(self) -> None:
        """Inject a random fault, mostly at the count's owner."""
        kind = self.random.randrange(len(FAULTS))
        victim = self.random.choice(self.proxies)
        newest = max(self.proxies, key=lambda limiter: limiter.quota_owner.fencing_token)
        owners = newest.quota_owner.eligible_owners
        if owners and self.random.random() < OWNER_FAULT_RATE:
            name = owner_of(TENANT, owners)
            victim = next(limiter for limiter in self.proxies if limiter.name == name)
        others = self.random.sample(self.proxies, self.random.randrange(1, len(self.proxies)))
        duration_us = self.random.randrange(200, 5000) * MS
        self.note(f"{FAULTS[kind]} ({victim.name}, {len(others)}) for {duration_us / SECOND:.1f} s")
        self._inject(FAULTS[kind], victim, others, duration_us)

    def _inject(self, fault: str, victim: Limiter, others: list[Limiter], duration_us: int) -> None:
        match fault:
            case "isolated":
                self._isolate({victim.name}, duration_us)
            case "partitioned group":
                self._isolate({victim.name, *(limiter.name for limiter in others)}, duration_us)
            case "frozen":
                victim.frozen_until_us = self.sim.now + duration_us
            case "killed":
                victim.start()
            case "all killed":
                for limiter in self.proxies:
                    limiter.start()
            case "leader lost":
                self.leaderless_until_us = self.sim.now + duration_us // 2
                self.sim.at(self.leaderless_until_us, self.become_leader, self.term + 1)
            case "graceful shutdown":
                for limiter in (victim, *others[:2]):
                    limiter.is_terminating = True
                    self.sim.after(TERMINATION_GRACE_US, self._terminate, limiter, limiter.incarnation)
            case _:
                self.isolated.add(victim.name)
                self.sim.after(ISOLATION_US, self._return_while_next_owner_is_isolated, victim.name)

    def _isolate(self, names: set[str], duration_us: int) -> None:
        self.isolated |= names
        self.sim.after(duration_us, self.isolated.difference_update, names)

    def _return_while_next_owner_is_isolated(self, name: str) -> None:
        """Heal a limiter that is no longer a live proxy, and isolate the next owner of its count."""
        others = [limiter.name for limiter in self.proxies if limiter.name != name]
        next_owner = owner_of(TENANT, others)
        self.note(f"{name} is reachable again, {next_owner} is isolated")
        self.isolated.discard(name)
        self.isolated.add(next_owner)
        self.sim.after(ISOLATION_US, self.isolated.discard, next_owner)

    def _terminate(self, limiter: Limiter, incarnation: int) -> None:
        """Restart a process at the end of its graceful shutdown, unless it was killed before."""
        if limiter.incarnation == incarnation:
            limiter.start()

    def send_requests(self) -> None:
        """Send the next request of the open-loop load; a frozen limiter handles it when it wakes."""
        limiter = self.random.choice(self.proxies)
        self.call_count += 1
        limiter.when_awake(limiter.incarnation, limiter.request)
        pause_s = self.random.expovariate(DEMAND_FACTOR * self.tenant.rate_s)
        self.sim.after(pause_s * SECOND, self.send_requests)

    def run(self, fault_count: int = 6) -> Self:
        """Simulate `fault_count` faults under load, then a period without faults."""
        self.sim.run(self.sim.now + 2 * SECOND)
        self.send_requests()
        for _ in range(fault_count):
            self.sim.after(self.random.randrange(2 * SECOND), self.inject_fault)
            self.sim.run(self.sim.now + self.random.randrange(500, 4000) * MS)
        self.sim.run(self.sim.now + 6 * SECOND)
        return self

    # ---- findings

    @property
    def max_allowed(self) -> float:
        """Maximum number of requests per window that the QUOTA guarantee allows."""
        return quota_bound(SLO, self.tenant.rate_s, self.tenant.burst)

    @property
    def max_admitted(self) -> int:
        """Number of requests that were admitted in the worst window."""
        return max_in_window(self.admitted_us, SLO.quota_win)

    @property
    def has_violation(self) -> bool:
        """Whether the QUOTA guarantee or the rule of one owner per fencing token was violated."""
        has_two_owners = any(len(names) > 1 for names in self.granted_by.values())
        return self.max_admitted > self.max_allowed or bool(self.stale_grant) or has_two_owners

    def transcript(self) -> list[str]:
        """Return the last transcript lines, and the violations."""
        two_owners = [
            f"several owners with fencing token {token}: {sorted(names)}"
            for token, names in self.granted_by.items()
            if len(names) > 1
        ]
        stale = [self.stale_grant] if self.stale_grant else []
        totals = f"WRONG: {self.max_admitted} requests admitted in a window, {self.max_allowed:g} allowed"
        return [*self.transcript_lines[-MAX_TRANSCRIPT_LINES:], *two_owners, *stale, totals]


def explore(seeds: range, defect: str = "", print_line: Print = print_nothing) -> ExplorationResult:
    """Simulate seeds until one has a violation; counts requests, and prints the worst seed's usage."""
    shares: dict[int, float] = {}  # admitted requests as a fraction of the allowed ones, by seed

    def simulations(seed: int) -> Iterator[tuple[str, World]]:
        world = World(seed).run()
        shares[seed] = world.max_admitted / world.max_allowed
        yield f"seed {seed}", world

    exploration = Exploration(DEFECTS, simulations, lambda world: world.call_count)
    result = exploration.run(seeds, defect, print_line)
    if result.failing_seed == NO_SEED:
        worst = max(shares, key=lambda seed: shares[seed])
        print_line(f"worst window: {shares[worst]:.3f} of the allowed requests (seed {worst})")
    return result
