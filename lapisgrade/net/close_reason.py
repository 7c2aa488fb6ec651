"""Why an exchange on a connection ended, and what each reason means to the policy.

One set of reasons serves all three kinds of connection: a client's, an upstream server's and the counter
service's. What the policy makes of a reason depends on one question: may the request have been executed?

    before the last byte was written        NOT_SENT, CONNECTION_REFUSED, CONNECT_TIMEOUT, INCOMPLETE_WRITE
                                            -> it was not executed: another attempt is safe
    the peer says that it did nothing       REJECTED
                                            -> it was not executed
    written, and no complete answer         CONNECTION_LOST, TIMED_OUT, CANCELLED, MALFORMED
                                            -> it may have been executed
    a complete answer                       ANSWERED, ERROR_RESPONSE, CLIENT_ERROR

`_OUTCOMES` and `_COUNTER_OUTCOMES` are the whole mapping.
"""

from enum import Enum

from lapisgrade.interface import AttemptOutcome, CounterOutcome


class CloseReason(Enum):
    """Why an exchange ended. The value is its name in metrics."""

    ANSWERED = "answered"  # 200 from a server, a total from the counter service
    ERROR_RESPONSE = "error_response"  # a complete response that is neither a success nor a client error
    CLIENT_ERROR = "client_error"  # the server says that the request itself is at fault
    REJECTED = "rejected"  # the peer says that it has not begun on the request
    CONNECTION_REFUSED = "connection_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    INCOMPLETE_WRITE = "incomplete_write"  # lost before the last byte of the request was written
    CONNECTION_LOST = "connection_lost"  # lost or closed after that
    MALFORMED = "malformed"  # what came is not the protocol
    TIMED_OUT = "timed_out"  # nothing came in time
    CANCELLED = "cancelled"  # by us, after the whole request was written
    NOT_SENT = "not_sent"  # by us, before it was written
    CLIENT_DISCONNECTED = "disconnected"  # the client closed its connection
    IDLE = "idle"  # nothing was in flight

    @property
    def outcome(self) -> AttemptOutcome:
        """What an attempt that ended so was worth. KeyError for reasons that no attempt ends with."""
        return _OUTCOMES[self]

    @property
    def counter_outcome(self) -> CounterOutcome:
        """Whether a call to the counter service that ended so has added to the count."""
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
# Any other reason leaves it open whether the count was added to.
_COUNTER_OUTCOMES = {
    CloseReason.ANSWERED: CounterOutcome.ADDED,
    CloseReason.REJECTED: CounterOutcome.REJECTED,
    CloseReason.CONNECTION_REFUSED: CounterOutcome.REJECTED,
    CloseReason.CONNECT_TIMEOUT: CounterOutcome.REJECTED,
    CloseReason.INCOMPLETE_WRITE: CounterOutcome.REJECTED,
    CloseReason.NOT_SENT: CounterOutcome.REJECTED,
}
