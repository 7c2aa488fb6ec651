"""Encodes requests to upstream servers in HTTP/1.1 and classifies their responses. No I/O."""

from typing import Any

from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import ClientRequest
from lapisgrade.net.http import MAX_BODY_BYTES, Message

# 4xx statuses for transient conditions, not invalid requests (RFC 9110, section 15.5.9; RFC 8470; RFC 6585).
_TRANSIENT_CLIENT_ERRORS = (408, 425, 429)


class ServerProtocol:
    """The protocol of the limiter's servers; subclasses override parts of it for other protocols."""

    max_body_bytes = MAX_BODY_BYTES

    def encode_head(self, attempt: Any, seconds_left: float) -> bytes:
        """Encode the request line and header fields of an attempt whose deadline is in `seconds_left`."""
        request: ClientRequest = attempt.operation.handle
        size = sum(len(each) for each in request.body)
        return b"%b %b HTTP/1.1\r\nHost: %b\r\nX-Request-ID: %b\r\nX-Timeout: %.6f\r\n%b%b\r\n" % (
            request.method,
            request.target,
            request.host,
            request.request_id,
            seconds_left,
            b"Idempotency-Key: %b\r\n" % request.key if request.key is not None else b"",
            b"Content-Length: %d\r\n" % size if size or request.method != b"GET" else b"",
        )

    def classify(self, attempt: Any, message: Message) -> CloseReason:
        """Return the close reason of an attempt with this complete response."""
        return classify_response(message)

    def is_stray(self, attempt: Any, message: Message) -> bool:
        """Return whether the response belongs to a request other than the one in flight."""
        return False

    def keep_alive_us(self, message: Message) -> int:
        """Return how long the server keeps an idle connection open, in microseconds; 0 if unspecified."""
        return 0


def classify_response(message: Message) -> CloseReason:
    """Return the close reason of an attempt with this complete response from one of the limiter's servers."""
    status = message.head.status_code
    if status == 200:
        return CloseReason.ANSWERED
    if status in (503, 504) and message.headers().get(b"x-not-processed") == b"1":
        return CloseReason.REJECTED
    if 400 <= status < 500 and status not in _TRANSIENT_CLIENT_ERRORS:
        return CloseReason.CLIENT_ERROR
    return CloseReason.ERROR_RESPONSE


def parse_load_report(message: Message) -> dict[str, float] | None:
    """Parse the load report in a response, `X-Server-Load: TEXT name=value,...`; None without a valid one."""
    text = message.headers().get(b"x-server-load")
    if text is None:
        return None
    report = {}
    for pair in text.removeprefix(b"TEXT ").split(b","):
        name, _, value = pair.partition(b"=")
        try:
            report[name.strip().decode()] = float(value)
        except ValueError:
            return None
    return report
