"""What a node keeps on its disk, and what it asks of the shell around it.

Records are encoded as msgpack arrays by tag and position: names may change, tags, order and types may not.
"""

import msgspec

from lapisgrade.gateway.consensus.messages import Entry, OutgoingMessage


class HardState(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """The current term and the vote in it, empty for none (thesis, figure 3.1)."""

    term: int
    voted_for: str


class EntriesRecord(msgspec.Struct, array_like=True, tag="e", frozen=True):
    """Entries of the log; earlier ones at the same index and after are void."""

    entries: list[Entry]
    commit_index: int = 0  # all up to it were committed as this was written


class SnapshotRecord(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """First record of a generation of the log's file: all that the node has to remember."""

    identity: str
    term: int
    voted_for: str
    snapshot_index: int  # of the last entry that `state` covers
    snapshot_term: int
    voters: dict[str, str]  # as of that entry
    state: bytes
    entries: list[Entry]
    commit_index: int = 0


Record = HardState | EntriesRecord | SnapshotRecord


class DurableWrite(msgspec.Struct):
    """Records to bring onto the disk, in order, and messages that may be sent only after that."""

    records: list[Record]
    sends_when_durable: list[OutgoingMessage]
    last_index: int  # of the log once this is written
    last_term: int


class Effects(msgspec.Struct):
    """What the shell has to do since effects were last taken: first `snapshot`, then `committed`."""

    writes: list[DurableWrite] = msgspec.field(default_factory=list)
    sends: list[OutgoingMessage] = msgspec.field(default_factory=list)
    committed: list[Entry] = msgspec.field(default_factory=list)  # to be applied to the state machine
    snapshot: bytes | None = None  # to be loaded into the state machine before
