"""The quota explored: a tenant that asks for many times its limit never gets more than QUOTA allows.

Over all limiters, in any window. Quota clients, owners, the leader's watch and the log's lists of live
proxies are as they are, in simulated time: halves that are cut off, owners that freeze and wake, processes
that are killed one by one or all at once, leaders that change or are missing for seconds, replies that are
late or lost, lists of live proxies that reach each limiter at its own time. A seed replays exactly. Known
defects can be put in; each must be found.
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
AWAY_US = 2600 * MS  # that a limiter is cut off until it is surely counted out
TERMINATION_GRACE_US = 2600 * MS  # that a process goes on once it was told to end
DEMAND_FACTOR = 7.5  # times its rate that the tenant asks for
LIMITS = ((24.0, 24.0), (60.0, 60.0), (12.0, 40.0), (40.0, 8.0))  # rate and burst
OWNER_FAULT_SHARE = 0.6  # of the faults that hit the count's owner
MAX_LINES = 30

FAULTS = (
    "cut off",
    "half cut off",
    "frozen",
    "killed",
    "all killed",
    "leader lost",
    "told to end",
    "back while the next is cut",
)


class World(activation.World):
    """The same leader, and one tenant with a limit in place of many with routes."""

    PROXY = Limiter
    proxies: list[Limiter]  # type: ignore[assignment]

    def __init__(self, seed: int, limiters: int = 8, tenant: Tenant | None = None) -> None:
        """Start a leader and so many limiters; the tenant's limit is drawn unless it is given."""
        rate, burst = Random(seed).choice(LIMITS)
        self.tenant = tenant or Tenant(TENANT, ("k",), None, rate, burst)
        self.admitted_us: list[float] = []  # when each request was that was admitted
        self.refused_count = 0
        self.granted_by: dict[int, set[str]] = {}  # by fencing token, who granted under it
        self.newest_grant = (0, "")  # the newest fencing token that was granted under, and by whom
        self.stale_grant = ""  # who granted under an older token than another one before
        self.leaderless_until_us = 0
        super().__init__(seed, limiters)

    def limiter_named(self, name: str) -> Limiter | None:
        """The limiter of that name, None for none."""
        return next((limiter for limiter in self.proxies if limiter.name == name), None)

    def on_request_decided(self, is_admitted: bool) -> None:
        """Count a request."""
        if is_admitted:
            self.admitted_us.append(self.sim.now)
        else:
            self.refused_count += 1

    def on_granted(self, name: str, fencing_token: int) -> None:
        """Check a grant: one owner under each token, and none under an older one than before."""
        names = self.granted_by.setdefault(fencing_token, set())
        if name not in names:
            names.add(name)
            self.note(f"{name} grants under {fencing_token}")
        newest, newest_by = self.newest_grant
        if fencing_token < newest and name != newest_by:
            self.stale_grant = f"{name} grants under {fencing_token}, after {newest_by} under {newest}"
        self.newest_grant = max(self.newest_grant, (fencing_token, name))

    # ---- network, faults and clients

    def deliver(self, proxy: Proxy, handler: Callable[..., None], *args: Any) -> None:
        """As before, where there is a leader."""
        if self.sim.now >= self.leaderless_until_us:
            super().deliver(proxy, handler, *args)

    def deliver_between(
        self, sender: Limiter, receiver: Limiter, handler: Callable[..., object], *args: Any
    ) -> None:
        """Deliver between limiters: those that are cut off reach each other, and none of the rest."""
        is_same_side = (sender.name in self.isolated) == (receiver.name in self.isolated)
        if is_same_side and self.random.random() > MESSAGE_LOSS:
            self.sim.after(self.random.choice((1, 1, 2, 5, 40, 140)) * MS, handler, *args)

    def inject_fault(self) -> None:
        """Bring a fault on, at random; more often than not where the count's owner is."""
        kind = self.random.randrange(len(FAULTS))
        victim = self.random.choice(self.proxies)
        newest = max(self.proxies, key=lambda limiter: limiter.quota_owner.fencing_token)
        owners = newest.quota_owner.eligible_owners
        if owners and self.random.random() < OWNER_FAULT_SHARE:
            name = owner_of(TENANT, owners)
            victim = next(limiter for limiter in self.proxies if limiter.name == name)
        others = self.random.sample(self.proxies, self.random.randrange(1, len(self.proxies)))
        duration_us = self.random.randrange(200, 5000) * MS
        self.note(f"{FAULTS[kind]} ({victim.name}, {len(others)}) for {duration_us / SECOND:.1f} s")
        self._inject(FAULTS[kind], victim, others, duration_us)

    def _inject(self, fault: str, victim: Limiter, others: list[Limiter], duration_us: int) -> None:
        match fault:
            case "cut off":
                self._isolate({victim.name}, duration_us)
            case "half cut off":
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
            case "told to end":
                for limiter in (victim, *others[:2]):
                    limiter.is_terminating = True
                    self.sim.after(TERMINATION_GRACE_US, self._terminate, limiter, limiter.incarnation)
            case _:
                self.isolated.add(victim.name)
                self.sim.after(AWAY_US, self._return_while_next_owner_is_isolated, victim.name)

    def _isolate(self, names: set[str], duration_us: int) -> None:
        self.isolated |= names
        self.sim.after(duration_us, self.isolated.difference_update, names)

    def _return_while_next_owner_is_isolated(self, name: str) -> None:
        """One that was counted out is back, just as the owner of its counts since is cut off."""
        others = [limiter.name for limiter in self.proxies if limiter.name != name]
        next_owner = owner_of(TENANT, others)
        self.note(f"{name} is back, {next_owner} is cut off")
        self.isolated.discard(name)
        self.isolated.add(next_owner)
        self.sim.after(AWAY_US, self.isolated.discard, next_owner)

    def _terminate(self, limiter: Limiter, incarnation: int) -> None:
        """End a process that was told to, unless it was killed before, and start it anew."""
        if limiter.incarnation == incarnation:
            limiter.start()

    def send_requests(self) -> None:
        """Send the next request of the open loop; where its limiter is frozen it waits there."""
        limiter = self.random.choice(self.proxies)
        self.call_count += 1
        limiter.when_awake(limiter.incarnation, limiter.request)
        pause_s = self.random.expovariate(DEMAND_FACTOR * self.tenant.rate_s)
        self.sim.after(pause_s * SECOND, self.send_requests)

    def run(self, changes: int = 6) -> Self:
        """Simulate so many faults, and a calm end."""
        self.sim.run(self.sim.now + 2 * SECOND)
        self.send_requests()
        for _ in range(changes):
            self.sim.after(self.random.randrange(2 * SECOND), self.inject_fault)
            self.sim.run(self.sim.now + self.random.randrange(500, 4000) * MS)
        self.sim.run(self.sim.now + 6 * SECOND)
        return self

    # ---- findings

    @property
    def max_allowed(self) -> float:
        """Requests that QUOTA allows in a window."""
        return quota_bound(SLO, self.tenant.rate_s, self.tenant.burst)

    @property
    def max_admitted(self) -> int:
        """Requests that were admitted in the worst window."""
        return max_in_window(self.admitted_us, SLO.quota_win)

    @property
    def is_wrong(self) -> bool:
        """Whether QUOTA or the rule of one owner was broken."""
        has_two_owners = any(len(names) > 1 for names in self.granted_by.values())
        return self.max_admitted > self.max_allowed or bool(self.stale_grant) or has_two_owners

    def transcript(self) -> list[str]:
        """The last lines, and what is wrong."""
        two_owners = [
            f"fence {token}: {sorted(names)}" for token, names in self.granted_by.items() if len(names) > 1
        ]
        stale = [self.stale_grant] if self.stale_grant else []
        totals = f"WRONG: {self.max_admitted} in a window, {self.max_allowed:g} allowed"
        return [*self.transcript_lines[-MAX_LINES:], *two_owners, *stale, totals]


def explore(seeds: range, defect: str = "", print_line: Print = print_nothing) -> ExplorationResult:
    """Simulate each seed until one goes wrong; counts the requests, prints how near the worst came."""
    shares: dict[int, float] = {}  # of what is allowed, by seed

    def simulations(seed: int) -> Iterator[tuple[str, World]]:
        world = World(seed).run()
        shares[seed] = world.max_admitted / world.max_allowed
        yield f"seed {seed}", world

    exploration = Exploration(DEFECTS, simulations, lambda world: world.call_count)
    result = exploration.run(seeds, defect, print_line)
    if result.wrong_seed == NO_SEED:
        worst = max(shares, key=lambda seed: shares[seed])
        print_line(f"nearest: {shares[worst]:.3f} of what is allowed (seed {worst})")
    return result
