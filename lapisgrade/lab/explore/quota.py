"""The quota explored: a tenant that asks for many times its limit at all limiters, and never gets more
than QUOTA allows in any window, over all of them.

Quota clients, owners, the leader's watch and the log's lists of live proxies as they are, in simulated time:
halves that are cut off, owners that freeze and wake, processes that are killed one by one or all at once,
leaders that change or are missing for seconds, answers that are late or lost, lists of live proxies that
reach each limiter at its own time. A seed replays exactly. Known defects can be switched on; each must be
found."""

from collections import Counter
from collections.abc import Callable
from random import Random

from lapisgrade.engine import Engine
from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.client import QuotaClient
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US, owner_of
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import Clock, CounterOutcome, CounterReply, Operation
from lapisgrade.lab.explore import activation
from lapisgrade.lab.explore.activation import MS
from lapisgrade.lab.explore.defects import switched
from lapisgrade.lab.explore.quota_defects import DEFECTS
from lapisgrade.lab.partitions.quota import allowed, most

UNIT = "requests"
SLO = Slo()
COUNT = 150 * MS  # that an add may take, as at a proxy
AWAY = 2600 * MS  # that one is cut off until it is surely counted out
GRACE = 2600 * MS  # that a process goes on once it was told to end
HAND_OVER = 100 * MS  # that it waits for the count's hand-over, as at a proxy
PRESS = 7.5  # times its rate that the tenant asks for
SIZES = ((24.0, 24.0), (60.0, 60.0), (12.0, 40.0), (40.0, 8.0))  # rate and burst


class Limiter(activation.Proxy):
    """A proxy with a quota client and an owner; what it lets in is written down with its time."""

    def start(self) -> None:
        now = self.world.sim.now
        self.clock, self.acts_until = Clock(now), 0
        self.engine = Engine(self, self.clock)
        super().start()
        self.quota_owner = QuotaOwner(self.name, str(self.life), now)
        self.quota_client = QuotaClient(self.clock, self.world.tenant, SLO, 1, now)

    def told(self, news: rpc_messages.WatchReply, life: int, asked: int, sent: int) -> None:
        heeded = self.awake() and (life, asked) == (self.life, self.asked)
        super().told(news, life, asked, sent)
        if not heeded:
            return
        self.quota_owner.on_watch_reply(self.world.sim.now, news)
        if news.fencing_token == self.quota_owner.fencing_token:
            self.acts_until = sent + OWNERSHIP_LEASE_US
            self.clock.now_us = self.world.sim.now
            self.quota_client.set_limiter_count(len(self.quota_owner.proxies))

    def awake(self) -> bool:
        return self.world.sim.now >= self.frozen_until

    def when_awake(self, life: int, call: Callable, *args) -> None:
        """Now, or when it wakes; never where the process is another by then."""
        if not self.awake():
            self.world.sim.at(self.frozen_until, self.when_awake, life, call, *args)
        elif life == self.life:
            self.clock.now_us = max(self.clock.now_us, self.world.sim.now)
            call(*args)

    # ---- clients

    def request(self) -> None:
        op = Operation("t", None, None, 1.0, self.clock.now_us, self.clock.now_us + 2 * SECOND, 1)

        def run():
            wait = yield from self.quota_client.admit(op)
            self.world.met(wait is None)

        self.engine.run(run(), op)

    # ---- the engine's host

    def add_to_counter(self, task, add) -> None:
        world, life = self.world, self.life
        name = owner_of("t", self.quota_owner.eligible_owners)
        ask = self.quota_client.quota_request(self.name, self.quota_owner.fencing_token)
        over: list[CounterReply] = []  # the first answer counts

        def answered(total: CounterReply) -> None:
            if not over:
                over.append(total)
                self.settled(task, total)

        def back(taken: rpc_messages.QuotaReply) -> None:
            if taken.is_accepted:
                self.quota_client.gateway_count = max(1, taken.active_limiters)
            answered(
                CounterReply(CounterOutcome.ADDED, taken.total)
                if taken.is_accepted
                else CounterReply(CounterOutcome.REJECTED)
            )

        other = next((each for each in world.proxies if each.name == name), None)
        if other is None:
            return world.sim.after(0, self.when_awake, life, answered, CounterReply(CounterOutcome.REJECTED))
        if other is self:
            return other.prepared(
                ask, lambda: world.sim.after(0, self.when_awake, life, back, self.take(ask))
            )
        world.sim.after(COUNT, self.when_awake, life, answered, CounterReply(CounterOutcome.TIMED_OUT))
        world.between(self, other, self.asked_there, other, ask, life, back)

    def settled(self, task, total: CounterReply) -> None:
        self.engine.counter_replied(task, total)

    def asked_there(
        self, other: "Limiter", ask: rpc_messages.QuotaRequest, life: int, back: Callable
    ) -> None:
        def taking() -> None:
            taken = other.take(ask)
            self.world.between(other, self, self.when_awake, life, back, taken)

        other.when_awake(other.life, other.prepared, ask, taking)

    def prepared(self, ask: rpc_messages.QuotaRequest, then: Callable) -> None:
        """`then`, once the count's owner before has handed it over, or has not in time."""
        world, owner, life = self.world, self.quota_owner, self.life
        fence = owner.fencing_token
        name = owner.predecessor(world.sim.now, ask.tenant) if owner.owns(ask.tenant) else ""
        other = next((each for each in world.proxies if each.name == name), None)
        if other is None or other is self:
            return then()
        over: list[bool] = []  # the first of answer and time-out counts

        def once() -> None:
            if not over:
                over.append(True)
                then()

        def told(reply: rpc_messages.HandOverReply) -> None:
            if owner is self.quota_owner and owner.fencing_token == fence:
                owner.on_hand_over(world.sim.now, wants, reply, name)
            once()

        wants = rpc_messages.HandOverRequest(
            ask.tenant, self.name, fence, ask.rate, ask.burst, owner.incarnation
        )

        def asked() -> None:
            reply = other.quota_owner.hand_over(world.sim.now, wants)
            world.between(other, self, self.when_awake, life, told, reply)

        world.between(self, other, other.when_awake, other.life, asked)
        world.sim.after(HAND_OVER, self.when_awake, life, once)

    def take(self, ask: rpc_messages.QuotaRequest) -> rpc_messages.QuotaReply:
        taken = self.quota_owner.add(self.world.sim.now, ask, self.acts_until)
        if taken.is_accepted:
            self.world.granted(self.name, self.quota_owner.fencing_token)
        return taken

    def reject(self, operation, answer) -> None: ...
    def send(self, hop) -> None: ...
    def cancel(self, hop) -> None: ...
    def log(self, text: str) -> None: ...

    def schedule_wakeup(self, when_us: int) -> None:
        self.world.sim.at(when_us, self.when_awake, self.life, self.engine.run_due_timers, True)


