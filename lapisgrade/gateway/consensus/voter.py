"""Granting of votes (`Voter._grants_vote`) and pre-votes (`Voter._grants_pre_vote`).

A voter grants one vote per term, to a candidate whose log has all entries that may be committed (thesis, 3.4
and 3.6.1), and none while a leader's lease may rest on this voter's replies (thesis, 6.4.1). A node doesn't
check whether it is a voter: the change that added it may be in the candidate's log alone (thesis, 4.2.2). A
node whose disk was wiped has a new identity, and no candidate counts its votes.
"""

from collections.abc import Callable

from lapisgrade.gateway.consensus.election_timer import ElectionTimer
from lapisgrade.gateway.consensus.messages import OutgoingMessage, RequestVote, RequestVoteReply
from lapisgrade.gateway.consensus.records import HardState
from lapisgrade.gateway.consensus.state import NodeState, Role, RoleTransitions
from lapisgrade.gateway.consensus.timing import ELECTION_TIMEOUT_US, RESTART_GUARD_US


class Voter:
    """Replies to RequestVote; owns the time of the last leader contact and the restart guard."""

    def __init__(
        self,
        state: NodeState,
        timer: ElectionTimer,
        transitions: RoleTransitions,
        quorum_contact_us: Callable[[], int],
    ) -> None:
        """Create the voting part of a node.

        Args:
            state: the node's state.
            timer: restarted when a vote is granted.
            transitions: called when a candidate has a later term.
            quorum_contact_us: returns when this node, as the leader, last had contact with a majority.
        """
        self.state = state
        self._timer = timer
        self._transitions = transitions
        self._quorum_contact_us = quorum_contact_us
        self._last_leader_contact_us = -ELECTION_TIMEOUT_US
        # Until then a lease may rest on replies that this node sent before its restart.
        self.restart_guard_until_us = state.now_us

    def guard_after_restart(self, started_us: int) -> None:
        """Respect leases that may rest on replies of an earlier process, which ended before `started_us`."""
        self.restart_guard_until_us = started_us + RESTART_GUARD_US

    def in_restart_guard(self) -> bool:
        """Whether a lease may rest on replies that this node sent before its restart."""
        return self.state.now_us < self.restart_guard_until_us

    def on_leader_contact(self) -> None:
        """Record the arrival of a message from the current leader."""
        self._last_leader_contact_us = self.state.now_us

    def has_leader_contact(self) -> bool:
        """Whether a lease may rest on this node's replies or, if it is the leader, on replies to it."""
        state = self.state
        if state.is_leader:
            return state.now_us - self._quorum_contact_us() <= ELECTION_TIMEOUT_US
        return bool(state.leader) and state.now_us - self._last_leader_contact_us < ELECTION_TIMEOUT_US

    def log_is_current(self, request: RequestVote) -> bool:
        """Whether the candidate's log is at least as up to date as this node's (thesis, 3.6.1)."""
        log = self.state.log
        return (request.last_log_term, request.last_log_index) >= (log.last_term, log.last_index)

    def on_request_vote(self, request: RequestVote) -> None:
        """Reply to a vote or pre-vote request."""
        if request.pre_vote:
            self.on_pre_vote(request)
        else:
            self._on_vote(request)

    def _on_vote(self, request: RequestVote) -> None:
        state = self.state
        if request.term < state.term or self._lease_forbids_vote(request):
            # The term isn't adopted, so that a partitioned candidate can't depose the leader (thesis, 4.2.3).
            state.send(request.address, RequestVoteReply(state.term, state.identity, False, False))
            return
        if request.term > state.term:
            self._transitions.become_follower(request.term)
        granted = self._grants_vote(request)
        reply = RequestVoteReply(state.term, state.identity, granted, False)
        if not granted:
            state.send(request.address, reply)
            return
        state.voted_for = request.candidate
        self._timer.restart(state.now_us)
        state.write([HardState(state.term, state.voted_for)], [OutgoingMessage(request.address, reply)])

    def _lease_forbids_vote(self, request: RequestVote) -> bool:
        """Whether a lease may rest on this node's replies, and the candidate can't rule it out."""
        lease_possible = self.has_leader_contact() or self.in_restart_guard()
        return lease_possible and not request.lease_free

    def _grants_vote(self, request: RequestVote) -> bool:
        """Whether the log is current and no other got the vote; `request` is of the current term."""
        return self.log_is_current(request) and self.state.voted_for in ("", request.candidate)

    def on_pre_vote(self, request: RequestVote) -> None:
        """Reply whether a vote would be granted; at most a raised term is written to disk."""
        state = self.state
        granted = self._grants_pre_vote(request)
        lease_free = granted and state.role is not Role.CANDIDATE
        if lease_free:
            # Keeps this node from becoming leader, unknown to the candidate, before the requested term.
            state.raise_term(request.term - 1)
        reply = RequestVoteReply(
            request.term if granted else state.term,
            state.identity,
            granted,
            True,
            self.in_restart_guard(),
            lease_free,
            request.pre_vote_round,
        )
        state.send(request.address, reply)

    def _grants_pre_vote(self, request: RequestVote) -> bool:
        """Whether the candidate could win a vote of this node (thesis, 9.6)."""
        return (
            not self.state.is_leader  # a leader can't rule out a lease: it may regain contact with followers
            and not self.has_leader_contact()
            and request.term > self.state.term
            and self.log_is_current(request)
        )
