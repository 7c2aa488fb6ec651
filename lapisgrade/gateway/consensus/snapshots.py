"""Transfer of a snapshot in pieces: one piece is under way at a time, and the next goes once it was taken.

So a slow link holds one piece, never a queue of whole snapshots, and a transfer that is cut goes on at the
byte where it stopped. The sender keeps its snapshot until the reader has it all, whatever the leader compacts
meanwhile (guards a member that would otherwise chase the log's end for ever).
"""

from dataclasses import dataclass, field

from lapisgrade.gateway.consensus.messages import InstallSnapshot

CHUNK_BYTES = 64 * 1024  # bytes; a quarter of a second on a link of 2 Mbit/s
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024  # bytes that a reader takes at all


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State up to the entry `index`, and the voters then."""

    index: int
    term: int
    voters: dict[str, str]
    state: bytes


@dataclass(slots=True)
class Transfer:
    """The leader's side: how much of one snapshot a follower has."""

    snapshot: Snapshot
    offset: int = 0
    sent_us: int | None = None  # when the piece at `offset` was sent, None where it has not been

    def due(self, now_us: int, resend_us: int) -> bool:
        return self.sent_us is None or now_us - self.sent_us > resend_us

    def piece(self) -> bytes:
        return self.snapshot.state[self.offset : self.offset + CHUNK_BYTES]

    def wanted(self, index: int, offset: int) -> None:
        """What the follower asks for next; a late reply about an earlier piece changes nothing."""
        if index != self.snapshot.index or offset == self.offset:
            return
        if offset > self.offset or offset == 0:  # 0: it was started anew and has nothing
            self.offset, self.sent_us = min(offset, len(self.snapshot.state)), None


@dataclass(slots=True)
class Assembly:
    """The follower's side: the pieces of one snapshot, as they come."""

    leader: str = ""
    term: int = 0
    index: int = 0
    total: int = 0
    data: bytearray = field(default_factory=bytearray)

    def take(self, piece: InstallSnapshot) -> bytes | None:
        """Add one piece; the whole snapshot once it is complete."""
        if piece.total > MAX_SNAPSHOT_BYTES:
            return None
        if (self.leader, self.term, self.index) != (piece.leader, piece.term, piece.index):
            self.leader, self.term, self.index = piece.leader, piece.term, piece.index
            self.data = bytearray()
        self.total = piece.total
        if piece.offset == len(self.data):
            self.data += piece.data[: self.total - piece.offset]
        return bytes(self.data) if len(self.data) == self.total else None

    def clear(self) -> None:
        self.leader, self.data = "", bytearray()
