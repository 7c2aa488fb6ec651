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
CALL_US = 2_000  # duration of a call to an owner
CALL_TIMEOUT_US = 250_000


def live_proxies(
    names: Iterable[str], incarnations: dict[str, int] | None = None
) -> dict[str, tuple[str, str, str]]:
    """Return a membership of these proxies: address, incarnation and zone by name."""
    listed = incarnations or {}
    return {name: (f"10.0.0.{number}:1", str(listed.get(name, 0)), "z") for number, name in enumerate(names)}


class SimulatedProxy:
    """The tenant's quota client and the quota owner of one proxy.

    It is the host of the client's engine and sends calls to the owners at the simulation's other proxies.
    """

    def __init__(self, simulation: "QuotaSimulation", name: str) -> None:
        now = simulation.now
        self.simulation, self.name, self.clock = simulation, name, Clock(now)
        self.engine = Engine(self, self.clock)
        self.quota_owner = QuotaOwner(name, str(simulation.incarnations.get(name, 0)), now)
        self.quota_client = QuotaClient(self.clock, simulation.tenant, SLO, len(simulation.names), now)
        self.is_isolated = False  # partitioned: calls to and from other proxies time out

    def request(self) -> None:
        """Serve a new request of the tenant."""
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
        """Call the count's owner; the reply or the time-out follows later."""
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
        self.quota_client.sharing_limiter_count = reply.active_limiters
        return CounterReply(CounterOutcome.ADDED, reply.total)

    def _on_reply(self, task: Any, reply: CounterReply) -> None:
        if self.simulation.proxies.get(self.name) is self:  # not killed since
            self.clock.now_us = self.simulation.now
            self.engine.counter_replied(task, reply)

    def schedule_wakeup(self, when_us: int) -> None:
        """Run the engine's due timers at `when_us`."""

        def wake() -> None:
            self.clock.now_us = self.simulation.now
            self.engine.run_due_timers(is_wakeup=True)

        self.simulation.schedule(max(0, when_us - self.simulation.now), wake)

    # The other methods of an engine's host; this simulation sends no attempts.
    def reject(self, operation: Operation, answer: Reject) -> None: ...
    def send(self, attempt: Any) -> None: ...
    def cancel(self, attempt: Any) -> None: ...
    def log(self, text: str) -> None: ...


class QuotaSimulation:
    """Simulated time and the proxies that serve one tenant.

    Attributes:
        admitted_us: Times of the admitted requests.
        rejected: Number of rejected requests.
        incarnations: Number of restarts of each proxy, by name.
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
        """Send a new membership to all proxies, or to those in `to`."""
        self.fencing_token += 1
        members = live_proxies(names, self.incarnations)
        for proxy in self.proxies.values():
            if to is None or proxy.name in to:
                update = MembershipUpdate(self.fencing_token, members)
                proxy.quota_owner.update_members(self.now, update)

    def schedule(self, delay_us: int, call: Callable[[], None]) -> None:
        """Schedule a call; calls at the same time run in the order in which they were scheduled."""
        self._scheduled += 1
        self.events.append((self.now + delay_us, self._scheduled, call))

    def run(self, seconds: float, requests_per_s: float, to: list[str] | None = None) -> None:
        """Advance the clock and send requests to random proxies, or to random ones of those in `to`."""
        end_us = self.now + int(seconds * SECOND)
        next_request_us = self.now
        while self.now < end_us:
            self.events.sort(key=lambda event: event[:2])
            next_event_us = self.events[0][0] if self.events else end_us
            if next_request_us <= next_event_us:
                self.now = max(self.now, next_request_us)
                next_request_us += int(self.random.expovariate(requests_per_s) * SECOND) + 1
                names = [name for name in to or self.proxies if name in self.proxies]
                self.proxies[self.random.choice(names)].request()
            else:
                self.now = max(self.now, next_event_us)
                self.events.pop(0)[2]()

    def max_admitted(self) -> int:
        """Return the maximum number of requests admitted within any quota window."""
        max_count, first_index = 0, 0
        for last_index, at_us in enumerate(self.admitted_us):
            while self.admitted_us[first_index] <= at_us - SLO.quota_win:
                first_index += 1
            max_count = max(max_count, last_index - first_index + 1)
        return max_count

    @property
    def bound(self) -> float:
        """The maximum number of requests that may be admitted within a quota window."""
        tenant = self.tenant
        return (tenant.rate_s * 5 + tenant.burst) * (1 + SLO.quota_excess) + SLO.quota_extra