class World(activation.World):
    """The same control, and limits instead of tenants' routes."""

    PROXY = Limiter

    def __init__(self, seed: int, limiters: int = 8, tenant: Tenant | None = None) -> None:
        rate, burst = Random(seed).choice(SIZES)
        self.tenant = tenant or Tenant("t", ("k",), None, rate, burst)
        self.let: list[int] = []  # when each that was let in was
        self.turned_back = 0
        self.owners: dict[int, set[str]] = {}  # by fence, who granted under it
        self.newest = (0, "")  # the newest fence that was granted under, and by whom
        self.late = ""  # who granted under an older fence than another one before
        self.leaderless_until = 0
        super().__init__(seed, limiters)

    def met(self, let_in: bool) -> None:
        """How a request was met."""
        if let_in:
            self.let.append(self.sim.now)
        else:
            self.turned_back += 1

    def granted(self, name: str, fence: int) -> None:
        names = self.owners.setdefault(fence, set())
        if name not in names:
            names.add(name)
            self.say(f"{name} grants under {fence}")
        newest, by = self.newest
        if fence < newest and name != by:
            self.late = f"{name} grants under {fence}, after {by} under {newest}"
        self.newest = max(self.newest, (fence, name))

    # ---- the world between

    def carry(self, proxy, call, *args) -> None:
        if self.sim.now >= self.leaderless_until:
            super().carry(proxy, call, *args)

    def between(self, one: Limiter, other: Limiter, call: Callable, *args) -> None:
        """From one limiter to another: those that are dark reach each other, and none of the rest."""
        if (one.name in self.dark) == (other.name in self.dark) and self.random.random() > 0.02:
            self.sim.after(self.random.choice((1, 1, 2, 5, 40, 140)) * MS, call, *args)

    def trouble(self) -> None:
        kind = self.random.randrange(8)
        one = self.random.choice(self.proxies)
        held = max(self.proxies, key=lambda each: each.quota_owner.fencing_token).quota_owner.eligible_owners
        if held and self.random.random() < 0.6:  # where it hurts
            name = owner_of("t", held)
            one = next(each for each in self.proxies if each.name == name)
        many = self.random.sample(self.proxies, self.random.randrange(1, len(self.proxies)))
        lasts = self.random.randrange(200, 5000) * MS
        what = (
            "cut off",
            "half cut off",
            "frozen",
            "killed",
            "all killed",
            "leader lost",
            "told to end",
            "back while the next is cut",
        )[kind]
        self.say(f"{what} ({one.name}, {len(many)}) for {lasts / SECOND:.1f} s")
        match kind:
            case 0 | 1:
                names = {one.name, *(each.name for each in many)} if kind else {one.name}
                self.dark |= names
                self.sim.after(lasts, self.dark.difference_update, names)
            case 2:
                one.frozen_until = self.sim.now + lasts
            case 3:
                one.start()
            case 4:
                for each in self.proxies:
                    each.start()
            case 5:
                self.leaderless_until = self.sim.now + lasts // 2
                self.sim.at(self.leaderless_until, self.lead, self.term + 1)
            case 6:
                for each in (one, *many[:2]):
                    each.leaving = True
                    self.sim.after(GRACE, self.ends, each, each.life)
            case 7:
                self.dark.add(one.name)
                self.sim.after(AWAY, self.back_while_next_is_cut, one.name)

    def back_while_next_is_cut(self, name: str) -> None:
        """One that was counted out is back, just as who owns its counts since is cut off."""
        others = [each.name for each in self.proxies if each.name != name]
        heir = owner_of("t", others)
        self.say(f"{name} is back, {heir} is cut off")
        self.dark.discard(name)
        self.dark.add(heir)
        self.sim.after(AWAY, self.dark.discard, heir)

    def ends(self, one: Limiter, life: int) -> None:
        """A process that was told to end does, unless it was killed before, and starts anew."""
        if one.life == life:
            one.start()

    def ask_on(self) -> None:
        """The next request of the open loop; where its limiter is frozen it waits there."""
        one = self.random.choice(self.proxies)
        self.calls += 1
        one.when_awake(one.life, one.request)
        self.sim.after(self.random.expovariate(PRESS * self.tenant.rate_s) * SECOND, self.ask_on)

    def run(self, changes: int = 6) -> "World":
        self.sim.run(self.sim.now + 2 * SECOND)
        self.ask_on()
        for _ in range(changes):
            self.sim.after(self.random.randrange(2 * SECOND), self.trouble)
            self.sim.run(self.sim.now + self.random.randrange(500, 4000) * MS)
        self.sim.run(self.sim.now + 6 * SECOND)
        return self

    # ---- what must hold

    @property
    def bound(self) -> float:
        return allowed(SLO, self.tenant.rate_s, self.tenant.burst)

    @property
    def worst(self) -> int:
        return most(self.let, SLO.quota_win)

    @property
    def wrong(self) -> bool:
        return (
            self.worst > self.bound or bool(self.late) or any(len(each) > 1 for each in self.owners.values())
        )

    def transcript(self) -> list[str]:
        two = [f"fence {fence}: {sorted(names)}" for fence, names in self.owners.items() if len(names) > 1]
        late = [self.late] if self.late else []
        return [*self.log[-30:], *two, *late, f"WRONG: {self.worst} in a window, {self.bound:g} allowed"]


def explore(seeds: range, name: str = "", say: Callable[[str], None] = lambda _: None) -> tuple[int, int]:
    """Play each seed; the requests made, and the first seed where the rule broke, -1 for none. Tells how near
    the worst came."""
    calls, nearest = 0, Counter()
    with switched(DEFECTS, name):
        for seed in seeds:
            world = World(seed).run()
            calls += world.calls
            nearest[seed] = world.worst / world.bound
            if world.wrong:
                say(f"seed {seed}:")
                for line in world.transcript():
                    say(line)
                return calls, seed
    say(f"nearest: {max(nearest.values()):.3f} of what is allowed (seed {nearest.most_common(1)[0][0]})")
    return calls, -1
