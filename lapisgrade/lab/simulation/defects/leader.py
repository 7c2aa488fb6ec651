"""Defects of the leader, its lease, and elections."""

from typing import Any

import msgspec

from lapisgrade.gateway.consensus.election import Election
from lapisgrade.gateway.consensus.messages import (
    AppendEntriesReply,
    RequestVote,
    RequestVoteReply,
)
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.gateway.consensus.voter import Voter
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver
from lapisgrade.lab.explore.defects import Defect, Defects


def _has_lease_forever(self: Node) -> bool:
    """The lease never expires."""
    return self.has_committed_in_term


def _is_leader_without_lease(self: ConsensusDriver) -> bool:
    """A leader replies to calls without a check of its lease."""
    if self.is_established:
        self.observer.on_lease_confirmed()
    return self.is_established


_on_append_reply = Replication.on_append_reply


def _on_append_reply_renewing_lease_at_receipt(self: Replication, reply: AppendEntriesReply) -> None:
    """The lease starts when the reply arrives, not when its request was sent."""
    _on_append_reply(self, reply)
    if reply.follower in self.followers:
        self.followers[reply.follower].acked_us = self.state.now_us


def _has_no_leader_contact(self: Voter) -> bool:
    """A voter votes although it has recent contact with a leader."""
    return False


_recover = Node.recover.__func__


def _recover_without_restart_guard(cls: type, *args: Any) -> Node:
    """A restarted node ignores that a leader's lease may depend on its earlier replies."""
    node = _recover(cls, *args)
    node.voter.restart_guard_until_us = 0
    return node


def _on_pre_vote_granting_as_leader(self: Voter, request: RequestVote) -> None:
    """A leader without contact to a majority, or a candidate, grants a pre-vote and reports no lease."""
    state = self.state
    granted = request.term > state.term and not self.has_leader_contact() and self.log_is_current(request)
    if not granted:
        _on_pre_vote(self, request)
        return
    reply = RequestVoteReply(request.term, state.identity, True, True, False, True, request.pre_vote_round)
    state.send(request.address, reply)


_on_pre_vote = Voter.on_pre_vote
_on_vote_reply = Election.on_vote_reply


def _on_vote_reply_of_any_round(self: Election, reply: RequestVoteReply) -> None:
    """A pre-vote of an earlier round counts in the current round."""
    if reply.pre_vote and reply.granted and reply.term == self.state.term + 1:
        reply = msgspec.structs.replace(reply, pre_vote_round=self.pre_vote_round)
    _on_vote_reply(self, reply)


LEADER_DEFECTS: Defects = {
    "lease-never-ends": Defect(Node, "has_lease", _has_lease_forever),
    "serves-without-lease": Defect(ConsensusDriver, "is_leader", _is_leader_without_lease),
    "lease-from-receipt": Defect(Replication, "on_append_reply", _on_append_reply_renewing_lease_at_receipt),
    "votes-against-a-lease": Defect(Voter, "has_leader_contact", _has_no_leader_contact),
    "restart-forgets-lease": Defect(Node, "recover", classmethod(_recover_without_restart_guard)),
}
FOUND_BY_UNIT_TESTS: Defects = {
    "pre-vote-of-any-round": Defect(Election, "on_vote_reply", _on_vote_reply_of_any_round),
    "leader-grants-pre-votes": Defect(Voter, "on_pre_vote", _on_pre_vote_granting_as_leader),
}
