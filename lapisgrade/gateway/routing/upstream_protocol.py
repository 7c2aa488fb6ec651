"""HTTP between the gateway, its clients and its servers: forwarded headers, and classification of responses.

Header fields and statuses are those of RFC 9110 and RFC 9112, except for the system's own fields below.
"""

import re
from dataclasses import dataclass
from typing import Any

from lapisgrade.gateway.configuration import Mode
from lapisgrade.gateway.operations.outcomes import MAX_RESPONSE_BYTES, UNKNOWN, Outcome, OutcomeState
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import ClientRequest
from lapisgrade.net.http import Message
from lapisgrade.net.server_protocol import ServerProtocol

# Request headers.
REQUEST_ID = b"try-id"  # unique for each request of a client, also for repeats; the response repeats it
DEADLINE = b"deadline-ms"  # time that remains for the request, in ms
TENANT = b"tenant"  # name of the tenant, sent to servers
WANTED_INSTANCE = b"want-instance"  # id of the addressed server; any other server answers 421
AUTHORIZATION = b"authorization"
OPERATION_KEY = b"op-key"  # identifies the operation; all requests with one key are one operation
# Response headers.
SERVER_SEAL = b"server-seal"  # present on each success; reveals truncated and forged responses
NOT_RUN = b"not-run"  # the server guarantees that it has not run the request
SERVER_LOAD = b"server-load"  # number of running requests, of waiting requests and of slots

# Headers of a single connection (RFC 9110, section 7.6.1), and headers that the proxy generates itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"host",
    REQUEST_ID,
    DEADLINE,
    TENANT,
    WANTED_INSTANCE,
    AUTHORIZATION,
}
MAX_BODY_BYTES = 64 * 1024 * 1024  # maximum size of a response's body
MAX_KEEP_ALIVE_S = 60  # upper bound on the keep-alive time that a server announces
METHODS_WITHOUT_BODY = (b"GET", b"HEAD")
MISDIRECTED_REQUEST = 421
NOT_RUN_STATUSES = (408, 429, 503)  # guarantee to the client that the request has not run and never will
US_PER_S = 1_000_000
_KEEP_ALIVE_PATTERN = re.compile(rb"timeout=(\d{1,6})")
_LOAD_PATTERN = re.compile(rb"(\d{1,6}),(\d{1,6}),(\d{1,6})")


@dataclass(slots=True, eq=False)
class ForwardedRequest(ClientRequest):
    """A client's request in the form in which it is forwarded."""

    header_lines: bytes = b""  # header lines that are forwarded unchanged
    tenant: bytes = b""  # name of the tenant; empty if the request has none
    failure: Message | None = None  # the last complete error response of a server


def forwarded_headers(message: Message, excluded: frozenset[bytes]) -> bytes:
    """Return the header lines to forward: all except the excluded ones and those listed in Connection."""
    fields = [(name.lower(), name, value) for name, value in message.head.headers.raw_items()]
    connection_values = [value for lowered, _, value in fields if lowered == b"connection"]
    connection_headers = {each.strip().lower() for value in connection_values for each in value.split(b",")}
    return b"".join(
        b"%b: %b\r\n" % (name, value)
        for lowered, name, value in fields
        if lowered not in excluded and lowered not in connection_headers
    )


def outcome_from_response(message: Message) -> Outcome:
    """Return the outcome with a server's response that is recorded for repeats of the operation.

    It omits the id of the request that the server answered, because each repeat has its own. It is UNKNOWN if
    the response is larger than `MAX_RESPONSE_BYTES`.
    """
    if message.size > MAX_RESPONSE_BYTES:
        return UNKNOWN
    return Outcome(
        OutcomeState.ANSWERED,
        message.head.status_code,
        forwarded_headers(message, HOP_BY_HOP_HEADERS | {REQUEST_ID}),
        b"".join(message.body),
    )


def parse_load(message: Message) -> dict[str, float] | None:
    """Return the load that a server's response reports, or None if it is missing or malformed."""
    found = _LOAD_PATTERN.fullmatch(message.headers().get(SERVER_LOAD, b"").strip())
    if found is None:
        return None
    return {"running": float(found[1]), "waiting": float(found[2]), "slots": float(found[3])}


class UpstreamProtocol(ServerProtocol):
    """Encodes requests to servers and classifies their responses."""

    max_body_bytes = MAX_BODY_BYTES

    def encode_head(self, attempt: Any, seconds_left: float) -> bytes:
        """Return the request line and headers of an attempt with `seconds_left` before its deadline."""
        request: ForwardedRequest = attempt.operation.handle
        size = sum(len(each) for each in request.body)
        has_length = size or request.method not in METHODS_WITHOUT_BODY
        return (
            b"%b %b HTTP/1.1\r\nHost: %b\r\nTry-Id: %b\r\nDeadline-Ms: %d\r\nWant-Instance: %b\r\n%b%b%b\r\n"
            % (
                request.method,
                request.target,
                request.host,
                request.request_id,
                max(1, int(seconds_left * 1000)),
                attempt.server.address.encode(),
                b"Tenant: %b\r\n" % request.tenant if request.tenant else b"",
                request.header_lines,
                b"Content-Length: %d\r\n" % size if has_length else b"",
            )
        )

    def is_stray(self, attempt: Any, message: Message) -> bool:
        """Return whether a response belongs to another request than the one in flight."""
        request_id = message.headers().get(REQUEST_ID)
        return request_id is not None and request_id != attempt.operation.handle.request_id

    def classify(self, attempt: Any, message: Message) -> CloseReason:
        """Return how a complete response ends the attempt."""
        status, headers = message.head.status_code, message.headers()
        if headers.get(REQUEST_ID) != attempt.operation.handle.request_id or b"content-encoding" in headers:
            return CloseReason.MALFORMED
        if status == MISDIRECTED_REQUEST or (NOT_RUN in headers and status >= 400):
            return CloseReason.REJECTED
        is_framed = b"content-length" in headers or b"transfer-encoding" in headers
        if 200 <= status < 300:
            # Without a length, a truncated response cannot be told from a complete one.
            return CloseReason.ANSWERED if SERVER_SEAL in headers and is_framed else CloseReason.MALFORMED
        if status < 200 or not is_framed:
            return CloseReason.MALFORMED
        if attempt.operation.rule.mode is Mode.IDEM:
            return CloseReason.ERROR_RESPONSE if status >= 500 else CloseReason.CLIENT_ERROR
        # An error response to a non-idempotent request is final. Without `Not-Run` the request may have run,
        # so the client must not get a status that guarantees the contrary.
        return CloseReason.MALFORMED if status in NOT_RUN_STATUSES else CloseReason.CLIENT_ERROR

    def keep_alive_us(self, message: Message) -> int:
        """Return the idle time-out that a server announces in its Keep-Alive header; 0 if there is none."""
        found = _KEEP_ALIVE_PATTERN.search(message.headers().get(b"keep-alive", b""))
        return US_PER_S * min(int(found[1]), MAX_KEEP_ALIVE_S) if found else 0
