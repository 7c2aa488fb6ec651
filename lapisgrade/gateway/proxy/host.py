"""The host of a proxy's router: runs its generators, and answers clients in the system's own protocol."""

from collections.abc import Callable
from http import HTTPStatus

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.routing import upstream_protocol
from lapisgrade.gateway.routing.request import RespondAgain, RoutedRequest
from lapisgrade.gateway.routing.upstream_server import UpstreamAttempt
from lapisgrade.interface import Reject
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import AttemptClosed, ClientDisconnected
from lapisgrade.net.host import Host, LocalResponse
from lapisgrade.net.http import Message as HttpMessage
from lapisgrade.net.response_writer import ResponseWriter

COMPLETE_RESPONSES = (CloseReason.ANSWERED, CloseReason.CLIENT_ERROR)  # that end a keyed request


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
        status = getattr(answer, "status", HTTPStatus.BAD_GATEWAY)
        if answer.retry_after_us <= 0:
            return LocalResponse(status, b"")
        return LocalResponse(status, b"Retry-After: %.3f\r\n" % (answer.retry_after_us / SECOND))

    def send(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt to its server."""
        super().send(attempt)
        self.on_load_change()

    def _on_attempt_closed(self, event: AttemptClosed) -> None:
        request = event.attempt.operation
        if event.reason is CloseReason.INCOMPLETE_WRITE and not request.is_idempotent:
            # A server may begin to work before it has read the whole body.
            event = AttemptClosed(event.attempt, CloseReason.CONNECTION_LOST, event.message)
        if event.reason is CloseReason.ERROR_RESPONSE:
            request.handle.failure = event.message
        elif request.operation_key and event.message is not None and event.reason in COMPLETE_RESPONSES:
            request.response = upstream_protocol.outcome_from_response(event.message)
        super()._on_attempt_closed(event)
        self.on_load_change()

    def reject(self, operation: RoutedRequest, answer: Reject) -> None:
        """Answer a client ourselves; with a server's error response as it came, where there is only that."""
        handle = operation.handle
        if isinstance(answer, RespondAgain):
            return self._respond_again(operation, answer)
        has_failure = handle.failure is not None and handle.client is not None
        if not has_failure or self.local_response(answer).status != HTTPStatus.BAD_GATEWAY:
            return super().reject(operation, answer)
        del self.unanswered[handle]
        self.forward_response(handle.client, handle.failure)

    def _respond_again(self, request: RoutedRequest, answer: RespondAgain) -> None:
        """Answer a client with the response to the first run of its operation, and its own request id."""
        client, outcome = request.handle.client, answer.outcome
        if client is None:
            return  # it disconnected while this was on its way
        del self.unanswered[request.handle]
        header_lines = b"Try-Id: %b\r\n%b" % (request.handle.request_id, outcome.header_lines)
        client.respond(outcome.status, [outcome.body], len(outcome.body), header_lines)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        super()._on_client_disconnected(event)
        if not event.operation.operation_key:  # what bears one goes on, for its repeats
            self.pool.cancel_operation(event.operation)
