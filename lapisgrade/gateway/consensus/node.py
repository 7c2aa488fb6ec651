"""One node of the consensus group: its roles, their transitions, and the interface for its driver.

A node is a state machine that does no I/O. Its driver (controller/consensus_driver) calls `tick` at
`next_tick_us`, passes in messages (`receive`) and completed writes (`on_write_durable`), and carries out
`take_effects()` after every call. Times are integer microseconds on the steady clock.

                 election time-out               majority of pre-votes
    FOLLOWER ----------------------> PRE-CANDIDATE ----------------------> CANDIDATE
     ^ ^  ^                             |      ^                             |   |
     | |  | a leader, or a later term   |      | election time-out           |   | majority of votes,
     | |  +-----------------------------+      +-----------------------------+   | on disk
     | |                                                                     |   v
     | +---------------------------------------------------------------------+  LEADER
     |             a leader of this term, or a later term                         |
     +----------------------------------------------------------------------------+
       a later term; no contact with a majority; its own removal is committed; step_down

In addition, TimeoutNow turns any node but a leader directly into a CANDIDATE (leadership transfer), and a
further time-out makes a pre-candidate start its next pre-vote. A node that is not a voter in its own log, or
that is stopping, starts no election.

Ownership of state:

    state.NodeState           term, vote, log, commit index, role, leader, and the effects to carry out
    election_timer            the deadline of the next election, with its random jitter
    voter.Voter               granting of votes; last contact with a leader; the restart guard
    election.Election         pre-votes and votes as a candidate; the tally
    follower.Follower         entries and snapshots from the leader; how far the logs agree
    replication.Replication   the followers' progress, commits and the leader's lease
    compaction.Compaction     when a snapshot replaces log entries
    reconfiguration           voter changes by the leader; the nodes that are leaving
    node.Node                 the transitions between roles

A node with an empty disk has no voters in its log, so it starts no election. It has a new identity, so no
candidate counts its vote until a leader has added it as a voter. A granted vote is sent only once it is
durable.
"""

from collections.abc import Sequence
from random import Random
from typing import Self

from lapisgrade.gateway.consensus import messages
from lapisgrade.gateway.consensus.compaction import Compaction
from lapisgrade.gateway.consensus.election import Election
from lapisgrade.gateway.consensus.election_timer import ElectionTimer
from lapisgrade.gateway.consensus.follower import Follower
from lapisgrade.gateway.consensus.log import ReplicatedLog
from lapisgrade.gateway.consensus.messages import Message, TimeoutNow
from lapisgrade.gateway.consensus.progress import FollowerProgress
from lapisgrade.gateway.consensus.reconfiguration import Reconfiguration
from lapisgrade.gateway.consensus.records import Effects, Record, SnapshotRecord
from lapisgrade.gateway.consensus.recovery import replay
from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.gateway.consensus.state import NodeState, Role
from lapisgrade.gateway.consensus.timing import HEARTBEAT_INTERVAL_US, LEADERSHIP_TRANSFER_US
from lapisgrade.gateway.consensus.voter import Voter


