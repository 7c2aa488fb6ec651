"""The follower's part of replication: entries and snapshots from the leader (thesis, 3.5 and 5.3).

What is acknowledged is on this disk and agrees with the leader's log; the rest is acknowledged once it is
written.
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
    """Takes the leader's entries and snapshots.

    Owns how far the logs agree, what isn't acknowledged yet, and the chunks of a snapshot.
    """

    def __init__(
        self, state: NodeState, timer: ElectionTimer, voter: Voter, transitions: RoleTransitions
    ) -> None:
        """Make the following part of a node.

        Args:
            state: the node's state.
            timer: restarted at each message of the leader.
            voter: grants no vote while it has contact with the leader.
            transitions: used when a leader of a later term is heard from.
        """
        self.state = state
        self._timer = timer
        self._voter = voter
        self._transitions = transitions
        self.agreed_index = 0  # of the last entry that is known to be in the leader's log too
        self._unacknowledged: AppendEntries | None = None  # to be acknowledged once more is on disk
        self._assembly = SnapshotAssembly()

    def on_new_leader(self) -> None:
        """Nothing is known of the log of another leader."""
        self.agreed_index = 0
        self._unacknowledged = None

    def on_write_durable(self) -> None:
        """Acknowledge what waited for the disk."""
        message = self._unacknowledged
        if self.state.durable_index >= self.agreed_index:
            self._unacknowledged = None
        if message is not None:
            self.acknowledge(message)

    def on_append_entries(self, message: AppendEntries) -> None:
        """Append the leader's entries in place of those that disagree, and commit what it has committed."""
        state, log = self.state, self.state.log
        if not self._accepts_leader(message):
            if message.follower == state.identity:
                self._reject(message, log.last_index)  # the reply has the newer term
            return
        previous = message.prev_log_index
        if not self._is_consecutive(message):
            return
        if previous >= log.snapshot_index and log.term_at(previous) != message.prev_log_term:
            # Up to the commit index all logs agree; the leader tries again from there.
            self._reject(message, log.last_index if previous > log.last_index else state.commit_index)
            return
        self._append_missing(message)
        self.agreed_index = max(self.agreed_index, previous + len(message.entries), state.commit_index)
        state.commit_up_to(min(message.leader_commit, self.agreed_index))
        self.acknowledge(message)
        if state.durable_index < self.agreed_index:
            self._unacknowledged = message

    def on_install_snapshot(self, message: InstallSnapshot) -> None:
        """Take one chunk of the leader's snapshot, and install the snapshot with the last one."""
        if not self._accepts_leader(message):
            return
        state = self.state
        if message.last_index <= state.commit_index:
            # The log has all of that; the reply lets the leader go on with entries.
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
        """Remember where a leader may be found, while none is known."""
        state = self.state
        if hint.term >= state.term and not state.leader:
            state.leader_address = hint.address

    def acknowledge(self, message: AppendEntries) -> None:
        """Reply how much of the leader's log is on this disk, if it still is the leader."""
        state = self.state
        if message.term != state.term or message.leader != state.leader:
            return
        match_index = min(state.durable_index, self.agreed_index)
        self._reply(message, True, match_index)

    def _accepts_leader(self, message: AppendEntries | InstallSnapshot) -> bool:
        """Follow the message's leader; False where it is of an earlier term or for another node."""
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
        """Whether the entries follow one another, as a leader's do."""
        first = message.prev_log_index + 1
        expected = list(range(first, first + len(message.entries)))
        return [each.index for each in message.entries] == expected

    def _append_missing(self, message: AppendEntries) -> None:
        """Append what the log lacks or has of another term (a late message takes nothing away)."""
        state, log = self.state, self.state.log
        missing = [
            each
            for each in message.entries
            if each.index > log.snapshot_index and log.term_at(each.index) != each.term
        ]
        if missing:
            before = missing[0].index - 1
            state.durable_index = min(state.durable_index, before)
            self.agreed_index = min(self.agreed_index, before)
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
        """Reply that the logs disagree; the leader tries from the entry after `index`."""
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
        """Acknowledge the entries that the snapshot stands for, now or once they are on disk."""
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
