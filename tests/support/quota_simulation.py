"""Proxies that share one tenant's quota, in simulated time."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from lapisgrade.engine import Engine
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.client import QuotaClient
from lapisgrade.gateway.quota.epochs import MembershipUpdate
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.quota.ownership import owner_of
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import AddToCounter, Clock, CounterOutcome, CounterReply, Operation, Reject

SECOND = 1_000_000
SLO = Slo()
CALL_US = 2_000  # that a call of an owner takes
CALL_TIMEOUT_US = 250_000


def live_proxies(
    names: Iterable[str], incarnations: dict[str, int] | None = None
) -> dict[str, tuple[str, str, str]]:
    """The member list of those proxies: address, incarnation and zone by name."""
    known = incarnations or {}
    return {name: (f"10.0.0.{number}:1", str(known.get(name, 0)), "z") for number, name in enumerate(names)}


class SimulatedProxy:
    """The tenant's quota client at one proxy, and its owner of counts.

    It is the host of the client's engine: calls of an owner go to the other proxies of the simulation.
    """

    def __init__(self, simulation: "QuotaSimulation", name: str) -> None:
        now = simulation.now
        self.simulation, self.name, self.clock = simulation, name, Clock(now)
        self.engine = Engine(self, self.clock)
        self.quota_owner = QuotaOwner(name, str(simulation.incarnations.get(name, 0)), now)
        self.quota_client = QuotaClient(self.clock, simulation.tenant, SLO, len(simulation.names), now)
        self.is_isolated = False  # reaches no owner, and nobody reaches it

    def request(self) -> None:
        """A request of the tenant arrives."""
        simulation = self.simulation
        self.clock.now_us = simulation.now
        deadline_us = simulation.now + 2 * SECOND
        operation = Operation("t", None, None, 1.0, simulation.now, deadline_us, 1)

        def admit():
            retry_after_us = yield from self.quota_client.admit(operation)
            if retry_after_us is None:
                simulation.admitted_us.append(simulation.now)
            else:
                simulation.rejected += 1

        self.engine.run(admit(), operation)

    def add_to_counter(self, task: Any, add: AddToCounter) -> None:
        """Call the count's owner, which replies later, or not at all."""
        reply = self._call_owner()
        is_timed_out = reply.outcome is CounterOutcome.TIMED_OUT
        delay_us = CALL_TIMEOUT_US if is_timed_out else CALL_US
        self.simulation.schedule(delay_us, lambda: self._on_reply(task, reply))

    def _call_owner(self) -> CounterReply:
        simulation = self.simulation
        owner = simulation.proxies.get(owner_of("t", self.quota_owner.proxies))
        request = self.quota_client.quota_request(self.name, self.quota_owner.fencing_token)
        if owner is None or self.is_isolated or owner.is_isolated:
            return CounterReply(CounterOutcome.TIMED_OUT)
        reply = owner.quota_owner.add(simulation.now, request, simulation.now + SECOND)
        if not reply.is_accepted:
            return CounterReply(CounterOutcome.REJECTED)
        self.quota_client.gateway_count = reply.active_limiters
        return CounterReply(CounterOutcome.ADDED, reply.total)

    def _on_reply(self, task: Any, reply: CounterReply) -> None:
        if self.simulation.proxies.get(self.name) is self:  # not killed meanwhile
            self.clock.now_us = self.simulation.now
            self.engine.counter_replied(task, reply)

    def schedule_wakeup(self, when_us: int) -> None:
        """Run the engine's timers then."""

        def wake() -> None:
            self.clock.now_us = self.simulation.now
            self.engine.run_due_timers(is_wakeup=True)

        self.simulation.schedule(max(0, when_us - self.simulation.now), wake)

    # The rest of what an engine asks of its host: no attempts are sent here.
    def reject(self, operation: Operation, answer: Reject) -> None: ...
    def send(self, attempt: Any) -> None: ...
    def cancel(self, attempt: Any) -> None: ...
    def log(self, text: str) -> None: ...


class QuotaSimulation:
    """Simulated time, and proxies that serve one tenant.

    Attributes:
        admitted_us: When each request was admitted.
        rejected: How many were not.
        incarnations: How often each proxy was started anew, by name.
    """

    def __init__(self, proxies: int, rate: float = 60.0, burst: float = 60.0, seed: int = 1) -> None:
        self.now, self.random = 10 * SECOND, Random(seed)
        self.tenant = Tenant("t", ("k",), None, rate, burst)
        self.names = [f"c{number}" for number in range(proxies)]
        self.admitted_us: list[int] = []
        self.rejected = 0
        self.incarnations: dict[str, int] = {}
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self._scheduled = 0
        self.proxies = {name: SimulatedProxy(self, name) for name in self.names}
        self.fencing_token = 0
        self.update_members(self.names)

    def update_members(self, names: Iterable[str], to: Iterable[str] | None = None) -> None:
        """Give every proxy, or those in `to`, a new member list."""
        self.fencing_token += 1
        members = live_proxies(names, self.incarnations)
        for proxy in self.proxies.values():
            if to is None or proxy.name in to:
                update = MembershipUpdate(self.fencing_token, members)
                proxy.quota_owner.update_members(self.now, update)

    def schedule(self, delay_us: int, call: Callable[[], None]) -> None:
        """Call it after that time; calls of one moment come in the order that they were scheduled in."""
        self._scheduled += 1
        self.events.append((self.now + delay_us, self._scheduled, call))

    def run(self, seconds: float, requests_per_s: float, to: list[str] | None = None) -> None:
        """Move the clock, with requests at random proxies, or at those in `to`."""
        ends = self.now + int(seconds * SECOND)
        next_request = self.now
        while self.now < ends:
            self.events.sort(key=lambda event: event[:2])
            next_event = self.events[0][0] if self.events else ends
            if next_request <= next_event:
                self.now = max(self.now, next_request)
                next_request += int(self.random.expovariate(requests_per_s) * SECOND) + 1
                names = [name for name in to or self.proxies if name in self.proxies]
                self.proxies[self.random.choice(names)].request()
            else:
                self.now = max(self.now, next_event)
                self.events.pop(0)[2]()

    def max_admitted(self) -> int:
        """The most that was admitted within any quota window."""
        most, first = 0, 0
        for last, at in enumerate(self.admitted_us):
            while self.admitted_us[first] <= at - SLO.quota_win:
                first += 1
            most = max(most, last - first + 1)
        return most

    @property
    def bound(self) -> float:
        """What may be admitted within a quota window."""
        tenant = self.tenant
        return (tenant.rate_s * 5 + tenant.burst) * (1 + SLO.quota_excess) + SLO.quota_extra
