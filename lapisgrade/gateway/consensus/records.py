"""The records in a node's log file, and the effects that a node requests from its driver.

Records are encoded as msgpack arrays by tag and position: names may change; tags, order and types may not.
"""

import msgspec

from lapisgrade.gateway.consensus.messages import Entry, OutgoingMessage


class HardState(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """The current term and the vote in it, empty if none (thesis, figure 3.1)."""

    term: int
    voted_for: str


class EntriesRecord(msgspec.Struct, array_like=True, tag="e", frozen=True):
    """Log entries; they replace all earlier ones from the first one's index on."""

    entries: list[Entry]
    commit_index: int = 0  # commit index when the record was written


class SnapshotRecord(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """First record of a log generation: the node's complete persistent state."""

    identity: str
    term: int
    voted_for: str
    snapshot_index: int  # last entry covered by `state`
    snapshot_term: int  # its term
    voters: dict[str, str]  # the voters as of that entry
    state: bytes
    entries: list[Entry]
    commit_index: int = 0


Record = HardState | EntriesRecord | SnapshotRecord


class DurableWrite(msgspec.Struct):
    """Records to write in order, and messages that may be sent only once the records are durable."""

    records: list[Record]
    sends_when_durable: list[OutgoingMessage]
    last_index: int  # last entry of the log after this write
    last_term: int  # its term


class Effects(msgspec.Struct):
    """Work for the driver since effects were last taken; it applies `snapshot` before `committed`."""

    writes: list[DurableWrite] = msgspec.field(default_factory=list)
    sends: list[OutgoingMessage] = msgspec.field(default_factory=list)
    committed: list[Entry] = msgspec.field(default_factory=list)  # entries to apply to the state machine
    snapshot: bytes | None = None  # state to load into the state machine first
