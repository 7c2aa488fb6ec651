"""The host of a proxy's router, and its pool of connections to servers, in the system's own protocol."""

from collections.abc import Callable

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.routing import upstream_protocol
from lapisgrade.gateway.routing.idle_connections import IdleConnections
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.gateway.routing.upstream_server import UpstreamAttempt
from lapisgrade.interface import ConnectionSettings, Reject
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.connection_pool import ConnectionPool
from lapisgrade.net.events import AttemptFinished, ClientDisconnected, Event
from lapisgrade.net.host import Host, LocalResponse
from lapisgrade.net.http import Message as HttpMessage
from lapisgrade.net.response_writer import ResponseWriter

BAD_GATEWAY = 502  # what a server may have run, and has no good answer
CONNECT_TIMEOUT_US = 400_000  # that a connection to a server may take to be established
IDLE_TIMEOUT_US = 4 * SECOND  # that a server's connection is kept idle where it announces no time itself


class ProxyHost(Host):
    """Runs the router's generators, and answers clients in the system's own protocol."""

    parse_load_report = staticmethod(upstream_protocol.parse_load)
    on_load_change: Callable[[], None]  # called when a request is in flight or no longer so

    def forward_response(self, client: ResponseWriter, message: HttpMessage) -> None:
        """Forward a server's response to the client."""
        client.respond(
            message.head.status_code,
            message.body,
            message.size,
            upstream_protocol.forwarded_headers(message, upstream_protocol.HOP_BY_HOP_HEADERS),
        )

    def local_response(self, answer: Reject) -> LocalResponse:
        """Status and header lines of a final answer of our own."""
        # One whose generator failed has no status of its own, and may have run.
        status = getattr(answer, "status", BAD_GATEWAY)
        if answer.retry_after_us <= 0:
            return LocalResponse(status, b"")
        return LocalResponse(status, b"Retry-After: %.3f\r\n" % (answer.retry_after_us / SECOND))

    def send(self, hop: UpstreamAttempt) -> None:
        """Send an attempt to its server."""
        super().send(hop)
        self.on_load_change()

    def _on_attempt_finished(self, event: AttemptFinished) -> None:
        if event.reason is CloseReason.ERROR_RESPONSE:
            event.attempt.operation.handle.failure = event.message
        super()._on_attempt_finished(event)
        self.on_load_change()

    def reject(self, operation: RoutedRequest, answer: Reject) -> None:
        """Answer a client ourselves; with a server's error response as it came, where there is only that."""
        handle = operation.handle
        has_failure = handle.failure is not None and handle.client is not None
        if not has_failure or self.local_response(answer).status != BAD_GATEWAY:
            return super().reject(operation, answer)
        del self.unanswered[handle]
        self.forward_response(handle.client, handle.failure)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        super()._on_client_disconnected(event)
        self.pool.cancel_operation(event.operation)


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
            upstream_protocol.UpstreamProtocol(),
        )
        self._metrics = context.metrics
        self._idle_connections = idle_connections

    def send(self, hop: UpstreamAttempt) -> None:
        """Send an attempt, on no connection that has been idle for longer than is trusted."""
        now_us, request = self.now(), hop.operation
        connection = self.newest_idle(hop.server.address)
        if connection is not None:
            idle_us = now_us - connection.idle_since_us
            if self._idle_connections.is_trusted(now_us, request.service, idle_us, request.is_idempotent):
                self._idle_connections.on_reuse(hop, idle_us)
            else:  # the others have been idle for longer
                self._metrics.idle_connections_closed += self.close_idle(hop.server.address)
        super().send(hop)
