"""How the leader gathers claims into log entries: which are refused or answered at once, and time. Pure.

A claim that is malformed is refused; one whose key is held already is answered from the table; all others
wait for the next batch, and beyond `MAX_WAITING_CLAIMS` they are told that nothing is known.
"""

from lapisgrade.gateway.operations.table import (
    MAX_KEY_BYTES,
    MAX_TENANT_BYTES,
    Claim,
    OperationRecord,
    OperationTable,
)
from lapisgrade.gateway.settings import parse_address

MAX_BATCH_CLAIMS = 256  # in one log entry; 128 KB at the most, so that one message carries it
MAX_WAITING_CLAIMS = 1024  # some seconds' worth; beyond it a claim is told at once that nothing is known
MAX_NAME_BYTES = 64  # of an attempt and of an owner's address


def is_valid(claim: Claim) -> bool:
    """Return whether a claim may be recorded: all is bounded, and its owner can be asked."""
    names = (claim.attempt, claim.owner)
    has_names = all(0 < _size(name) <= MAX_NAME_BYTES for name in names)
    has_key = 0 < _size(claim.key) <= MAX_KEY_BYTES
    is_bounded = _size(claim.tenant) <= MAX_TENANT_BYTES and _size(claim.replaces) <= MAX_NAME_BYTES
    return has_names and has_key and is_bounded and _is_address(claim.owner)


def known_holder(table: OperationTable, claim: Claim, oldest_us: int) -> OperationRecord | None:
    """Return who holds the claim's key whatever the log would say of the claim, so that it needs no entry.

    That may be the claim's own attempt, recorded earlier. A record that was claimed before `oldest_us` may be
    beyond its retention: the log decides.
    """
    record = table.find(claim.tenant, claim.key)
    if record is None or record.attempt == claim.replaces or record.claimed_us < oldest_us:
        return None
    return record


class LeadershipClock:
    """Measures the time between the batches of one leadership; never more than passed under that leader."""

    def __init__(self) -> None:
        """Nothing was measured yet."""
        self._term = 0
        self._last_batch_us = 0  # when the last batch of that term was made

    def elapsed_us(self, now_us: int, term: int) -> int:
        """Return the time since the last batch in the same term of leadership; 0 before the first.

        A node leads a term at most once, so time under another leader is never counted.
        """
        return max(0, now_us - self._last_batch_us) if term == self._term else 0

    def start_batch(self, now_us: int, term: int) -> int:
        """Return the time that the next batch counts; what is measured from now on is the one's after it."""
        elapsed_us = self.elapsed_us(now_us, term)
        self._term = term
        self._last_batch_us = now_us
        return elapsed_us


def _size(text: str) -> int:
    return len(text.encode())


def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
