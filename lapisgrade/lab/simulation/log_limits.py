"""Lower limits of the replicated log for a simulation, so that snapshots and small messages are frequent."""

from collections.abc import Iterator
from contextlib import contextmanager

from lapisgrade.gateway.consensus import compaction, replication, snapshots


@contextmanager
def log_limits(
    max_log_entries: int, chunk_bytes: int, max_append_bytes: int = replication.MAX_APPEND_BYTES
) -> Iterator[None]:
    """Set the limits of all simulated controllers within the context.

    Args:
        max_log_entries: Number of entries after which a node takes a snapshot.
        chunk_bytes: Size of a snapshot chunk in one message.
        max_append_bytes: Maximum size of the entries in one message.
    """
    original = compaction.MAX_LOG_ENTRIES, snapshots.CHUNK_BYTES, replication.MAX_APPEND_BYTES
    compaction.MAX_LOG_ENTRIES = max_log_entries
    snapshots.CHUNK_BYTES = chunk_bytes
    replication.MAX_APPEND_BYTES = max_append_bytes
    try:
        yield
    finally:
        compaction.MAX_LOG_ENTRIES, snapshots.CHUNK_BYTES, replication.MAX_APPEND_BYTES = original
