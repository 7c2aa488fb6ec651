"""The leader's part of voter changes: joining nodes, leaving nodes, the next change (thesis, chapter 4)."""

from collections import deque

import msgspec

from lapisgrade.gateway.consensus.membership import ClusterView, next_voters
from lapisgrade.gateway.consensus.messages import Entry, JoinRequest, LeaderHint, LeaveRequest
from lapisgrade.gateway.consensus.progress import FollowerProgress
from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.gateway.consensus.state import NodeState
from lapisgrade.gateway.consensus.timing import ELECTION_TIMEOUT_US, HEARTBEAT_INTERVAL_US

MAX_FOLLOWERS = 64
"""Maximum number of nodes that a leader replicates to; bounds its memory under a flood of join requests."""


class PastCommit(msgspec.Struct, frozen=True):
    """The commit index at an earlier time."""

    time_us: int
    commit_index: int


class Reconfiguration:
    """Changes the voters while the node is the leader; owns the leaving nodes and past commit indexes."""

    def __init__(self, state: NodeState, replication: Replication) -> None:
        """Create the part of a node that changes the voters.

        Args:
            state: the node's state.
            replication: holds the followers; joining nodes are added to them.
        """
        self.state = state
        self._replication = replication
        self._leaving: set[str] = set()  # identities of nodes that are shutting down gracefully
        # Oldest first; the first is at least an election time-out old, if any is.
        self._past_commits: deque[PastCommit] = deque()

    def start(self) -> None:
        """Start leading: discard the state of an earlier leadership."""
        self._leaving = set()
        self._past_commits.clear()

    def on_join(self, request: JoinRequest) -> None:
        """Start replicating to a joining node; a follower replies with the leader's address, if known."""
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
        """Record that a node shuts down, and remove it from the voters if enough voters remain."""
        if self.state.is_leader:
            self._leaving.add(request.node)
            self.change_voters()

    def change_voters(self) -> None:
        """Make the next voter change if one is needed and safe; none during a leadership transfer."""
        state, replication = self.state, self._replication
        self._record_commit_index()
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
        """Whether the last change is uncommitted, or no entry of this term is committed (note of 2015)."""
        state = self.state
        return (
            state.log.has_voter_change_after(state.commit_index)
            or state.commit_index < self._replication.first_index
        )

    def _record_commit_index(self) -> None:
        state, commits = self.state, self._past_commits
        # One per heartbeat interval at most, to bound their number.
        if not commits or state.now_us - commits[-1].time_us >= HEARTBEAT_INTERVAL_US:
            commits.append(PastCommit(state.now_us, state.commit_index))
        while len(commits) > 1 and state.now_us - commits[1].time_us >= ELECTION_TIMEOUT_US:
            commits.popleft()

    def _earlier_commit_index(self) -> int:
        """Return the commit index one election time-out ago, or the current one if none is that old."""
        commits = self._past_commits
        is_old_enough = bool(commits) and self.state.now_us - commits[0].time_us >= ELECTION_TIMEOUT_US
        return commits[0].commit_index if is_old_enough else self.state.commit_index

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
        """Make all voters and all live learners followers, and drop the others."""
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
