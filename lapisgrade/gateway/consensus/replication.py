"""The leader's part: entries and snapshots to the others, commits, and changes of voters."""

from lapisgrade.gateway.consensus.election import Election
from lapisgrade.gateway.consensus.membership import UNRESPONSIVE_AFTER_US, Group, next_voters
from lapisgrade.gateway.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    InstallSnapshotReply,
    JoinRequest,
    LeaderHint,
)
from lapisgrade.gateway.consensus.replication_state import Follower
from lapisgrade.gateway.consensus.snapshots import Snapshot, Transfer
from lapisgrade.gateway.consensus.state import HEARTBEAT_INTERVAL_US, Role

MAX_APPEND_BYTES = 256 * 1024  # bytes of entries in one message
RETRANSMIT_AFTER_US = 300_000  # us after which what was sent and not answered goes again
MAX_FOLLOWERS = 64  # nodes that a leader speaks to; a flood of names holds no more of it


class Replication(Election):
    """The part of a node that leads."""

    def _lead(self) -> None:
        self.role, self.leader, self.leader_address = Role.LEADER, self.identity, self.address
        self._leaving = set()
        self.followers = {
            name: Follower(address, 0, self.now_us, next_index=self.log.last_index + 1, acked_us=self.now_us)
            for name, address in self.voters.items()
            if name != self.identity
        }
        # With the voters, as a node that joins learns them from the log alone.
        self._extend([Entry(self.log.last_index + 1, self.term, b"", dict(self.voters))])
        self._first_index, self._heartbeat_due_us = self.log.last_index, self.now_us + HEARTBEAT_INTERVAL_US
        self._send_to_all(heartbeat=True)
        self._advance_commit()

    def _send_to_all(self, heartbeat: bool = False) -> None:
        for name in self.followers:
            self._send_to(name, heartbeat)

    def _send_to(self, name: str, heartbeat: bool = False) -> None:
        """Send what the follower lacks, as far as one message goes; with `heartbeat` at least a message."""
        other = self.followers[name]
        if other.sent_index > other.match_index and self.now_us - other.sent_us > RETRANSMIT_AFTER_US:
            other.next_index = other.match_index + 1  # what was sent may be lost
        if other.next_index <= self.log.snapshot_index or other.transfer is not None:
            self._send_snapshot(name, other)
            if heartbeat:
                # Its reply holds up the lease while a snapshot is under way.
                self._send_entries(name, other, self.log.last_index, [])
            return
        entries, size = [], 0
        for entry in self.log.after(other.next_index - 1):
            entries.append(entry)
            size += len(entry.data)
            if size > MAX_APPEND_BYTES:
                break
        if entries or heartbeat:
            self._send_entries(name, other, other.next_index - 1, entries)
        if entries:
            other.next_index, other.sent_index, other.sent_us = (
                entries[-1].index + 1,
                entries[-1].index,
                self.now_us,
            )

    def _send_entries(self, name: str, other: Follower, previous: int, entries: list[Entry]) -> None:
        message = AppendEntries(
            self.term,
            self.identity,
            self.address,
            name,
            previous,
            self.log.term_at(previous),
            self.commit_index,
            self.now_us,
            entries,
        )
        self._send(other.address, message)

    def _send_snapshot(self, name: str, other: Follower) -> None:
        log = self.log
        if other.transfer is None:
            snapshot = Snapshot(
                log.snapshot_index, log.snapshot_term, log.snapshot_voters, log.snapshot_state
            )
            other.transfer = Transfer(snapshot)
        transfer = other.transfer
        if not transfer.due(self.now_us, RETRANSMIT_AFTER_US):
            return
        transfer.sent_us, snapshot = self.now_us, transfer.snapshot
        message = InstallSnapshot(
            self.term,
            self.identity,
            self.address,
            name,
            snapshot.index,
            snapshot.term,
            snapshot.voters,
            transfer.piece(),
            self.now_us,
            transfer.offset,
            len(snapshot.state),
        )
        self._send(other.address, message)

    @property
    def transferring(self) -> bool:
        """Whether a live follower is sent a snapshot."""
        return any(
            each.transfer is not None and self.now_us - each.last_contact_us < UNRESPONSIVE_AFTER_US
            for each in self.followers.values()
        )

    # ---- replies

    def _heard_from(self, name: str, address: str, term: int) -> Follower | None:
        """The follower that a message comes from, None where this node leads it not in that term."""
        if term > self.term:
            self._follow(term)
            return None
        other = self.followers.get(name)
        if not self.is_leader or term != self.term or other is None:
            return None
        other.address, other.last_contact_us = address, self.now_us
        return other

    def _on_append_reply(self, reply: AppendEntriesReply) -> None:
        other = self._heard_from(reply.follower, reply.address, reply.term)
        if other is None:
            return
        other.acked_us = max(other.acked_us, min(reply.sent_us, self.now_us))
        if reply.success:
            other.match_index = max(other.match_index, min(reply.match, self.log.last_index))
            other.next_index = max(other.next_index, other.match_index + 1)
            if other.transfer is not None and other.match_index >= other.transfer.snapshot.index:
                other.transfer, other.next_index = None, other.match_index + 1
            self._advance_commit()
        elif other.transfer is None:
            other.next_index = max(1, min(reply.match + 1, other.next_index, self.log.last_index + 1))
            other.sent_index = other.match_index
        if self.is_leader and reply.follower in self.followers and other.next_index <= self.log.last_index:
            self._send_to(reply.follower)

    def _on_snapshot_reply(self, reply: InstallSnapshotReply) -> None:
        other = self._heard_from(reply.follower, reply.address, reply.term)
        if other is None or other.transfer is None:
            return
        other.acked_us = max(other.acked_us, min(reply.sent_us, self.now_us))
        other.transfer.wanted(reply.index, reply.offset)
        self._send_snapshot(reply.follower, other)

    def _advance_commit(self) -> None:
        """Commit what a majority of the voters has on disk; of earlier terms only with an entry of this."""
        voters = self.voters
        have = [self.followers[name].match_index if name in self.followers else 0 for name in voters]
        if self.identity in voters:
            have[list(voters).index(self.identity)] = self.durable_index
        have.sort(reverse=True)
        index = have[len(voters) // 2] if voters else 0
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._commit_up_to(index)
            self._send_to_all(heartbeat=True)
        if self.identity not in voters and self.commit_index >= self.log.last_index:
            self._follow(self.term)  # it has led its own removal to its end

    # ---- voters

    def _on_join(self, offer: JoinRequest) -> None:
        if not self.is_leader:
            if self.leader_address and self.leader_address != offer.address:
                self._send(offer.address, LeaderHint(self.term, self.leader, self.leader_address))
            return
        if offer.node == self.identity:
            return
        if offer.node not in self.followers and len(self.followers) < MAX_FOLLOWERS:
            other = Follower(offer.address, 0, self.now_us, next_index=self.log.last_index + 1)
            self.followers[offer.node] = other
        if self._heard_from(offer.node, offer.address, self.term) is not None:
            self._leaving.discard(offer.node)
            self._send_to(offer.node, heartbeat=True)

    def _change_voters(self) -> None:
        """Make the next change of voters; the one before must be committed, and an entry of this term."""
        if self.log.changes_voters_after(self.commit_index) or self.commit_index < self._first_index:
            return
        group = Group(
            self.now_us,
            self.identity,
            self.address,
            self.voters,
            dict(self.followers),
            self._leaving,
            self.commit_index,
        )
        voters = next_voters(group)
        if voters is None:
            return
        self._extend([Entry(self.log.last_index + 1, self.term, b"", voters)])
        for name, address in voters.items():
            if name != self.identity and name not in self.followers:
                self.followers[name] = Follower(address, 0, next_index=self.log.last_index)
        live = group.live()
        self.followers = {
            name: each for name, each in self.followers.items() if name in voters or name in live
        }
        self._send_to_all()
        self._advance_commit()
