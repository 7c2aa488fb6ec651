"""The proxy process: its composition, start and shutdown.

Clients' requests pass from `client_front` through the host and its router (`routing`) to servers.
`quota_transport` adds to tenants' counts at their owners. `operation_transport` claims keyed requests and
queries their outcomes. `watch_client` requests updates from the controllers, and `control_updates` applies
them.
"""

import asyncio
import logging
import os
from collections.abc import Callable
from http import HTTPStatus
from random import Random

from lapisgrade.gateway import SECOND, clock, registry, rpc_messages
from lapisgrade.gateway.http_server import HttpReply, HttpServer
from lapisgrade.gateway.membership.gossip import Gossip
from lapisgrade.gateway.membership.partial_view import PartialView
from lapisgrade.gateway.proxy.claim_client import ClaimClient
from lapisgrade.gateway.proxy.claim_target import ClaimTarget
from lapisgrade.gateway.proxy.client_front import ClientFront
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.control_updates import ControlUpdates
from lapisgrade.gateway.proxy.host import ProxyHost
from lapisgrade.gateway.proxy.load_reporter import LoadReporter
from lapisgrade.gateway.proxy.operation_transport import OperationTransport
from lapisgrade.gateway.proxy.peer_reachability import PeerReachability
from lapisgrade.gateway.proxy.quota_transport import QuotaTransport
from lapisgrade.gateway.proxy.server_list import ServerList
from lapisgrade.gateway.proxy.server_pool import ServerPool
from lapisgrade.gateway.proxy.version_rollout import VersionRollout
from lapisgrade.gateway.proxy.watch_client import WatchClient
from lapisgrade.gateway.proxy.watch_target import WatchTarget
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import Settings
from lapisgrade.net.http import Message as HttpMessage
from lapisgrade.peers.frame import MAX_NAME_LENGTH

log = logging.getLogger("proxy")

RESERVED_FILES = 200  # descriptors reserved for files and for calls to controllers and proxies
MIN_SOCKETS = 64  # lower bound on the descriptors that remain for clients and servers
MAX_READINESS_BODY_BYTES = 4096
MAX_READINESS_CONNECTIONS = 32
# Delay after SIGTERM before idle connections are closed: until then the platform may still open new ones.
SHUTDOWN_ACCEPT_S = 2.6
EXIT_RESERVE_S = 0.4  # end of the grace time, reserved for the exit of the process
SHUTDOWN_POLL_S = 0.05  # interval between checks for unanswered requests


