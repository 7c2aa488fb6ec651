"""A controller process: assembles the components, starts them, and shuts them down gracefully.

HTTP (servers, operators) -> ControlApi -> CallForwarder -> LeaderCalls ----+
                                 |              ^                           v
                            DraftService -> DraftDelivery            ConsensusDriver -> LogWriter -> disk
                                 ^                                    ^     |
RPC (controllers, proxies) ------+----------> WatchService -----------+     +-> StateMachine
                                 +----------> OperationClaims --------+
"""

import asyncio
import logging
import os
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from http import HTTPStatus
from random import Random
from typing import Any

import msgspec

from lapisgrade.gateway import STARTED_US, configuration, rpc_messages
from lapisgrade.gateway.clock import now_us
from lapisgrade.gateway.consensus.messages import Message as ConsensusMessage
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import Record
from lapisgrade.gateway.controller import node_recovery
from lapisgrade.gateway.controller.call_forwarding import CallForwarder
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver, ConsensusObserver
from lapisgrade.gateway.controller.control_api import ControlApi
from lapisgrade.gateway.controller.drafts import DraftDelivery, DraftService
from lapisgrade.gateway.controller.leader_calls import LeaderCalls
from lapisgrade.gateway.controller.leader_discovery import ClusterMembership, LeaderDiscovery
from lapisgrade.gateway.controller.log_writer import LogWriter
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.controller.operation_claims import OperationClaims
from lapisgrade.gateway.controller.quorum_monitor import QuorumMonitor
from lapisgrade.gateway.controller.refused_changes import RefusedChanges
from lapisgrade.gateway.controller.staging_admission import StagingAdmission
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.controller.watch_service import WatchService
from lapisgrade.gateway.errors import UnreadableLogError
from lapisgrade.gateway.http_server import MAX_CONNECTIONS, HttpReply, HttpServer
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import Settings, parse_address
from lapisgrade.gateway.storage.draft_store import DraftStore
from lapisgrade.gateway.storage.log_store import LogStore
from lapisgrade.net.http import Message as HttpMessage
from lapisgrade.net.rate_limited_log import RateLimitedLog

log = logging.getLogger("controller")

RESERVED_FILES = 200  # descriptors reserved for files, and for calls between controllers and proxies
MIN_CONTROL_CONNECTIONS = 16  # connections of servers and operators that are allowed in any case
MAX_READINESS_CONNECTIONS = 32  # connections to the readiness endpoint
SHUTDOWN_FLUSH_S = 0.15  # delay at shutdown, in which the last messages are sent
MAX_READINESS_BODY_BYTES = 4096

CallHandler = Callable[[Any], Awaitable[Any]]
MessageHandler = Callable[[Any], None]


class ControllerStorage(msgspec.Struct, frozen=True):
    """A controller's files on disk, and the executor that runs blocking calls on them, one at a time."""

    log_store: LogStore
    draft_store: DraftStore
    executor: Executor


class ControllerEnvironment(msgspec.Struct, frozen=True):
    """The dependencies of a controller on its machine; the laboratory simulates them.

    Attributes:
        clock: Returns the monotonic time in us.
        random: The random generator.
        started_us: The time at which the process started, by `clock`.
        storage: The disk; None for a controller without one.
        rpc: Creates the endpoint, given a handler of calls and a handler of messages without a reply.
        observer: Receives a callback at each step of the consensus.
    """

    clock: Callable[[], int]
    random: Random
    started_us: int
    storage: ControllerStorage | None
    rpc: Callable[[CallHandler, MessageHandler], RpcEndpoint]
    observer: ConsensusObserver


def max_control_connections(descriptors: int) -> int:
    """Return the maximum number of connections of servers and operators.

    `descriptors` is the limit of the process for open file descriptors.
    """
    return min(MAX_CONNECTIONS, max(MIN_CONTROL_CONNECTIONS, descriptors - RESERVED_FILES))


