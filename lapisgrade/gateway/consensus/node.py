"""One node of the consensus group: the roles, their transitions, and what the shell around it calls.

Idea: a node is a state machine that does no input or output. The shell calls `tick` at `next_tick_us`, hands
it messages (`receive`) and completed writes (`on_write_durable`), and carries out `take_effects()` after
every call. Times are whole microseconds on the steady clock.

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

Besides, TimeoutNow takes any role but the leader's straight to CANDIDATE (leadership transfer), and a further
time-out takes a pre-candidate to its next pre-vote. A node that is no voter by its own log, or that is
stopping, starts no election.

Who owns what:

    state.NodeState           term, vote, log, commit index, role, leader, and the effects to carry out
    election_timer            when the next election is due, and its random part
    voter.Voter               where a vote is granted; last contact with a leader; the guard after a restart
    election.Election         pre-vote and vote as a candidate; the tally
    follower.Follower         entries and snapshots from the leader; how far the logs agree
    replication.Replication   the followers' progress, commits and the lease of a leader
    compaction.Compaction     when a snapshot takes the place of the log's entries
    reconfiguration           changes of voters by a leader; who is leaving
    node.Node                 the transitions between roles

A node with an empty disk has no voters in its log, so it starts no election, and an identity of its own, so
its vote counts for nobody until a leader has taken it in. What a voter replies waits until it is on its disk.
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
    """One node of the consensus group; see the module."""

    def __init__(
        self,
        identity: str,
        address: str,
        random: Random,
        now_us: int,
        voters: dict[str, str] | None = None,
    ) -> None:
        """Make a node with an empty disk.

        Args:
            identity: the name of its disk.
            address: where other nodes send their messages to.
            random: for the random part of election time-outs.
            now_us: the time on the steady clock.
            voters: identity to address of the first voters of all, where the whole system starts for the
                first time; a node that joins a running system has none.
        """
        self.state = NodeState(identity, address, now_us, voters or {})
        self.timer = ElectionTimer(random, now_us)
        self.replication = Replication(self.state, self)
        self.reconfiguration = Reconfiguration(self.state, self.replication)
        self.compaction = Compaction(self.state, self.replication)
        self.voter = Voter(self.state, self.timer, self, self.replication.quorum_contact_us)
        self.election = Election(self.state, self.timer, self.voter, self)
        self.follower = Follower(self.state, self.timer, self.voter, self)
        self._transfer_ends_us = 0  # when a leader that shuts down waits for a successor no longer

    @classmethod
    def recover(
        cls,
        records: Sequence[Record],
        address: str,
        random: Random,
        now_us: int,
        started_us: int | None = None,
    ) -> Self:
        """Make a node of what is on its disk.

        Args:
            records: a generation of the log's file, which begins with a SnapshotRecord.
            address: as for a node with an empty disk, like the next two.
            random: for the random part of election time-outs.
            now_us: the time on the steady clock.
            started_us: when this process began, and the one before it had ended; now, where that isn't known.
        """
        first = records[0]
        assert isinstance(first, SnapshotRecord)
        node = cls(first.identity, address, random, now_us)
        node.voter.guard_after_restart(now_us if started_us is None else started_us)
        node.timer.retry_soon(now_us)
        replay(node.state, first, records[1:])
        return node

    # ---- what the shell reads

    @property
    def identity(self) -> str:
        """The name of the node's disk."""
        return self.state.identity

    @property
    def address(self) -> str:
        """Where other nodes send their messages to."""
        return self.state.address

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def log(self) -> ReplicatedLog:
        """The replicated log, to be read only."""
        return self.state.log

    @property
    def commit_index(self) -> int:
        """The index of the last entry that is known to be committed."""
        return self.state.commit_index

    @property
    def voters(self) -> dict[str, str]:
        """Identity to address of the voters in force."""
        return self.state.voters

    @property
    def followers(self) -> dict[str, FollowerProgress]:
        """The progress of the followers by identity; empty unless this node is the leader."""
        return self.replication.followers

    @property
    def is_leader(self) -> bool:
        """Whether the node is the leader of its term; it may not know of a later one."""
        return self.state.is_leader

    @property
    def leader(self) -> str:
        """The identity of the leader, empty where none is known."""
        return self.state.leader

    @property
    def leader_address(self) -> str:
        """The address of the leader, or of a node that may know it; empty for none."""
        return self.state.leader_address

    @property
    def is_stopping(self) -> bool:
        """Whether the node shuts down in order."""
        return self.state.is_stopping

    @property
    def has_committed_in_term(self) -> bool:
        """Whether it is the leader, and all that was committed before is known here."""
        return self.replication.has_committed_in_term

    def has_lease(self) -> bool:
        """Whether no other leader can have been elected yet, and all that was committed before is known."""
        return self.replication.has_lease()

    def needs_compaction(self, light_entries: int = 0) -> bool:
        """Whether it is time for a snapshot.

        Args:
            light_entries: how many of the committed entries after the last snapshot are applied much faster
                than a change of the configuration; the shell knows what they mean.
        """
        return self.compaction.is_due(light_entries)

    @property
    def next_tick_us(self) -> int:
        """When `tick` is to be called next."""
        return self.replication.heartbeat_due_us if self.state.is_leader else self.timer.deadline_us

    def snapshot_record(self) -> SnapshotRecord:
        """All that the node has to remember, as the first record of a new generation."""
        return self.state.snapshot_record()

    # ---- what the shell calls

    def take_effects(self) -> Effects:
        """Return what is to be carried out since the last call."""
        effects, self.state.effects = self.state.effects, Effects()
        return effects

    def advance_clock(self, now_us: int) -> None:
        """Bring the node's clock up to the shell's; it never runs backwards."""
        self.state.advance_clock(now_us)

    def propose(self, data: bytes, announces_commit: bool = True) -> tuple[int, int] | None:
        """Put a command into the log; returns its index and term.

        Returns None where this isn't the leader, or is one that shuts down. Followers are told at once that
        it is committed if it `announces_commit`, else with the next message.
        """
        if self.state.is_stopping:
            return None
        return self.replication.propose(data, announces_commit)

    def compact(self, snapshot: bytes) -> None:
        """Take the state machine's state after all entries up to `commit_index` in their place."""
        self.compaction.compact(snapshot)

    def step_down(self) -> None:
        """Shut down in order: transfer leadership to a voter that has all of the log (thesis, 3.10).

        Entries in flight are waited for; nothing more is proposed meanwhile.
        """
        state = self.state
        state.is_stopping = True
        self._transfer_ends_us = state.now_us + LEADERSHIP_TRANSFER_US
        self._transfer_leadership()

    def _transfer_leadership(self) -> None:
        """Step down once a voter has all of the log, or when the time for it is over."""
        state = self.state
        if not (state.is_leader and state.is_stopping):
            return
        successors = self.replication.successors()
        if not successors and state.now_us < self._transfer_ends_us:
            return
        self.become_follower(state.term)
        for name, address in successors[:1]:
            state.send(address, TimeoutNow(state.term, name))

    def tick(self, now_us: int) -> None:
        """Do what is due: a leader's heartbeat, or an election."""
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
        """Everything up to that entry is on this disk."""
        state = self.state
        state.advance_clock(now_us)
        if last_index <= state.log.snapshot_index or state.log.term_at(last_index) == last_term:
            state.durable_index = max(state.durable_index, min(last_index, state.log.last_index))
        if state.is_leader:
            self.replication.advance_commit()
        else:
            self.follower.on_write_durable()

    def receive(self, now_us: int, message: Message) -> None:
        """Take in a message of another node, or of the node to itself."""
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
        """Follow in that term, with a leader where one is known."""
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
        """Lead in the current term."""
        state = self.state
        state.role = Role.LEADER
        state.leader = state.identity
        state.leader_address = state.address
        self.reconfiguration.start()
        self.replication.start()
