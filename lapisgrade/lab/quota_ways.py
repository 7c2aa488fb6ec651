"""Ways to hold a tenant's quota among many limiters, compared in simulated time: the program's own count,
an even share for each limiter, and a call per request. Limiters are loaded unevenly by a tenant's clients; a
calm span, then one in which the count's owner is dark.
"""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import product
from random import Random

import msgspec

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.watch_timing import LONG_POLL_US
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.count import capacity
from lapisgrade.gateway.quota.ownership import owner_of
from lapisgrade.interface import CounterOutcome
from lapisgrade.lab.explore import quota as explored
from lapisgrade.lab.explore.watch_proxy import WatchCall
from lapisgrade.lab.partitions.quota import allowed, most
from lapisgrade.rate import TokenBucket

# s: until all know the list of live proxies and have leased, then what is measured
WARM, CALM, DARK, AFTER = 8, 8, 4, 4
SHAPE = 1.2  # of the Pareto law that clients' shares at limiters are drawn from, as in the emulator
ORDERS = 20_000  # us between looks at who lives
WAY = 1_000  # us from one machine to another
LENGTH = 4  # bytes before each frame


class Own(explored.Limiter):
    """The program's."""

    def add_to_counter(self, task, add) -> None:
        super().add_to_counter(task, add)
        self.world.called(self.quota_client.quota_request(self.name, self.quota_owner.fencing_token))


class Local(explored.Limiter):
    """Each limiter an even share of rate and burst."""

    def start(self) -> None:
        super().start()
        tenant, count = self.world.tenant, self.world.count
        room = self.world.room / count
        self.bucket = TokenBucket(self.world.sim.now, tenant.rate_s / count, max(1.0, room), max(1.0, room))

    def request(self) -> None:
        now, level = self.world.sim.now, self.bucket.read(self.world.sim.now)
        self.world.on_request_decided(level >= 1.0)
        if level >= 1.0:
            self.bucket.set_level(now, level - 1.0)


class Central(explored.Limiter):
    """A call per request, one unit each, at an owner that says yes or no; what gets no answer is refused."""

    def start(self) -> None:
        super().start()
        self.bucket = TokenBucket(self.world.sim.now, self.world.tenant.rate_s, self.world.room, 0.0)

    def request(self) -> None:
        self.quota_client.taken_units = 1.0
        self.quota_client.returned_units = 0.0
        self.add_to_counter(None, None)
        self.world.called(self.quota_client.quota_request(self.name, self.quota_owner.fencing_token))

    def add(self, ask: rpc_messages.QuotaRequest) -> rpc_messages.QuotaReply:
        now, level = self.world.sim.now, self.bucket.read(self.world.sim.now)
        if level >= 1.0:
            self.bucket.set_level(now, level - 1.0)
        return rpc_messages.QuotaReply(ask.fencing_token == self.quota_owner.fencing_token and level >= 1.0)

    def on_counter_reply(self, task, total) -> None:
        self.world.on_request_decided(total.outcome is CounterOutcome.ADDED)


POLICIES = {"own": Own, "local": Local, "central": Central}