def system_environment(settings: Settings) -> ControllerEnvironment:
    """Return the environment of a real process."""
    storage = None
    if settings.datadir:
        executor = ThreadPoolExecutor(1, "disk")
        log_store = LogStore(settings.datadir)
        storage = ControllerStorage(log_store, DraftStore(settings.datadir, executor), executor)
    return ControllerEnvironment(
        clock=now_us,
        random=Random(int.from_bytes(os.urandom(8), "big")),
        started_us=STARTED_US,
        storage=storage,
        rpc=lambda on_call, on_message: RpcEndpoint(rpc_messages.Message, on_call, on_message),
        observer=ConsensusObserver(),
    )


class Controller:
    """A controller, which runs until `end` is called."""

    def __init__(self, settings: Settings, environment: ControllerEnvironment | None = None) -> None:
        """`environment` defaults to that of a real process."""
        environment = environment or system_environment(settings)
        self.settings = settings
        self.storage = environment.storage
        self.metrics = ControllerMetrics()
        self.state_machine = StateMachine()
        self._environment = environment
        self._own_address = settings.internal_address(0)
        self._end_requested = asyncio.Event()
        self._unreadable_log: UnreadableLogError | None = None
        clock = environment.clock
        self.rpc = environment.rpc(self._on_call, self._on_message)
        self.consensus = ConsensusDriver(
            self.state_machine,
            self._send,
            clock,
            self.metrics,
            environment.observer,
            self._on_unreadable_log,
        )
        self.membership = ClusterMembership(
            self.consensus, self._send, self._current_settings, clock, environment.random
        )
        discovery = LeaderDiscovery(self.consensus, self.rpc, self._current_settings, environment.random)
        self.watch = Watch(int(settings.heartbeat), clock())
        self.watch_service = WatchService(
            self.watch, self.consensus, discovery, self.state_machine, clock, self.metrics
        )
        self.quorum_monitor = QuorumMonitor(
            self.consensus, self._current_settings, lambda: self.watch.proxies, clock, self.metrics
        )
        leader_calls = LeaderCalls(
            self.consensus,
            self.state_machine,
            self.watch_service,
            StagingAdmission(self.consensus, self.state_machine, self.watch_service, clock, self.metrics),
            RefusedChanges(self.metrics, RateLimitedLog("controller", log.warning).write),
            self.quorum_monitor,
            self._own_address,
            clock,
        )
        self.forwarder = CallForwarder(self.consensus, leader_calls, discovery, self.rpc, clock)
        self.operation_claims = OperationClaims(
            self.consensus, self.state_machine, discovery, self._current_settings, clock, self.metrics
        )
        self.draft_delivery = self._make_draft_delivery()
        self.drafts = self._make_draft_service()
        self.control_api = ControlApi(self.forwarder, self.drafts, self.metrics)
        self.control_server = HttpServer(
            self.control_api.handle_call,
            configuration.MAX_BYTES,
            max_control_connections(settings.caps.nofile),
        )
        self.readiness_server = HttpServer(
            self._handle_readiness, MAX_READINESS_BODY_BYTES, MAX_READINESS_CONNECTIONS
        )

    def _make_draft_delivery(self) -> DraftDelivery:
        return DraftDelivery(
            self.storage.draft_store if self.storage is not None else None,
            self.forwarder.forward,
            self._environment.random,
            self.metrics,
        )

    def _make_draft_service(self) -> DraftService:
        return DraftService(
            self.draft_delivery,
            self.state_machine,
            self.rpc,
            self._own_address,
            self.consensus.voter_addresses,
            lambda: self.settings.hostname,
        )

    @property
    def node(self) -> Node | None:
        """The consensus node; None without a disk, before recovery, and after an unreadable entry."""
        return self.consensus.node

    # ---- life cycle

    async def run(self) -> None:
        """Recover, listen and serve until `end` is called, then leave the cluster.

        Raises:
            UnreadableLogError: The log has an entry or a snapshot of a later release. The controller has
                stopped serving.
        """
        tasks = await self._recover()
        await self._listen()
        self.consensus.step()
        try:
            await self._end_requested.wait()
            self.control_server.closing = True
            if self._unreadable_log is None:
                await self._leave_cluster()
        finally:
            self._close(tasks)
            log.info("metrics %s", self.metrics.nonzero())
        if self._unreadable_log is not None:
            raise self._unreadable_log

    def end(self) -> None:
        """Start a graceful shutdown."""
        self._end_requested.set()

    def _on_unreadable_log(self, error: UnreadableLogError) -> None:
        self._unreadable_log = error
        self._end_requested.set()

    def reload(self, settings: Settings) -> None:
        """Replace the settings.

        Changes of addresses, the data directory, the heartbeat interval and the descriptor limit take effect
        only after a restart.
        """
        self.settings = settings

    async def _recover(self) -> list[asyncio.Task[None]]:
        """Read the disk, start the node and its tasks, and return the tasks."""
        storage = self.storage
        if storage is None:
            return []
        loop = asyncio.get_running_loop()
        records = await loop.run_in_executor(storage.executor, node_recovery.read_records, storage.log_store)
        log_writer = self._start_node(storage, records)
        tasks = [
            loop.create_task(log_writer.run()),
            loop.create_task(self.membership.run_join_requests()),
            loop.create_task(self.quorum_monitor.run()),
        ]
        await storage.draft_store.load()
        self.draft_delivery.start()
        return tasks

    def _start_node(self, storage: ControllerStorage, records: list[Record]) -> LogWriter:
        environment = self._environment
        node = node_recovery.restore_node(
            records,
            self.settings,
            self._own_address,
            environment.random,
            environment.clock(),
            environment.started_us,
        )
        log_writer = LogWriter(
            node, storage.log_store, storage.executor, self.metrics, self.consensus.on_written
        )
        self.consensus.start(node, log_writer, self.watch_service)
        return log_writer

    async def _listen(self) -> None:
        await self.rpc.listen(self._own_address)
        bind = self.settings.bind
        if bind.ctl is not None:
            await self.control_server.listen(bind.ctl)
        if bind.readyz is not None and bind.http is None:
            await self.readiness_server.listen(bind.readyz)

    async def _leave_cluster(self) -> None:
        """Transfer leadership, leave the voters, and wait until the last messages are sent."""
        await self.membership.leave()
        await asyncio.sleep(SHUTDOWN_FLUSH_S)

    def _close(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        self.draft_delivery.close()
        self.consensus.close()
        self.watch_service.close()
        self.operation_claims.close()
        if self.storage is not None:
            self.storage.executor.shutdown(wait=True, cancel_futures=True)
            self.storage.log_store.close()
            self.storage.draft_store.close()
        self.control_server.close()
        self.readiness_server.close()
        self.rpc.close()

    def _current_settings(self) -> Settings:
        return self.settings

    # ---- messages

    def _send(self, address: str, message: ConsensusMessage) -> None:
        """Post a message to another controller; drop and count it if the address is invalid."""
        try:
            self.rpc.post(parse_address(address), message)
        except ValueError:
            self.metrics.invalid_peer_addresses += 1

    def _on_message(self, message: rpc_messages.Message) -> None:
        if isinstance(message, ConsensusMessage):
            self.consensus.receive(message)

    async def _on_call(self, message: rpc_messages.Message) -> rpc_messages.Message | None:
        """Return the reply to a call of a proxy or controller; None for messages that are not calls."""
        match message:
            case rpc_messages.WatchRequest():
                return await self.watch_service.handle_watch(message)
            case rpc_messages.ForwardCall():
                return await self.forwarder.execute_as_leader(message)
            case rpc_messages.CopyDraft():
                return await self.drafts.store_copy(message)
            case rpc_messages.ClaimRequest():
                return await self.operation_claims.handle_claim(message)
            case _:
                return None

    async def _handle_readiness(self, message: HttpMessage) -> HttpReply:
        """Return 200 until shutdown starts, then 503."""
        ready = not self.control_server.closing
        return HttpReply(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)
