"""Elections: pre-vote, vote, and who may be voted for while a lease may be held."""

from lapisgrade.gateway.consensus.messages import RequestVote, RequestVoteReply, TimeoutNow
from lapisgrade.gateway.consensus.records import HardState
from lapisgrade.gateway.consensus.state import ELECTION_TIMEOUT_US, NodeState, Role


class Election(NodeState):
    """The part of a node that elects leaders and is elected."""

    def _start_pre_vote(self) -> None:
        """Ask first whether a vote would be granted (guards the term against one that was cut off)."""
        self.leader = self.leader_address = ""
        self.role, self._votes, self._idle = Role.PRE_CANDIDATE, {self.identity}, {self.identity}
        self._unanimous_only = {self.identity} if self.now_us < self._lease_guard_until_us else set()
        self._round += 1
        self._request_votes(self.term + 1, pre_vote=True)
        self._count_votes()

    def _stand(self, lease_free: bool) -> None:
        """Ask for votes in the next term; they and the own vote count once the own vote is on disk."""
        self.role, self._votes, self._unanimous_only = Role.CANDIDATE, set(), set()
        self.leader = self.leader_address = ""
        self.term, self.voted_for = self.term + 1, self.identity
        earlier, self.effects.sends = self.effects.sends, []
        self._request_votes(self.term, pre_vote=False, lease_free=lease_free)
        requests, self.effects.sends = self.effects.sends, earlier
        own = (self.address, RequestVoteReply(self.term, self.identity, True, False))
        self._write([HardState(self.term, self.identity)], [*requests, own])

    def _request_votes(self, term: int, pre_vote: bool, lease_free: bool = False) -> None:
        request = RequestVote(
            term,
            self.identity,
            self.address,
            self.log.last_index,
            self.log.last_term,
            pre_vote,
            lease_free,
            self._round,
        )
        for name, address in self.voters.items():
            if name != self.identity:
                self._send(address, request)

    def _hears_leader(self) -> bool:
        """Whether a lease may rest on what this node has said, as leader or follower."""
        if self.is_leader:
            return self.now_us - self._quorum_us() <= ELECTION_TIMEOUT_US
        return bool(self.leader) and self.now_us - self._last_leader_contact_us < ELECTION_TIMEOUT_US

    # Whether this node is a voter is the candidate's to know: the change that made it one may be in the
    # candidate's log alone (thesis, 4.2.2). An emptied disk has another identity, which nobody counts.

    def _log_is_current(self, request: RequestVote) -> bool:
        return (request.last_term, request.last_index) >= (self.log.last_term, self.log.last_index)

    def _on_request_vote(self, request: RequestVote) -> None:
        if request.pre_vote:
            self._on_pre_vote(request)
            return
        held = self._hears_leader() or self.now_us < self._lease_guard_until_us
        if request.term < self.term or (held and not request.lease_free):
            self._send(request.address, RequestVoteReply(self.term, self.identity, False, False))
            return
        if request.term > self.term:
            self._follow(request.term)
        granted = self._log_is_current(request) and self.voted_for in ("", request.candidate)
        reply = RequestVoteReply(self.term, self.identity, granted, False)
        if not granted:
            self._send(request.address, reply)
            return
        self.voted_for = request.candidate
        self._postpone_election()
        self._write([HardState(self.term, self.voted_for)], [(request.address, reply)])

    def _on_pre_vote(self, request: RequestVote) -> None:
        granted = (
            not self.is_leader  # what it grants tells that it holds no lease, and it might be heard again
            and not self._hears_leader()
            and request.term > self.term
            and self._log_is_current(request)
        )
        idle = granted and self.role is not Role.CANDIDATE
        if idle:
            # So it can't come to lead in a term up to the asker's, which would not know of the asker.
            self._raise_term(request.term - 1)
        reply = RequestVoteReply(
            request.term if granted else self.term,
            self.identity,
            granted,
            True,
            self.now_us < self._lease_guard_until_us,
            idle,
            request.round,
        )
        self._send(request.address, reply)

    def _on_vote_reply(self, reply: RequestVoteReply) -> None:
        if not reply.granted:
            if reply.term > self.term:
                self._follow(reply.term)
            return
        if reply.voter not in self.voters:
            return
        if reply.pre_vote:
            current = self.role is Role.PRE_CANDIDATE and reply.round == self._round
            current = current and reply.term == self.term + 1
        else:
            current = self.role is Role.CANDIDATE and reply.term == self.term
        if not current:
            return
        self._votes.add(reply.voter)
        if reply.idle:
            self._idle.add(reply.voter)
        if reply.unanimous_only:
            self._unanimous_only.add(reply.voter)
        self._count_votes()

    def _count_votes(self) -> None:
        voters = set(self.voters)
        votes = self._votes & voters
        if 2 * len(votes) <= len(voters):
            return
        if self._unanimous_only and votes != voters:
            self._election_deadline_us = min(self._election_deadline_us, self._soon())
            return
        if self.role is Role.PRE_CANDIDATE:
            self._stand(lease_free=self._idle >= voters)
        elif self.role is Role.CANDIDATE:
            self._lead()

    def _on_timeout_now(self, message: TimeoutNow) -> None:
        """The leader of this term has stepped down for good: nobody holds a lease."""
        if (
            message.to == self.identity
            and message.term == self.term
            and not (self.is_stopping or self.is_leader)
        ):
            self._stand(lease_free=True)

    def _lead(self) -> None:
        raise NotImplementedError
