"""Log compaction: replacing log entries by a snapshot (thesis, 5.1)."""

from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.gateway.consensus.state import NodeState

MAX_LOG_ENTRIES = 128
"""Number of committed entries in the log above which it is compacted."""

LIGHT_ENTRIES_PER_ENTRY = 8
"""Number of light entries that count as one entry.

A light entry is applied much faster than a configuration change, and MAX_LOG_ENTRIES bounds the time to apply
the log at a start.
"""

MAX_LOG_BYTES = 2 * 1024 * 1024
"""Total size of the data of the log's entries, in bytes, above which the log is compacted."""

TRANSFER_LOG_FACTOR = 4
"""Multiplier of both limits during a snapshot transfer; the follower needs the entries after the snapshot."""


class Compaction:
    """Decides when to compact the log, and compacts it; stateless."""

    def __init__(self, state: NodeState, replication: Replication) -> None:
        """Create the log compaction of a node.

        Args:
            state: the node's state.
            replication: reports whether a snapshot transfer is in progress.
        """
        self.state = state
        self.replication = replication

    def is_due(self, light_entries: int) -> bool:
        """Whether the log exceeds a limit; `light_entries` is how many of its committed entries are light."""
        log = self.state.log
        committed_count = self.state.commit_index - log.snapshot_index
        if committed_count == 0:
            return False
        weighted_count = committed_count - light_entries + light_entries // LIGHT_ENTRIES_PER_ENTRY
        has_transfer = self.state.is_leader and self.replication.has_transfer()
        limit_factor = TRANSFER_LOG_FACTOR if has_transfer else 1
        return (
            weighted_count > MAX_LOG_ENTRIES * limit_factor or log.data_bytes > MAX_LOG_BYTES * limit_factor
        )

    def compact(self, snapshot: bytes) -> None:
        """Replace the entries up to the commit index by `snapshot`, the state machine's state after them."""
        self.state.log.compact(self.state.commit_index, snapshot)
        self.state.write([self.state.snapshot_record()])
