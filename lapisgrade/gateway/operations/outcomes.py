"""What came of the attempts that one proxy has made at keyed operations. Pure.

    RUNNING --the attempt ended without having run--> NOT_RUN
       |
       +--a server's complete response--> ANSWERED
       +--no response, and it may have run--> UNKNOWN

An attempt that isn't known here (any more) is UNKNOWN: the process may have been restarted since.
"""

from collections.abc import Callable
from enum import IntEnum

import msgspec

MAX_STORED_BYTES = 8 * 1024 * 1024  # of responses; the oldest are dropped beyond it
MAX_RESPONSE_BYTES = 256 * 1024  # of one that is kept; a longer one's attempt is UNKNOWN
MAX_ATTEMPTS = 65_536  # that are kept; the oldest are dropped beyond it


class OutcomeState(IntEnum):
    """What is known of an attempt."""

    UNKNOWN = 0
    RUNNING = 1
    NOT_RUN = 2  # and it never will
    ANSWERED = 3


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """What came of an attempt.

    Attributes:
        state: What is known of it.
        status: Of the server's response, where there is one, as the next two.
        header_lines: Those to be forwarded to the client.
        body: The whole body.
    """

    state: OutcomeState
    status: int = 0
    header_lines: bytes = b""
    body: bytes = b""

    @property
    def size(self) -> int:
        """How much memory it takes, about, in bytes."""
        return len(self.header_lines) + len(self.body)


UNKNOWN = Outcome(OutcomeState.UNKNOWN)
RUNNING = Outcome(OutcomeState.RUNNING)
NOT_RUN = Outcome(OutcomeState.NOT_RUN)


class StoredOutcome(msgspec.Struct):
    """An outcome, and until when it is kept."""

    outcome: Outcome
    expires_us: int


class OutcomeStore:
    """The outcomes of this proxy's own attempts, for as long as their operation may be repeated."""

    def __init__(self, retention_us: int) -> None:
        """Keep each outcome for so long."""
        self.on_finished: Callable[[str], None] = _ignore  # called with each attempt that has ended
        self.running_count = 0  # attempts that are RUNNING
        self._retention_us = retention_us
        self._stored: dict[str, StoredOutcome] = {}  # by attempt, in the order in which they began
        self._bytes = 0

    def begin(self, now_us: int, attempt: str) -> None:
        """Note an attempt that may run from now on."""
        self._drop_expired(now_us)
        if len(self._stored) >= MAX_ATTEMPTS:
            self._drop(next(iter(self._stored)))
        self._stored[attempt] = StoredOutcome(RUNNING, now_us + self._retention_us)
        self.running_count += 1

    def finish(self, now_us: int, attempt: str, outcome: Outcome) -> None:
        """Note what came of an attempt; the first outcome of one that has begun counts."""
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
        """Return what is known of an attempt."""
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
        answered = (each for each, stored in self._stored.items() if stored.outcome.size)
        self._drop(next(answered))

    def _drop(self, attempt: str) -> None:
        outcome = self._stored.pop(attempt).outcome
        self._bytes -= outcome.size
        self.running_count -= outcome.state is OutcomeState.RUNNING


def _ignore(attempt: str) -> None:
    """Do nothing: nobody waits for the end of attempts."""
