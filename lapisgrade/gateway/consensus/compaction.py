"""Log compaction: replacing log entries by a snapshot (thesis, 5.1)."""

from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.gateway.consensus.state import NodeState

MAX_LOG_ENTRIES = 128
"""Number of committed entries in the log above which it is compacted."""

LIGHT_ENTRIES_PER_ENTRY = 8
"""Number of light entries that count as one: the limit bounds the time to apply the log at a start."""

MAX_LOG_BYTES = 2 * 1024 * 1024
"""Size of the log in bytes above which it is compacted."""

TRANSFER_LOG_FACTOR = 4
"""Multiplier of both limits during a snapshot transfer: the follower needs the entries after the snapshot."""


class Compaction:
    """Decides when to compact the log, and compacts it; stateless."""

    def __init__(self, state: NodeState, replication: Replication) -> None:
        """Create the compacting part of a node.

        Args:
            state: the node's state.
            replication: reports whether a snapshot transfer is in progress.
        """
        self.state = state
        self.replication = replication

    def is_due(self, light_entries: int) -> bool:
        """Whether the log exceeds a limit; `light_entries` of its committed entries are light."""
        log = self.state.log
        committed = self.state.commit_index - log.snapshot_index
        if committed == 0:
            return False
        weight = committed - light_entries + light_entries // LIGHT_ENTRIES_PER_ENTRY
        has_transfer = self.state.is_leader and self.replication.has_transfer()
        factor = TRANSFER_LOG_FACTOR if has_transfer else 1
        return weight > MAX_LOG_ENTRIES * factor or log.data_bytes > MAX_LOG_BYTES * factor

    def compact(self, snapshot: bytes) -> None:
        """Replace the entries up to the commit index by `snapshot`, the state machine's state after them."""
        self.state.log.compact(self.state.commit_index, snapshot)
        self.state.write([self.state.snapshot_record()])
