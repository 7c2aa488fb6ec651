"""Proxies on simulated machines, which run the production code except for sockets.

This includes watch, activation, server registry, quota and routing. Clients' requests are passed in directly.
A forwarded request is reported to the simulation, and gets a response after a fixed time.
"""

import asyncio
from types import SimpleNamespace
from typing import Any, Protocol

import h11
from returns.result import Result

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.gateway.http_server import encode_response
from lapisgrade.gateway.proxy.process import Proxy
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.gateway.routing.upstream_protocol import ForwardedRequest
from lapisgrade.gateway.settings import Settings
from lapisgrade.lab.simulation.cluster import Cluster
from lapisgrade.lab.simulation.machine import process_settings
from lapisgrade.lab.simulation.network import Endpoint
from lapisgrade.lab.simulation.virtual_loop import CURRENT_PROCESS, SECOND, Process, VirtualLoop
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import AttemptClosed, RequestReceived
from lapisgrade.net.http import MessageParser
from lapisgrade.policy.attempt import Attempt

SERVICE_TIME_US = 30_000  # time from an attempt to its end
CLIENT_TIMEOUT_US = 2 * SECOND  # time from a request to its deadline
SHUTDOWN_GRACE_S = 2.6  # time from the start of a graceful shutdown to the end of the process
HOST = "a.example"
RESPONSE_EVENTS = MessageParser(h11.CLIENT).feed(encode_response(200, b"done", b"Server-Seal: seal\r\n"))


class ProxyEnvironment(Protocol):
    """The simulation that a proxy runs in and reports to."""

    cluster: Cluster
    clock: "SimulatedClock"
    loop: VirtualLoop

    def on_request_sent(self, proxy: "SimulatedProxy", attempt: Attempt) -> bool:
        """Check a request that is sent to a server; return whether that server is still running."""

    def on_request_rejected(self, proxy: "SimulatedProxy", status: int) -> None:
        """Check a request that the proxy rejects."""

    def on_version_activated(self, proxy: "SimulatedProxy", previous_version: int) -> None:
        """Check the configuration version that the proxy has activated."""

    def observe_quota_owner(self, proxy: "SimulatedProxy") -> None:
        """Check each add to a counter that this proxy owns."""


class ProxyEndpoint(Endpoint):
    """An endpoint that tells, like `RpcEndpoint.peer`, whether the last call to an address was refused."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._refused: set[tuple[str, int]] = set()  # addresses whose last call was refused

    async def call(
        self, address: tuple[str, int], message: Any, timeout_s: float
    ) -> Result[Any, CallFailure]:
        """Make a call as `gateway.rpc.RpcEndpoint.call` does."""
        result = await super().call(address, message, timeout_s)
        if result.value_or(None) is None and result.failure() is CallFailure.NOT_RUN:
            self._refused.add(tuple(address))
        else:
            self._refused.discard(tuple(address))
        return result

    def peer(self, address: tuple[str, int]) -> SimpleNamespace:
        """Return the state of a peer: whether it refuses calls."""
        return SimpleNamespace(is_refusing=tuple(address) in self._refused)


class DiscardingClient:
    """A client's connection whose responses are discarded."""

    def respond(self, status: int, body: list, size: int, header_lines: bytes = b"") -> None:
        """Discard a response."""


class SimulatedUpstreams:
    """A connection pool whose servers respond to every request, unless they have ended."""

    def __init__(self, proxy: "SimulatedProxy") -> None:
        self._proxy = proxy

    def update_addresses(self, addresses: dict) -> None:
        """Do nothing; attempts reach a server by its id, without a network address."""

    def send(self, attempt: Attempt) -> None:
        """Process the attempt at a simulated server."""
        proxy = self._proxy
        if proxy.simulation.on_request_sent(proxy, attempt):
            closed = AttemptClosed(attempt, CloseReason.ANSWERED, RESPONSE_EVENTS)
        else:
            closed = AttemptClosed(attempt, CloseReason.CONNECTION_REFUSED)
        asyncio.get_running_loop().call_later(SERVICE_TIME_US / SECOND, proxy.host.enqueue, closed)

    def cancel(self, attempt: Attempt) -> None:
        """Do nothing; the attempt completes at its server."""

    def cancel_operation(self, request: RoutedRequest) -> None:
        """Do nothing; the attempts complete at their servers."""


