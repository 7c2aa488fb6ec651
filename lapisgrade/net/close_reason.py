"""Reasons why an exchange on a connection ended, and their meaning for the policy.

Connections to clients, upstream servers and the counter service share these reasons. The policy needs to know
whether the request may have been executed:

    before the last byte was written        NOT_SENT, CONNECTION_REFUSED, CONNECT_TIMEOUT, INCOMPLETE_WRITE
                                            -> not executed: a retry is safe
    the peer reports that it did nothing    REJECTED
                                            -> not executed
    written, without a complete response    CONNECTION_LOST, TIMED_OUT, CANCELLED, MALFORMED
                                            -> may have been executed
    a complete response                     ANSWERED, ERROR_RESPONSE, CLIENT_ERROR

`_OUTCOMES` and `_COUNTER_OUTCOMES` define the complete mapping.
"""

from enum import Enum

from lapisgrade.interface import AttemptOutcome, CounterOutcome


class CloseReason(Enum):
    """Why an exchange ended. The value is the name in metrics."""

    ANSWERED = "answered"  # 200 from a server, a total from the counter service
    ERROR_RESPONSE = "error_response"  # a complete response that is neither a success nor a client error
    CLIENT_ERROR = "client_error"  # the server reports that the request is invalid
    REJECTED = "rejected"  # the peer reports that it has not started to process the request
    CONNECTION_REFUSED = "connection_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    INCOMPLETE_WRITE = "incomplete_write"  # connection lost before the last byte of the request was written
    CONNECTION_LOST = "connection_lost"  # connection lost or closed after the last byte was written
    MALFORMED = "malformed"  # the received data violates the protocol
    TIMED_OUT = "timed_out"  # no complete message in time
    CANCELLED = "cancelled"  # cancelled locally, after the complete request was written
    NOT_SENT = "not_sent"  # abandoned locally, before the request was written
    CLIENT_DISCONNECTED = "disconnected"  # the client closed its connection
    IDLE = "idle"  # nothing was in flight

    @property
    def outcome(self) -> AttemptOutcome:
        """Outcome of an attempt with this reason.

        Raises:
            KeyError: No attempt ends for this reason.
        """
        return _OUTCOMES[self]

    @property
    def counter_outcome(self) -> CounterOutcome:
        """Outcome of a call to the counter service with this reason."""
        return _COUNTER_OUTCOMES.get(self, CounterOutcome.TIMED_OUT)


_OUTCOMES = {
    CloseReason.ANSWERED: AttemptOutcome.OK,
    CloseReason.ERROR_RESPONSE: AttemptOutcome.ERROR,
    CloseReason.CLIENT_ERROR: AttemptOutcome.INVALID_REQUEST,
    CloseReason.REJECTED: AttemptOutcome.OVERLOADED,
    CloseReason.CONNECTION_REFUSED: AttemptOutcome.CONNECT_FAILED,
    CloseReason.CONNECT_TIMEOUT: AttemptOutcome.CONNECT_FAILED,
    CloseReason.INCOMPLETE_WRITE: AttemptOutcome.CONNECT_FAILED,
    CloseReason.CONNECTION_LOST: AttemptOutcome.CONNECTION_LOST,
    CloseReason.MALFORMED: AttemptOutcome.ERROR,
    CloseReason.TIMED_OUT: AttemptOutcome.TIMED_OUT,
    CloseReason.CANCELLED: AttemptOutcome.CANCELLED,
    CloseReason.NOT_SENT: AttemptOutcome.NOT_SENT,
}
# With any other reason, the call may or may not have been added to the count.
_COUNTER_OUTCOMES = {
    CloseReason.ANSWERED: CounterOutcome.ADDED,
    CloseReason.REJECTED: CounterOutcome.REJECTED,
    CloseReason.CONNECTION_REFUSED: CounterOutcome.REJECTED,
    CloseReason.CONNECT_TIMEOUT: CounterOutcome.REJECTED,
    CloseReason.INCOMPLETE_WRITE: CounterOutcome.REJECTED,
    CloseReason.NOT_SENT: CounterOutcome.REJECTED,
}
