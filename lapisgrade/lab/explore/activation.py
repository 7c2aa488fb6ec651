"""Exploration of version activation: all proxies switch to a configuration version together.

Once one proxy has accepted a tenant, no proxy refuses it. Once one proxy has refused a withdrawn tenant, no
proxy that is in contact with the leader accepts it. The exploration runs the production code of the leader's
watch and state machine and of the proxies' routers in simulated time, with late and lost updates, proxies
that freeze, restart or are isolated, leader changes, and several tenants. A run is reproducible from its
seed. Known defects can be injected, and each must be detected.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import Any, Self

import msgspec

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.controller import version_activation
from lapisgrade.gateway.controller.commands import Activate, ConfigurationChange, encode_command
from lapisgrade.gateway.controller.state import State
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.routing import route_versions, router
from lapisgrade.gateway.watch_timing import LONG_POLL_US, MISSED_VERSION_AFTER_US
from lapisgrade.lab.emulator.sim import Sim
from lapisgrade.lab.explore.defects import Defect, Defects
from lapisgrade.lab.explore.exploration import (
    Exploration,
    ExplorationResult,
    Print,
    print_nothing,
    transcript_up_to_violation,
)
from lapisgrade.lab.explore.watch_proxy import MS, Proxy, WatchCall

UNIT = "calls"
MESSAGE_LOSS = 0.02  # probability that a message is lost
TICK_US = 50 * MS
CONTROLLERS = 3
FOLLOWER_DELAY_US = 100 * MS  # time from the commit of an entry until followers apply it
CALL_INTERVAL_US = 50 * MS


def encode_configuration(version: int, base: int, tenants: int | list[int]) -> bytes:
    """Return a configuration as JSON.

    Args:
        version: Its version.
        base: The version that it replaces.
        tenants: The numbers of its tenants, or how many tenants it has.
    """
    names = [f"t{number}" for number in (range(tenants) if isinstance(tenants, int) else tenants)]
    return msgspec.json.encode(
        {
            "Ver": version,
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


class World:
    """A leader, proxies, the network between them, and clients that call all proxies."""

    PROXY: type[Proxy] = Proxy
    LEADS_EARLY = False  # defect: a restarted controller becomes leader before it has applied the log

    def __init__(self, seed: int, proxies: int = 8) -> None:
        """Start a leader and `proxies` proxies, with a configuration of one tenant."""
        self.random = Random(seed)
        self.sim = Sim()
        self.sim.now = 10 * SECOND
        self.transcript_lines: list[str] = []
        self.state_machine = StateMachine()
        self.last_index = 0
        self.pending: list[WatchCall] = []  # watch requests that wait for a reply
        self.watches = [Watch(SECOND, self.sim.now) for _ in range(CONTROLLERS)]  # one for each controller
        self.become_leader(1)
        self.isolated: set[str] = set()  # names of proxies that can't reach the leader
        self.tenant_count = 0
        self.withdrawn: set[int] = set()  # numbers of tenants that a change has removed
        self.first_accepted_us: dict[int, int] = {}  # time by tenant
        self.first_refused_us: dict[int, int] = {}  # time by withdrawn tenant
        # Violations: time (us), proxy, tenant, and for the first kind the status.
        self.refused_after_acceptance: list[tuple[int, str, int, int]] = []
        self.accepted_after_refusal: list[tuple[int, str, int]] = []
        self.call_count = 0
        self.change(1)
        self.proxies = [self.PROXY(self, f"c{number}") for number in range(proxies)]
        self._tick()

    # ---- the leader

    def become_leader(self, term: int) -> None:
        """Start a new term; proposals that the previous leader had not committed are lost."""
        self.term = term
        self.pending = []
        self.watch = self.watches[term % CONTROLLERS]
        state = State() if self.LEADS_EARLY else self.state_machine.state
        self.watch.become_leader(self.sim.now, term, state)
        self.note(f"new leader in term {term}; live proxies: {sorted(self.watch.proxies)}")

    def _tick(self) -> None:
        self.watch.advance(self.sim.now)
        self.propose_due_commands()
        self.sim.after(TICK_US, self._tick)

    def propose_due_commands(self) -> None:
        """Propose the commands that are due in the leader's watch."""
        now, state = self.sim.now, self.state_machine.state
        for command in (self.watch.activation(now, state), self.watch.live_proxies(now, state)):
            if command is not None:
                delay_us = self.random.randrange(2 * MS, 20 * MS)
                self.sim.after(delay_us, self._commit, encode_command(command), self.term)

    def _commit(self, data: bytes, term: int) -> None:
        if term != self.term:
            return  # a proposal of an earlier leader is lost
        self.last_index += 1
        self.state_machine.apply(self.last_index, data)
        state = self.state_machine.state
        for watch in self.watches:  # the leader applies an entry first
            delay_us = 0 if watch is self.watch else FOLLOWER_DELAY_US
            self.sim.after(delay_us, self._observe, watch)
        live_proxies = sorted(state.live_proxies)
        self.note(
            f"log: newest version {state.version}, active version {state.active_version}, "
            f"live proxies {live_proxies}"
        )
        self.reply_to_pending()

    def _observe(self, watch: Watch) -> None:
        """Let a controller record which versions are staged."""
        watch.observe_staged_versions(self.sim.now, self.state_machine.state)

    def change(self, added: int, withdrawn: int | None = None) -> None:
        """Commit a configuration with `added` more tenants, and without the tenant `withdrawn` if given."""
        self.tenant_count += added
        if withdrawn is not None:
            self.withdrawn.add(withdrawn)
        state = self.state_machine.state
        tenants = [number for number in range(self.tenant_count) if number not in self.withdrawn]
        self._commit(
            encode_command(
                ConfigurationChange(True, encode_configuration(state.version + 1, state.version, tenants))
            ),
            self.term,
        )

    def on_watch_request(self, call: WatchCall) -> None:
        """Reply to a watch request at the next update, or at the end of its long poll."""
        call.reply_by_us = self.sim.now + LONG_POLL_US
        self.pending.append(call)
        self.sim.after(LONG_POLL_US, self.reply_to_pending)
        self.reply_to_pending()

    def reply_to_pending(self) -> None:
        """Reply to the watch requests that have an update or whose long poll has ended."""
        pending, self.pending = self.pending, []
        for call in pending:
            state = self.state_machine.state
            reply = self.watch.reply_if_changed(self.sim.now, call.request, state, [])
            if reply is None and self.sim.now >= call.reply_by_us:
                reply = self.watch.unchanged_reply(call.request, state, [])
            if reply is None:
                self.pending.append(call)
            else:
                self.deliver(call.proxy, call.proxy.on_watch_reply, reply, call)
        self.propose_due_commands()

    # ---- network, faults and clients

    def deliver(self, proxy: Proxy, handler: Callable[..., None], *args: Any) -> None:
        """Call a handler after a network delay, unless the proxy is isolated or the message is lost."""
        if proxy.name not in self.isolated and self.random.random() > MESSAGE_LOSS:
            self.sim.after(self.random.choice((1, 2, 5, 40)) * MS, handler, *args)

    def inject_fault(self) -> None:
        """Inject a random fault."""
        proxy, kind = self.random.choice(self.proxies), self.random.randrange(4)
        self.note(("isolated", "frozen", "restarted", "leader change")[kind] + f" ({proxy.name})")
        match kind:
            case 0:
                self.isolated.add(proxy.name)
                self.sim.after(self.random.randrange(3 * SECOND), self.isolated.discard, proxy.name)
            case 1:
                proxy.frozen_until_us = self.sim.now + self.random.randrange(3 * SECOND)
            case 2:
                proxy.start()
            case 3:
                self.become_leader(self.term + 1)

    def call_all_proxies(self) -> None:
        """Send a request of each tenant, withdrawn ones included, to each proxy that isn't frozen."""
        for tenant in range(self.tenant_count):
            for proxy in self.proxies:
                if self.sim.now >= proxy.frozen_until_us:
                    self.call_count += 1
                    self._check_call(proxy, tenant, proxy.call(tenant))

    def _check_call(self, proxy: Proxy, tenant: int, status: int) -> None:
        """Check a response; 503 is neither an acceptance nor a refusal, as a retry may be accepted."""
        if status == 200:
            self._check_accepted(proxy, tenant)
        elif status == 503:
            return
        elif tenant in self.withdrawn:
            self.first_refused_us.setdefault(tenant, self.sim.now)
        elif tenant in self.first_accepted_us:
            self.refused_after_acceptance.append((self.sim.now, proxy.name, tenant, status))
            self.note(f"WRONG: {proxy.name} responds {status} to t{tenant}, which was accepted before")

    def _check_accepted(self, proxy: Proxy, tenant: int) -> None:
        self.first_accepted_us.setdefault(tenant, self.sim.now)
        may_lack_version = self.sim.now - proxy.router.route_versions.confirmed_us > MISSED_VERSION_AFTER_US
        if tenant in self.first_refused_us and not may_lack_version:
            self.accepted_after_refusal.append((self.sim.now, proxy.name, tenant))
            self.note(f"WRONG: {proxy.name} accepts t{tenant}, which was withdrawn and refused before")

    def run(self, changes: int = 4) -> Self:
        """Simulate `changes` configuration changes with a fault each, then a period without faults."""
        self.sim.run(self.sim.now + 3 * SECOND)
        for number in range(changes):
            self.sim.at(self.sim.now + self.random.randrange(SECOND), self.inject_fault)
            self.sim.at(self.sim.now + self.random.randrange(SECOND), self.change, 1)
            if number == 2:  # one change withdraws the first tenant
                self.sim.at(self.sim.now + self.random.randrange(SECOND), self.change, 0, 0)
            end_us = self.sim.now + self.random.choice((1, 3, 5)) * SECOND
            while self.sim.now < end_us:
                self.sim.run(self.sim.now + CALL_INTERVAL_US)
                self.call_all_proxies()
        self.sim.run(self.sim.now + 4 * SECOND)
        self.call_all_proxies()
        return self

    # ---- findings

    def note(self, text: str) -> None:
        """Add a line to the transcript."""
        self.transcript_lines.append(f"{self.sim.now / SECOND:9.3f} s  {text}")

    @property
    def has_violation(self) -> bool:
        """Whether a tenant was refused after acceptance, or a withdrawn one accepted after a refusal."""
        return bool(self.refused_after_acceptance or self.accepted_after_refusal)

    def transcript(self) -> list[str]:
        """Return the transcript lines that lead to the first violation."""
        return transcript_up_to_violation(self.transcript_lines)


