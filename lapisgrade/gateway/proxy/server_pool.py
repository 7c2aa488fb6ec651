"""A proxy's connections to servers, and which idle ones an attempt may use."""

from collections.abc import Callable

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.routing.idle_connections import IdleConnections
from lapisgrade.gateway.routing.upstream_protocol import UpstreamProtocol
from lapisgrade.gateway.routing.upstream_server import UpstreamAttempt
from lapisgrade.interface import ConnectionSettings
from lapisgrade.net.connection_pool import ConnectionPool
from lapisgrade.net.events import Event

CONNECT_TIMEOUT_US = 400_000  # that a connection to a server may take to be established
IDLE_TIMEOUT_US = 4 * SECOND  # that a server's connection is kept idle where it announces no time itself


class ServerPool(ConnectionPool):
    """The connections to servers, which trusts idle ones for as long as the router has learned."""

    def __init__(
        self,
        context: ProxyContext,
        enqueue: Callable[[Event], None],
        idle_connections: IdleConnections,
        max_connections: int,
    ) -> None:
        super().__init__(
            enqueue,
            context.now_us,
            context.log_diagnostic,
            context.metrics.transport,
            ConnectionSettings(CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US),
            max_connections,
            UpstreamProtocol(),
        )
        self._metrics = context.metrics
        self._idle_connections = idle_connections

    def send(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt, on no connection that has been idle for longer than is trusted."""
        now_us, request = self.now(), attempt.operation
        connection = self.newest_idle(attempt.server.address)
        if connection is not None:
            idle_us = now_us - connection.idle_since_us
            if self._idle_connections.is_trusted(now_us, request.service, idle_us, request.is_idempotent):
                self._idle_connections.on_reuse(attempt, idle_us)
            else:  # the others have been idle for longer
                self._metrics.idle_connections_closed += self.close_idle(attempt.server.address)
        super().send(attempt)
