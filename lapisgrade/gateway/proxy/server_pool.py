"""Connection pool of a proxy for its servers, and reuse of idle connections."""

from collections.abc import Callable

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.routing.idle_connections import IdleConnections
from lapisgrade.gateway.routing.upstream_protocol import UpstreamProtocol
from lapisgrade.gateway.routing.upstream_server import UpstreamAttempt
from lapisgrade.interface import ConnectionSettings
from lapisgrade.net.connection_pool import ConnectionPool
from lapisgrade.net.events import Event

CONNECT_TIMEOUT_US = 400_000  # time-out for establishing a connection to a server
IDLE_TIMEOUT_US = 4 * SECOND  # idle time-out of connections to servers that do not announce one


class ServerPool(ConnectionPool):
    """Connections to servers, which are reused within the idle limits of `IdleConnections`."""

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
        self.log_failure = context.log_failure
        self._metrics = context.metrics
        self._idle_connections = idle_connections

    def send(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt; it does not reuse a connection that exceeds the idle limit."""
        now_us, request = self.now(), attempt.operation
        connection = self.newest_idle(attempt.server.address)
        if connection is not None:
            idle_us = now_us - connection.idle_since_us
            if self._idle_connections.is_trusted(now_us, request.service, idle_us, request.is_idempotent):
                self._idle_connections.on_reuse(attempt, idle_us)
            else:  # all other connections have been idle even longer
                self._metrics.idle_connections_closed += self.close_idle(attempt.server.address)
        super().send(attempt)
