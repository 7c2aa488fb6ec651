"""One node of the consensus group: pure. The shell around it calls `tick` at `next_tick_us`, hands it
messages and completed writes, and carries out `effects` after every call.

A node with an empty disk has no voters in its log, so it doesn't stand, and an identity of its own, so its
vote counts for nobody until a leader has let it in. What a voter says waits until it is on its disk. Times
are whole microseconds on the steady clock.
"""

from random import Random

from lapisgrade.gateway.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    InstallSnapshotReply,
    JoinRequest,
    LeaderHint,
    LeaveRequest,
    Message,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from lapisgrade.gateway.consensus.records import EntriesRecord, HardState, Record
from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.gateway.consensus.state import (
    ELECTION_TIMEOUT_US,
    HEARTBEAT_INTERVAL_US,
    LEASE_US,
    RESTART_GUARD_US,
    Role,
)

MAX_LOG_ENTRIES = 128  # entries, and
MAX_LOG_BYTES = 2 * 1024 * 1024  # bytes, after which a snapshot takes their place
TRANSFER_LOG_FACTOR = 4  # times as much is kept while a follower reads a snapshot


class Node(Replication):
    """See the module."""

    @classmethod
    def recover(
        cls,
        records: list[Record],
        address: str,
        random: Random,
        now_us: int,
        started_us: int | None = None,
    ) -> "Node":
        """A node as its disk tells it; the first record is a SnapshotRecord. What was read may not be synced:
        nothing of it counts as on this disk before the shell has written it anew. `started_us` is when the
        process began, which can't be before its earlier life ended."""
        first = records[0]
        node = cls(first.identity, address, random, now_us)
        node.term, node.voted_for, node.commit_index = first.term, first.voted, first.base
        node.log.install(first.base, first.base_term, first.voters, first.state)
        node.log.append(first.entries)
        committed = first.commit
        for record in records[1:]:
            if isinstance(record, HardState):
                node.term, node.voted_for = record.term, record.voted
            elif isinstance(record, EntriesRecord):
                node.log.append(record.entries)
                committed = max(committed, record.commit)
        # A leader may hold a lease on what the earlier life said.
        node._lease_guard_until_us = (now_us if started_us is None else started_us) + RESTART_GUARD_US
        node._election_deadline_us = node._soon()
        if node.log.snapshot_state:
            node.effects.snapshot = node.log.snapshot_state
        node._commit_up_to(committed)
        return node

    # ---- what the shell asks

    @property
    def has_committed_in_term(self) -> bool:
        """Whether it leads, and all that was committed before is known here."""
        return self.is_leader and self.commit_index >= self._first_index

    def has_lease(self) -> bool:
        """Whether no other can have been elected yet, and all that was acknowledged before is known here."""
        return self.has_committed_in_term and self.now_us - self._quorum_us() <= LEASE_US

    def propose(self, data: bytes) -> tuple[int, int] | None:
        """Put a change into the log; its index and term, or None where this isn't the leader."""
        if not self.is_leader:
            return None
        entry = Entry(self.log.last_index + 1, self.term, data)
        self._extend([entry])
        self._send_to_all()
        self._advance_commit()
        return entry.index, entry.term

    @property
    def needs_compaction(self) -> bool:
        """Whether it is time for a snapshot."""
        if self.commit_index == self.log.snapshot_index:
            return False
        times = TRANSFER_LOG_FACTOR if self.is_leader and self.transferring else 1
        entries, size = self.commit_index - self.log.snapshot_index, self.log.size
        return entries > MAX_LOG_ENTRIES * times or size > MAX_LOG_BYTES * times

    def compact(self, state: bytes) -> None:
        """Take the shell's snapshot of all entries up to `commit` in their place."""
        self.log.compact(self.commit_index, state)
        self._write([self.snapshot_record()])

    def step_down(self) -> None:
        """Shut down in order: hand over to a voter that has all of the log, where there is one."""
        self.is_stopping = True
        if not self.is_leader:
            return
        heirs = [
            (each.address, TimeoutNow(self.term, name))
            for name, each in self.followers.items()
            if name in self.voters
            and each.match_index == self.log.last_index
            and self.now_us - each.last_contact_us < ELECTION_TIMEOUT_US
        ]
        self._follow(self.term)
        self.effects.sends += heirs[:1]

    # ---- events

    @property
    def next_tick_us(self) -> int:
        return self._heartbeat_due_us if self.is_leader else self._election_deadline_us

    def advance_clock(self, now_us: int) -> None:
        """Bring the node's clock up to the shell's; it never runs backwards."""
        self.now_us = max(self.now_us, now_us)

    def tick(self, now_us: int) -> None:
        self.advance_clock(now_us)
        if self.is_leader:
            self._tick_leader()
        elif self.now_us >= self._election_deadline_us:
            self._postpone_election()
            if self.now_us < self._lease_guard_until_us:
                # Others may be about to listen: all that were killed together are soon back together.
                self._election_deadline_us = self._soon()
            if self.identity in self.voters and not self.is_stopping:
                self._start_pre_vote()
            else:
                self.leader = self.leader_address = ""  # it is looked for anew, wherever it is now

    def _tick_leader(self) -> None:
        if self.now_us < self._heartbeat_due_us:
            return
        if len(self.voters) > 1 and self.now_us - self._quorum_us() > ELECTION_TIMEOUT_US:
            self._follow(self.term)  # nobody hears it, or it hears nobody
            return
        self._heartbeat_due_us = self.now_us + HEARTBEAT_INTERVAL_US
        self._change_voters()
        self._send_to_all(heartbeat=True)

    def on_write_durable(self, now_us: int, last_index: int, last_term: int) -> None:
        """Everything up to that entry is on this disk."""
        self.advance_clock(now_us)
        if last_index <= self.log.snapshot_index or self.log.term_at(last_index) == last_term:
            self.durable_index = max(self.durable_index, min(last_index, self.log.last_index))
        if self.is_leader:
            self._advance_commit()
        elif self._unanswered is not None:
            message, self._unanswered = self._unanswered, None
            self._acknowledge(message)

    def receive(self, now_us: int, message: Message) -> None:
        self.advance_clock(now_us)
        match message:
            case RequestVote():
                self._on_request_vote(message)
            case RequestVoteReply():
                self._on_vote_reply(message)
            case AppendEntries():
                self._on_append(message)
            case AppendEntriesReply():
                self._on_append_reply(message)
            case InstallSnapshot():
                self._on_snapshot(message)
            case InstallSnapshotReply():
                self._on_snapshot_reply(message)
            case JoinRequest():
                self._on_join(message)
            case LeaderHint():
                if message.term >= self.term and not self.leader:
                    self.leader_address = message.address
            case TimeoutNow():
                self._on_timeout_now(message)
            case LeaveRequest():
                if self.is_leader:
                    self._leaving.add(message.node)
                    self._change_voters()

    # ---- the follower's part

    def _hear_leader(self, message: AppendEntries | InstallSnapshot) -> bool:
        """Follow the leader of the message; False where it is of an earlier term or for another node."""
        if message.to != self.identity or message.term < self.term:
            return False
        if message.term > self.term or self.role is not Role.FOLLOWER or self.leader != message.leader:
            self._follow(message.term, message.leader, message.address)
        self.leader_address, self._last_leader_contact_us = message.address, self.now_us
        self._postpone_election()
        return True

    def _on_append(self, message: AppendEntries) -> None:
        if not self._hear_leader(message):
            if message.to == self.identity:
                self._refuse(message, self.log.last_index)  # tells the term
            return
        previous, log = message.prev_index, self.log
        expected = list(range(previous + 1, previous + 1 + len(message.entries)))
        if [each.index for each in message.entries] != expected:
            return  # not a leader's words
        if previous >= log.snapshot_index and log.term_at(previous) != message.prev_term:
            # Up to the commit all logs agree; past it the leader tries from there.
            self._refuse(message, log.last_index if previous > log.last_index else self.commit_index)
            return
        fresh = [
            each
            for each in message.entries
            if each.index > log.snapshot_index and log.term_at(each.index) != each.term
        ]
        if fresh:
            self.durable_index = min(self.durable_index, fresh[0].index - 1)
            self.agreed_index = min(self.agreed_index, fresh[0].index - 1)
            self._extend(fresh)
        self.agreed_index = max(self.agreed_index, previous + len(message.entries), self.commit_index)
        self._commit_up_to(min(message.commit, self.agreed_index))
        self._acknowledge(message)
        if self.durable_index < self.agreed_index:
            self._unanswered = message

    def _refuse(self, message: AppendEntries, index: int) -> None:
        reply = AppendEntriesReply(self.term, self.identity, self.address, False, index, message.sent_us)
        self._send(message.address, reply)

    def _acknowledge(self, message: AppendEntries) -> None:
        if message.term != self.term or message.leader != self.leader:
            return
        match = min(self.durable_index, self.agreed_index)
        reply = AppendEntriesReply(self.term, self.identity, self.address, True, match, message.sent_us)
        self._send(message.address, reply)

    def _on_snapshot(self, message: InstallSnapshot) -> None:
        if not self._hear_leader(message):
            return
        if message.index <= self.commit_index:
            # It has all of that on record; the reply tells the leader to go on with entries.
            self.agreed_index = max(self.agreed_index, self.commit_index)
            self._answer_installed(message)
            return
        state = self._assembly.take(message)
        if state is None:
            reply = InstallSnapshotReply(
                self.term,
                self.identity,
                self.address,
                message.index,
                len(self._assembly.data),
                message.sent_us,
            )
            self._send(message.address, reply)
            return
        self._assembly.clear()
        self.log.install(message.index, message.index_term, message.voters, state)
        self.commit_index = self.agreed_index = message.index
        self.durable_index = 0
        self.effects.committed, self.effects.snapshot = [], state
        self._write([self.snapshot_record()])
        self._answer_installed(message)

    def _answer_installed(self, message: InstallSnapshot) -> None:
        """Acknowledge the entries that the snapshot stands for, now or once they are on disk."""
        heartbeat = AppendEntries(
            message.term,
            message.leader,
            message.address,
            self.identity,
            message.index,
            message.index_term,
            message.index,
            message.sent_us,
        )
        if self.durable_index < message.index:
            self._unanswered = heartbeat
        else:
            self._acknowledge(heartbeat)
