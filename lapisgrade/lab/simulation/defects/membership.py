"""Defects in how voters join and leave."""

from typing import Any

from lapisgrade.gateway.consensus import membership, reconfiguration
from lapisgrade.gateway.consensus.log import ReplicatedLog
from lapisgrade.gateway.consensus.membership import ClusterView
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.reconfiguration import Reconfiguration
from lapisgrade.gateway.consensus.records import Record
from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.gateway.controller import node_recovery
from lapisgrade.gateway.settings import Settings
from lapisgrade.lab.explore.defects import Defect, Defects


def _advance_commit_counting_learners(self: Replication) -> None:
    """Learners count towards a majority."""
    state = self.state
    have = [state.durable_index, *(each.match_index for each in self.followers.values())]
    have.sort(reverse=True)
    index = have[len(state.voters) // 2] if state.voters else 0
    if index > state.commit_index and state.log.term_at(index) == state.term:
        state.commit_up_to(index)
        self.send_to_all(heartbeat=True)


def _next_voters_without_majority(view: ClusterView) -> dict[str, str] | None:
    """Voters may change to a set of which no majority has caught up."""
    return membership.desired_voters(view)


def _has_no_voter_change_after(self: ReplicatedLog, index: int) -> bool:
    """The next change begins before the previous one is committed."""
    return False


def _is_no_change_pending(self: Reconfiguration) -> bool:
    """A leader changes voters before an entry of its own term is committed (the note of 2015 on Raft)."""
    return False


def _compact_without_voters(self: ReplicatedLog, index: int, state: bytes) -> None:
    """A snapshot lacks the changes of voters before it."""
    voters = self.snapshot_voters
    _compact(self, index, state)
    self.snapshot_voters = voters


_compact = ReplicatedLog.compact
_restore_node = node_recovery.restore_node


def _restore_node_as_bootstrapped(records: list[Record], settings: Settings, *args: Any) -> Node:
    """A node with an empty disk takes itself for the first one at its address."""
    return _restore_node(records, _bootstrapped(settings), *args)


def _bootstrapped(settings: Settings) -> Settings:
    from attrs import evolve

    return evolve(settings, bootstrap=True)


MEMBERS: Defects = {
    "learner-counted": Defect(Replication, "advance_commit", _advance_commit_counting_learners),
    "snapshot-without-voters": Defect(ReplicatedLog, "compact", _compact_without_voters),
}
EMPTIED: Defects = {
    "emptied-disk-votes": Defect(node_recovery, "restore_node", _restore_node_as_bootstrapped),
}
VOTER_CHANGES: Defects = {
    "two-changes-at-once": Defect(ReplicatedLog, "has_voter_change_after", _has_no_voter_change_after),
}
MAJORITY: Defects = {
    "change-without-majority": Defect(reconfiguration, "next_voters", _next_voters_without_majority),
}
FOUND_BY_UNIT_TESTS: Defects = {
    "change-before-own-entry": Defect(Reconfiguration, "is_change_pending", _is_no_change_pending),
}
