"""HTTP as the gateway's clients and servers speak it: which headers are forwarded, and what a response means.

Fields and statuses are RFC 9110's and RFC 9112's; the fields named below are the system's own.
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

# Requests.
REQUEST_ID = b"try-id"  # one for each attempt of a client; a response repeats it
DEADLINE = b"deadline-ms"  # how long the client, or the server, has
TENANT = b"tenant"  # whose request it is, to a server
WANTED_INSTANCE = b"want-instance"  # the id of the server that is meant; another one answers 421
AUTHORIZATION = b"authorization"
OPERATION_KEY = b"op-key"  # on a keyed route: all attempts with one key are one operation
# Responses.
SERVER_SEAL = b"server-seal"  # on each success, so that one cut short or made up is known
NOT_RUN = b"not-run"  # the server promises that it has not run the request
SERVER_LOAD = b"server-load"  # requests running, waiting, and slots

# Of one connection alone (RFC 9110, section 7.6.1), or written anew on the next.
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
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_KEEP_ALIVE_S = 60  # of a server's announced keep-alive time that we follow
METHODS_WITHOUT_BODY = (b"GET", b"HEAD")
MISDIRECTED_REQUEST = 421
PROMISING_STATUSES = (408, 429, 503)  # to a client: the request has not run and never will
US_PER_S = 1_000_000
_KEEP_ALIVE_PATTERN = re.compile(rb"timeout=(\d{1,6})")
_LOAD_PATTERN = re.compile(rb"(\d{1,6}),(\d{1,6}),(\d{1,6})")


@dataclass(slots=True, eq=False)
class ForwardedRequest(ClientRequest):
    """A client's request as it is forwarded."""

    header_lines: bytes = b""  # those that are forwarded unchanged
    tenant: bytes = b""
    failure: Message | None = None  # a server's complete error response


def forwarded_headers(message: Message, excluded: frozenset[bytes]) -> bytes:
    """The header lines to forward: all but those excluded, and those that Connection names."""
    fields = [(name.lower(), name, value) for name, value in message.head.headers.raw_items()]
    connection_values = [value for lowered, _, value in fields if lowered == b"connection"]
    named = {each.strip().lower() for value in connection_values for each in value.split(b",")}
    return b"".join(
        b"%b: %b\r\n" % (name, value)
        for lowered, name, value in fields
        if lowered not in excluded and lowered not in named
    )


def outcome_from_response(message: Message) -> Outcome:
    """A server's response as it is kept for the repeats of its operation: without the first request's id.

    UNKNOWN for one that is too long to be kept.
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
    """The load that a server's response reports; None where there is none that can be read."""
    found = _LOAD_PATTERN.fullmatch(message.headers().get(SERVER_LOAD, b"").strip())
    if found is None:
        return None
    return {"running": float(found[1]), "waiting": float(found[2]), "slots": float(found[3])}


class UpstreamProtocol(ServerProtocol):
    """How requests are written to servers, and how their responses are understood."""

    max_body_bytes = MAX_BODY_BYTES

    def encode_head(self, attempt: Any, seconds_left: float) -> bytes:
        """Request line and headers of an attempt, `seconds_left` before its end."""
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
        """Whether a response is another request's than the one in flight."""
        request_id = message.headers().get(REQUEST_ID)
        return request_id is not None and request_id != attempt.operation.handle.request_id

    def classify(self, attempt: Any, message: Message) -> CloseReason:
        """What a complete response says of the attempt."""
        status, headers = message.head.status_code, message.headers()
        if headers.get(REQUEST_ID) != attempt.operation.handle.request_id or b"content-encoding" in headers:
            return CloseReason.MALFORMED
        if status == MISDIRECTED_REQUEST or (NOT_RUN in headers and status >= 400):
            return CloseReason.REJECTED
        is_framed = b"content-length" in headers or b"transfer-encoding" in headers
        if 200 <= status < 300:
            # Without a length its end can't be told from its being cut.
            return CloseReason.ANSWERED if SERVER_SEAL in headers and is_framed else CloseReason.MALFORMED
        if status < 200 or not is_framed:
            return CloseReason.MALFORMED
        if attempt.operation.rule.mode is Mode.IDEM:
            return CloseReason.ERROR_RESPONSE if status >= 500 else CloseReason.CLIENT_ERROR
        # A server's error is final where the request may run only once. Without `Not-Run` it may have run,
        # and a client must not be promised that it has not.
        return CloseReason.MALFORMED if status in PROMISING_STATUSES else CloseReason.CLIENT_ERROR

    def keep_alive_us(self, message: Message) -> int:
        """How long a server keeps the connection idle, by its own Keep-Alive header; 0: not announced."""
        found = _KEEP_ALIVE_PATTERN.search(message.headers().get(b"keep-alive", b""))
        return US_PER_S * min(int(found[1]), MAX_KEEP_ALIVE_S) if found else 0
