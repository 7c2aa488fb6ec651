"""Defects of voter changes."""

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
    """Learners count towards the majority."""
    state = self.state
    match_indexes = [state.durable_index, *(each.match_index for each in self.followers.values())]
    match_indexes.sort(reverse=True)
    index = match_indexes[len(state.voters) // 2] if state.voters else 0
    if index > state.commit_index and state.log.term_at(index) == state.term:
        state.commit_up_to(index)
        self.send_to_all(heartbeat=True)


def _next_voters_without_majority(view: ClusterView) -> dict[str, str] | None:
    """Voters may change to a set without a majority that is caught up."""
    return membership.desired_voters(view)


def _has_no_voter_change_after(self: ReplicatedLog, index: int) -> bool:
    """A change of voters starts before the previous one is committed."""
    return False


def _is_no_change_pending(self: Reconfiguration) -> bool:
    """A leader changes voters before it has committed an entry of its term (Ongaro's note of 2015)."""
    return False


def _compact_without_voters(self: ReplicatedLog, index: int, state: bytes) -> None:
    """A snapshot doesn't contain the voter changes before it."""
    voters = self.snapshot_voters
    _compact(self, index, state)
    self.snapshot_voters = voters


_compact = ReplicatedLog.compact
_restore_node = node_recovery.restore_node


def _restore_node_as_bootstrapped(records: list[Record], settings: Settings, *args: Any) -> Node:
    """A node with an empty disk starts as a bootstrap voter at its address."""
    return _restore_node(records, _bootstrapped(settings), *args)


def _bootstrapped(settings: Settings) -> Settings:
    """Return the settings of a process that may bootstrap a cluster."""
    from attrs import evolve

    return evolve(settings, bootstrap=True)


MEMBERSHIP_DEFECTS: Defects = {
    "learner-counted": Defect(Replication, "advance_commit", _advance_commit_counting_learners),
    "snapshot-without-voters": Defect(ReplicatedLog, "compact", _compact_without_voters),
}
WIPED_DISK_DEFECTS: Defects = {
    "emptied-disk-votes": Defect(node_recovery, "restore_node", _restore_node_as_bootstrapped),
}
VOTER_CHANGE_DEFECTS: Defects = {
    "two-changes-at-once": Defect(ReplicatedLog, "has_voter_change_after", _has_no_voter_change_after),
}
MAJORITY_DEFECTS: Defects = {
    "change-without-majority": Defect(reconfiguration, "next_voters", _next_voters_without_majority),
}
FOUND_BY_UNIT_TESTS: Defects = {
    "change-before-own-entry": Defect(Reconfiguration, "is_change_pending", _is_no_change_pending),
}
