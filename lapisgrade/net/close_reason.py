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

from lapisgrade.interface import Outcome, Tally


class CloseReason(Enum):
    """Why an exchange ended. The value is the reason's name in counters."""

    ANSWERED = "answered"  # 200 from a server, a total from the counter service
    ERROR_RESPONSE = "error response"  # a complete response that is neither a success nor a client error
    CLIENT_ERROR = "client error"  # the server says that the request itself is at fault
    REJECTED = "rejected"  # the peer says that it has not begun on the request
    CONNECTION_REFUSED = "connection refused"
    CONNECT_TIMEOUT = "connect timeout"
    INCOMPLETE_WRITE = "incomplete write"  # lost before the last byte of the request was written
    CONNECTION_LOST = "connection lost"  # lost or closed after that
    MALFORMED = "malformed"  # what came is not the protocol
    TIMED_OUT = "timed out"  # nothing came in time
    CANCELLED = "cancelled"  # by us, after the whole request was written
    NOT_SENT = "not sent"  # by us, before it was written
    CLIENT_DISCONNECTED = "disconnected"  # the client closed its connection
    IDLE = "idle"  # nothing was in flight

    @property
    def outcome(self) -> Outcome:
        """What an attempt that ended so was worth. KeyError for reasons that no attempt ends with."""
        return _OUTCOMES[self]

    @property
    def counter_outcome(self) -> Tally:
        """Whether a call to the counter service that ended so has added to the count."""
        return _COUNTER_OUTCOMES.get(self, Tally.SILENT)


_OUTCOMES = {
    CloseReason.ANSWERED: Outcome.OK,
    CloseReason.ERROR_RESPONSE: Outcome.ERROR,
    CloseReason.CLIENT_ERROR: Outcome.REJECTED,
    CloseReason.REJECTED: Outcome.FULL,
    CloseReason.CONNECTION_REFUSED: Outcome.NO_CONNECTION,
    CloseReason.CONNECT_TIMEOUT: Outcome.NO_CONNECTION,
    CloseReason.INCOMPLETE_WRITE: Outcome.NO_CONNECTION,
    CloseReason.CONNECTION_LOST: Outcome.BROKEN,
    CloseReason.MALFORMED: Outcome.ERROR,
    CloseReason.TIMED_OUT: Outcome.TIMED_OUT,
    CloseReason.CANCELLED: Outcome.CANCELLED,
    CloseReason.NOT_SENT: Outcome.NEVER_SENT,
}
# Any other reason leaves it open whether the count was added to.
_COUNTER_OUTCOMES = {
    CloseReason.ANSWERED: Tally.ADDED,
    CloseReason.REJECTED: Tally.TURNED_AWAY,
    CloseReason.CONNECTION_REFUSED: Tally.TURNED_AWAY,
    CloseReason.CONNECT_TIMEOUT: Tally.TURNED_AWAY,
    CloseReason.INCOMPLETE_WRITE: Tally.TURNED_AWAY,
    CloseReason.NOT_SENT: Tally.TURNED_AWAY,
}
