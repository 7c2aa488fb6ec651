"""Proxies on simulated machines, the real shell each but for its sockets: the watch, activation, the register
of servers, quota, and the module that routes.

Clients come without sockets, and a request that is sent on is noted and answered after a while.
"""

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import h11
from returns.result import Result

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.gateway.http_server import encode_response
from lapisgrade.gateway.proxy.process import Proxy
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.gateway.routing.upstream_protocol import ForwardedRequest
from lapisgrade.gateway.settings import Address, Bind, Settings, Span
from lapisgrade.lab.simulation.cluster import BEAT, CALLS_PORT, PORT
from lapisgrade.lab.simulation.network import Endpoint
from lapisgrade.lab.simulation.virtual_loop import CURRENT, SECOND, Process, VirtualLoop
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import AttemptClosed, RequestReceived
from lapisgrade.net.http import MessageParser
from lapisgrade.policy.attempt import Attempt

if TYPE_CHECKING:
    from lapisgrade.lab.simulation.data_plane import DataPlane

WORK = 30_000  # us that a server works on a request
PATIENCE = 2 * SECOND  # us that a client waits
GRACE = 2.6  # s that a proxy goes on once it was told to end
HOST = "a.example"
ANSWERED = MessageParser(h11.CLIENT).feed(encode_response(200, b"done", b"Server-Seal: seal\r\n"))


class ProxyEndpoint(Endpoint):
    """With what `rpc.RpcEndpoint.peer` says of the last call to an address."""

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self._refused: set[tuple[str, int]] = set()

    async def call(self, address: tuple[str, int], message: Any, within: float) -> Result[Any, CallFailure]:
        """As `gateway.rpc.RpcEndpoint.call`."""
        got = await super().call(address, message, within)
        refused = got.value_or(None) is None and got.failure() is CallFailure.NOT_RUN
        (self._refused.add if refused else self._refused.discard)(tuple(address))
        return got

    def peer(self, address: tuple[str, int]) -> SimpleNamespace:
        """Whether nobody listened there."""
        return SimpleNamespace(is_refusing=tuple(address) in self._refused)


class Caller:
    """A client's connection: what it is answered is not read."""

    def respond(self, status: int, body: list, size: int, header_lines: bytes = b"") -> None:
        """Take an answer."""


class Servers:
    """In place of the pool of connections: what is sent is noted, and answered unless its server is gone."""

    def __init__(self, proxy: "SimulatedProxy") -> None:
        self._proxy = proxy

    def update_addresses(self, addresses: dict) -> None:
        """The register's word; nothing is kept of it."""

    def send(self, hop: Attempt) -> None:
        """Have a server run the request."""
        proxy = self._proxy
        there = proxy.plane.sent(proxy, hop)
        landed = (
            AttemptClosed(hop, CloseReason.ANSWERED, ANSWERED)
            if there
            else AttemptClosed(hop, CloseReason.CONNECTION_REFUSED)
        )
        asyncio.get_running_loop().call_later(WORK / SECOND, proxy.host.enqueue, landed)

    def cancel(self, hop: Attempt) -> None:
        """A hop that nobody waits for."""

    def cancel_operation(self, request: RoutedRequest) -> None:
        """A client that has left."""


