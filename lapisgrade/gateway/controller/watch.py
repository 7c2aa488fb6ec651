"""What is news to which proxy, and which proxies live: pure. Held by the leader alone.

A proxy asks with the version of the configuration, the turn of the register and the fence that it has.
The list of live proxies names the proxies that live; by it the duties are cut. It stands in the log, and its
place there is the fence under which a duty is done: so a new leader goes on with the last one's, and nothing
changes hands for it."""

from dataclasses import dataclass

import msgspec

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.controller.configuration_feed import ConfigurationFeed
from lapisgrade.gateway.controller.proxy_list_feed import ProxyListFeed
from lapisgrade.gateway.controller.state_machine import LiveProxies, Activate, ServerSnapshot, State
from lapisgrade.gateway.quota.ownership import eligible_owners
from lapisgrade.gateway.registry import Server, Registry
from lapisgrade.gateway.watch_timing import LONG_POLL_US

ALIVE = 2_000_000  # us without an ask after which a proxy's duties go to others; above OWNERSHIP_LEASE_US
GATHER = 150_000  # us between two lists of live proxies at least: those who start together come in together
SNAPSHOT_EVERY = 1_000_000  # us between two lists of servers in the log
MOMENT = (
    1_400_000  # us after a change at which it comes into force without the silent; above the time to doubt
)
REJOINS = 800_000  # us that a merged version waits for who was cut off with its draft to ask; above an ask
REPEAT = 300_000  # us after which an order that did not commit is given again
MOST = 4096  # proxies; a flood of names holds no more of us


@dataclass(slots=True)
class ProxyStatus:
    address: str
    life: str
    zone: str
    at: int  # last ask
    held: int = 0  # the version that it holds ready
    ver: int = 0  # and the one that it acts by
    core: bool = False  # whether a controller stands beside it
    leaving: bool = False  # whether its process was told to end


