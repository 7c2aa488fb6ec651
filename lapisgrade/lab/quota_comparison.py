"""Compares, in simulated time, three ways to enforce a tenant's quota at many limiters.

They are the gateway's own design, a counter owned by one proxy that grants leases; an even share of the quota
for each limiter; and a counter call per request. A tenant's clients load the limiters unevenly. A period
without faults is measured, then one that begins with the counter's owner isolated.
"""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import product
from random import Random

import msgspec

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.count import capacity
from lapisgrade.gateway.quota.ownership import owner_of
from lapisgrade.gateway.watch_timing import LONG_POLL_US
from lapisgrade.interface import CounterOutcome
from lapisgrade.lab.explore import quota as quota_exploration
from lapisgrade.lab.explore.watch_proxy import WatchCall
from lapisgrade.lab.partitions.quota import max_in_window, quota_bound
from lapisgrade.rate import TokenBucket

WARM_UP_S = 8  # with load, until all limiters have the list of live proxies and leases; not measured
FAULT_FREE_S = 8  # measured period without faults
ISOLATED_S = 4  # first part of the second period: the counter's owner is isolated
RECOVERY_S = 4  # rest of the second period: the owner is reachable again
PARETO_SHAPE = 1.2  # of the distribution of load over limiters; the emulator's customers have the same
PROPOSAL_INTERVAL_US = 20_000  # between two batches of the leader's commands
NETWORK_DELAY_US = 1_000  # one way between two machines
FRAME_HEADER_BYTES = 4  # per message, counted in addition to its encoded body


class OwnedCounterLimiter(quota_exploration.Limiter):
    """The gateway's own design: one proxy owns the counter and grants leases of allowance."""

    def add_to_counter(self, task, add) -> None:
        """Send an add to the owner as the explorer does, and count it."""
        super().add_to_counter(task, add)
        self.world.on_counter_call(self.quota_client.quota_request(self.name, self.quota_owner.fencing_token))


class EvenShareLimiter(quota_exploration.Limiter):
    """Each limiter enforces an even share of rate and burst (at least a burst of one), without any calls."""

    def start(self) -> None:
        """Start a new incarnation with a full bucket."""
        super().start()
        tenant, count = self.world.tenant, self.world.limiter_count
        burst = self.world.capacity / count
        self.bucket = TokenBucket(self.world.sim.now, tenant.rate_s / count, max(1.0, burst), max(1.0, burst))

    def request(self) -> None:
        """Admit a request of one unit if this limiter's bucket holds it."""
        now, level = self.world.sim.now, self.bucket.read(self.world.sim.now)
        self.world.on_request_decided(level >= 1.0)
        if level >= 1.0:
            self.bucket.set_level(now, level - 1.0)


class CentralCounterLimiter(quota_exploration.Limiter):
    """Calls the owner for each request of one unit; the owner decides, and a call without reply rejects."""

    def start(self) -> None:
        """Start a new incarnation with an empty bucket, which it uses if it is the owner."""
        super().start()
        self.bucket = TokenBucket(self.world.sim.now, self.world.tenant.rate_s, self.world.capacity, 0.0)

    def request(self) -> None:
        """Ask the owner for one unit; its reply, or the time-out, decides."""
        self.quota_client.taken_units = 1.0
        self.quota_client.returned_units = 0.0
        self.add_to_counter(None, None)
        self.world.on_counter_call(self.quota_client.quota_request(self.name, self.quota_owner.fencing_token))

    def add(self, request: rpc_messages.QuotaRequest) -> rpc_messages.QuotaReply:
        """Decide as the owner: accept if the bucket holds a unit and the fencing token is the owner's."""
        now, level = self.world.sim.now, self.bucket.read(self.world.sim.now)
        if level >= 1.0:
            self.bucket.set_level(now, level - 1.0)
        return rpc_messages.QuotaReply(
            request.fencing_token == self.quota_owner.fencing_token and level >= 1.0
        )

    def on_counter_reply(self, task, reply) -> None:
        """Admit the request if the owner accepted it."""
        self.world.on_request_decided(reply.outcome is CounterOutcome.ADDED)


POLICIES = {"own": OwnedCounterLimiter, "local": EvenShareLimiter, "central": CentralCounterLimiter}


