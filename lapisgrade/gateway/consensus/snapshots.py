"""Transfer of a snapshot in chunks (thesis, 5.3): each chunk is sent once the previous one is acknowledged.

A slow link has one chunk in flight instead of a queue of complete snapshots, and an interrupted transfer
resumes at the byte where it stopped. The sender keeps its snapshot until the follower has all of it, even if
the leader compacts its log again; otherwise a slow follower would never catch up with the log.
"""

import msgspec

from lapisgrade.gateway.consensus.messages import InstallSnapshot

CHUNK_BYTES = 64 * 1024
"""Size of a chunk; takes a quarter of a second on a 2 Mbit/s link."""

MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024
"""Maximum size of a snapshot that a follower accepts."""


class Snapshot(msgspec.Struct, frozen=True):
    """The state machine's state and the voters after the entry `index`."""

    index: int
    term: int
    voters: dict[str, str]
    state: bytes


class SnapshotTransfer(msgspec.Struct):
    """The leader's side: progress of sending one snapshot to one follower."""

    snapshot: Snapshot
    offset: int = 0  # first byte that the follower doesn't have
    sent_us: int | None = None  # when the chunk at `offset` was sent; None if it wasn't yet

    def is_due(self, now_us: int, retransmit_after_us: int) -> bool:
        """Whether to send the chunk at `offset`, for the first time or again."""
        return self.sent_us is None or now_us - self.sent_us > retransmit_after_us

    def chunk(self) -> bytes:
        """The bytes to send next."""
        return self.snapshot.state[self.offset : self.offset + CHUNK_BYTES]

    def on_reply(self, last_index: int, next_offset: int) -> None:
        """Continue at the byte that the follower needs next; late replies have no effect."""
        if last_index != self.snapshot.index or next_offset == self.offset:
            return
        has_restarted = next_offset == 0  # the follower has lost its chunks
        if next_offset > self.offset or has_restarted:
            self.offset = min(next_offset, len(self.snapshot.state))
            self.sent_us = None


class SnapshotAssembly(msgspec.Struct):
    """The follower's side: the chunks of one snapshot received so far."""

    leader: str = ""
    term: int = 0
    last_index: int = 0
    total: int = 0
    data: bytearray = msgspec.field(default_factory=bytearray)

    def add(self, chunk: InstallSnapshot) -> bytes | None:
        """Add one chunk; returns the complete snapshot, or None if chunks are missing."""
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
        """Discard all chunks."""
        self.leader = ""
        self.data = bytearray()
