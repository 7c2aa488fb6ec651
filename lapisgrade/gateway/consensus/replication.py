"""The leader's part of replication: entries and snapshots to the followers, commits, the lease.

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
"""Bytes of entries in one message; the entry that exceeds it is the last one."""

RETRANSMIT_AFTER_US = 300_000
"""Time after which what was sent and not acknowledged is sent again."""


class Replication:
    """Brings the leader's log to the followers; owns their progress, and the leader's first entry."""

    def __init__(self, state: NodeState, transitions: RoleTransitions) -> None:
        """Make the leading part of a node.

        Args:
            state: the node's state.
            transitions: used when a later term is seen, or the leader has committed its own removal.
        """
        self.state = state
        self._transitions = transitions
        self.followers: dict[
            str, FollowerProgress
        ] = {}  # by identity, voters and learners; empty unless leader
        self.first_index = 0  # of this leader's entries
        self._announced_index = 0  # of the newest entry whose commit the followers are told at once
        self.heartbeat_due_us = 0

    # ---- beginning and end of leadership

    def start(self) -> None:
        """Begin to lead, with an entry of this term, by which earlier ones are committed (thesis, 3.6.2)."""
        state = self.state
        self.followers = {
            name: FollowerProgress(
                address, 0, state.now_us, next_index=state.log.last_index + 1, acked_us=state.now_us
            )
            for name, address in state.voters.items()
            if name != state.identity
        }
        # With the voters, as a node that joins learns them from the log alone.
        state.append([Entry(state.log.last_index + 1, state.term, b"", dict(state.voters))])
        self.first_index = state.log.last_index
        self._announced_index = state.log.last_index
        self.heartbeat_due_us = state.now_us + HEARTBEAT_INTERVAL_US
        self.send_to_all(heartbeat=True)
        self.advance_commit()

    def stop(self) -> None:
        """Lead no more."""
        self.followers = {}

    def successors(self) -> list[tuple[str, str]]:
        """Identity and address of the voters that have all of the log and answer, for a transfer (3.10)."""
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
        """When the newest message was sent that a majority of the voters has replied to, on the own clock."""
        state = self.state
        times = [self.followers[name].acked_us for name in state.voters if name in self.followers]
        if state.identity in state.voters:
            times.append(state.now_us)
        times.sort(reverse=True)
        majority = len(state.voters) // 2
        return times[majority] if majority < len(times) else -ELECTION_TIMEOUT_US

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of this leader is committed: all that was committed before is known then."""
        return self.state.is_leader and self.state.commit_index >= self.first_index

    def has_lease(self) -> bool:
        """Whether no other leader can have been elected yet, and all that was committed before is known."""
        return self.has_committed_in_term and self.state.now_us - self.quorum_contact_us() <= LEASE_US

    def has_lost_quorum(self) -> bool:
        """Whether the leader has had no contact with a majority for an election time-out (thesis, 6.2)."""
        state = self.state
        return len(state.voters) > 1 and state.now_us - self.quorum_contact_us() > ELECTION_TIMEOUT_US

    # ---- messages to followers

    def propose(self, data: bytes, announces_commit: bool = True) -> tuple[int, int] | None:
        """Append a command and replicate it; returns its index and term, or None if this isn't the leader.

        Args:
            data: the encoded command.
            announces_commit: whether the followers are told of its commit at once, not with the next message.
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
        """Have the followers told at once when that entry is committed."""
        self._announced_index = max(self._announced_index, index)

    def send_to_all(self, heartbeat: bool = False) -> None:
        """Send each follower what it lacks."""
        for name in self.followers:
            self.send_to(name, heartbeat)

    def send_to(self, name: str, heartbeat: bool = False) -> None:
        """Send a follower what it lacks, up to one message; with `heartbeat` at least an empty one."""
        state, follower = self.state, self.followers[name]
        is_unacknowledged = follower.sent_index > follower.match_index
        if is_unacknowledged and state.now_us - follower.sent_us > RETRANSMIT_AFTER_US:
            follower.next_index = follower.match_index + 1  # what was sent may be lost
        if follower.next_index <= state.log.snapshot_index or follower.transfer is not None:
            self._send_chunk(name, follower)
            if heartbeat:
                # Its reply upholds the lease while a snapshot is being sent.
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
        """Send the next chunk of a snapshot, of the newest one where none is being sent yet."""
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
        """Whether a live follower is being sent a snapshot."""
        return any(
            follower.transfer is not None
            and self.state.now_us - follower.last_contact_us < UNRESPONSIVE_AFTER_US
            for follower in self.followers.values()
        )

    # ---- replies

    def on_contact(self, name: str, address: str, term: int) -> FollowerProgress | None:
        """Take note of a follower's message; None where this node doesn't lead it in that term."""
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
        """Take note of what a follower has on disk, commit by it, and send it what it lacks."""
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
        is_led = state.is_leader and reply.follower in self.followers
        if is_led and follower.next_index <= state.log.last_index:
            self.send_to(reply.follower)

    def on_snapshot_reply(self, reply: InstallSnapshotReply) -> None:
        """Send a follower the next chunk of its snapshot."""
        follower = self.on_contact(reply.follower, reply.address, reply.term)
        if follower is None or follower.transfer is None:
            return
        self._on_acknowledged(follower, reply.sent_us)
        follower.transfer.on_reply(reply.last_index, reply.next_offset)
        self._send_chunk(reply.follower, follower)

    def _on_acknowledged(self, follower: FollowerProgress, sent_us: int) -> None:
        """The lease runs from when the message was sent, not from when its reply came."""
        follower.acked_us = max(follower.acked_us, min(sent_us, self.state.now_us))

    def _on_match(self, follower: FollowerProgress, match_index: int) -> None:
        follower.match_index = max(follower.match_index, min(match_index, self.state.log.last_index))
        follower.next_index = max(follower.next_index, follower.match_index + 1)
        transfer = follower.transfer
        if transfer is not None and follower.match_index >= transfer.snapshot.index:
            follower.transfer = None
            follower.next_index = follower.match_index + 1

    def advance_commit(self) -> None:
        """Commit what a majority of the voters has on disk, by entries of this term alone (thesis, 3.6.2)."""
        state = self.state
        voters = state.voters
        durable = [self.followers[name].match_index if name in self.followers else 0 for name in voters]
        if state.identity in voters:
            durable[list(voters).index(state.identity)] = state.durable_index
        durable.sort(reverse=True)
        index = durable[len(voters) // 2] if voters else 0
        if index > state.commit_index and state.log.term_at(index) == state.term:
            is_announced = state.commit_index < self._announced_index
            state.commit_up_to(index)
            if is_announced:
                self.send_to_all(heartbeat=True)
        if state.identity not in voters and state.commit_index >= state.log.last_index:
            self._transitions.become_follower(state.term)  # its own removal is committed (thesis, 4.2.2)