class ComparisonWorld(quota_exploration.World):
    """The explorer's world with an isolated owner as its only fault; measures counter calls and bytes.

    Attributes:
        PROXY: Class of the limiters, by the policy.
        limiter_count: Number of limiters.
        demand_factor: The tenant's request rate as a multiple of its limit.
        next_proposal_us: Earliest time of the leader's next batch of commands.
        capacity: Capacity of the counter of the tenant's quota, in requests.
        request_count: Number of requests of the tenant's clients.
        rejected_count: Number of rejected requests.
        counter_call_count: Number of calls to the counter's owner.
        sent_bytes: Size of these calls and their replies.
        shares: Relative load of each limiter.
    """

    def __init__(self, policy: str, limiters: int, demand_factor: float, seed: int, tenant: Tenant) -> None:
        """Start a leader and the limiters; `policy` is one of POLICIES."""
        self.PROXY = POLICIES[policy]
        self.limiter_count = limiters
        self.demand_factor = demand_factor
        self.next_proposal_us = 0
        self.capacity = capacity(tenant.burst, tenant.rate_s)
        self.request_count = 0
        self.rejected_count = 0
        self.counter_call_count = 0
        self.sent_bytes = 0
        super().__init__(seed, limiters, tenant)
        random = Random(seed)
        self.shares = [random.paretovariate(PARETO_SHAPE) for _ in range(limiters)]

    # ---- the explorer's control plane, at a cost linear in the number of limiters

    def propose_due_commands(self) -> None:
        """Propose the due commands at most once per PROPOSAL_INTERVAL_US."""
        if self.sim.now >= self.next_proposal_us:
            self.next_proposal_us = self.sim.now + PROPOSAL_INTERVAL_US
            super().propose_due_commands()

    def on_watch_request(self, call: WatchCall) -> None:
        """Reply on the next update, or when this call's long poll times out."""
        reply = self.watch.reply_if_changed(self.sim.now, call.request, self.state_machine.state, [])
        if reply is not None:
            self.deliver(call.proxy, call.proxy.on_watch_reply, reply, call)
            return
        call.reply_by_us = self.sim.now + LONG_POLL_US
        self.pending.append(call)
        self.sim.after(LONG_POLL_US, self.reply_unchanged, call)

    def reply_unchanged(self, call: WatchCall) -> None:
        """Reply that nothing changed, unless the call has already been answered."""
        if call.proxy.is_pending(call):
            reply = self.watch.unchanged_reply(call.request, self.state_machine.state, [])
            self.deliver(call.proxy, call.proxy.on_watch_reply, reply, call)

    def reply_to_pending(self) -> None:
        """Reply to the pending calls for which there is an update."""
        # Drop the calls that `reply_unchanged` has answered: their proxies have sent newer requests.
        self.pending = [call for call in self.pending if call.proxy.request_number == call.number]
        super().reply_to_pending()

    def on_request_decided(self, is_admitted: bool) -> None:
        """Count a request of the tenant as admitted now, or as rejected."""
        if is_admitted:
            self.admitted_us.append(self.sim.now)
        else:
            self.rejected_count += 1

    def on_counter_call(self, request: rpc_messages.QuotaRequest) -> None:
        """Count a call to the owner, and the bytes of it and of a reply that accepts the request."""
        self.counter_call_count += 1
        reply = rpc_messages.QuotaReply(True, 1.0, 1, request.fencing_token)
        self.sent_bytes += sum(
            FRAME_HEADER_BYTES + len(msgspec.msgpack.encode((1, message))) for message in (request, reply)
        )

    def deliver(self, proxy, handler, *args) -> None:
        """Call a handler after the network delay, unless the proxy is isolated; no message is lost."""
        if proxy.name not in self.isolated:
            self.sim.after(NETWORK_DELAY_US, handler, *args)

    def deliver_between(self, sender, receiver, handler, *args) -> None:
        """Deliver between limiters; isolated limiters reach each other, but none of the rest."""
        if (sender.name in self.isolated) == (receiver.name in self.isolated):
            self.sim.after(NETWORK_DELAY_US, handler, *args)

    def send_requests(self) -> None:
        """Send the next request of the open-loop load to a limiter drawn by its share of the load."""
        limiter = self.random.choices(self.proxies, self.shares)[0]
        if limiter.name not in self.isolated:  # clients send nothing to an isolated limiter
            self.request_count += 1
            limiter.when_awake(limiter.incarnation, limiter.request)
        self.sim.after(
            self.random.expovariate(self.demand_factor * self.tenant.rate_s) * SECOND, self.send_requests
        )

    def totals(self) -> tuple[int, int, int, int]:
        """Return the numbers of requests, rejections and counter calls, and the bytes, so far."""
        return self.request_count, self.rejected_count, self.counter_call_count, self.sent_bytes

    def measure(self, seconds: float) -> "Measurement":
        """Simulate `seconds`, and return the measurements of that period."""
        started_us, totals_before, tenant = self.sim.now, self.totals(), self.tenant
        self.sim.run(started_us + int(seconds * SECOND))
        requests, rejected, calls, size_bytes = (
            after - before for after, before in zip(self.totals(), totals_before, strict=True)
        )  # fmt: skip
        admitted_us = [time_us for time_us in self.admitted_us if time_us >= started_us]
        worst_window = max_in_window(admitted_us, quota_exploration.SLO.quota_win) / quota_bound(
            quota_exploration.SLO, tenant.rate_s, tenant.burst
        )
        return Measurement(worst_window, len(admitted_us) / (tenant.rate_s * seconds),
                    rejected / max(1, requests), calls / seconds, size_bytes / seconds)  # fmt: skip


