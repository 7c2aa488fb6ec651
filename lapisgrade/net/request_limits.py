"""Limits on clients' requests and connections, which may change while these are in progress.

A request or an idle time that is in progress when the limits change gets the larger of both limits: what its
client began in time and in size was allowed then, and what the newer limits allow is allowed now.
"""

from dataclasses import dataclass

from lapisgrade.net.http import MAX_BODY_BYTES, MAX_HEAD_BYTES

# The protocol allows closing a connection after 2 s without an open request. A connection without a complete
# request must get an error response or be closed within 3 s.
REQUEST_TIMEOUT_S = 2.0  # time to a complete request, from connecting or from the request's first byte
IDLE_TIMEOUT_S = 2.0  # maximum idle time after a response; clients that reuse a connection do so sooner


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """The limits at one time; the defaults are those of the limiter's protocol.

    Attributes:
        max_body_bytes: Maximum size of a request's body.
        max_head_bytes: Maximum size of its start line and header fields.
        request_timeout_s: Maximum time to a complete request, in seconds.
        idle_timeout_s: Maximum time without a request after a response, in seconds.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    max_head_bytes: int = MAX_HEAD_BYTES
    request_timeout_s: float = REQUEST_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S

    @property
    def max_request_bytes(self) -> int:
        """Maximum size of a whole request."""
        return self.max_head_bytes + self.max_body_bytes

    def raised_to(self, other: "RequestLimits") -> "RequestLimits":
        """Return the larger one of each limit."""
        if other is self:
            return self
        return RequestLimits(
            max(self.max_body_bytes, other.max_body_bytes),
            max(self.max_head_bytes, other.max_head_bytes),
            max(self.request_timeout_s, other.request_timeout_s),
            max(self.idle_timeout_s, other.idle_timeout_s),
        )
