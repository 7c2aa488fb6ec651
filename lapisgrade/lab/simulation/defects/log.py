"""Defects of the replicated log, its durability and its snapshots."""

from typing import Any

from lapisgrade.gateway.consensus.follower import Follower
from lapisgrade.gateway.consensus.log import ReplicatedLog
from lapisgrade.gateway.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    RequestVote,
)
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import DurableWrite
from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.gateway.consensus.snapshots import SnapshotAssembly
from lapisgrade.gateway.consensus.voter import Voter
from lapisgrade.gateway.controller.log_writer import LogWriter
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.lab.explore.defects import Defect, Defects

_recover = Node.recover.__func__


def _recover_as_durable(cls: type, *args: Any) -> Node:
    """Entries that are read from disk at the start count as durable, though they may not be synced."""
    node = _recover(cls, *args)
    node.state.durable_index = node.log.last_index
    return node


def _acknowledge_before_sync(self: Follower, message: AppendEntries) -> None:
    """Entries are acknowledged before they are synced."""
    state = self.state
    if message.term == state.term and message.leader == state.leader:
        reply = AppendEntriesReply(
            state.term, state.identity, state.address, True, self.agreed_index, message.sent_us
        )
        state.send(message.address, reply)


def _put_sending_before_sync(self: LogWriter, write: DurableWrite) -> None:
    """Messages that must wait for a sync are sent immediately."""
    sends, write.sends_when_durable = write.sends_when_durable, []
    self._node.state.effects.sends += sends
    _put(self, write)


_put = LogWriter.put


def _advance_commit_of_any_term(self: Replication) -> None:
    """An entry of an earlier term is committed by counting replicas."""
    state = self.state
    match_indexes = [
        self.followers[name].match_index if name in self.followers else state.durable_index
        for name in state.voters
    ]
    match_indexes.sort(reverse=True)
    index = match_indexes[len(match_indexes) // 2] if match_indexes else 0
    if index > state.commit_index:
        state.commit_up_to(index)
        self.send_to_all(heartbeat=True)


def _is_any_log_current(self: Voter, request: RequestVote) -> bool:
    """A voter votes for a candidate with any log."""
    return True


def _truncate_nothing(self: ReplicatedLog, last: int) -> None:
    """Entries that conflict with a new leader's log are kept."""


_dump = StateMachine.dump


def _dump_of_earlier_state(self: StateMachine) -> bytes:
    """A snapshot contains the state of the previous snapshot."""
    earlier = getattr(self, "_earlier", b"")
    self._earlier = _dump(self)
    return earlier or self._earlier


def _load_nothing(self: StateMachine, data: bytes) -> None:
    """A received snapshot is not loaded."""


def _add_as_complete(self: Any, chunk: Any) -> bytes | None:
    """Each chunk of a snapshot is used as the complete snapshot."""
    return chunk.data


LOG_DEFECTS: Defects = {
    "durable-as-read": Defect(Node, "recover", classmethod(_recover_as_durable)),
    "acknowledged-before-sync": Defect(Follower, "acknowledge", _acknowledge_before_sync),
    "any-log-may-lead": Defect(Voter, "log_is_current", _is_any_log_current),
    "conflict-kept": Defect(ReplicatedLog, "truncate", _truncate_nothing),
    "vote-before-sync": Defect(LogWriter, "put", _put_sending_before_sync),
}
TERM_DEFECTS: Defects = {
    "old-term-committed": Defect(Replication, "advance_commit", _advance_commit_of_any_term),
}
SNAPSHOT_DEFECTS: Defects = {
    "stale-snapshot": Defect(StateMachine, "dump", _dump_of_earlier_state),
    "snapshot-not-loaded": Defect(StateMachine, "load", _load_nothing),
    "piece-taken-for-all": Defect(SnapshotAssembly, "add", _add_as_complete),
}