@dataclass(slots=True)
class Measurement:
    """Measurements of one period.

    Attributes:
        worst_window: Most requests admitted in any window, as a share of the bound of the QUOTA guarantee.
        used_share: Requests admitted, as a share of what the quota's rate allows in the period.
        rejected_share: Requests rejected, as a share of all requests.
        calls_per_s: Counter calls per second.
        bytes_per_s: Bytes of counter calls and replies per second.
    """

    worst_window: float
    used_share: float
    rejected_share: float
    calls_per_s: float
    bytes_per_s: float


def simulate(
    policy: str, limiters: int, demand_factor: float, seed: int, rate: float, burst: float
) -> tuple[Measurement, Measurement]:
    """Measure a period without faults, and one with the counter's owner isolated in its first half.

    Args:
        policy: One of POLICIES.
        limiters: Number of limiters.
        demand_factor: The tenant's request rate as a multiple of `rate`.
        seed: Seed of all random numbers.
        rate: The tenant's quota in requests per second.
        burst: Requests of the quota that can be used at once.
    """
    world = ComparisonWorld(policy, limiters, demand_factor, seed, Tenant("t", ("k",), None, rate, burst))
    world.sim.run(world.sim.now + 3 * SECOND)
    world.send_requests()
    world.measure(WARM_UP_S)
    fault_free = world.measure(FAULT_FREE_S)
    name = owner_of("t", world.proxies[0].quota_owner.eligible_owners)
    world.isolated.add(name)
    world.sim.after(ISOLATED_S * SECOND, world.isolated.discard, name)
    return fault_free, world.measure(ISOLATED_S + RECOVERY_S)


def table(
    sizes: list[int],
    policies: list[str],
    seed: int,
    rate: float,
    burst: float,
    print_line: Callable[[str], None],
) -> None:
    """Print a Markdown table with a row for each number of limiters, demand and policy.

    The demand is below the quota's rate (a factor of 1/1.6) or far above it (the explorer's DEMAND_FACTOR).

    Args:
        sizes: Numbers of limiters.
        policies: Names in POLICIES.
        seed: Seed of all random numbers.
        rate: The tenant's quota in requests per second.
        burst: Requests of the quota that can be used at once.
        print_line: Called with each line.
    """
    print_line(
        f"Rate {rate:g}, burst {burst:g}: {FAULT_FREE_S} s without faults, then {ISOLATED_S} s with "
        f"the owner isolated, then {RECOVERY_S} s of recovery."
    )
    print_line("")
    print_line(
        "| limiters | policy | demand/rate | no fault: rejected share | used/rate | worst window/bound "
        "| calls/s | bytes/s | owner isolated: rejected share | used/rate | worst window/bound |"
    )
    print_line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for limiters, demand_factor, policy in product(
        sizes, (1 / 1.6, quota_exploration.DEMAND_FACTOR), policies
    ):
        fault_free, owner_isolated = simulate(policy, limiters, demand_factor, seed, rate, burst)
        figures = (
            fault_free.rejected_share,
            fault_free.used_share,
            fault_free.worst_window,
            fault_free.calls_per_s,
            fault_free.bytes_per_s,
        )
        figures += (owner_isolated.rejected_share, owner_isolated.used_share, owner_isolated.worst_window)
        formats = (".3f", ".2f", ".2f", ".0f", ".0f", ".3f", ".2f", ".2f")
        cells = (format(figure, spec) for figure, spec in zip(figures, formats, strict=True))
        print_line(f"| {limiters} | {policy} | {demand_factor:.2f} | {' | '.join(cells)} |")