class Node:
    """One node of the consensus group; see the module docstring."""

    def __init__(
        self,
        identity: str,
        address: str,
        random: Random,
        now_us: int,
        voters: dict[str, str] | None = None,
    ) -> None:
        """Create a node with an empty disk.

        Args:
            identity: the name of its disk.
            address: address at which other nodes reach this one.
            random: source of the jitter of election time-outs.
            now_us: the time on the steady clock.
            voters: the initial voters (identity to address) when the system is bootstrapped; None for a node
                that joins a running system.
        """
        self.state = NodeState(identity, address, now_us, voters or {})
        self.timer = ElectionTimer(random, now_us)
        self.replication = Replication(self.state, self)
        self.reconfiguration = Reconfiguration(self.state, self.replication)
        self.compaction = Compaction(self.state, self.replication)
        self.voter = Voter(self.state, self.timer, self, self.replication.quorum_contact_us)
        self.election = Election(self.state, self.timer, self.voter, self)
        self.follower = Follower(self.state, self.timer, self.voter, self)
        self._transfer_deadline_us = 0  # when a stopping leader gives up waiting for a successor

    @classmethod
    def recover(
        cls,
        records: Sequence[Record],
        address: str,
        random: Random,
        now_us: int,
        started_us: int | None = None,
    ) -> Self:
        """Restore a node from the records on its disk.

        Args:
            records: one generation of the log; the first record is a SnapshotRecord.
            address: address at which other nodes reach this one.
            random: source of the jitter of election time-outs.
            now_us: the time on the steady clock.
            started_us: when this process started (the previous one had ended by then); None means `now_us`.
        """
        first = records[0]
        assert isinstance(first, SnapshotRecord)
        node = cls(first.identity, address, random, now_us)
        node.voter.guard_after_restart(now_us if started_us is None else started_us)
        node.timer.retry_soon(now_us)
        replay(node.state, first, records[1:])
        return node

    # ---- state for the driver

    @property
    def identity(self) -> str:
        """The name of the node's disk."""
        return self.state.identity

    @property
    def address(self) -> str:
        """Address at which other nodes reach this one."""
        return self.state.address

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def log(self) -> ReplicatedLog:
        """The replicated log; read-only for callers."""
        return self.state.log

    @property
    def commit_index(self) -> int:
        """The index of the last entry known to be committed."""
        return self.state.commit_index

    @property
    def voters(self) -> dict[str, str]:
        """The current voters, identity to address."""
        return self.state.voters

    @property
    def followers(self) -> dict[str, FollowerProgress]:
        """The followers' progress by identity; empty unless this node is the leader."""
        return self.replication.followers

    @property
    def is_leader(self) -> bool:
        """Whether the node is the leader of its term; a later term may already exist."""
        return self.state.is_leader

    @property
    def leader(self) -> str:
        """The identity of the leader; empty if unknown."""
        return self.state.leader

    @property
    def leader_address(self) -> str:
        """The address of the leader, or of a node that may know it; empty if unknown."""
        return self.state.leader_address

    @property
    def is_stopping(self) -> bool:
        """Whether the node is shutting down gracefully."""
        return self.state.is_stopping

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its term, and so knows all earlier commits."""
        return self.replication.has_committed_in_term

    def has_lease(self) -> bool:
        """Whether no other leader can have been elected, and all earlier commits are known."""
        return self.replication.has_lease()

    def needs_compaction(self, light_entries: int = 0) -> bool:
        """Whether a snapshot is due.

        Args:
            light_entries: number of committed entries since the last snapshot that are applied much faster
                than a configuration change; only the driver knows their content.
        """
        return self.compaction.is_due(light_entries)

    @property
    def next_tick_us(self) -> int:
        """When the driver calls `tick` next."""
        return self.replication.heartbeat_due_us if self.state.is_leader else self.timer.deadline_us

    def snapshot_record(self) -> SnapshotRecord:
        """The node's complete persistent state, as the first record of a new log generation."""
        return self.state.snapshot_record()

    # ---- calls of the driver

    def take_effects(self) -> Effects:
        """Return the effects collected since the last call, and clear them."""
        effects, self.state.effects = self.state.effects, Effects()
        return effects

    def advance_clock(self, now_us: int) -> None:
        """Advance the node's clock to `now_us`; it never runs backwards."""
        self.state.advance_clock(now_us)

    def propose(self, data: bytes, announces_commit: bool = True) -> tuple[int, int] | None:
        """Append a command to the log.

        Args:
            data: the encoded command.
            announces_commit: whether followers learn of its commit immediately, not with the next message.

        Returns:
            The index and term of the entry, or None if this node isn't the leader or is stopping.
        """
        if self.state.is_stopping:
            return None
        return self.replication.propose(data, announces_commit)

    def compact(self, snapshot: bytes) -> None:
        """Replace the entries up to `commit_index` by `snapshot`, the state machine's state after them."""
        self.compaction.compact(snapshot)

    def step_down(self) -> None:
        """Shut down gracefully: transfer leadership to a voter that has the complete log (thesis, 3.10).

        The node waits for entries in flight and accepts no further proposals.
        """
        state = self.state
        state.is_stopping = True
        self._transfer_deadline_us = state.now_us + LEADERSHIP_TRANSFER_US
        self._transfer_leadership()

    def _transfer_leadership(self) -> None:
        """Step down as a stopping leader once a voter has the complete log, or the transfer times out."""
        state = self.state
        if not (state.is_leader and state.is_stopping):
            return
        successors = self.replication.successors()
        if not successors and state.now_us < self._transfer_deadline_us:
            return
        self.become_follower(state.term)
        for name, address in successors[:1]:
            state.send(address, TimeoutNow(state.term, name))

    def tick(self, now_us: int) -> None:
        """Send a leader's heartbeat or start an election, if due."""
        state = self.state
        state.advance_clock(now_us)
        if not state.is_leader:
            if self.timer.is_due(state.now_us):
                self.election.on_timeout()
        elif state.now_us >= self.replication.heartbeat_due_us:
            self._on_heartbeat_due()

    def _on_heartbeat_due(self) -> None:
        if self.replication.has_lost_quorum():
            self.become_follower(self.state.term)
            return
        self.replication.heartbeat_due_us = self.state.now_us + HEARTBEAT_INTERVAL_US
        self._transfer_leadership()
        self.reconfiguration.change_voters()
        self.replication.send_to_all(heartbeat=True)

    def on_write_durable(self, now_us: int, last_index: int, last_term: int) -> None:
        """Handle a completed write: the log is durable up to the entry `last_index`, of term `last_term`."""
        state = self.state
        state.advance_clock(now_us)
        if last_index <= state.log.snapshot_index or state.log.term_at(last_index) == last_term:
            state.durable_index = max(state.durable_index, min(last_index, state.log.last_index))
        if state.is_leader:
            self.replication.advance_commit()
        else:
            self.follower.on_write_durable()

    def receive(self, now_us: int, message: Message) -> None:
        """Handle a message from another node, or from this node to itself."""
        self.state.advance_clock(now_us)
        match message:
            case messages.RequestVote():
                self.voter.on_request_vote(message)
            case messages.RequestVoteReply():
                self.election.on_vote_reply(message)
            case messages.AppendEntries():
                self.follower.on_append_entries(message)
            case messages.AppendEntriesReply():
                self.replication.on_append_reply(message)
                self._transfer_leadership()
            case messages.InstallSnapshot():
                self.follower.on_install_snapshot(message)
            case messages.InstallSnapshotReply():
                self.replication.on_snapshot_reply(message)
            case _:
                self._receive_administrative(message)

    def _receive_administrative(
        self,
        message: messages.JoinRequest | messages.LeaveRequest | messages.LeaderHint | TimeoutNow,
    ) -> None:
        match message:
            case messages.JoinRequest():
                self.reconfiguration.on_join(message)
            case messages.LeaveRequest():
                self.reconfiguration.on_leave(message)
            case messages.LeaderHint():
                self.follower.on_leader_hint(message)
            case TimeoutNow():
                self.election.on_timeout_now(message)

    # ---- transitions

    def become_follower(self, term: int, leader: str = "", leader_address: str = "") -> None:
        """Become a follower in `term`; `leader` is empty if unknown."""
        state = self.state
        state.raise_term(term)
        if state.role is not Role.FOLLOWER:
            self.timer.restart(state.now_us)
        state.role = Role.FOLLOWER
        if leader != state.leader:
            self.follower.on_new_leader()
        state.leader = leader
        state.leader_address = leader_address
        self.replication.stop()

    def become_leader(self) -> None:
        """Become the leader of the current term."""
        state = self.state
        state.role = Role.LEADER
        state.leader = state.identity
        state.leader_address = state.address
        self.reconfiguration.start()
        self.replication.start()
