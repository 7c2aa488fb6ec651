"""Outcomes of one proxy's attempts at keyed operations. Pure.

    RUNNING --attempt ended, no server has run it--> NOT_RUN
       |
       +--complete response from a server--> ANSWERED
       +--no response, but it may have run--> UNKNOWN

An attempt that is not stored here is UNKNOWN: its outcome may have been dropped, or the process may have been
restarted since the attempt began.
"""

from collections.abc import Callable
from enum import IntEnum

import msgspec

MAX_STORED_BYTES = 8 * 1024 * 1024  # maximum total size of responses; beyond it the oldest are dropped
MAX_RESPONSE_BYTES = 256 * 1024  # maximum size of a stored response; the outcome of a larger one is UNKNOWN
MAX_ATTEMPTS = 65_536  # maximum number of stored attempts; beyond it the oldest are dropped


class OutcomeState(IntEnum):
    """State of an attempt."""

    UNKNOWN = 0
    RUNNING = 1
    NOT_RUN = 2  # it has not run and never will
    ANSWERED = 3


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """The outcome of an attempt.

    Attributes:
        state: State of the attempt.
        status: Status of the server's response; this and the fields below are set only if it is ANSWERED.
        header_lines: Header lines to forward to the client.
        body: The complete body.
    """

    state: OutcomeState
    status: int = 0
    header_lines: bytes = b""
    body: bytes = b""

    @property
    def size(self) -> int:
        """Approximate memory use in bytes."""
        return len(self.header_lines) + len(self.body)


UNKNOWN = Outcome(OutcomeState.UNKNOWN)
RUNNING = Outcome(OutcomeState.RUNNING)
NOT_RUN = Outcome(OutcomeState.NOT_RUN)


class StoredOutcome(msgspec.Struct):
    """An outcome and the time in us until which it is kept."""

    outcome: Outcome
    expires_us: int


class OutcomeStore:
    """The outcomes of this proxy's own attempts, kept while clients may repeat their operations."""

    def __init__(self, retention_us: int) -> None:
        """Create an empty store that keeps each outcome for `retention_us` from the start of its attempt."""
        self.on_finished: Callable[[str], None] = _ignore  # called with the name of each finished attempt
        self.running_count = 0  # number of RUNNING attempts
        self._retention_us = retention_us
        self._stored: dict[str, StoredOutcome] = {}  # by attempt, oldest first
        self._bytes = 0

    def begin(self, now_us: int, attempt: str) -> None:
        """Record a new attempt as running."""
        self._drop_expired(now_us)
        if len(self._stored) >= MAX_ATTEMPTS:
            self._drop(next(iter(self._stored)))
        self._stored[attempt] = StoredOutcome(RUNNING, now_us + self._retention_us)
        self.running_count += 1

    def finish(self, now_us: int, attempt: str, outcome: Outcome) -> None:
        """Record the outcome of a running attempt; an attempt that is not stored or finished is ignored.

        A response above `MAX_RESPONSE_BYTES` is not stored; the outcome is UNKNOWN then.
        """
        stored = self._stored.get(attempt)
        if stored is None or stored.outcome.state is not OutcomeState.RUNNING:
            return
        self.running_count -= 1
        stored.outcome = outcome if outcome.size <= MAX_RESPONSE_BYTES else UNKNOWN
        self._bytes += stored.outcome.size
        self._drop_expired(now_us)
        while self._bytes > MAX_STORED_BYTES:
            self._drop_oldest_answer()
        self.on_finished(attempt)

    def find(self, attempt: str) -> Outcome:
        """Return the outcome of an attempt; UNKNOWN if it is not stored."""
        stored = self._stored.get(attempt)
        return stored.outcome if stored is not None else UNKNOWN

    def _drop_expired(self, now_us: int) -> None:
        expired = []
        for attempt, stored in self._stored.items():
            if stored.expires_us > now_us:
                break  # the others began later
            expired.append(attempt)
        for attempt in expired:
            self._drop(attempt)

    def _drop_oldest_answer(self) -> None:
        """Drop the oldest attempt whose outcome has a response."""
        answered = (attempt for attempt, stored in self._stored.items() if stored.outcome.size)
        self._drop(next(answered))

    def _drop(self, attempt: str) -> None:
        outcome = self._stored.pop(attempt).outcome
        self._bytes -= outcome.size
        self.running_count -= outcome.state is OutcomeState.RUNNING


def _ignore(attempt: str) -> None:
    """Ignore the end of an attempt; the default callback."""
