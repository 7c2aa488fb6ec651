"""Batching of claims into log entries at the leader: validation, immediate replies and elapsed time. Pure.

A malformed claim is rejected. A claim to a key that is already held is answered from the table. All others
wait for the next batch; if `MAX_WAITING_CLAIMS` already wait, the reply is that the holder is unknown.
"""

from lapisgrade.gateway.operations.table import (
    MAX_KEY_BYTES,
    MAX_TENANT_BYTES,
    Claim,
    OperationRecord,
    OperationTable,
)
from lapisgrade.gateway.settings import is_valid_address

MAX_BATCH_CLAIMS = 256  # maximum claims in one log entry; at most 128 KB, which fits into one message
# Maximum number of claims that wait for a batch: a few seconds of claims. The reply to further ones is that
# the holder is unknown.
MAX_WAITING_CLAIMS = 1024
MAX_NAME_BYTES = 64  # maximum size of an attempt's name and of an owner's address


def is_valid(claim: Claim) -> bool:
    """Return whether a claim may be recorded: its fields have valid sizes and its owner is an address."""
    names = (claim.attempt, claim.owner)
    has_names = all(0 < _size(name) <= MAX_NAME_BYTES for name in names)
    has_key = 0 < _size(claim.key) <= MAX_KEY_BYTES
    is_bounded = _size(claim.tenant) <= MAX_TENANT_BYTES and _size(claim.replaces) <= MAX_NAME_BYTES
    return has_names and has_key and is_bounded and is_valid_address(claim.owner)


def known_holder(table: OperationTable, claim: Claim, oldest_us: int) -> OperationRecord | None:
    """Return the record that holds the claim's key if it is certain that the claim cannot change it.

    Such a claim needs no log entry. The holder may be the claim's own attempt, recorded earlier.

    Args:
        table: The table as applied so far.
        claim: The claim.
        oldest_us: Time on the table's clock; a record claimed before may have outlived its retention, which
            only the log can decide.

    Returns:
        The record, or None if the claim needs a log entry.
    """
    record = table.find(claim.tenant, claim.key)
    if record is None or record.attempt == claim.replaces or record.claimed_us < oldest_us:
        return None
    return record


class LeadershipClock:
    """Measures the time between a leader's batches; the sum never exceeds the time within its term."""

    def __init__(self) -> None:
        """Create a clock without a measurement."""
        self._term = 0
        self._last_batch_us = 0  # time of the last batch in that term

    def elapsed_us(self, now_us: int, term: int) -> int:
        """Return the time in us since the last batch in the same term; 0 before the first batch.

        A node leads a term at most once, so time under another leader is never counted.
        """
        return max(0, now_us - self._last_batch_us) if term == self._term else 0

    def start_batch(self, now_us: int, term: int) -> int:
        """Start a batch: return the elapsed time in us that it records, and restart the measurement."""
        elapsed_us = self.elapsed_us(now_us, term)
        self._term = term
        self._last_batch_us = now_us
        return elapsed_us


def _size(text: str) -> int:
    return len(text.encode())
