"""The leader's part in changes of voters: who joins, who leaves, and the next change (thesis, chapter 4)."""

from collections import deque

import msgspec

from lapisgrade.gateway.consensus.membership import ClusterView, next_voters
from lapisgrade.gateway.consensus.messages import Entry, JoinRequest, LeaderHint, LeaveRequest
from lapisgrade.gateway.consensus.progress import FollowerProgress
from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.gateway.consensus.state import NodeState
from lapisgrade.gateway.consensus.timing import ELECTION_TIMEOUT_US, HEARTBEAT_INTERVAL_US

MAX_FOLLOWERS = 64
"""Nodes that a leader replicates to; a flood of join requests takes no more of its memory."""


class PastCommit(msgspec.Struct, frozen=True):
    """The commit index at some time."""

    time_us: int
    commit_index: int


class Reconfiguration:
    """Makes changes of voters while the node is the leader; owns who is leaving, and past commit indices."""

    def __init__(self, state: NodeState, replication: Replication) -> None:
        """Make the part of a node that changes the voters.

        Args:
            state: the node's state.
            replication: knows the followers, and takes in those that join.
        """
        self.state = state
        self._replication = replication
        self._leaving: set[str] = set()  # identities of nodes that shut down in order
        self._past_commits: deque[PastCommit] = deque()  # the first is an election time-out old, if any is

    def start(self) -> None:
        """Begin to lead."""
        self._leaving = set()
        self._past_commits.clear()

    def on_join(self, request: JoinRequest) -> None:
        """Replicate to a node that wants to join; a follower says who the leader is."""
        state, followers = self.state, self._replication.followers
        if not state.is_leader:
            if state.leader_address and state.leader_address != request.address:
                hint = LeaderHint(state.term, state.leader, state.leader_address)
                state.send(request.address, hint)
            return
        if request.node == state.identity:
            return
        if request.node not in followers and len(followers) < MAX_FOLLOWERS:
            learner = FollowerProgress(request.address, 0, state.now_us, next_index=state.log.last_index + 1)
            followers[request.node] = learner
        if self._replication.on_contact(request.node, request.address, state.term) is not None:
            self._leaving.discard(request.node)
            self._replication.send_to(request.node, heartbeat=True)

    def on_leave(self, request: LeaveRequest) -> None:
        """Make a node that shuts down no voter any more, where enough others stay."""
        if self.state.is_leader:
            self._leaving.add(request.node)
            self.change_voters()

    def change_voters(self) -> None:
        """Make the next change of voters, if one is needed and safe; none while leadership is transferred."""
        state, replication = self.state, self._replication
        self._note_commit_index()
        if state.is_stopping or not state.is_leader or self.is_change_pending():
            return
        voters = next_voters(self._view())
        if voters is None:
            return
        state.append([Entry(state.log.last_index + 1, state.term, b"", voters)])
        self._update_followers(voters)
        replication.announce_commit_of(state.log.last_index)
        replication.send_to_all()
        replication.advance_commit()

    def is_change_pending(self) -> bool:
        """Whether the next change must wait for the one before, or an entry of this term (note of 2015)."""
        state = self.state
        return (
            state.log.has_voter_change_after(state.commit_index)
            or state.commit_index < self._replication.first_index
        )

    def _note_commit_index(self) -> None:
        state, past = self.state, self._past_commits
        if not past or state.now_us - past[-1].time_us >= HEARTBEAT_INTERVAL_US:  # bounds how many are kept
            past.append(PastCommit(state.now_us, state.commit_index))
        while len(past) > 1 and state.now_us - past[1].time_us >= ELECTION_TIMEOUT_US:
            past.popleft()

    def _earlier_commit_index(self) -> int:
        """Return the commit index an election time-out ago; that of now where nothing is as old."""
        past = self._past_commits
        is_old = bool(past) and self.state.now_us - past[0].time_us >= ELECTION_TIMEOUT_US
        return past[0].commit_index if is_old else self.state.commit_index

    def _view(self) -> ClusterView:
        state = self.state
        return ClusterView(
            state.now_us,
            state.identity,
            state.address,
            state.voters,
            dict(self._replication.followers),
            self._leaving,
            state.commit_index,
            self._earlier_commit_index(),
        )

    def _update_followers(self, voters: dict[str, str]) -> None:
        """Replicate to all voters, and to those of the others that are live."""
        state, replication = self.state, self._replication
        live = self._view().live()
        for name, address in voters.items():
            if name != state.identity and name not in replication.followers:
                replication.followers[name] = FollowerProgress(address, 0, 0, next_index=state.log.last_index)
        replication.followers = {
            name: follower
            for name, follower in replication.followers.items()
            if name in voters or name in live
        }