class Proxy:
    """The proxy process, which runs (`run`) until `end` is called.

    A simulation passes its own clock, and overrides `make_rpc` and `make_pool` to simulate the network.
    """

    def __init__(self, settings: Settings, now_us: Callable[[], int] = clock.now_us) -> None:
        random = Random(int.from_bytes(os.urandom(8), "big"))
        incarnation = f"{random.getrandbits(64):016x}"
        self.context = ProxyContext(settings, random, now_us, incarnation)
        self.rpc_address = settings.internal_address(1)  # address for calls of other proxies and controllers
        self._shutdown = asyncio.Event()
        self._build_routing(settings)
        self._build_control(settings)

    def _build_routing(self, settings: Settings) -> None:
        """Create the parts between clients and servers."""
        context = self.context
        self.host = ProxyHost(
            lambda host_clock: Router(
                host_clock,
                context.random.getrandbits(32),
                settings.slo,
                settings.az,
                settings.hostname,
                str(self.rpc_address),
                context.incarnation,
            ),
            context.now_us,
            context.log_diagnostic,
            context.metrics.transport,
        )
        self.host.log_failure = context.log_failure
        self.router: Router = self.host.policy
        sockets = max(MIN_SOCKETS, settings.caps.nofile - RESERVED_FILES)
        self.client_front = ClientFront(context, self.host, self.router, sockets // 2)
        self.host.pool = self.pool = self.make_pool(sockets // 4)
        self.readiness = HttpServer(
            self._answer_readiness, MAX_READINESS_BODY_BYTES, MAX_READINESS_CONNECTIONS
        )

    def _build_control(self, settings: Settings) -> None:
        """Create the parts that communicate with controllers and other proxies."""
        context = self.context
        self.rpc = self.make_rpc()
        self.quota_owner = QuotaOwner(settings.hostname, context.incarnation, context.now_us())
        self.partial_view = PartialView(str(self.rpc_address), settings.az, context.random, context.now_us())
        self.gossip = Gossip(
            settings.hostname[:MAX_NAME_LENGTH], self.partial_view, context.now_us, context.log_diagnostic
        )
        self.watch_target = WatchTarget(context.random, self.partial_view, [])
        self._apply_seeds()
        self.reachability = PeerReachability(context)
        self.load_reporter = LoadReporter(context, self.router, self.rpc)
        self.host.on_load_change = self.load_reporter.on_change
        self.updates = ControlUpdates(
            context,
            self.host.clock,
            self.router,
            self.quota_owner,
            self.partial_view,
            VersionRollout(self.router, self.client_front),
            ServerList(self.router, self.pool, context.metrics),
            self.reachability,
            self.load_reporter,
        )
        self.host.counter = self.quota_transport = QuotaTransport(
            context, self.host, self.router, self.rpc, self.quota_owner, self.updates, self.reachability
        )
        self.host.caller = self.operation_transport = OperationTransport(
            context,
            self.host,
            self.rpc,
            ClaimClient(context, self.rpc, ClaimTarget(context.random, self.watch_target)),
            self.router.operation_attempts,
        )
        self.watch_client = WatchClient(
            context,
            str(self.rpc_address),
            self.rpc,
            self.watch_target,
            self.quota_owner,
            self.updates,
            self.reachability,
            self.apply_update,
            self._shutdown.is_set,
        )

    def make_rpc(self) -> RpcEndpoint:
        """Create the endpoint for calls between proxies and controllers."""
        return RpcEndpoint(rpc_messages.Message, self.answer, self.on_message)

    def make_pool(self, max_connections: int) -> ServerPool:
        """Create the pool of connections to servers."""
        return ServerPool(self.context, self.host.enqueue, self.router.idle_connections, max_connections)

    # ---- settings

    @property
    def settings(self) -> Settings:
        """The most recently loaded settings."""
        return self.context.settings

    def reload(self, settings: Settings) -> None:
        """Replace the settings; only changes of the peers take effect without a restart."""
        self.context.settings = settings
        self._apply_seeds()

    def _apply_seeds(self) -> None:
        """Add the peers in the settings as seeds; each of them runs a controller and a proxy."""
        settings = self.settings
        controller_port, hosts = settings.portrange[0], [peer[0] for peer in settings.peers]
        self.watch_target.seeds = [f"{host}:{controller_port}" for host in hosts]
        self.partial_view.add_addresses([f"{host}:{self.rpc_address[1]}" for host in hosts])

    # ---- start and shutdown

    async def run(self) -> None:
        """Serve until `end` is called, and then until all requests are answered or the grace time is over."""
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self.host.run()), loop.create_task(self.watch_client.run())]
        for task in tasks:
            task.add_done_callback(self._on_task_done)
        await self._listen()
        try:
            await self._shutdown.wait()
            await self._drain()
        finally:
            for task in tasks:
                task.cancel()
            self._close()
            self._log_metrics()

    def end(self) -> None:
        """Start the shutdown."""
        self._shutdown.set()

    async def _listen(self) -> None:
        bind = self.settings.bind
        await self.rpc.listen(self.rpc_address)
        await self.gossip.open(*self.rpc_address)
        await self.readiness.listen(bind.readyz)
        await self.client_front.listen(bind.http)

    async def _drain(self) -> None:
        """Answer the requests in progress; new connections are accepted, but closed after one response."""
        loop, front = asyncio.get_running_loop(), self.client_front
        deadline = loop.time() + self.settings.slo.grace / SECOND - EXIT_RESERVE_S
        front.is_draining = True
        front.closes_after_response = True
        log.info(
            "shutting down: %d client connections, %d unanswered requests",
            len(front.clients),
            len(self.host.unanswered),
        )
        await asyncio.sleep(SHUTDOWN_ACCEPT_S)
        front.close_idle()
        while (front.clients or self._has_requests()) and loop.time() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_S)
            front.close_idle()

    def _has_requests(self) -> bool:
        """Return whether requests are in progress.

        They include keyed requests whose client has disconnected, and other proxies' queries for the outcomes
        of keyed requests.
        """
        has_runs = self.router.operation_attempts.outcomes.running_count > 0
        return bool(self.host.unanswered or has_runs or self.operation_transport.waiting_replies)

    def _close(self) -> None:
        self.load_reporter.close()
        self.client_front.close()
        self.pool.close()
        self.readiness.close()
        self.quota_transport.close()
        self.operation_transport.close()
        self.rpc.close()
        self.gossip.close()

    def _log_metrics(self) -> None:
        metrics = {**self.context.metrics.nonzero(), "gossip": dict(self.gossip.udp.counts)}
        log.info("metrics %s", dict(sorted(metrics.items())))

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Shut the process down when a permanent task ends, as the proxy would only partly work."""
        if not task.cancelled():
            log.error("a permanent task ended unexpectedly; shutting down", exc_info=task.exception())
            self.context.metrics.tasks_failed += 1
            self._shutdown.set()

    # ---- readiness

    @property
    def ready(self) -> bool:
        """Whether the proxy has a configuration, servers and members, and is not draining or isolated."""
        has_control_state = (
            self.router.route_versions.active is not None
            and self.updates.registry_incarnation
            and self.quota_owner.fencing_token
        )
        return bool(has_control_state) and not self.client_front.is_draining and not self.is_isolated

    @property
    def is_isolated(self) -> bool:
        """Whether no other machine replies although other proxies are live."""
        return self.reachability.is_isolated(len(self.quota_owner.proxies))

    async def _answer_readiness(self, message: HttpMessage) -> HttpReply:
        if message.head.target != b"/-/readyz":
            return HttpReply(HTTPStatus.NOT_FOUND)
        return HttpReply(HTTPStatus.OK if self.ready else HTTPStatus.SERVICE_UNAVAILABLE)

    @property
    def active_version(self) -> int:
        """The active version of the configuration; 0 if there is none."""
        return self.updates.versions.active_version

    @property
    def servers(self) -> dict[str, registry.Server]:
        """The known servers by id."""
        return self.updates.servers.by_id

    # ---- messages of controllers and other proxies

    def apply_update(self, reply: rpc_messages.WatchReply, sent_us: int) -> None:
        """Apply the leader's reply to a watch request that was sent at `sent_us`."""
        self.updates.apply(reply, sent_us)

    def on_message(self, message: rpc_messages.Message) -> None:
        """Process a one-way message."""
        if isinstance(message, rpc_messages.ProxyLoads):
            self.router.subsets.on_load_report(
                self.context.now_us(), message.proxy, message.in_flight, message.unhealthy_servers
            )

    async def answer(self, message: rpc_messages.Message) -> rpc_messages.Message | None:
        """Answer another process's call; return None if proxies do not answer this type of call."""
        if isinstance(message, rpc_messages.QuotaRequest):
            return await self.quota_transport.answer_add(message)
        if isinstance(message, rpc_messages.HandOverRequest):
            return self.quota_transport.answer_hand_over(message)
        if isinstance(message, rpc_messages.OutcomeRequest):
            return await self.operation_transport.answer_outcome(message)
        if isinstance(message, rpc_messages.WatchRequest):
            return await self.watch_client.relay(message)
        return None
