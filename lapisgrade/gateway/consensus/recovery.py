"""Restores a node's state from its disk after a restart.

Records that were read may not have been synced: none counts as durable until the driver has rewritten it.
"""

from collections.abc import Sequence

from lapisgrade.gateway.consensus.records import EntriesRecord, HardState, Record, SnapshotRecord
from lapisgrade.gateway.consensus.state import NodeState


def replay(state: NodeState, first: SnapshotRecord, later: Sequence[Record]) -> None:
    """Apply the records of one log generation to the state of a new node."""
    state.term = first.term
    state.voted_for = first.voted_for
    state.commit_index = first.snapshot_index
    state.log.install(first.snapshot_index, first.snapshot_term, first.voters, first.state)
    state.log.append(first.entries)
    commit_index = first.commit_index
    for record in later:
        if isinstance(record, HardState):
            state.term = record.term
            state.voted_for = record.voted_for
        elif isinstance(record, EntriesRecord):
            state.log.append(record.entries)
            commit_index = max(commit_index, record.commit_index)
    if state.log.snapshot_state:
        state.effects.snapshot = state.log.snapshot_state
    state.commit_up_to(commit_index)
