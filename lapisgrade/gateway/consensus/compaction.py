"""When a snapshot takes the place of the log's entries (thesis, 5.1)."""

from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.gateway.consensus.state import NodeState

MAX_LOG_ENTRIES = 128
"""Committed entries in the log after which a snapshot takes their place."""

LIGHT_ENTRIES_PER_ENTRY = 8
"""So many light entries count as one: what is bounded is the time that a start takes to apply them."""

MAX_LOG_BYTES = 2 * 1024 * 1024
"""Bytes in the log after which a snapshot takes its place."""

TRANSFER_LOG_FACTOR = 4
"""So many times as much is kept while a follower is being sent a snapshot (it needs what comes after)."""


class Compaction:
    """Says when to compact the log, and does it; has no state of its own."""

    def __init__(self, state: NodeState, replication: Replication) -> None:
        """Make the compacting part of a node.

        Args:
            state: the node's state.
            replication: knows whether a follower is being sent a snapshot.
        """
        self.state = state
        self.replication = replication

    def is_due(self, light_entries: int) -> bool:
        """Whether the log has grown enough for a snapshot; `light_entries` of those committed are light."""
        log = self.state.log
        committed = self.state.commit_index - log.snapshot_index
        if committed == 0:
            return False
        weight = committed - light_entries + light_entries // LIGHT_ENTRIES_PER_ENTRY
        has_transfer = self.state.is_leader and self.replication.has_transfer()
        factor = TRANSFER_LOG_FACTOR if has_transfer else 1
        return weight > MAX_LOG_ENTRIES * factor or log.data_bytes > MAX_LOG_BYTES * factor

    def compact(self, snapshot: bytes) -> None:
        """Take the state machine's state after all entries up to the commit index in their place."""
        self.state.log.compact(self.state.commit_index, snapshot)
        self.state.write([self.state.snapshot_record()])
