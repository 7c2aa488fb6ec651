"""Where a vote is granted: `Voter._grants_vote`, and for a pre-vote `Voter._grants_pre_vote`.

A voter grants one vote a term, to a candidate whose log lacks nothing that may be committed (thesis, 3.4,
3.6.1), and none while a leader's lease may rest on what it has replied (thesis, 6.4.1). Whether this node is
a voter is the candidate's to know: the change that made it one may be in the candidate's log alone (thesis,
4.2.2). A node whose disk was emptied has another identity, whose votes no candidate counts.
"""

from collections.abc import Callable

from lapisgrade.gateway.consensus.election_timer import ElectionTimer
from lapisgrade.gateway.consensus.messages import OutgoingMessage, RequestVote, RequestVoteReply
from lapisgrade.gateway.consensus.records import HardState
from lapisgrade.gateway.consensus.state import NodeState, Role, RoleTransitions
from lapisgrade.gateway.consensus.timing import ELECTION_TIMEOUT_US, RESTART_GUARD_US


class Voter:
    """Replies to RequestVote; owns when a leader was last heard from, and the guard after a restart."""

    def __init__(
        self,
        state: NodeState,
        timer: ElectionTimer,
        transitions: RoleTransitions,
        quorum_contact_us: Callable[[], int],
    ) -> None:
        """Make the voting part of a node.

        Args:
            state: the node's state.
            timer: restarted when a vote is granted.
            transitions: used when a candidate has a later term.
            quorum_contact_us: where this node is the leader, when it last had contact with a majority.
        """
        self.state = state
        self._timer = timer
        self._transitions = transitions
        self._quorum_contact_us = quorum_contact_us
        self._last_leader_contact_us = -ELECTION_TIMEOUT_US
        self.restart_guard_until_us = state.now_us  # until then a lease may rest on replies before a restart

    def guard_after_restart(self, started_us: int) -> None:
        """Honour leases that may rest on replies of an earlier process, which ended before `started_us`."""
        self.restart_guard_until_us = started_us + RESTART_GUARD_US

    def in_restart_guard(self) -> bool:
        """Whether a lease may rest on what this node replied before its restart."""
        return self.state.now_us < self.restart_guard_until_us

    def on_leader_contact(self) -> None:
        """Take note of a message of the current leader."""
        self._last_leader_contact_us = self.state.now_us

    def has_leader_contact(self) -> bool:
        """Whether a lease may rest on what this node has replied, or on replies to it as leader."""
        state = self.state
        if state.is_leader:
            return state.now_us - self._quorum_contact_us() <= ELECTION_TIMEOUT_US
        return bool(state.leader) and state.now_us - self._last_leader_contact_us < ELECTION_TIMEOUT_US

    def log_is_current(self, request: RequestVote) -> bool:
        """Whether the candidate's log is at least as up to date as this node's (thesis, 3.6.1)."""
        log = self.state.log
        return (request.last_log_term, request.last_log_index) >= (log.last_term, log.last_index)

    def on_request_vote(self, request: RequestVote) -> None:
        """Reply to a vote, or a pre-vote."""
        if request.pre_vote:
            self.on_pre_vote(request)
        else:
            self._on_vote(request)

    def _on_vote(self, request: RequestVote) -> None:
        state = self.state
        if request.term < state.term or self._lease_forbids_vote(request):
            # The term stays: a candidate that was cut off can't depose the leader by it (thesis, 4.2.3).
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
        lease_possible = self.has_leader_contact() or self.in_restart_guard()
        return lease_possible and not request.lease_free

    def _grants_vote(self, request: RequestVote) -> bool:
        """One vote a term, for a log that lacks nothing; `request` is of the current term."""
        return self.log_is_current(request) and self.state.voted_for in ("", request.candidate)

    def on_pre_vote(self, request: RequestVote) -> None:
        """Reply whether a vote would be granted; nothing of it is on disk but a later term."""
        state = self.state
        granted = self._grants_pre_vote(request)
        lease_free = granted and state.role is not Role.CANDIDATE
        if lease_free:
            # So it can't become leader in a term up to the candidate's, which would not know of it.
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
            not self.state.is_leader  # a leader can't say that no lease is held: it may regain its followers
            and not self.has_leader_contact()
            and request.term > self.state.term
            and self.log_is_current(request)
        )
