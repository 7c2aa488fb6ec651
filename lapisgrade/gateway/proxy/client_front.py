"""Listener for clients' connections: turns each request into a `RoutedRequest` or rejects it."""

from http import HTTPStatus

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.configuration import Caps, Mode, Rule, Tenant
from lapisgrade.gateway.operations.table import MAX_KEY_BYTES
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.host import ProxyHost
from lapisgrade.gateway.routing import upstream_protocol
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.gateway.routing.route_table import RouteMatch
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.routing.time_left import RESPONSE_MARGIN_US
from lapisgrade.net.client_connection import ClientConnection
from lapisgrade.net.client_listener import ClientListener
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.http import MAX_HEAD_BYTES, MalformedMessageError
from lapisgrade.net.http import Message as HttpMessage
from lapisgrade.net.request_limits import RequestLimits

NOT_YET_ACTIVE_RETRY_AFTER = b"Retry-After: 0.2\r\n"  # while proxies may differ on the active version
TOO_LARGE_STATUSES = (HTTPStatus.REQUEST_ENTITY_TOO_LARGE, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
MAX_REQUEST_ID_BYTES = 256
MAX_DEADLINE_DIGITS = 9  # a longer Deadline-Ms header is ignored
MIN_REQUEST_TIME_US = 1_000  # every request gets at least this time until its deadline
IDLE_GRACE_S = 1.0  # added to the configured idle time-out of client connections
REQUEST_GRACE_S = 7.0  # added to the configured header time-out, for the whole request
MIN_HEADER_TIMEOUT_S = 1.0  # lower bound on the configured header time-out
HEAD_BYTES_LIMIT = 1 << 20  # upper bound on the configured size of a request head; bounds memory


class ClientFront(ClientListener):
    """Accepts clients' connections, and rejects requests without a route or with invalid headers."""

    READINESS_TARGET = b"\0"  # equals no request target: readiness is served at its own address

    def __init__(self, context: ProxyContext, host: ProxyHost, router: Router, max_connections: int) -> None:
        super().__init__(
            host.enqueue,
            host.now,
            context.log_diagnostic,
            context.metrics.transport,
            None,
            max_connections,
        )
        self.log_failure = context.log_failure
        self._metrics = context.metrics
        self._router = router

    def apply_limits(self, caps: Caps) -> None:
        """Apply the limits of the active version: to requests from now on, and larger ones to all."""
        self.limits = RequestLimits(
            max_body_bytes=caps.body_bytes,
            max_head_bytes=min(max(caps.hdr_bytes, MAX_HEAD_BYTES), HEAD_BYTES_LIMIT),
            request_timeout_s=max(caps.hdr / SECOND, MIN_HEADER_TIMEOUT_S) + REQUEST_GRACE_S,
            idle_timeout_s=caps.idle / SECOND + IDLE_GRACE_S,
        )

    def reject_malformed(self, client: ClientConnection, error: MalformedMessageError) -> None:
        """Answer an invalid request; one that is too large for a limit that isn't known yet may come back."""
        is_too_large = error.status in TOO_LARGE_STATUSES
        if self._router.route_versions.active is not None or not is_too_large:
            return super().reject_malformed(client, error)
        self._metrics.requests_not_yet_active += 1
        client.respond_at_once(
            HTTPStatus.SERVICE_UNAVAILABLE,
            NOT_YET_ACTIVE_RETRY_AFTER,
            close=True,
            reason=CloseReason.REJECTED,
        )

    def parse_request(self, client: ClientConnection, message: HttpMessage) -> RoutedRequest | None:
        """Return the request to route, or None if it was rejected.

        Raises:
            MalformedMessageError: The request has no valid request id, or lacks a valid operation key that
                its route requires.
        """
        now_us, headers = self._now(), message.headers()
        match_result = self._match(now_us, message.head.target, headers)
        if match_result == HTTPStatus.SERVICE_UNAVAILABLE:
            self._metrics.requests_not_yet_active += 1
            client.respond_at_once(
                HTTPStatus.SERVICE_UNAVAILABLE, NOT_YET_ACTIVE_RETRY_AFTER, close=message.closes_connection
            )
            return None
        if isinstance(match_result, HTTPStatus):
            client.respond_at_once(match_result, close=message.closes_connection)
            return None
        request_id = headers.get(upstream_protocol.REQUEST_ID, b"")
        if not 0 < len(request_id) <= MAX_REQUEST_ID_BYTES:
            raise MalformedMessageError(
                f"Try-Id header has {len(request_id)} bytes; 1 to {MAX_REQUEST_ID_BYTES} are allowed"
            )
        if request_id in self.open_request_ids:  # the response could reach the wrong one of the two requests
            client.respond_at_once(HTTPStatus.CONFLICT, close=message.closes_connection)
            return None
        rule, tenant = match_result
        key = operation_key(message, rule.mode)
        return RoutedRequest(
            customer=tenant.name if tenant else "",
            arrived_us=now_us,
            deadline_us=deadline_us(now_us, headers.get(upstream_protocol.DEADLINE, b""), rule),
            rule=rule,
            tenant=tenant,
            service=self._router.split.choose(rule),
            body_bytes=message.size,
            operation_key=key,
            handle=forwarded_request(client, message, headers.get(b"host", b""), request_id, tenant),
        )

    def _match(self, now_us: int, target: bytes, headers: dict[bytes, bytes]) -> RouteMatch | HTTPStatus:
        """Return the route and the tenant of a request, or the HTTP status of its rejection."""
        host = headers.get(b"host", b"")
        scheme, _, api_key = headers.get(upstream_protocol.AUTHORIZATION, b"").partition(b" ")
        api_key = api_key.strip() if scheme.lower() == b"bearer" else b""
        return self._router.match(
            now_us, host.decode("latin-1"), target.decode("latin-1"), api_key.decode("latin-1")
        )


def deadline_us(now_us: int, client_ms: bytes, rule: Rule) -> int:
    """Return the proxy's deadline: the client's deadline or the route's time-out, less a response margin."""
    remaining_us = int(rule.action.timeout)
    if client_ms.isdigit() and len(client_ms) <= MAX_DEADLINE_DIGITS:
        remaining_us = min(int(client_ms) * 1000, remaining_us)
    return now_us + max(MIN_REQUEST_TIME_US, remaining_us - RESPONSE_MARGIN_US)


def operation_key(message: HttpMessage, mode: Mode) -> str:
    """Return the operation key of a request; empty if it is not a keyed operation.

    A `mutate` request with a valid key is a keyed operation as well: the route's mode may just have changed
    from or to `keyed`, and proxies may have different versions of it until the change is active everywhere.

    Raises:
        MalformedMessageError: The route requires a key, and the request has none, several, or a key that is
            too long.
    """
    if mode is Mode.IDEM:
        return ""
    try:
        return _read_operation_key(message)
    except MalformedMessageError:
        if mode is Mode.KEYED:
            raise
        return ""


def _read_operation_key(message: HttpMessage) -> str:
    fields = message.head.headers.raw_items()
    keys = {value for name, value in fields if name.lower() == upstream_protocol.OPERATION_KEY}
    if len(keys) > 1:
        raise MalformedMessageError(f"keyed request has {len(keys)} different Op-Key headers; 1 is allowed")
    key = keys.pop().decode("latin-1") if keys else ""
    if not key:
        raise MalformedMessageError("keyed request has no Op-Key header or an empty one")
    if len(key.encode()) > MAX_KEY_BYTES:  # encoded in UTF-8, as in claims
        raise MalformedMessageError(f"Op-Key header is longer than {MAX_KEY_BYTES} bytes")
    return key


def forwarded_request(
    client: ClientConnection, message: HttpMessage, host: bytes, request_id: bytes, tenant: Tenant | None
) -> upstream_protocol.ForwardedRequest:
    """Return a client's request in the form in which it is forwarded to servers."""
    return upstream_protocol.ForwardedRequest(
        client,
        message.head.method,
        message.head.target,
        host,
        request_id,
        None,
        message.body,
        upstream_protocol.forwarded_headers(message, upstream_protocol.NOT_FORWARDED_HEADERS),
        tenant.name.encode() if tenant else b"",
    )
