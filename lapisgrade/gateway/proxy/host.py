"""The limiter's host and its pool of connections to servers, with the system's answers and manners."""

from collections.abc import Callable

from lapisgrade.decide.fleet import Attempt
from lapisgrade.gateway import SECOND
from lapisgrade.gateway.routing import upstream_protocol
from lapisgrade.gateway.routing.idle_connections import IdleConnections
from lapisgrade.gateway.routing.router import RoutedRequest
from lapisgrade.interface import Answer
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import AttemptFinished, ClientDisconnected
from lapisgrade.net.connection_pool import ConnectionPool
from lapisgrade.net.host import Host, LocalResponse
from lapisgrade.net.http import Message as Http
from lapisgrade.net.response_writer import ResponseWriter

BAD_GATEWAY = 502  # what a server may have run, and has no good answer


class ProxyHost(Host):
    """The limiter's host, with the system's answers."""

    parse_load_report = staticmethod(upstream_protocol.load)
    changed: Callable[[], None]  # what is out has changed

    def forward_response(self, client: ResponseWriter, message: Http) -> None:
        client.respond(
            message.head.status_code,
            message.body,
            message.size,
            upstream_protocol.passed(message, upstream_protocol.HOP),
        )

    def local_response(self, answer: Answer) -> LocalResponse:
        # One whose generator broke off has no status of its own, and may have run.
        status = getattr(answer, "status", BAD_GATEWAY)
        if answer.come_back_us <= 0:
            return LocalResponse(status, b"")
        return LocalResponse(status, b"Retry-After: %.3f\r\n" % (answer.come_back_us / SECOND))

    def send(self, hop) -> None:
        super().send(hop)
        self.changed()

    def _on_attempt_finished(self, event: AttemptFinished) -> None:
        if event.reason is CloseReason.ERROR_RESPONSE:
            event.attempt.operation.handle.failure = event.message
        super()._on_attempt_finished(event)
        self.changed()

    def answer(self, operation: RoutedRequest, answer: Answer) -> None:
        """A final answer of our own; where a server's own failure is all there is, that one, as it came."""
        handle = operation.handle
        if (
            handle.failure is None
            or handle.client is None
            or self.local_response(answer).status != BAD_GATEWAY
        ):
            return super().answer(operation, answer)
        del self.unanswered[handle]
        self.forward_response(handle.client, handle.failure)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        super()._on_client_disconnected(event)
        self.pool.cancel_operation(event.operation)


class Pool(ConnectionPool):
    """The limiter's connections to servers; what a client no longer waits for is called off."""

    idle_connections: IdleConnections

    def send(self, hop: Attempt) -> None:
        """As the limiter's, but on no connection that has rested for longer than is trusted."""
        now, operation, server = self.now(), hop.operation, hop.server.address
        connection = self.newest_idle(server)
        if connection is not None:
            rested = now - connection.idle_since_us
            if self.idle_connections.trusts(now, operation.svc, rested, operation.rule.mode == "idem"):
                self.idle_connections.reused(hop, rested)
            else:  # the others have rested for longer
                self.counts["connections not trusted"] += self.close_idle(server)
        super().send(hop)
