"""The data plane beside the control plane: real shells of proxies and controllers, servers that beat and
drain, a tenant beyond its limit, and what befalls them. Invariants over both.

- No proxy acts by a version that the log does not hold, nor by an older one than it acted by in this life.
- One owner at a time adds to a count, and none under an older fence once one has under a newer.
- QUOTA holds in every window, over all proxies.
- A proxy that asked after a server's `drain` or end was acknowledged, and was answered, sends it nothing.
"""

import asyncio
from dataclasses import dataclass
from random import Random

import msgspec

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.lab.partitions.quota import allowed, most
from lapisgrade.lab.simulation.clients import PATIENCE, Client, Operator
from lapisgrade.lab.simulation.cluster import CALLS_PORT, CallReply, Machine, OperatorCall
from lapisgrade.lab.simulation.plays import Play
from lapisgrade.lab.simulation.proxies import ProxyMachine, SimulatedClock, SimulatedProxy
from lapisgrade.lab.simulation.virtual_loop import SECOND
from lapisgrade.policy.attempt import Attempt

PROXIES, SERVERS = 5, 4
TENANT, KEY = "t", "key"
BEAT_S = 1.3
OPERATOR_PAUSE_S = 0.6  # so that a change comes in the 5 s that a play waits for one at its end
DRAIN = 3.0  # s that a server goes on once its drain is acknowledged
MAX_BEAT_DELAY_S = 3.0  # how late a beat may come once more
MOST_WAIT_S = 8.0  # for a server's leaving, before a trouble comes without it
LATE_BEATS = 0.1  # share of the beats that come once more, late


@dataclass(frozen=True)
class TenantLoad:
    """A tenant's limit, and how it asks: at `pressure` times its rate, for some seconds, then not at all."""

    rate: int  # a second
    burst: int
    pressure: float
    asks_s: tuple[float, float] = (1.0, 6.0)
    rests_s: tuple[float, float] = (0.0, 0.0)  # its count fills up meanwhile


# One that always asks for more finds leaks of the refill, one that rests those of a full count.
STEADY = TenantLoad(20, 30, 5.0)
BURSTY = TenantLoad(40, 160, 4.0, rests_s=(0.5, 5.0))


class TenantOperator(Operator):
    """Its configurations hold the tenant."""

    load = STEADY

    def body(self, ver: int, base: int) -> tuple[str, bytes]:
        """As any operator's, with the tenant in each whole configuration."""
        call, body = super().body(ver, base)
        if call != "conf.replace":
            return call, body
        tenant = {"Name": TENANT, "Apikeys": [KEY], "RateS": self.load.rate, "Burst": self.load.burst}
        return call, msgspec.json.encode({**msgspec.json.decode(body), "Tenants": [tenant]})


class Server(Client):
    """Beats, drains once its word is acknowledged, and ends; another one follows it."""

    def __init__(self, plane: "DataPlane", number: int) -> None:
        super().__init__(plane.cluster, f"server {number}", f"10.4.0.{number}")
        self.plane, self.id, self._seq = plane, f"i-{number}", 0
        self.left_us = 0  # when it was first acknowledged that it drains or goes
        self.ended = False

    async def work(self) -> None:
        """One life."""
        stays = 4.0 + self.random.random() * 30
        begun = self.loop.now_us
        while self.loop.now_us - begun < stays * SECOND:
            await self.call("servers.heartbeat", "up")
            await asyncio.sleep(BEAT_S * (0.9 + 0.2 * self.random.random()))
        silently = self.random.random() < 0.3  # it never says drain
        while not await self.call("servers.deregister" if silently else "servers.heartbeat", "drain"):
            await asyncio.sleep(0.2)
        self.left_us = self.loop.now_us
        self.cluster.say(f"{self.id}: its leaving is acknowledged")
        await asyncio.sleep(DRAIN)
        if not silently:
            await self.call("servers.deregister", "drain")
        self.ended = True
        self.plane.add_server()

    async def call(self, name: str, state: str) -> bool:
        """Whether any controller acknowledged it."""
        self._seq += 1
        host = self.endpoint.host
        body = {"Svc": "svc", "Addr": f"{host}:8080", "Az": "z", "Ver": "v", "Slots": 50, "State": state,
                "Warmup_time": "0ms", "Seq": self._seq}  # fmt: skip
        machine = self.random.choice([each for each in self.cluster.machines.values() if not each.removed])
        message = OperatorCall(name, self.id, msgspec.json.encode(body))
        if self.random.random() < LATE_BEATS:
            late = round(self.random.random() * MAX_BEAT_DELAY_S * SECOND)
            self.loop.after(late, None, self._deliver_again, machine, message)
        reply = (await self.endpoint.call((machine.ip, CALLS_PORT), message, PATIENCE)).value_or(None)
        return isinstance(reply, CallReply) and reply.status == 200

    def _deliver_again(self, machine: Machine, message: OperatorCall) -> None:
        """A copy of a beat arrives that was long under way; nobody waits for its answer."""
        self.begin(self._send_once(machine, message))

    async def _send_once(self, machine: Machine, message: OperatorCall) -> None:
        await self.endpoint.call((machine.ip, CALLS_PORT), message, PATIENCE)


