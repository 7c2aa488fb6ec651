"""Compares, in simulated time, three ways to enforce a tenant's quota at many limiters.

They are the program's owned counter, an even share for each limiter, and a counter call per request. A
tenant's clients load the limiters unevenly. A period without faults is measured, then one in which the
counter's owner is isolated at first.
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
from lapisgrade.lab.explore import quota as explored
from lapisgrade.lab.explore.watch_proxy import WatchCall
from lapisgrade.lab.partitions.quota import max_in_window, quota_bound
from lapisgrade.rate import TokenBucket

WARM_UP_S = 8  # until all limiters have the list of live proxies and leases
FAULT_FREE_S = 8
ISOLATED_S = 4
RECOVERY_S = 4
PARETO_SHAPE = 1.2  # of the distribution of load over limiters; same as in the emulator
PROPOSAL_INTERVAL_US = 20_000  # between two batches of the leader's commands
NETWORK_DELAY_US = 1_000  # one way between two machines
FRAME_HEADER_BYTES = 4  # per message


class OwnedCounterLimiter(explored.Limiter):
    """The program's design: one proxy owns the counter and grants leases of allowance."""

    def add_to_counter(self, task, add) -> None:
        super().add_to_counter(task, add)
        self.world.on_counter_call(self.quota_client.quota_request(self.name, self.quota_owner.fencing_token))


class EvenShareLimiter(explored.Limiter):
    """Each limiter enforces an even share of rate and burst."""

    def start(self) -> None:
        super().start()
        tenant, count = self.world.tenant, self.world.count
        burst = self.world.capacity / count
        self.bucket = TokenBucket(self.world.sim.now, tenant.rate_s / count, max(1.0, burst), max(1.0, burst))

    def request(self) -> None:
        now, level = self.world.sim.now, self.bucket.read(self.world.sim.now)
        self.world.on_request_decided(level >= 1.0)
        if level >= 1.0:
            self.bucket.set_level(now, level - 1.0)


class CentralCounterLimiter(explored.Limiter):
    """Calls the owner, which decides, for each request of one unit; no reply counts as a rejection."""

    def start(self) -> None:
        super().start()
        self.bucket = TokenBucket(self.world.sim.now, self.world.tenant.rate_s, self.world.capacity, 0.0)

    def request(self) -> None:
        self.quota_client.taken_units = 1.0
        self.quota_client.returned_units = 0.0
        self.add_to_counter(None, None)
        self.world.on_counter_call(self.quota_client.quota_request(self.name, self.quota_owner.fencing_token))

    def add(self, request: rpc_messages.QuotaRequest) -> rpc_messages.QuotaReply:
        now, level = self.world.sim.now, self.bucket.read(self.world.sim.now)
        if level >= 1.0:
            self.bucket.set_level(now, level - 1.0)
        return rpc_messages.QuotaReply(
            request.fencing_token == self.quota_owner.fencing_token and level >= 1.0
        )

    def on_counter_reply(self, task, total) -> None:
        self.world.on_request_decided(total.outcome is CounterOutcome.ADDED)


POLICIES = {"own": OwnedCounterLimiter, "local": EvenShareLimiter, "central": CentralCounterLimiter}


