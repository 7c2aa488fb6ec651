"""The leader's part of replication: sending entries and snapshots, commits, and the lease.

Sources: thesis, 3.5 and 3.6.2 (commit), 5.3 (snapshots), 6.2 (check-quorum), 6.4.1 (lease).
"""

from lapisgrade.gateway.consensus.membership import UNRESPONSIVE_AFTER_US
from lapisgrade.gateway.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    InstallSnapshotReply,
)
from lapisgrade.gateway.consensus.progress import FollowerProgress
from lapisgrade.gateway.consensus.snapshots import Snapshot, SnapshotTransfer
from lapisgrade.gateway.consensus.state import NodeState, RoleTransitions
from lapisgrade.gateway.consensus.timing import ELECTION_TIMEOUT_US, HEARTBEAT_INTERVAL_US, LEASE_US

MAX_APPEND_BYTES = 256 * 1024
"""Size limit of the entries in one message; the entry that exceeds it is still included, as the last one."""

MAX_ENTRY_BYTES = 12 * 1024 * 1024
"""Size limit of an entry's data: with `MAX_APPEND_BYTES` of other entries it fits into one RPC frame."""

RETRANSMIT_AFTER_US = 300_000
"""Time after which unacknowledged entries or chunks are sent again."""


class Replication:
    """Replicates the leader's log; owns the followers' progress and the index of the leader's first entry."""

    def __init__(self, state: NodeState, transitions: RoleTransitions) -> None:
        """Create the leader's part of a node.

        Args:
            state: the node's state.
            transitions: called when a later term is seen, or when the leader has committed its own removal.
        """
        self.state = state
        self._transitions = transitions
        # Voters and learners by identity; empty unless this node is the leader.
        self.followers: dict[str, FollowerProgress] = {}
        self.first_index = 0  # index of the leader's first entry in its term
        self._announced_index = 0  # newest entry whose commit is announced to followers immediately
        self.heartbeat_due_us = 0

    # ---- start and end of leadership

    def start(self) -> None:
        """Start leading: append an entry of this term, which also commits earlier ones (thesis, 3.6.2)."""
        state = self.state
        self.followers = {
            name: FollowerProgress(
                address, 0, state.now_us, next_index=state.log.last_index + 1, acked_us=state.now_us
            )
            for name, address in state.voters.items()
            if name != state.identity
        }
        # The entry contains the voters because a joining node learns them only from the log.
        state.append([Entry(state.log.last_index + 1, state.term, b"", dict(state.voters))])
        self.first_index = state.log.last_index
        self._announced_index = state.log.last_index
        self.heartbeat_due_us = state.now_us + HEARTBEAT_INTERVAL_US
        self.send_to_all(heartbeat=True)
        self.advance_commit()

    def stop(self) -> None:
        """Stop leading."""
        self.followers = {}

    def successors(self) -> list[tuple[str, str]]:
        """Identity and address of responsive voters with the complete log, for a transfer (thesis, 3.10)."""
        state = self.state
        return [
            (name, follower.address)
            for name, follower in self.followers.items()
            if name in state.voters
            and follower.match_index == state.log.last_index
            and state.now_us - follower.last_contact_us < ELECTION_TIMEOUT_US
        ]

    # ---- lease

    def quorum_contact_us(self) -> int:
        """When the newest message acknowledged by a majority of the voters was sent, by this node's clock."""
        state = self.state
        acked_times_us = [self.followers[name].acked_us for name in state.voters if name in self.followers]
        if state.identity in state.voters:
            acked_times_us.append(state.now_us)
        acked_times_us.sort(reverse=True)
        majority = len(state.voters) // 2
        return acked_times_us[majority] if majority < len(acked_times_us) else -ELECTION_TIMEOUT_US

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of this leader's term is committed; all earlier commits are known from then on."""
        return self.state.is_leader and self.state.commit_index >= self.first_index

    def has_lease(self) -> bool:
        """Whether no other leader can have been elected, and all earlier commits are known."""
        return self.has_committed_in_term and self.state.now_us - self.quorum_contact_us() <= LEASE_US

    def has_lost_quorum(self) -> bool:
        """Whether the leader has lost contact with a majority for an election time-out (thesis, 6.2)."""
        state = self.state
        return len(state.voters) > 1 and state.now_us - self.quorum_contact_us() > ELECTION_TIMEOUT_US

    # ---- messages to followers

    def propose(self, data: bytes, announces_commit: bool = True) -> tuple[int, int] | None:
        """Append a command and replicate it.

        Args:
            data: the encoded command.
            announces_commit: whether followers learn of its commit immediately, not with the next message.

        Returns:
            The index and term of the entry, or None if this node isn't the leader.
        """
        state = self.state
        if not state.is_leader:
            return None
        entry = Entry(state.log.last_index + 1, state.term, data)
        state.append([entry])
        if announces_commit:
            self.announce_commit_of(entry.index)
        self.send_to_all()
        self.advance_commit()
        return entry.index, entry.term

    def announce_commit_of(self, index: int) -> None:
        """Announce the commit of that entry to the followers immediately when it happens."""
        self._announced_index = max(self._announced_index, index)

    def send_to_all(self, heartbeat: bool = False) -> None:
        """Send each follower the entries or the snapshot chunk that it is missing."""
        for name in self.followers:
            self.send_to(name, heartbeat)

    def send_to(self, name: str, heartbeat: bool = False) -> None:
        """Send a follower one message with what it is missing; with `heartbeat`, at least an empty one."""
        state, follower = self.state, self.followers[name]
        has_unacknowledged = follower.sent_index > follower.match_index
        if has_unacknowledged and state.now_us - follower.sent_us > RETRANSMIT_AFTER_US:
            follower.next_index = follower.match_index + 1  # the entries sent may be lost
        if follower.next_index <= state.log.snapshot_index or follower.transfer is not None:
            self._send_chunk(name, follower)
            if heartbeat:
                # The reply renews the lease while a snapshot is being sent.
                self._send_entries(name, follower, state.log.last_index, [])
            return
        entries = self._next_entries(follower)
        if entries or heartbeat:
            self._send_entries(name, follower, follower.next_index - 1, entries)
        if entries:
            follower.next_index = entries[-1].index + 1
            follower.sent_index = entries[-1].index
            follower.sent_us = state.now_us

    def _next_entries(self, follower: FollowerProgress) -> list[Entry]:
        entries, size = [], 0
        for entry in self.state.log.entries_after(follower.next_index - 1):
            entries.append(entry)
            size += len(entry.data)
            if size > MAX_APPEND_BYTES:
                break
        return entries

    def _send_entries(
        self, name: str, follower: FollowerProgress, previous: int, entries: list[Entry]
    ) -> None:
        state = self.state
        message = AppendEntries(
            state.term,
            state.identity,
            state.address,
            name,
            previous,
            state.log.term_at(previous),
            state.commit_index,
            state.now_us,
            entries,
        )
        state.send(follower.address, message)

    def _send_chunk(self, name: str, follower: FollowerProgress) -> None:
        """Send the next chunk of the transfer in progress, or start one with the newest snapshot."""
        state, log = self.state, self.state.log
        if follower.transfer is None:
            newest = Snapshot(log.snapshot_index, log.snapshot_term, log.snapshot_voters, log.snapshot_state)
            follower.transfer = SnapshotTransfer(newest)
        transfer = follower.transfer
        if not transfer.is_due(state.now_us, RETRANSMIT_AFTER_US):
            return
        transfer.sent_us = state.now_us
        snapshot = transfer.snapshot
        message = InstallSnapshot(
            state.term,
            state.identity,
            state.address,
            name,
            snapshot.index,
            snapshot.term,
            snapshot.voters,
            transfer.chunk(),
            state.now_us,
            transfer.offset,
            len(snapshot.state),
        )
        state.send(follower.address, message)

    def has_transfer(self) -> bool:
        """Whether a snapshot transfer to a live follower is in progress."""
        return any(
            follower.transfer is not None
            and self.state.now_us - follower.last_contact_us < UNRESPONSIVE_AFTER_US
            for follower in self.followers.values()
        )

    # ---- replies

    def on_contact(self, name: str, address: str, term: int) -> FollowerProgress | None:
        """Record a follower's message; return its progress, or None if this node isn't its leader."""
        state = self.state
        if term > state.term:
            self._transitions.become_follower(term)
            return None
        follower = self.followers.get(name)
        if not state.is_leader or term != state.term or follower is None:
            return None
        follower.address = address
        follower.last_contact_us = state.now_us
        return follower

    def on_append_reply(self, reply: AppendEntriesReply) -> None:
        """Record a follower's match index, advance the commit index, and send missing entries."""
        state = self.state
        follower = self.on_contact(reply.follower, reply.address, reply.term)
        if follower is None:
            return
        self._on_acknowledged(follower, reply.sent_us)
        if reply.success:
            self._on_match(follower, reply.match_index)
            self.advance_commit()
        elif follower.transfer is None:
            follower.next_index = max(
                1, min(reply.match_index + 1, follower.next_index, state.log.last_index + 1)
            )
            follower.sent_index = follower.match_index
        is_still_follower = state.is_leader and reply.follower in self.followers
        if is_still_follower and follower.next_index <= state.log.last_index:
            self.send_to(reply.follower)

    def on_snapshot_reply(self, reply: InstallSnapshotReply) -> None:
        """Send a follower the next chunk of its snapshot transfer."""
        follower = self.on_contact(reply.follower, reply.address, reply.term)
        if follower is None or follower.transfer is None:
            return
        self._on_acknowledged(follower, reply.sent_us)
        follower.transfer.on_reply(reply.last_index, reply.next_offset)
        self._send_chunk(reply.follower, follower)

    def _on_acknowledged(self, follower: FollowerProgress, sent_us: int) -> None:
        """Record an acknowledgment; the lease runs from when the message was sent, not from the reply."""
        follower.acked_us = max(follower.acked_us, min(sent_us, self.state.now_us))

    def _on_match(self, follower: FollowerProgress, match_index: int) -> None:
        follower.match_index = max(follower.match_index, min(match_index, self.state.log.last_index))
        follower.next_index = max(follower.next_index, follower.match_index + 1)
        transfer = follower.transfer
        if transfer is not None and follower.match_index >= transfer.snapshot.index:
            follower.transfer = None
            follower.next_index = follower.match_index + 1

    def advance_commit(self) -> None:
        """Commit entries durable on a majority, only through an entry of this term (thesis, 3.6.2)."""
        state = self.state
        voters = state.voters
        durable_indexes = [
            self.followers[name].match_index if name in self.followers else 0 for name in voters
        ]
        if state.identity in voters:
            durable_indexes[list(voters).index(state.identity)] = state.durable_index
        durable_indexes.sort(reverse=True)
        majority_index = durable_indexes[len(voters) // 2] if voters else 0
        if majority_index > state.commit_index and state.log.term_at(majority_index) == state.term:
            is_announced = state.commit_index < self._announced_index
            state.commit_up_to(majority_index)
            if is_announced:
                self.send_to_all(heartbeat=True)
        if state.identity not in voters and state.commit_index >= state.log.last_index:
            self._transitions.become_follower(state.term)  # the leader's removal is committed (thesis, 4.2.2)
