"""Activation of versions explored: a new tenant is known to every proxy from one moment, and what one has
taken none refuses afterwards; one that is withdrawn, and refused somewhere, is taken nowhere in touch.

The leader's watch and state machine and the proxies' routers in simulated time, as they are: news that comes
late or not at all, proxies that freeze, start anew or are cut off, leaders that change, several tenants at
once. A seed replays exactly. Known defects can be switched on; each must be found.
"""

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from lapisgrade.gateway import SECOND, configuration, rpc_messages
from lapisgrade.gateway.configuration_delta import EncodedVersion, decode
from lapisgrade.gateway.controller import version_activation
from lapisgrade.gateway.controller.commands import Activate, ConfigurationChange, encode_command
from lapisgrade.gateway.controller.state import State
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.routing import route_versions, router
from lapisgrade.gateway.routing.route_table import RouteTable
from lapisgrade.gateway.settings import Slo
from lapisgrade.gateway.watch_timing import LONG_POLL_US, MISSED_VERSION_AFTER_US
from lapisgrade.interface import Clock
from lapisgrade.lab.emulator.sim import Sim
from lapisgrade.lab.explore.defects import Defects, switched

MS = 1_000
UNIT = "calls"  # what is counted of a play


def conf(ver: int, base: int, tenants: "int | list[int]") -> bytes:
    names = [f"t{number}" for number in (range(tenants) if isinstance(tenants, int) else tenants)]
    return msgspec.json.encode(
        {
            "Ver": ver,
            "Base": base,
            "Tenants": [{"Name": name, "Apikeys": [f"key-{name}"]} for name in names],
            "Ports": [
                {
                    "Vhost": f"{name}.example",
                    "Policy": [
                        {"Name": name, "Match": {"Pfx": "/"}, "Action": {"Svc": "s", "Timeout": "1s"}}
                    ],
                }
                for name in names
            ],
            "Pools": [{"Name": "s"}],
        }
    )


class Proxy:
    """One proxy's asks and its router."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name, self.life = world, name, 0
        self.start()

    def start(self) -> None:
        self.life += 1
        self.leaving = False  # told to end
        self.router = router.Router(Clock(self.world.sim.now), 1, Slo(), "z", self.name)
        self.ver, self.fence, self.frozen_until, self.asked, self.live_proxies = 0, 0, 0, 0, {}
        self.texts: dict[int, bytes] = {}
        self.ask()

    def ask(self) -> None:
        """Ask, and again when answered, or where no answer comes in time."""
        self.asked += 1
        held = max(self.router.tables.staged, default=self.ver)
        ask = rpc_messages.WatchRequest(
            self.name,
            "10.0.0.1:1",
            str(self.life),
            "z",
            self.ver,
            "1+",
            1 << 30,
            self.fence,
            staged_version=held,
            is_terminating=self.leaving,
        )
        sent = self.world.sim.now
        self.world.carry(self, self.world.asked, self, ask, self.life, self.asked, sent)
        self.world.sim.after(900 * MS, self.again, self.life, self.asked)

    def again(self, life: int, asked: int) -> None:
        if life == self.life and asked == self.asked:
            self.ask()

    def told(self, news: rpc_messages.WatchReply, life: int, asked: int, sent: int) -> None:
        now = self.world.sim.now
        if now < self.frozen_until:
            self.world.sim.at(self.frozen_until, self.told, news, life, asked, sent)
            return
        if life != self.life or asked != self.asked:
            return
        router = self.router
        members = news.updated_proxies(self.fence, self.live_proxies)
        if members is not None:
            self.live_proxies = members
        if self.name in self.live_proxies:
            router.tables.confirmed_us = max(router.tables.confirmed_us, sent)
        if news.active_configuration is not None and news.active_version > self.ver:
            self.act(self.read(news.active_configuration))
        elif news.active_version in router.tables.staged:
            self.act(router.tables.staged[news.active_version])
        elif news.active_version > self.ver:
            router.tables.staged.clear()
        for each in news.staged_versions.values():
            router.tables.stage(self.read(each))
        self.fence = news.fencing_token
        self.ask()

    def read(self, encoded: EncodedVersion) -> RouteTable:
        text = decode(encoded, self.texts.get(encoded.base, b""))
        self.texts[encoded.version] = text
        return RouteTable(configuration.read(msgspec.json.decode(text)))

    def act(self, table: RouteTable) -> None:
        self.ver = table.version
        self.router.activate(table)
        self.world.say(f"{self.name} acts by version {self.ver}")

    def call(self, tenant: int) -> int:
        """What a tenant's call is met with here: 200 where it is taken."""
        got = self.router.match(self.world.sim.now, f"t{tenant}.example", "/", f"key-t{tenant}")
        return got if isinstance(got, int) else 200