class SimulatedProxy(Proxy):
    """A proxy with the clock and the network of the simulation.

    Attributes:
        last_watch_us: Send time, by its own steady clock, of the last watch request with a leader's reply.
    """

    def __init__(self, simulation: ProxyEnvironment, settings: Settings, process: Process) -> None:
        self.simulation, self.process = simulation, process
        super().__init__(settings, simulation.clock.now_us)
        self.context.random.seed(simulation.loop.random.getrandbits(64))
        self.context.incarnation = f"{self.context.random.getrandbits(64):016x}"
        self.quota_owner.ownership.incarnation = self.context.incarnation
        self.last_watch_us = 0
        self._request_count = 0
        simulation.observe_quota_owner(self)

    def make_rpc(self) -> ProxyEndpoint:
        """Return an endpoint of the simulated network."""
        network = self.simulation.cluster.network
        return ProxyEndpoint(network, self.process, self.settings.ip, self.answer, self.on_message)

    def make_pool(self, max_connections: int) -> SimulatedUpstreams:
        """Return a pool of connections to the simulated servers."""
        return SimulatedUpstreams(self)

    async def work(self) -> None:
        """Run the process until its graceful shutdown is complete."""
        loop = asyncio.get_running_loop()
        await self.rpc.listen(self.rpc_address)
        tasks = [loop.create_task(self.host.run()), loop.create_task(self.watch_client.run())]
        await self._shutdown.wait()
        await asyncio.sleep(SHUTDOWN_GRACE_S)
        self.rpc.close()
        for task in tasks:
            task.cancel()
        self.process.is_alive = False

    def apply_update(self, reply: rpc_messages.WatchReply, sent_us: int) -> None:
        """Apply an update as a proxy does, and report each version that it activates."""
        previous_version = self.active_version
        super().apply_update(reply, sent_us)
        self.last_watch_us = max(self.last_watch_us, sent_us)
        if self.active_version != previous_version:
            self.simulation.on_version_activated(self, previous_version)

    def request(self, path: str, api_key: str) -> None:
        """Handle a client's request for a path, with the API key of its tenant."""
        now_us = self.context.now_us()
        self.host.clock.now_us = max(self.host.clock.now_us, now_us)
        match = self.router.match(now_us, HOST, path, api_key)
        if isinstance(match, int):
            return self.simulation.on_request_rejected(self, match)
        rule, tenant = match
        self._request_count += 1
        request_id = f"{self.context.incarnation}-{self._request_count}".encode()
        client: Any = DiscardingClient()
        handle = ForwardedRequest(client, b"GET", path.encode(), HOST.encode(), request_id, None, [])
        operation = RoutedRequest(
            customer=tenant.name if tenant else "",
            arrived_us=now_us,
            deadline_us=now_us + CLIENT_TIMEOUT_US,
            rule=rule,
            tenant=tenant,
            service=self.router.split.choose(rule),
            handle=handle,
        )
        self.host.enqueue(RequestReceived(operation))


class ProxyMachine:
    """A host with at most one proxy process.

    Attributes:
        process: The newest process, which may have ended; None before the first start.
        proxy: The proxy of that process.
    """

    def __init__(self, simulation: ProxyEnvironment, number: int) -> None:
        self.simulation, self.name, self.ip = simulation, f"p{number}", f"10.3.0.{number}"
        self.process: Process | None = None
        self.proxy: SimulatedProxy | None = None

    @property
    def is_running(self) -> bool:
        """Whether its process is alive."""
        return self.process is not None and self.process.is_alive

    def make_proxy(self, settings: Settings, process: Process) -> SimulatedProxy:
        """Create the proxy of a process."""
        return SimulatedProxy(self.simulation, settings, process)

    def start(self, skew_us: int = 0) -> None:
        """Start a process whose steady clock is `skew_us` ahead of the loop's, unless one is running."""
        if self.is_running:
            return
        cluster = self.simulation.cluster
        self.process = process = Process(self.name)
        process.skew_us = skew_us
        cluster.processes.append(process)
        settings = process_settings(self.name, self.ip, cluster.seeds, bootstrap=False, is_controller=False)
        token = CURRENT_PROCESS.set(process)
        try:
            self.proxy = self.make_proxy(settings, process)
            cluster.loop.create_task(self.proxy.work())
        finally:
            CURRENT_PROCESS.reset(token)
        cluster.note(f"{self.name} starts")

    def kill(self) -> None:
        """Kill the process, as on SIGKILL."""
        self.simulation.cluster.note(f"{self.name} is killed")
        if self.process is not None:
            self.process.is_alive = False

    def stop(self) -> None:
        """Start a graceful shutdown, as on SIGTERM."""
        if self.is_running:
            self.simulation.cluster.note(f"{self.name} starts a graceful shutdown")
            self.simulation.loop.schedule(0, self.process, self.proxy.end)

    def freeze(self, seconds: float) -> None:
        """Suspend the process for `seconds`."""
        self.simulation.cluster.note(f"{self.name} is frozen for {seconds:.1f} s")
        self.process.frozen_until_us = self.simulation.loop.now_us + round(seconds * SECOND)


class SimulatedClock:
    """The proxies' steady clock: the loop's time, with the skew of each process."""

    def __init__(self) -> None:
        self.loop: VirtualLoop | None = None

    def now_us(self) -> int:
        """Return the time of the process whose callback is running."""
        process = CURRENT_PROCESS.get()
        return process.clock_us(self.loop.now_us) if process is not None else self.loop.now_us
