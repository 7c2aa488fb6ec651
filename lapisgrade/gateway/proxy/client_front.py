"""Clients' connections: each request becomes a `RoutedRequest`, or is refused at once."""

from http import HTTPStatus

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.configuration import Caps, Mode, Rule, Tenant
from lapisgrade.gateway.operations.table import MAX_KEY_BYTES
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.host import ProxyHost
from lapisgrade.gateway.routing import upstream_protocol
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.gateway.routing.request_attempts import RESPONSE_MARGIN_US
from lapisgrade.gateway.routing.route_table import RouteMatch
from lapisgrade.gateway.routing.router import Router
from lapisgrade.net.client_connection import ClientConnection
from lapisgrade.net.client_listener import ClientListener
from lapisgrade.net.http import MAX_HEAD_BYTES, MalformedMessageError
from lapisgrade.net.http import Message as HttpMessage

NOT_YET_ACTIVE_RETRY_S = 0.2  # after which one comes back whose version is about to be active
MAX_REQUEST_ID_BYTES = 256
MAX_DEADLINE_DIGITS = 9
MIN_TIME_LEFT_US = 1_000  # that any request is given
IDLE_GRACE_S = 1.0  # that a client's connection may be idle beyond the configured time
REQUEST_GRACE_S = 7.0  # that a request may take to arrive beyond the configured time for its headers
MIN_HEADER_TIMEOUT_S = 1.0
LARGEST_HEAD_BYTES = 1 << 20  # of a request's head, whatever is configured (guards memory)


class ClientFront(ClientListener):
    """Clients' connections, in the system's own protocol."""

    READINESS_TARGET = b"\0"  # no target: readiness has an address of its own

    def __init__(self, context: ProxyContext, host: ProxyHost, router: Router, max_connections: int) -> None:
        super().__init__(
            host.enqueue,
            host.now,
            context.log_diagnostic,
            context.metrics.transport,
            None,
            max_connections,
        )
        self._metrics = context.metrics
        self._router = router

    def apply_limits(self, caps: Caps) -> None:
        """Bound connections and requests by the active version's figures."""
        self.idle_timeout_s = caps.idle / SECOND + IDLE_GRACE_S
        self.request_timeout_s = max(caps.hdr / SECOND, MIN_HEADER_TIMEOUT_S) + REQUEST_GRACE_S
        self.max_body_bytes = caps.body_bytes
        self.max_head_bytes = min(max(caps.hdr_bytes, MAX_HEAD_BYTES), LARGEST_HEAD_BYTES)

    def parse_request(self, client: ClientConnection, message: HttpMessage) -> RoutedRequest | None:
        """The request to route; None where it has been refused.

        Raises:
            MalformedMessageError: It has no usable request id, or no usable operation key where it needs one.
        """
        now_us, headers = self._now(), message.headers()
        found = self._match(now_us, message.head.target, headers)
        if found == HTTPStatus.SERVICE_UNAVAILABLE:
            self._metrics.requests_not_yet_active += 1
            retry_after = b"Retry-After: %.1f\r\n" % NOT_YET_ACTIVE_RETRY_S
            client.respond_at_once(HTTPStatus.SERVICE_UNAVAILABLE, retry_after, close=message.last)
            return None
        if isinstance(found, HTTPStatus):
            client.respond_at_once(found, close=message.last)
            return None
        request_id = headers.get(upstream_protocol.REQUEST_ID, b"")
        if not 0 < len(request_id) <= MAX_REQUEST_ID_BYTES:
            raise MalformedMessageError("a request without an id")
        if request_id in self.open_request_ids:  # its response might go to the wrong one
            client.respond_at_once(HTTPStatus.CONFLICT, close=message.last)
            return None
        rule, tenant = found
        key = operation_key(message, rule.mode)
        return RoutedRequest(
            customer=tenant.name if tenant else "",
            arrived_us=now_us,
            deadline_us=deadline_us(now_us, headers.get(upstream_protocol.DEADLINE, b""), rule),
            rule=rule,
            tenant=tenant,
            service=self._router.split.choose(rule),
            operation_key=key,
            handle=forwarded_request(client, message, headers.get(b"host", b""), request_id, tenant),
        )

    def _match(self, now_us: int, target: bytes, headers: dict[bytes, bytes]) -> RouteMatch | HTTPStatus:
        """The route of a request and the tenant whose key it bears, or the status that refuses it."""
        host = headers.get(b"host", b"")
        scheme, _, key = headers.get(upstream_protocol.AUTHORIZATION, b"").partition(b" ")
        key = key.strip() if scheme.lower() == b"bearer" else b""
        return self._router.match(
            now_us, host.decode("latin-1"), target.decode("latin-1"), key.decode("latin-1")
        )


def deadline_us(now_us: int, client_ms: bytes, rule: Rule) -> int:
    """When a request ends here: at the client's deadline or the route's time-out, less the way back."""
    left_us = int(rule.action.timeout)
    if client_ms.isdigit() and len(client_ms) <= MAX_DEADLINE_DIGITS:
        left_us = min(int(client_ms) * 1000, left_us)
    return now_us + max(MIN_TIME_LEFT_US, left_us - RESPONSE_MARGIN_US)


def operation_key(message: HttpMessage, mode: Mode) -> str:
    """The operation key of a request; empty where its route needs none.

    A request of mode `mutate` that bears one is an operation too: its route may just have become a keyed one,
    or no longer be one, and proxies may differ on that for a moment.

    Raises:
        MalformedMessageError: Its route needs one, and it has none, several, or one that is too long.
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
        raise MalformedMessageError("a keyed request with several operation keys")
    key = keys.pop().decode("latin-1") if keys else ""
    if not key:
        raise MalformedMessageError("a keyed request without an operation key")
    if len(key.encode()) > MAX_KEY_BYTES:  # as claims carry it
        raise MalformedMessageError(f"an operation key longer than {MAX_KEY_BYTES} bytes")
    return key


def forwarded_request(
    client: ClientConnection, message: HttpMessage, host: bytes, request_id: bytes, tenant: Tenant | None
) -> upstream_protocol.ForwardedRequest:
    """What a server is sent of a client's request."""
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