def _match_active_only(self: router.Router, now: int, *request: str) -> Any:
    """A proxy that may have missed a version still routes by its active one."""
    return self.route_versions.active.match(*request) if self.route_versions.active else 503


def _activate_unstaged(self: Watch, now: int, state: State) -> Activate | None:
    """A version is activated before the proxies have staged it."""
    return Activate(state.version) if state.version > state.active_version else None


def _skip_time_outs(self: version_activation.VersionActivation, now: int, state: State) -> None:
    """A new leader counts the versions that it finds staged as staged long ago."""
    long_ago_us = now - version_activation.ACTIVATION_TIMEOUT_US
    self._staged_since_us = dict.fromkeys(state.staged_versions, long_ago_us)


DEFECTS: Defects = {
    "serves-withdrawn": Defect(router.Router, "match", _match_active_only),
    "acts-at-once": Defect(Watch, "activation", _activate_unstaged),
    "never-doubts": Defect(route_versions, "MISSED_VERSION_AFTER_US", 1 << 60),
    "waits-for-nobody": Defect(version_activation, "ACTIVATION_TIMEOUT_US", 0),
    "skips-time-outs": Defect(version_activation.VersionActivation, "become_leader", _skip_time_outs),
    "leads-early": Defect(World, "LEADS_EARLY", True),
}


def _simulations(seed: int) -> Iterator[tuple[str, World]]:
    yield f"seed {seed}", World(seed).run()


EXPLORATION = Exploration(DEFECTS, _simulations, lambda world: world.call_count)


def explore(seeds: range, defect: str = "", print_line: Print = print_nothing) -> ExplorationResult:
    """Simulate seeds until one has a violation; counts the calls that clients made."""
    return EXPLORATION.run(seeds, defect, print_line)