class World:
    PROXY = Proxy
    EARLY = False  # a defect: a controller that was started anew leads before it has taken the log over

    def __init__(self, seed: int, proxies: int = 8) -> None:
        self.random, self.sim = Random(seed), Sim()
        self.log: list[str] = []
        self.sim.now = 10 * SECOND
        self.state_machine, self.index, self.waiting = StateMachine(), 0, []
        self.lead(1)
        self.dark: set[str] = set()
        self.tenants, self.taken, self.calls, self.refused_after = 0, {}, 0, []
        self.withdrawn, self.refused, self.taken_after = set(), {}, []
        self.change(1)
        self.proxies = [self.PROXY(self, f"c{number}") for number in range(proxies)]
        self.tick()

    # ---- the leader

    def lead(self, term: int) -> None:
        self.term, self.waiting = term, []
        self.watch = Watch(SECOND, self.sim.now)
        self.watch.become_leader(self.sim.now, term, State() if self.EARLY else self.state_machine.state)
        self.say(f"a leader of term {term} begins; list of live proxies {sorted(self.watch.proxies)}")

    def say(self, what: str) -> None:
        self.log.append(f"{self.sim.now / SECOND:9.3f} s  {what}")

    def tick(self) -> None:
        self.watch.advance(self.sim.now)
        self.order()
        self.sim.after(50 * MS, self.tick)

    def order(self) -> None:
        now, state = self.sim.now, self.state_machine.state
        for item in (self.watch.activation(now, state), self.watch.live_proxies(now, state)):
            if item is not None:
                self.sim.after(
                    self.random.randrange(2 * MS, 20 * MS), self.commit, encode_command(item), self.term
                )

    def commit(self, data: bytes, term: int) -> None:
        if term == self.term:  # what an earlier leader had not committed is lost
            self.index += 1
            self.state_machine.apply(self.index, data)
            state = self.state_machine.state
            live = sorted(state.live_proxies)
            self.say(f"log: newest {state.version}, in force {state.active_version}, live proxies {live}")
            self.turn()

    def change(self, more: int, less: int | None = None) -> None:
        self.tenants += more
        if less is not None:
            self.withdrawn.add(less)
        state = self.state_machine.state
        names = [number for number in range(self.tenants) if number not in self.withdrawn]
        self.commit(
            encode_command(ConfigurationChange(True, conf(state.version + 1, state.version, names))),
            self.term,
        )

    def asked(self, proxy: Proxy, ask: rpc_messages.WatchRequest, life: int, asked: int, sent: int) -> None:
        self.waiting.append((proxy, ask, life, asked, sent, self.sim.now + LONG_POLL_US))
        self.sim.after(LONG_POLL_US, self.turn)
        self.turn()

    def turn(self) -> None:
        """Answer those that have news, or have waited long enough."""
        waiting, self.waiting = self.waiting, []
        for proxy, ask, life, asked, sent, ends in waiting:
            news = self.watch.reply_if_changed(self.sim.now, ask, self.state_machine.state, [])
            if news is None and self.sim.now >= ends:
                news = self.watch.unchanged_reply(ask, self.state_machine.state, [])
            if news is None:
                self.waiting.append((proxy, ask, life, asked, sent, ends))
            else:
                self.carry(proxy, proxy.told, news, life, asked, sent)
        self.order()

    # ---- the world between

    def carry(self, proxy: Proxy, call, *args) -> None:
        if proxy.name not in self.dark and self.random.random() > 0.02:
            self.sim.after(self.random.choice((1, 2, 5, 40)) * MS, call, *args)

    def trouble(self) -> None:
        one, kind = self.random.choice(self.proxies), self.random.randrange(4)
        self.say(("cut off", "frozen", "started anew", "leader changes")[kind] + f" ({one.name})")
        match kind:
            case 0:
                self.dark.add(one.name)
                self.sim.after(self.random.randrange(3 * SECOND), self.dark.discard, one.name)
            case 1:
                one.frozen_until = self.sim.now + self.random.randrange(3 * SECOND)
            case 2:
                one.start()
            case 3:
                self.lead(self.term + 1)

    def clients(self) -> None:
        """Every tenant there will be calls every proxy that is able to answer."""
        for tenant in range(self.tenants):
            for proxy in self.proxies:
                if self.sim.now < proxy.frozen_until:
                    continue
                self.calls += 1
                status = proxy.call(tenant)
                doubts = self.sim.now - proxy.router.tables.confirmed_us > MISSED_VERSION_AFTER_US
                if status == 200:
                    self.taken.setdefault(tenant, self.sim.now)
                    if tenant in self.refused and not doubts:
                        self.taken_after.append((self.sim.now, proxy.name, tenant))
                        self.say(f"WRONG: {proxy.name} takes t{tenant}, refused before")
                elif tenant in self.withdrawn:
                    if status != 503:
                        self.refused.setdefault(tenant, self.sim.now)
                elif status != 503 and tenant in self.taken:
                    self.refused_after.append((self.sim.now, proxy.name, tenant, status))
                    self.say(f"WRONG: {proxy.name} answers {status} to t{tenant}, taken before")

    def run(self, changes: int = 4) -> "World":
        self.sim.run(self.sim.now + 3 * SECOND)
        for number in range(changes):
            self.sim.at(self.sim.now + self.random.randrange(SECOND), self.trouble)
            self.sim.at(self.sim.now + self.random.randrange(SECOND), self.change, 1)
            if number == 2:  # the first tenant of all goes
                self.sim.at(self.sim.now + self.random.randrange(SECOND), self.change, 0, 0)
            ends = self.sim.now + self.random.choice((1, 3, 5)) * SECOND
            while self.sim.now < ends:
                self.sim.run(self.sim.now + 50 * MS)
                self.clients()
        self.sim.run(self.sim.now + 4 * SECOND)
        self.clients()
        return self

    @property
    def wrong(self) -> bool:
        return bool(self.refused_after or self.taken_after)

    def transcript(self) -> list[str]:
        """What led to the first wrong answer, from the change before it on."""
        at = next((i for i, line in enumerate(self.log) if "WRONG" in line), len(self.log) - 1)
        return self.log[max(0, at - 24) : at + 1]


def _served(self: router.Router, now: int, *asked: str) -> Any:
    return self.tables.active.match(*asked) if self.tables.active else 503


def _at_once(self: Watch, now: int, state: State) -> Activate | None:
    return Activate(state.version) if state.version > state.active_version else None


DEFECTS: Defects = {
    "serves-withdrawn": (router.Router, "match", _served),
    "acts-at-once": (Watch, "activation", _at_once),
    "never-doubts": (route_versions, "MISSED_VERSION_AFTER_US", 1 << 60),
    "waits-for-nobody": (version_activation, "ACTIVATION_TIMEOUT_US", 0),
    "leads-early": (World, "EARLY", True),
}


def explore(seeds: range, name: str = "", say: Callable[[str], None] = lambda line: None) -> tuple[int, int]:
    """Play each seed; the calls that were made, and the first seed with a wrong answer, -1 for none."""
    calls = 0
    with switched(DEFECTS, name):
        for seed in seeds:
            world = World(seed).run()
            calls += world.calls
            if world.wrong:
                say(f"seed {seed}:")
                for line in world.transcript():
                    say(line)
                return calls, seed
    return calls, -1
