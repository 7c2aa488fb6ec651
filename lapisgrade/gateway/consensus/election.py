"""Elections from the candidate's side: pre-vote, vote, and counting of replies (thesis, 3.4 and 9.6).

A pre-vote first checks whether a vote would be granted, so that a partitioned node doesn't raise the term. If
all voters grant the pre-vote and report that they hold no lease, the vote itself need not wait for leases to
expire.
"""

import msgspec

from lapisgrade.gateway.consensus.election_timer import ElectionTimer
from lapisgrade.gateway.consensus.messages import OutgoingMessage, RequestVote, RequestVoteReply, TimeoutNow
from lapisgrade.gateway.consensus.records import HardState
from lapisgrade.gateway.consensus.state import NodeState, Role, RoleTransitions
from lapisgrade.gateway.consensus.voter import Voter


class VoteTally(msgspec.Struct):
    """Replies to the current pre-vote or vote.

    Attributes:
        granted: Identities of the voters that granted it.
        lease_free: The subset of `granted` that reported no lease.
        unanimous_only: The subset of `granted` whose votes count only if every voter grants.
    """

    granted: set[str] = msgspec.field(default_factory=set)
    lease_free: set[str] = msgspec.field(default_factory=set)
    unanimous_only: set[str] = msgspec.field(default_factory=set)


class Election:
    """Starts elections and counts votes; owns the tally and the pre-vote round."""

    def __init__(
        self, state: NodeState, timer: ElectionTimer, voter: Voter, transitions: RoleTransitions
    ) -> None:
        """Create the candidate's part of a node.

        Args:
            state: the node's state.
            timer: the deadline of the next election.
            voter: this node's voting part; the candidate's own vote counts too.
            transitions: called when an election is won or a later term is seen.
        """
        self.state = state
        self._timer = timer
        self._voter = voter
        self._transitions = transitions
        self._tally = VoteTally()
        self.pre_vote_round = 0  # number of the newest pre-vote

    def on_timeout(self) -> None:
        """Start an election: no leader's message arrived in time, or the last election was inconclusive.

        A node that is not a voter, or that is stopping, only clears the known leader.
        """
        state = self.state
        self._timer.restart(state.now_us)
        if self._voter.in_restart_guard():
            # Nodes that were killed together usually restart together, so their votes arrive soon.
            self._timer.retry_soon(state.now_us)
        if state.identity in state.voters and not state.is_stopping:
            self._start_pre_vote()
        else:
            state.forget_leader()

    def on_timeout_now(self, message: TimeoutNow) -> None:
        """Start a vote without a pre-vote: the leader of this term has stepped down, so no lease is held."""
        state = self.state
        is_for_this_node = message.successor == state.identity and message.term == state.term
        if is_for_this_node and not (state.is_stopping or state.is_leader):
            self._start_vote(lease_free=True)

    def on_vote_reply(self, reply: RequestVoteReply) -> None:
        """Count a reply to the current pre-vote or vote; ignore any other."""
        if not reply.granted:
            if reply.term > self.state.term:
                self._transitions.become_follower(reply.term)
            return
        if reply.voter not in self.state.voters or not self._is_current(reply):
            return
        self._tally.granted.add(reply.voter)
        if reply.lease_free:
            self._tally.lease_free.add(reply.voter)
        if reply.unanimous_only:
            self._tally.unanimous_only.add(reply.voter)
        self._count_votes()

    def _is_current(self, reply: RequestVoteReply) -> bool:
        state = self.state
        if not reply.pre_vote:
            return state.role is Role.CANDIDATE and reply.term == state.term
        is_current_round = reply.pre_vote_round == self.pre_vote_round and reply.term == state.term + 1
        return state.role is Role.PRE_CANDIDATE and is_current_round

    def _start_pre_vote(self) -> None:
        state = self.state
        state.forget_leader()
        state.role = Role.PRE_CANDIDATE
        self._tally = VoteTally({state.identity}, {state.identity})
        if self._voter.in_restart_guard():
            self._tally.unanimous_only.add(state.identity)
        self.pre_vote_round += 1
        state.effects.sends += self._vote_requests(state.term + 1, pre_vote=True)
        self._count_votes()

    def _start_vote(self, lease_free: bool) -> None:
        """Request votes in the next term; requests and this node's vote are sent once its vote is durable."""
        state = self.state
        state.role = Role.CANDIDATE
        self._tally = VoteTally()
        state.forget_leader()
        state.term += 1
        state.voted_for = state.identity
        own_vote = RequestVoteReply(state.term, state.identity, True, False)
        state.write(
            [HardState(state.term, state.identity)],
            [
                *self._vote_requests(state.term, pre_vote=False, lease_free=lease_free),
                OutgoingMessage(state.address, own_vote),
            ],
        )

    def _vote_requests(self, term: int, pre_vote: bool, lease_free: bool = False) -> list[OutgoingMessage]:
        state = self.state
        request = RequestVote(
            term,
            state.identity,
            state.address,
            state.log.last_index,
            state.log.last_term,
            pre_vote,
            lease_free,
            self.pre_vote_round,
        )
        return [
            OutgoingMessage(address, request)
            for name, address in state.voters.items()
            if name != state.identity
        ]

    def _count_votes(self) -> None:
        """Once a majority, or all if a grant is `unanimous_only`, have granted, start the vote or lead."""
        state, tally = self.state, self._tally
        voters = set(state.voters)
        votes = tally.granted & voters
        if 2 * len(votes) <= len(voters):
            return
        if tally.unanimous_only and votes != voters:
            self._timer.retry_soon_at_the_latest(state.now_us)
            return
        if state.role is Role.PRE_CANDIDATE:
            self._start_vote(lease_free=tally.lease_free >= voters)
        elif state.role is Role.CANDIDATE:
            self._transitions.become_leader()