class DataPlane(Play):
    """A play with proxies, servers and clients beside what a play of the control plane has."""

    def __init__(self, seed: int, clock: SimulatedClock, load: TenantLoad, pause: float = 1.5) -> None:
        super().__init__(seed, operators=1, pause=pause)
        self.clock = clock
        clock.loop = self.loop
        first = TenantOperator(self.cluster, 9, self.history, pause=min(pause, OPERATOR_PAUSE_S))
        self.load = first.load = load
        first.most_reads = 1  # a play ends with the wait for a change; by luck of the draw it could not come
        for each in self.operators:
            each.process.alive = False
        self.operators = [first]
        first.begin(first.work())
        self.machines = [ProxyMachine(self, number) for number in range(1, PROXIES + 1)]
        self.servers: dict[str, Server] = {}
        self.sent_us: list[int] = []  # when each of the tenant's requests was sent to a server
        self.granted: tuple[int, str] = (
            0,
            "",
        )  # the newest fence that a count was added to under, and by whom
        self.grants = 0
        self.refusals: dict[int, int] = {}
        self._asks_until = 0  # us; when the tenant is quiet for a while
        for machine in self.machines:
            machine.start()
        for _ in range(SERVERS):
            self.add_server()
        self.loop.after(2 * SECOND, None, self._ask_on)

    @property
    def invariants(self):
        """Those of the control plane, which hold what is wrong."""
        return self.cluster.invariants

    def add_server(self) -> None:
        """A new life of a server, at an address of its own."""
        server = Server(self, len(self.servers) + 1)
        self.servers[server.id] = server
        server.begin(server.work())

    # ---- clients

    def _ask_on(self) -> None:
        machine = self.random.choice(self.machines)
        if machine.running:
            path = f"/p{self.random.randrange(3)}/1"
            self.loop.after(0, machine.process, machine.proxy.request, path, KEY)
        load = self.load
        pause = self.random.expovariate(load.pressure * load.rate)
        if any(load.rests_s) and self.loop.now_us >= self._asks_until:
            pause += self.random.uniform(*load.rests_s)
            self._asks_until = self.loop.now_us + round((pause + self.random.uniform(*load.asks_s)) * SECOND)
        self.loop.after(round(pause * SECOND), None, self._ask_on)

    # ---- what the proxies do

    def sent(self, proxy: SimulatedProxy, hop: Attempt) -> bool:
        """A request goes to a server; whether that one is still there."""
        server = self.servers[hop.server.address]
        self.sent_us.append(self.loop.now_us)
        asked_us = proxy.asked_us - proxy.process.skew_us
        if server.left_us and asked_us > server.left_us:
            self.invariants.break_(f"{proxy.settings.hostname} sends to {server.id}, told that it leaves")
        return not server.ended

    def refused(self, proxy: SimulatedProxy, status: int) -> None:
        """A request that is not allowed by what the proxy knows."""
        self.refusals[status] = self.refusals.get(status, 0) + 1
        if status != 503 and proxy.active_version:
            self.invariants.break_(f"{proxy.settings.hostname} answers {status} to what all versions allow")

    def acts(self, proxy: SimulatedProxy, before: int) -> None:
        """A proxy has brought a version into force."""
        name = proxy.settings.hostname
        if proxy.active_version not in self.invariants.versions:
            self.invariants.break_(
                f"{name} acts by version {proxy.active_version}, which the log does not hold"
            )
        if proxy.active_version < before:
            self.invariants.break_(f"{name} goes back from version {before} to {proxy.active_version}")

    def watch_owner(self, proxy: SimulatedProxy) -> None:
        """Note each add to a count that this proxy owns."""
        owner: QuotaOwner = proxy.quota_owner
        add = owner.add

        def taking(
            now_us: int, ask: rpc_messages.QuotaRequest, acts_until_us: int
        ) -> rpc_messages.QuotaReply:
            reply = add(now_us, ask, acts_until_us)
            if reply.is_accepted:
                self._grants(owner)
            return reply

        owner.add = taking  # type: ignore[method-assign]

    def _grants(self, owner: QuotaOwner) -> None:
        self.grants += 1
        fence, name = self.granted
        if owner.fencing_token < fence:
            self.invariants.break_(
                f"{owner.name} adds under fence {owner.fencing_token}, after {name} under {fence}"
            )
        elif owner.fencing_token == fence and owner.name != name:
            self.invariants.break_(f"{owner.name} and {name} add under fence {fence}")
        self.granted = (owner.fencing_token, owner.name)

    # ---- troubles

    def proxy_trouble(self) -> None:
        """One of the kinds that befall proxies, at the tenant's owner more often than not."""
        machines = [each for each in self.machines if each.running]
        if not machines:
            return
        owner = next((each for each in machines if each.name == self.granted[1]), None)
        one = owner if owner is not None and self.random.random() < 0.6 else self.random.choice(machines)
        kind = self.random.choice(("cut", "freeze", "kill", "stop", "kill_all", "skew", "swap"))
        seconds = self.random.choice((0.3, 1.0, 2.4, 4.0))
        getattr(self, f"_{kind}_proxy")(one, seconds)

    def _cut_proxy(self, one: ProxyMachine, seconds: float) -> None:
        """From all machines but its clients."""
        self.cluster.say(f"{one.name} is cut off for {seconds} s")
        others = [each.ip for each in (*self.machines, *self.cluster.machines.values()) if each is not one]
        self.cluster.network.cuts |= {(one.ip, ip) for ip in others} | {(ip, one.ip) for ip in others}
        self.later(seconds, self.cluster.heal)

    def _freeze_proxy(self, one: ProxyMachine, seconds: float) -> None:
        one.freeze(seconds)

    def _kill_proxy(self, one: ProxyMachine, seconds: float) -> None:
        one.kill()
        self.later(self.random.choice((0.3, seconds)), one.start)

    def _stop_proxy(self, one: ProxyMachine, seconds: float) -> None:
        one.stop()
        self.later(3.0 + seconds, one.start)

    def _kill_all_proxy(self, one: ProxyMachine, seconds: float) -> None:
        for each in self.machines:
            each.kill()
            self.later(0.2 + self.random.random() * 0.5, each.start)

    def _skew_proxy(self, one: ProxyMachine, seconds: float) -> None:
        """The next life's clock stands elsewhere, as a machine's steady clock does after a start."""
        one.kill()
        one.start(self.random.randrange(500 * SECOND))

    def _swap_proxy(self, one: ProxyMachine, seconds: float) -> None:
        """Counted out and back, as the next owner is cut off."""
        self._cut_proxy(one, 2.6)
        others = [each for each in self.machines if each.running and each is not one]
        if others:
            self.later(2.61, self._cut_proxy, self.random.choice(others), 2.2)

    def lose_leader_after_leaving(self) -> None:
        """The leader loses power just after it acknowledged that a server leaves."""
        before = self._acknowledged_leaving()
        self.loop.run_until(lambda: self._acknowledged_leaving() > before, MOST_WAIT_S, 0.002)
        leader = self.cluster.leader()
        if leader is None or len(self.lost()) >= self.tolerate:
            return
        self.lose(leader, 1.5)
        leader.kill(True, False)
        self.later(1.5, leader.start)

    def _acknowledged_leaving(self) -> int:
        return sum(each.left_us > 0 for each in self.servers.values())

    def end(self) -> None:
        """A calm end, as a control plane's play has, and the quota over all of it."""
        for machine in self.machines:
            machine.start()
        super().end()
        bound, worst = allowed_in_a_window(self.load), most([each / SECOND for each in self.sent_us], 5.0)
        if worst > bound:
            self.invariants.break_(f"{worst} of the tenant's requests in a window, {bound:g} are allowed")


def allowed_in_a_window(load: TenantLoad) -> float:
    """What QUOTA lets the tenant send in a window."""
    from lapisgrade.gateway.settings import Slo

    return allowed(Slo(), load.rate, load.burst)


def played(seed: int) -> DataPlane:
    """A play whose troubles the seed draws, at proxies and controllers."""
    draw = Random(seed)
    play = DataPlane(seed, SimulatedClock(), BURSTY if seed % 2 else STEADY)
    if not play.begin():
        play.cluster.invariants.break_("no change is taken after the start")
    for _ in range(draw.randrange(4, 9)):
        if draw.random() < 0.2:
            play.lose_leader_after_leaving()
        elif draw.random() < 0.3:
            kind, more = play.random.choice(play.TROUBLES)
            getattr(play, kind)(**more)
        else:
            play.proxy_trouble()
        play.loop.run_for(draw.choice((0.1, 0.8, 2.0, 4.0)))
    play.end()
    return play