class SimulatedProxy(Proxy):
    """A proxy's shell, with the clock and the network of the simulation."""

    def __init__(self, plane: "DataPlane", settings: Settings, process: Process) -> None:
        self.plane, self.process = plane, process
        super().__init__(settings, plane.clock.now_us)
        self.context.random.seed(plane.loop.random.getrandbits(64))
        self.context.incarnation = f"{self.context.random.getrandbits(64):016x}"
        self.quota_owner.ownership.incarnation = self.context.incarnation
        self.asked_us = 0  # when the last ask was sent that was answered by who leads
        self._numbers = 0
        plane.watch_owner(self)

    def make_rpc(self) -> ProxyEndpoint:
        """Calls over the simulated network."""
        network = self.plane.cluster.network
        return ProxyEndpoint(network, self.process, self.settings.ip, self.answer, self.on_message)

    def make_pool(self, max_connections: int) -> Servers:
        """The simulated servers."""
        return Servers(self)

    async def work(self) -> None:
        """The process, until it has been told to end and its grace is over."""
        loop = asyncio.get_running_loop()
        await self.rpc.listen(self.inner)
        tasks = [loop.create_task(self.host.run()), loop.create_task(self.watch_client.run())]
        await self._shutdown.wait()
        await asyncio.sleep(GRACE)
        self.rpc.close()
        for task in tasks:
            task.cancel()
        self.process.alive = False

    def apply_update(self, reply: rpc_messages.WatchReply, sent_us: int) -> None:
        """As a proxy's; the play learns of each version that it activates."""
        before = self.active_version
        super().apply_update(reply, sent_us)
        self.asked_us = max(self.asked_us, sent_us)
        if self.active_version != before:
            self.plane.acts(self, before)

    def request(self, path: str, key: str) -> None:
        """One of a client's."""
        now = self.context.now_us()
        self.host.clock.now_us = max(self.host.clock.now_us, now)
        found = self.router.match(now, HOST, path, key)
        if isinstance(found, int):
            return self.plane.refused(self, found)
        rule, tenant = found
        self._numbers += 1
        name = f"{self.context.incarnation}-{self._numbers}".encode()
        client: Any = Caller()
        handle = ForwardedRequest(client, b"GET", path.encode(), HOST.encode(), name, None, [])
        operation = RoutedRequest(
            customer=tenant.name if tenant else "",
            arrived_us=now,
            deadline_us=now + PATIENCE,
            rule=rule,
            tenant=tenant,
            service=self.router.split.choose(rule),
            handle=handle,
        )
        self.host.enqueue(RequestReceived(operation))


class ProxyMachine:
    """A place for one proxy process at a time."""

    def __init__(self, plane: "DataPlane", number: int) -> None:
        self.plane, self.name, self.ip = plane, f"p{number}", f"10.3.0.{number}"
        self.process: Process | None = None
        self.proxy: SimulatedProxy | None = None

    @property
    def running(self) -> bool:
        """Whether its process lives."""
        return self.process is not None and self.process.alive

    def start(self, skew_us: int = 0) -> None:
        """A new life, whose steady clock stands so far ahead of the loop's (us) for as long as it lives."""
        if self.running:
            return
        cluster = self.plane.cluster
        self.process = process = Process(self.name)
        process.skew_us = skew_us
        cluster.processes.append(process)
        seeds = tuple(Address((ip, CALLS_PORT)) for ip in cluster.seeds)
        settings = Settings(
            self.name, self.ip, "z", Bind(), (PORT, PORT + 15), seeds, False, False, "", Span(BEAT)
        )
        token = CURRENT.set(process)
        try:
            self.proxy = SimulatedProxy(self.plane, settings, process)
            cluster.loop.create_task(self.proxy.work())
        finally:
            CURRENT.reset(token)
        cluster.say(f"{self.name} starts")

    def kill(self) -> None:
        """SIGKILL."""
        self.plane.cluster.say(f"{self.name} is killed")
        if self.process is not None:
            self.process.alive = False

    def stop(self) -> None:
        """SIGTERM."""
        if self.running:
            self.plane.cluster.say(f"{self.name} is told to end")
            self.plane.loop.after(0, self.process, self.proxy.end)

    def freeze(self, seconds: float) -> None:
        """It stands still, and goes on with all that it knew."""
        self.plane.cluster.say(f"{self.name} stands still for {seconds:.1f} s")
        self.process.frozen_until = self.plane.loop.now_us + round(seconds * SECOND)


class SimulatedClock:
    """The proxies' steady clock: the loop's, with each process's own skew."""

    def __init__(self) -> None:
        self.loop: VirtualLoop | None = None

    def now_us(self) -> int:
        """In the process whose callback runs."""
        process = CURRENT.get()
        return self.loop.now_us + (process.skew_us if process is not None else 0)