class ComparisonWorld(explored.World):
    """The explorer's world with an isolated owner as its only fault; measures counter calls and bytes."""

    def __init__(self, policy: str, limiters: int, pressure: float, seed: int, tenant: Tenant) -> None:
        self.PROXY = POLICIES[policy]
        self.count = limiters
        self.pressure = pressure
        self.next_proposal_us = 0
        self.capacity = capacity(tenant.burst, tenant.rate_s)
        self.request_count = 0
        self.rejected_count = 0
        self.counter_call_count = 0
        self.sent_bytes = 0
        super().__init__(seed, limiters, tenant)
        random = Random(seed)
        self.shares = [random.paretovariate(PARETO_SHAPE) for _ in range(limiters)]

    # ---- the same control plane, at a cost linear in the number of limiters

    def propose_due_commands(self) -> None:
        if self.sim.now >= self.next_proposal_us:
            self.next_proposal_us = self.sim.now + PROPOSAL_INTERVAL_US
            super().propose_due_commands()

    def on_watch_request(self, call: WatchCall) -> None:
        reply = self.watch.reply_if_changed(self.sim.now, call.request, self.state_machine.state, [])
        if reply is not None:
            self.deliver(call.proxy, call.proxy.on_watch_reply, reply, call)
            return
        call.reply_by_us = self.sim.now + LONG_POLL_US
        self.pending.append(call)
        self.sim.after(LONG_POLL_US, self.reply_unchanged, call)

    def reply_unchanged(self, call: WatchCall) -> None:
        if call.proxy.is_pending(call):
            reply = self.watch.unchanged_reply(call.request, self.state_machine.state, [])
            self.deliver(call.proxy, call.proxy.on_watch_reply, reply, call)

    def reply_to_pending(self) -> None:
        # The other calls already have replies.
        self.pending = [call for call in self.pending if call.proxy.request_number == call.number]
        super().reply_to_pending()

    def on_request_decided(self, is_admitted: bool) -> None:
        if is_admitted:
            self.admitted_us.append(self.sim.now)
        else:
            self.rejected_count += 1

    def on_counter_call(self, request: rpc_messages.QuotaRequest) -> None:
        self.counter_call_count += 1
        taken = rpc_messages.QuotaReply(True, 1.0, 1, request.fencing_token)
        self.sent_bytes += sum(
            FRAME_HEADER_BYTES + len(msgspec.msgpack.encode((1, each))) for each in (request, taken)
        )

    def deliver(self, proxy, call, *args) -> None:
        if proxy.name not in self.isolated:
            self.sim.after(NETWORK_DELAY_US, call, *args)

    def deliver_between(self, limiter, other, call, *args) -> None:
        if (limiter.name in self.isolated) == (other.name in self.isolated):
            self.sim.after(NETWORK_DELAY_US, call, *args)

    def send_requests(self) -> None:
        limiter = self.random.choices(self.proxies, self.shares)[0]
        if limiter.name not in self.isolated:  # clients use the other limiters
            self.request_count += 1
            limiter.when_awake(limiter.incarnation, limiter.request)
        self.sim.after(
            self.random.expovariate(self.pressure * self.tenant.rate_s) * SECOND, self.send_requests
        )

    def totals(self) -> tuple[int, int, int, int]:
        return self.request_count, self.rejected_count, self.counter_call_count, self.sent_bytes

    def measure(self, seconds: float) -> "Measurement":
        """Run for `seconds` and return the measurements of that period."""
        started_us, totals_before, tenant = self.sim.now, self.totals(), self.tenant
        self.sim.run(started_us + int(seconds * SECOND))
        requests, rejected, calls, size_bytes = (
            now - before for now, before in zip(self.totals(), totals_before, strict=True)
        )  # fmt: skip
        admitted_us = [at for at in self.admitted_us if at >= started_us]
        worst = max_in_window(admitted_us, explored.SLO.quota_win) / quota_bound(
            explored.SLO, tenant.rate_s, tenant.burst
        )
        return Measurement(worst, len(admitted_us) / (tenant.rate_s * seconds), rejected / max(1, requests),
                    calls / seconds, size_bytes / seconds)  # fmt: skip


@dataclass(slots=True)
class Measurement:
    """Measurements of one period.

    Attributes:
        worst_window: Most requests admitted in a window, as a share of the bound.
        used_share: Requests admitted, as a share of the quota's rate.
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
    policy: str, limiters: int, pressure: float, seed: int, rate: float, burst: float
) -> tuple[Measurement, Measurement]:
    """Measure a period without faults, and one with the counter's owner isolated in its first half."""
    world = ComparisonWorld(policy, limiters, pressure, seed, Tenant("t", ("k",), None, rate, burst))
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
    """Print a Markdown table of all sizes, loads and policies."""
    print_line(
        f"Rate {rate:g}, burst {burst:g}: {FAULT_FREE_S} s without faults, then {ISOLATED_S} s with "
        f"the owner isolated, then {RECOVERY_S} s of recovery."
    )
    print_line("")
    print_line(
        "| limiters | policy | demand/rate | no fault: rejected | used/rate | worst window | calls/s "
        "| bytes/s | owner isolated: rejected | used/rate | worst window |"
    )
    print_line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for limiters, pressure, policy in product(sizes, (1 / 1.6, explored.DEMAND_FACTOR), policies):
        fault_free, owner_isolated = simulate(policy, limiters, pressure, seed, rate, burst)
        figures = (
            fault_free.rejected_share,
            fault_free.used_share,
            fault_free.worst_window,
            fault_free.calls_per_s,
            fault_free.bytes_per_s,
        )
        figures += (owner_isolated.rejected_share, owner_isolated.used_share, owner_isolated.worst_window)
        formats = (".3f", ".2f", ".2f", ".0f", ".0f", ".3f", ".2f", ".2f")
        cells = (format(each, spec) for each, spec in zip(figures, formats, strict=True))
        print_line(f"| {limiters} | {policy} | {pressure:.2f} | {' | '.join(cells)} |")