class Watch:
    HOLD = LONG_POLL_US  # that an ask without news waits

    def __init__(self, beat_us: int, now_us: int) -> None:
        self.beat_us, self.term = beat_us, 0
        self.registry = Registry(beat_us, now_us)
        self.proxies: dict[str, ProxyStatus] = {}
        self._settled, self._live_proxies_at = False, 0
        self._left: dict[str, bool] = {}
        self._snapshot_at, self._snapshotted = 0, {}
        self._staged: dict[int, int] = {}  # versions that are not in force yet: since when
        self._ordered, self._ordered_at = 0, 0
        self.feed = ConfigurationFeed()
        self.proxy_lists = ProxyListFeed()

    @property
    def life(self) -> str:
        return str(self.term)

    def lead(self, now_us: int, term: int, state: State) -> None:
        self.term, self._settled, self._live_proxies_at = term, False, now_us
        self.registry = Registry(self.beat_us, now_us)
        # Those of the last list of live proxies may still act, whenever they last asked.
        self.proxies = {
            name: ProxyStatus(*each, now_us, core=name in state.core, leaving=name in state.leaving)
            for name, each in state.live_proxies.items()
        }
        for server in state.server_snapshot:
            self.registry.known(now_us, [msgspec.structs.replace(server, turn=0)])
        self._snapshot_at, self._snapshotted = (
            now_us,
            {each.id: each.address for each in state.server_snapshot},
        )
        # Whoever was told a version by the last leader is heard by this one, or doubts by then.
        self._staged, self._ordered = dict.fromkeys(state.staged, now_us), 0
        self.leaves(now_us, state.left)
        self.proxy_lists = ProxyListFeed()
        self._list_told(now_us, state)

    def leaves(self, now_us: int, left: dict[str, bool]) -> None:
        for name, gone in left.items():
            known = self.registry.servers.get(name)
            if known is not None and known.state != "gone" and known.state != ("gone" if gone else "drain"):
                self.registry.left(now_us, name, gone)
        self._left = left

    def beat(self, now_us: int, server: Server) -> bool:
        """A server's beat; whether it is news."""
        turn = self.registry.turn
        if server.id in self._left:
            server.state = "gone" if self._left[server.id] else "drain"
        self.registry.beat(now_us, server)
        return self.registry.turn != turn

    def due(self, now_us: int) -> bool:
        """Whether time alone has made news."""
        turn = self.registry.turn
        self.registry.due(now_us)
        self.proxies = {name: each for name, each in self.proxies.items() if now_us - each.at < ALIVE}
        settled, self._settled = self._settled, self.registry.settled(now_us)
        return (turn, settled) != (self.registry.turn, self._settled)

    def refused(self, name: str, address: str) -> None:
        """Its process is surely gone: it acts no more."""
        if name in self.proxies and self.proxies[name].address == address:
            del self.proxies[name]

    def live_proxies(self, now_us: int, state: State) -> LiveProxies | None:
        """The list of live proxies to put into the log, where others live than the one in force says."""
        live = {name: (each.address, each.life, each.zone) for name, each in self.proxies.items()}
        core = sorted(name for name, each in self.proxies.items() if each.core)
        leaving = sorted(name for name, each in self.proxies.items() if each.leaving)
        same = (live, core, leaving) == (state.live_proxies, state.core, state.leaving)
        if same or now_us - self._live_proxies_at < GATHER:
            return None
        self._live_proxies_at = now_us
        return LiveProxies(live, core, leaving)

    def activation(self, now_us: int, state: State) -> Activate | None:
        """The order for the newest version that all who live hold ready, or that is so old that those who
        don't are in doubt and refuse nobody by less (guards a new tenant against a node that lacks it)."""
        self._staged = {ver: self._staged.get(ver, now_us) for ver in state.staged}
        if not self._staged:
            return None
        held = min((each.held for each in self.proxies.values()), default=0)
        # A proxy that was cut off is counted out: nobody waits for it, and it knows of no fence until it
        # has asked (guards claims that would travel the old route there once one went by the merged one).
        young = [ver for ver in state.merged if now_us - self._staged.get(ver, 0) < REJOINS]
        held = min(held, min(young, default=held + 1) - 1)
        due = [ver for ver, at in self._staged.items() if ver <= held or now_us - at >= MOMENT]
        ver = max(due, default=0)
        if not ver or (ver <= self._ordered and now_us - self._ordered_at < REPEAT):
            return None
        self._ordered, self._ordered_at = ver, now_us
        return Activate(ver)

    def server_snapshot(self, now_us: int, state: State) -> ServerSnapshot | None:
        """The servers to put into the log, where others live than it says; seldom, and settled ones only."""
        if now_us - self._snapshot_at < SNAPSHOT_EVERY:
            return None
        live = {
            each.id: each.address for each in self.registry.servers.values() if each.state in ("up", "drain")
        }
        if live == self._snapshotted:
            return None
        self._snapshot_at, self._snapshotted = now_us, live
        return ServerSnapshot(
            [
                msgspec.structs.replace(each, warm_us=0)
                for each in self.registry.servers.values()
                if each.id in live
            ]
        )

    def status(self, now_us: int, state: State) -> dict:
        """For operators: who holds and acts by which version, and what serves."""
        servers: dict[str, dict[str, int]] = {}
        for each in self.registry.servers.values():
            if each.state == "up" and each.svc:
                of = servers.setdefault(each.svc, {"Up": 0, "Slots": 0})
                of["Up"] += 1
                of["Slots"] += each.slots
        proxies = [
            {
                "Name": name,
                "Az": each.zone,
                "At": each.address,
                "Life": each.life,
                "Core": each.core,
                "Leaving": each.leaving,
                "Held": each.held,
                "InForce": each.ver,
                "HeardMs": (now_us - each.at) // 1000,
            }
            for name, each in sorted(self.proxies.items())
        ]
        return {
            "Newest": state.ver,
            "InForce": state.acting_ver,
            "Proxies": proxies,
            "Servers": servers,
        }

    def noted(self, ask: rpc_messages.WatchRequest) -> rpc_messages.WatchRequest:
        """The same ask, whose list of known servers was taken in."""
        return msgspec.structs.replace(ask, known=[]) if ask.known else ask

    def news(
        self, now_us: int, ask: rpc_messages.WatchRequest, state: State, controllers: list[str]
    ) -> rpc_messages.WatchReply | None:
        if ask.name and len(self.proxies) < MOST:
            held = max(ask.held, ask.ver)
            self.proxies[ask.name] = ProxyStatus(
                ask.address, ask.own, ask.zone, now_us, held, ask.ver, ask.core, ask.leaving
            )
        if ask.known:
            self.registry.known(now_us, ask.known)
        own = f"{self.life}+" if self._settled else self.life
        # What an unsettled register told of this life holds; any other is told anew.
        other = ask.life != own and (self._settled or ask.life != f"{self.life}+")
        changed = other or self.registry.turn > ask.turn
        stale = ask.whole or state.acting_ver > ask.ver or state.ver > max(ask.held, ask.ver)
        if not stale and not changed and ask.fence == state.fence:
            return None
        listed = ask.fence != state.fence
        unknown = ask.fence not in (state.fence, state.prior)
        self._list_told(now_us, state)
        delta = self.proxy_lists.delta(ask.fence, state.fence) if listed else None
        held, acting = (0 if ask.whole else max(ask.held, ask.ver)), None
        if state.acting_ver > held:
            acting = self.feed.version(state.acting_ver, state.acting, held)
            held = state.acting_ver
        return rpc_messages.WatchReply(
            True,
            "",
            controllers,
            state.acting_ver,
            acting,
            own,
            self.registry.turn,
            self._settled,
            other,
            self.registry.since(now_us, 0 if other else ask.turn) if changed else [],
            state.fence,
            state.live_proxies if listed and delta is None else None,
            wants_known=ask.life not in (self.life, f"{self.life}+"),
            staged=self.feed.chain(state.staged, held),
            merged=state.merged,
            core=state.core if listed else [],
            prior=state.prior,
            leaving=state.leaving if listed else [],
            prior_owners=state.prior_owners if unknown else [],
            earlier_owners=self.proxy_lists.earlier_owners(now_us, state.prior) if unknown else [],
            live_proxies_delta=delta,
        )

    def _list_told(self, now_us: int, state: State) -> None:
        if not self.proxy_lists.knows(state.fence):
            owners = eligible_owners(state.live_proxies, state.core, state.leaving)
            self.proxy_lists.told(now_us, state.fence, state.live_proxies, owners)

    def quiet(
        self, ask: rpc_messages.WatchRequest, state: State, controllers: list[str]
    ) -> rpc_messages.WatchReply:
        """No news: what the proxy has is as it is."""
        return rpc_messages.WatchReply(
            True, "", controllers, ask.ver, None, ask.life, ask.turn, self._settled, False, [], state.fence
        )
