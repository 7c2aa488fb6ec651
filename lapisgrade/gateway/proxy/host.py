"""Host of a proxy's router: runs its generators and sends responses to clients."""

from collections.abc import Callable
from http import HTTPStatus

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.routing import upstream_protocol
from lapisgrade.gateway.routing.request import ReplayResponse, RoutedRequest
from lapisgrade.gateway.routing.upstream_server import UpstreamAttempt
from lapisgrade.interface import AttemptResult, Reject
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import AttemptClosed, ClientDisconnected
from lapisgrade.net.host import Host, LocalResponse
from lapisgrade.net.http import Message as HttpMessage
from lapisgrade.net.response_writer import ResponseWriter

# The response of an attempt that closes with one of these is recorded as the outcome of a keyed request.
COMPLETE_RESPONSES = (CloseReason.ANSWERED, CloseReason.CLIENT_ERROR)


class ProxyHost(Host):
    """Runs the router's generators and sends responses to clients."""

    parse_load_report = staticmethod(upstream_protocol.parse_load)
    on_load_change: Callable[[], None]  # called when the set of attempts in flight changes

    def forward_response(self, client: ResponseWriter, message: HttpMessage) -> None:
        """Forward a server's response to the client."""
        client.respond(
            message.head.status_code,
            message.body,
            message.size,
            upstream_protocol.forwarded_headers(message, upstream_protocol.HOP_BY_HOP_HEADERS),
        )

    def local_response(self, answer: Reject) -> LocalResponse:
        """Return the status and header lines of a response that the proxy generates."""
        # The rejection after a failed generator has no status; it becomes a 502, as the request may have run.
        status = getattr(answer, "status", HTTPStatus.BAD_GATEWAY)
        if answer.retry_after_us <= 0:
            return LocalResponse(status, b"")
        return LocalResponse(status, b"Retry-After: %.3f\r\n" % (answer.retry_after_us / SECOND))

    def send(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt to its server."""
        super().send(attempt)
        self.on_load_change()

    def finish_attempt(self, event: AttemptClosed) -> AttemptResult:
        """Record the response of a failed attempt or a keyed request; then as in `Host`."""
        request = event.attempt.operation
        if event.reason is CloseReason.INCOMPLETE_WRITE and not request.is_idempotent:
            # A server may start processing before it has read the complete body.
            event = AttemptClosed(event.attempt, CloseReason.CONNECTION_LOST, event.message)
        if event.reason is CloseReason.ERROR_RESPONSE:
            request.handle.failure = event.message
        elif request.operation_key and event.message is not None and event.reason in COMPLETE_RESPONSES:
            request.response = upstream_protocol.outcome_from_response(event.message)
        result = super().finish_attempt(event)
        self.on_load_change()
        return result

    def reject(self, operation: RoutedRequest, answer: Reject) -> None:
        """Answer a request without a successful response; a server's error response replaces a local 502."""
        handle = operation.handle
        if isinstance(answer, ReplayResponse):
            return self._replay_response(operation, answer)
        has_failure = handle.failure is not None and handle.client is not None
        if not has_failure or self.local_response(answer).status != HTTPStatus.BAD_GATEWAY:
            return super().reject(operation, answer)
        self.unanswered.pop(handle, None)
        self.forward_response(handle.client, handle.failure)

    def _replay_response(self, request: RoutedRequest, answer: ReplayResponse) -> None:
        """Answer a client with the recorded response of its operation and its own request id."""
        client, outcome = request.handle.client, answer.outcome
        if client is None:
            return  # the client has disconnected meanwhile
        self.unanswered.pop(request.handle, None)
        header_lines = b"Try-Id: %b\r\n%b" % (request.handle.request_id, outcome.header_lines)
        client.respond(outcome.status, [outcome.body], len(outcome.body), header_lines)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        super()._on_client_disconnected(event)
        if not event.operation.operation_key:  # a keyed request continues, as repeats of it may follow
            self.pool.cancel_operation(event.operation)
