"""The follower's part of replication: entries and snapshots from the leader (thesis, 3.5 and 5.3).

A follower acknowledges only entries that are durable on its disk and match the leader's log; it acknowledges
the others once they are written.
"""

from lapisgrade.gateway.consensus.election_timer import ElectionTimer
from lapisgrade.gateway.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    LeaderHint,
)
from lapisgrade.gateway.consensus.snapshots import SnapshotAssembly
from lapisgrade.gateway.consensus.state import NodeState, Role, RoleTransitions
from lapisgrade.gateway.consensus.voter import Voter


class Follower:
    """Appends the leader's entries and installs its snapshots.

    Owns the index up to which the logs agree, the pending acknowledgment, and the chunks of a snapshot.
    """

    def __init__(
        self, state: NodeState, timer: ElectionTimer, voter: Voter, transitions: RoleTransitions
    ) -> None:
        """Create the follower's part of a node.

        Args:
            state: the node's state.
            timer: restarted at each message from the leader.
            voter: notified of leader contact, during which it grants no vote.
            transitions: called when a message from a new leader arrives.
        """
        self.state = state
        self._timer = timer
        self._voter = voter
        self._transitions = transitions
        self.agreed_index = 0  # index of the last entry known to match the leader's log
        self._unacknowledged: AppendEntries | None = None  # newest message with entries that aren't durable
        self._assembly = SnapshotAssembly()

    def on_new_leader(self) -> None:
        """Reset the agreed index: nothing is known about the log of another leader."""
        self.agreed_index = 0
        self._unacknowledged = None

    def on_write_durable(self) -> None:
        """Acknowledge entries that have become durable."""
        message = self._unacknowledged
        if self.state.durable_index >= self.agreed_index:
            self._unacknowledged = None
        if message is not None:
            self.acknowledge(message)

    def on_append_entries(self, message: AppendEntries) -> None:
        """Append the leader's entries, replacing conflicting ones, and advance the commit index."""
        state, log = self.state, self.state.log
        if not self._follow_sender(message):
            if message.follower == state.identity:
                self._reject(message, log.last_index)  # the reply carries the newer term
            return
        previous = message.prev_log_index
        if not self._is_consecutive(message):
            return
        if previous >= log.snapshot_index and log.term_at(previous) != message.prev_log_term:
            # All logs agree up to the commit index, so the leader can retry from there.
            self._reject(message, log.last_index if previous > log.last_index else state.commit_index)
            return
        self._append_missing(message)
        self.agreed_index = max(self.agreed_index, previous + len(message.entries), state.commit_index)
        state.commit_up_to(min(message.leader_commit, self.agreed_index))
        self.acknowledge(message)
        if state.durable_index < self.agreed_index:
            self._unacknowledged = message

    def on_install_snapshot(self, message: InstallSnapshot) -> None:
        """Store a chunk of the leader's snapshot; install the snapshot once it is complete."""
        if not self._follow_sender(message):
            return
        state = self.state
        if message.last_index <= state.commit_index:
            # The log already contains these entries; the reply lets the leader continue with later ones.
            self.agreed_index = max(self.agreed_index, state.commit_index)
            self._acknowledge_snapshot(message)
            return
        snapshot = self._assembly.add(message)
        if snapshot is None:
            self._request_next_chunk(message)
            return
        self._assembly.clear()
        self._install(message, snapshot)
        self._acknowledge_snapshot(message)

    def on_leader_hint(self, hint: LeaderHint) -> None:
        """Store the address of a possible leader while none is known."""
        state = self.state
        if hint.term >= state.term and not state.leader:
            state.leader_address = hint.address

    def acknowledge(self, message: AppendEntries) -> None:
        """Reply up to which index the durable log matches the leader's, if the sender is still the leader."""
        state = self.state
        if message.term != state.term or message.leader != state.leader:
            return
        match_index = min(state.durable_index, self.agreed_index)
        self._reply(message, True, match_index)

    def _follow_sender(self, message: AppendEntries | InstallSnapshot) -> bool:
        """Follow the message's leader; return False if its term is earlier or it is for another node."""
        state = self.state
        if message.follower != state.identity or message.term < state.term:
            return False
        is_followed = state.role is Role.FOLLOWER and state.leader == message.leader
        if message.term > state.term or not is_followed:
            self._transitions.become_follower(message.term, message.leader, message.address)
        state.leader_address = message.address
        self._voter.on_leader_contact()
        self._timer.restart(state.now_us)
        return True

    @staticmethod
    def _is_consecutive(message: AppendEntries) -> bool:
        """Whether the entries are contiguous, as any leader's are."""
        first = message.prev_log_index + 1
        expected = list(range(first, first + len(message.entries)))
        return [entry.index for entry in message.entries] == expected

    def _append_missing(self, message: AppendEntries) -> None:
        """Append the entries that are missing or have another term; a late message removes nothing."""
        state, log = self.state, self.state.log
        missing = [
            entry
            for entry in message.entries
            if entry.index > log.snapshot_index and log.term_at(entry.index) != entry.term
        ]
        if missing:
            last_kept_index = missing[0].index - 1
            state.durable_index = min(state.durable_index, last_kept_index)
            self.agreed_index = min(self.agreed_index, last_kept_index)
            state.append(missing)

    def _install(self, message: InstallSnapshot, snapshot: bytes) -> None:
        state = self.state
        state.log.install(message.last_index, message.last_term, message.voters, snapshot)
        state.commit_index = message.last_index
        self.agreed_index = message.last_index
        state.durable_index = 0
        state.effects.committed = []
        state.effects.snapshot = snapshot
        state.write([state.snapshot_record()])

    def _reject(self, message: AppendEntries, index: int) -> None:
        """Reply that the logs don't match; the leader retries from the entry after `index`."""
        self._reply(message, False, index)

    def _reply(self, message: AppendEntries, success: bool, match_index: int) -> None:
        state = self.state
        reply = AppendEntriesReply(
            state.term, state.identity, state.address, success, match_index, message.sent_us
        )
        state.send(message.address, reply)

    def _request_next_chunk(self, message: InstallSnapshot) -> None:
        state = self.state
        reply = InstallSnapshotReply(
            state.term,
            state.identity,
            state.address,
            message.last_index,
            len(self._assembly.data),
            message.sent_us,
        )
        state.send(message.address, reply)

    def _acknowledge_snapshot(self, message: InstallSnapshot) -> None:
        """Acknowledge the entries that the snapshot covers, now or once they are durable.

        The acknowledgment is the reply to a heartbeat that would follow these entries.
        """
        heartbeat = AppendEntries(
            message.term,
            message.leader,
            message.address,
            self.state.identity,
            message.last_index,
            message.last_term,
            message.last_index,
            message.sent_us,
        )
        if self.state.durable_index < message.last_index:
            self._unacknowledged = heartbeat
        else:
            self.acknowledge(heartbeat)