class World(explored.World):
    """The explored one, without troubles but for a dark owner, and with what it costs."""

    def __init__(self, policy: str, limiters: int, press: float, seed: int, tenant: Tenant) -> None:
        self.PROXY, self.count, self.press = POLICIES[policy], limiters, press
        self.order_at = 0
        self.room = capacity(tenant.burst, tenant.rate_s)
        self.requests = self.refusals = self.calls_out = self.bytes_out = 0
        super().__init__(seed, limiters, tenant)
        chance = Random(seed)
        self.shares = [chance.paretovariate(SHAPE) for _ in range(limiters)]

    # ---- the same control, with work that grows with the limiters and not with their square

    def propose_due_commands(self) -> None:
        if self.sim.now >= self.order_at:
            self.order_at = self.sim.now + ORDERS
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
        # The others were answered.
        self.pending = [call for call in self.pending if call.proxy.request_number == call.number]
        super().reply_to_pending()

    def on_request_decided(self, is_admitted: bool) -> None:
        if is_admitted:
            self.admitted_us.append(self.sim.now)
        else:
            self.refusals += 1

    def called(self, ask: rpc_messages.QuotaRequest) -> None:
        self.calls_out += 1
        taken = rpc_messages.QuotaReply(True, 1.0, 1, ask.fencing_token)
        self.bytes_out += sum(LENGTH + len(msgspec.msgpack.encode((1, each))) for each in (ask, taken))

    def deliver(self, proxy, call, *args) -> None:
        if proxy.name not in self.isolated:
            self.sim.after(WAY, call, *args)

    def deliver_between(self, one, other, call, *args) -> None:
        if (one.name in self.isolated) == (other.name in self.isolated):
            self.sim.after(WAY, call, *args)

    def send_requests(self) -> None:
        one = self.random.choices(self.proxies, self.shares)[0]
        if one.name not in self.isolated:  # its clients have gone elsewhere
            self.requests += 1
            one.when_awake(one.incarnation, one.request)
        self.sim.after(self.random.expovariate(self.press * self.tenant.rate_s) * SECOND, self.send_requests)

    def totals(self) -> tuple[int, int, int, int]:
        return self.requests, self.refusals, self.calls_out, self.bytes_out

    def span(self, seconds: float) -> "Span":
        """What happens from now on, for so long."""
        began, before, tenant = self.sim.now, self.totals(), self.tenant
        self.sim.run(began + int(seconds * SECOND))
        requests, refused, calls, size = (
            now - then for now, then in zip(self.totals(), before, strict=True)
        )  # fmt: skip
        let = [at for at in self.admitted_us if at >= began]
        worst = most(let, explored.SLO.quota_win) / allowed(explored.SLO, tenant.rate_s, tenant.burst)
        return Span(worst, len(let) / (tenant.rate_s * seconds), refused / max(1, requests),
                    calls / seconds, size / seconds)  # fmt: skip


@dataclass(slots=True)
class Span:
    worst: float  # window, of what is allowed
    used: float  # of the rate
    refused: float  # of what was asked
    calls: float  # a second
    bytes: float  # a second


def play(policy: str, limiters: int, press: float, seed: int, rate: float, burst: float) -> tuple[Span, Span]:
    """A calm span, and one with the owner dark in its first half."""
    world = World(policy, limiters, press, seed, Tenant("t", ("k",), None, rate, burst))
    world.sim.run(world.sim.now + 3 * SECOND)
    world.send_requests()
    world.span(WARM)
    calm = world.span(CALM)
    name = owner_of("t", world.proxies[0].quota_owner.eligible_owners)
    world.isolated.add(name)
    world.sim.after(DARK * SECOND, world.isolated.discard, name)
    return calm, world.span(DARK + AFTER)


def table(
    sizes: list[int], policies: list[str], seed: int, rate: float, burst: float, say: Callable[[str], None]
) -> None:
    """A Markdown table."""
    say(f"Rate {rate:g}, burst {burst:g}: {CALM} s calm, then {DARK} s without the owner, {AFTER} s after.")
    say("")
    say("| limiters | way | asks for, of its rate | calm: refused | of its rate | worst window | calls/s "
        "| bytes/s | owner dark: refused | of its rate | worst window |")  # fmt: skip
    say("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for limiters, press, policy in product(sizes, (1 / 1.6, explored.PRESSURE), policies):
        calm, dark = play(policy, limiters, press, seed, rate, burst)
        figures = (calm.refused, calm.used, calm.worst, calm.calls, calm.bytes)
        figures += (dark.refused, dark.used, dark.worst)
        forms = (".3f", ".2f", ".2f", ".0f", ".0f", ".3f", ".2f", ".2f")
        told = (format(each, form) for each, form in zip(figures, forms, strict=True))
        say(f"| {limiters} | {policy} | {press:.2f} | {' | '.join(told)} |")
