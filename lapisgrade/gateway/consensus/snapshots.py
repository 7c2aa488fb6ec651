"""Transfer of a snapshot in chunks (thesis, 5.3): the next chunk is sent once the one before has arrived.

A slow link has one chunk in flight, never a queue of whole snapshots, and a transfer that is interrupted
resumes at the byte where it stopped. The sender keeps its snapshot until the follower has all of it, whatever
the leader compacts meanwhile (guards a node that would otherwise chase the log's end for ever).
"""

import msgspec

from lapisgrade.gateway.consensus.messages import InstallSnapshot

CHUNK_BYTES = 64 * 1024
"""A quarter of a second on a link of 2 Mbit/s."""

MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024
"""A follower accepts no larger snapshot."""


class Snapshot(msgspec.Struct, frozen=True):
    """The state machine's state up to the entry `index`, and the voters then."""

    index: int
    term: int
    voters: dict[str, str]
    state: bytes


class SnapshotTransfer(msgspec.Struct):
    """The leader's side: how much of one snapshot a follower has."""

    snapshot: Snapshot
    offset: int = 0
    sent_us: int | None = None  # when the chunk at `offset` was sent, None where it has not been

    def is_due(self, now_us: int, retransmit_after_us: int) -> bool:
        """Whether the chunk at `offset` is to be sent, for the first time or again."""
        return self.sent_us is None or now_us - self.sent_us > retransmit_after_us

    def chunk(self) -> bytes:
        """The bytes to send next."""
        return self.snapshot.state[self.offset : self.offset + CHUNK_BYTES]

    def on_reply(self, last_index: int, next_offset: int) -> None:
        """Move on to the byte that the follower needs next; late replies change nothing."""
        if last_index != self.snapshot.index or next_offset == self.offset:
            return
        has_restarted = next_offset == 0  # the follower has lost what it had
        if next_offset > self.offset or has_restarted:
            self.offset = min(next_offset, len(self.snapshot.state))
            self.sent_us = None


class SnapshotAssembly(msgspec.Struct):
    """The follower's side: the chunks of one snapshot, as they arrive."""

    leader: str = ""
    term: int = 0
    last_index: int = 0
    total: int = 0
    data: bytearray = msgspec.field(default_factory=bytearray)

    def add(self, chunk: InstallSnapshot) -> bytes | None:
        """Add one chunk; returns the complete snapshot, None while more is missing."""
        if chunk.total > MAX_SNAPSHOT_BYTES:
            return None
        if (self.leader, self.term, self.last_index) != (chunk.leader, chunk.term, chunk.last_index):
            self.leader, self.term, self.last_index = chunk.leader, chunk.term, chunk.last_index
            self.data = bytearray()
        self.total = chunk.total
        if chunk.offset == len(self.data):
            self.data += chunk.data[: self.total - chunk.offset]
        return bytes(self.data) if len(self.data) == self.total else None

    def clear(self) -> None:
        """Forget all chunks."""
        self.leader = ""
        self.data = bytearray()
